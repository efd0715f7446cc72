//! Known backend servers with their load and health.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use config::Name;
use policy::{hash_parts, mix};

use crate::MonotonicTime;
use crate::brittleness::{BrittleNotice, Brittleness};
use crate::cold::{
    ColdNotice, ColdServers, ColdStart, ColdTime, EarlyCold, MAX_PERMIT_AGE, is_fresh,
};
use crate::rate_limit::{PRIORITY_CLASSES, RateLimit, RateNotice, priority_class};
use crate::regions::Regions;

/// Decay time of the load that a server's report attributes to other instances, in
/// seconds.
const REPORT_DECAY_S: f64 = 1.5;
/// Decay time of a reported slowdown caused by noisy neighbours, in seconds.
const SLOWDOWN_DECAY_S: f64 = 0.25;
/// Decay time of the failure rate, in seconds.
const FAILURE_DECAY_S: f64 = 3.0;
/// Weight of the newest outcome in the failure rate.
const FAILURE_SMOOTHING: f64 = 0.25;
/// How long a server stays eligible after its directory entry expired. Most live
/// servers are listed again by then, and a server that shut down must stop getting
/// requests soon afterwards.
const PRESUMED_GONE_AFTER: Duration = Duration::from_secs(1);
/// How long a prompt part is assumed to stay in a server's cache.
const PART_CACHE_TTL: Duration = Duration::from_secs(20);
/// How long a peer's report of its load is valid.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_500);
/// How long servers of a version that is new get no requests while others are there, unless a
/// rollout says so: the order may arrive after their entries.
const UNKNOWN_VERSION_TIME: Duration = Duration::from_secs(2);
/// Time in which an instance that starts sees all versions that are listed.
const TABLE_LOAD_TIME: Duration = Duration::from_millis(500);
/// How long after an answer a server counts as proven to be reachable.
const PROVEN_TIME: Duration = Duration::from_millis(300);
/// Longest pause that a server can ask for.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// How long after its pause a server is avoided, less and less, so that not all requests
/// return to it at once.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Maximum number of servers remembered that said that they leave and are no longer listed.
const MAX_LEAVERS: usize = 1_000;
/// Maximum number of servers whose rate limit is remembered before their entries are read.
const MAX_EARLY_LIMITS: usize = 4_096;
/// Maximum number of cached prompt parts remembered per server.
const MAX_CACHED_PARTS: usize = 2_000;

/// Directory entry of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerInfo {
    /// Id of this incarnation.
    pub id: Name,
    /// The service.
    pub service: Name,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// The version of its software.
    pub version: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server is shutting down and accepts no new requests.
    pub leaving: bool,
    /// Start time of this incarnation, in Unix milliseconds.
    pub started_at_ms: u64,
    /// How long it remains cold; `None` if the entry doesn't say.
    pub cold_remaining: Option<Duration>,
}

impl ServerInfo {
    /// Whether two entries say the same apart from the remaining cold time.
    pub fn same_except_cold(&self, other: &ServerInfo) -> bool {
        let other = ServerInfo { cold_remaining: self.cold_remaining, ..other.clone() };
        *self == other
    }
}

/// Load that a server reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Current slowdown factor; 1 is normal.
    pub slowdown: f64,
}

/// Outcome of a send, as far as it concerns the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was complete.
    Success,
    /// The request failed, or its answer was corrupt or missing.
    Failed,
    /// The server reported that it did not run the request.
    Rejected,
    /// No connection could be established.
    Unreachable,
    /// The caller disconnected or the deadline passed; says nothing about the server.
    Abandoned,
}

/// State of one server.
#[derive(Debug)]
pub struct Server {
    /// Directory entry.
    pub info: ServerInfo,
    /// Requests of this instance in flight.
    pub in_flight: u32,
    /// Prompt tokens of this instance's requests that the server has not processed
    /// yet, in mid-sized model equivalents.
    pub prefill_tokens: f64,
    /// Hash of the id; identical on every instance.
    pub id_hash: u64,
    cached_parts: HashMap<u64, MonotonicTime>,
    peer_load: ServerLoad,
    /// Last load report, when it arrived, and `in_flight` at that time.
    report: Option<(LoadReport, MonotonicTime, u32)>,
    /// Failure rate as of `failures_at`.
    recent_failures: f64,
    failures_at: MonotonicTime,
    /// Since when no connection to it could be established, and no answer came from it.
    pub unreachable_since: Option<MonotonicTime>,
    /// When its directory entry expired in an outage of the store; `None` if it is
    /// listed.
    pub expired_at: Option<MonotonicTime>,
    /// The rate that it asked for.
    pub rate_limit: RateLimit,
    /// Until when permits for it are denied, by class of priority.
    denied_until: [MonotonicTime; PRIORITY_CLASSES],
    /// Number of rejections in a second that it survives, if it is brittle: having to reject
    /// more makes it crash.
    pub max_rejections: Option<u32>,
    /// Whether it said that it shuts down, itself or in an entry; a later entry may be older.
    said_leaving: bool,
    /// Whether another server answered at its address.
    displaced: bool,
    /// Until when it wants no requests from this instance.
    paused_until: Option<MonotonicTime>,
    cold: ColdTime,
    /// Whether all instances learn themselves why it is cold.
    common_cold: bool,
    /// Whether it counts as cold only because this instance could not reach it for a time: it may
    /// have been restarted, or the link was lost.
    presumed_cold: bool,
    /// Until when it was cold when that was last logged.
    logged_cold: MonotonicTime,
    /// Rate that it accepts while it is cold; `None` if the service has no cold servers.
    cold_rate: Option<f64>,
}

impl Server {
    fn new(info: ServerInfo) -> Self {
        Server {
            id_hash: hash_parts(&[info.id.as_bytes()]),
            info,
            in_flight: 0,
            prefill_tokens: 0.0,
            cached_parts: HashMap::new(),
            peer_load: ServerLoad::default(),
            report: None,
            recent_failures: 0.0,
            failures_at: MonotonicTime::ZERO,
            unreachable_since: None,
            expired_at: None,
            rate_limit: RateLimit::default(),
            denied_until: [MonotonicTime::ZERO; PRIORITY_CLASSES],
            max_rejections: None,
            said_leaving: false,
            displaced: false,
            paused_until: None,
            cold: ColdTime::default(),
            common_cold: false,
            presumed_cold: false,
            logged_cold: MonotonicTime::ZERO,
            cold_rate: None,
        }
    }

    /// Whether the server shuts down and must get no new requests.
    pub fn is_leaving(&self) -> bool {
        self.info.leaving || self.said_leaving || self.displaced
    }

    /// Whether the server said that it shuts down, itself or in an entry.
    pub fn said_leaving(&self) -> bool {
        self.said_leaving
    }

    /// Until when the server wants no requests from this instance, if it wants none now.
    pub fn paused_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Returns how much of the time after a pause is left in which the server is avoided, from
    /// 0 to 1.
    pub fn return_fraction(&self, now: MonotonicTime) -> f64 {
        let Some(until) = self.paused_until else { return 0.0 };
        let since = now.saturating_sub(until).as_secs_f64();
        (1.0 - since / RETURN_TIME.as_secs_f64()).clamp(0.0, 1.0)
    }

    /// Estimates the requests on the server, including those of other instances.
    pub fn load(&self, now: MonotonicTime) -> f64 {
        let own = f64::from(self.in_flight);
        let peers = f64::from(self.peer_load.in_flight);
        let Some((report, at, own_at_report)) = self.report else { return own + peers };
        let others = f64::from((report.running + report.waiting).saturating_sub(own_at_report));
        own + peers.max(others * decay(now, at, REPORT_DECAY_S))
    }

    /// Estimates the requests on the server as a fraction of its slots.
    pub fn load_fraction(&self, now: MonotonicTime) -> f64 {
        self.load(now) / f64::from(self.info.slots.max(1))
    }

    /// Returns the prompt tokens queued ahead of a new request, in mid-sized model
    /// equivalents.
    pub fn prefill_backlog(&self) -> f64 {
        self.prefill_tokens + self.peer_load.prefill_tokens
    }

    /// Returns the current slowdown factor.
    pub fn slowdown(&self, now: MonotonicTime) -> f64 {
        let Some((report, at, _)) = self.report.filter(|(report, ..)| report.slowdown != 1.0)
        else {
            return 1.0;
        };
        1.0 + (report.slowdown - 1.0) * decay(now, at, SLOWDOWN_DECAY_S)
    }

    /// Returns the fraction of recent requests that failed, from 0 to 1.
    pub fn failure_rate(&self, now: MonotonicTime) -> f64 {
        if self.recent_failures == 0.0 {
            return 0.0;
        }
        self.recent_failures * decay(now, self.failures_at, FAILURE_DECAY_S)
    }

    /// Whether having to reject requests makes the server crash.
    pub fn is_brittle(&self) -> bool {
        self.max_rejections.is_some()
    }

    /// Whether the server accepts few requests, since it has only just started.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        self.cold_rate.is_some() && now < self.cold.until
    }

    /// Whether the server counts as cold only because this instance could not reach it.
    pub fn is_presumed_cold(&self, now: MonotonicTime) -> bool {
        self.presumed_cold && self.is_cold(now)
    }

    /// Returns the rate that the server accepts and since when it is known to be cold, if it is.
    pub fn cold_rate(&self, now: MonotonicTime) -> Option<(f64, MonotonicTime)> {
        let rate = self.cold_rate.filter(|_| self.is_cold(now));
        rate.map(|rate| (rate, self.cold.since))
    }

    /// Whether a request may be written: while the server is cold, only with a permit that was
    /// asked for as for a cold server, at `permit_at`, and lately.
    pub fn admits(&self, permit_at: Option<MonotonicTime>, now: MonotonicTime) -> bool {
        let is_recent = |at| now.saturating_sub(at) <= MAX_PERMIT_AGE;
        !self.is_cold(now) || permit_at.is_some_and(is_recent)
    }

    /// Returns what other instances need to know while the server is cold.
    pub fn cold_notice(&self, now: MonotonicTime) -> Option<ColdNotice> {
        let remaining = self.cold.until.saturating_sub(now);
        let started_at_ms = self.info.started_at_ms;
        self.is_cold(now).then_some(ColdNotice { started_at_ms, remaining })
    }

    /// Returns since when the server was cold, if it was.
    pub fn cold_since(&self) -> MonotonicTime {
        self.cold.since
    }

    /// Whether requests to the server need a permit.
    pub fn needs_permit(&self, now: MonotonicTime) -> bool {
        self.rate_limit.rate.is_some() || self.is_brittle() || self.is_cold(now)
    }

    /// Until when permits for requests of this priority are denied, if they are.
    pub fn denied_until(&self, priority: u8, now: MonotonicTime) -> Option<MonotonicTime> {
        let until = self.denied_until[priority_class(priority)];
        (self.needs_permit(now) && now < until).then_some(until)
    }

    /// Whether the server has probably shut down: its entry expired in an outage of the
    /// store, and it was not listed again within the time in which live servers are.
    pub fn presumed_gone(&self, now: MonotonicTime) -> bool {
        self.expired_at.is_some_and(|at| now.saturating_sub(at) >= PRESUMED_GONE_AFTER)
    }

    /// Whether the server's cache probably holds a prompt part.
    pub fn caches(&self, part: PromptPartKey, now: MonotonicTime) -> bool {
        let since = self.cached_parts.get(&part.0);
        since.is_some_and(|since| now.saturating_sub(*since) < PART_CACHE_TTL)
    }

    fn cache(&mut self, part: PromptPartKey, now: MonotonicTime) {
        if self.cached_parts.len() >= MAX_CACHED_PARTS {
            self.cached_parts.retain(|_, since| now.saturating_sub(*since) < PART_CACHE_TTL);
        }
        if self.cached_parts.len() < MAX_CACHED_PARTS {
            self.cached_parts.insert(part.0, now);
        }
    }

    fn record_outcome(&mut self, outcome: Outcome, now: MonotonicTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed = match outcome {
            Outcome::Success => 0.0,
            Outcome::Failed => 1.0,
            Outcome::Rejected => 0.5,
            Outcome::Unreachable => {
                self.unreachable_since.get_or_insert(now);
                1.0
            }
            Outcome::Abandoned => return,
        };
        if matches!(outcome, Outcome::Success | Outcome::Rejected) {
            self.unreachable_since = None;
        }
        let rate = self.failure_rate(now);
        self.recent_failures = rate + (failed - rate) * FAILURE_SMOOTHING;
        self.failures_at = now;
    }
}

fn decay(now: MonotonicTime, since: MonotonicTime, seconds: f64) -> f64 {
    (-now.saturating_sub(since).as_secs_f64() / seconds).exp()
}

/// Identifies a prompt part as processed by one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPartKey(u64);

impl PromptPartKey {
    /// Returns the key of a part for a model.
    pub fn new(model: &str, part: u64) -> Self {
        PromptPartKey(hash_parts(&[model.as_bytes(), &part.to_le_bytes()]))
    }
}

/// Load that one instance puts on a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompt tokens not processed yet, in mid-sized model equivalents.
    pub prefill_tokens: f64,
}

/// How many servers of a service an instance reaches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reach {
    /// Servers that can be reached.
    pub reached: usize,
    /// Servers that are listed, do not shut down and are not evacuated.
    pub listed: usize,
}

impl Reach {
    /// Whether there are servers and none can be reached.
    pub fn is_lost(&self) -> bool {
        self.listed > 0 && self.reached == 0
    }

    /// Whether less than half of the servers can be reached, but at least one.
    pub fn is_narrow(&self) -> bool {
        self.reached > 0 && self.reached * 2 < self.listed
    }
}

/// Loads reported by a peer and the time of the report.
type ReportedLoads = (MonotonicTime, Vec<(Name, ServerLoad)>);

/// All servers known to this instance.
#[derive(Debug, Default)]
pub struct Fleet {
    reported_loads: HashMap<Name, ReportedLoads>,
    servers: Vec<Server>,
    /// Indices into `servers`, by id.
    positions: HashMap<Name, usize>,
    /// Indices into `servers`, by service.
    services: HashMap<Name, Vec<usize>>,
    /// When versions were first seen, by service.
    versions: HashMap<Name, Vec<(Name, MonotonicTime)>>,
    /// Start times of the servers that said that they leave, by id, also of those that are no
    /// longer listed: an older entry may be listed again.
    leavers: HashMap<Name, u64>,
    brittleness: Brittleness,
    /// Rate limits of servers whose entries were not read yet.
    early_limits: HashMap<Name, RateLimit>,
    /// Failure domains whose servers get no new requests.
    evacuated: BTreeSet<Name>,
    regions: Regions,
    cold: ColdServers,
    /// Whether all servers were listed once.
    is_loaded: bool,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub fn new(regions: Regions) -> Self {
        Fleet { regions, ..Fleet::default() }
    }

    /// The regions of the failure domains.
    pub fn regions(&self) -> &Regions {
        &self.regions
    }

    /// Replaces the set of failure domains that operators evacuate. Returns the one before.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Name>) -> BTreeSet<Name> {
        std::mem::replace(&mut self.evacuated, domains)
    }

    /// The failure domains that operators evacuate.
    pub fn evacuated(&self) -> &BTreeSet<Name> {
        &self.evacuated
    }

    /// Whether operators evacuate a failure domain.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// Adds a server or updates its directory entry.
    ///
    /// A new incarnation under an existing id starts with empty state.
    pub fn update(&mut self, info: ServerInfo) {
        if info.leaving {
            self.remember_leaver(&info.id, info.started_at_ms);
        }
        let said_leaving = self.leavers.get(&info.id) == Some(&info.started_at_ms);
        if self.get(&info.id).is_some_and(|known| known.info.service != info.service) {
            self.remove(&info.id);
        }
        let max_rejections = self.brittleness.max_rejections(&info.service, &info.id);
        let cold_rate = self.cold.start(&info.service).map(|start| start.rate);
        match self.get_mut(&info.id) {
            Some(server) if server.info.started_at_ms == info.started_at_ms => {
                server.info = info;
                server.expired_at = None;
                server.displaced = false;
                server.said_leaving |= said_leaving;
            }
            Some(server) => {
                *server = Server { said_leaving, max_rejections, cold_rate, ..Server::new(info) };
            }
            None => {
                let position = self.servers.len();
                self.services.entry(info.service.clone()).or_default().push(position);
                self.positions.insert(info.id.clone(), position);
                let rate_limit = self.early_limits.remove(&info.id).unwrap_or_default();
                self.servers.push(Server {
                    said_leaving,
                    max_rejections,
                    rate_limit,
                    cold_rate,
                    ..Server::new(info)
                });
            }
        }
    }

    /// Adds a server or updates its directory entry, as [`Fleet::update`] does, and makes it cold
    /// if the entry says so or shows a new incarnation without saying, or if the server was
    /// unreachable when it was last listed. Returns whether it is news that the server is cold.
    pub fn list(&mut self, info: ServerInfo, now: MonotonicTime) -> bool {
        let (id, started_at_ms, stated) =
            (info.id.clone(), info.started_at_ms, info.cold_remaining);
        let start = self.cold.start(&info.service).map(|start| start.time).unwrap_or_default();
        let listed = self.get(&id).map(|known| known.info.started_at_ms);
        self.update(info);
        let early = self.cold.take_early(&id, started_at_ms);
        let removed = early.filter(|early| early.was_listed);
        let is_new = match listed.or(removed.map(|removed| removed.started_at_ms)) {
            Some(known) => known != started_at_ms,
            // Of the servers that an instance finds at its start, most have run for long.
            None => self.is_loaded,
        };
        let same = early.filter(|early| early.started_at_ms == started_at_ms);
        let returns = listed.is_none() && same.is_some_and(|early| early.unreachable);
        let Some(server) = self.get_mut(&id) else { return false };
        if let Some(early) = same.filter(|early| early.time.until > server.cold.until) {
            server.cold = early.time;
        }
        let unstated = if is_new { start } else { Duration::ZERO };
        let since_return = if returns { start } else { Duration::ZERO };
        let time = stated.unwrap_or(unstated).max(since_return);
        server.presumed_cold &= time.is_zero();
        let is_longer = server.cold.extend(time, now);
        let is_cold = server.is_cold(now);
        is_cold && (self.cold.remember(&id) | is_longer)
    }

    /// Records that all servers were listed once: those that are listed from now on have started
    /// lately.
    pub fn set_loaded(&mut self) {
        self.is_loaded = true;
    }

    /// Replaces the services whose servers are cold after their start.
    pub fn set_cold_starts(&mut self, starts: HashMap<Name, ColdStart>, now: MonotonicTime) {
        self.cold.set_starts(starts);
        for server in &mut self.servers {
            server.cold_rate = self.cold.start(&server.info.service).map(|start| start.rate);
            if server.is_cold(now) {
                self.cold.remember(&server.info.id);
            }
        }
    }

    /// Makes a server cold for the time after a start. Returns whether this is news.
    pub fn make_cold(&mut self, id: &str, now: MonotonicTime) -> bool {
        let Some(position) = self.positions.get(id) else { return false };
        let Some(server) = self.servers.get_mut(*position) else { return false };
        let Some(start) = self.cold.start(&server.info.service) else { return false };
        self.cold.remember(&server.info.id);
        server.presumed_cold = false;
        server.cold.extend(start.time, now)
    }

    /// Makes a server cold that this instance reaches again. Returns whether this is news.
    fn presume_cold(&mut self, id: &str, now: MonotonicTime) -> bool {
        let was_known = self.get(id).is_some_and(|server| server.is_cold(now));
        let is_news = self.make_cold(id, now);
        if let Some(server) = self.get_mut(id) {
            server.presumed_cold = !was_known;
        }
        is_news
    }

    /// Ends the cold time of a server that counts as cold only because this instance could not
    /// reach it; returns whether it did.
    pub fn confirm_warm(&mut self, id: &str) -> bool {
        let Some(server) = self.get_mut(id).filter(|server| server.presumed_cold) else {
            return false;
        };
        server.presumed_cold = false;
        server.cold = ColdTime::default();
        true
    }

    /// Makes the servers of a failure domain cold for the time after a start, as it receives
    /// requests again. Returns those for which this is news.
    pub fn make_domain_cold(&mut self, domain: &str, now: MonotonicTime) -> Vec<Name> {
        let of_domain = self.servers.iter().filter(|server| *server.info.domain == *domain);
        let ids: Vec<Name> = of_domain.map(|server| server.info.id.clone()).collect();
        ids.into_iter().filter(|id| self.make_cold(id, now)).collect()
    }

    /// Merges what another instance knows of a cold server. Returns whether this is news. What is
    /// told of an incarnation before its entry is read holds once it is; until then, the server
    /// that is listed under the id counts as cold.
    pub fn merge_cold(&mut self, id: &Name, notice: ColdNotice, now: MonotonicTime) -> bool {
        let known = self.get(id).map(|server| server.info.started_at_ms);
        if known.is_none_or(|known| notice.started_at_ms > known) {
            self.cold.merge_early(id, notice, now);
        }
        // A later incarnation is a later cause.
        let start = self.start_time(id).filter(|_| known == Some(notice.started_at_ms));
        let Some(server) = self.get_mut(id) else { return false };
        let is_news = notice.started_at_ms >= server.info.started_at_ms
            && server.cold.merge(notice.remaining, start, now)
            && server.is_cold(now);
        if is_news {
            server.presumed_cold = false;
            self.cold.remember(id);
        }
        is_news
    }

    /// Merges what the instance knows that asks for a permit for a cold server: the server is cold
    /// here for at least as long. Returns whether this is news.
    pub fn merge_cold_request(
        &mut self,
        id: &Name,
        notice: ColdNotice,
        now: MonotonicTime,
    ) -> bool {
        let mut is_news = self.merge_cold(id, notice, now);
        let start = self.start_time(id);
        if let Some(server) = self.get_mut(id)
            && notice.started_at_ms >= server.info.started_at_ms
        {
            let time = notice.remaining;
            let is_same = notice.started_at_ms == server.info.started_at_ms;
            let start = start.filter(|_| is_same);
            let time = start.map_or(time, |start| server.cold.limit(time, start, now));
            is_news |= server.cold.extend(time, now) && server.is_cold(now);
        }
        if is_news {
            self.cold.remember(id);
        }
        is_news
    }

    /// How long the server is cold after a start.
    fn start_time(&self, id: &str) -> Option<Duration> {
        self.cold.start(&self.get(id)?.info.service).map(|start| start.time)
    }

    /// Records whether all instances learn themselves why a server is cold. Returns whether that is
    /// to be logged: it has become cold, or remains so for notably longer than when last logged.
    pub fn note_cold_cause(&mut self, id: &str, is_common: bool, now: MonotonicTime) -> bool {
        let start = self.start_time(id).unwrap_or_default();
        let Some(server) = self.get_mut(id) else { return false };
        server.common_cold = is_common;
        let is_notable =
            server.logged_cold <= now || server.cold.until > server.logged_cold + start / 2;
        if is_notable {
            server.logged_cold = server.cold.until;
        }
        is_notable
    }

    /// Returns the cold servers of which other instances may not know. The cause of those that have
    /// only just become cold is still being told.
    pub fn uncommon_cold_servers(&self, now: MonotonicTime) -> impl Iterator<Item = &Server> {
        self.cold_servers(now).filter(move |server| {
            let remaining = server.cold.until.saturating_sub(now);
            let start = self.start_time(&server.info.id);
            !server.common_cold && !start.is_some_and(|start| is_fresh(remaining, start))
        })
    }

    /// Returns the servers that are cold.
    pub fn cold_servers(&self, now: MonotonicTime) -> impl Iterator<Item = &Server> {
        let known = self.cold.known().iter().filter_map(|id| self.get(id));
        known.filter(move |server| server.is_cold(now))
    }

    /// Returns the number of servers that were cold at the last call of [`Fleet::take_warm`] or
    /// became so since.
    pub fn cold_count(&self) -> usize {
        self.cold.known().len()
    }

    /// Returns the servers that became warm since the last call.
    pub fn take_warm(&mut self, now: MonotonicTime) -> Vec<Name> {
        let Fleet { servers, positions, cold, .. } = self;
        let server = |id: &Name| positions.get(id).and_then(|position| servers.get(*position));
        cold.take_warm(|id| server(id).is_some_and(|server| server.is_cold(now)))
    }

    /// Records that a version of a service is listed.
    pub fn note_version(&mut self, service: &Name, version: &Name, now: MonotonicTime) {
        let versions = self.versions.entry(service.clone()).or_default();
        if versions.iter().all(|(known, _)| known != version) {
            let listed = self.services.get(service).into_iter().flatten();
            let listed: Vec<&Server> =
                listed.filter_map(|position| self.servers.get(*position)).collect();
            versions.retain(|(known, _)| listed.iter().any(|server| server.info.version == *known));
            versions.push((version.clone(), now));
        }
    }

    /// Returns the versions of a service that were first seen lately, while an older one has
    /// servers: a rollout to them may have been ordered and not be known yet.
    pub fn unknown_versions(&self, service: &str, now: MonotonicTime) -> Vec<Name> {
        let Some(versions) = self.versions.get(service) else { return Vec::new() };
        let Some(first_seen) = versions.iter().map(|(_, seen_at)| *seen_at).min() else {
            return Vec::new();
        };
        let (unknown, known): (Vec<_>, Vec<_>) = versions.iter().partition(|(_, seen_at)| {
            *seen_at >= first_seen + TABLE_LOAD_TIME
                && now.saturating_sub(*seen_at) < UNKNOWN_VERSION_TIME
        });
        let serves = |server: &Server| {
            !server.is_leaving() && known.iter().any(|(version, _)| *version == server.info.version)
        };
        match unknown.is_empty() || !self.servers_of(service).any(serves) {
            true => Vec::new(),
            false => unknown.into_iter().map(|(version, _)| version.clone()).collect(),
        }
    }

    /// Removes a server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(position) = self.positions.remove(id) else { return false };
        let removed = self.servers.swap_remove(position);
        if self.cold.start(&removed.info.service).is_some() {
            let early = EarlyCold {
                started_at_ms: removed.info.started_at_ms,
                time: removed.cold,
                was_listed: true,
                unreachable: removed.unreachable_since.is_some(),
            };
            self.cold.remember_removed(&removed.info.id, early);
        }
        if let Some(positions) = self.services.get_mut(&removed.info.service) {
            positions.retain(|other| *other != position);
        }
        // `swap_remove` moved the last server into the free position.
        if let Some(moved) = self.servers.get(position) {
            self.positions.insert(moved.info.id.clone(), position);
            let positions = self.services.get_mut(&moved.info.service).into_iter().flatten();
            positions
                .filter(|other| **other == self.servers.len())
                .for_each(|other| *other = position);
        }
        true
    }

    /// Returns the ids of all servers.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.servers.iter().map(|server| &server.info.id)
    }

    /// Returns the server with the given id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.positions.get(id).and_then(|position| self.servers.get(*position))
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.positions.get(id).and_then(|position| self.servers.get_mut(*position))
    }

    /// Returns the servers of a service.
    pub fn servers_of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Server> {
        let positions = self.services.get(service).into_iter().flatten();
        positions.filter_map(|position| self.servers.get(*position))
    }

    /// Records that a server's directory entry expired in an outage of the store.
    pub fn mark_expired(&mut self, id: &str, now: MonotonicTime) {
        if let Some(server) = self.get_mut(id) {
            server.expired_at.get_or_insert(now);
        }
    }

    /// Records that the address of a server belongs to another one. This holds until its entry
    /// is written again.
    pub fn mark_displaced(&mut self, id: &str) {
        if let Some(server) = self.get_mut(id) {
            server.displaced = true;
        }
    }

    /// Records that an incarnation of a server said that it shuts down; returns whether this is
    /// news.
    pub fn announce_leaving(&mut self, id: &Name, started_at_ms: u64) -> bool {
        if self.leavers.get(id) == Some(&started_at_ms) {
            return false;
        }
        self.remember_leaver(id, started_at_ms);
        if let Some(server) = self.get_mut(id)
            && server.info.started_at_ms == started_at_ms
        {
            server.said_leaving = true;
        }
        true
    }

    /// Returns the servers that said that they shut down, although their entries don't.
    pub fn unlisted_leavers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.said_leaving && !server.info.leaving)
    }

    fn remember_leaver(&mut self, id: &Name, started_at_ms: u64) {
        if self.leavers.len() >= MAX_LEAVERS {
            let positions = &self.positions;
            self.leavers.retain(|id, _| positions.contains_key(id));
        }
        self.leavers.insert(id.clone(), started_at_ms);
    }

    /// Records that a server wants no requests from this instance for some time. A shorter time
    /// than the known one changes nothing.
    pub fn pause(&mut self, id: &str, time: Duration, now: MonotonicTime) {
        if let Some(server) = self.get_mut(id) {
            let until = now + time.min(MAX_PAUSE);
            server.paused_until = server.paused_until.max(Some(until));
        }
    }

    /// Records a request sent to a server with the prompt tokens it must process.
    pub fn request_sent(&mut self, id: &str, prefill_tokens: f64) {
        if let Some(server) = self.get_mut(id) {
            server.in_flight += 1;
            server.prefill_tokens += prefill_tokens;
        }
    }

    /// Records that a request's prompt was processed, or no longer needs to be.
    pub fn prefill_done(&mut self, id: &str, prefill_tokens: f64) {
        if let Some(server) = self.get_mut(id) {
            server.prefill_tokens = (server.prefill_tokens - prefill_tokens).max(0.0);
        }
    }

    /// Returns this instance's load on each server that has any.
    pub fn own_loads(&self) -> Vec<(Name, ServerLoad)> {
        let busy = self.servers.iter().filter(|server| server.in_flight > 0);
        let load = |server: &Server| ServerLoad {
            in_flight: server.in_flight,
            prefill_tokens: server.prefill_tokens,
        };
        busy.map(|server| (server.info.id.clone(), load(server))).collect()
    }

    /// Records the loads that a peer reports for its servers.
    pub fn set_peer_loads(
        &mut self,
        peer: &Name,
        load: Vec<(Name, ServerLoad)>,
        now: MonotonicTime,
    ) {
        self.reported_loads.insert(peer.clone(), (now, load));
        self.reported_loads.retain(|_, (at, _)| now.saturating_sub(*at) < PEER_LOAD_TTL);
        for server in &mut self.servers {
            server.peer_load = ServerLoad::default();
        }
        for (id, load) in self.reported_loads.values().flat_map(|(_, load)| load) {
            let position = self.positions.get(id).copied();
            if let Some(server) = position.and_then(|position| self.servers.get_mut(position)) {
                server.peer_load.in_flight += load.in_flight;
                server.peer_load.prefill_tokens += load.prefill_tokens;
            }
        }
    }

    /// Whether a peer reported its loads lately.
    pub fn has_recent_reports(&self, now: MonotonicTime) -> bool {
        let is_recent = |(at, _): &ReportedLoads| now.saturating_sub(*at) < PEER_LOAD_TTL;
        self.reported_loads.values().any(is_recent)
    }

    /// Records a server's load report.
    pub fn set_report(&mut self, id: &str, report: LoadReport, now: MonotonicTime) {
        if let Some(server) = self.get_mut(id) {
            server.report = Some((report, now, server.in_flight));
        }
    }

    /// Records what an answer says about the rate that its server takes. Returns whether the
    /// limit changed.
    pub fn set_rate_limit(
        &mut self,
        id: &str,
        notice: RateNotice,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        self.get_mut(id).is_some_and(|server| server.rate_limit.observe(notice, sent_at, now))
    }

    /// Merges what another instance knows about a server's rate. Returns whether the limit
    /// changed. What is told of a server before its entry is read holds once it is.
    pub fn merge_rate_limit(&mut self, id: &Name, rate: Option<f64>, as_of: MonotonicTime) -> bool {
        if let Some(server) = self.get_mut(id) {
            return server.rate_limit.merge(rate, as_of);
        }
        if self.early_limits.len() < MAX_EARLY_LIMITS {
            self.early_limits.entry(id.clone()).or_default().merge(rate, as_of);
        }
        false
    }

    /// Records that permits for requests of this priority and lower ones are denied.
    pub fn deny_permits(&mut self, id: &str, priority: u8, until: MonotonicTime) {
        if let Some(server) = self.get_mut(id) {
            server.denied_until[priority_class(priority)..].fill(until);
        }
    }

    /// Records that permits for the servers of a failure domain are denied.
    pub fn deny_domain_permits(&mut self, domain: &str, until: MonotonicTime) {
        for server in self.servers.iter_mut().filter(|server| *server.info.domain == *domain) {
            for denied_until in &mut server.denied_until {
                *denied_until = (*denied_until).max(until);
            }
        }
    }

    /// Records whether a server of a service says that it is brittle. Returns whether this is
    /// news, as [`Brittleness::record`] does.
    pub fn record_brittleness(
        &mut self,
        service: &Name,
        server: &Name,
        notice: BrittleNotice,
    ) -> bool {
        let is_news = self.brittleness.record(service, server, notice);
        if is_news {
            self.apply_brittleness(service);
        }
        is_news
    }

    /// Forgets what was said about brittle servers and not confirmed for long.
    pub fn expire_brittleness(&mut self, now: MonotonicTime) {
        for service in self.brittleness.expire(now) {
            self.apply_brittleness(&service);
        }
    }

    fn apply_brittleness(&mut self, service: &str) {
        for position in self.services.get(service).into_iter().flatten() {
            if let Some(server) = self.servers.get_mut(*position) {
                server.max_rejections = self.brittleness.max_rejections(service, &server.info.id);
            }
        }
    }

    /// What is known of the services that have brittle servers.
    pub fn brittleness(&self) -> &Brittleness {
        &self.brittleness
    }

    /// Returns the servers that are brittle.
    pub fn brittle_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.is_brittle())
    }

    /// Returns the servers that limit the rate of their requests.
    pub fn limited_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.rate_limit.rate.is_some())
    }

    /// Records how a request to a server ended. Returns whether it is news that the server is
    /// cold, as it was unreachable.
    pub fn request_ended(&mut self, id: &str, outcome: Outcome, now: MonotonicTime) -> bool {
        let Some(server) = self.get_mut(id) else { return false };
        let was_unreachable = server.unreachable_since.is_some();
        server.record_outcome(outcome, now);
        was_unreachable && server.unreachable_since.is_none() && self.presume_cold(id, now)
    }

    /// Returns the addresses of other servers that show whether the link to a server works:
    /// those in its failure domain or, if it is alone there, any.
    pub fn witnesses(&self, server: &Server, count: usize, draw: f64) -> Vec<SocketAddr> {
        let others = || self.servers.iter().filter(|other| other.info.id != server.info.id);
        let near: Vec<&Server> =
            others().filter(|other| other.info.domain == server.info.domain).collect();
        let mut eligible = if near.is_empty() { others().collect() } else { near };
        let seed = draw.to_bits();
        // Servers that were reached lately come first.
        eligible
            .sort_by_key(|other| (other.unreachable_since.is_some(), mix(other.id_hash ^ seed)));
        eligible.iter().take(count).map(|other| other.info.addr).collect()
    }

    /// Records that no connection to a server can be established.
    pub fn mark_unreachable(&mut self, id: &str, now: MonotonicTime) {
        if let Some(server) = self.get_mut(id) {
            server.unreachable_since.get_or_insert(now);
        }
    }

    /// Records that a connection to a server was established. Returns whether it is news that the
    /// server is cold, as it was unreachable.
    pub fn mark_reachable(&mut self, id: &str, now: MonotonicTime) -> bool {
        let since = self.get_mut(id).and_then(|server| server.unreachable_since.take());
        since.is_some() && self.presume_cold(id, now)
    }

    /// Returns the servers that count as reachable without a recent answer, with their addresses.
    pub fn unproven_servers(&self, now: MonotonicTime) -> Vec<(Name, SocketAddr)> {
        let is_unproven = |server: &&Server| {
            let answered = server.report.map(|(_, at, _)| at);
            !server.is_leaving()
                && server.unreachable_since.is_none()
                && answered.is_none_or(|at| now.saturating_sub(at) >= PROVEN_TIME)
        };
        let unproven = self.servers.iter().filter(is_unproven);
        unproven.map(|server| (server.info.id.clone(), server.info.addr)).collect()
    }

    /// Returns how many servers of a service can be reached. Those of evacuated failure domains
    /// don't count: no instance sends requests to them, so handing over gains nothing.
    pub fn reach(&self, service: &str) -> Reach {
        let mut reach = Reach::default();
        let is_used =
            |server: &&Server| !server.is_leaving() && !self.is_evacuated(&server.info.domain);
        for server in self.servers_of(service).filter(is_used) {
            reach.listed += 1;
            reach.reached += usize::from(server.unreachable_since.is_none());
        }
        reach
    }

    /// Records that a server's cache now holds a prompt part.
    pub fn mark_cached(&mut self, server: &str, part: PromptPartKey, now: MonotonicTime) {
        if let Some(server) = self.get_mut(server) {
            server.cache(part, now);
        }
    }
}
