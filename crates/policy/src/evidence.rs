//! Evidence about versions, and the test that halts a bad one.
//!
//! Each instance counts outcomes by epoch of the wall clock; counts are merged
//! over peers. The test is a mixture of betting e-processes, which depends on
//! the counts alone and not on their order, and stays valid at every look.

use std::collections::{BTreeMap, HashMap};

use config::Name;
use serde::{Deserialize, Serialize};

/// The length of an epoch in milliseconds.
pub const EPOCH_MS: u64 = 60_000;
/// How many epochs are kept and looked at.
const EPOCHS: u64 = 10;
/// Ratings are counted in this many bins from 0 to 1.
const BINS: usize = 11;
/// The chance of a false halt that one test may take.
const ALPHA: f64 = 1e-4;
/// What a version may fail more often than the others, as a share.
const ERROR_MARGIN: f64 = 0.03;
/// What a version may be slow more often than the others, as a share.
const SLOW_MARGIN: f64 = 0.15;
/// What a version may be rated below its expectation.
const RATING_MARGIN: f64 = 0.08;
/// Bets as parts of the largest bet that can't lose everything.
const BETS: [f64; 5] = [0.05, 0.15, 0.35, 0.6, 0.9];

/// A version of a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionKey {
    /// The route.
    pub route: Name,
    /// The version.
    pub version: Name,
}

/// A halt, which holds for one generation of a version and is never undone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HaltKey {
    /// The route.
    pub route: Name,
    /// The version.
    pub version: Name,
    /// The generation of the version that is halted.
    pub generation: u64,
}

/// Why a version is halted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It fails too often.
    Errors,
    /// It is too often slow.
    Slow,
    /// It is rated too low.
    Ratings,
}

/// Counts of one version's outcomes in one epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Whole answers.
    pub ok: u32,
    /// Failures.
    pub errors: u32,
    /// First bytes in time.
    pub fast: u32,
    /// First bytes that were late.
    pub slow: u32,
    /// Ratings by bin.
    pub ratings: [u32; BINS],
}

impl Tally {
    /// Adds the counts of another.
    pub fn add(&mut self, other: &Tally) {
        self.ok += other.ok;
        self.errors += other.errors;
        self.fast += other.fast;
        self.slow += other.slow;
        for (mine, theirs) in self.ratings.iter_mut().zip(other.ratings) {
            *mine += theirs;
        }
    }

    fn rate(&mut self, score: f64) {
        let bin = (score.clamp(0.0, 1.0) * (BINS - 1) as f64).round() as usize;
        self.ratings[bin] += 1;
    }
}

/// One row of an instance's evidence, as peers exchange it.
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

/// All evidence that an instance has: its own and its peers'.
#[derive(Debug, Default)]
pub struct Evidence {
    own: HashMap<VersionKey, Epochs>,
    peers: HashMap<(Name, u64), HashMap<VersionKey, Epochs>>,
}

impl Evidence {
    /// Counts a whole answer or a failure of the instance's own.
    pub fn outcome(&mut self, key: &VersionKey, epoch: u64, ok: bool) {
        let tally = self.own_tally(key, epoch);
        match ok {
            true => tally.ok += 1,
            false => tally.errors += 1,
        }
    }

    /// Counts a first byte of the instance's own.
    pub fn first_byte(&mut self, key: &VersionKey, epoch: u64, slow: bool) {
        let tally = self.own_tally(key, epoch);
        match slow {
            true => tally.slow += 1,
            false => tally.fast += 1,
        }
    }

    /// Counts a rating of the instance's own.
    pub fn rating(&mut self, key: &VersionKey, epoch: u64, score: f64) {
        self.own_tally(key, epoch).rate(score);
    }

    /// Takes over a peer's counts, which replace its earlier ones of the epoch.
    pub fn merge(&mut self, peer: &(Name, u64), rows: &[EvidenceRow]) {
        let theirs = self.peers.entry(peer.clone()).or_default();
        for row in rows {
            theirs.entry(row.key.clone()).or_default().insert(row.epoch, row.tally);
        }
    }

    /// The instance's own counts of this epoch and the one before.
    pub fn recent(&self, epoch: u64) -> Vec<EvidenceRow> {
        let mut rows = Vec::new();
        for (key, epochs) in &self.own {
            for (epoch, tally) in epochs.range(epoch.saturating_sub(1)..) {
                rows.push(EvidenceRow { key: key.clone(), epoch: *epoch, tally: *tally });
            }
        }
        rows
    }

    /// The counts of a version since each kept epoch, the latest start first.
    pub fn since(&self, key: &VersionKey, epoch: u64) -> Vec<Tally> {
        let oldest = epoch.saturating_sub(EPOCHS - 1);
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

    /// Forgets epochs that are no longer looked at.
    pub fn expire(&mut self, epoch: u64) {
        let oldest = epoch.saturating_sub(EPOCHS - 1);
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

/// Judges a version by its counts since each epoch.
///
/// `others` are the counts of the route's other versions over all epochs, and
/// `quality` is the mean rating that the version is expected to have.
pub fn judge(since: &[Tally], others: &Tally, quality: f64) -> Option<Verdict> {
    let bar = (since.len().max(1) as f64 / ALPHA).ln();
    let errors = baseline(others.errors, others.ok) + ERROR_MARGIN;
    let slow = baseline(others.slow, others.fast) + SLOW_MARGIN;
    let poor = 1.0 - (quality - RATING_MARGIN).max(0.0);
    for tally in since {
        if log_e(&[(1.0, tally.errors), (0.0, tally.ok)], errors) > bar {
            return Some(Verdict::Errors);
        }
        if log_e(&[(1.0, tally.slow), (0.0, tally.fast)], slow) > bar {
            return Some(Verdict::Slow);
        }
        let bins = tally.ratings.iter().enumerate();
        let bins: Vec<(f64, u32)> = bins.map(|(i, n)| (badness(i), *n)).collect();
        if log_e(&bins, poor) > bar {
            return Some(Verdict::Ratings);
        }
    }
    None
}

fn badness(bin: usize) -> f64 {
    1.0 - bin as f64 / (BINS - 1) as f64
}

/// The upper end of what the others' share of bad outcomes may be.
fn baseline(bad: u32, good: u32) -> f64 {
    let n = f64::from(bad) + f64::from(good);
    let share = (f64::from(bad) + 0.5) / (n + 50.0);
    share + 2.0 * (share * (1.0 - share) / (n + 50.0)).sqrt()
}

/// The logarithm of the evidence against "the mean of the outcomes is at most `mean`".
///
/// `counts` are outcomes from 0 to 1 and how often each came.
fn log_e(counts: &[(f64, u32)], mean: f64) -> f64 {
    if mean >= 0.95 {
        return 0.0;
    }
    let logs = BETS.map(|part| {
        let bet = part / mean;
        let gain = |(x, n): &(f64, u32)| f64::from(*n) * (1.0 + bet * (x - mean)).ln();
        counts.iter().map(gain).sum::<f64>()
    });
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - most).exp()).sum();
    most + (sum / BETS.len() as f64).ln()
}
