//! Carrying roll-outs to their end.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use dispatch::{Decision, Order, RolloutState};
use serde_json::json;

use crate::gateway::Gateway;
use crate::peers::Peers;
use crate::record::record;

/// How often a roll-out in progress is judged.
const JUDGE_EVERY: Duration = Duration::from_millis(200);
/// How long each instance leaves the write to the one before it in rank.
const WRITE_SPREAD: Duration = Duration::from_millis(900);

/// What became of writing a roll-out's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// The state is written, by this instance or by another.
    As(RolloutState),
    /// It is not known; try again.
    Unknown,
}

/// Where the states of roll-outs last.
pub trait RolloutStore {
    /// Writes that an order of this age is being carried out; true if that lasts.
    fn begin(&self, order: &Order, age: Duration) -> impl Future<Output = bool>;

    /// Writes the end of a roll-out unless it has another end already.
    fn settle(&self, order: &Order, state: RolloutState) -> impl Future<Output = Settled>;
}

/// Judges roll-outs in progress, and writes their ends, until the process ends.
pub async fn run_rollouts<D, S: RolloutStore>(gateway: Rc<Gateway<D>>, peers: Rc<Peers>, store: S) {
    loop {
        tokio::time::sleep(JUDGE_EVERY).await;
        for (order, age) in gateway.rollouts_new() {
            if age >= WRITE_SPREAD * u32::try_from(peers.rank(&order.service)).unwrap_or(u32::MAX)
                && store.begin(&order, age).await
            {
                gateway.set_begun(&order);
            }
        }
        for (order, state) in gateway.rollouts_due() {
            if state == RolloutState::RolledBack {
                // This instance stops at once, whoever writes and whatever the store answers.
                gateway.settled(&order.service, &order.to, state, false);
            }
            if !gateway.turn(&order, peers.rank(&order.service)) {
                continue;
            }
            if let Settled::As(state) = store.settle(&order, state).await {
                gateway.settled(&order.service, &order.to, state, true);
                gateway.set_written(&order);
            }
        }
    }
}

impl<D> Gateway<D> {
    /// The orders of which nothing is written yet, with their ages.
    fn rollouts_new(&self) -> Vec<(Order, Duration)> {
        let rollouts = self.rollouts.borrow();
        let new = rollouts.values().filter(|watched| !watched.begun && !watched.written);
        new.map(|watched| (watched.rollout.order.clone(), watched.rollout.age(self.now())))
            .collect()
    }

    fn set_begun(&self, order: &Order) {
        if let Some(watched) = self.rollouts.borrow_mut().get_mut(&order.service)
            && watched.rollout.order.revision == order.revision
        {
            watched.begun = true;
        }
    }

    /// The roll-outs whose end is to be written now.
    fn rollouts_due(&self) -> Vec<(Order, RolloutState)> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let mut due = Vec::new();
        for watched in rollouts.values().filter(|watched| !watched.written) {
            let order = &watched.rollout.order;
            let mut seen = watched.seen(now);
            seen.old_open += self.old_open(&order.service, &order.to);
            let state = match (watched.rollout.state, watched.rollout.decide(&seen, now)) {
                (RolloutState::RolledBack, _) | (_, Decision::RollBack) => RolloutState::RolledBack,
                (RolloutState::Completed, _) | (_, Decision::Complete) => RolloutState::Completed,
                (RolloutState::InProgress, Decision::Wait) => continue,
            };
            let fields = json!({
                "service": &*order.service,
                "to": &*order.to,
                "state": format!("{state:?}"),
                "old": format!("{:?}", seen.old),
                "new": format!("{:?}", seen.new),
                "old_open": seen.old_open,
            });
            record("rollout_decided", now, fields);
            due.push((order.clone(), state));
        }
        due
    }

    /// Whether it is this instance's turn to write, by its rank.
    fn turn(&self, order: &Order, rank: usize) -> bool {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(watched) = rollouts.get_mut(&order.service) else { return false };
        let now = self.now();
        let due = *watched.due.get_or_insert(now);
        now.saturating_sub(due) >= WRITE_SPREAD * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    fn set_written(&self, order: &Order) {
        if let Some(watched) = self.rollouts.borrow_mut().get_mut(&order.service)
            && watched.rollout.order.revision == order.revision
        {
            watched.written = true;
        }
    }
}
