//! The state machine and its dispatch of events.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use config::{Name, Route, Snapshot};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::action::Action;
use crate::balance::{Balance, LeastWork};
use crate::budget::Budget;
use crate::event::{Arrival, Attempt, Event, Rating, RequestId};
use crate::evidence::{EPOCH_MS, Evidence, HaltKey, Tally, VersionKey, judge};
use crate::fresh::Freshness;
use crate::peers::{Digest, LoadHint, Member, Peers, PoisonRow};
use crate::poison::Poison;
use crate::pools::Pools;
use crate::quality::{Quality, QualityRow};
use crate::servers::{ServerIx, Servers};
use crate::settings::{REVIEW_EVERY, Settings};
use crate::versions::Context;
use crate::work::WorkModel;

/// The share of extra attempts that failures may cause on a route.
const RETRY_SHARE: f64 = 0.1;
/// The burst of retries on a route.
const RETRY_BURST: f64 = 20.0;
/// The share of extra attempts that lateness may cause.
const HEDGE_SHARE: f64 = 0.02;
/// The burst of hedges.
const HEDGE_BURST: f64 = 10.0;
/// How long a confirmation holds.
pub const GRANT: Duration = Duration::from_secs(4);

/// The time of an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time since the start of the process.
    pub mono: Duration,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
}

impl Now {
    /// The epoch of the evidence.
    pub(crate) fn epoch(self) -> u64 {
        self.wall_ms / EPOCH_MS
    }
}

/// Whether the instance knows that its configuration is the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It has none yet.
    NotReady,
    /// It is confirmed.
    Fresh,
    /// The confirmation ran out and no new try has ended; requests wait.
    Stale,
    /// A try to confirm failed at the platform and at every peer.
    CutOff,
}

/// The decision core, generic over the choice among servers.
#[derive(Debug)]
pub struct Core<B = LeastWork> {
    pub(crate) settings: Settings,
    pub(crate) balance: B,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) config: Option<Arc<Snapshot>>,
    pub(crate) fresh: Freshness,
    pub(crate) servers: Servers,
    pub(crate) pools: Pools,
    pub(crate) open: HashMap<RequestId, Open>,
    pub(crate) timers: BinaryHeap<Reverse<(Duration, Timer, RequestId)>>,
    pub(crate) work: WorkModel,
    pub(crate) quality: Quality,
    pub(crate) evidence: Evidence,
    pub(crate) halts: HashSet<HaltKey>,
    pub(crate) poison: Poison,
    pub(crate) peers: Peers,
    pub(crate) retries: HashMap<Name, Budget>,
    pub(crate) hedges: Budget,
    pub(crate) draining: bool,
    pub(crate) actions: Vec<Action>,
    pub(crate) sharers: u32,
    sequence: u64,
    reviewed: Duration,
    judged: Duration,
}

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of a request.
    Deadline,
    /// The time from which its first byte counts as late.
    Late,
}

/// A request that has no whole answer yet.
#[derive(Debug)]
pub(crate) struct Open {
    pub arrival: Arrival,
    pub route: Arc<Route>,
    pub weight: f64,
    pub version: Name,
    pub moved: Option<Name>,
    pub pool: usize,
    pub long: bool,
    pub work: f64,
    pub running: Vec<Running>,
    pub next: Attempt,
    pub failed: Vec<ServerIx>,
    pub queued: bool,
    pub answering: Option<Attempt>,
    pub suspect: bool,
}

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub attempt: Attempt,
    pub server: ServerIx,
    pub since: Duration,
    pub last: Duration,
    pub tokens: u32,
}

impl Core<LeastWork> {
    /// A core with the product's way to choose among servers.
    pub fn new(settings: Settings) -> Self {
        Core::with_balance(settings, LeastWork)
    }
}

impl<B: Balance> Core<B> {
    /// A core with another way to choose among servers.
    pub fn with_balance(settings: Settings, balance: B) -> Self {
        Core {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            balance,
            config: None,
            fresh: Freshness::default(),
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
            retries: HashMap::new(),
            hedges: Budget::new(HEDGE_SHARE, HEDGE_BURST),
            draining: false,
            actions: Vec::new(),
            sharers: 1,
            sequence: 0,
            reviewed: Duration::ZERO,
            judged: Duration::ZERO,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn step(&mut self, event: Event, now: Now) -> Vec<Action> {
        match event {
            Event::Configured(snapshot) => self.configured(snapshot, now),
            Event::Listed(infos) => {
                self.servers.update(infos);
                self.assign();
                self.dispatch_all(now);
            }
            Event::Confirmed(until) => {
                self.fresh.confirm(until);
                self.dispatch_all(now);
            }
            Event::Unconfirmed => {
                self.fresh.fail(now.mono);
                self.dispatch_all(now);
            }
            Event::Arrived(arrival) => self.arrived(arrival, now),
            Event::Cancelled(id) => self.cancelled(id, now),
            Event::FirstByte(id, attempt) => self.first_byte(id, attempt, now),
            Event::Progress(id, attempt, tokens) => self.progress(id, attempt, tokens, now),
            Event::Done(id, attempt, usage) => self.done(id, attempt, usage, now),
            Event::Failed(id, attempt, failure) => self.failed(id, attempt, failure, now),
            Event::Reported(server, report) => {
                if let Some(ix) = self.servers.find(&server) {
                    self.servers.get_mut(ix).report(report, now.mono);
                }
            }
            Event::Leaving(server) => self.leaving(&server),
            Event::Rated(rating) => self.rated(&rating, now),
            Event::Merged(digest) => self.merged(digest, now),
            Event::Halted(key) => self.halted(key, now),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether the configuration is confirmed.
    pub fn standing(&self, now: Now) -> Standing {
        match self.config {
            Some(_) => self.fresh.standing(now.mono),
            None => Standing::NotReady,
        }
    }

    /// The configuration that the core works from.
    pub fn config(&self) -> Option<&Arc<Snapshot>> {
        self.config.as_ref()
    }

    /// Requests that have no whole answer yet.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Peers that are alive, the instance itself not among them.
    pub fn peers_alive(&self, now: Now) -> Vec<Name> {
        self.peers.alive(now.mono)
    }

    /// Whether a peer's incarnation is gone for good.
    pub fn peer_gone(&self, instance: &str, incarnation: u64, now: Now) -> bool {
        self.peers.gone(instance, incarnation, &self.settings.domain, now.mono)
    }

    /// The next digest for a peer.
    pub fn digest(&mut self, now: Now, confirmed_age_ms: Option<u64>) -> Digest {
        self.sequence += 1;
        let loads = self.servers.iter().filter(|(_, server)| server.in_flight > 0);
        let loads = loads.map(|(_, server)| LoadHint {
            server: server.info.id.clone(),
            in_flight: server.in_flight,
            suspect: server.suspect.is_some(),
        });
        let leaving = self.servers.iter().filter(|(_, s)| s.leaving && !s.gone);
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
            poison: self.poison.rows().map(poison_row).collect(),
            loads: loads.collect(),
            evidence: self.evidence.recent(now.epoch()),
        }
    }

    /// The state, for the dump.
    pub fn status(&self, now: Now) -> Status {
        let servers = self.servers.iter().map(|(_, server)| ServerStatus {
            id: server.info.id.clone(),
            domain: server.info.domain.clone(),
            takes_work: server.takes_work(),
            in_flight: server.in_flight,
            others: server.external(now.mono),
            slots: server.info.slots,
            pace: server.pace.ratio(),
            weight: server.pace.weight(),
            suspect: server.pace.suspect(),
        });
        let pools = self.pools.iter().map(|pool| PoolStatus {
            version: pool.version.clone(),
            near: pool.near.len(),
            far: pool.far.len(),
            waiting_short: pool.short.len(),
            waiting_long: pool.long.len(),
        });
        Status {
            standing: self.standing(now),
            config_number: self.config.as_ref().map_or(0, |config| config.number),
            draining: self.draining,
            open: self.open.len(),
            servers: servers.collect(),
            pools: pools.collect(),
            halts: self.halts.iter().cloned().collect(),
            convicted: self.poison.rows().filter(|(_, deaths)| *deaths >= 2).count(),
            quality: self.quality.rows(),
            peers: self.peers.alive(now.mono),
        }
    }

    /// The context of a choice of version.
    pub(crate) fn context<'a>(&'a self, route: &'a Route, now: Now) -> Context<'a> {
        Context {
            route,
            halts: &self.halts,
            quality: &self.quality,
            standing: self.standing(now),
            wall_ms: now.wall_ms,
            selection: self.settings.selection,
            switches: self.settings.switches,
        }
    }

    /// The route's retry budget.
    pub(crate) fn retry_budget(&mut self, route: &Name) -> &mut Budget {
        let fresh = || Budget::new(RETRY_SHARE, RETRY_BURST);
        self.retries.entry(route.clone()).or_insert_with(fresh)
    }

    fn configured(&mut self, snapshot: Arc<Snapshot>, now: Now) {
        let older = self.config.as_ref().is_some_and(|config| config.number >= snapshot.number);
        if older && self.settings.switches.ordered {
            return;
        }
        self.config = Some(snapshot);
        self.recheck_waiting(now);
        self.dispatch_all(now);
    }

    fn assign(&mut self) {
        self.pools.assign(&mut self.servers, &self.settings);
    }

    fn leaving(&mut self, server: &Name) {
        let Some(ix) = self.servers.find(server) else { return };
        if !self.servers.get(ix).leaving {
            self.servers.get_mut(ix).leaving = true;
            self.assign();
        }
    }

    fn rated(&mut self, rating: &Rating, now: Now) {
        self.quality.learn(rating);
        let key = VersionKey { route: rating.route.clone(), version: rating.version.clone() };
        self.evidence.rating(&key, now.epoch(), rating.score);
        self.judge_version(&key, now);
    }

    fn halted(&mut self, key: HaltKey, now: Now) {
        if self.halts.insert(key) {
            self.recheck_waiting(now);
        }
    }

    fn merged(&mut self, digest: Digest, now: Now) {
        let from = Member {
            instance: digest.instance.clone(),
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            leaving: digest.leaving,
        };
        for member in digest.members.iter().filter(|m| m.instance != self.settings.instance) {
            self.peers.heartbeat(member, &digest.domain, now.mono);
        }
        self.peers.heartbeat(&from, &digest.domain, now.mono);
        self.peers.hint(&digest.instance, digest.loads, now.mono);
        self.refresh_hints(now);
        for server in &digest.leaving_servers {
            self.leaving(server);
        }
        for row in &digest.poison {
            self.poison.merge(row.fingerprint, row.deaths, now.mono);
        }
        self.evidence.merge(&(digest.instance, digest.incarnation), &digest.evidence);
        for key in digest.halts {
            self.halted(key, now);
        }
        self.confirm_by_peer(digest.config_number, digest.confirmed_age_ms, now);
    }

    /// A peer that holds the same configuration passes its confirmation on.
    fn confirm_by_peer(&mut self, number: u64, age_ms: Option<u64>, now: Now) {
        let own = self.config.as_ref().map_or(0, |config| config.number);
        let Some(age) = age_ms.map(Duration::from_millis) else { return };
        if own == number && own > 0 && age < GRANT {
            self.fresh.confirm(now.mono + GRANT - age);
            self.dispatch_all(now);
        }
    }

    fn refresh_hints(&mut self, now: Now) {
        for server in self.servers.iter_mut() {
            server.hinted = 0;
        }
        for hint in self.peers.hints(now.mono) {
            let Some(ix) = self.servers.find(&hint.server) else { continue };
            let server = self.servers.get_mut(ix);
            server.hinted += hint.in_flight;
            if hint.suspect {
                server.peer_runs_suspect(now.mono);
            }
        }
        self.sharers = self.peers.count_alive(&self.settings.domain, now.mono) as u32 + 1;
    }

    fn tick(&mut self, now: Now) {
        self.fire_timers(now);
        let since = now.mono.saturating_sub(self.reviewed);
        if since >= REVIEW_EVERY {
            self.reviewed = now.mono;
            self.review(since, now);
            self.dispatch_all(now);
        }
        if now.mono.saturating_sub(self.judged) >= Duration::from_secs(1) {
            self.judged = now.mono;
            self.judge_all(now);
            self.evidence.expire(now.epoch());
            self.poison.expire(now.mono);
            self.peers.expire(now.mono);
        }
    }

    /// Computes the servers' weights against the median of each pool.
    fn review(&mut self, since: Duration, now: Now) {
        for ix in 0..self.pools.len() {
            let pool = self.pools.get_mut(ix);
            let waits = [!pool.short.is_empty(), !pool.long.is_empty()];
            for (rate, waits) in pool.rates.iter_mut().zip(waits) {
                rate.close(since.as_secs_f64(), waits);
            }
            let places: Vec<ServerIx> = pool.near.iter().chain(&pool.far).copied().collect();
            let overdue = pool.expect.first_byte(0).max(pool.expect.token() * 16.0);
            self.review_servers(&places, overdue, now);
        }
    }

    fn review_servers(&mut self, places: &[ServerIx], overdue: f64, now: Now) {
        if !self.settings.switches.stragglers || places.is_empty() {
            return;
        }
        let mut ratios = Vec::with_capacity(places.len());
        for place in places {
            let server = self.servers.get_mut(*place);
            match server.in_flight {
                0 => server.pace.fade(),
                _ => server.pace.overdue(overdue, now.mono),
            }
            ratios.push(server.pace.ratio());
        }
        let middle = ratios.len() / 2;
        let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        for place in places {
            self.servers.get_mut(*place).pace.review(median);
        }
    }

    fn judge_all(&mut self, now: Now) {
        let Some(config) = self.config.clone() else { return };
        for route in config.routes.values() {
            for version in &route.versions {
                let key = VersionKey { route: route.name.clone(), version: version.name.clone() };
                self.judge_version(&key, now);
            }
        }
    }

    /// Halts the version if the evidence says so and the route can do without it.
    pub(crate) fn judge_version(&mut self, key: &VersionKey, now: Now) {
        if !self.settings.switches.halt {
            return;
        }
        let Some(route) = self.config.as_ref().and_then(|c| c.routes.get(&key.route)) else {
            return;
        };
        let route = route.clone();
        let Some(version) = route.version(&key.version) else { return };
        let context = self.context(&route, now);
        let halted = context.halted(version);
        let others = route.versions.iter().filter(|v| v.name != version.name);
        let stable = others.filter(|v| v.stage == config::Stage::Stable && !context.halted(v));
        let mut sum = Tally::default();
        let mut spare = false;
        for other in stable {
            spare = true;
            let key = VersionKey { route: key.route.clone(), version: other.name.clone() };
            if let Some(tally) = self.evidence.since(&key, now.epoch()).last() {
                sum.add(tally);
            }
        }
        if halted || !spare {
            return;
        }
        let since = self.evidence.since(key, now.epoch());
        let Some(verdict) = judge(&since, &sum, version.quality) else { return };
        let halt = HaltKey {
            route: key.route.clone(),
            version: key.version.clone(),
            generation: version.generation,
        };
        self.actions.push(Action::Halt(halt.clone(), verdict));
        self.halted(halt, now);
    }
}

fn poison_row((fingerprint, deaths): (u64, u32)) -> PoisonRow {
    PoisonRow { fingerprint, deaths }
}

/// The state of the core, for the dump.
#[derive(Debug, Serialize)]
pub struct Status {
    /// Whether the configuration is confirmed.
    pub standing: Standing,
    /// The number of the configuration.
    pub config_number: u64,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// Requests that have no whole answer yet.
    pub open: usize,
    /// The backend servers.
    pub servers: Vec<ServerStatus>,
    /// The pools.
    pub pools: Vec<PoolStatus>,
    /// Halted versions.
    pub halts: Vec<HaltKey>,
    /// Fingerprints that may not run again.
    pub convicted: usize,
    /// The learnt quality.
    pub quality: Vec<QualityRow>,
    /// Peers that are alive.
    pub peers: Vec<Name>,
}

/// The state of one backend server.
#[derive(Debug, Serialize)]
pub struct ServerStatus {
    /// The server.
    pub id: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Attempts of this instance in flight.
    pub in_flight: u32,
    /// Attempts of others in flight, estimated.
    pub others: f64,
    /// How many requests it runs at a time.
    pub slots: u32,
    /// The observed time as a multiple of the expected one.
    pub pace: f64,
    /// The share of its load that it should get.
    pub weight: f64,
    /// Whether it gets probes only.
    pub suspect: bool,
}

/// The state of one pool.
#[derive(Debug, Serialize)]
pub struct PoolStatus {
    /// The version or service.
    pub version: Name,
    /// Servers used in the instance's own domain.
    pub near: usize,
    /// Servers used in other domains.
    pub far: usize,
    /// Waiting short work.
    pub waiting_short: usize,
    /// Waiting long work.
    pub waiting_long: usize,
}
