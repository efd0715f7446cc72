//! The service that keeps the configuration in force.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use anyhow::{Context, Result, bail};
use config::{Account, HEAD_KEY, Head, Manifest, Name, Piece, Route, Snapshot};
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::Service;
use policy::{CONFIRMATION_TTL, Event, HaltKey};
use rand::seq::IndexedRandom;
use router::Shared;
use serde_json::json;
use store::{Objects, Table, Transaction, Write};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::pacing::{jitter, poll_interval};

/// The prefix of the rows that hold halts.
pub const HALT_PREFIX: &str = "halt/";
/// The prefix of the rows by which instances say what they have in force.
pub const ACK_PREFIX: &str = "ack/";
/// Peers that are asked when the platform does not confirm.
const ASKED_PEERS: usize = 3;
/// Peers that are told at once of a new configuration.
const TOLD_PEERS: usize = 3;
/// Acknowledgements are spread over this time, in seconds.
const ACK_SPREAD_S: f64 = 0.3;

/// Reads the head row, fetches what is new, and confirms what is in force.
pub struct Configuration {
    shared: Shared,
    peers: OnceLock<peer::Handle>,
    state: Mutex<State>,
    news: Notify,
}

#[derive(Default)]
struct State {
    pieces: HashMap<Name, Piece>,
    confirmed: Option<Instant>,
    acked: u64,
    failures: u64,
    failing: bool,
}

impl Configuration {
    /// The name of the service.
    pub const NAME: &'static str = "configuration";

    /// Makes the service.
    pub fn new(shared: Shared) -> Self {
        Configuration {
            shared,
            peers: OnceLock::new(),
            state: Mutex::default(),
            news: Notify::new(),
        }
    }

    /// Sets the way to talk to peers; done once at start.
    pub fn connect(&self, peers: peer::Handle) {
        let _ = self.peers.set(peers);
    }

    /// Notes the number of a peer's configuration, to fetch a newer one at once.
    pub fn heard(&self, number: u64) {
        if number > self.number() {
            self.news.notify_one();
        }
    }

    /// The age of the last confirmation by the platform, in milliseconds.
    pub fn confirmed_age_ms(&self) -> Option<u64> {
        let confirmed = self.state.lock().unwrap().confirmed?;
        Some(confirmed.elapsed().as_millis() as u64)
    }

    /// The configuration as a peer takes it over.
    pub fn pieces(&self) -> (u64, Vec<String>) {
        let Some(config) = self.shared.router.with_core(|core, _| core.config().cloned()) else {
            return (0, Vec::new());
        };
        let routes = config.routes.values().map(|route| Piece::Route(Route::clone(route)));
        let accounts = config.accounts.values().map(|a| Piece::Account(Account::clone(a)));
        let pieces = routes.chain(accounts).filter_map(|p| serde_json::to_string(&p).ok());
        (config.number, pieces.collect())
    }

    fn number(&self) -> u64 {
        self.shared.router.with_core(|core, _| core.config().map_or(0, |config| config.number))
    }

    async fn keep(&self, stop: CancellationToken) -> Result<()> {
        loop {
            if let Err(error) = self.poll().await {
                self.failed(&error).await;
            }
            let members = self.shared.directory.list().len();
            tokio::select! {
                () = tokio::time::sleep(poll_interval(members)) => {}
                () = self.news.notified() => {}
                () = stop.cancelled() => return Ok(()),
            }
        }
    }

    /// Reads the head row and brings the core up to it.
    async fn poll(&self) -> Result<()> {
        let asked = Instant::now();
        let asked_mono = self.shared.router.clock().now().mono;
        let rows = self.shared.platform.read(&[HEAD_KEY]).await?;
        let row = rows.into_iter().find(|row| row.version > 0);
        let Some(row) = row else { return Ok(()) };
        let head: Head = serde_json::from_value(row.value).context("reading the head row")?;
        let known = self.number();
        if head.number > known {
            let snapshot = self.fetch(&head).await?;
            self.apply(snapshot);
        } else if head.number < known {
            bail!("the platform's head row is older than what is in force");
        }
        self.read_halts().await?;
        self.note_confirmed(asked);
        self.shared.router.step(Event::Confirmed(asked_mono + CONFIRMATION_TTL));
        self.acknowledge(head.number).await;
        Ok(())
    }

    fn note_confirmed(&self, asked: Instant) {
        let mut state = self.state.lock().unwrap();
        state.confirmed = Some(asked);
        if std::mem::replace(&mut state.failing, false) {
            log::info!("the configuration is confirmed by the platform again");
        }
    }

    async fn read_halts(&self) -> Result<()> {
        for row in self.shared.platform.scan_all(HALT_PREFIX).await? {
            let halt: HaltKey = serde_json::from_value(row.value["key"].clone())?;
            self.shared.router.step(Event::Halted(halt));
        }
        Ok(())
    }

    /// Fetches the pieces of a configuration that are not known yet.
    async fn fetch(&self, head: &Head) -> Result<Snapshot> {
        let manifest = self.object(&head.manifest).await?;
        let manifest: Manifest = serde_json::from_slice(&manifest).context("the manifest")?;
        let mut pieces = HashMap::new();
        for entry in manifest.pieces.values() {
            let known = self.state.lock().unwrap().pieces.get(&entry.hash).cloned();
            let piece = match known {
                Some(piece) => piece,
                None => serde_json::from_slice(&self.object(&entry.hash).await?)?,
            };
            pieces.insert(entry.hash.clone(), piece);
        }
        let snapshot = Snapshot::new(head.number, pieces.values().cloned());
        self.state.lock().unwrap().pieces = pieces;
        Ok(snapshot)
    }

    async fn object(&self, hash: &str) -> Result<Vec<u8>> {
        let body = self.shared.platform.get(hash).await?;
        let body = body.with_context(|| format!("object {hash} is missing"))?;
        if *config::hash_bytes(&body) != *hash {
            bail!("object {hash} is damaged");
        }
        Ok(body.to_vec())
    }

    fn apply(&self, snapshot: Snapshot) {
        let number = snapshot.number;
        self.shared.router.step(Event::Configured(Arc::new(snapshot)));
        self.shared.metrics.config_number.set(number as i64);
        log::info!("configuration {number} is in force");
        self.tell();
    }

    /// Tells a few peers of a new configuration at once.
    fn tell(&self) {
        let Some(peers) = self.peers.get() else { return };
        let contacts = self.shared.directory.contacts(&self.shared.instance);
        let told: Vec<SocketAddr> =
            contacts.sample(&mut rand::rng(), TOLD_PEERS).copied().collect();
        for addr in told {
            let (peers, digest) = (peers.clone(), self.digest());
            tokio::spawn(async move {
                // Gossip brings it later to a peer that can't be reached now.
                let _ = peers.exchange(addr, digest).await;
            });
        }
    }

    /// The instance's digest for a peer.
    pub fn digest(&self) -> policy::Digest {
        let age = self.confirmed_age_ms();
        self.shared.router.with_core(|core, now| core.digest(now, age))
    }

    /// Says in the table what is in force here, for `publish --wait`.
    async fn acknowledge(&self, number: u64) {
        if self.state.lock().unwrap().acked >= number {
            return;
        }
        tokio::time::sleep(jitter(ACK_SPREAD_S)).await;
        let key = format!("{ACK_PREFIX}{}", self.shared.instance);
        let value = json!({ "number": number, "incarnation": self.shared.incarnation });
        let write = Write { key, value: Some(value) };
        let transaction = Transaction { conditions: Vec::new(), writes: vec![write] };
        if self.shared.platform.transact(&transaction).await.is_ok() {
            self.state.lock().unwrap().acked = number;
        }
    }

    /// Asks peers after the platform did not confirm.
    async fn failed(&self, error: &anyhow::Error) {
        self.shared.metrics.platform_errors.inc();
        let first = {
            let mut state = self.state.lock().unwrap();
            state.failures += 1;
            !std::mem::replace(&mut state.failing, true)
        };
        if first {
            log::warn!("the configuration can't be confirmed by the platform: {error:#}");
        }
        self.ask_peers().await;
        self.shared.router.step(Event::Unconfirmed);
    }

    async fn ask_peers(&self) {
        let Some(peers) = self.peers.get() else { return };
        let contacts = self.shared.directory.contacts(&self.shared.instance);
        let asked: Vec<SocketAddr> =
            contacts.sample(&mut rand::rng(), ASKED_PEERS).copied().collect();
        let asking = asked.into_iter().map(|addr| self.ask_peer(peers, addr));
        futures::future::join_all(asking).await;
    }

    async fn ask_peer(&self, peers: &peer::Handle, addr: SocketAddr) {
        let Ok(digest) = peers.exchange(addr, self.digest()).await else { return };
        if digest.config_number > self.number() {
            self.take_over(peers, addr).await;
        }
        self.shared.router.step(Event::Merged(digest));
    }

    /// Takes over a peer's configuration and servers while the platform is out.
    async fn take_over(&self, peers: &peer::Handle, addr: SocketAddr) {
        let Ok(state) = peers.state(addr).await else { return };
        let pieces: Result<Vec<Piece>, _> =
            state.pieces.iter().map(|piece| serde_json::from_str(piece)).collect();
        let Ok(pieces) = pieces else { return };
        if state.number > self.number() {
            self.apply(Snapshot::new(state.number, pieces));
        }
        if self.shared.directory.list().is_empty() {
            let servers = state.servers.iter().filter_map(|s| serde_json::from_str(s).ok());
            self.shared.router.step(Event::Listed(servers.collect()));
        }
    }
}

impl Service for Configuration {
    fn name(&self) -> &'static str {
        Configuration::NAME
    }

    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>> {
        async move { self.keep(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        let number = self.number();
        let age = self.confirmed_age_ms();
        let state = self.state.lock().unwrap();
        json!({
            "number": number,
            "pieces": state.pieces.len(),
            "confirmed_age_ms": age,
            "acknowledged": state.acked,
            "failures": state.failures,
        })
    }
}
