//! The state machine and its event dispatch.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use config::{Name, Route, Snapshot};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::action::Action;
use crate::balance::{Balancer, LeastWork};
use crate::budget::Budget;
use crate::event::{Arrival, Attempt, Event, Rating, RequestId};
use crate::evidence::{EPOCH_MS, Evidence, HaltKey, Tally, VersionKey, evaluate};
use crate::lease::ConfirmationLease;
use crate::peers::{Digest, LoadHint, Member, Peers, PoisonRow};
use crate::poison::{CRASHES_TO_BLOCK, Poison};
use crate::pools::Pools;
use crate::quality::{Quality, QualityRow};
use crate::servers::{ServerIx, Servers};
use crate::settings::{Settings, WEIGHT_UPDATE_INTERVAL};
use crate::versions::VersionSelector;
use crate::work::WorkModel;

/// The number of retries allowed per first attempt on a route.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// The maximum burst of retries on a route.
const RETRY_BURST: f64 = 20.0;
/// The number of hedges allowed per first attempt.
const HEDGE_BUDGET_RATIO: f64 = 0.02;
/// The maximum burst of hedges.
const HEDGE_BURST: f64 = 10.0;
/// The interval at which all versions are evaluated and expired state is removed.
const EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// A server without progress is compared with the expected time of this many tokens, or
/// with that of the first byte if it is longer, to tell whether it is overdue.
const OVERDUE_TOKENS: f64 = 16.0;
/// How long a confirmation of the configuration remains valid.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(4);

/// The time of an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time since the start of the process.
    pub mono: Duration,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
}

impl Now {
    /// Returns the evidence epoch that the wall-clock time falls into.
    pub(crate) fn epoch(self) -> u64 {
        self.wall_ms / EPOCH_MS
    }
}

/// Whether the instance's configuration is known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Freshness {
    /// The instance has no configuration yet.
    NotReady,
    /// The configuration is confirmed.
    Fresh,
    /// The confirmation expired and no further attempt to confirm has finished.
    /// Requests wait.
    Stale,
    /// Neither the platform nor any peer confirmed the configuration after the
    /// confirmation expired.
    CutOff,
}

/// The decision core, generic over the load balancing strategy.
#[derive(Debug)]
pub struct Core<B = LeastWork> {
    pub(crate) settings: Settings,
    pub(crate) balancer: B,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) config: Option<Arc<Snapshot>>,
    pub(crate) lease: ConfirmationLease,
    pub(crate) servers: Servers,
    pub(crate) pools: Pools,
    pub(crate) open: HashMap<RequestId, OpenRequest>,
    pub(crate) timers: BinaryHeap<Reverse<(Duration, Timer, RequestId)>>,
    pub(crate) work: WorkModel,
    pub(crate) quality: Quality,
    pub(crate) evidence: Evidence,
    pub(crate) halts: HashSet<HaltKey>,
    pub(crate) poison: Poison,
    pub(crate) peers: Peers,
    pub(crate) retry_budgets: HashMap<Name, Budget>,
    pub(crate) hedge_budget: Budget,
    pub(crate) draining: bool,
    pub(crate) actions: Vec<Action>,
    pub(crate) domain_instances: u32,
    sequence: u64,
    last_weight_update: Duration,
    last_evaluation: Duration,
}

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of a request.
    Deadline,
    /// The time at which to send a hedge because the first byte is late.
    Hedge,
}

/// A request without a complete answer, queued or in flight.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub arrival: Arrival,
    pub route: Arc<Route>,
    /// The weight of the client account in the fair queue.
    pub weight: f64,
    pub version: Name,
    /// The version that the session was pinned to before, if the session was moved.
    pub moved_from: Option<Name>,
    /// The index of the version's pool.
    pub pool: usize,
    /// Whether the route's requests are long work.
    pub long: bool,
    /// The estimated work, in units of one output token.
    pub work: f64,
    /// The attempts in flight.
    pub running: Vec<RunningAttempt>,
    pub next_attempt: Attempt,
    /// The servers on which an attempt failed, which are not tried again.
    pub failed_servers: Vec<ServerIx>,
    pub queued: bool,
    /// The attempt whose first byte has arrived, if any.
    pub answering: Option<Attempt>,
    /// Whether the request is suspected of crashing servers.
    pub suspect: bool,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningAttempt {
    pub attempt: Attempt,
    pub server: ServerIx,
    pub sent_at: Duration,
    pub last_progress: Duration,
    pub tokens: u32,
}

impl Core<LeastWork> {
    /// Creates a core with the default load balancing strategy.
    pub fn new(settings: Settings) -> Self {
        Core::with_balancer(settings, LeastWork)
    }
}

impl<B: Balancer> Core<B> {
    /// Creates a core with the given load balancing strategy.
    pub fn with_balancer(settings: Settings, balancer: B) -> Self {
        Core {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            balancer,
            config: None,
            lease: ConfirmationLease::default(),
            servers: Servers::default(),
            pools: Pools::default(),
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            work: WorkModel::default(),
            quality: Quality::default(),
            evidence: Evidence::default(),
            halts: HashSet::new(),
            poison: Poison::default(),
            peers: Peers::default(),
            retry_budgets: HashMap::new(),
            hedge_budget: Budget::new(HEDGE_BUDGET_RATIO, HEDGE_BURST),
            draining: false,
            actions: Vec::new(),
            domain_instances: 1,
            sequence: 0,
            last_weight_update: Duration::ZERO,
            last_evaluation: Duration::ZERO,
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn step(&mut self, event: Event, now: Now) -> Vec<Action> {
        match event {
            Event::ConfigLoaded(snapshot) => self.handle_config(snapshot, now),
            Event::ServersListed(infos) => {
                self.servers.update(infos);
                self.assign_servers();
                self.dispatch_all(now);
            }
            Event::ConfigConfirmed(until) => {
                self.lease.extend(until);
                self.dispatch_all(now);
            }
            Event::ConfirmationFailed => {
                self.lease.record_failed_confirmation(now.mono);
                self.dispatch_all(now);
            }
            Event::Arrived(arrival) => self.handle_arrival(arrival, now),
            Event::Cancelled(id) => self.handle_cancellation(id, now),
            Event::FirstByte(id, attempt) => self.handle_first_byte(id, attempt, now),
            Event::Progress(id, attempt, tokens) => self.handle_progress(id, attempt, tokens, now),
            Event::Completed(id, attempt, usage) => self.handle_completion(id, attempt, usage, now),
            Event::Failed(id, attempt, failure) => self.handle_failure(id, attempt, failure, now),
            Event::LoadReported(server, report) => {
                if let Some(ix) = self.servers.find(&server) {
                    self.servers.get_mut(ix).record_report(report, now.mono);
                }
            }
            Event::ServerLeaving(server) => self.handle_server_leaving(&server),
            Event::AnswerRated(rating) => self.handle_rating(&rating, now),
            Event::DigestReceived(digest) => self.merge_digest(digest, now),
            Event::VersionHalted(key) => self.handle_halt(key, now),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the configuration is confirmed.
    pub fn freshness(&self, now: Now) -> Freshness {
        match self.config {
            Some(_) => self.lease.freshness(now.mono),
            None => Freshness::NotReady,
        }
    }

    /// Returns the current configuration.
    pub fn config(&self) -> Option<&Arc<Snapshot>> {
        self.config.as_ref()
    }

    /// Returns the number of requests without a complete answer.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Returns the live peers, excluding the instance itself.
    pub fn peers_alive(&self, now: Now) -> Vec<Name> {
        self.peers.alive(now.mono)
    }

    /// Returns whether an incarnation of a peer has ended.
    pub fn peer_incarnation_ended(&self, instance: &str, incarnation: u64, now: Now) -> bool {
        self.peers.has_ended(instance, incarnation, &self.settings.domain, now.mono)
    }

    /// Builds the next digest to send to a peer.
    pub fn digest(&mut self, now: Now, confirmed_age_ms: Option<u64>) -> Digest {
        self.sequence += 1;
        let loads = self.servers.iter().filter(|(_, server)| server.in_flight > 0);
        let loads = loads.map(|(_, server)| LoadHint {
            server: server.info.id.clone(),
            in_flight: server.in_flight,
            suspect: server.suspect.is_some(),
        });
        let leaving = self.servers.iter().filter(|(_, s)| s.leaving && !s.delisted);
        Digest {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            domain: self.settings.domain.clone(),
            sequence: self.sequence,
            leaving: self.draining,
            config_number: self.config.as_ref().map_or(0, |config| config.number),
            confirmed_age_ms,
            members: self.peers.members(&self.settings.domain),
            leaving_servers: leaving.map(|(_, server)| server.info.id.clone()).collect(),
            halts: self.halts.iter().cloned().collect(),
            poison: self.poison.crash_counts().map(to_poison_row).collect(),
            loads: loads.collect(),
            evidence: self.evidence.recent_rows(now.epoch()),
        }
    }

    /// Returns the state of the core for the status dump.
    pub fn status(&self, now: Now) -> Status {
        let servers = self.servers.iter().map(|(_, server)| ServerStatus {
            id: server.info.id.clone(),
            domain: server.info.domain.clone(),
            takes_work: server.takes_work(),
            in_flight: server.in_flight,
            others: server.others_in_flight(now.mono),
            slots: server.info.slots,
            latency_ratio: server.latency.ratio(),
            weight: server.latency.weight(),
            outlier: server.latency.is_outlier(),
        });
        let pools = self.pools.iter().map(|pool| PoolStatus {
            version: pool.version.clone(),
            local: pool.local.len(),
            remote: pool.remote.len(),
            waiting_short: pool.short.len(),
            waiting_long: pool.long.len(),
        });
        Status {
            freshness: self.freshness(now),
            config_number: self.config.as_ref().map_or(0, |config| config.number),
            draining: self.draining,
            open: self.open.len(),
            servers: servers.collect(),
            pools: pools.collect(),
            halts: self.halts.iter().cloned().collect(),
            blocked_fingerprints: self
                .poison
                .crash_counts()
                .filter(|(_, crashes)| *crashes >= CRASHES_TO_BLOCK)
                .count(),
            quality: self.quality.rows(),
            peers: self.peers.alive(now.mono),
        }
    }

    /// Returns a version selector for the route.
    pub(crate) fn version_selector<'a>(
        &'a self,
        route: &'a Route,
        now: Now,
    ) -> VersionSelector<'a> {
        VersionSelector {
            route,
            halts: &self.halts,
            quality: &self.quality,
            freshness: self.freshness(now),
            wall_ms: now.wall_ms,
            selection: self.settings.selection,
            switches: self.settings.switches,
        }
    }

    /// Returns the retry budget of a route.
    pub(crate) fn retry_budget(&mut self, route: &Name) -> &mut Budget {
        let new_budget = || Budget::new(RETRY_BUDGET_RATIO, RETRY_BURST);
        self.retry_budgets.entry(route.clone()).or_insert_with(new_budget)
    }

    /// Adopts a configuration if its number is higher than the current one's.
    fn handle_config(&mut self, snapshot: Arc<Snapshot>, now: Now) {
        let outdated = self.config.as_ref().is_some_and(|config| config.number >= snapshot.number);
        if outdated && self.settings.switches.ordered {
            return;
        }
        self.config = Some(snapshot);
        self.reselect_queued(now);
        self.dispatch_all(now);
    }

    fn assign_servers(&mut self) {
        self.pools.assign_servers(&mut self.servers, &self.settings);
    }

    fn handle_server_leaving(&mut self, server: &Name) {
        let Some(ix) = self.servers.find(server) else { return };
        if !self.servers.get(ix).leaving {
            self.servers.get_mut(ix).leaving = true;
            self.assign_servers();
        }
    }

    fn handle_rating(&mut self, rating: &Rating, now: Now) {
        self.quality.record_rating(rating);
        let key = VersionKey { route: rating.route.clone(), version: rating.version.clone() };
        self.evidence.record_rating(&key, now.epoch(), rating.score);
        self.evaluate_version(&key, now);
    }

    fn handle_halt(&mut self, key: HaltKey, now: Now) {
        if self.halts.insert(key) {
            self.reselect_queued(now);
        }
    }

    fn merge_digest(&mut self, digest: Digest, now: Now) {
        let sender = Member {
            instance: digest.instance.clone(),
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            leaving: digest.leaving,
        };
        for member in digest.members.iter().filter(|m| m.instance != self.settings.instance) {
            self.peers.heartbeat(member, &digest.domain, now.mono);
        }
        self.peers.heartbeat(&sender, &digest.domain, now.mono);
        self.peers.set_hints(&digest.instance, digest.loads, now.mono);
        self.refresh_hints(now);
        for server in &digest.leaving_servers {
            self.handle_server_leaving(server);
        }
        for row in &digest.poison {
            self.poison.merge(row.fingerprint, row.crashes, now.mono);
        }
        self.evidence.merge(&(digest.instance, digest.incarnation), &digest.evidence);
        for key in digest.halts {
            self.handle_halt(key, now);
        }
        self.extend_lease_from_peer(digest.config_number, digest.confirmed_age_ms, now);
    }

    /// Extends the lease if a peer with the same configuration has a recent
    /// confirmation.
    fn extend_lease_from_peer(&mut self, number: u64, age_ms: Option<u64>, now: Now) {
        let own = self.config.as_ref().map_or(0, |config| config.number);
        let Some(age) = age_ms.map(Duration::from_millis) else { return };
        if own == number && own > 0 && age < CONFIRMATION_TTL {
            self.lease.extend(now.mono + CONFIRMATION_TTL - age);
            self.dispatch_all(now);
        }
    }

    /// Recomputes the load of other instances from the load hints, and the number of live
    /// instances in the failure domain.
    fn refresh_hints(&mut self, now: Now) {
        for server in self.servers.iter_mut() {
            server.peer_in_flight = 0;
        }
        for hint in self.peers.hints(now.mono) {
            let Some(ix) = self.servers.find(&hint.server) else { continue };
            let server = self.servers.get_mut(ix);
            server.peer_in_flight += hint.in_flight;
            if hint.suspect {
                server.record_peer_suspect(now.mono);
            }
        }
        self.domain_instances = self.peers.count_alive(&self.settings.domain, now.mono) as u32 + 1;
    }

    fn tick(&mut self, now: Now) {
        self.fire_timers(now);
        let since = now.mono.saturating_sub(self.last_weight_update);
        if since >= WEIGHT_UPDATE_INTERVAL {
            self.last_weight_update = now.mono;
            self.update_weights(since, now);
            self.dispatch_all(now);
        }
        if now.mono.saturating_sub(self.last_evaluation) >= EVALUATION_INTERVAL {
            self.last_evaluation = now.mono;
            self.evaluate_all_versions(now);
            self.evidence.expire(now.epoch());
            self.poison.expire(now.mono);
            self.peers.expire(now.mono);
        }
    }

    /// Updates completion rates, and the weights of the servers relative to the median
    /// latency ratio of their pool.
    fn update_weights(&mut self, since: Duration, now: Now) {
        for ix in 0..self.pools.len() {
            let pool = self.pools.get_mut(ix);
            let has_waiting = [!pool.short.is_empty(), !pool.long.is_empty()];
            for (rate, busy) in pool.completion_rates.iter_mut().zip(has_waiting) {
                rate.end_interval(since.as_secs_f64(), busy);
            }
            let indices: Vec<ServerIx> = pool.local.iter().chain(&pool.remote).copied().collect();
            let expected_s = pool
                .expected_latency
                .first_byte(0)
                .max(pool.expected_latency.token() * OVERDUE_TOKENS);
            self.update_pool_weights(&indices, expected_s, now);
        }
    }

    fn update_pool_weights(&mut self, indices: &[ServerIx], expected_s: f64, now: Now) {
        if !self.settings.switches.stragglers || indices.is_empty() {
            return;
        }
        let mut ratios = Vec::with_capacity(indices.len());
        for server_ix in indices {
            let server = self.servers.get_mut(*server_ix);
            match server.in_flight {
                0 => server.latency.decay(),
                _ => server.latency.observe_overdue(expected_s, now.mono),
            }
            ratios.push(server.latency.ratio());
        }
        let middle = ratios.len() / 2;
        let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        for server_ix in indices {
            self.servers.get_mut(*server_ix).latency.update_weight(median);
        }
    }

    fn evaluate_all_versions(&mut self, now: Now) {
        let Some(config) = self.config.clone() else { return };
        for route in config.routes.values() {
            for version in &route.versions {
                let key = VersionKey { route: route.name.clone(), version: version.name.clone() };
                self.evaluate_version(&key, now);
            }
        }
    }

    /// Halts the version if the evidence is against it and the route has another stable
    /// version that is not halted.
    pub(crate) fn evaluate_version(&mut self, key: &VersionKey, now: Now) {
        if !self.settings.switches.halt {
            return;
        }
        let Some(route) = self.config.as_ref().and_then(|c| c.routes.get(&key.route)) else {
            return;
        };
        let route = route.clone();
        let Some(version) = route.version(&key.version) else { return };
        let selector = self.version_selector(&route, now);
        let halted = selector.is_halted(version);
        let others = route.versions.iter().filter(|v| v.name != version.name);
        let stable = others.filter(|v| v.stage == config::Stage::Stable && !selector.is_halted(v));
        let mut sum = Tally::default();
        let mut has_alternative = false;
        for other in stable {
            has_alternative = true;
            let key = VersionKey { route: key.route.clone(), version: other.name.clone() };
            if let Some(tally) = self.evidence.cumulative(&key, now.epoch()).last() {
                sum.add(tally);
            }
        }
        if halted || !has_alternative {
            return;
        }
        let cumulative = self.evidence.cumulative(key, now.epoch());
        let Some(reason) = evaluate(&cumulative, &sum, version.quality) else { return };
        let halt = HaltKey {
            route: key.route.clone(),
            version: key.version.clone(),
            generation: version.generation,
        };
        self.actions.push(Action::Halt(halt.clone(), reason));
        self.handle_halt(halt, now);
    }
}

fn to_poison_row((fingerprint, crashes): (u64, u32)) -> PoisonRow {
    PoisonRow { fingerprint, crashes }
}

/// The state of the core in the status dump.
#[derive(Debug, Serialize)]
pub struct Status {
    /// Whether the configuration is confirmed.
    #[serde(rename = "standing")]
    pub freshness: Freshness,
    /// The number of the configuration.
    pub config_number: u64,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// The number of requests without a complete answer.
    pub open: usize,
    /// The states of the backend servers.
    pub servers: Vec<ServerStatus>,
    /// The states of the pools.
    pub pools: Vec<PoolStatus>,
    /// Halted versions.
    pub halts: Vec<HaltKey>,
    /// The number of fingerprints blocked for crashing servers.
    #[serde(rename = "convicted")]
    pub blocked_fingerprints: usize,
    /// The quality estimates.
    pub quality: Vec<QualityRow>,
    /// The live peers.
    pub peers: Vec<Name>,
}

/// The state of one backend server.
#[derive(Debug, Serialize)]
pub struct ServerStatus {
    /// The server's id.
    pub id: Name,
    /// The server's failure domain.
    pub domain: Name,
    /// Whether the server accepts new requests.
    pub takes_work: bool,
    /// The number of this instance's attempts in flight.
    pub in_flight: u32,
    /// The estimated number of other instances' attempts in flight.
    pub others: f64,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// The observed time as a multiple of the expected one.
    #[serde(rename = "pace")]
    pub latency_ratio: f64,
    /// The fraction of its normal load that the server should receive.
    pub weight: f64,
    /// Whether the server is an outlier and receives only probes.
    #[serde(rename = "suspect")]
    pub outlier: bool,
}

/// The state of one pool.
#[derive(Debug, Serialize)]
pub struct PoolStatus {
    /// The version or service.
    pub version: Name,
    /// The number of servers used in the instance's own failure domain.
    #[serde(rename = "near")]
    pub local: usize,
    /// The number of servers used in other failure domains.
    #[serde(rename = "far")]
    pub remote: usize,
    /// The number of queued short requests.
    pub waiting_short: usize,
    /// The number of queued long requests.
    pub waiting_long: usize,
}
