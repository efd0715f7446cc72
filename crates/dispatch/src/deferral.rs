//! Deferral: which requests wait at the instance so that more urgent ones don't wait behind them.
//!
//! Designed for bursts of long prompts of low priority beside short urgent ones. An engine
//! processes prompts sequentially, so an urgent request waits for all prompts ahead of it. A
//! request of lower priority is therefore sent only while the prompts ahead of it on the best
//! server take less time than the more urgent routes of the service can spare.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use config::Name;

use crate::MonotonicTime;
use crate::admission::{self, Admission, AdmissionDecision};
use crate::catalog::Catalog;
use crate::fleet::{Fleet, Server};
use crate::place::{PREFILL_TOKENS_PER_MS, Placement};
use crate::rate_limit::{PRIORITY_CLASSES, priority_class};

/// Part of the shortest more urgent target latency that the prompts ahead of a request may take,
/// by class of priority. The highest class is never deferred.
const BACKLOG_FRACTION: [f64; PRIORITY_CLASSES] = [1.0, 0.25, 0.125];
/// Rank of the server whose backlog counts if other instances sent all prompts, as a part of the
/// servers of the failure domain by increasing backlog. With 73 instances, that of the best one
/// alone left short prompts waiting as long as without deferral.
const STALE_RANK: f64 = 0.5;
/// Part of its target latency for which a request waits at most.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// Longest time until the first review of a waiting request; it doubles with each.
const FIRST_REVIEW: Duration = Duration::from_millis(20);
/// Longest time between two reviews. Loads of other instances are 120 ms old, so that more
/// frequent ones would see little that is new.
const MAX_REVIEW: Duration = Duration::from_millis(80);
/// Part of the time until a review by which it is shortened at random: otherwise all instances
/// would send at the same moment.
const REVIEW_JITTER: f64 = 0.4;
/// Part by which the retry delay of a rejection grows with each class below the highest.
const RETRY_GROWTH: f64 = 0.5;
/// Time for which a ranking of servers is used. It visits all servers of the service, and loads of
/// other instances change only every 120 ms.
const RANKING_TTL: Duration = Duration::from_millis(20);
/// Number of places in the queue that any client account may hold.
const MIN_ACCOUNT_PLACES: usize = 2;

/// How long the prompts ahead of a request may take, by service and priority.
#[derive(Debug, Default)]
pub struct BacklogBounds {
    /// For each service the priorities of its routes, most urgent first, with the shortest target
    /// latency of the routes up to that priority.
    services: HashMap<Name, Vec<(u8, Duration)>>,
}

impl BacklogBounds {
    /// Computes the bounds for the services of a configuration that are model engines.
    pub fn new(catalog: &Catalog) -> Self {
        let mut targets: HashMap<Name, BTreeMap<u8, Duration>> = HashMap::new();
        // The target latencies of answers that do not stream include their generation.
        for route in catalog.routes.iter().filter(|route| route.stream) {
            for target in route.targets.iter().filter(|target| target.weight > 0) {
                let service = catalog.services.get(&target.service);
                if service.is_some_and(|service| service.engine.is_some()) {
                    let shortest = targets.entry(target.service.clone()).or_default();
                    let shortest = shortest.entry(route.priority).or_insert(route.target_latency);
                    *shortest = (*shortest).min(route.target_latency);
                }
            }
        }
        let cumulate = |targets: BTreeMap<u8, Duration>| {
            let minimum = |shortest: &mut Duration, (priority, target): (u8, Duration)| {
                *shortest = (*shortest).min(target);
                Some((priority, *shortest))
            };
            targets.into_iter().scan(Duration::MAX, minimum).collect()
        };
        let services = targets.into_iter().map(|(service, targets)| (service, cumulate(targets)));
        BacklogBounds { services: services.collect() }
    }

    /// Returns how long the prompts ahead of a request may take; `None` if it is never deferred,
    /// since no route of its service is both more urgent and of a shorter target latency.
    pub fn get(&self, service: &str, priority: u8, target_latency: Duration) -> Option<Duration> {
        let targets = self.services.get(service)?;
        let more_urgent = targets.partition_point(|(other, _)| *other < priority);
        let (_, shortest) = targets.get(more_urgent.checked_sub(1)?)?;
        let fraction = BACKLOG_FRACTION[priority_class(priority)];
        (*shortest < target_latency).then(|| shortest.mul_f64(fraction))
    }
}

/// A request as far as its deferral is concerned.
#[derive(Debug, Clone, Copy)]
pub struct YieldRequest<'a> {
    /// Service.
    pub service: &'a Name,
    /// Client account.
    pub account: Option<&'a Name>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Target time until the answer begins.
    pub target_latency: Duration,
    /// When it arrived.
    pub arrived: MonotonicTime,
    /// When the caller gives up.
    pub deadline: MonotonicTime,
    /// Size of its headers and body.
    pub bytes: usize,
}

/// The server for a request at this moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerBacklog {
    /// Time that the prompts ahead take.
    pub ahead: Duration,
    /// Estimated time until the answer begins.
    pub estimate: Duration,
    /// Time that the request's own prompt takes.
    pub work: Duration,
    /// Number of servers that the prompts of this instance keep busy, of those that may get the
    /// request; 0 counts as 1.
    pub servers: u32,
}

impl ServerBacklog {
    /// Returns the backlog of the chosen server alone. Without recent reports only the own requests
    /// count.
    fn of(fleet: &Fleet, chosen: &Server, placement: &Placement, now: MonotonicTime) -> Self {
        ServerBacklog {
            ahead: duration(delay(fleet, chosen, now)),
            estimate: duration(placement.estimate_ms),
            work: duration(placement.prefill_tokens / PREFILL_TOKENS_PER_MS),
            servers: 1,
        }
    }
}

/// Returns the prompt tokens that a server has yet to process, as far as is known.
fn tokens(fleet: &Fleet, server: &Server, now: MonotonicTime) -> f64 {
    match fleet.has_recent_reports(now) {
        true => server.prefill_backlog(),
        false => server.prefill_tokens,
    }
}

/// Returns the time that these take, in ms.
fn delay(fleet: &Fleet, server: &Server, now: MonotonicTime) -> f64 {
    tokens(fleet, server, now) * server.slowdown(now) / PREFILL_TOKENS_PER_MS
}

fn duration(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}

/// The backlogs of the servers that a request may be sent to, of one failure domain and version.
#[derive(Debug)]
struct Ranking {
    service: Name,
    domain: Name,
    version: Name,
    at: MonotonicTime,
    /// Backlog of the server at the rank that counts.
    ahead: Duration,
    /// Number of servers.
    count: f64,
    /// Prompt tokens of this instance, and of all.
    own: f64,
    all: f64,
}

impl Ranking {
    /// Ranks the servers like the chosen one.
    ///
    /// Until their next reports arrive, other instances choose the server that seems best as well.
    /// So the more of the prompts they sent, the higher the rank of the server whose backlog
    /// counts if it is longer than that of the chosen one.
    fn new(fleet: &Fleet, chosen: &Server, now: MonotonicTime) -> Self {
        let is_near = |one: &&Server| {
            one.info.domain == chosen.info.domain
                && one.info.version == chosen.info.version
                && !one.is_leaving()
                && !one.presumed_gone(now)
                && !fleet.is_evacuated(&one.info.domain)
                && one.unreachable_since.is_none()
                && one.paused_until(now).is_none()
                && !one.is_cold(now)
        };
        let (mut own, mut all, mut delays) = (0.0, 0.0, Vec::new());
        for server in fleet.servers_of(&chosen.info.service).filter(is_near) {
            own += server.prefill_tokens;
            all += tokens(fleet, server, now);
            delays.push(delay(fleet, server, now));
        }
        let count = delays.len() as f64;
        let rank = (count * STALE_RANK * (1.0 - own / all.max(1.0))) as usize;
        let mut ahead = 0.0;
        if fleet.has_recent_reports(now) && rank < delays.len() {
            ahead = *delays.select_nth_unstable_by(rank, f64::total_cmp).1;
        }
        Ranking {
            service: chosen.info.service.clone(),
            domain: chosen.info.domain.clone(),
            version: chosen.info.version.clone(),
            at: now,
            ahead: duration(ahead),
            count,
            own,
            all,
        }
    }

    fn is_of(&self, chosen: &Server) -> bool {
        self.service == chosen.info.service
            && self.domain == chosen.info.domain
            && self.version == chosen.info.version
    }

    /// Returns the number of servers that the prompts of this instance keep busy. If no prompt is
    /// known, the request's own one is all there is.
    fn own_servers(&self, placement: &Placement) -> u32 {
        let request = placement.prefill_tokens.max(1.0);
        (self.count * (self.own + request) / (self.all + request)) as u32
    }
}

/// Why a request is sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitReason {
    /// The prompts ahead take less than its bound, or it has none.
    Room,
    /// It may not wait any longer.
    WaitOver,
    /// The queue is full and it had the least to lose.
    QueueFull,
}

/// Decision on a request before its first send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum YieldDecision {
    /// It is sent.
    Admit(AdmitReason),
    /// It is reviewed after this time.
    Defer(Duration),
    /// It is rejected; the caller may retry after this delay.
    Reject(Duration),
}

/// Number of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Decision on a request that has arrived.
#[derive(Debug)]
pub struct Arrival {
    /// The decision.
    pub decision: YieldDecision,
    /// Its number if it is deferred.
    pub ticket: Option<Ticket>,
    /// Requests that lose their places to it and must be reviewed now.
    pub displaced: Vec<Ticket>,
}

/// A request that waits.
#[derive(Debug)]
struct Waiting {
    service: Name,
    account: Option<Name>,
    priority: u8,
    deadline: MonotonicTime,
    work: Duration,
    bytes: usize,
    reviews: u32,
}

impl Waiting {
    fn new(request: &YieldRequest, work: Duration) -> Self {
        Waiting {
            service: request.service.clone(),
            account: request.account.cloned(),
            priority: request.priority,
            deadline: request.deadline,
            work,
            bytes: request.bytes,
            reviews: 0,
        }
    }

    /// The request with the lowest value is sent first.
    fn send_order(&self) -> (u8, Duration) {
        (self.priority, self.deadline.saturating_sub(self.work))
    }

    /// The request with the highest value has the least to lose.
    fn loss_order(&self) -> (u8, MonotonicTime, Duration) {
        (self.priority, self.deadline, self.work)
    }
}

/// The requests that wait at an instance.
#[derive(Debug)]
pub struct Yielding {
    bounds: BacklogBounds,
    waiting: BTreeMap<Ticket, Waiting>,
    /// Those younger than `RANKING_TTL`.
    rankings: Vec<Ranking>,
    max_requests: usize,
    max_bytes: usize,
    bytes: usize,
    last_ticket: u64,
}

impl Yielding {
    /// Creates a queue for so many requests of so many bytes together.
    pub fn new(max_requests: usize, max_bytes: usize) -> Self {
        Yielding {
            bounds: BacklogBounds::default(),
            waiting: BTreeMap::new(),
            rankings: Vec::new(),
            max_requests,
            max_bytes,
            bytes: 0,
            last_ticket: 0,
        }
    }

    /// Sets the bounds of the configuration in force.
    pub fn set_bounds(&mut self, bounds: BacklogBounds) {
        self.bounds = bounds;
    }

    /// Whether a request is ever deferred.
    pub fn concerns(&self, request: &YieldRequest) -> bool {
        self.bound(request).is_some()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the size of the waiting requests.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the backlog of the server that a request would be sent to now.
    ///
    /// The servers are ranked only if the chosen one has room, and each ranking is used for
    /// `RANKING_TTL`.
    pub fn backlog(
        &mut self,
        request: &YieldRequest,
        fleet: &Fleet,
        placement: &Placement,
        now: MonotonicTime,
    ) -> Option<ServerBacklog> {
        let chosen = fleet.get(&placement.server)?;
        let mut backlog = ServerBacklog::of(fleet, chosen, placement, now);
        if self.bound(request).is_some_and(|bound| backlog.ahead <= bound) {
            let ranking = self.ranking(fleet, chosen, now);
            backlog.ahead = backlog.ahead.max(ranking.ahead);
            backlog.servers = ranking.own_servers(placement);
        }
        Some(backlog)
    }

    fn ranking(&mut self, fleet: &Fleet, chosen: &Server, now: MonotonicTime) -> &Ranking {
        self.rankings.retain(|one| now.saturating_sub(one.at) < RANKING_TTL);
        let known = self.rankings.iter().position(|one| one.is_of(chosen));
        let index = known.unwrap_or_else(|| {
            self.rankings.push(Ranking::new(fleet, chosen, now));
            self.rankings.len() - 1
        });
        &self.rankings[index]
    }

    /// Decides on a request that has arrived; `draw` is a random number from 0 to 1.
    pub fn arrive(
        &mut self,
        request: &YieldRequest,
        server: ServerBacklog,
        now: MonotonicTime,
        draw: f64,
    ) -> Arrival {
        let newcomer = Waiting::new(request, server.work);
        let ticket = Ticket(self.last_ticket + 1);
        let decision = self.assess(ticket, &newcomer, request, server, now, draw);
        let YieldDecision::Defer(_) = decision else {
            return Arrival { decision, ticket: None, displaced: Vec::new() };
        };
        let displaced = self.make_room(&newcomer);
        let Some(displaced) = displaced else {
            let decision = YieldDecision::Admit(AdmitReason::QueueFull);
            return Arrival { decision, ticket: None, displaced: Vec::new() };
        };
        displaced.iter().for_each(|ticket| self.leave(*ticket));
        self.last_ticket += 1;
        self.bytes += newcomer.bytes;
        self.waiting.insert(ticket, newcomer);
        Arrival { decision, ticket: Some(ticket), displaced }
    }

    /// Decides again on a waiting request. It waits no more unless it is deferred again.
    pub fn review(
        &mut self,
        ticket: Ticket,
        request: &YieldRequest,
        server: ServerBacklog,
        now: MonotonicTime,
        draw: f64,
    ) -> YieldDecision {
        let Some(mut waiting) = self.waiting.remove(&ticket) else {
            // It was displaced.
            let rejection = reject_if_late(request, server, now, draw);
            return rejection.unwrap_or(YieldDecision::Admit(AdmitReason::QueueFull));
        };
        waiting.work = server.work;
        waiting.reviews += 1;
        let decision = self.assess(ticket, &waiting, request, server, now, draw);
        match decision {
            YieldDecision::Defer(_) => {
                self.waiting.insert(ticket, waiting);
            }
            _ => self.bytes -= waiting.bytes,
        }
        decision
    }

    /// Removes a request that waits no more.
    pub fn leave(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            self.bytes -= waiting.bytes;
        }
    }

    fn bound(&self, request: &YieldRequest) -> Option<Duration> {
        self.bounds.get(request.service, request.priority, request.target_latency)
    }

    fn assess(
        &self,
        ticket: Ticket,
        waiting: &Waiting,
        request: &YieldRequest,
        server: ServerBacklog,
        now: MonotonicTime,
        draw: f64,
    ) -> YieldDecision {
        let before = || self.work_before(ticket, waiting) / server.servers.max(1);
        let has_room = |bound| server.ahead <= bound && server.ahead + before() <= bound;
        if self.bound(request).is_none_or(has_room) {
            return YieldDecision::Admit(AdmitReason::Room);
        }
        if let Some(rejection) = reject_if_late(request, server, now, draw) {
            return rejection;
        }
        let wait_end = request.arrived + request.target_latency.mul_f64(MAX_WAIT_FRACTION);
        let time = request.deadline.saturating_sub(request.arrived).min(request.target_latency);
        let begin_by = request.arrived + time.mul_f64(admission::MAX_WAIT_FRACTION);
        let latest = begin_by.saturating_sub(server.estimate).min(wait_end);
        if now >= latest {
            return YieldDecision::Admit(AdmitReason::WaitOver);
        }
        let review = FIRST_REVIEW * 2_u32.pow(waiting.reviews.min(8));
        let review = review.min(MAX_REVIEW).mul_f64(1.0 - REVIEW_JITTER * draw);
        YieldDecision::Defer(review.min(latest - now))
    }

    /// Returns the work of the waiting requests of the service that are to be sent before. They are
    /// at least as urgent, so that their bounds are no lower. A request that follows them need not
    /// wait until they were reviewed, or else the instance would send one for each review.
    fn work_before(&self, ticket: Ticket, request: &Waiting) -> Duration {
        let order = (request.send_order(), ticket);
        let is_before = |(other, waiting): &(&Ticket, &Waiting)| {
            waiting.service == request.service && (waiting.send_order(), **other) < order
        };
        self.waiting.iter().filter(is_before).map(|(_, waiting)| waiting.work).sum()
    }

    /// Returns the requests that lose their places to a new one; `None` if that one has the least
    /// to lose.
    fn make_room(&self, newcomer: &Waiting) -> Option<Vec<Ticket>> {
        let mut places: HashMap<Option<&Name>, usize> = HashMap::new();
        let everyone = self.waiting.values().chain([newcomer]);
        everyone.for_each(|one| *places.entry(one.account.as_ref()).or_default() += 1);
        let share = (self.max_requests / places.len()).max(MIN_ACCOUNT_PLACES);
        let mut displaced = HashSet::new();
        let mut bytes = self.bytes.saturating_add(newcomer.bytes);
        loop {
            let is_full =
                self.waiting.len() - displaced.len() >= self.max_requests || bytes > self.max_bytes;
            let is_over = |account: &Option<Name>| places[&account.as_ref()] > share;
            let own_over = is_over(&newcomer.account);
            if !is_full && !own_over {
                return Some(displaced.into_iter().collect());
            }
            // An account beyond its share gives up its own places: at once if it asks for more,
            // else when the queue is full.
            let may_lose = |one: &Waiting| match own_over {
                true => one.account == newcomer.account,
                false => is_over(&one.account),
            };
            let others = || {
                let left = self.waiting.iter().filter(|(ticket, _)| !displaced.contains(*ticket));
                left.map(|(ticket, one)| (Some(*ticket), one)).chain([(None, newcomer)])
            };
            let by_loss = |one: &(Option<Ticket>, &Waiting)| (one.1.loss_order(), one.0.is_none());
            let least = others().filter(|(_, one)| may_lose(one)).max_by_key(by_loss);
            let (ticket, least) = least.or_else(|| others().max_by_key(by_loss))?;
            displaced.insert(ticket?);
            bytes -= least.bytes;
            if let Some(count) = places.get_mut(&least.account.as_ref()) {
                *count -= 1;
            }
        }
    }
}

/// Rejects a request that can't begin in time, wherever it waits. Callers of lower priority come
/// back later, and none before admission control would let it: the estimate may exceed the
/// backlog, since it includes the request's own prompt and requests in the engine's batch.
fn reject_if_late(
    request: &YieldRequest,
    server: ServerBacklog,
    now: MonotonicTime,
    draw: f64,
) -> Option<YieldDecision> {
    match Admission::decide(server.estimate, now, request.deadline, draw) {
        AdmissionDecision::Admit => None,
        AdmissionDecision::Reject(least) => {
            let growth = 1.0 + RETRY_GROWTH * priority_class(request.priority) as f64;
            let delay = Admission::retry_after(server.ahead, draw).max(least);
            Some(YieldDecision::Reject(delay.mul_f64(growth)))
        }
    }
}
