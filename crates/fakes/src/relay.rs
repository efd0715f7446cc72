//! A TCP relay that cuts or silences what it carries.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// What the relay does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Carries everything.
    Open,
    /// Refuses new connections and breaks the open ones.
    Cut,
    /// Open connections carry nothing more, while new ones work.
    SilenceOpen,
    /// Accepts and carries nothing, on open and new connections.
    Silent,
}

/// A running relay; clones share its state.
#[derive(Clone)]
pub struct Relay {
    addr: SocketAddr,
    mode: Arc<watch::Sender<(RelayMode, u64)>>,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    pub async fn start(target: SocketAddr, stop: CancellationToken) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let (mode, watch) = watch::channel((RelayMode::Open, 0));
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = stop.cancelled() => return,
                };
                let Ok((stream, _)) = accepted else { continue };
                let born = watch.borrow().1;
                if watch.borrow().0 != RelayMode::Cut {
                    tokio::spawn(carry(stream, target, watch.clone(), born, stop.clone()));
                }
            }
        });
        Ok(Relay { addr, mode: Arc::new(mode) })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what it does.
    pub fn set(&self, mode: RelayMode) {
        self.mode.send_modify(|state| *state = (mode, state.1 + 1));
    }
}

type Mode = watch::Receiver<(RelayMode, u64)>;

async fn carry(
    caller: TcpStream,
    target: SocketAddr,
    mut mode: Mode,
    born: u64,
    stop: CancellationToken,
) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    let up = copy(caller_read, server_write, mode.clone(), born);
    let down = copy(server_read, caller_write, mode.clone(), born);
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        _ = mode.wait_for(|(mode, _)| *mode == RelayMode::Cut) => {}
        () = stop.cancelled() => {}
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: Mode,
    born: u64,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        // A silenced connection swallows what comes and tells nobody.
        let open = |(mode, number): &(RelayMode, u64)| match mode {
            RelayMode::Open => true,
            RelayMode::SilenceOpen => *number == born,
            RelayMode::Cut | RelayMode::Silent => false,
        };
        if mode.wait_for(open).await.is_err() || count == 0 {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
