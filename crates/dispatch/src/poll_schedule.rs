//! Decides when an instance polls the store for the changes of a table.
//!
//! A long poll whose answer was lost can't be told from one for which nothing has
//! changed. Therefore the reader's polls are short, and a poll that should have been
//! answered by now is repeated while it stays open: a slow store may still answer it.

use std::time::Duration;

use crate::{FeedMode, MonotonicTime};

/// Maximum duration of a poll by the reader. Its answers, including empty ones, show the
/// others that the store is reachable.
pub const READER_POLL_WAIT: Duration = Duration::from_millis(700);
/// Maximum duration of a poll by an instance that listens to the reader as well.
const LISTENER_POLL_WAIT: Duration = Duration::from_secs(25);
/// Delay of a wake-up after which open polls get as much time again to be answered.
const LATE_WAKE_UP: Duration = Duration::from_millis(200);
/// Maximum number of open polls.
const MAX_OPEN_POLLS: u32 = 4;

/// What an instance does about a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollStep {
    /// Poll for at most this long.
    Poll(Duration),
    /// Poll again on a new connection, since the open polls are overdue.
    Repeat,
    /// Replace the open polls, since they are lost, by one of at most this duration.
    Replace(Duration),
    /// Wait until this time.
    Wait(MonotonicTime),
}

/// The circumstances of a step.
#[derive(Debug, Clone, Copy)]
pub struct PollSituation {
    /// How the instance receives changes.
    pub mode: FeedMode,
    /// Whether the instance holds a long poll while it listens, so that changes take
    /// effect here without another instance.
    pub holds_poll: bool,
    /// How long an answer of the store may take before the poll is repeated.
    pub patience: Duration,
    /// The current time.
    pub now: MonotonicTime,
}

/// The open polls of one table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PollSchedule {
    open: u32,
    /// When an open poll should have been answered, if that is known.
    overdue_at: Option<MonotonicTime>,
    /// End of a pause after changes or a failure.
    resume_at: MonotonicTime,
    /// Whether the next poll returns at once, since changes are known to be missing.
    catching_up: bool,
}

impl PollSchedule {
    /// Returns what to do now. A returned poll counts as open.
    pub fn next_step(&mut self, situation: PollSituation) -> PollStep {
        let PollSituation { mode, holds_poll, patience, now } = situation;
        if let Some(overdue_at) = self.overdue_at {
            if now < overdue_at {
                return PollStep::Wait(overdue_at);
            }
            // This process was stopped: the answer may have arrived meanwhile.
            if now > overdue_at + LATE_WAKE_UP {
                self.overdue_at = Some(now + LATE_WAKE_UP);
                return PollStep::Wait(now + LATE_WAKE_UP);
            }
            match mode {
                FeedMode::ReadForOthers => {
                    self.overdue_at = Some(now + patience);
                    if self.open >= MAX_OPEN_POLLS {
                        return PollStep::Wait(now + patience);
                    }
                    self.open += 1;
                    return PollStep::Repeat;
                }
                FeedMode::Listen(_) if holds_poll => {
                    (self.open, self.overdue_at) = (1, None);
                    return PollStep::Replace(LISTENER_POLL_WAIT);
                }
                FeedMode::Listen(_) => self.overdue_at = None,
            }
        }
        if now < self.resume_at {
            return PollStep::Wait(self.resume_at);
        }
        let wait = match mode {
            _ if self.catching_up => Duration::ZERO,
            FeedMode::ReadForOthers => READER_POLL_WAIT,
            FeedMode::Listen(_) if holds_poll && self.open == 0 => LISTENER_POLL_WAIT,
            FeedMode::Listen(until) => return PollStep::Wait(until),
        };
        let expects_answer = self.catching_up || mode == FeedMode::ReadForOthers;
        self.overdue_at = expects_answer.then_some(now + wait + patience);
        self.catching_up = false;
        self.open += 1;
        PollStep::Poll(wait)
    }

    /// Records an answer; other open polls are dropped.
    pub fn record_answer(&mut self) {
        (self.open, self.overdue_at) = (0, None);
    }

    /// Records that a poll failed; returns whether it was the last open one.
    pub fn record_failure(&mut self) -> bool {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.overdue_at = None;
        }
        self.open == 0
    }

    /// Starts no poll before `until`.
    pub fn pause(&mut self, until: MonotonicTime) {
        self.resume_at = until;
    }

    /// Asks for an immediate answer at `at`: changes are missing that no other instance
    /// sends.
    pub fn catch_up(&mut self, at: MonotonicTime) {
        self.catching_up = true;
        self.resume_at = at;
    }

    /// Ends a pause no later than `at`.
    pub fn limit_pause(&mut self, at: MonotonicTime) {
        self.resume_at = self.resume_at.min(at);
    }

    /// Records that there is a change that the open polls should return.
    pub fn expect_answer(&mut self, patience: Duration, now: MonotonicTime) {
        if self.open > 0 {
            self.overdue_at = self.overdue_at.or(Some(now + patience));
        }
    }

    /// Records that the store was unavailable: polls of before may be lost.
    pub fn record_outage(&mut self, now: MonotonicTime) {
        if self.open > 0 {
            self.overdue_at = Some(now);
        }
    }
}
