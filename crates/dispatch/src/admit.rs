//! Which requests are turned away, and when they may come back.
//!
//! The load it answers: more work than the servers finish in time. A request
//! whose answer can't begin before its deadline is refused at once, with the
//! time at which the backlog ahead of it will have gone.

use std::time::Duration;

use crate::Mono;

/// The share of the time left that the wait for the first byte may take.
const WAIT_SHARE: f64 = 0.8;
/// The shortest wait that is advised.
const LEAST_WAIT: Duration = Duration::from_millis(150);
/// The longest wait that is advised.
const MOST_WAIT: Duration = Duration::from_secs(4);
/// Advised waits are spread by this share, so that callers don't return at once.
const SPREAD: f64 = 0.5;

/// What is to become of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent.
    Admit,
    /// It is refused; it may come back after this time.
    Refuse(Duration),
}

/// Decides by estimate and time left.
#[derive(Debug, Clone, Copy, Default)]
pub struct Admission;

impl Admission {
    /// Judges a request whose answer would begin in `estimate`.
    ///
    /// `draw` from 0 to 1 spreads the returns.
    pub fn judge(estimate: Duration, now: Mono, deadline: Mono, draw: f64) -> Verdict {
        let left = deadline.saturating_sub(now);
        if estimate <= left.mul_f64(WAIT_SHARE) {
            return Verdict::Admit;
        }
        Verdict::Refuse(Self::return_after(estimate.saturating_sub(left.mul_f64(WAIT_SHARE)), draw))
    }

    /// When a request may come back that could be served after `backlog`.
    pub fn return_after(backlog: Duration, draw: f64) -> Duration {
        let spread = 1.0 + SPREAD * (draw - 0.5);
        backlog.clamp(LEAST_WAIT, MOST_WAIT).mul_f64(spread)
    }
}
