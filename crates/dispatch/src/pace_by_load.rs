//! Compares the pace of both versions of a rollout at like load.
//!
//! Designed for rollouts in which the servers of one version are idle while those of the other
//! carry load, which makes answers slower.

use serde::{Deserialize, Serialize};

use crate::rollout::Side;

/// Number of ranges of load.
const RANGES: usize = 8;
/// Number of ranges per load that fills the slots.
const RANGES_PER_SLOTS: f64 = 4.0;
/// Minimum number of answers of the old version in a range.
const MIN_REFERENCE_ANSWERS: u32 = 20;

/// The paces of some answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct PaceSums {
    answers: u32,
    /// Sum of the paces in thousandths.
    sum: u64,
    /// Sum of their squares in thousandths.
    squares: u64,
}

impl PaceSums {
    fn record(&mut self, pace: f64) {
        self.answers += 1;
        self.sum += (pace * 1e3) as u64;
        self.squares += (pace * pace * 1e3) as u64;
    }

    fn add(&mut self, other: &PaceSums) {
        self.answers += other.answers;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    fn mean(&self) -> f64 {
        self.sum as f64 / 1e3 / f64::from(self.answers.max(1))
    }
}

/// The paces of both versions by ranges of load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceByLoad {
    old: [PaceSums; RANGES],
    new: [PaceSums; RANGES],
}

/// The pace of a new version compared with that of the old one at like load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PaceComparison {
    /// Number of answers of the new version that were compared.
    pub answers: u32,
    /// Their mean pace.
    pub mean: f64,
    /// The standard error of the mean.
    pub error: f64,
    /// The pace of the old version at the same loads.
    pub expected: f64,
}

impl PaceByLoad {
    /// Records how many times as long as like answers an answer took; `load` is the number of
    /// requests on its server, waiting ones included, as a fraction of the slots.
    pub fn record(&mut self, side: Side, load: f64, pace: f64) {
        let range = ((load * RANGES_PER_SLOTS) as usize).min(RANGES - 1);
        match side {
            Side::Old => self.old[range].record(pace),
            Side::New => self.new[range].record(pace),
        }
    }

    /// Adds the paces of others.
    pub fn add(&mut self, other: &PaceByLoad) {
        let pairs = self.old.iter_mut().zip(&other.old).chain(self.new.iter_mut().zip(&other.new));
        for (own, sums) in pairs {
            own.add(sums);
        }
    }

    /// Compares the answers of the new version with those of the old one in the same range of
    /// load or, if they are too few, in the next higher one with enough. Answers at a higher load
    /// than the old version had are left out.
    pub fn compare(&self) -> Option<PaceComparison> {
        let mut reference = None;
        let mut compared = PaceSums::default();
        let mut expected = 0.0;
        for (old, new) in self.old.iter().zip(&self.new).rev() {
            if old.answers >= MIN_REFERENCE_ANSWERS {
                reference = Some(old.mean());
            }
            let Some(reference) = reference else { continue };
            compared.add(new);
            expected += reference * f64::from(new.answers);
        }
        let answers = f64::from(compared.answers);
        if compared.answers == 0 {
            return None;
        }
        let mean = compared.mean();
        let variance = (compared.squares as f64 / 1e3 / answers - mean * mean).max(0.0);
        let error = (variance / answers).sqrt();
        Some(PaceComparison {
            answers: compared.answers,
            mean,
            error,
            expected: expected / answers,
        })
    }
}
