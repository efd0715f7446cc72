//! The handle through which other threads call peers, and the thread that makes the calls.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use config::Name;
use ledger::Bill;
use policy::{Digest, RequestId};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::client::Connections;
use crate::server::{PeerState, RequestHandler, serve};

/// The timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum number of calls that are queued for the peer thread.
const CALL_QUEUE_CAPACITY: usize = 4_096;

/// The error of a failed call to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerError(String);

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call to peer failed: {}", self.0)
    }
}

impl std::error::Error for PeerError {}

/// The channel that returns the result of a call.
type Reply<T> = oneshot::Sender<Result<T, PeerError>>;

/// A call to be made by the peer thread, with the peer's address and the channel for
/// the result.
enum Call {
    Exchange(SocketAddr, Box<Digest>, Reply<Digest>),
    Hold(SocketAddr, Arc<[Bill]>, Reply<bool>),
    Release(SocketAddr, Arc<[RequestId]>, Reply<()>),
    State(SocketAddr, Reply<PeerState>),
}

/// A handle for calling peers. Clones share the thread that makes the calls.
#[derive(Debug, Clone)]
pub struct Handle {
    calls: mpsc::Sender<Call>,
}

impl Handle {
    /// Starts the peer thread, which serves `listener` and makes calls to peers until
    /// `stop` is cancelled.
    pub fn start<H: RequestHandler>(
        instance: Name,
        incarnation: u64,
        listener: TcpListener,
        handler: Arc<H>,
        stop: CancellationToken,
    ) -> Result<Handle> {
        let (calls, queue) = mpsc::channel(CALL_QUEUE_CAPACITY);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new().name("peers".to_owned());
        let run_thread = move || {
            let local = tokio::task::LocalSet::new();
            let identity = Identity { instance, incarnation };
            local.block_on(&runtime, run(identity, listener, handler, queue, stop));
        };
        thread.spawn(run_thread).context("failed to start the peer thread")?;
        Ok(Handle { calls })
    }

    /// Sends the digest to a peer and returns the peer's digest.
    pub async fn exchange(&self, addr: SocketAddr, digest: Digest) -> Result<Digest, PeerError> {
        self.call(|reply| Call::Exchange(addr, Box::new(digest), reply)).await
    }

    /// Asks a peer to store copies of this instance's bills. Returns whether it did.
    pub async fn hold(&self, addr: SocketAddr, bills: Arc<[Bill]>) -> Result<bool, PeerError> {
        self.call(|reply| Call::Hold(addr, bills, reply)).await
    }

    /// Asks a peer to remove copies of this instance's bills.
    pub async fn release(&self, addr: SocketAddr, ids: Arc<[RequestId]>) -> Result<(), PeerError> {
        self.call(|reply| Call::Release(addr, ids, reply)).await
    }

    /// Requests a peer's configuration and the backend servers that it knows.
    pub async fn state(&self, addr: SocketAddr) -> Result<PeerState, PeerError> {
        self.call(|reply| Call::State(addr, reply)).await
    }

    /// Queues a call and waits for its result.
    async fn call<T>(&self, call: impl FnOnce(Reply<T>) -> Call) -> Result<T, PeerError> {
        let (reply, result) = oneshot::channel();
        let stopped = || PeerError("the peer thread has stopped".to_owned());
        self.calls.send(call(reply)).await.map_err(|_| stopped())?;
        result.await.map_err(|_| stopped())?
    }
}

/// The identity of this instance, which calls carry to the peer.
#[derive(Clone)]
struct Identity {
    instance: Name,
    incarnation: u64,
}

/// Serves peers, and makes the queued calls, until `stop` is cancelled.
async fn run<H: RequestHandler>(
    identity: Identity,
    listener: TcpListener,
    handler: Arc<H>,
    mut queue: mpsc::Receiver<Call>,
    stop: CancellationToken,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("failed to register the peer listener with the runtime: {error}");
            return;
        }
    };
    tokio::task::spawn_local(serve(listener, handler, stop.clone()));
    let connections = Connections::default();
    loop {
        let call = tokio::select! {
            call = queue.recv() => call,
            () = stop.cancelled() => None,
        };
        let Some(call) = call else { return };
        tokio::task::spawn_local(make_call(connections.clone(), identity.clone(), call));
    }
}

async fn make_call(connections: Connections, identity: Identity, call: Call) {
    let Identity { instance, incarnation } = identity;
    match call {
        Call::Exchange(addr, digest, reply) => {
            let response = connections.exchange(addr, &digest);
            let _ = reply.send(with_timeout(&connections, addr, response).await);
        }
        Call::Hold(addr, bills, reply) => {
            let response = connections.hold(addr, &instance, incarnation, &bills);
            let _ = reply.send(with_timeout(&connections, addr, response).await);
        }
        Call::Release(addr, ids, reply) => {
            let response = connections.release(addr, &instance, incarnation, &ids);
            let _ = reply.send(with_timeout(&connections, addr, response).await);
        }
        Call::State(addr, reply) => {
            let response = connections.state(addr);
            let _ = reply.send(with_timeout(&connections, addr, response).await);
        }
    }
}

/// Applies the timeout to a call. If the call fails or times out, the connection is
/// removed from the pool.
async fn with_timeout<T>(
    connections: &Connections,
    addr: SocketAddr,
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, PeerError> {
    let error = match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(value)) => return Ok(value),
        Ok(Err(error)) => PeerError(error.to_string()),
        Err(_) => PeerError(format!("no response within {CALL_TIMEOUT:?}")),
    };
    connections.disconnect(addr);
    Err(error)
}
