//! The quality of versions, learnt from ratings by route and length class.

use std::collections::HashMap;

use config::{Name, Version};
use serde::{Deserialize, Serialize};

use crate::event::Rating;

/// The spread that a rating is taken to have until enough are known.
const FIRST_VARIANCE: f64 = 0.04;
/// How many standard errors the lower bound lies below the mean.
const CAUTION: f64 = 1.0;
/// Older ratings lose weight so that the sum stands for at most this many.
const MEMORY: f64 = 2_000.0;

/// What is known of one version on one class of work.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    count: f64,
    sum: f64,
    squares: f64,
}

/// One row of the learnt quality, for the dump.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QualityRow {
    /// The route.
    pub route: Name,
    /// The version.
    pub version: Name,
    /// The length class.
    pub bucket: u8,
    /// The number of ratings.
    pub count: f64,
    /// The mean rating.
    pub mean: f64,
}

/// The learnt quality of all versions.
#[derive(Debug, Default)]
pub struct Quality {
    known: HashMap<(Name, Name, u8), Known>,
}

impl Quality {
    /// Learns from a rating.
    pub fn learn(&mut self, rating: &Rating) {
        let key = (rating.route.clone(), rating.version.clone(), rating.bucket);
        let known = self.known.entry(key).or_default();
        if known.count >= MEMORY {
            let keep = 1.0 - 1.0 / MEMORY;
            known.count *= keep;
            known.sum *= keep;
            known.squares *= keep;
        }
        known.count += 1.0;
        known.sum += rating.score;
        known.squares += rating.score * rating.score;
    }

    /// The mean and the cautious lower bound of a version on a class of work.
    pub fn estimate(&self, route: &Name, version: &Version, bucket: u8) -> (f64, f64) {
        let key = (route.clone(), version.name.clone(), bucket);
        let known = self.known.get(&key).copied().unwrap_or_default();
        let prior = f64::from(version.evidence);
        let count = prior + known.count;
        if count == 0.0 {
            return (version.quality, 0.0);
        }
        let mean = (version.quality * prior + known.sum) / count;
        let variance = known.variance();
        (mean, mean - CAUTION * (variance / count).sqrt())
    }

    /// Everything that was learnt.
    pub fn rows(&self) -> Vec<QualityRow> {
        let row = |((route, version, bucket), known): (&(Name, Name, u8), &Known)| QualityRow {
            route: route.clone(),
            version: version.clone(),
            bucket: *bucket,
            count: known.count,
            mean: known.sum / known.count.max(1.0),
        };
        self.known.iter().map(row).collect()
    }
}

impl Known {
    fn variance(&self) -> f64 {
        if self.count < 10.0 {
            return FIRST_VARIANCE;
        }
        let mean = self.sum / self.count;
        (self.squares / self.count - mean * mean).max(0.0025)
    }
}
