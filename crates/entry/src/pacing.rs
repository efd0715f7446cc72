//! Intervals of periodic platform calls.
//!
//! They grow with the number of instances, to keep the total load of all
//! instances within the platform's capacity.

use std::time::Duration;

use rand::RngExt;

/// The target rate of polls of one kind over all instances, per second.
const FLEET_POLLS_PER_S: f64 = 50.0;
/// The target rate of bill flushes over all instances, per second.
const FLEET_FLUSHES_PER_S: f64 = 100.0;
/// The minimum poll interval, in seconds.
const MIN_POLL_S: f64 = 0.5;
/// The maximum poll interval, in seconds.
const MAX_POLL_S: f64 = 15.0;
/// The minimum flush interval, in seconds.
const MIN_FLUSH_S: f64 = 1.0;

/// The poll interval of one instance out of `members`, with jitter.
pub fn poll_interval(members: usize) -> Duration {
    let interval = (members as f64 / FLEET_POLLS_PER_S).clamp(MIN_POLL_S, MAX_POLL_S);
    jitter(interval)
}

/// The flush interval of one instance out of `members`, with jitter.
pub fn flush_interval(members: usize) -> Duration {
    jitter((members as f64 / FLEET_FLUSHES_PER_S).max(MIN_FLUSH_S))
}

/// A random duration within 20% of `seconds`, so that instances don't act in lockstep.
pub fn jitter(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds * rand::rng().random_range(0.8..1.2))
}
