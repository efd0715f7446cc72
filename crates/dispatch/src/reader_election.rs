//! Elects the instance that reads a table of the store for all.
//!
//! If every instance asked the store for the same changes, calls and bytes would grow
//! with instances times changes. Instead one instance reads for all and forwards what
//! it reads; the next in the order takes over when its updates stop.

use std::time::Duration;

use crate::MonotonicTime;

/// How long after an answer of the store other instances refrain from reading: covers
/// the reader's long poll, its pause and two lost datagrams.
pub const READER_TIMEOUT: Duration = Duration::from_millis(1_150);
/// Additional delay before each next instance in the order starts to read.
const STAGGER: Duration = Duration::from_millis(100);
/// Position in the order after which the delay no longer grows.
const MAX_STAGGER_STEPS: u32 = 100;

/// How an instance receives the next changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedMode {
    /// Poll the store with short calls and forward the changes.
    ReadForOthers,
    /// Wait for the reader's updates until this time.
    Listen(MonotonicTime),
}

/// Election state of one instance for one table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReaderElection {
    /// Latest time at which the store answered an instance that this one defers to.
    last_answer: Option<MonotonicTime>,
    reading: bool,
    /// Whether the last call of this instance to the store failed.
    failing: bool,
}

impl ReaderElection {
    /// Records that the store answered another instance at `answered`; `earlier` if
    /// that instance precedes this one in the order.
    ///
    /// If two instances read at the same time, the earlier one continues and the other
    /// stops.
    pub fn record_peer_answer(&mut self, answered: MonotonicTime, earlier: bool) {
        if earlier || !self.reading {
            self.last_answer = self.last_answer.max(Some(answered));
        }
    }

    /// Records whether the store answers this instance.
    pub fn record_own_answer(&mut self, answered: bool) {
        self.failing = !answered;
    }

    /// Returns how to receive the next changes, given this instance's position in the
    /// order of the instances.
    pub fn next_mode(&mut self, position: usize, now: MonotonicTime) -> FeedMode {
        let mode = self.choose(position, now);
        self.reading = mode == FeedMode::ReadForOthers && !self.failing;
        mode
    }

    fn choose(&self, position: usize, now: MonotonicTime) -> FeedMode {
        if position == 0 && !self.failing {
            return FeedMode::ReadForOthers;
        }
        let delay = STAGGER
            * u32::try_from(position).map_or(MAX_STAGGER_STEPS, |n| n.min(MAX_STAGGER_STEPS));
        match self.last_answer.map(|answered| answered + READER_TIMEOUT + delay) {
            Some(until) if until > now => FeedMode::Listen(until),
            _ => FeedMode::ReadForOthers,
        }
    }
}
