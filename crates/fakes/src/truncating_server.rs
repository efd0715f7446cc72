//! A fake backend server that stops in the middle of its responses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::loopback::{accept_streams, unique_ip};

/// The body of the response to the first request on a connection that is kept: an event.
const FIRST_BODY: &str = "id: 1\ndata: first\n\n";

/// How a server ends a response that it does not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    /// It closes the connection.
    Close,
    /// It resets the connection once the bytes before were delivered.
    Reset,
}

/// What a server answers.
#[derive(Debug, Clone)]
pub struct TruncatedResponse {
    /// The whole response, in which `{id}` stands for the id of the request.
    pub response: String,
    /// The number of bytes that are sent.
    pub length: usize,
    /// What follows them.
    pub closing: Closing,
    /// Whether the first request on each connection is answered in full.
    pub kept: bool,
    /// Whether it answers as soon as the head of a request has come, and reads nothing more.
    pub early: bool,
    /// The time between the last byte and the end of the connection.
    pub delay: Duration,
}

/// A running server; clones share its state.
#[derive(Debug, Clone)]
pub struct TruncatingServer {
    addr: SocketAddr,
    response: Arc<Mutex<TruncatedResponse>>,
}

impl TruncatingServer {
    /// Starts a server on a loopback address of its own.
    pub async fn start(response: TruncatedResponse, stop: CancellationToken) -> Result<Self> {
        let listener = TcpListener::bind((unique_ip(), 0)).await?;
        let addr = listener.local_addr()?;
        let server = TruncatingServer { addr, response: Arc::new(Mutex::new(response)) };
        let state = server.clone();
        accept_streams(listener, stop, move |stream| {
            let state = state.clone();
            async move { state.serve(stream).await }
        });
        Ok(server)
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what the server answers.
    pub fn set_response(&self, response: TruncatedResponse) {
        *self.response.lock().unwrap() = response;
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut is_first = true;
        loop {
            let is_early = self.response.lock().unwrap().early;
            let id = read_request(&mut stream, is_early).await?;
            let TruncatedResponse { response, length, closing, kept, delay, .. } =
                self.response.lock().unwrap().clone();
            if kept && std::mem::take(&mut is_first) {
                stream.write_all(first_response(&id).as_bytes()).await?;
                continue;
            }
            let response = response.replace("{id}", &id);
            let sent = &response.as_bytes()[..length.min(response.len())];
            stream.write_all(sent).await?;
            // A reset may discard what the other side has not read yet.
            tokio::time::sleep(delay).await;
            if closing == Closing::Reset {
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
            }
            return Ok(());
        }
    }
}

fn first_response(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: seal\r\ncontent-length: {}\r\n\r\n{FIRST_BODY}",
        FIRST_BODY.len()
    )
}

/// Reads a request with a `content-length`, if it has a body, or its head only, and returns its id;
/// an error if the connection closes before.
async fn read_request(stream: &mut TcpStream, head_only: bool) -> std::io::Result<String> {
    let mut request = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&request).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let value = |name: &str| {
                let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(name))?;
                Some(line[name.len()..].trim().to_owned())
            };
            let length = value("content-length:").and_then(|length| length.parse().ok());
            if head_only || body.len() >= length.unwrap_or(0) {
                return Ok(value("x-attempt-id:").unwrap_or_default());
            }
        }
        let mut buffer = [0; 4_096];
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        request.extend_from_slice(&buffer[..length]);
    }
}
