//! Roll-outs in progress: what is known of each, and carrying them to their end.

use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use config::Name;
use dispatch::{Decision, Mono, Order, Rollout, RolloutState, Side, Tally};
use serde_json::json;

use crate::gateway::Gateway;
use crate::peers::Peers;
use crate::record::record;

/// How often a roll-out in progress is judged.
const JUDGE_EVERY: Duration = Duration::from_millis(200);
/// How long each instance leaves the write to the one before it in rank.
const WRITE_SPREAD: Duration = Duration::from_millis(900);

/// How long what a peer says of a roll-out counts.
const PEER_KEPT: Duration = Duration::from_secs(3);

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

/// A roll-out with what is known of it.
#[derive(Debug)]
pub(crate) struct Watched {
    pub rollout: Rollout,
    pub own: Tally,
    pub peers: HashMap<Name, (Tally, Mono)>,
    pub written: bool,
    pub begun: bool,
    pub due: Option<Mono>,
}

impl Watched {
    /// What all instances have seen.
    pub fn seen(&self, now: Mono) -> Tally {
        let mut sum = self.own;
        for (tally, at) in self.peers.values() {
            let mut tally = *tally;
            if now.saturating_sub(*at) > PEER_KEPT {
                tally.old_open = 0;
            }
            sum.add(&tally);
        }
        sum
    }
}

/// Judges roll-outs in progress, and writes their ends, until the process ends.
pub async fn run_rollouts<D, S: RolloutStore>(gateway: Rc<Gateway<D>>, peers: Rc<Peers>, store: S) {
    loop {
        tokio::time::sleep(JUDGE_EVERY).await;
        for (order, age) in gateway.rollouts_new() {
            if age >= turn_after(peers.rank(&order.service)) && store.begin(&order, age).await {
                gateway.change_rollout(&order.service, order.revision, |w| w.begun = true);
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
                gateway.change_rollout(&order.service, order.revision, |w| w.written = true);
            }
        }
    }
}

/// How long an instance of this rank leaves a write to those before it.
fn turn_after(rank: usize) -> Duration {
    WRITE_SPREAD * u32::try_from(rank).unwrap_or(u32::MAX)
}

impl<D> Gateway<D> {
    /// The orders of which nothing is written yet, with their ages.
    fn rollouts_new(&self) -> Vec<(Order, Duration)> {
        let rollouts = self.rollouts.borrow();
        let new = rollouts.values().filter(|watched| !watched.begun && !watched.written);
        new.map(|watched| (watched.rollout.order.clone(), watched.rollout.age(self.now())))
            .collect()
    }

    /// Changes what is known of an order, unless a newer one has come.
    pub(crate) fn change_rollout(
        &self,
        service: &str,
        revision: u64,
        change: impl FnOnce(&mut Watched),
    ) {
        if let Some(watched) = self.rollouts.borrow_mut().get_mut(service)
            && watched.rollout.order.revision == revision
        {
            change(watched);
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
        now.saturating_sub(due) >= turn_after(rank)
    }

    /// Takes an order for a roll-out.
    pub fn ordered(&self, order: Order) {
        let mut rollouts = self.rollouts.borrow_mut();
        let known = rollouts.get(&order.service).map(|watched| watched.rollout.order.revision);
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
        self.sessions.borrow_mut().watch(true, self.now());
        let watched = Watched {
            rollout: Rollout::new(order),
            own: Tally::default(),
            peers: HashMap::new(),
            written: false,
            begun: false,
            due: None,
        };
        rollouts.insert(service, watched);
    }

    /// The revision of the newest order for a service.
    pub(crate) fn rollout_revision(&self, service: &str) -> Option<u64> {
        self.rollouts.borrow().get(service).map(|watched| watched.rollout.order.revision)
    }

    /// Takes the state that an order is known to have; `written` if it lasts.
    pub fn settled(&self, service: &str, to: &str, state: RolloutState, written: bool) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(watched) = rollouts.get_mut(service) else { return };
        if state == RolloutState::InProgress {
            watched.begun |= written;
            return;
        }
        watched.written |= written && watched.rollout.state == state;
        let rollout = &mut watched.rollout;
        let open = rollout.state == RolloutState::InProgress;
        if *rollout.order.to == *to && open {
            rollout.state = state;
            watched.written = written;
            self.sessions.borrow_mut().watch(false, self.now());
            let fields = json!({ "service": service, "to": to, "state": format!("{state:?}") });
            record("rollout_settled", self.now(), fields);
        }
    }

    /// Takes the age of an order, by which all instances go; one that starts
    /// late learns it from a peer or from the store.
    pub fn rollout_age(&self, service: &str, to: &str, age: Duration) {
        let mut rollouts = self.rollouts.borrow_mut();
        let Some(watched) = rollouts.get_mut(service) else { return };
        let order = &mut watched.rollout.order;
        let began = self.now().checked_sub(age).unwrap_or_default();
        let before_start = age.saturating_sub(self.now());
        if *order.to == *to && (began < order.began || before_start > order.before_start) {
            order.began = began;
            order.before_start = before_start;
        }
    }

    /// The version that a request goes to while one is brought in.
    pub(crate) fn side(&self, service: &Name, session: Option<u64>) -> Option<(Side, Name)> {
        let now = self.now();
        let rollouts = self.rollouts.borrow();
        let watched = rollouts.get(service)?;
        let sessions = self.sessions.borrow();
        let kept = session.and_then(|session| sessions.version(session, now));
        let place = session.map_or_else(|| self.random(), policy::hash_unit);
        let side = watched.rollout.side(place, kept, now);
        Some((side, watched.rollout.order.to.clone()))
    }

    /// Counts an answer for the roll-out of its service.
    pub(crate) fn seen(
        &self,
        service: &Name,
        version: &Name,
        bad: bool,
        first_byte: Option<Duration>,
    ) {
        if let Some(watched) = self.rollouts.borrow_mut().get_mut(service) {
            let side = if *version == watched.rollout.order.to { Side::New } else { Side::Old };
            watched.own.answered(side, bad, first_byte);
        }
    }
}
