//! Admission control: which requests are rejected, and when a caller may retry.
//!
//! Protects against overload, that is, more work than the servers finish in time. A
//! request whose answer cannot begin before its deadline is rejected immediately,
//! with a retry delay after which the backlog ahead of it will have drained.

use std::time::Duration;

use crate::MonotonicTime;

/// Fraction of the remaining time that the wait for the first byte may take.
pub(crate) const MAX_WAIT_FRACTION: f64 = 0.8;
/// Shortest retry delay returned to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Longest retry delay returned to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Width of the jitter on retry delays, as a fraction of the delay, so that rejected
/// callers do not all retry at the same moment.
const RETRY_JITTER: f64 = 0.5;

/// Result of admission control for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is sent.
    Admit,
    /// The request is rejected; the caller may retry after this delay.
    Reject(Duration),
}

/// Admission control based on the estimated time to first byte and the remaining time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Admission;

impl Admission {
    /// Admits or rejects a request whose answer is estimated to begin in `estimate`.
    ///
    /// `draw` is a random number from 0 to 1 that sets the jitter of the retry delay.
    pub fn decide(
        estimate: Duration,
        now: MonotonicTime,
        deadline: MonotonicTime,
        draw: f64,
    ) -> AdmissionDecision {
        let time_left = deadline.saturating_sub(now);
        if estimate <= time_left.mul_f64(MAX_WAIT_FRACTION) {
            return AdmissionDecision::Admit;
        }
        AdmissionDecision::Reject(Self::retry_after(
            estimate.saturating_sub(time_left.mul_f64(MAX_WAIT_FRACTION)),
            draw,
        ))
    }

    /// Returns the retry delay for a request that could be served after `backlog`.
    pub fn retry_after(backlog: Duration, draw: f64) -> Duration {
        let jitter = 1.0 + RETRY_JITTER * (draw - 0.5);
        backlog.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(jitter)
    }
}
