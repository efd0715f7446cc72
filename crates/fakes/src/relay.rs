//! A TCP relay that can break or stall the connections it forwards.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::loopback::unique_ip;

/// How a relay treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards all bytes.
    Forward,
    /// Closes existing connections, and new ones as soon as they are accepted.
    Disconnect,
    /// Holds back bytes on existing connections and keeps these open; new ones work.
    StallExisting,
    /// Accepts new connections, and holds back bytes on all connections.
    StallAll,
    /// Resets existing connections and refuses new ones.
    Refuse,
    /// Forwards bytes on existing connections and refuses new ones.
    RefuseNew,
    /// Holds back bytes on existing connections; new ones are not established.
    Unreachable,
}

/// A running relay; clones share its state.
#[derive(Clone)]
pub struct Relay {
    addr: SocketAddr,
    state: Arc<watch::Sender<State>>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    mode: RelayMode,
    /// The number of changes of the mode so far.
    changes: u64,
    /// Where connections lead.
    target: SocketAddr,
}

impl Relay {
    /// Starts a relay to `target` on a loopback address of its own, so that no other test listens
    /// there while the relay refuses connections.
    pub async fn start(target: SocketAddr, stop: CancellationToken) -> Result<Self> {
        let listener = TcpListener::bind((unique_ip(), 0)).await?;
        let addr = listener.local_addr()?;
        let state = State { mode: RelayMode::Forward, changes: 0, target };
        let (state, receiver) = watch::channel(state);
        tokio::spawn(accept_by_mode(listener, addr, receiver, stop));
        Ok(Relay { addr, state: Arc::new(state) })
    }

    /// The address that the relay listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes how the relay treats connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.send_modify(|state| {
            state.mode = mode;
            state.changes += 1;
        });
    }

    /// Leads new connections to another target, and closes existing ones.
    pub fn redirect(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }
}

type StateReceiver = watch::Receiver<State>;

/// Accepts connections while the mode allows it, and otherwise closes the listener.
async fn accept_by_mode(
    listener: TcpListener,
    addr: SocketAddr,
    mut state: StateReceiver,
    stop: CancellationToken,
) {
    let mut listener = Some(listener);
    // Dropping it frees the address.
    let mut full_queue = None;
    loop {
        let current = *state.borrow_and_update();
        let listens = match current.mode {
            RelayMode::Forward
            | RelayMode::Disconnect
            | RelayMode::StallExisting
            | RelayMode::StallAll => true,
            RelayMode::Refuse | RelayMode::RefuseNew | RelayMode::Unreachable => false,
        };
        if !listens {
            drop(listener.take());
        }
        full_queue = match current.mode {
            RelayMode::Unreachable if full_queue.is_none() => FullQueue::listen(addr).ok(),
            RelayMode::Unreachable => full_queue,
            _ => None,
        };
        if listens && listener.is_none() {
            listener = TcpListener::bind(addr).await.ok();
        }
        let accepting = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        let accepted = tokio::select! {
            accepted = accepting => accepted,
            _ = state.changed() => continue,
            () = stop.cancelled() => return,
        };
        if let Ok((stream, _)) = accepted
            && current.mode != RelayMode::Disconnect
        {
            let (state, stop) = (state.clone(), stop.clone());
            tokio::spawn(forward_connection(stream, current, state, stop));
        }
    }
}

/// A listener whose queue of connections is full, so that no further one is established.
#[derive(Debug)]
struct FullQueue {
    _listener: socket2::Socket,
    _queued: Vec<socket2::Socket>,
}

impl FullQueue {
    fn listen(addr: SocketAddr) -> std::io::Result<Self> {
        let stream = || {
            socket2::Socket::new(socket2::Domain::for_address(addr), socket2::Type::STREAM, None)
        };
        let listener = stream()?;
        listener.set_reuse_address(true)?;
        listener.bind(&addr.into())?;
        listener.listen(0)?;
        let mut queued = Vec::new();
        for _ in 0..2 {
            let socket = stream()?;
            socket.set_nonblocking(true)?;
            // Reports that the connection is in progress.
            let _ = socket.connect(&addr.into());
            queued.push(socket);
        }
        Ok(FullQueue { _listener: listener, _queued: queued })
    }
}

/// Forwards both directions of a connection that was opened in the state `opened` until both
/// are closed, the mode is [`RelayMode::Disconnect`] or [`RelayMode::Refuse`], or the target
/// has changed.
async fn forward_connection(
    client: TcpStream,
    opened: State,
    mut state: StateReceiver,
    stop: CancellationToken,
) {
    let Ok(server) = TcpStream::connect(opened.target).await else { return };
    // The end of a message would wait for the delayed acknowledgement of its beginning.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let upstream = forward_bytes(client_read, server_write, state.clone(), opened.changes);
    let downstream = forward_bytes(server_read, client_write, state.clone(), opened.changes);
    let is_closed = |state: &State| {
        matches!(state.mode, RelayMode::Disconnect | RelayMode::Refuse)
            || state.target != opened.target
    };
    tokio::select! {
        _ = async { tokio::join!(upstream, downstream) } => {}
        _ = state.wait_for(is_closed) => {}
        () = stop.cancelled() => {}
    }
}

/// Forwards one direction of a connection, and holds back bytes while the mode demands it.
async fn forward_bytes(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut state: StateReceiver,
    opened_at_change: u64,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        // A stalled connection stays open, so that neither end sees a close or a reset.
        let forwards = |state: &State| match state.mode {
            RelayMode::Forward | RelayMode::RefuseNew => true,
            RelayMode::StallExisting => state.changes == opened_at_change,
            RelayMode::Disconnect
            | RelayMode::StallAll
            | RelayMode::Refuse
            | RelayMode::Unreachable => false,
        };
        if state.wait_for(forwards).await.is_err() || count == 0 {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
