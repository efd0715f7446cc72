//! Retry budget per service.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use config::Name;

use crate::MonotonicTime;

/// Fraction of the configured budget that is used. The rest covers counts of other
/// instances that arrive late and bursts at the edge of a window, so that the
/// configured budget is not exceeded.
const USABLE_FRACTION: f64 = 0.8;
/// Number of buckets in a window.
const BUCKETS: u32 = 10;

/// Counts requests and retries in a sliding window.
///
/// All instances share one budget: a ratio of retries to requests, which each
/// instance applies to its own requests, plus a fixed allowance (the slack) that is
/// divided equally among the instances.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    services: HashMap<Name, VecDeque<Bucket>>,
}

/// Counts of one part of a window.
#[derive(Debug, Default)]
struct Bucket {
    /// Start time divided by the length of a bucket.
    index: u64,
    requests: f64,
    retries: f64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request plus `slack` retries in each
    /// `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        RetryBudget { ratio, slack, window, services: HashMap::new() }
    }

    /// Records a request to the service.
    pub fn record_request(&mut self, service: &Name, now: MonotonicTime) {
        self.bucket(service, now).requests += 1.0;
    }

    /// Withdraws a request that another instance sends and records.
    pub fn withdraw_request(&mut self, service: &Name, now: MonotonicTime) {
        self.bucket(service, now).requests -= 1.0;
    }

    /// Consumes one retry from the budget; returns false if none is left.
    ///
    /// `instances` is the number of instances that share the slack.
    pub fn try_take(&mut self, service: &Name, instances: usize, now: MonotonicTime) -> bool {
        let remaining = self.remaining(service, instances, now);
        let bucket = self.bucket(service, now);
        if remaining < 1.0 {
            return false;
        }
        bucket.retries += 1.0;
        true
    }

    /// Returns the number of retries left in the current window.
    pub fn remaining(&mut self, service: &Name, instances: usize, now: MonotonicTime) -> f64 {
        let (ratio, slack) = (self.ratio, self.slack);
        self.bucket(service, now);
        let Some(buckets) = self.services.get(service) else { return 0.0 };
        let requests: f64 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: f64 = buckets.iter().map(|bucket| bucket.retries).sum();
        USABLE_FRACTION * (ratio * requests + slack / instances.max(1) as f64) - retries
    }

    fn bucket(&mut self, service: &Name, now: MonotonicTime) -> &mut Bucket {
        let index = (now.as_nanos() / (self.window.as_nanos() / u128::from(BUCKETS)).max(1)) as u64;
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets.front().is_some_and(|bucket| bucket.index + u64::from(BUCKETS) < index) {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| bucket.index != index) {
            buckets.push_back(Bucket { index, ..Bucket::default() });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
