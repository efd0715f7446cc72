//! The parts of an HTTP/1.1 server that the stand-ins of servers share.

use std::collections::HashMap;

use anyhow::{Context, Result, bail};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request as a server received it.
#[derive(Debug)]
pub struct Received {
    pub line: String,
    /// Values by name in lowercase.
    pub headers: HashMap<String, String>,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The id of the client attempt.
    pub fn id(&self) -> &str {
        self.header("x-attempt-id")
    }
}

/// Reads the next request of a connection; `None` if the connection was closed before one.
pub async fn read_request(stream: &mut TcpStream) -> Result<Option<Received>> {
    let Some((head, mut body)) = read_head(stream).await? else { return Ok(None) };
    let (line, headers) = parse_head(&head);
    let length: usize = match headers.get("content-length") {
        Some(length) => length.parse().context("content-length")?,
        None if headers.contains_key("transfer-encoding") => bail!("a chunked request"),
        None => 0,
    };
    while body.len() < length {
        let mut part = vec![0; 16 << 10];
        let read = stream.read(&mut part).await?;
        if read == 0 {
            bail!("the request broke off");
        }
        body.extend_from_slice(&part[..read]);
    }
    Ok(Some(Received { line, headers }))
}

/// Reads up to the end of a head; returns it and what was read beyond it.
pub async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<(String, Vec<u8>)>> {
    let mut bytes = Vec::new();
    loop {
        let mut part = vec![0; 4 << 10];
        let read = stream.read(&mut part).await?;
        if read == 0 {
            return if bytes.is_empty() { Ok(None) } else { bail!("a head broke off") };
        }
        bytes.extend_from_slice(&part[..read]);
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return Ok(Some((String::from_utf8_lossy(&bytes).into_owned(), rest)));
        }
    }
}

/// Splits a head into its first line and its headers.
pub fn parse_head(head: &str) -> (String, HashMap<String, String>) {
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    (first, headers.collect())
}

/// Writes the head of a response of a server with the headers that every server sends.
pub async fn write_head(
    stream: &mut TcpStream,
    server: &str,
    status: &str,
    id: &str,
    headers: &str,
) -> Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: {server}.{id}\r\n{headers}\r\n"
    );
    Ok(stream.write_all(head.as_bytes()).await?)
}

/// Writes a chunk of a chunked body.
pub async fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    Ok(stream.write_all(&chunk).await?)
}
