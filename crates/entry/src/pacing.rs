//! How often an instance does what all instances do, so that the sum over the
//! fleet stays within what the platform takes.

use std::time::Duration;

use rand::RngExt;

/// Polls of one kind that all instances together make, a second.
const FLEET_POLLS: f64 = 50.0;
/// Flushes of bills that all instances together make, a second.
const FLEET_FLUSHES: f64 = 100.0;
/// The shortest time between polls, in seconds.
const SHORTEST_POLL_S: f64 = 0.5;
/// The longest time between polls, in seconds.
const LONGEST_POLL_S: f64 = 15.0;
/// The shortest time between flushes, in seconds.
const SHORTEST_FLUSH_S: f64 = 1.0;

/// The time between polls of one instance among `members`, with jitter.
pub fn poll_interval(members: usize) -> Duration {
    let interval = (members as f64 / FLEET_POLLS).clamp(SHORTEST_POLL_S, LONGEST_POLL_S);
    jitter(interval)
}

/// The time between flushes of one instance among `members`, with jitter.
pub fn flush_interval(members: usize) -> Duration {
    jitter((members as f64 / FLEET_FLUSHES).max(SHORTEST_FLUSH_S))
}

/// A time around `seconds`, so that instances don't act at once.
pub fn jitter(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds * rand::rng().random_range(0.8..1.2))
}
