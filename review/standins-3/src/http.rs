//! A minimal HTTP/1.1 reader and server over plain sockets.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The head of a message, with lower-case names of headers.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub first: String,
    /// The headers in order.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Returns one word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before its first byte. `buffer` keeps what was read
/// behind it.
pub async fn read_head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> Result<Option<Head>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers =
                headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
            return Ok(Some(Head { first, headers: headers.collect() }));
        }
        let mut chunk = [0; 4096];
        let read = stream.read(&mut chunk).await?;
        if read == 0 {
            if buffer.is_empty() {
                return Ok(None);
            }
            bail!("the connection ended within a head");
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
}

/// Reads the body of a request, which has a length or none.
pub async fn read_body(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    head: &Head,
) -> Result<Vec<u8>> {
    let length: usize = head.get("content-length").unwrap_or("0").parse()?;
    while buffer.len() < length {
        let mut chunk = [0; 4096];
        let read = stream.read(&mut chunk).await?;
        if read == 0 {
            bail!("the connection ended within a body");
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
    Ok(buffer.drain(..length).collect())
}

/// Answers the requests of a server.
pub trait Handler: Clone + Send + 'static {
    /// Handles one request; returns whether the connection is kept.
    fn handle(
        &self,
        head: Head,
        body: Vec<u8>,
        stream: &mut TcpStream,
    ) -> impl Future<Output = Result<bool>> + Send;
}

/// Serves on a free port of the case's address.
pub async fn serve(handler: impl Handler) -> Result<SocketAddr> {
    let listener = TcpListener::bind((crate::loopback(), 0)).await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(handler.clone(), stream));
        }
    });
    Ok(addr)
}

async fn serve_connection(handler: impl Handler, mut stream: TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        let body = read_body(&mut stream, &mut buffer, &head).await?;
        if !handler.handle(head, body, &mut stream).await? {
            break;
        }
    }
    Ok(())
}

/// Sends a request on a new connection and reads the whole response.
pub async fn get(addr: SocketAddr, path: &str) -> Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(addr).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut buffer = Vec::new();
    let head = read_head(&mut stream, &mut buffer).await?.context("no response")?;
    stream.read_to_end(&mut buffer).await?;
    Ok((head.status(), buffer))
}

/// Finds out whether a chunked body is complete, and returns its data.
pub fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut data = Vec::new();
    loop {
        let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") else {
            return (data, false);
        };
        let size = std::str::from_utf8(&bytes[..end]).ok();
        let Some(size) = size.and_then(|size| usize::from_str_radix(size.trim(), 16).ok()) else {
            return (data, false);
        };
        let rest = &bytes[end + 2..];
        if size == 0 {
            return (data, rest.starts_with(b"\r\n"));
        }
        if rest.len() < size + 2 {
            data.extend_from_slice(&rest[..rest.len().min(size)]);
            return (data, false);
        }
        data.extend_from_slice(&rest[..size]);
        bytes = &rest[size + 2..];
    }
}

/// A client's connection, which is opened when it is needed.
#[derive(Default)]
pub struct Connection(Option<(TcpStream, Vec<u8>)>);

impl Connection {
    /// Sends a request and reads the head and the body of its answer.
    pub async fn send(&mut self, addr: SocketAddr, request: &str) -> Result<(Head, Vec<u8>)> {
        let (mut stream, mut buffer) = match self.0.take() {
            Some(open) => open,
            None => {
                let stream = TcpStream::connect(addr).await?;
                stream.set_nodelay(true)?;
                (stream, Vec::new())
            }
        };
        stream.write_all(request.as_bytes()).await?;
        let head = read_head(&mut stream, &mut buffer).await?.context("closed without an answer")?;
        let body = read_body(&mut stream, &mut buffer, &head).await?;
        if head.get("connection") != Some("close") {
            self.0 = Some((stream, buffer));
        }
        Ok((head, body))
    }
}
