//! Just enough HTTP/1.1 for the stand-ins: messages with a length, chunks or neither.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, bail, ensure};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Reads messages from a connection.
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
}

/// The first line and the headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// Lower-case names and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header; empty if there is none.
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// The method of a request, or the protocol of a response.
    pub fn first(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The path of a request, or the status of a response.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Reads from a stream.
    pub fn new(stream: R) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    async fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk).await?;
        ensure!(count > 0, "connection closed");
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    async fn take(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill().await?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    async fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill().await?;
        }
    }

    /// Reads the head of a message.
    pub async fn head(&mut self) -> Result<Head> {
        let mut head = Head { line: self.line().await?, headers: Vec::new() };
        loop {
            let line = self.line().await?;
            if line.is_empty() {
                return Ok(head);
            }
            let Some((name, value)) = line.split_once(':') else { bail!("bad header {line:?}") };
            head.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads the body that follows a head. Calls `part` with each part as it arrives.
    pub async fn body(&mut self, head: &Head, mut part: impl FnMut(&[u8])) -> Result<()> {
        if head.get("transfer-encoding") == "chunked" {
            loop {
                let size = usize::from_str_radix(self.line().await?.trim(), 16)?;
                let bytes = self.take(size).await?;
                self.line().await?;
                if size == 0 {
                    return Ok(());
                }
                part(&bytes);
            }
        }
        let length = head.get("content-length").parse().unwrap_or(0);
        part(&self.take(length).await?);
        Ok(())
    }
}

/// What came back on a request.
#[derive(Debug, Default, Clone)]
pub struct Reply {
    /// The status; 0 if the connection ended without one.
    pub status: u16,
    /// The head.
    pub head: Head,
    /// What arrived of the body.
    pub body: Vec<u8>,
    /// Whether the body arrived in full.
    pub whole: bool,
}

/// A client's connection, which may be used for several requests.
pub struct Client {
    reader: Reader<TcpStream>,
}

impl Client {
    /// Opens a connection within a second.
    pub async fn open(addr: SocketAddr) -> Result<Self> {
        let stream =
            tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        Ok(Client { reader: Reader::new(stream) })
    }

    /// Sends a request and reads the answer, for at most `patience`.
    pub async fn ask(&mut self, request: &[u8], patience: Duration) -> Reply {
        let mut reply = Reply::default();
        let asking = async {
            self.reader.stream.write_all(request).await?;
            let head = self.reader.head().await?;
            reply.status = head.second().parse().unwrap_or(0);
            reply.head = head.clone();
            self.reader.body(&head, |part| reply.body.extend_from_slice(part)).await?;
            reply.whole = true;
            anyhow::Ok(())
        };
        let _ = tokio::time::timeout(patience, asking).await;
        reply
    }
}

/// Sends one request on a connection of its own.
pub async fn ask_once(addr: SocketAddr, request: &[u8], patience: Duration) -> Reply {
    match Client::open(addr).await {
        Ok(mut client) => client.ask(request, patience).await,
        Err(_) => Reply::default(),
    }
}
