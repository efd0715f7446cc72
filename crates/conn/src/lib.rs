//! HTTP/1 connections to known addresses: opened, proven, reused and dropped.
//!
//! A connection that goes silent is found by TCP's user timeout or by the
//! caller's own limits; it is never given back to the pool.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// The request type that connections send.
pub type Request = http::Request<Full<Bytes>>;

/// How long a connection may take to open: longer than a region's round trip,
/// shorter than the second after which a lost opening packet is sent again.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// A connection that was idle for longer is not used again.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// The share of the idle time that a server names for which a connection is used.
const IDLE_SHARE: f64 = 0.7;
/// The idle limit where a server names no time: servers whose time is under a
/// second can't name it.
const UNNAMED_IDLE: Duration = Duration::from_millis(400);
/// Sent bytes must be acknowledged within this time.
const ACK_LIMIT: Duration = Duration::from_millis(2_500);
/// A quiet connection is probed after this time, and again at this interval.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const PROBES: u32 = 2;
/// Idle connections kept for each address.
const IDLE_PER_ADDRESS: usize = 64;

/// Idle connections by address.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    link: Link,
    since: Instant,
    limit: Duration,
}

impl Pool {
    /// A pool without connections.
    pub fn new() -> Self {
        Pool::default()
    }

    /// Takes an idle connection, or opens one.
    pub async fn lease(&self, addr: SocketAddr) -> io::Result<Lease> {
        match self.take(addr) {
            Some((link, idle)) => Ok(Lease { link, pool: self.clone(), reused: true, idle }),
            None => self.open(addr).await,
        }
    }

    /// Opens a new connection, which proves that the address can be reached.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<Lease> {
        let opening = tokio::time::timeout(CONNECT_LIMIT, connect(addr));
        let link = opening.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(Lease { link, pool: self.clone(), reused: false, idle: Duration::ZERO })
    }

    /// Opens a connection and keeps it for later use, which shows that the
    /// address can be reached.
    pub async fn probe(&self, addr: SocketAddr) -> io::Result<()> {
        let lease = self.open(addr).await?;
        self.give_back(lease.link, UNNAMED_IDLE);
        Ok(())
    }

    /// Drops all idle connections to an address.
    pub fn forget(&self, addr: SocketAddr) {
        self.idle.lock().unwrap().remove(&addr);
    }

    fn take(&self, addr: SocketAddr) -> Option<(Link, Duration)> {
        let mut idle = self.idle.lock().unwrap();
        let list = idle.get_mut(&addr)?;
        while let Some(entry) = list.pop() {
            if entry.since.elapsed() < entry.limit && !entry.link.sender.is_closed() {
                return Some((entry.link, entry.since.elapsed()));
            }
        }
        idle.remove(&addr);
        None
    }

    fn give_back(&self, link: Link, limit: Duration) {
        if link.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap();
        let list = idle.entry(link.addr).or_default();
        if list.len() < IDLE_PER_ADDRESS {
            list.push(Idle { link, since: Instant::now(), limit });
        }
    }
}

/// One open connection; dropping it ends its task.
struct Link {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").field("addr", &self.addr).finish_non_exhaustive()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The right to use one connection for one request.
#[derive(Debug)]
pub struct Lease {
    link: Link,
    pool: Pool,
    reused: bool,
    idle: Duration,
}

/// A request that was not answered.
#[derive(Debug)]
pub enum SendError {
    /// No byte was written; the request comes back.
    Unsent(Box<Request>),
    /// The connection broke after bytes may have been written.
    Broken(hyper::Error),
}

impl Lease {
    /// The address that the connection leads to.
    pub fn addr(&self) -> SocketAddr {
        self.link.addr
    }

    /// How long the connection was idle before this lease.
    pub fn idle(&self) -> Duration {
        self.idle
    }

    /// Whether the connection served a request before.
    pub fn reused(&self) -> bool {
        self.reused
    }

    /// Waits until the connection can take a request; false if it is closed.
    pub async fn ready(&mut self) -> bool {
        self.link.sender.ready().await.is_ok()
    }

    /// Writes the request and waits for the head of the answer.
    pub async fn send(mut self, request: Request) -> Result<Answer, SendError> {
        match self.link.sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Answer { head, body, addr: self.addr(), lease: Some(self) })
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::Unsent(Box::new(request))),
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    addr: SocketAddr,
    lease: Option<Lease>,
}

impl Answer {
    /// Where it comes from.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The next part of the body; `None` at its proper end.
    ///
    /// The connection goes back to the pool at the end and only then.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    self.lease = None;
                    return Err(error);
                }
                None => {
                    self.finish();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body, up to a limit in bytes; `None` if it is longer.
    pub async fn collect(mut self, limit: usize) -> Result<Option<Bytes>, hyper::Error> {
        let mut whole = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            if whole.len() + chunk.len() > limit {
                return Ok(None);
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(Some(whole.into()))
    }

    fn finish(&mut self) {
        if let Some(Lease { link, pool, .. }) = self.lease.take() {
            pool.give_back(link, idle_limit(&self.head.headers));
        }
    }
}

/// How long a connection may be idle, by the server's `Keep-Alive` header.
fn idle_limit(headers: &http::HeaderMap) -> Duration {
    let named = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = |part: &str| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok();
    let seconds = named.and_then(|named| named.split(',').find_map(timeout));
    match seconds {
        Some(seconds) => IDLE_LIMIT.min(Duration::from_secs(seconds).mul_f64(IDLE_SHARE)),
        None => UNNAMED_IDLE,
    }
}

async fn connect(addr: SocketAddr) -> io::Result<Link> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(ACK_LIMIT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // The sender reports the error of a broken connection.
        let _ = connection.await;
    });
    Ok(Link { addr, sender, task: task.abort_handle() })
}
