//! Rollouts: which version of a service gets a request while a new one is introduced.
//!
//! An order names the new version and the duration of the rollout. At first
//! a small share of new sessions runs on the new version as a canary, and one of its
//! servers gets further requests until it carries load; see [`TestServer`]. Then all
//! requests shift to it, and the order completes once the old version has no requests
//! in flight. If the new version proves worse, the order is rolled back at any point,
//! and this is final.

use std::time::Duration;

use config::Name;
use serde::{Deserialize, Serialize};

use crate::MonotonicTime;
#[cfg(doc)]
use crate::load_test::TestServer;
use crate::pace_by_load::PaceComparison;

/// Fraction of sessions in the canary.
const CANARY_FRACTION: f64 = 0.1;
/// Delay from the order to the start of the canary. By then the instances have
/// exchanged which sessions run on the old version.
const CANARY_DELAY: Duration = Duration::from_millis(1_500);
/// How long after the start of the canary there may be sessions that ran on the old version
/// elsewhere and are not known here yet.
const SETTLING_TIME: Duration = Duration::from_millis(800);
/// Fraction of the duration after which a server of the new version is loaded with requests
/// without session.
const LOAD_TEST_START: f64 = 0.2;
/// Fraction of the duration after which it gets requests of sessions, too.
const FULL_TEST_START: f64 = 0.52;
/// Fraction of the duration after which requests start to shift.
const SHIFT_START: f64 = 0.66;
/// Fraction of the duration after which all requests have shifted.
const SHIFT_END: f64 = 0.72;
/// Fraction of the duration before which the order does not complete: the new version shows
/// under the load of both versions whether it is sound.
const EARLIEST_COMPLETION: f64 = 0.84;
/// Fraction of the duration after which the order completes even if the old version
/// still has requests in flight.
const COMPLETION_DEADLINE: f64 = 0.88;
/// Minimum number of failed answers for a decision based on failures.
const MIN_FAILURES: u32 = 3;
/// The failure rate of the new version must exceed this multiple of the old one's.
const FAILURE_RATIO_LIMIT: f64 = 3.0;
/// Margin by which the failure rate must exceed that multiple.
const FAILURE_RATE_MARGIN: f64 = 0.1;
/// Minimum number of timed answers of each version for a decision based on their pace.
const MIN_TIMED_ANSWERS: u32 = 6;
/// Answers of the new version must take this multiple of the old one's time, on average.
const PACE_RATIO_LIMIT: f64 = 1.6;
/// The same once all requests have shifted: the new version then has the load of both.
const SHIFTED_PACE_LIMIT: f64 = 2.5;
/// Natural logarithm of how many times likelier the failures of all routes together must be if
/// the new version is worse.
const MIN_FAILURE_EVIDENCE: f64 = 3.0;
/// Number of standard errors by which a pace compared at like load must exceed what is expected.
const PACE_CONFIDENCE: f64 = 2.5;
/// Multiple of the expected pace that must be exceeded by that.
const CERTAIN_PACE_LIMIT: f64 = 1.2;

/// An operator's rollout order.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: Name,
    /// The new version.
    pub to: Name,
    /// Planned duration.
    pub duration: Duration,
    /// When it was issued, on this instance's monotonic clock.
    pub started_at: MonotonicTime,
    /// How long before the start of this instance's clock it was issued.
    pub before_start: Duration,
    /// Revision of the order; distinguishes orders for the same version.
    pub revision: u64,
}

/// State of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Requests are being shifted.
    InProgress,
    /// The new version gets all requests.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

/// Version that a request goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The version that is being replaced.
    Old,
    /// The new version.
    New,
}

/// Phase of an order, determined by its age.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Phase {
    /// The canary has not started.
    NotStarted,
    /// A share of the sessions runs on the new version.
    Canary,
    /// One server of the new version gets requests until it carries load.
    LoadTest,
    /// Requests are shifting; holds the fraction that has shifted.
    Shifting(f64),
    /// All requests go to the new version.
    Shifted,
    /// The order is completed once the old version has no requests in flight.
    Settled,
    /// The order is completed even if the old version has requests in flight.
    Overdue,
}

/// The requests that a server of the new version gets to carry load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadTest {
    /// None.
    Off,
    /// Those without session, which may run on any version.
    WithoutSession,
    /// All.
    All,
    /// Those that go to the new version anyway.
    NewVersion,
}

/// Answers of both versions as observed by one or more instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RolloutStats {
    /// Answers of the old version.
    pub old: Sample,
    /// Answers of the new version.
    pub new: Sample,
    /// Requests in flight on the old version.
    pub old_in_flight: u32,
    /// Evidence of failures against the new version, if the answers are known by route.
    pub failure_evidence: Option<f64>,
    /// Pace of the new version compared at like load, if that is known.
    pub like_pace: Option<PaceComparison>,
}

/// Answer counts of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Number of answers.
    pub answers: u32,
    /// Number of failed answers.
    pub bad: u32,
    /// Number of answers whose pace was compared.
    pub timed: u32,
    /// Sum of how many times as long as like answers of the old version they took.
    pub pace_sum: f64,
}

impl Sample {
    fn add(&mut self, other: &Sample) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.timed += other.timed;
        self.pace_sum += other.pace_sum;
    }

    fn failure_rate(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.answers.max(1))
    }

    fn mean_pace(&self) -> f64 {
        self.pace_sum / f64::from(self.timed.max(1))
    }
}

impl RolloutStats {
    /// Adds the counts of another instance.
    pub fn add(&mut self, other: &RolloutStats) {
        self.old.add(&other.old);
        self.new.add(&other.new);
        self.old_in_flight += other.old_in_flight;
    }

    /// Records an answer.
    pub fn record_answer(&mut self, side: Side, bad: bool) {
        let sample = self.sample_mut(side);
        sample.answers += 1;
        sample.bad += u32::from(bad);
    }

    /// Records how many times as long as like answers of the old version an answer takes.
    pub fn record_pace(&mut self, side: Side, ratio: f64) {
        let sample = self.sample_mut(side);
        sample.timed += 1;
        sample.pace_sum += ratio;
    }

    fn sample_mut(&mut self, side: Side) -> &mut Sample {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }

    /// Whether the new version is clearly worse than the old one.
    pub fn is_regression(&self, phase: Phase) -> bool {
        let max_rate = FAILURE_RATIO_LIMIT * self.old.failure_rate() + FAILURE_RATE_MARGIN;
        let fails = self.new.bad >= MIN_FAILURES
            && self.new.failure_rate() > max_rate
            && self.failure_evidence.is_none_or(|evidence| evidence >= MIN_FAILURE_EVIDENCE);
        fails || self.is_slow(phase)
    }

    fn is_slow(&self, phase: Phase) -> bool {
        let limit = match phase {
            Phase::NotStarted | Phase::Canary | Phase::LoadTest | Phase::Shifting(_) => {
                PACE_RATIO_LIMIT
            }
            Phase::Shifted | Phase::Settled | Phase::Overdue => SHIFTED_PACE_LIMIT,
        };
        if let Some(PaceComparison { answers, mean, error, expected }) = self.like_pace {
            return answers >= MIN_TIMED_ANSWERS
                && mean > limit * expected
                && mean - PACE_CONFIDENCE * error > CERTAIN_PACE_LIMIT * expected;
        }
        let timed = self.new.timed >= MIN_TIMED_ANSWERS && self.old.timed >= MIN_TIMED_ANSWERS;
        timed && self.new.mean_pace() > limit * self.old.mean_pace()
    }
}

/// Next action on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Nothing yet.
    Wait,
    /// Store that it is completed.
    Complete,
    /// Store that it is rolled back.
    RollBack,
}

/// An order and its state.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// State of the order.
    pub state: RolloutState,
}

/// Whether a session at this position, from 0 to 1, belongs to the canary.
///
/// The version of every other session follows from the age of the order, so instances
/// need not share it.
pub fn in_canary(position: f64) -> bool {
    position < CANARY_FRACTION
}

impl Rollout {
    /// Creates the rollout of a new order.
    pub fn new(order: RolloutOrder) -> Self {
        Rollout { order, state: RolloutState::InProgress }
    }

    /// Returns the time since the order was issued.
    pub fn age(&self, now: MonotonicTime) -> Duration {
        now.saturating_sub(self.order.started_at) + self.order.before_start
    }

    /// Returns the fraction of the duration that has passed.
    pub fn progress(&self, now: MonotonicTime) -> f64 {
        self.age(now).as_secs_f64() / self.order.duration.as_secs_f64().max(0.1)
    }

    /// Returns which requests a server of the new version gets to carry load.
    pub fn load_test(&self, now: MonotonicTime) -> LoadTest {
        if self.state != RolloutState::InProgress || self.progress(now) < LOAD_TEST_START {
            return LoadTest::Off;
        }
        match self.phase(now) {
            Phase::NotStarted => LoadTest::Off,
            Phase::Canary => LoadTest::WithoutSession,
            Phase::LoadTest => LoadTest::All,
            Phase::Shifting(_) | Phase::Shifted | Phase::Settled | Phase::Overdue => {
                LoadTest::NewVersion
            }
        }
    }

    /// Returns the version for a request without session; `draw` is a random number from 0 to 1.
    ///
    /// During a load test, those that go to the new version are chosen by the load that its
    /// server needs.
    pub fn side_without_session(&self, draw: f64, now: MonotonicTime) -> Side {
        match self.load_test(now) {
            LoadTest::Off | LoadTest::NewVersion => self.side(draw, None, now),
            LoadTest::WithoutSession | LoadTest::All => Side::Old,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self, now: MonotonicTime) -> Phase {
        if self.age(now) < CANARY_DELAY {
            return Phase::NotStarted;
        }
        let progress = self.progress(now);
        if progress < FULL_TEST_START {
            Phase::Canary
        } else if progress < SHIFT_START {
            Phase::LoadTest
        } else if progress < SHIFT_END {
            Phase::Shifting((progress - SHIFT_START) / (SHIFT_END - SHIFT_START))
        } else if progress < EARLIEST_COMPLETION {
            Phase::Shifted
        } else if progress < COMPLETION_DEADLINE {
            Phase::Settled
        } else {
            Phase::Overdue
        }
    }

    /// Returns the version for a request.
    ///
    /// `position` from 0 to 1 is fixed for a session; `last_version` is the version
    /// that the session last ran on.
    pub fn side(&self, position: f64, last_version: Option<&Name>, now: MonotonicTime) -> Side {
        match self.state {
            RolloutState::Completed => return Side::New,
            RolloutState::RolledBack => return Side::Old,
            RolloutState::InProgress => {}
        }
        let runs_on_new = last_version.map(|version| *version == self.order.to);
        match (self.phase(now), runs_on_new) {
            (_, Some(true)) => Side::New,
            (Phase::NotStarted, _) | (Phase::Canary, Some(false)) => Side::Old,
            (Phase::Canary | Phase::LoadTest, None) if in_canary(position) => Side::New,
            (Phase::Canary, None) | (Phase::LoadTest, _) => Side::Old,
            (Phase::Shifting(share), _) if position < CANARY_FRACTION.max(share) => Side::New,
            (Phase::Shifting(_), _) => Side::Old,
            (Phase::Shifted | Phase::Settled | Phase::Overdue, _) => Side::New,
        }
    }

    /// Whether the version of a session is to be decided only when reports that are on their way
    /// have arrived: it is new here, and the canary has just started.
    pub fn is_settling(
        &self,
        position: f64,
        last_version: Option<&Name>,
        now: MonotonicTime,
    ) -> bool {
        self.state == RolloutState::InProgress
            && last_version.is_none()
            && in_canary(position)
            && self.phase(now) == Phase::Canary
            && self.age(now) < CANARY_DELAY + SETTLING_TIME
    }

    /// Returns the next action, given the combined counts of all instances.
    pub fn decide(&self, stats: &RolloutStats, now: MonotonicTime) -> Decision {
        if self.state != RolloutState::InProgress {
            return Decision::Wait;
        }
        if stats.is_regression(self.phase(now)) {
            return Decision::RollBack;
        }
        match self.phase(now) {
            Phase::NotStarted
            | Phase::Canary
            | Phase::LoadTest
            | Phase::Shifting(_)
            | Phase::Shifted => Decision::Wait,
            Phase::Settled if stats.old_in_flight > 0 => Decision::Wait,
            Phase::Settled | Phase::Overdue => Decision::Complete,
        }
    }
}
