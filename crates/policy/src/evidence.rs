//! Evidence about versions, and the statistical test that halts bad ones.
//!
//! Each instance counts outcomes per epoch of the wall clock, and the counts of all
//! peers are merged. The test is a mixture of betting e-processes. It depends only on
//! the counts, not on their order, and remains valid under continuous monitoring.

use std::collections::{BTreeMap, HashMap};

use config::Name;
use serde::{Deserialize, Serialize};

/// The length of an epoch in milliseconds.
pub const EPOCH_MS: u64 = 60_000;
/// The number of epochs that are kept and tested.
const EPOCHS_KEPT: u64 = 10;
/// The number of bins for ratings from 0 to 1.
const BINS: usize = 11;
/// The maximum probability of a false halt per test.
const ALPHA: f64 = 1e-4;
/// How much higher than the other versions' a version's error rate may be.
const ERROR_MARGIN: f64 = 0.03;
/// How much higher than the other versions' a version's share of slow first bytes may
/// be.
const SLOW_MARGIN: f64 = 0.15;
/// How far a version's mean rating may lie below its expected value.
const RATING_MARGIN: f64 = 0.08;
/// The prior counts of bad and of all outcomes in the baseline of the other versions.
const BASELINE_PRIOR: (f64, f64) = (0.5, 50.0);
/// The distance of the baseline's upper bound above its estimate, in standard errors.
const BASELINE_STD_ERRORS: f64 = 2.0;
/// Hypotheses with a mean of at least this are not tested.
const MAX_TESTED_MEAN: f64 = 0.95;
/// The bets of the mixture, as fractions of the largest bet that cannot lose the whole
/// stake.
const BET_FRACTIONS: [f64; 5] = [0.05, 0.15, 0.35, 0.6, 0.9];

/// A version of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionKey {
    /// The route.
    pub route: Name,
    /// The version.
    pub version: Name,
}

/// The key of a halt. A halt applies to one generation of a version and is never
/// revoked.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HaltKey {
    /// The route.
    pub route: Name,
    /// The version.
    pub version: Name,
    /// The halted generation of the version.
    pub generation: u64,
}

/// Why a version is halted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HaltReason {
    /// The version fails too often.
    Errors,
    /// The version is slow too often.
    Slow,
    /// The version's ratings are too low.
    Ratings,
}

/// Outcome counts of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The number of complete answers.
    pub ok: u32,
    /// The number of failures.
    pub errors: u32,
    /// The number of first bytes that were in time.
    pub fast: u32,
    /// The number of first bytes that were late.
    pub slow: u32,
    /// The number of ratings per bin.
    pub ratings: [u32; BINS],
}

impl Tally {
    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Tally) {
        self.ok += other.ok;
        self.errors += other.errors;
        self.fast += other.fast;
        self.slow += other.slow;
        for (own, theirs) in self.ratings.iter_mut().zip(other.ratings) {
            *own += theirs;
        }
    }

    fn add_rating(&mut self, score: f64) {
        let bin = (score.clamp(0.0, 1.0) * (BINS - 1) as f64).round() as usize;
        self.ratings[bin] += 1;
    }
}

/// One row of an instance's evidence, as exchanged between peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvidenceRow {
    /// The version.
    pub key: VersionKey,
    /// The epoch: wall-clock time divided by [`EPOCH_MS`].
    pub epoch: u64,
    /// The counts.
    pub tally: Tally,
}

type Epochs = BTreeMap<u64, Tally>;

/// The evidence known to an instance: its own and its peers'.
#[derive(Debug, Default)]
pub struct Evidence {
    own: HashMap<VersionKey, Epochs>,
    peers: HashMap<(Name, u64), HashMap<VersionKey, Epochs>>,
}

impl Evidence {
    /// Counts a complete answer or a failure observed by this instance.
    pub fn record_outcome(&mut self, key: &VersionKey, epoch: u64, ok: bool) {
        let tally = self.own_tally(key, epoch);
        match ok {
            true => tally.ok += 1,
            false => tally.errors += 1,
        }
    }

    /// Counts a first byte observed by this instance.
    pub fn record_first_byte(&mut self, key: &VersionKey, epoch: u64, slow: bool) {
        let tally = self.own_tally(key, epoch);
        match slow {
            true => tally.slow += 1,
            false => tally.fast += 1,
        }
    }

    /// Counts a rating received by this instance.
    pub fn record_rating(&mut self, key: &VersionKey, epoch: u64, score: f64) {
        self.own_tally(key, epoch).add_rating(score);
    }

    /// Merges a peer's counts, which replace its earlier counts of the same epoch.
    pub fn merge(&mut self, peer: &(Name, u64), rows: &[EvidenceRow]) {
        let theirs = self.peers.entry(peer.clone()).or_default();
        for row in rows {
            theirs.entry(row.key.clone()).or_default().insert(row.epoch, row.tally);
        }
    }

    /// Returns the instance's own counts of the current and the previous epoch.
    pub fn recent_rows(&self, epoch: u64) -> Vec<EvidenceRow> {
        let mut rows = Vec::new();
        for (key, epochs) in &self.own {
            for (epoch, tally) in epochs.range(epoch.saturating_sub(1)..) {
                rows.push(EvidenceRow { key: key.clone(), epoch: *epoch, tally: *tally });
            }
        }
        rows
    }

    /// Returns the cumulative counts of a version from the start of each kept epoch
    /// until now, latest epoch first.
    pub fn cumulative(&self, key: &VersionKey, epoch: u64) -> Vec<Tally> {
        let oldest = epoch.saturating_sub(EPOCHS_KEPT - 1);
        let mut sums = Vec::new();
        let mut sum = Tally::default();
        for start in (oldest..=epoch).rev() {
            let peers = self.peers.values().filter_map(|versions| versions.get(key));
            for epochs in self.own.get(key).into_iter().chain(peers) {
                if let Some(tally) = epochs.get(&start) {
                    sum.add(tally);
                }
            }
            sums.push(sum);
        }
        sums
    }

    /// Removes epochs that are no longer tested.
    pub fn expire(&mut self, epoch: u64) {
        let oldest = epoch.saturating_sub(EPOCHS_KEPT - 1);
        let trim = |versions: &mut HashMap<VersionKey, Epochs>| {
            versions.retain(|_, epochs| {
                epochs.retain(|epoch, _| *epoch >= oldest);
                !epochs.is_empty()
            });
        };
        trim(&mut self.own);
        self.peers.retain(|_, versions| {
            trim(versions);
            !versions.is_empty()
        });
    }

    fn own_tally(&mut self, key: &VersionKey, epoch: u64) -> &mut Tally {
        self.own.entry(key.clone()).or_default().entry(epoch).or_default()
    }
}

/// Tests a version by its cumulative counts since each epoch.
///
/// `others` holds the counts of the route's other versions over all epochs, and
/// `quality` is the expected mean rating of the version.
pub fn evaluate(cumulative: &[Tally], others: &Tally, quality: f64) -> Option<HaltReason> {
    let threshold = (cumulative.len().max(1) as f64 / ALPHA).ln();
    let max_error_rate = baseline_upper_bound(others.errors, others.ok) + ERROR_MARGIN;
    let max_slow_rate = baseline_upper_bound(others.slow, others.fast) + SLOW_MARGIN;
    let max_loss = 1.0 - (quality - RATING_MARGIN).max(0.0);
    for tally in cumulative {
        if log_e_value(&[(1.0, tally.errors), (0.0, tally.ok)], max_error_rate) > threshold {
            return Some(HaltReason::Errors);
        }
        if log_e_value(&[(1.0, tally.slow), (0.0, tally.fast)], max_slow_rate) > threshold {
            return Some(HaltReason::Slow);
        }
        let bins = tally.ratings.iter().enumerate();
        let bins: Vec<(f64, u32)> = bins.map(|(i, n)| (loss(i), *n)).collect();
        if log_e_value(&bins, max_loss) > threshold {
            return Some(HaltReason::Ratings);
        }
    }
    None
}

/// Returns the loss of a rating bin: 0 for the best rating, 1 for the worst.
fn loss(bin: usize) -> f64 {
    1.0 - bin as f64 / (BINS - 1) as f64
}

/// Returns an upper confidence bound of the other versions' share of bad outcomes.
fn baseline_upper_bound(bad: u32, good: u32) -> f64 {
    let (prior_bad, prior_total) = BASELINE_PRIOR;
    let total = f64::from(bad) + f64::from(good) + prior_total;
    let share = (f64::from(bad) + prior_bad) / total;
    share + BASELINE_STD_ERRORS * (share * (1.0 - share) / total).sqrt()
}

/// Returns the logarithm of the e-value against the hypothesis "the mean outcome is at
/// most `mean`".
///
/// `counts` holds outcomes from 0 to 1 with the number of times that each occurred.
fn log_e_value(counts: &[(f64, u32)], mean: f64) -> f64 {
    if mean >= MAX_TESTED_MEAN {
        return 0.0;
    }
    let logs = BET_FRACTIONS.map(|fraction| {
        let bet = fraction / mean;
        let log_gain = |(x, n): &(f64, u32)| f64::from(*n) * (1.0 + bet * (x - mean)).ln();
        counts.iter().map(log_gain).sum::<f64>()
    });
    let max = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - max).exp()).sum();
    max + (sum / BET_FRACTIONS.len() as f64).ln()
}
