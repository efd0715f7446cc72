//! The service that keeps the configuration up to date.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use anyhow::{Context, Result, bail};
use config::{Account, HEAD_KEY, Head, Manifest, Name, Piece, ReportedEntries, Route, Snapshot};
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::Service;
use policy::{CONFIRMATION_TTL, Event, HaltKey};
use rand::seq::IndexedRandom;
use router::Shared;
use serde_json::json;
use store::{ObjectStore, Table, Transaction, Write};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::pacing::{jitter, poll_interval};

/// The key prefix of rows that store halts.
pub const HALT_PREFIX: &str = "halt/";
/// The key prefix of rows in which instances acknowledge a configuration.
pub const ACK_PREFIX: &str = "ack/";
/// How many peers are queried when the platform can't confirm the configuration.
const QUERIED_PEERS: usize = 3;
/// How many peers are notified immediately of a new configuration.
const NOTIFIED_PEERS: usize = 3;
/// The mean delay before an acknowledgement, in seconds. It is jittered, so that
/// instances don't write at the same time.
const ACK_DELAY_S: f64 = 0.3;

/// Polls the head row, fetches new pieces, and confirms the active configuration.
pub struct Configuration {
    shared: Shared,
    peers: OnceLock<peer::Handle>,
    state: Mutex<State>,
    newer_available: Notify,
}

#[derive(Default)]
struct State {
    pieces: HashMap<Name, Piece>,
    last_confirmed: Option<Instant>,
    acknowledged: u64,
    failures: u64,
    failing: bool,
    /// Halts that can't be read.
    unreadable: ReportedEntries,
}

impl Configuration {
    /// The name of the service.
    pub const NAME: &'static str = "configuration";

    /// Creates the service.
    pub fn new(shared: Shared) -> Self {
        Configuration {
            shared,
            peers: OnceLock::new(),
            state: Mutex::default(),
            newer_available: Notify::new(),
        }
    }

    /// Sets the handle for calls to peers. Called once during startup.
    pub fn connect(&self, peers: peer::Handle) {
        let _ = self.peers.set(peers);
    }

    /// Handles the number of a peer's configuration: a newer one is fetched immediately.
    pub fn handle_peer_number(&self, number: u64) {
        if number > self.number() {
            self.newer_available.notify_one();
        }
    }

    /// The time since the platform last confirmed the configuration, in milliseconds.
    pub fn confirmed_age_ms(&self) -> Option<u64> {
        let last_confirmed = self.state.lock().unwrap().last_confirmed?;
        Some(last_confirmed.elapsed().as_millis() as u64)
    }

    /// The number and the serialized pieces of the configuration, for a peer.
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

    async fn run_loop(&self, stop: CancellationToken) -> Result<()> {
        loop {
            if let Err(error) = self.poll().await {
                self.handle_poll_failure(&error).await;
            }
            let members = self.shared.directory.list().len();
            tokio::select! {
                () = tokio::time::sleep(poll_interval(members)) => {}
                () = self.newer_available.notified() => {}
                () = stop.cancelled() => return Ok(()),
            }
        }
    }

    /// Reads the head row and updates the core to that configuration.
    async fn poll(&self) -> Result<()> {
        // The confirmation is valid from before the request, since the reply may be delayed.
        let request_time = Instant::now();
        let request_mono = self.shared.router.clock().now().mono;
        let rows = self.shared.platform.read(&[HEAD_KEY]).await?;
        let row = rows.into_iter().find(|row| row.version > 0);
        let Some(row) = row else { return Ok(()) };
        let head: Head = serde_json::from_value(row.value).context("invalid head row")?;
        let active = self.number();
        if head.number > active {
            let snapshot = self.fetch(&head).await?;
            self.apply(snapshot);
        } else if head.number < active {
            bail!("the platform's head row is older than the active configuration");
        }
        self.read_halts().await?;
        self.mark_confirmed(request_time);
        self.shared.router.step(Event::ConfigConfirmed(request_mono + CONFIRMATION_TTL));
        self.acknowledge(head.number).await;
        Ok(())
    }

    fn mark_confirmed(&self, request_time: Instant) {
        let mut state = self.state.lock().unwrap();
        state.last_confirmed = Some(request_time);
        if std::mem::replace(&mut state.failing, false) {
            log::info!("the platform confirms the configuration again");
        }
    }

    /// Reads the stored halts and reports them to the core.
    async fn read_halts(&self) -> Result<()> {
        for row in self.shared.platform.scan_all(HALT_PREFIX).await? {
            match serde_json::from_value::<HaltKey>(row.value["key"].clone()) {
                Ok(halt) => self.shared.router.step(Event::VersionHalted(halt)),
                Err(error) => {
                    self.state.lock().unwrap().unreadable.report("halts", &row.key, &error);
                }
            }
        }
        Ok(())
    }

    /// Fetches a configuration. Pieces that are already known are reused.
    async fn fetch(&self, head: &Head) -> Result<Snapshot> {
        let manifest = self.fetch_object(&head.manifest).await?;
        let manifest: Manifest = serde_json::from_slice(&manifest).context("invalid manifest")?;
        let mut pieces = HashMap::new();
        for entry in manifest.pieces.values() {
            let known = self.state.lock().unwrap().pieces.get(&entry.hash).cloned();
            let piece = match known {
                Some(piece) => piece,
                None => serde_json::from_slice(&self.fetch_object(&entry.hash).await?)?,
            };
            pieces.insert(entry.hash.clone(), piece);
        }
        let snapshot = Snapshot::new(head.number, pieces.values().cloned());
        self.state.lock().unwrap().pieces = pieces;
        Ok(snapshot)
    }

    /// Fetches an object and verifies its hash.
    async fn fetch_object(&self, hash: &str) -> Result<Vec<u8>> {
        let body = self.shared.platform.get(hash).await?;
        let body = body.with_context(|| format!("object {hash} does not exist"))?;
        if *config::hash_bytes(&body) != *hash {
            bail!("object {hash} does not match its hash");
        }
        Ok(body.to_vec())
    }

    /// Makes a configuration the active one.
    fn apply(&self, snapshot: Snapshot) {
        let number = snapshot.number;
        self.shared.router.step(Event::ConfigLoaded(Arc::new(snapshot)));
        self.shared.metrics.config_number.set(number as i64);
        log::info!("configuration {number} is active");
        self.notify_peers();
    }

    /// Notifies a few peers immediately of a new configuration.
    fn notify_peers(&self) {
        let Some(peers) = self.peers.get() else { return };
        let contacts = self.shared.directory.contacts(&self.shared.instance);
        let notified: Vec<SocketAddr> =
            contacts.sample(&mut rand::rng(), NOTIFIED_PEERS).copied().collect();
        for addr in notified {
            let (peers, digest) = (peers.clone(), self.digest());
            tokio::spawn(async move {
                // A peer that can't be reached now learns of it later by gossip.
                let _ = peers.exchange(addr, digest).await;
            });
        }
    }

    /// The digest of the instance's state, for a peer.
    pub fn digest(&self) -> policy::Digest {
        let age = self.confirmed_age_ms();
        self.shared.router.with_core(|core, now| core.digest(now, age))
    }

    /// Records in the table which configuration is active here, for `publish --wait`.
    async fn acknowledge(&self, number: u64) {
        if self.state.lock().unwrap().acknowledged >= number {
            return;
        }
        tokio::time::sleep(jitter(ACK_DELAY_S)).await;
        let key = format!("{ACK_PREFIX}{}", self.shared.instance);
        let value = json!({ "number": number, "incarnation": self.shared.incarnation });
        let write = Write { key, value: Some(value) };
        let transaction = Transaction { conditions: Vec::new(), writes: vec![write] };
        if self.shared.platform.transact(&transaction).await.is_ok() {
            self.state.lock().unwrap().acknowledged = number;
        }
    }

    /// Queries peers after the platform did not confirm the configuration.
    async fn handle_poll_failure(&self, error: &anyhow::Error) {
        self.shared.metrics.platform_errors.inc();
        let newly_failing = {
            let mut state = self.state.lock().unwrap();
            state.failures += 1;
            !std::mem::replace(&mut state.failing, true)
        };
        if newly_failing {
            log::warn!("the platform can't confirm the configuration: {error:#}");
        }
        self.query_peers().await;
        self.shared.router.step(Event::ConfirmationFailed);
    }

    async fn query_peers(&self) {
        let Some(peers) = self.peers.get() else { return };
        let contacts = self.shared.directory.contacts(&self.shared.instance);
        let queried: Vec<SocketAddr> =
            contacts.sample(&mut rand::rng(), QUERIED_PEERS).copied().collect();
        let queries = queried.into_iter().map(|addr| self.query_peer(peers, addr));
        futures::future::join_all(queries).await;
    }

    async fn query_peer(&self, peers: &peer::Handle, addr: SocketAddr) {
        let Ok(digest) = peers.exchange(addr, self.digest()).await else { return };
        if digest.config_number > self.number() {
            self.adopt_peer_state(peers, addr).await;
        }
        self.shared.router.step(Event::DigestReceived(digest));
    }

    /// Adopts a peer's configuration and servers while the platform is unavailable.
    async fn adopt_peer_state(&self, peers: &peer::Handle, addr: SocketAddr) {
        let Ok(state) = peers.state(addr).await else { return };
        let pieces: Result<Vec<Piece>, _> =
            state.pieces.iter().map(|piece| serde_json::from_str(piece)).collect();
        let Ok(pieces) = pieces else { return };
        if state.number > self.number() {
            self.apply(Snapshot::new(state.number, pieces));
        }
        if self.shared.directory.list().is_empty() {
            let servers = state.servers.iter().filter_map(|s| serde_json::from_str(s).ok());
            self.shared.router.step(Event::ServersListed(servers.collect()));
        }
    }
}

impl Service for Configuration {
    fn name(&self) -> &'static str {
        Configuration::NAME
    }

    fn run(self: Arc<Self>, stop: CancellationToken) -> BoxFuture<'static, Result<()>> {
        async move { self.run_loop(stop).await }.boxed()
    }

    fn dump(&self) -> serde_json::Value {
        let number = self.number();
        let age = self.confirmed_age_ms();
        let state = self.state.lock().unwrap();
        json!({
            "number": number,
            "pieces": state.pieces.len(),
            "confirmed_age_ms": age,
            "acknowledged": state.acknowledged,
            "failures": state.failures,
        })
    }
}
