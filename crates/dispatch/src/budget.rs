//! The budget of repeated sends, per service.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use config::Name;

use crate::Mono;

/// How much of the agreed budget is used, so that late counts of other
/// instances and bursts at the edge of a window do not go over it.
const USED_SHARE: f64 = 0.8;
/// The windows are cut into this many parts.
const PARTS: u32 = 10;

/// Counts requests and repeated sends in a sliding window.
///
/// All instances share one allowance: a share of the requests, which each
/// counts for itself, and a fixed slack, of which each takes its part.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    services: HashMap<Name, VecDeque<Span>>,
}

#[derive(Debug, Default)]
struct Span {
    part: u64,
    requests: f64,
    repeats: f64,
}

impl RetryBudget {
    /// A budget of `ratio` repeats per request plus `slack` in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        RetryBudget { ratio, slack, window, services: HashMap::new() }
    }

    /// Counts a request for the service.
    pub fn arrived(&mut self, service: &Name, now: Mono) {
        self.span(service, now).requests += 1.0;
    }

    /// Takes one repeat out of the budget; false if there is none left.
    ///
    /// `sharers` is the number of instances that share the slack.
    pub fn take(&mut self, service: &Name, sharers: usize, now: Mono) -> bool {
        let allowed = self.allowed(service, sharers, now);
        let span = self.span(service, now);
        if allowed < 1.0 {
            return false;
        }
        span.repeats += 1.0;
        true
    }

    /// What is left of the budget.
    pub fn allowed(&mut self, service: &Name, sharers: usize, now: Mono) -> f64 {
        let (ratio, slack) = (self.ratio, self.slack);
        self.span(service, now);
        let Some(spans) = self.services.get(service) else { return 0.0 };
        let requests: f64 = spans.iter().map(|span| span.requests).sum();
        let repeats: f64 = spans.iter().map(|span| span.repeats).sum();
        USED_SHARE * (ratio * requests + slack / sharers.max(1) as f64) - repeats
    }

    fn span(&mut self, service: &Name, now: Mono) -> &mut Span {
        let part = (now.as_nanos() / (self.window.as_nanos() / u128::from(PARTS)).max(1)) as u64;
        let spans = self.services.entry(service.clone()).or_default();
        while spans.front().is_some_and(|span| span.part + u64::from(PARTS) < part) {
            spans.pop_front();
        }
        if spans.back().is_none_or(|span| span.part != part) {
            spans.push_back(Span { part, ..Span::default() });
        }
        let last = spans.len() - 1;
        &mut spans[last]
    }
}
