//! Tracks rollouts in progress and carries them to completion or rollback.

use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::{Decision, Mono, Rollout, RolloutOrder, RolloutState, RolloutStats, Side};
use serde_json::json;

use crate::gateway::Gateway;
use crate::peers::Peers;
use crate::record::record;

/// Interval at which rollouts in progress are evaluated.
const DECIDE_INTERVAL: Duration = Duration::from_millis(200);
/// How long each instance waits for the preceding one to write.
const WRITE_STAGGER: Duration = Duration::from_millis(900);

/// How long a peer's count of requests in flight on the old version is valid.
const PEER_STATS_TTL: Duration = Duration::from_secs(3);

/// Result of writing a rollout's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleResult {
    /// The state is stored, written by this instance or by another.
    Stored(RolloutState),
    /// The result is unknown; try again.
    Unknown,
}

/// Durable storage of rollout states.
pub trait RolloutStore {
    /// Stores that an order of this age is in progress; returns whether it was
    /// stored.
    fn begin(&self, order: &RolloutOrder, age: Duration) -> impl Future<Output = bool>;

    /// Stores the final state of a rollout unless it has another one already.
    fn settle(
        &self,
        order: &RolloutOrder,
        state: RolloutState,
    ) -> impl Future<Output = SettleResult>;
}

/// A rollout with the statistics and progress known to this instance.
#[derive(Debug)]
pub(crate) struct TrackedRollout {
    pub rollout: Rollout,
    pub own: RolloutStats,
    pub peers: HashMap<Name, (RolloutStats, Mono)>,
    pub written: bool,
    pub started: bool,
    pub decided_at: Option<Mono>,
}

impl TrackedRollout {
    /// Returns the combined statistics of all instances.
    pub fn stats(&self, now: Mono) -> RolloutStats {
        let mut sum = self.own;
        for (peer_stats, at) in self.peers.values() {
            let mut peer_stats = *peer_stats;
            if now.saturating_sub(*at) > PEER_STATS_TTL {
                peer_stats.old_in_flight = 0;
            }
            sum.add(&peer_stats);
        }
        sum
    }
}

/// Evaluates rollouts in progress and stores their final states until the process
/// ends.
pub async fn run_rollouts<D, S: RolloutStore>(gateway: Rc<Gateway<D>>, peers: Rc<Peers>, store: S) {
    loop {
        tokio::time::sleep(DECIDE_INTERVAL).await;
        for (order, age) in gateway.unstarted_rollouts() {
            if age >= write_delay(peers.rank(&order.service)) && store.begin(&order, age).await {
                gateway.update_rollout(&order.service, order.revision, |tracked| {
                    tracked.started = true
                });
            }
        }
        for (order, state) in gateway.decided_rollouts() {
            if state == RolloutState::RolledBack {
                // This instance stops using the new version at once, regardless of
                // who writes and of the store's answer.
                gateway.set_rollout_state(&order.service, &order.to, state, false);
            }
            if !gateway.is_writer(&order, peers.rank(&order.service)) {
                continue;
            }
            if let SettleResult::Stored(state) = store.settle(&order, state).await {
                gateway.set_rollout_state(&order.service, &order.to, state, true);
                gateway.update_rollout(&order.service, order.revision, |tracked| {
                    tracked.written = true
                });
            }
        }
    }
}

/// Returns how long an instance of this rank waits for those before it to write.
fn write_delay(rank: usize) -> Duration {
    WRITE_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX)
}

impl<D> Gateway<D> {
    /// Returns the orders of which nothing is stored yet, with their ages.
    fn unstarted_rollouts(&self) -> Vec<(RolloutOrder, Duration)> {
        let rollouts = self.rollouts.borrow();
        let unstarted = rollouts.values().filter(|tracked| !tracked.started && !tracked.written);
        unstarted
            .map(|tracked| (tracked.rollout.order.clone(), tracked.rollout.age(self.now())))
            .collect()
    }

    /// Updates the state of an order, unless a newer order has replaced it.
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

    /// Returns the rollouts whose final state has been decided but not stored.
    fn decided_rollouts(&self) -> Vec<(RolloutOrder, RolloutState)> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let mut due = Vec::new();
        for tracked in rollouts.values().filter(|tracked| !tracked.written) {
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
            record("rollout_decided", now, fields);
            due.push((order.clone(), state));
        }
        due
    }

    /// Whether it is this instance's turn to write, by its rank.
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
        record("rollout_ordered", self.now(), fields);
        let service = order.service.clone();
        self.sessions.borrow_mut().set_sharing(true, self.now());
        let tracked = TrackedRollout {
            rollout: Rollout::new(order),
            own: RolloutStats::default(),
            peers: HashMap::new(),
            written: false,
            started: false,
            decided_at: None,
        };
        rollouts.insert(service, tracked);
    }

    /// Returns the revision of the newest order for a service.
    pub(crate) fn rollout_revision(&self, service: &str) -> Option<u64> {
        self.rollouts.borrow().get(service).map(|tracked| tracked.rollout.order.revision)
    }

    /// Applies a state that an order is known to have; `written` if it is stored.
    pub fn set_rollout_state(&self, service: &str, to: &str, state: RolloutState, written: bool) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(tracked) = rollouts.get_mut(service) else { return };
        if state == RolloutState::InProgress {
            tracked.started |= written;
            return;
        }
        tracked.written |= written && tracked.rollout.state == state;
        let rollout = &mut tracked.rollout;
        let in_progress = rollout.state == RolloutState::InProgress;
        if *rollout.order.to == *to && in_progress {
            rollout.state = state;
            tracked.written = written;
            self.sessions.borrow_mut().set_sharing(false, self.now());
            let fields = json!({ "service": service, "to": to, "state": format!("{state:?}") });
            record("rollout_settled", self.now(), fields);
        }
    }

    /// Applies the age of an order, so that all instances follow the same schedule;
    /// an instance that starts late learns it from a peer or from the store.
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

    /// Returns the version that a request goes to during a rollout, and the new
    /// version's name.
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
        let position = session.map_or_else(|| self.draw(), policy::hash_unit);
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
            tracked.own.record_answer(side, bad, first_byte);
        }
    }
}
