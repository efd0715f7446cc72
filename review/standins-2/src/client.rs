//! The parts of an HTTP/1.1 client that the stand-ins of clients share.

use std::net::SocketAddr;

use anyhow::{Context, Result, ensure};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::server::{parse_head, read_head};

/// The whole answer to a request.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// The signature; empty if the answer is not a server's.
    pub seal: String,
}

/// Sends a request on a new connection and reads the whole answer.
pub async fn ask(addr: SocketAddr, request: &str) -> Result<Answer> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(request.as_bytes()).await?;
    read_answer(&mut stream).await
}

/// Reads a whole answer whose body has a length.
pub async fn read_answer(stream: &mut (impl AsyncRead + Unpin)) -> Result<Answer> {
    let (head, body) = read_head(stream).await?.context("no answer")?;
    let (line, headers) = parse_head(&head);
    let length = headers.get("content-length").map_or(Ok(0), |text| text.parse::<usize>())?;
    let mut missing = length.saturating_sub(body.len());
    while missing > 0 {
        let mut part = vec![0; 4 << 10];
        let read = stream.read(&mut part).await?;
        ensure!(read > 0, "the answer broke off");
        missing = missing.saturating_sub(read);
    }
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let seal = headers.get("x-server-seal").cloned().unwrap_or_default();
    Ok(Answer { status: status.context("no status")?, seal })
}

/// Follows a chunked body as it arrives.
#[derive(Debug, Default)]
pub struct ChunkedBody {
    raw: Vec<u8>,
    /// The bytes of the body so far.
    pub body: Vec<u8>,
    /// Whether its last chunk has arrived.
    pub complete: bool,
}

impl ChunkedBody {
    /// Takes further bytes of the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.raw.extend_from_slice(bytes);
        while !self.complete {
            let Some(line) = self.raw.windows(2).position(|pair| pair == b"\r\n") else { return };
            let text = String::from_utf8_lossy(&self.raw[..line]).into_owned();
            let Ok(size) = usize::from_str_radix(text.trim(), 16) else { return };
            if self.raw.len() < line + 2 + size + 2 {
                return;
            }
            self.body.extend_from_slice(&self.raw[line + 2..line + 2 + size]);
            self.raw.drain(..line + 2 + size + 2);
            self.complete = size == 0;
        }
    }
}
