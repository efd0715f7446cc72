//! The handle by which other threads talk to peers.

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

use crate::client::Links;
use crate::server::{Answer, State, serve};

/// How long a call to a peer may take.
const CALL_LIMIT: Duration = Duration::from_millis(700);
/// Calls that wait for the peers' thread.
const BACKLOG: usize = 4_096;

/// Why a call to a peer has no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerError(String);

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no answer from the peer: {}", self.0)
    }
}

impl std::error::Error for PeerError {}

type Reply<T> = oneshot::Sender<Result<T, PeerError>>;

enum Command {
    Exchange(SocketAddr, Box<Digest>, Reply<Digest>),
    Hold(SocketAddr, Arc<[Bill]>, Reply<bool>),
    Release(SocketAddr, Arc<[RequestId]>, Reply<()>),
    State(SocketAddr, Reply<State>),
}

/// Calls to peers; clones share the thread that makes them.
#[derive(Debug, Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
}

impl Handle {
    /// Starts the peers' thread, which listens and calls until `stop` is cancelled.
    pub fn start<A: Answer>(
        instance: Name,
        incarnation: u64,
        listener: TcpListener,
        answer: Arc<A>,
        stop: CancellationToken,
    ) -> Result<Handle> {
        let (commands, inbox) = mpsc::channel(BACKLOG);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = std::thread::Builder::new().name("peers".to_owned());
        let work = move || {
            let local = tokio::task::LocalSet::new();
            let identity = Identity { instance, incarnation };
            local.block_on(&runtime, run(identity, listener, answer, inbox, stop));
        };
        thread.spawn(work).context("starting the peers' thread")?;
        Ok(Handle { commands })
    }

    /// Gives a peer the digest and returns the peer's.
    pub async fn exchange(&self, addr: SocketAddr, digest: Digest) -> Result<Digest, PeerError> {
        self.call(|reply| Command::Exchange(addr, Box::new(digest), reply)).await
    }

    /// Has a peer keep copies of bills; whether it does.
    pub async fn hold(&self, addr: SocketAddr, bills: Arc<[Bill]>) -> Result<bool, PeerError> {
        self.call(|reply| Command::Hold(addr, bills, reply)).await
    }

    /// Has a peer drop copies of bills.
    pub async fn release(&self, addr: SocketAddr, ids: Arc<[RequestId]>) -> Result<(), PeerError> {
        self.call(|reply| Command::Release(addr, ids, reply)).await
    }

    /// Reads a peer's configuration and servers.
    pub async fn state(&self, addr: SocketAddr) -> Result<State, PeerError> {
        self.call(|reply| Command::State(addr, reply)).await
    }

    async fn call<T>(&self, command: impl FnOnce(Reply<T>) -> Command) -> Result<T, PeerError> {
        let (reply, result) = oneshot::channel();
        let stopped = || PeerError("the peers' thread has stopped".to_owned());
        self.commands.send(command(reply)).await.map_err(|_| stopped())?;
        result.await.map_err(|_| stopped())?
    }
}

#[derive(Clone)]
struct Identity {
    instance: Name,
    incarnation: u64,
}

async fn run<A: Answer>(
    identity: Identity,
    listener: TcpListener,
    answer: Arc<A>,
    mut inbox: mpsc::Receiver<Command>,
    stop: CancellationToken,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        log::error!("the peers' listener can't be used");
        return;
    };
    tokio::task::spawn_local(serve(listener, answer, stop.clone()));
    let links = Links::default();
    loop {
        let command = tokio::select! {
            command = inbox.recv() => command,
            () = stop.cancelled() => None,
        };
        let Some(command) = command else { return };
        tokio::task::spawn_local(perform(links.clone(), identity.clone(), command));
    }
}

async fn perform(links: Links, identity: Identity, command: Command) {
    let Identity { instance, incarnation } = identity;
    match command {
        Command::Exchange(addr, digest, reply) => {
            let call = links.exchange(addr, &digest);
            let _ = reply.send(limited(&links, addr, call).await);
        }
        Command::Hold(addr, bills, reply) => {
            let call = links.hold(addr, &instance, incarnation, &bills);
            let _ = reply.send(limited(&links, addr, call).await);
        }
        Command::Release(addr, ids, reply) => {
            let call = links.release(addr, &instance, incarnation, &ids);
            let _ = reply.send(limited(&links, addr, call).await);
        }
        Command::State(addr, reply) => {
            let call = links.state(addr);
            let _ = reply.send(limited(&links, addr, call).await);
        }
    }
}

/// Bounds a call in time; a connection that fails or goes silent is dropped.
async fn limited<T>(
    links: &Links,
    addr: SocketAddr,
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, PeerError> {
    let result = match tokio::time::timeout(CALL_LIMIT, call).await {
        Ok(Ok(value)) => return Ok(value),
        Ok(Err(error)) => PeerError(error.to_string()),
        Err(_) => PeerError(format!("no reply within {CALL_LIMIT:?}")),
    };
    links.drop_link(addr);
    Err(result)
}
