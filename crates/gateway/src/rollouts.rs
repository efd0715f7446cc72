//! Tracks rollouts in progress and carries them to completion or rollback.

use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::{Decision, MonotonicTime, Rollout, RolloutOrder, RolloutState, RolloutStats, Side};
use serde_json::json;

use crate::event_log::log_event;
use crate::gateway::Gateway;
use crate::peers::Peers;

/// Interval at which rollouts in progress are evaluated.
const DECIDE_INTERVAL: Duration = Duration::from_millis(200);
/// Additional delay of each further instance in the order before it writes itself, in
/// case the preceding one does not.
const WRITE_STAGGER: Duration = Duration::from_millis(900);

/// How long a peer's count of requests in flight on the old version is valid. Its
/// answer counts remain valid.
const PEER_STATS_TTL: Duration = Duration::from_secs(3);

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

/// A rollout with the statistics and progress known to this instance.
#[derive(Debug)]
pub(crate) struct TrackedRollout {
    pub rollout: Rollout,
    pub own_stats: RolloutStats,
    /// Statistics reported by each peer and the time of the report.
    pub peer_stats: HashMap<Name, (RolloutStats, MonotonicTime)>,
    /// Whether the final state is stored.
    pub final_state_stored: bool,
    /// Whether the start of the order is stored.
    pub start_stored: bool,
    /// When this instance first considered writing the decided final state.
    pub decided_at: Option<MonotonicTime>,
}

impl TrackedRollout {
    /// Returns the combined statistics of all instances.
    pub fn stats(&self, now: MonotonicTime) -> RolloutStats {
        let mut sum = self.own_stats;
        for (stats, at) in self.peer_stats.values() {
            let mut stats = *stats;
            if now.saturating_sub(*at) > PEER_STATS_TTL {
                stats.old_in_flight = 0;
            }
            sum.add(&stats);
        }
        sum
    }
}

/// Evaluates rollouts in progress and stores their final states until the process
/// ends.
pub async fn run_rollouts<D, S: RolloutStore>(gateway: Rc<Gateway<D>>, peers: Rc<Peers>, store: S) {
    loop {
        tokio::time::sleep(DECIDE_INTERVAL).await;
        for (order, age) in gateway.unstored_rollouts() {
            if age >= write_delay(peers.rank(&order.service))
                && store.store_start(&order, age).await
            {
                gateway.update_rollout(&order.service, order.revision, |tracked| {
                    tracked.start_stored = true
                });
            }
        }
        for (order, state) in gateway.decided_rollouts() {
            if state == RolloutState::RolledBack {
                // This instance stops using the new version at once, whichever instance
                // writes the state and whatever the store answers.
                gateway.set_rollout_state(&order.service, &order.to, state, false);
            }
            if !gateway.is_writer(&order, peers.rank(&order.service)) {
                continue;
            }
            if let FinalStateResult::Stored(state) = store.store_final_state(&order, state).await {
                gateway.set_rollout_state(&order.service, &order.to, state, true);
                gateway.update_rollout(&order.service, order.revision, |tracked| {
                    tracked.final_state_stored = true
                });
            }
        }
    }
}

/// Returns how long an instance of this rank waits for the preceding ones to write.
fn write_delay(rank: usize) -> Duration {
    WRITE_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX)
}

impl<D> Gateway<D> {
    /// Returns the orders of which neither the start nor the final state is stored, with
    /// their ages.
    fn unstored_rollouts(&self) -> Vec<(RolloutOrder, Duration)> {
        let rollouts = self.rollouts.borrow();
        let unstored = rollouts
            .values()
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
    fn decided_rollouts(&self) -> Vec<(RolloutOrder, RolloutState)> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let mut due = Vec::new();
        for tracked in rollouts.values().filter(|tracked| !tracked.final_state_stored) {
            let order = &tracked.rollout.order;
            let mut stats = tracked.stats(now);
            stats.old_in_flight += self.old_in_flight(&order.service, &order.to);
            let state = match (tracked.rollout.state, tracked.rollout.decide(&stats, now)) {
                (RolloutState::RolledBack, _) | (_, Decision::RollBack) => RolloutState::RolledBack,
                (RolloutState::Completed, _) | (_, Decision::Complete) => RolloutState::Completed,
                (RolloutState::InProgress, Decision::Wait) => continue,
            };
            let fields = json!({
                "service": &*order.service,
                "to": &*order.to,
                "state": format!("{state:?}"),
                "old": format!("{:?}", stats.old),
                "new": format!("{:?}", stats.new),
                "old_open": stats.old_in_flight,
            });
            log_event("rollout_decided", now, fields);
            due.push((order.clone(), state));
        }
        due
    }

    /// Whether this instance must write the final state now: its delay by rank has
    /// passed since the first call for this order.
    fn is_writer(&self, order: &RolloutOrder, rank: usize) -> bool {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(tracked) = rollouts.get_mut(&order.service) else { return false };
        let now = self.now();
        let decided_at = *tracked.decided_at.get_or_insert(now);
        now.saturating_sub(decided_at) >= write_delay(rank)
    }

    /// Starts the rollout of an order, unless a newer one is known.
    pub fn start_rollout(&self, order: RolloutOrder) {
        let mut rollouts = self.rollouts.borrow_mut();
        let known = rollouts.get(&order.service).map(|tracked| tracked.rollout.order.revision);
        if known.is_some_and(|revision| revision >= order.revision) {
            return;
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
        let tracked = TrackedRollout {
            rollout: Rollout::new(order),
            own_stats: RolloutStats::default(),
            peer_stats: HashMap::new(),
            final_state_stored: false,
            start_stored: false,
            decided_at: None,
        };
        rollouts.insert(service, tracked);
    }

    /// Returns the revision of the newest order for a service.
    pub(crate) fn rollout_revision(&self, service: &str) -> Option<u64> {
        self.rollouts.borrow().get(service).map(|tracked| tracked.rollout.order.revision)
    }

    /// Applies the state of an order as reported by the store or a peer, or as decided
    /// here; `stored` if the store holds it.
    pub fn set_rollout_state(&self, service: &str, to: &str, state: RolloutState, stored: bool) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(tracked) = rollouts.get_mut(service) else { return };
        if state == RolloutState::InProgress {
            tracked.start_stored |= stored;
            return;
        }
        tracked.final_state_stored |= stored && tracked.rollout.state == state;
        let rollout = &mut tracked.rollout;
        let in_progress = rollout.state == RolloutState::InProgress;
        if *rollout.order.to == *to && in_progress {
            rollout.state = state;
            tracked.final_state_stored = stored;
            self.sessions.borrow_mut().set_sharing(false, self.now());
            let fields = json!({ "service": service, "to": to, "state": format!("{state:?}") });
            log_event("rollout_settled", self.now(), fields);
        }
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

    /// Returns whether a request goes to the old or the new version, and the new
    /// version's name; `None` if the service has no rollout.
    pub(crate) fn rollout_side(
        &self,
        service: &Name,
        session: Option<u64>,
    ) -> Option<(Side, Name)> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let tracked = rollouts.get(service)?;
        let sessions = self.sessions.borrow();
        let last_version = session.and_then(|session| sessions.version(session, now));
        let position = session.map_or_else(|| self.random(), policy::hash_unit);
        let side = tracked.rollout.side(position, last_version, now);
        Some((side, tracked.rollout.order.to.clone()))
    }

    /// Records an answer for the rollout of its service.
    pub(crate) fn record_rollout_answer(
        &self,
        service: &Name,
        version: &Name,
        bad: bool,
        first_byte: Option<Duration>,
    ) {
        if let Some(tracked) = self.rollouts.borrow_mut().get_mut(service) {
            let side = if *version == tracked.rollout.order.to { Side::New } else { Side::Old };
            tracked.own_stats.record_answer(side, bad, first_byte);
        }
    }
}
