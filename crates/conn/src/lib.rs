//! A pool of HTTP/1 client connections, keyed by socket address.
//!
//! An unresponsive connection is detected by the TCP user timeout or by the
//! timeouts of the code that uses it, and is never returned to the pool. One on which
//! bytes arrive that never become a response is closed once there are too many.

mod guard;
mod memory;

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use guard::{GuardedStream, ReadAllowance};
pub use memory::{Held, MemoryBudget};

use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A request with a fully buffered body.
pub type Request = http::Request<Full<Bytes>>;

/// Timeout for establishing a TCP connection.
///
/// Longer than a round trip within a region, but shorter than the one second
/// after which a lost SYN is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Connections that have been idle for longer than this are not reused.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// The fraction of the server's `Keep-Alive` timeout for which an idle
/// connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// How long an idle connection is reused if the server sends no `Keep-Alive`
/// timeout.
///
/// The header counts whole seconds, so a server with a timeout of less than
/// one second cannot announce it.
const DEFAULT_MAX_IDLE: Duration = Duration::from_millis(400);
/// The TCP user timeout: how long sent data may remain unacknowledged before
/// the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The idle time before the first TCP keepalive probe, and the interval
/// between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is considered dead.
const KEEPALIVE_RETRIES: u32 = 2;
/// The size of the read buffer of a connection, which also limits the head of a response.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;
/// The maximum number of idle connections kept per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;
/// The interval at which connections that have been idle for too long are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// A pool of idle connections, keyed by address. Clones share the connections.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<IdleConnections>>,
    memory: MemoryBudget,
}

#[derive(Debug, Default)]
struct IdleConnections {
    by_addr: HashMap<SocketAddr, Vec<IdleConnection>>,
    /// Whether a task closes those that have been idle for too long.
    has_expiry_task: bool,
}

/// An idle connection and how long it may stay in the pool.
#[derive(Debug)]
struct IdleConnection {
    link: Link,
    idle_since: Instant,
    max_idle: Duration,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.idle_since.elapsed() < self.max_idle && !self.link.sender.is_closed()
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Pool::default()
    }

    /// Creates an empty pool whose responses take the memory that they need from a budget.
    pub fn with_memory(memory: MemoryBudget) -> Self {
        Pool { memory, ..Pool::default() }
    }

    /// The budget of memory that responses take theirs from.
    pub fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    /// Takes an idle connection from the pool, or opens a new one.
    pub async fn lease(&self, addr: SocketAddr) -> io::Result<Lease> {
        match self.take_idle(addr) {
            Some((link, idle)) => Ok(Lease { link, pool: self.clone(), reused: true, idle }),
            None => self.open(addr).await,
        }
    }

    /// Opens a new connection; success shows that the address is reachable.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<Lease> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(addr));
        let link = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Ok(Lease { link, pool: self.clone(), reused: false, idle: Duration::ZERO })
    }

    /// Checks that the address is reachable by opening a connection.
    ///
    /// The connection is closed at once: a server accepts a limited number, and many probes may
    /// be sent to it.
    pub async fn probe(&self, addr: SocketAddr) -> io::Result<()> {
        self.open(addr).await.map(drop)
    }

    /// Closes all idle connections to an address.
    pub fn evict(&self, addr: SocketAddr) {
        self.idle.lock().unwrap().by_addr.remove(&addr);
    }

    /// Takes the most recently used idle connection that is still usable, and
    /// how long it was idle. Unusable ones are closed.
    fn take_idle(&self, addr: SocketAddr) -> Option<(Link, Duration)> {
        let mut idle = self.idle.lock().unwrap();
        let entries = idle.by_addr.get_mut(&addr)?;
        while let Some(entry) = entries.pop() {
            if entry.is_usable() {
                return Some((entry.link, entry.idle_since.elapsed()));
            }
        }
        idle.by_addr.remove(&addr);
        None
    }

    /// Returns a connection to the pool, where it may stay idle for `max_idle`.
    /// Closes it instead if the pool already holds [`MAX_IDLE_PER_ADDRESS`]
    /// connections to this address.
    fn release(&self, link: Link, max_idle: Duration) {
        if link.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap();
        let entries = idle.by_addr.entry(link.addr).or_default();
        if entries.len() < MAX_IDLE_PER_ADDRESS {
            entries.push(IdleConnection { link, idle_since: Instant::now(), max_idle });
        }
        if !std::mem::replace(&mut idle.has_expiry_task, true) {
            tokio::spawn(close_expired(Arc::downgrade(&self.idle)));
        }
    }
}

/// Closes connections that have been idle for too long until none is left: they count towards the
/// number that a server accepts.
async fn close_expired(idle: Weak<Mutex<IdleConnections>>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let Some(idle) = idle.upgrade() else { return };
        let mut idle = idle.lock().unwrap();
        idle.by_addr.retain(|_, entries| {
            entries.retain(IdleConnection::is_usable);
            !entries.is_empty()
        });
        if idle.by_addr.is_empty() {
            idle.has_expiry_task = false;
            return;
        }
    }
}

/// An open connection; dropping it aborts the task that drives it.
struct Link {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
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

/// Exclusive use of a pooled connection for one request.
#[derive(Debug)]
pub struct Lease {
    link: Link,
    pool: Pool,
    reused: bool,
    idle: Duration,
}

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte was written; the request is returned to the caller.
    Unsent(Box<Request>),
    /// The connection failed after bytes may have been written.
    Broken(hyper::Error),
}

impl Lease {
    /// The remote address of the connection.
    pub fn addr(&self) -> SocketAddr {
        self.link.addr
    }

    /// How long the connection was idle before it was leased.
    pub fn idle(&self) -> Duration {
        self.idle
    }

    /// Whether the connection was taken from the pool.
    pub fn reused(&self) -> bool {
        self.reused
    }

    /// Waits until the connection can accept a request; returns `false` if it
    /// is closed.
    pub async fn ready(&mut self) -> bool {
        self.link.sender.ready().await.is_ok()
    }

    /// Sends the request and waits for the response head.
    pub async fn send(mut self, request: Request) -> Result<IncomingResponse, SendError> {
        self.link.allowance.renew();
        match self.link.sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                let addr = self.addr();
                let held = self.pool.memory.hold();
                Ok(IncomingResponse { head, body, has_begun: false, addr, held, lease: Some(self) })
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(SendError::Unsent(Box::new(request))),
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct IncomingResponse {
    /// The status and headers.
    pub head: http::response::Parts,
    body: Incoming,
    /// Whether a part of the body was received.
    has_begun: bool,
    addr: SocketAddr,
    held: Held,
    lease: Option<Lease>,
}

/// Why a body can't be read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed before.
    Broken(hyper::Error),
    /// Nothing came, and only the end of the connection would show that the body is empty: the
    /// sender may have stopped behind the head.
    Missing,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::Broken(error) => write!(f, "the body broke off: {error}"),
            BodyError::Missing => f.write_str("the connection ended behind the head"),
        }
    }
}

impl std::error::Error for BodyError {}

impl IncomingResponse {
    /// The remote address that sent the response.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the body ends with the connection, as the head says nothing of its length.
    fn ends_with_connection(&self) -> bool {
        let has_body =
            !matches!(self.head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
        has_body && !framing.iter().any(|name| self.head.headers.contains_key(name))
    }

    /// Reads the next chunk of the body; `None` once the body is complete.
    ///
    /// The connection is returned to the pool only when the body is complete.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.has_begun = true;
                        if let Some(lease) = &self.lease {
                            lease.link.allowance.renew();
                        }
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => {
                    self.lease = None;
                    return Err(BodyError::Broken(error));
                }
                None if !self.has_begun && self.ends_with_connection() => {
                    self.lease = None;
                    return Err(BodyError::Missing);
                }
                None => {
                    self.finish();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the whole body; `None` if it is longer than `limit` bytes. Waits for memory.
    pub async fn collect(mut self, limit: usize) -> Result<Option<Bytes>, BodyError> {
        let mut body = Vec::new();
        let length = body_length(&self.body, limit);
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > limit {
                return Ok(None);
            }
            self.held.append(&mut body, &chunk, length).await;
        }
        Ok(Some(self.held.keep_with(body.into())))
    }

    /// Returns the connection to the pool after the body has been read.
    fn finish(&mut self) {
        if let Some(Lease { link, pool, .. }) = self.lease.take() {
            pool.release(link, max_idle(&self.head.headers));
        }
    }
}

/// Returns the length of a body, if it is known and does not exceed `limit` bytes.
pub fn body_length(body: &impl Body, limit: usize) -> Option<usize> {
    let length = body.size_hint().exact()?;
    usize::try_from(length).ok().filter(|length| *length <= limit)
}

/// Returns how long a connection may stay idle according to the server's
/// `Keep-Alive` header.
fn max_idle(headers: &http::HeaderMap) -> Duration {
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = |param: &str| param.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok();
    let seconds = keep_alive.and_then(|value| value.split(',').find_map(timeout));
    match seconds {
        Some(seconds) => MAX_IDLE.min(Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_FRACTION)),
        None => DEFAULT_MAX_IDLE,
    }
}

/// Opens a connection, enables TCP keepalive and the user timeout, and spawns
/// the task that drives the connection.
async fn connect(addr: SocketAddr) -> io::Result<Link> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    let allowance = ReadAllowance::default();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(GuardedStream::new(stream, allowance.clone())))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        // The request in flight receives the error through its `SendRequest`.
        let _ = connection.await;
    });
    Ok(Link { addr, sender, allowance, task: task.abort_handle() })
}
