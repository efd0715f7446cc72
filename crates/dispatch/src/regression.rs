//! Judges from the answers of a rollout whether the new version fails more often.
//!
//! Designed for versions that fail only on some routes or only under load, for few answers, and
//! for old versions that fail at times as well. How much likelier the answers are if the new
//! version fails more often is compared with the number of false alarms that is acceptable
//! (a sequential probability ratio test).

use std::collections::HashMap;

use config::Name;

use crate::rollout::Side;
use crate::route_stats::{Counts, LEVELS, RouteStats};

/// Fraction of the sound answers that a bad version fails.
const FAILURE_INCREASE: f64 = 0.2;
/// Acceptable probability of a false alarm.
const FALSE_ALARM: f64 = 2e-3;
/// The same without the answers of the server that fails most.
const FALSE_ALARM_ELSEWHERE: f64 = 0.1;
/// Minimum number of answers of a server at a lower load that show that the server is sound.
const MIN_UNLOADED_ANSWERS: u32 = 8;

/// Returns the natural logarithm of how many times likelier the answers of a version are if it
/// fails some more than this rate.
pub fn failure_evidence(rate: f64, new: Counts) -> f64 {
    let failure = (1.0 + FAILURE_INCREASE * (1.0 - rate) / rate.max(1e-6)).ln();
    let success = (1.0 - FAILURE_INCREASE).ln();
    let good = new.answers.saturating_sub(new.bad);
    f64::from(new.bad) * failure + f64::from(good) * success
}

/// Returns the evidence of all routes together, without the failures of the server that fails
/// most unless it is the only one.
pub fn pooled_evidence(routes: &HashMap<Name, RouteStats>, servers: usize) -> f64 {
    let answers = RouteAnswers::of_all(routes);
    let worst = answers.sum.details.servers.worst(0).filter(|_| servers >= 2);
    answers.evidence(0, worst)
}

/// The answers that show that a version fails more often.
#[derive(Debug, Clone, PartialEq)]
pub struct Regression {
    /// Their route; `None` if they are those of all routes.
    pub route: Option<Name>,
    /// Their load or more, as a fraction of the slots.
    pub load: f64,
    /// The answers of the old version.
    pub old: Counts,
    /// The answers of the new version.
    pub new: Counts,
}

/// Returns answers that show that the new version fails more often, on one route or all, at a
/// level of load or above, or that it is clearly worse on one. `servers` is the number of its
/// servers.
pub fn find_regression(routes: &HashMap<Name, RouteStats>, servers: usize) -> Option<Regression> {
    let by_route = routes.iter().map(|(route, stats)| (Some(route), RouteAnswers::of(stats)));
    let answers: Vec<_> = by_route.chain([(None, RouteAnswers::of_all(routes))]).collect();
    let likely = (0..LEVELS).find_map(|level| {
        let (route, answers) = answers.iter().find(|(_, answers)| answers.fail(level, servers))?;
        let counts = |side| answers.sum.at(side, level);
        let (old, new) = (counts(Side::Old), counts(Side::New));
        Some(Regression { route: route.cloned(), load: RouteStats::min_load(level), old, new })
    });
    likely.or_else(|| {
        let (route, stats) = routes.iter().find(|(_, stats)| stats.is_regression(servers))?;
        let route = Some(route.clone());
        Some(Regression { route, load: 0.0, old: stats.old, new: stats.new })
    })
}

/// The answers on some routes.
struct RouteAnswers<'a> {
    routes: Vec<&'a RouteStats>,
    sum: RouteStats,
}

impl<'a> RouteAnswers<'a> {
    fn of(stats: &'a RouteStats) -> Self {
        RouteAnswers { routes: vec![stats], sum: stats.clone() }
    }

    fn of_all(routes: &'a HashMap<Name, RouteStats>) -> Self {
        RouteAnswers { routes: routes.values().collect(), sum: RouteStats::sum(routes.values()) }
    }

    /// Returns the evidence at a level of load or above, without the failures of a server if one
    /// is given.
    ///
    /// Each route is compared with itself, as the versions may get different shares of a route
    /// that fails often with either.
    fn evidence(&self, level: usize, without: Option<u8>) -> f64 {
        let of_route = self.routes.iter().map(|stats| {
            let failures = without.map_or(0, |slot| stats.details.servers.failures_of(slot, level));
            let rate = stats.old.likely_rate_at(stats.at(Side::Old, level));
            failure_evidence(rate, stats.at(Side::New, level).without_failures(failures))
        });
        of_route.sum()
    }

    /// Whether the new version fails more often at a level of load or above, and not only because
    /// one of several servers does.
    fn fail(&self, level: usize, servers: usize) -> bool {
        if self.evidence(level, None) < -FALSE_ALARM.ln() {
            return false;
        }
        let Some(worst) = self.sum.details.servers.worst(level) else { return servers < 2 };
        servers < 2
            || self.evidence(level, Some(worst)) >= -FALSE_ALARM_ELSEWHERE.ln()
            || self.is_sound_below(worst, level)
    }

    /// Whether a server of the new version is sound at a lower load, so that it fails of the load.
    fn is_sound_below(&self, server: u8, level: usize) -> bool {
        let rate = self.sum.old.likely_rate();
        let Some(ranges) = self.sum.details.servers.ranges_of(server) else { return false };
        ranges[..=level].iter().any(|counts| {
            counts.answers >= MIN_UNLOADED_ANSWERS && failure_evidence(rate, *counts) < 0.0
        })
    }
}
