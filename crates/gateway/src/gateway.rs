//! The state shared by all exchanges of an instance.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use config::Name;
use conn::{MemoryBudget, Pool};
use dispatch::{
    BacklogBounds, Blame, Catalog, ColdLimit, ExposureLimit, Fleet, Helpers, MonotonicTime,
    PaceReference, Pressure, PromptPart, Regions, RetryBudget, Server, ServerInfo, Sessions,
};
use policy::Poison;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::blame::part_ids;
use crate::cold::ColdReason;
use crate::deferral::DeferredRequests;
use crate::event_log::{EventLog, log_event};
use crate::freshness::Freshness;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::reachability::LinkSuspicion;
use crate::rollouts::{AnswerOrigin, TrackedRollout};
use crate::server_news::NewsDesk;

/// A request is blocked after this many servers crashed while running it.
///
/// Many callers send identical requests, so two crashes can be a coincidence.
const CRASHES_TO_BLOCK: u32 = 3;
/// Maximum number of remembered crashes. They are remembered so that a server's crash
/// counts only once per request.
const MAX_REMEMBERED_CRASHES: usize = 512;
/// The delay after a connection broke before the server is probed.
const CRASH_PROBE_DELAY: Duration = Duration::from_millis(30);

/// Number of other servers that are probed to tell a crash of a server from a broken link.
const WITNESSES: usize = 3;
/// How long after its start an instance waits to learn how far the rollouts are before it
/// is ready.
const MAX_ROLLOUT_WAIT: Duration = Duration::from_secs(3);

/// The settings of a gateway, fixed at startup.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of the instance.
    pub instance: Name,
    /// The failure domain of the instance.
    pub domain: Name,
    /// The number of retries allowed per request, on average.
    pub retry_ratio: f64,
    /// The number of retries allowed in addition, shared by all instances.
    pub retry_slack: f64,
    /// The window over which `retry_ratio` and `retry_slack` are measured.
    pub retry_window: Duration,
    /// How long a session stays pinned to its version after its last request.
    pub session_ttl: Duration,
    /// How many requests a bad version may get during its rollout.
    pub exposure_limit: ExposureLimit,
    /// How much more than its rate a cold server may receive.
    pub cold_limit: ColdLimit,
}

/// A builder for [`Gateway`].
#[derive(Debug)]
pub struct GatewayBuilder {
    settings: GatewaySettings,
    regions: Regions,
    memory: MemoryBudget,
    seed: u64,
}

impl GatewayBuilder {
    /// Creates a builder with default settings.
    pub fn new(instance: Name, domain: Name) -> Self {
        let settings = GatewaySettings {
            instance,
            domain,
            retry_ratio: 0.1,
            retry_slack: 20.0,
            retry_window: Duration::from_secs(10),
            session_ttl: Duration::from_secs(5),
            exposure_limit: ExposureLimit { share: 0.1, slack: 0.0 },
            cold_limit: ColdLimit::default(),
        };
        GatewayBuilder {
            settings,
            regions: Regions::default(),
            memory: MemoryBudget::default(),
            seed: 1,
        }
    }

    /// Sets the retry budget.
    pub fn retry_budget(mut self, ratio: f64, slack: f64, window: Duration) -> Self {
        self.settings.retry_ratio = ratio;
        self.settings.retry_slack = slack;
        self.settings.retry_window = window;
        self
    }

    /// Sets how long a session stays pinned to its version.
    pub fn session_ttl(mut self, ttl: Duration) -> Self {
        self.settings.session_ttl = ttl;
        self
    }

    /// Sets how many requests a bad version may get during its rollout.
    pub fn exposure_limit(mut self, limit: ExposureLimit) -> Self {
        self.settings.exposure_limit = limit;
        self
    }

    /// Sets the regions of the failure domains; by default none is known and all requests may be
    /// served everywhere.
    pub fn regions(mut self, regions: Regions) -> Self {
        self.regions = regions;
        self
    }

    /// Sets how much more than its rate a cold server may receive.
    pub fn cold_limit(mut self, limit: ColdLimit) -> Self {
        self.settings.cold_limit = limit;
        self
    }

    /// Sets the number of bytes in which bodies and events are held for others.
    pub fn buffer_bytes(mut self, bytes: usize) -> Self {
        self.memory = MemoryBudget::new(bytes);
        self
    }

    /// Sets the seed of the random number generator.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the gateway.
    pub fn build<D>(self, dialect: D) -> Rc<Gateway<D>> {
        let settings = self.settings;
        let metrics = Metrics::default();
        Rc::new(Gateway {
            dialect,
            started: Instant::now(),
            catalog: RefCell::new(None),
            fleet: RefCell::new(Fleet::new(self.regions)),
            evacuated_since: RefCell::default(),
            directory_loaded: Cell::new(false),
            sessions: RefCell::new(Sessions::new(settings.session_ttl)),
            sessions_changed: Notify::new(),
            budget: RefCell::new(RetryBudget::new(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window,
            )),
            poison: RefCell::new(Poison::new(CRASHES_TO_BLOCK)),
            suspects_in_flight: RefCell::default(),
            blame: RefCell::default(),
            blame_changed: Notify::new(),
            hub_position: Cell::new(None),
            pressures: RefCell::default(),
            deferred: DeferredRequests::default(),
            crashes: RefCell::default(),
            freshness: RefCell::default(),
            paces: RefCell::default(),
            rollouts: RefCell::default(),
            rollout_changed: Notify::new(),
            digest_due: Notify::new(),
            news_desk: RefCell::default(),
            server_news: Notify::new(),
            brittleness_changed: Notify::new(),
            lost_services: RefCell::default(),
            narrow_services: RefCell::default(),
            probed_servers: RefCell::default(),
            link_suspicion: LinkSuspicion::default(),
            server_regained: Notify::new(),
            helpers: RefCell::default(),
            open_handovers: Cell::new(0),
            peers: OnceCell::new(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(self.seed)),
            drain_schedule: Cell::new(None),
            cutoff: CancellationToken::new(),
            members: Cell::new(1),
            event_log: EventLog::new(metrics.dropped_lines.clone()),
            metrics,
            pool: Pool::with_memory(self.memory),
            settings,
        })
    }
}

/// An answer that a server lost.
#[derive(Debug)]
pub(crate) struct LostAnswer {
    pub origin: AnswerOrigin,
    /// The request, if the server may have crashed of it.
    pub suspect: Option<Suspect>,
    /// Whether the connection may have been closed because it was idle, which is no failure of a
    /// server that can be reached.
    pub was_idle: bool,
}

/// A request that a server may have crashed of.
#[derive(Debug)]
pub(crate) struct Suspect {
    pub fingerprint: u64,
    pub prompt: Vec<PromptPart>,
}

/// The timing of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
pub struct DrainSchedule {
    /// From this time on, a request is refused if it might still be open at `cutoff`.
    pub refuse_late_from: MonotonicTime,
    /// When requests that are still open are aborted.
    pub cutoff: MonotonicTime,
}

/// The state shared by all exchanges of an instance.
pub struct Gateway<D> {
    /// The wire format.
    pub dialect: D,
    /// The settings.
    pub settings: GatewaySettings,
    /// The metrics.
    pub metrics: Metrics,
    /// The rate-limited log.
    pub event_log: EventLog,
    pub(crate) pool: Pool,
    pub(crate) fleet: RefCell<Fleet>,
    /// When the evacuations in force became known, by failure domain.
    pub(crate) evacuated_since: RefCell<BTreeMap<Name, MonotonicTime>>,
    pub(crate) sessions: RefCell<Sessions>,
    /// Notified when other instances need to know of a session.
    pub(crate) sessions_changed: Notify,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) poison: RefCell<Poison>,
    /// Number of requests in flight, by server, of which a server may have crashed.
    pub(crate) suspects_in_flight: RefCell<HashMap<Name, u32>>,
    /// Parts of prompts that crash servers.
    pub(crate) blame: RefCell<Blame>,
    /// Notified when other instances need to know what is in `blame`.
    pub(crate) blame_changed: Notify,
    /// Position of this instance among the hubs if it is one.
    pub(crate) hub_position: Cell<Option<usize>>,
    pub(crate) pressures: RefCell<HashMap<Name, Pressure>>,
    /// Requests that wait before their first send.
    pub(crate) deferred: DeferredRequests,
    /// Recent crashes: the fingerprint of the request and the server that crashed.
    pub(crate) crashes: RefCell<VecDeque<(u64, Name)>>,
    /// When the tables of the store were last confirmed.
    pub(crate) freshness: RefCell<Freshness>,
    /// The pace of the answers of the current versions.
    pub(crate) paces: RefCell<PaceReference>,
    pub(crate) rollouts: RefCell<HashMap<Name, TrackedRollout>>,
    /// Notified when an order becomes known and when a new version fails an answer.
    pub(crate) rollout_changed: Notify,
    /// Notified when a digest is to be sent soon.
    pub(crate) digest_due: Notify,
    /// What servers said of themselves and was not told to the other instances yet.
    pub(crate) news_desk: RefCell<NewsDesk>,
    /// Notified when there are news of servers.
    pub(crate) server_news: Notify,
    /// Notified when what is known of brittle servers changes.
    pub(crate) brittleness_changed: Notify,
    /// Services of which no server can be reached, and since when.
    pub(crate) lost_services: RefCell<HashMap<Name, MonotonicTime>>,
    /// Services of which less than half of the servers can be reached, and since when.
    pub(crate) narrow_services: RefCell<HashMap<Name, MonotonicTime>>,
    /// Servers that are probed until they are reachable again.
    pub(crate) probed_servers: RefCell<HashSet<Name>>,
    pub(crate) link_suspicion: LinkSuspicion,
    /// Notified when an unreachable server is reachable again, as others may be too.
    pub(crate) server_regained: Notify,
    /// The other instances as helpers.
    pub(crate) helpers: RefCell<Helpers>,
    /// Number of requests that other instances handed over and that await their answers.
    pub(crate) open_handovers: Cell<usize>,
    peers: OnceCell<Rc<Peers>>,
    catalog: RefCell<Option<Arc<Catalog>>>,
    directory_loaded: Cell<bool>,
    rng: RefCell<ChaCha8Rng>,
    drain_schedule: Cell<Option<DrainSchedule>>,
    /// Cancelled when open requests are aborted because the process is about to end.
    pub(crate) cutoff: CancellationToken,
    members: Cell<usize>,
    started: Instant,
}

impl<D: 'static> Gateway<D> {
    /// Probes a server that lost an answer.
    ///
    /// If it can be reached, its version failed. If it can't, although the link to its failure
    /// domain works, it crashed, perhaps of the request.
    pub(crate) fn check_after_loss(self: &Rc<Self>, loss: LostAnswer) {
        let LostAnswer { origin, suspect, was_idle } = loss;
        let addr = self.fleet.borrow().get(&origin.server).map(|server| server.info.addr);
        let Some(addr) = addr else { return };
        if suspect.is_none() && !self.rollouts.borrow().contains_key(&origin.service) {
            return;
        }
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CRASH_PROBE_DELAY).await;
            if gateway.pool.open(addr).await.is_ok() {
                if !was_idle {
                    gateway.record_rollout_answer(&origin, true);
                    gateway.record_route_answer(&origin, true);
                }
                return;
            }
            gateway.mark_unreachable(&origin.server);
            if gateway.reaches_others(&origin.server).await {
                gateway.record_rollout_crash(&origin);
                if let Some(Suspect { fingerprint, prompt }) = suspect {
                    gateway.record_crash(fingerprint, &prompt, origin.server);
                }
            }
        });
    }

    /// Whether a connection to another server can be established, in the same failure domain
    /// if there is one.
    async fn reaches_others(&self, server: &Name) -> bool {
        let others = {
            let fleet = self.fleet.borrow();
            let Some(server) = fleet.get(server) else { return false };
            let draw = self.random();
            fleet.witnesses(server, WITNESSES, draw)
        };
        for addr in others {
            if self.pool.probe(addr).await.is_ok() {
                return true;
            }
        }
        false
    }

    fn record_crash(&self, fingerprint: u64, parts: &[PromptPart], server: Name) {
        let mut crashes = self.crashes.borrow_mut();
        let crash = (fingerprint, server);
        if crashes.contains(&crash) {
            return;
        }
        let count = self.poison.borrow_mut().record_crash(fingerprint, self.now());
        let fields = || {
            json!({
                "fingerprint": fingerprint,
                "server": &*crash.1,
                "deaths": count,
                "parts": part_ids(parts),
            })
        };
        self.event_log.write("server_died", self.now(), fields);
        self.blame_prompt(&crash.1, fingerprint, parts);
        crashes.push_back(crash);
        if crashes.len() > MAX_REMEMBERED_CRASHES {
            crashes.pop_front();
        }
    }
}

impl<D> Gateway<D> {
    /// The monotonic time since startup.
    pub fn now(&self) -> MonotonicTime {
        self.started.elapsed()
    }

    /// Converts a monotonic time to an [`Instant`].
    pub fn instant(&self, at: MonotonicTime) -> Instant {
        self.started + at
    }

    /// Returns a random number in `0.0..1.0`.
    pub fn random(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// The other instances; `None` before the exchange with them runs.
    pub(crate) fn peers(&self) -> Option<&Rc<Peers>> {
        self.peers.get()
    }

    /// Sets the other instances, once.
    pub(crate) fn set_peers(&self, peers: Rc<Peers>) {
        if self.peers.set(peers).is_err() {
            log::warn!("the exchange with other instances runs twice");
        }
    }

    /// The active configuration.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Activates a configuration if it is newer than the active one. Returns whether it did.
    pub fn configure(&self, catalog: Catalog) -> bool {
        let mut current = self.catalog.borrow_mut();
        let current_version = current.as_ref().map_or(0, |catalog| catalog.version);
        if catalog.version <= current_version && current.is_some() {
            return false;
        }
        let fields = json!({
            "version": catalog.version,
            "before": current_version,
            "routes": catalog.routes.len(),
            "keys": catalog.keys.len(),
        });
        log_event("config_in_force", self.now(), fields);
        self.metrics.config_version.set(catalog.version as i64);
        self.deferred.yielding.borrow_mut().set_bounds(BacklogBounds::new(&catalog));
        self.set_cold_starts(&catalog);
        *current = Some(Arc::new(catalog));
        true
    }

    /// Adds a server from the directory or updates its entry.
    pub fn update_server(&self, info: ServerInfo) {
        let mut fleet = self.fleet.borrow_mut();
        if fleet.get(&info.id).is_none_or(|server| !server.info.same_except_cold(&info)) {
            let fields = json!({
                "server": &*info.id,
                "service": &*info.service,
                "addr": info.addr.to_string(),
                "version": &*info.version,
                "leaving": info.leaving,
            });
            self.event_log.write("server_listed", self.now(), || fields);
        }
        fleet.note_version(&info.service, &info.version, self.now());
        let (id, now) = (info.id.clone(), self.now());
        let is_cold_news = fleet.list(info, now);
        self.metrics.servers.set(fleet.ids().count() as i64);
        let is_in_need = |server: &Server| server.rate_limit.rate.is_some() || server.is_brittle();
        if fleet.get(&id).is_some_and(is_in_need) {
            self.count_servers_in_need(&fleet);
        }
        drop(fleet);
        if is_cold_news {
            self.record_cold(&id, ColdReason::Entry);
        }
    }

    /// Updates the metrics of servers whose requests need a permit.
    pub(crate) fn count_servers_in_need(&self, fleet: &Fleet) {
        self.metrics.limited_servers.set(fleet.limited_servers().count() as i64);
        self.metrics.brittle_servers.set(fleet.brittle_servers().count() as i64);
        self.metrics.cold_servers.set(fleet.cold_count() as i64);
    }

    /// Whether a server's directory entry expired at or before `time` and has not been
    /// listed again.
    pub fn expired_since(&self, id: &str, time: MonotonicTime) -> bool {
        let fleet = self.fleet.borrow();
        fleet.get(id).and_then(|server| server.expired_at).is_some_and(|at| at <= time)
    }

    /// Marks a server whose directory entry expired during an outage of the store.
    pub fn mark_server_expired(&self, id: &str) {
        let now = self.now();
        self.fleet.borrow_mut().mark_expired(id, now);
        self.event_log.write("server_lapsed", now, || json!({ "server": id }));
    }

    /// Removes a server.
    pub fn remove_server(&self, id: &str) {
        let mut fleet = self.fleet.borrow_mut();
        if fleet.remove(id) {
            self.event_log.write("server_gone", self.now(), || json!({ "server": id }));
            self.metrics.servers.set(fleet.ids().count() as i64);
            self.count_servers_in_need(&fleet);
        }
    }

    /// The ids of all known servers.
    pub fn server_ids(&self) -> Vec<Name> {
        self.fleet.borrow().ids().cloned().collect()
    }

    /// Marks the directory as loaded after it was read in full for the first time.
    pub fn set_directory_loaded(&self) {
        self.directory_loaded.set(true);
        self.fleet.borrow_mut().set_loaded();
    }

    /// Whether the load balancer may send callers to this instance.
    pub fn ready(&self) -> bool {
        self.directory_loaded.get()
            && self.catalog.borrow().is_some()
            && (self.rollout_states_known() || self.now() >= MAX_ROLLOUT_WAIT)
            && !self.is_draining()
    }

    /// Starts a graceful shutdown: from now on, the instance reports that it is not ready.
    pub fn drain(&self, schedule: DrainSchedule) {
        self.drain_schedule.set(Some(schedule));
    }

    /// Whether the instance shuts down.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain_schedule.get().is_some()
    }

    /// Whether a request that may take until `deadline` must be refused because the instance is
    /// shutting down.
    pub(crate) fn refuses_while_draining(&self, deadline: MonotonicTime) -> bool {
        let Some(schedule) = self.drain_schedule.get() else { return false };
        self.now() >= schedule.refuse_late_from && deadline > schedule.cutoff
    }

    /// Sets the number of instances that share the retry budgets, and of those that are alive.
    pub fn set_members(&self, members: usize, live: usize) {
        self.members.set(members.max(1));
        self.metrics.members.set(live.saturating_sub(1) as i64);
    }

    /// The number of instances that share the retry budgets.
    pub fn members(&self) -> usize {
        self.members.get()
    }

    /// The load pressure on the servers of a service.
    pub(crate) fn pressure(&self, service: &Name) -> Pressure {
        self.pressures.borrow().get(service).copied().unwrap_or_default()
    }

    /// Records the time to first byte of a response and the target latency of its route.
    pub(crate) fn record_first_byte(&self, service: &Name, first_byte: Duration, target: Duration) {
        self.pressures
            .borrow_mut()
            .entry(service.clone())
            .or_default()
            .record_answer(first_byte, target);
    }
}
