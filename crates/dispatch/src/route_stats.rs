//! Answers of both versions of a rollout on one route.
//!
//! Designed for versions that fail on one route only, whose failures are few among the
//! answers of all routes, or only while their servers carry load.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::pace_by_load::PaceByLoad;
use crate::regression::failure_evidence;
use crate::rollout::Side;

/// Minimum number of failed answers for a decision.
const MIN_FAILURES: u32 = 3;
/// The failure rate of the new version must exceed this multiple of the old one's.
const FAILURE_RATIO_LIMIT: f64 = 3.0;
/// Margin by which the failure rate must exceed that multiple. Larger than for all routes
/// together, as each of many routes may exceed it by chance.
const FAILURE_RATE_MARGIN: f64 = 0.15;
/// How many times likelier the failures must be if the new version is worse.
const MIN_LIKELIHOOD_RATIO: f64 = 20.0;
/// Weight of all answers in the failure rate of some of them, as a number of answers.
const PRIOR_ANSWERS: f64 = 20.0;
/// Upper limit of a failure rate that is taken for likely.
const MAX_LIKELY_RATE: f64 = 0.95;
/// Lower ends of the ranges of load in which answers are counted, as fractions of the slots.
/// Below the first one there is no range of its own.
const LOAD_LEVELS: [f64; LEVELS - 1] = [0.25, 0.5, 0.75];
/// Maximum number of servers whose answers are reported.
const MAX_REPORTED_SERVERS: usize = 8;

/// Number of levels of load: all, and at least each of [`LOAD_LEVELS`].
pub(crate) const LEVELS: usize = 4;

/// Number of answers, and how many of them failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of answers.
    pub answers: u32,
    /// Number of failed answers.
    pub bad: u32,
}

impl Counts {
    fn record(&mut self, bad: bool) {
        self.answers += 1;
        self.bad += u32::from(bad);
    }

    /// Returns the sum of both.
    pub fn plus(self, other: Counts) -> Counts {
        Counts { answers: self.answers + other.answers, bad: self.bad + other.bad }
    }

    /// Returns what is left without some of the failures.
    pub(crate) fn without_failures(self, bad: u32) -> Counts {
        Counts { answers: self.answers.saturating_sub(bad), bad: self.bad.saturating_sub(bad) }
    }

    fn rate(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.answers.max(1))
    }

    /// Returns a failure rate that is likely not exceeded.
    pub(crate) fn likely_rate(&self) -> f64 {
        self.likely_rate_at(*self)
    }

    /// Returns a failure rate that some of these answers likely don't exceed.
    pub(crate) fn likely_rate_at(&self, part: Counts) -> f64 {
        let all = (f64::from(self.bad) + 0.5) / (f64::from(self.answers) + 1.0);
        let answers = f64::from(part.answers);
        let rate = (f64::from(part.bad) + PRIOR_ANSWERS * all) / (answers + PRIOR_ANSWERS);
        let error = (rate * (1.0 - rate) / (answers + 1.0)).sqrt();
        (rate + error).min(MAX_LIKELY_RATE)
    }
}

fn add_counts(own: &mut [Counts], other: &[Counts]) {
    for (own, counts) in own.iter_mut().zip(other) {
        *own = own.plus(*counts);
    }
}

/// Answers of the new version by server and range of load. Servers are told apart by the slot of
/// their hash in a set of 64.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCounts(BTreeMap<u8, [Counts; LEVELS]>);

impl ServerCounts {
    fn record(&mut self, server_hash: u64, level: usize, bad: bool) {
        let slot = (server_hash % 64) as u8;
        self.0.entry(slot).or_default()[level].record(bad);
    }

    /// Adds the counts of others.
    pub(crate) fn add(&mut self, other: &ServerCounts) {
        for (slot, counts) in &other.0 {
            add_counts(self.0.entry(*slot).or_default(), counts);
        }
    }

    /// Returns the number of failures.
    pub fn failures(&self) -> u32 {
        self.0.values().flatten().map(|counts| counts.bad).sum()
    }

    /// Returns the servers with the most failures and answers.
    fn relevant(&self) -> ServerCounts {
        let total = |counts: &[Counts; LEVELS]| {
            counts.iter().fold(Counts::default(), |sum, part| sum.plus(*part))
        };
        let mut servers: Vec<_> = self.0.iter().map(|(slot, counts)| (*slot, *counts)).collect();
        servers.sort_by_key(|(_, counts)| {
            let Counts { answers, bad } = total(counts);
            std::cmp::Reverse((bad, answers))
        });
        servers.truncate(MAX_REPORTED_SERVERS);
        ServerCounts(servers.into_iter().collect())
    }

    /// Returns the slot of the server with the most failures at a level of load or above.
    pub(crate) fn worst(&self, level: usize) -> Option<u8> {
        self.0.keys().copied().max_by_key(|slot| self.failures_of(*slot, level))
    }

    /// Returns the number of failures of a server at a level of load or above.
    pub(crate) fn failures_of(&self, slot: u8, level: usize) -> u32 {
        let ranges = self.0.get(&slot);
        ranges.map_or(0, |ranges| ranges[level..].iter().map(|counts| counts.bad).sum())
    }

    /// Returns the answers of a server by range of load.
    pub(crate) fn ranges_of(&self, slot: u8) -> Option<&[Counts; LEVELS]> {
        self.0.get(&slot)
    }
}

/// Answers by load, server and pace.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDetails {
    /// Answers of the old version at a load of at least 0.25, 0.5 and 0.75 of the slots.
    pub old: [Counts; LEVELS - 1],
    /// The same of the new version.
    pub new: [Counts; LEVELS - 1],
    /// Answers of the servers of the new version.
    pub servers: ServerCounts,
    /// Pace of both versions by load.
    pub pace: PaceByLoad,
}

/// An answer during a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutAnswer {
    /// Its version.
    pub side: Side,
    /// Whether it failed.
    pub bad: bool,
    /// Hash of the id of its server.
    pub server_hash: u64,
    /// Running requests on the server as a fraction of its slots.
    pub load: f64,
}

/// Answers of both versions on one route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteStats {
    /// Answers of the old version.
    pub old: Counts,
    /// Answers of the new version.
    pub new: Counts,
    /// Servers of the new version that failed an answer, as a set of 64 hashes.
    pub failing_servers: u64,
    /// Answers by load, server and pace.
    pub details: RouteDetails,
}

impl RouteStats {
    /// Records an answer.
    pub fn record(&mut self, answer: &RolloutAnswer) {
        let RolloutAnswer { side, bad, server_hash, load } = *answer;
        let level = LOAD_LEVELS.iter().filter(|min_load| load >= **min_load).count();
        let (all, by_load) = match side {
            Side::Old => (&mut self.old, &mut self.details.old),
            Side::New => (&mut self.new, &mut self.details.new),
        };
        all.record(bad);
        by_load[..level].iter_mut().for_each(|counts| counts.record(bad));
        if side == Side::New {
            self.details.servers.record(server_hash, level, bad);
            if bad {
                self.failing_servers |= 1 << (server_hash % 64);
            }
        }
    }

    /// Records the pace of an answer at a load; see [`PaceByLoad::record`].
    pub fn record_pace(&mut self, side: Side, load: f64, pace: f64) {
        self.details.pace.record(side, load, pace);
    }

    /// Returns the sum of some routes.
    pub fn sum<'a>(routes: impl Iterator<Item = &'a RouteStats>) -> RouteStats {
        routes.fold(RouteStats::default(), |mut sum, stats| {
            sum.add(stats);
            sum
        })
    }

    /// Adds the counts of other instances.
    pub fn add(&mut self, other: &RouteStats) {
        self.old = self.old.plus(other.old);
        self.new = self.new.plus(other.new);
        self.failing_servers |= other.failing_servers;
        self.details.add(&other.details);
    }

    /// Returns the answers of a version at a level of load or above.
    pub fn at(&self, side: Side, level: usize) -> Counts {
        let (all, by_load) = match side {
            Side::Old => (self.old, &self.details.old),
            Side::New => (self.new, &self.details.new),
        };
        level.checked_sub(1).map_or(all, |level| by_load[level])
    }

    /// Returns the answers of a version at each level of load or above.
    pub fn levels(&self, side: Side) -> [Counts; LEVELS] {
        std::array::from_fn(|level| self.at(side, level))
    }

    /// Returns the lower end of a level of load, as a fraction of the slots.
    pub fn min_load(level: usize) -> f64 {
        level.checked_sub(1).map_or(0.0, |level| LOAD_LEVELS[level])
    }

    /// Whether the new version is clearly worse than the old one on this route. `servers` is
    /// the number of its servers: where there are several, one that fails alone is no sign of
    /// a bad version.
    pub fn is_regression(&self, servers: usize) -> bool {
        let several_fail = self.failing_servers.count_ones() >= 2;
        self.new.bad >= MIN_FAILURES
            && self.new.rate() > FAILURE_RATIO_LIMIT * self.old.rate() + FAILURE_RATE_MARGIN
            && (several_fail || servers < 2)
            && failure_evidence(self.old.likely_rate(), self.new) >= MIN_LIKELIHOOD_RATIO.ln()
    }
}

impl RouteDetails {
    /// Adds the counts of others.
    pub fn add(&mut self, other: &RouteDetails) {
        add_counts(&mut self.old, &other.old);
        add_counts(&mut self.new, &other.new);
        self.servers.add(&other.servers);
        self.pace.add(&other.pace);
    }

    /// Returns what of them is reported to other instances.
    pub fn reported(&self) -> RouteDetails {
        RouteDetails { servers: self.servers.relevant(), ..self.clone() }
    }
}
