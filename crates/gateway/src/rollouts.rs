//! Tracks rollouts in progress and carries them to completion or rollback.

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::{
    AnswerTimes, Decision, Exposure, LoadTest, MonotonicTime, PaceClass, PaceComparison, Phase,
    Rollout, RolloutAnswer, RolloutOrder, RolloutState, RolloutStats, RouteDetails, RouteStats,
    RouteTime, Side, TestRequest, TestServer, find_regression, pooled_evidence, test_server,
};
use members::Role;
use serde_json::json;

use crate::event_log::log_event;
use crate::gateway::Gateway;
use crate::peers::Peers;
use crate::revision::{era, number};

/// Interval at which rollouts in progress are evaluated.
const DECIDE_INTERVAL: Duration = Duration::from_millis(200);
/// Additional delay of each further hub in the order before it writes itself, in case
/// the preceding one does not.
const WRITE_STAGGER: Duration = Duration::from_millis(900);
/// Additional delay of each further hub before it reads the stored states.
const READ_STAGGER: Duration = Duration::from_millis(400);
/// How long an instance that is not a hub waits before it reads the stored states.
const STATES_PATIENCE: Duration = Duration::from_secs(3);
/// How long after its start an instance asks others for the states.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Name of the task of reading the states of all rollouts.
const ROLLOUT_TASK: &str = "rollouts";
/// How long a peer's count of requests in flight on the old version is valid. Its
/// answer counts remain valid.
const PEER_STATS_TTL: Duration = Duration::from_secs(3);

/// Maximum number of routes whose answers are counted apart.
const MAX_ROUTES: usize = 64;

/// Number of timed answers of the old version from which on the pace is compared at like load
/// only.
const MIN_REFERENCE_ANSWERS: u32 = 20;
/// Number of answers of the new version on a route below which requests of the route are in the
/// canary during a load test.
const MIN_ROUTE_ANSWERS: u32 = 8;
/// Evidence of a crash against a new version, which is counted for no route.
const CRASH_EVIDENCE: f64 = 1.0;

/// What an answer is counted by.
#[derive(Debug, Clone)]
pub(crate) struct AnswerOrigin {
    pub service: Name,
    pub route: Name,
    pub version: Name,
    pub server: Name,
    /// Running requests on the server as a fraction of its slots.
    pub running: f64,
    /// The same with waiting requests.
    pub load: f64,
}

/// A request whose version is to be chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RolloutRequest<'a> {
    pub service: &'a Name,
    pub route: &'a Name,
    pub session: Option<u64>,
    /// Time that a server takes to process its prompt, in ms.
    pub prompt_ms: f64,
}

/// The version that a request goes to.
#[derive(Debug, Clone)]
pub(crate) struct RolloutChoice {
    pub side: Side,
    /// The new version.
    pub to: Name,
    /// Versions that earlier orders introduced and that were rolled back.
    pub rolled_back: Vec<Name>,
    /// A server of the new version that it goes to instead if it can, to load that server.
    pub test_server: Option<Name>,
}

/// Other instances and domains that may have requests in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Coverage {
    /// Number of other instances of this domain that are alive.
    pub instances: usize,
    /// Number of other domains.
    pub domains: usize,
}

impl Coverage {
    /// Whether counts of this many instances and domains are complete.
    fn includes_all(&self, (instances, domains): (usize, usize)) -> bool {
        instances >= self.instances && domains >= self.domains
    }
}

/// Result of storing a rollout's final state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalStateResult {
    /// This final state is stored, written by this instance or by another.
    Stored(RolloutState),
    /// The result is unknown; the caller must try again.
    Unknown,
}

/// Durable storage of rollout states.
pub trait RolloutStore {
    /// Reads the stored states of all rollouts; `None` if the store does not answer.
    fn read_states(&self) -> impl Future<Output = Option<Vec<StoredRollout>>>;

    /// Stores that an order of this age is in progress; returns whether this
    /// succeeded.
    fn store_start(&self, order: &RolloutOrder, age: Duration) -> impl Future<Output = bool>;

    /// Stores the final state of a rollout unless it has another one already.
    fn store_final_state(
        &self,
        order: &RolloutOrder,
        state: RolloutState,
    ) -> impl Future<Output = FinalStateResult>;
}

/// State of a rollout as stored.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRollout {
    /// The service.
    pub service: Name,
    /// The new version.
    pub to: Name,
    /// The state.
    pub state: RolloutState,
    /// Time since the order was issued, if it is stored.
    pub age: Option<Duration>,
}

/// Where statistics of other instances come from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum StatsSource {
    /// A process, by its address and incarnation.
    Instance(SocketAddr, u64),
    /// All instances of another failure domain.
    Domain(Name),
}

/// A rollout with the statistics and progress known to this instance.
#[derive(Debug)]
pub(crate) struct TrackedRollout {
    pub rollout: Rollout,
    pub own_stats: RolloutStats,
    /// Statistics reported by other instances and the time of the report.
    pub peer_stats: HashMap<StatsSource, (RolloutStats, MonotonicTime)>,
    /// Answers by route.
    pub own_routes: HashMap<Name, RouteStats>,
    /// The same of other instances.
    pub peer_routes: HashMap<StatsSource, Vec<(Name, RouteStats)>>,
    /// The details of the answers of other instances.
    pub peer_details: HashMap<StatsSource, Vec<(Name, RouteDetails)>>,
    /// Versions that earlier orders introduced and that were rolled back.
    pub rolled_back: Vec<Name>,
    /// Requests of the service that this instance sent.
    pub exposure: Exposure,
    /// Times of the answers of the old version by route.
    pub route_times: HashMap<Name, RouteTime>,
    /// The part of the load test in which the new version got all requests that it may get.
    pub test_ended: Cell<Option<LoadTest>>,
    /// Whether it is known what the store holds of the order.
    pub status_known: bool,
    /// When this instance learned of the order.
    pub learned_at: MonotonicTime,
    /// Whether the final state is stored.
    pub final_state_stored: bool,
    /// Whether the start of the order is stored.
    pub start_stored: bool,
    /// Servers whose crash was counted.
    pub crashed: HashSet<Name>,
    /// When this instance first considered writing the decided final state.
    pub decided_at: Option<MonotonicTime>,
}

impl TrackedRollout {
    fn side_of(&self, version: &Name) -> Side {
        if *version == self.rollout.order.to { Side::New } else { Side::Old }
    }

    /// Returns the statistics of the instances of this failure domain.
    pub fn domain_stats(&self, now: MonotonicTime) -> RolloutStats {
        let near = |source: &StatsSource| matches!(source, StatsSource::Instance(..));
        self.sum_stats(near, now)
    }

    /// Returns the combined statistics of all instances.
    pub fn stats(&self, now: MonotonicTime) -> RolloutStats {
        self.sum_stats(|_| true, now)
    }

    /// Returns the answers by route of the instances whose statistics are included.
    pub fn sum_routes(&self, include: impl Fn(&StatsSource) -> bool) -> HashMap<Name, RouteStats> {
        let mut sums = self.own_routes.clone();
        for (_, routes) in self.peer_routes.iter().filter(|(source, _)| include(source)) {
            for (route, stats) in routes {
                sums.entry(route.clone()).or_default().add(stats);
            }
        }
        for (_, routes) in self.peer_details.iter().filter(|(source, _)| include(source)) {
            for (route, details) in routes {
                sums.entry(route.clone()).or_default().details.add(details);
            }
        }
        sums
    }

    /// Returns the answers of a route of this instance, unless there are too many routes.
    fn route_mut(&mut self, route: &Name) -> Option<&mut RouteStats> {
        entry_of_route(&mut self.own_routes, route)
    }

    /// Returns the number of answers of the new version on a route.
    fn new_answers(&self, route: &Name) -> u32 {
        let own = self.own_routes.get(route).map_or(0, |stats| stats.new.answers);
        let peers = self.peer_routes.values().flatten().filter(|(name, _)| name == route);
        own + peers.map(|(_, stats)| stats.new.answers).sum::<u32>()
    }

    fn sum_stats(
        &self,
        include: impl Fn(&StatsSource) -> bool,
        now: MonotonicTime,
    ) -> RolloutStats {
        let mut sum = self.own_stats;
        for (_, (stats, at)) in self.peer_stats.iter().filter(|(source, _)| include(source)) {
            let mut stats = *stats;
            if now.saturating_sub(*at) > PEER_STATS_TTL {
                stats.old_in_flight = 0;
            }
            sum.add(&stats);
        }
        sum
    }

    /// Returns the number of instances of this domain and of other domains whose
    /// statistics are recent.
    fn recent_sources(&self, now: MonotonicTime) -> (usize, usize) {
        let recent = |at: MonotonicTime| now.saturating_sub(at) <= PEER_STATS_TTL;
        let sources = self.peer_stats.iter().filter(|(_, (_, at))| recent(*at));
        let (near, far): (Vec<_>, Vec<_>) =
            sources.partition(|(source, _)| matches!(source, StatsSource::Instance(..)));
        (near.len(), far.len())
    }
}

/// Evaluates rollouts in progress and stores their final states until the process
/// ends.
///
/// Only hubs decide, and read and write the store; the other instances learn the states
/// from them.
pub async fn run_rollouts<D, S: RolloutStore>(gateway: Rc<Gateway<D>>, peers: Rc<Peers>, store: S) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(DECIDE_INTERVAL) => {}
            () = gateway.rollout_changed.notified() => {}
        }
        learn_states(&gateway, &peers, &store).await;
        let now = gateway.now();
        let Role::Hub(position) = peers.role(ROLLOUT_TASK, now) else { continue };
        for (order, age) in gateway.unstored_rollouts() {
            if age >= write_delay(position) && store.store_start(&order, age).await {
                gateway.update_rollout(&order.service, order.revision, |tracked| {
                    tracked.start_stored = true
                });
            }
        }
        for (order, state) in gateway.decided_rollouts(&peers.coverage(now)) {
            if state == RolloutState::RolledBack {
                // This instance stops using the new version at once, whichever instance
                // writes the state and whatever the store answers.
                gateway.set_rollout_state(&order.service, &order.to, state, false);
            }
            if !gateway.is_writer(&order, position) {
                continue;
            }
            // A newer order may have replaced this one meanwhile.
            if let FinalStateResult::Stored(state) = store.store_final_state(&order, state).await
                && gateway.rollout_revision(&order.service) == Some(order.revision)
            {
                gateway.set_rollout_state(&order.service, &order.to, state, true);
            }
        }
    }
}

/// Learns what the store holds of the rollouts.
///
/// Of a new order, hubs tell the others. An instance that starts during a rollout asks
/// others and, if none knows, the store: its callers are waiting.
async fn learn_states<D, S: RolloutStore>(gateway: &Gateway<D>, peers: &Peers, store: &S) {
    let Some(known_for) = gateway.longest_unknown_rollout() else { return };
    let now = gateway.now();
    let is_starting = now < STARTUP_TIME && !peers.first_start;
    if is_starting && peers.fetch_state(gateway).await && gateway.rollout_states_known() {
        return;
    }
    let patience = match peers.role(ROLLOUT_TASK, now) {
        _ if is_starting => Duration::ZERO,
        Role::Hub(position) => READ_STAGGER * position as u32,
        Role::Member(position) => STATES_PATIENCE + READ_STAGGER * position as u32,
    };
    if known_for >= patience
        && let Some(stored) = store.read_states().await
    {
        gateway.apply_stored_rollouts(stored);
    }
}

/// Returns how long the hub at this position waits for the preceding ones to write.
fn write_delay(position: usize) -> Duration {
    WRITE_STAGGER * u32::try_from(position).unwrap_or(u32::MAX)
}

impl<D> Gateway<D> {
    /// Returns for how long the first order has been known of which it is not known what
    /// the store holds.
    fn longest_unknown_rollout(&self) -> Option<Duration> {
        let rollouts = self.rollouts.borrow();
        let unknown = rollouts.values().filter(|tracked| !tracked.status_known);
        let first = unknown.map(|tracked| tracked.learned_at).min()?;
        Some(self.now().saturating_sub(first))
    }

    /// Applies what the store holds of all rollouts.
    fn apply_stored_rollouts(&self, stored: Vec<StoredRollout>) {
        for StoredRollout { service, to, state, age } in stored {
            if let Some(age) = age {
                self.set_rollout_age(&service, &to, age);
            }
            self.set_rollout_state(&service, &to, state, true);
        }
        self.rollouts.borrow_mut().values_mut().for_each(|tracked| tracked.status_known = true);
    }

    /// Returns the orders of which neither the start nor the final state is stored, with
    /// their ages.
    fn unstored_rollouts(&self) -> Vec<(RolloutOrder, Duration)> {
        let rollouts = self.rollouts.borrow();
        let unstored = rollouts
            .values()
            .filter(|tracked| tracked.status_known)
            .filter(|tracked| !tracked.start_stored && !tracked.final_state_stored);
        unstored
            .map(|tracked| (tracked.rollout.order.clone(), tracked.rollout.age(self.now())))
            .collect()
    }

    /// Changes what is tracked of an order, unless a newer order has replaced it.
    pub(crate) fn update_rollout(
        &self,
        service: &str,
        revision: u64,
        change: impl FnOnce(&mut TrackedRollout),
    ) {
        if let Some(tracked) = self.rollouts.borrow_mut().get_mut(service)
            && tracked.rollout.order.revision == revision
        {
            change(tracked);
        }
    }

    /// Returns the rollouts whose final state has been decided but not stored, and logs
    /// each decision.
    ///
    /// While instances are missing in the counts, an order completes only once it is
    /// overdue: they may have requests in flight on the old version.
    fn decided_rollouts(&self, coverage: &Coverage) -> Vec<(RolloutOrder, RolloutState)> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let mut due = Vec::new();
        let undecided = rollouts.values().filter(|tracked| !tracked.final_state_stored);
        for tracked in undecided.filter(|tracked| tracked.status_known) {
            let order = &tracked.rollout.order;
            let mut stats = tracked.stats(now);
            stats.old_in_flight += self.old_in_flight(&order.service, &order.to);
            let routes = tracked.sum_routes(|_| true);
            let servers = self.servers_of_new_version(order);
            let sum = RouteStats::sum(routes.values());
            add_evidence(&mut stats, &routes, &sum, servers);
            let regression = find_regression(&routes, servers);
            let decision = match &regression {
                Some(_) if tracked.rollout.state == RolloutState::InProgress => Decision::RollBack,
                _ => tracked.rollout.decide(&stats, now),
            };
            let state = match (tracked.rollout.state, decision) {
                (RolloutState::RolledBack, _) | (_, Decision::RollBack) => RolloutState::RolledBack,
                (RolloutState::Completed, _) => RolloutState::Completed,
                (_, Decision::Complete)
                    if !coverage.includes_all(tracked.recent_sources(now))
                        && tracked.rollout.phase(now) != Phase::Overdue =>
                {
                    continue;
                }
                (_, Decision::Complete) => RolloutState::Completed,
                (RolloutState::InProgress, Decision::Wait) => continue,
            };
            let fields = json!({
                "service": &*order.service,
                "to": &*order.to,
                "state": format!("{state:?}"),
                "old": format!("{:?}", stats.old),
                "new": format!("{:?}", stats.new),
                "old_open": stats.old_in_flight,
                "pace": stats.like_pace.map(|pace| format!("{pace:?}")),
                "regression": regression.map(|regression| format!("{regression:?}")),
                "answers_by_load": answers_by_load(&sum),
            });
            log_event("rollout_decided", now, fields);
            due.push((order.clone(), state));
        }
        due
    }

    /// Returns the number of servers of the new version.
    fn servers_of_new_version(&self, order: &RolloutOrder) -> usize {
        let fleet = self.fleet.borrow();
        let servers = fleet.servers_of(&order.service);
        servers.filter(|server| server.info.version == order.to).count()
    }

    /// Whether this instance must write the final state now: its delay by position has
    /// passed since the first call for this order.
    fn is_writer(&self, order: &RolloutOrder, position: usize) -> bool {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(tracked) = rollouts.get_mut(&order.service) else { return false };
        let now = self.now();
        let decided_at = *tracked.decided_at.get_or_insert(now);
        now.saturating_sub(decided_at) >= write_delay(position)
    }

    /// Starts the rollout of an order, unless a newer one is known.
    pub fn start_rollout(&self, order: RolloutOrder) {
        let mut rollouts = self.rollouts.borrow_mut();
        let mut rolled_back = Vec::new();
        if let Some(tracked) = rollouts.get_mut(&order.service) {
            let known = &mut tracked.rollout.order;
            if known.revision >= order.revision {
                return;
            }
            if era(order.revision) > era(known.revision) {
                if known.to == order.to {
                    // The known order, written or read again. What was stored of it may be lost.
                    known.revision = order.revision;
                    tracked.start_stored = false;
                    tracked.final_state_stored = false;
                    tracked.decided_at = None;
                    return;
                }
                // The order before the known one.
                if number(order.revision) < number(known.revision) {
                    return;
                }
            }
            rolled_back.append(&mut tracked.rolled_back);
            if tracked.rollout.state == RolloutState::RolledBack {
                rolled_back.push(tracked.rollout.order.to.clone());
            }
            rolled_back.retain(|version| *version != order.to);
        }
        let fields = json!({
            "service": &*order.service,
            "to": &*order.to,
            "duration_ms": order.duration.as_millis() as u64,
            "revision": order.revision,
        });
        log_event("rollout_ordered", self.now(), fields);
        let service = order.service.clone();
        self.sessions.borrow_mut().set_sharing(true, self.now());
        self.sessions_changed.notify_one();
        let tracked = TrackedRollout {
            rollout: Rollout::new(order),
            own_stats: RolloutStats::default(),
            peer_stats: HashMap::new(),
            own_routes: HashMap::new(),
            peer_routes: HashMap::new(),
            peer_details: HashMap::new(),
            rolled_back,
            exposure: Exposure::default(),
            route_times: HashMap::new(),
            test_ended: Cell::new(None),
            status_known: false,
            learned_at: self.now(),
            final_state_stored: false,
            start_stored: false,
            crashed: HashSet::new(),
            decided_at: None,
        };
        rollouts.insert(service, tracked);
        self.rollout_changed.notify_one();
    }

    /// Whether it is known of all orders what the store holds of them.
    pub(crate) fn rollout_states_known(&self) -> bool {
        self.rollouts.borrow().values().all(|tracked| tracked.status_known)
    }

    /// Returns the revision of the newest order for a service.
    pub(crate) fn rollout_revision(&self, service: &str) -> Option<u64> {
        self.rollouts.borrow().get(service).map(|tracked| tracked.rollout.order.revision)
    }

    /// Applies the state of an order as reported by the store or a peer, or as decided
    /// here; `stored` if the store holds it.
    ///
    /// The stored final state replaces one that was only decided: another instance, or an earlier
    /// write whose answer was lost, may have stored a different one.
    pub fn set_rollout_state(&self, service: &str, to: &str, state: RolloutState, stored: bool) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(tracked) = rollouts.get_mut(service) else { return };
        let rollout = &mut tracked.rollout;
        if *rollout.order.to != *to {
            return;
        }
        if state == RolloutState::InProgress {
            tracked.start_stored |= stored;
            return;
        }
        let is_confirmed = stored && !tracked.final_state_stored;
        if rollout.state == RolloutState::InProgress || is_confirmed && rollout.state != state {
            let fields = json!({
                "service": service,
                "to": to,
                "state": format!("{state:?}"),
                "before": format!("{:?}", rollout.state),
                "stored": stored,
            });
            log_event("rollout_settled", self.now(), fields);
            rollout.state = state;
            self.sessions.borrow_mut().set_sharing(false, self.now());
        }
        tracked.final_state_stored |= is_confirmed;
    }

    /// Applies the age of an order, as reported by a peer or the store, if it is greater
    /// than the known one. This way, instances that start later follow the same
    /// schedule.
    pub fn set_rollout_age(&self, service: &str, to: &str, age: Duration) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(tracked) = rollouts.get_mut(service) else { return };
        let order = &mut tracked.rollout.order;
        let started_at = self.now().checked_sub(age).unwrap_or_default();
        let before_start = age.saturating_sub(self.now());
        if *order.to == *to && (started_at < order.started_at || before_start > order.before_start)
        {
            order.started_at = started_at;
            order.before_start = before_start;
        }
    }

    /// Returns the version that a request goes to; `None` if the service has no rollout.
    pub(crate) fn rollout_choice(&self, request: &RolloutRequest) -> Option<RolloutChoice> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let tracked = rollouts.get(request.service)?;
        let rollout = &tracked.rollout;
        let side = match request.session {
            Some(session) => {
                let sessions = self.sessions.borrow();
                rollout.side(policy::hash_unit(session), sessions.version(session, now), now)
            }
            None => {
                let draw = self.random();
                let side = rollout.side_without_session(draw, now);
                // The load test may be over before the first request of a route arrives.
                let is_unproven = side == Side::Old
                    && rollout.state == RolloutState::InProgress
                    && tracked.new_answers(request.route) < MIN_ROUTE_ANSWERS;
                if is_unproven { rollout.side(draw, None, now) } else { side }
            }
        };
        let test_server = self.choose_test_server(tracked, request, side);
        let rolled_back = tracked.rolled_back.clone();
        Some(RolloutChoice { side, to: rollout.order.to.clone(), rolled_back, test_server })
    }

    /// Returns the server of the new version that is loaded, if the request is to go to it.
    fn choose_test_server(
        &self,
        tracked: &TrackedRollout,
        request: &RolloutRequest,
        side: Side,
    ) -> Option<Name> {
        let now = self.now();
        let part = tracked.rollout.load_test(now);
        let may_move = match part {
            LoadTest::Off => return None,
            LoadTest::WithoutSession => request.session.is_none(),
            LoadTest::All => true,
            LoadTest::NewVersion => false,
        };
        if side == Side::Old && !may_move {
            return None;
        }
        let fleet = self.fleet.borrow();
        let server = test_server(&fleet, request.service, &tracked.rollout.order.to, now)?;
        let test_server = TestServer {
            slots: f64::from(server.info.slots),
            load: server.load(now),
            in_flight: f64::from(server.in_flight),
            instances: self.members() as f64,
        };
        let service_time = RouteTime::sum(tracked.route_times.values());
        if !test_server.has_room(&service_time) {
            return None;
        }
        let route_time = tracked.route_times.get(request.route).copied().unwrap_or_default();
        let test_request = TestRequest { route_time, service_time, prompt_ms: request.prompt_ms };
        let age_s = tracked.rollout.age(now).as_secs_f64();
        let share = match side {
            Side::Old if !self.may_expose_more(tracked, part) => return None,
            Side::Old => test_server.share(&test_request, age_s),
            Side::New => test_server.suitable_share(&test_request, age_s),
        };
        (self.random() < share).then(|| server.info.id.clone())
    }

    /// Whether the new version may get further requests that the old one would get. If not, it
    /// gets none until the next part of the test: few at a time would not load its server.
    fn may_expose_more(&self, tracked: &TrackedRollout, part: LoadTest) -> bool {
        if tracked.test_ended.get() == Some(part) {
            return false;
        }
        let limit = &self.settings.exposure_limit;
        let progress = tracked.rollout.progress(self.now());
        let is_allowed = tracked.exposure.allows_test(limit, progress, self.members());
        if !is_allowed {
            tracked.test_ended.set(Some(part));
        }
        is_allowed
    }

    /// Returns the versions of whose servers one gets requests of any session, so that their
    /// versions don't follow from the age of the order.
    pub(crate) fn versions_in_load_test(&self) -> Vec<Name> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let in_test = rollouts.values().map(|tracked| &tracked.rollout);
        let in_test = in_test.filter(|rollout| rollout.load_test(now) == LoadTest::All);
        in_test.map(|rollout| rollout.order.to.clone()).collect()
    }

    /// Records that a request is sent to a version.
    pub(crate) fn record_exposure(&self, service: &Name, version: &Name) {
        if let Some(tracked) = self.rollouts.borrow_mut().get_mut(service) {
            let is_new = tracked.side_of(version) == Side::New;
            tracked.exposure.record(is_new);
        }
    }

    /// Records an answer for the rollout of its service.
    pub(crate) fn record_rollout_answer(&self, answer: &AnswerOrigin, bad: bool) {
        if let Some(tracked) = self.rollouts.borrow_mut().get_mut(&answer.service) {
            let side = tracked.side_of(&answer.version);
            tracked.own_stats.record_answer(side, bad);
        }
    }

    /// Records an answer for its route in the rollout of its service. A sound one counts when it
    /// begins, as failed ones come at once: otherwise the first answers would all be bad.
    pub(crate) fn record_route_answer(&self, answer: &AnswerOrigin, bad: bool) {
        if let Some(tracked) = self.rollouts.borrow_mut().get_mut(&answer.service) {
            let side = tracked.side_of(&answer.version);
            let Some(stats) = tracked.route_mut(&answer.route) else { return };
            let server_hash = policy::hash_parts(&[answer.server.as_bytes()]);
            stats.record(&RolloutAnswer { side, bad, server_hash, load: answer.running });
            if bad && side == Side::New && tracked.rollout.state == RolloutState::InProgress {
                self.rollout_changed.notify_one();
                self.digest_due.notify_one();
            }
        }
    }

    /// Records that a server crashed, which counts as one bad answer however many requests it
    /// ended.
    pub(crate) fn record_rollout_crash(&self, answer: &AnswerOrigin) {
        if let Some(tracked) = self.rollouts.borrow_mut().get_mut(&answer.service)
            && tracked.crashed.insert(answer.server.clone())
        {
            let side = tracked.side_of(&answer.version);
            tracked.own_stats.record_answer(side, true);
        }
    }

    /// Records the pace of an answer for the rollout of its service, and returns it, if there are
    /// like answers of the old version to compare it with.
    pub(crate) fn record_rollout_pace(
        &self,
        answer: &AnswerOrigin,
        class: &PaceClass,
        times: &AnswerTimes,
    ) -> Option<f64> {
        let mut rollouts = self.rollouts.borrow_mut();
        let tracked = rollouts.get_mut(&answer.service)?;
        if tracked.rollout.state != RolloutState::InProgress {
            return None;
        }
        let pace = self.paces.borrow().ratio(class, times, self.now())?;
        let side = tracked.side_of(&answer.version);
        tracked.own_stats.record_pace(side, pace);
        if let Some(stats) = tracked.route_mut(&answer.route) {
            stats.record_pace(side, answer.load, pace);
        }
        Some(pace)
    }

    /// Records the pace of an answer that has ended, with which those of a new version are
    /// compared, unless its own version is new.
    pub(crate) fn record_reference_pace(
        &self,
        service: &Name,
        version: &Name,
        class: &PaceClass,
        times: &AnswerTimes,
    ) {
        let mut rollouts = self.rollouts.borrow_mut();
        let in_progress = rollouts.get_mut(service);
        let in_progress =
            in_progress.filter(|tracked| tracked.rollout.state == RolloutState::InProgress);
        if let Some(tracked) = in_progress {
            if tracked.side_of(version) == Side::New {
                return;
            }
            if let Some(whole) = times.whole
                && let Some(time) = entry_of_route(&mut tracked.route_times, &class.route)
            {
                time.record(whole);
            }
        }
        self.paces.borrow_mut().record(class, times, self.now());
    }
}

/// Returns what is known of a route, unless there are too many routes.
fn entry_of_route<'a, T: Default>(
    routes: &'a mut HashMap<Name, T>,
    route: &Name,
) -> Option<&'a mut T> {
    let has_room = routes.len() < MAX_ROUTES || routes.contains_key(route);
    has_room.then(|| routes.entry(route.clone()).or_default())
}

/// Adds to the statistics what the answers by route show.
fn add_evidence(
    stats: &mut RolloutStats,
    routes: &HashMap<Name, RouteStats>,
    sum: &RouteStats,
    servers: usize,
) {
    let crashes = stats.new.bad.saturating_sub(sum.new.bad);
    let evidence = pooled_evidence(routes, servers) + CRASH_EVIDENCE * f64::from(crashes);
    stats.failure_evidence = Some(evidence);
    let is_pending = stats.old.timed >= MIN_REFERENCE_ANSWERS;
    let compared = sum.details.pace.compare();
    stats.like_pace = compared.or_else(|| is_pending.then(PaceComparison::default));
}

/// Formats the answers of both versions at each level of load for the log.
fn answers_by_load(sum: &RouteStats) -> String {
    format!("old {:?}, new {:?}", sum.levels(Side::Old), sum.levels(Side::New))
}
