//! The service that exchanges digests with peers, and the handler of their calls.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use anyhow::{Context, Result};
use config::Name;
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::Service;
use ledger::Bill;
use peer::{Handle, PeerState};
use policy::{Digest, Event, RequestId};
use rand::seq::IndexedRandom;
use router::Shared;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::configuration::Configuration;
use crate::pacing::jitter;

/// The mean interval between exchanges, in seconds.
const EXCHANGE_INTERVAL_S: f64 = 1.0;

/// Periodically exchanges digests with one peer inside the domain and one outside it.
pub struct Gossip {
    shared: Shared,
    configuration: Arc<Configuration>,
    peers: Mutex<Option<Handle>>,
    stop_peers: CancellationToken,
}

impl Gossip {
    /// The name of the service.
    pub const NAME: &'static str = "gossip";

    /// Creates the service.
    pub fn new(shared: Shared, configuration: Arc<Configuration>) -> Self {
        let stop_peers = CancellationToken::new();
        Gossip { shared, configuration, peers: Mutex::default(), stop_peers }
    }

    /// Binds the listener for peers, and connects the components that call peers.
    ///
    /// Returns the bound address.
    pub fn listen(self: &Arc<Self>, addr: SocketAddr) -> Result<SocketAddr> {
        let listener = TcpListener::bind(addr).with_context(|| format!("--peers {addr}"))?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        let shared = &self.shared;
        let handle = Handle::start(
            shared.instance.clone(),
            shared.incarnation,
            listener,
            Arc::new(PeerHandler { gossip: self.clone() }),
            self.stop_peers.clone(),
        )?;
        shared.bills.set_peers(handle.clone());
        self.configuration.connect(handle.clone());
        *self.peers.lock().unwrap() = Some(handle);
        Ok(bound)
    }

    /// Exchanges digests with all peers immediately, to announce that the instance is leaving.
    pub async fn exchange_with_all(&self) {
        let contacts = self.shared.directory.contacts(&self.shared.instance);
        let exchanges = contacts.into_iter().map(|addr| self.exchange(addr));
        futures::future::join_all(exchanges).await;
    }

    async fn run_loop(&self, stop: CancellationToken) -> Result<()> {
        loop {
            tokio::select! {
                () = tokio::time::sleep(jitter(EXCHANGE_INTERVAL_S)) => {}
                () = stop.cancelled() => break,
            }
            let chosen = self.choose_peers();
            futures::future::join_all(chosen.into_iter().map(|addr| self.exchange(addr))).await;
        }
        self.stop_peers.cancel();
        Ok(())
    }

    /// Chooses one peer inside the domain and one outside it at random.
    ///
    /// Returns the seeds if no peers are known.
    fn choose_peers(&self) -> Vec<SocketAddr> {
        let peers = self.shared.directory.peers(&self.shared.instance);
        let (inside, outside): (Vec<_>, Vec<_>) =
            peers.iter().partition(|peer| peer.domain == self.shared.domain);
        let mut rng = rand::rng();
        let chosen = [inside.choose(&mut rng), outside.choose(&mut rng)];
        let chosen: Vec<SocketAddr> = chosen.into_iter().flatten().map(|peer| peer.addr).collect();
        match chosen.is_empty() {
            true => self.shared.directory.contacts(&self.shared.instance),
            false => chosen,
        }
    }

    async fn exchange(&self, addr: SocketAddr) {
        let Some(peers) = self.peers.lock().unwrap().clone() else { return };
        match peers.exchange(addr, self.configuration.digest()).await {
            Ok(digest) => self.merge(digest),
            Err(_) => {
                self.shared.metrics.peer_errors.inc();
            }
        }
    }

    fn merge(&self, digest: Digest) {
        self.configuration.handle_peer_number(digest.config_number);
        self.shared.router.step(Event::DigestReceived(digest));
    }
}

impl Service for Gossip {
    fn name(&self) -> &'static str {
        Gossip::NAME
    }

    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>> {
        async move { self.run_loop(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        let alive = self.shared.router.with_core(|core, now| core.peers_alive(now));
        json!({ "alive": alive })
    }
}

/// Handles calls from peers.
struct PeerHandler {
    gossip: Arc<Gossip>,
}

impl peer::RequestHandler for PeerHandler {
    fn exchange(&self, digest: Digest) -> Digest {
        self.gossip.merge(digest);
        self.gossip.configuration.digest()
    }

    fn hold(&self, instance: Name, incarnation: u64, bills: Vec<Bill>) -> bool {
        self.gossip.shared.bills.hold_for(instance, incarnation, bills)
    }

    fn release(&self, instance: Name, incarnation: u64, ids: Vec<RequestId>) {
        self.gossip.shared.bills.release_for(&instance, incarnation, &ids);
    }

    fn state(&self) -> PeerState {
        let (number, pieces) = self.gossip.configuration.pieces();
        let servers = self.gossip.shared.directory.servers();
        let servers = servers.iter().filter_map(|server| serde_json::to_string(server).ok());
        PeerState { number, pieces, servers: servers.collect() }
    }
}
