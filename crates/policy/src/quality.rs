//! Estimates the quality of versions from ratings, per route and prompt length bucket.

use std::collections::HashMap;

use config::{Name, Version};
use serde::{Deserialize, Serialize};

use crate::event::Rating;

/// The assumed variance of ratings until there are [`MIN_VARIANCE_RATINGS`].
const INITIAL_VARIANCE: f64 = 0.04;
/// The number of ratings from which their variance is computed.
const MIN_VARIANCE_RATINGS: f64 = 10.0;
/// The lower bound of the computed variance.
const MIN_VARIANCE: f64 = 0.0025;
/// The distance of the lower bound below the mean, in standard errors.
const LOWER_BOUND_STD_ERRORS: f64 = 1.0;
/// The maximum effective number of ratings; beyond it, older ratings lose weight.
const MAX_EFFECTIVE_RATINGS: f64 = 2_000.0;

/// Rating statistics of one version for one route and length bucket.
#[derive(Debug, Clone, Copy, Default)]
struct RatingStats {
    count: f64,
    sum: f64,
    sum_of_squares: f64,
}

/// One row of the quality estimates in the status dump.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QualityRow {
    /// The route.
    pub route: Name,
    /// The version.
    pub version: Name,
    /// The prompt length bucket.
    pub bucket: u8,
    /// The number of ratings.
    pub count: f64,
    /// The mean rating.
    pub mean: f64,
}

/// The rating statistics of all versions.
#[derive(Debug, Default)]
pub struct Quality {
    stats: HashMap<(Name, Name, u8), RatingStats>,
}

impl Quality {
    /// Records a rating.
    pub fn record_rating(&mut self, rating: &Rating) {
        let key = (rating.route.clone(), rating.version.clone(), rating.bucket);
        let stats = self.stats.entry(key).or_default();
        if stats.count >= MAX_EFFECTIVE_RATINGS {
            let decay = 1.0 - 1.0 / MAX_EFFECTIVE_RATINGS;
            stats.count *= decay;
            stats.sum *= decay;
            stats.sum_of_squares *= decay;
        }
        stats.count += 1.0;
        stats.sum += rating.score;
        stats.sum_of_squares += rating.score * rating.score;
    }

    /// Returns the estimated mean rating of a version for a length bucket and the lower
    /// bound of the estimate.
    pub fn estimate(&self, route: &Name, version: &Version, bucket: u8) -> (f64, f64) {
        let key = (route.clone(), version.name.clone(), bucket);
        let stats = self.stats.get(&key).copied().unwrap_or_default();
        let prior = f64::from(version.evidence);
        let count = prior + stats.count;
        if count == 0.0 {
            return (version.quality, 0.0);
        }
        let mean = (version.quality * prior + stats.sum) / count;
        let variance = stats.variance();
        (mean, mean - LOWER_BOUND_STD_ERRORS * (variance / count).sqrt())
    }

    /// Returns the statistics of all versions, in no particular order.
    pub fn rows(&self) -> Vec<QualityRow> {
        let row =
            |((route, version, bucket), stats): (&(Name, Name, u8), &RatingStats)| QualityRow {
                route: route.clone(),
                version: version.clone(),
                bucket: *bucket,
                count: stats.count,
                mean: stats.sum / stats.count.max(1.0),
            };
        self.stats.iter().map(row).collect()
    }
}

impl RatingStats {
    fn variance(&self) -> f64 {
        if self.count < MIN_VARIANCE_RATINGS {
            return INITIAL_VARIANCE;
        }
        let mean = self.sum / self.count;
        (self.sum_of_squares / self.count - mean * mean).max(MIN_VARIANCE)
    }
}
