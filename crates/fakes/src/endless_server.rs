//! A fake backend server whose responses never end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::loopback::accept_streams;

/// A chunk of 512 bytes.
const CHUNK: &str = concat!(
    "200\r\n",
    "and more and more and more and more and more and more and more..",
    "and more and more and more and more and more and more and more..",
    "and more and more and more and more and more and more and more..",
    "and more and more and more and more and more and more and more..",
    "and more and more and more and more and more and more and more..",
    "and more and more and more and more and more and more and more..",
    "and more and more and more and more and more and more and more..",
    "and more and more and more and more and more and more and more..",
    "\r\n"
);

/// What the server sends without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    /// Header lines.
    Head,
    /// A single status line.
    StatusLine,
    /// Informational responses.
    Informational,
    /// Zeros of a chunk size.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// Chunks of data.
    Body,
    /// Chunks of data in a response to another request.
    WrongId,
    /// Trailers after the body.
    Trailers,
    /// An event without the blank line that ends it.
    Event,
    /// The same, one byte at a time with pauses.
    SlowEvent,
}

/// A running server; clones share its state.
#[derive(Debug, Clone)]
pub struct EndlessServer {
    addr: SocketAddr,
    open: Arc<AtomicU64>,
    requests: Arc<AtomicU64>,
}

impl EndlessServer {
    /// Starts a server on a free loopback port. It sends `part` until the other side
    /// closes the connection.
    pub async fn start(id: &str, part: EndlessPart, stop: CancellationToken) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let (open, requests) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let server = EndlessServer { addr, open, requests };
        let (state, id) = (server.clone(), id.to_owned());
        accept_streams(listener, stop, move |stream| {
            let (state, id) = (state.clone(), id.clone());
            async move { state.serve(stream, &id, part).await }
        });
        Ok(server)
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The number of connections on which it is sending.
    pub fn sending(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// The number of requests that it has received.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    async fn serve(
        &self,
        mut stream: TcpStream,
        server: &str,
        part: EndlessPart,
    ) -> std::io::Result<()> {
        let head = read_head(&mut stream).await?;
        self.requests.fetch_add(1, Ordering::Relaxed);
        let id = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: "));
        let id = if part == EndlessPart::WrongId { "another" } else { id.unwrap_or_default() };
        let start =
            format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: seal.{server}\r\n");
        let chunked = format!("{start}transfer-encoding: chunked\r\n\r\n");
        let (opening, repeated) = match part {
            EndlessPart::Head => (start, "x-more: and more\r\n"),
            EndlessPart::StatusLine => ("HTTP/1.1 200 ".to_owned(), "and so on "),
            EndlessPart::Informational => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            EndlessPart::ChunkSize => (chunked, "00000000"),
            EndlessPart::ChunkExtension => (format!("{chunked}5;"), "and=more;"),
            EndlessPart::Body | EndlessPart::WrongId => (chunked, CHUNK),
            EndlessPart::Trailers => {
                let chunked = chunked.replace("\r\n\r\n", "\r\ntrailer: x-more\r\n\r\n");
                (format!("{chunked}0\r\n"), "x-more: and more\r\n")
            }
            EndlessPart::Event => (format!("{start}\r\n"), "data: and more\n"),
            EndlessPart::SlowEvent => (format!("{start}\r\n"), "."),
        };
        stream.write_all(opening.as_bytes()).await?;
        let _sending = Sending::start(&self.open);
        if part == EndlessPart::SlowEvent {
            loop {
                stream.write_all(repeated.as_bytes()).await?;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        let block = repeated.repeat(512);
        loop {
            stream.write_all(block.as_bytes()).await?;
        }
    }
}

/// Counts a connection while it exists.
struct Sending(Arc<AtomicU64>);

impl Sending {
    fn start(open: &Arc<AtomicU64>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Sending(open.clone())
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads until the blank line after the head; an error if the connection closes before.
async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        let mut buffer = [0; 4_096];
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        head.extend_from_slice(&buffer[..length]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
