//! Which version of a service gets a request while a new one is brought in.
//!
//! An order names the new version and its time. A small share of new sessions
//! tries it in the first half. Then all work moves over, and the order is
//! completed once the old version has nothing left to do. Evidence against the
//! new version ends the order at any moment, one way.

use std::time::Duration;

use config::Name;
use serde::{Deserialize, Serialize};

use crate::Mono;

/// The share of sessions that try a new version.
const TRIAL_SHARE: f64 = 0.06;
/// How long after the order the first sessions try the new version.
///
/// By then instances have told each other which sessions run on the old one.
const TRIAL_AFTER: Duration = Duration::from_millis(1_500);
/// The part of the order's time after which work moves over.
const MOVE_FROM: f64 = 0.52;
/// The part of the order's time at which all work has moved.
const MOVED_BY: f64 = 0.66;
/// The part of the order's time at which it is completed whatever still runs.
const COMPLETE_BY: f64 = 0.88;
/// Bad answers without which nothing is concluded from failures.
const LEAST_BAD: u32 = 3;
/// How much more often a new version must fail than the old one.
const WORSE_RATIO: f64 = 3.0;
/// How much more often it must fail in any case.
const WORSE_SHARE: f64 = 0.1;
/// Answers without which nothing is concluded from times.
const LEAST_TIMED: u32 = 8;
/// How many times slower a new version must be.
const SLOWER_RATIO: f64 = 2.5;

/// An operator's order.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// The new version.
    pub to: Name,
    /// How long it may take.
    pub duration: Duration,
    /// When it was given, on the instance's clock.
    pub began: Mono,
    /// How long before the start of the instance's clock it was given.
    pub before_start: Duration,
    /// Tells orders for the same version apart.
    pub revision: u64,
}

/// What has become of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Work is being moved.
    InProgress,
    /// The new version has all work.
    Completed,
    /// The new version gets no work.
    RolledBack,
}

/// Which version a request goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that is being replaced.
    Old,
    /// The new version.
    New,
}

/// How far the order has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// The new version waits.
    Ahead,
    /// A share of the sessions tries the new version.
    Trial,
    /// Work moves over; the share that has moved.
    Moving(f64),
    /// All work goes to the new version.
    Moved,
    /// The time to complete whatever still runs.
    Due,
}

/// What instances have seen of the two versions.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// Answers of the old version.
    pub old: Sample,
    /// Answers of the new version.
    pub new: Sample,
    /// Requests that run on the old version.
    pub old_open: u32,
}

/// Answers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Answers.
    pub answers: u32,
    /// Failed answers.
    pub bad: u32,
    /// Answers with a time.
    pub timed: u32,
    /// The sum of the times to the first byte, in ms.
    pub time_ms: f64,
}

impl Sample {
    fn add(&mut self, other: &Sample) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.timed += other.timed;
        self.time_ms += other.time_ms;
    }

    fn bad_share(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.answers.max(1))
    }

    fn mean_ms(&self) -> f64 {
        self.time_ms / f64::from(self.timed.max(1))
    }
}

impl Tally {
    /// Adds what another instance has seen.
    pub fn add(&mut self, other: &Tally) {
        self.old.add(&other.old);
        self.new.add(&other.new);
        self.old_open += other.old_open;
    }

    /// Counts an answer.
    pub fn answered(&mut self, side: Side, bad: bool, first_byte: Option<Duration>) {
        let sample = match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        };
        sample.answers += 1;
        sample.bad += u32::from(bad);
        if let Some(time) = first_byte {
            sample.timed += 1;
            sample.time_ms += time.as_secs_f64() * 1e3;
        }
    }

    /// Whether the new version is worse beyond doubt.
    pub fn is_worse(&self) -> bool {
        let limit = WORSE_RATIO * self.old.bad_share() + WORSE_SHARE;
        let fails = self.new.bad >= LEAST_BAD && self.new.bad_share() > limit;
        let timed = self.new.timed >= LEAST_TIMED && self.old.timed >= LEAST_TIMED;
        fails || (timed && self.new.mean_ms() > SLOWER_RATIO * self.old.mean_ms())
    }
}

/// What an instance is to do about an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Nothing yet.
    Wait,
    /// Write that it is completed.
    Complete,
    /// Write that it is rolled back.
    RollBack,
}

/// An order and its state.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// What has become of it.
    pub state: RolloutState,
}

/// Whether a session at this place, from 0 to 1, may try a new version.
///
/// The version of all others is known without being told.
pub fn may_try(place: f64) -> bool {
    place < TRIAL_SHARE
}

impl Rollout {
    /// An order that has just been given.
    pub fn new(order: Order) -> Self {
        Rollout { order, state: RolloutState::InProgress }
    }

    /// How long ago the order was given.
    pub fn age(&self, now: Mono) -> Duration {
        now.saturating_sub(self.order.began) + self.order.before_start
    }

    /// How far it has come by the clock.
    pub fn phase(&self, now: Mono) -> Phase {
        let spent = self.age(now);
        if spent < TRIAL_AFTER {
            return Phase::Ahead;
        }
        let part = spent.as_secs_f64() / self.order.duration.as_secs_f64().max(0.1);
        if part < MOVE_FROM {
            Phase::Trial
        } else if part < MOVED_BY {
            Phase::Moving((part - MOVE_FROM) / (MOVED_BY - MOVE_FROM))
        } else if part < COMPLETE_BY {
            Phase::Moved
        } else {
            Phase::Due
        }
    }

    /// The version for a request.
    ///
    /// `place` from 0 to 1 is fixed for a session; `kept` is the version that
    /// its session ran on last.
    pub fn side(&self, place: f64, kept: Option<&Name>, now: Mono) -> Side {
        match self.state {
            RolloutState::Completed => return Side::New,
            RolloutState::RolledBack => return Side::Old,
            RolloutState::InProgress => {}
        }
        let kept_new = kept.map(|version| *version == self.order.to);
        match (self.phase(now), kept_new) {
            (_, Some(true)) => Side::New,
            (Phase::Ahead, _) | (Phase::Trial, Some(false)) => Side::Old,
            (Phase::Trial, None) if may_try(place) => Side::New,
            (Phase::Trial, None) => Side::Old,
            (Phase::Moving(share), _) if place < TRIAL_SHARE.max(share) => Side::New,
            (Phase::Moving(_), _) => Side::Old,
            (Phase::Moved | Phase::Due, _) => Side::New,
        }
    }

    /// What is to be done, by what all instances have seen.
    pub fn decide(&self, seen: &Tally, now: Mono) -> Decision {
        if self.state != RolloutState::InProgress {
            return Decision::Wait;
        }
        if seen.is_worse() {
            return Decision::RollBack;
        }
        match self.phase(now) {
            Phase::Ahead | Phase::Trial | Phase::Moving(_) => Decision::Wait,
            Phase::Moved if seen.old_open > 0 => Decision::Wait,
            Phase::Moved | Phase::Due => Decision::Complete,
        }
    }
}
