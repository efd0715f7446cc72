//! Rates that servers in need ask for, and permits for requests to them.
//!
//! Designed for limits of about one request per second that hold for all instances
//! together, however many there are. One instance issues the permits for the servers of a
//! failure domain, so that the sum is kept without a share for each instance, which would
//! be too small to use.

use std::collections::HashMap;
use std::time::Duration;

use config::Name;

use crate::MonotonicTime;

/// Lowest rate at which permits are issued, in requests per second: only the answer to a
/// request shows that a limit has ended.
const MIN_RATE: f64 = 0.1;
/// Relative change of a rate below which it is not worth telling.
const NOTABLE_CHANGE: f64 = 0.05;
/// Time for which unused permits accumulate.
const ACCUMULATION_S: f64 = 0.5;
/// Part of the accumulated permits that is reserved for more urgent requests, by priority
/// from 0 on.
const RESERVED_FRACTION: [f64; PRIORITY_CLASSES] = [0.0, 0.25, 0.5];
/// Interval at which servers that have not been asked for lately are looked for.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which a permit is denied.
const MAX_DENIAL: Duration = Duration::from_secs(2);

/// Number of priorities that are told apart; lower priorities count as the last.
pub(crate) const PRIORITY_CLASSES: usize = 3;

/// Returns the class of a priority, 0 for the highest.
pub(crate) fn priority_class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_CLASSES - 1)
}

/// What an answer says about the rate of requests that its server takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RateNotice {
    /// Nothing: the server takes any rate.
    #[default]
    Unlimited,
    /// The server takes this many requests per second from all instances together.
    Limit(f64),
    /// The server limits its rate, but the figure is invalid.
    Invalid,
}

/// The rate that a server last asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second from all instances together; `None` if there is no limit.
    pub rate: Option<f64>,
    /// When the server last said so; `None` if it is not known to have said anything.
    pub as_of: Option<MonotonicTime>,
}

impl RateLimit {
    /// Applies the notice of an answer that arrived at `now` to a request sent at `sent_at`.
    /// Returns whether the rate changed notably.
    ///
    /// An answer that was on its way when the limit was named does not end it.
    pub fn observe(
        &mut self,
        notice: RateNotice,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        match notice {
            RateNotice::Limit(rate) => self.replace(Some(rate), now),
            RateNotice::Unlimited if Some(sent_at) >= self.as_of => self.replace(None, now),
            RateNotice::Unlimited | RateNotice::Invalid => false,
        }
    }

    /// Applies what another instance was told at `as_of`. Returns whether the rate changed
    /// notably.
    pub fn merge(&mut self, rate: Option<f64>, as_of: MonotonicTime) -> bool {
        Some(as_of) > self.as_of && self.replace(rate, as_of)
    }

    fn replace(&mut self, rate: Option<f64>, as_of: MonotonicTime) -> bool {
        let before = std::mem::replace(&mut self.rate, rate);
        self.as_of = Some(as_of);
        match (before, rate) {
            (Some(before), Some(rate)) => (rate - before).abs() > NOTABLE_CHANGE * before,
            (before, rate) => before != rate,
        }
    }
}

/// Answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// One request may be sent now.
    Granted,
    /// No request may be sent; the asking instance should wait this long before it asks for
    /// the same server and priority again.
    Denied(Duration),
}

/// How a token bucket fills.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refill {
    /// Permits per second.
    pub rate: f64,
    /// Maximum number of accumulated permits.
    pub capacity: f64,
}

impl Refill {
    /// Returns how permits are issued for a server that asked for `rate` requests per second.
    pub fn limited(rate: f64) -> Self {
        let rate = rate.max(MIN_RATE);
        Refill { rate, capacity: 1.0 + rate * ACCUMULATION_S }
    }

    /// Returns what both allow.
    pub fn min(self, other: Self) -> Self {
        let capacity = self.capacity.min(other.capacity);
        Refill { rate: self.rate.min(other.rate), capacity }
    }
}

/// Issues permits for requests to servers that limit their rate or are cold.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: HashMap<Name, Bucket>,
    /// When servers were last forgotten.
    forgot_at: MonotonicTime,
}

/// Token bucket of one server.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    filled_at: MonotonicTime,
    /// When the next denied instance should ask again, so that they take turns.
    next_turn: MonotonicTime,
}

impl Bucket {
    fn is_idle(&self, now: MonotonicTime) -> bool {
        now.saturating_sub(self.filled_at) >= 2 * MAX_DENIAL
    }
}

impl PermitIssuer {
    /// Decides on a permit for a server that takes `rate` requests per second from those
    /// that ask here; see [`PermitIssuer::decide_within`].
    pub fn decide(
        &mut self,
        server: &Name,
        rate: f64,
        priority: u8,
        since: MonotonicTime,
        now: MonotonicTime,
    ) -> PermitDecision {
        self.decide_within(server, Refill::limited(rate), priority, since, now)
    }

    /// Decides on a permit for a server whose permits are issued as `refill` says.
    ///
    /// `since` is when this instance began to issue permits for the server. Before, another
    /// one did, so that permits accumulate only from then on.
    pub fn decide_within(
        &mut self,
        server: &Name,
        refill: Refill,
        priority: u8,
        since: MonotonicTime,
        now: MonotonicTime,
    ) -> PermitDecision {
        let Refill { rate, capacity } = refill;
        let unused = Bucket { tokens: 0.0, filled_at: since, next_turn: now };
        let bucket = self.buckets.entry(server.clone()).or_insert(unused);
        if bucket.is_idle(now) {
            *bucket = unused;
        }
        if since > bucket.filled_at {
            bucket.tokens = 0.0;
            bucket.filled_at = since;
        }
        let elapsed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(capacity);
        bucket.filled_at = now;
        let required = 1.0 + RESERVED_FRACTION[priority_class(priority)] * (capacity - 1.0);
        if bucket.tokens >= required {
            bucket.tokens -= 1.0;
            return PermitDecision::Granted;
        }
        let refill = Duration::from_secs_f64((required - bucket.tokens) / rate);
        let turn = bucket.next_turn.max(now + refill).min(now + MAX_DENIAL);
        bucket.next_turn = turn + Duration::from_secs_f64(1.0 / rate);
        PermitDecision::Denied(turn - now)
    }

    /// Forgets servers that have not been asked for lately, once a second: with many servers,
    /// looking at all of them for each decision costs more than the decision.
    pub fn forget_idle(&mut self, now: MonotonicTime) {
        if now.saturating_sub(self.forgot_at) >= FORGET_INTERVAL {
            self.forgot_at = now;
            self.buckets.retain(|_, bucket| !bucket.is_idle(now));
        }
    }
}
