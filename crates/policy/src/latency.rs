//! Tracks the latency of a server relative to what its pool expects, and detects
//! outliers.

use std::time::Duration;

use crate::settings::PROBE_INTERVAL;

/// The weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.25;
/// The weight of a new sample while the server is an outlier and receives only probes.
const PROBE_SAMPLE_WEIGHT: f64 = 0.6;
/// A server this many times slower than the median has its weight reduced.
const SLOW_RATIO: f64 = 1.6;
/// A server this many times slower than the median is an outlier and receives only
/// probes.
const OUTLIER_RATIO: f64 = 3.0;
/// The upper bound of a single sample's ratio to the expected time.
const MAX_RATIO: f64 = 20.0;
/// The lower bound of a server's weight.
const MIN_WEIGHT: f64 = 0.02;
/// The share of its distance from 1 that an idle server's ratio loses per weight update.
const IDLE_DECAY: f64 = 0.02;

/// A moving average of one server's latency as a multiple of the expected time.
#[derive(Debug, Clone)]
pub struct LatencyTracker {
    ratio: f64,
    weight: f64,
    outlier: bool,
    next_probe: Duration,
    last_activity: Duration,
}

impl Default for LatencyTracker {
    fn default() -> Self {
        LatencyTracker {
            ratio: 1.0,
            weight: 1.0,
            outlier: false,
            next_probe: Duration::ZERO,
            last_activity: Duration::ZERO,
        }
    }
}

impl LatencyTracker {
    /// Records an observed time and the time that was expected, in seconds.
    pub fn observe(&mut self, observed_s: f64, expected_s: f64, now: Duration) {
        let sample_weight = if self.outlier { PROBE_SAMPLE_WEIGHT } else { SAMPLE_WEIGHT };
        let sample = (observed_s / expected_s.max(1e-6)).clamp(0.1, MAX_RATIO);
        self.ratio += sample_weight * (sample - self.ratio);
        self.last_activity = self.last_activity.max(now);
    }

    /// Records that a request was sent while none was in flight.
    pub fn request_started(&mut self, now: Duration) {
        self.last_activity = now;
    }

    /// Raises the ratio if the server has sent nothing for much longer than expected.
    pub fn observe_overdue(&mut self, expected_s: f64, now: Duration) {
        let waited_s = now.saturating_sub(self.last_activity).as_secs_f64();
        let ratio = (waited_s / expected_s.max(0.02)).min(MAX_RATIO);
        if ratio > OUTLIER_RATIO {
            self.ratio = self.ratio.max(ratio);
        }
    }

    /// Moves the ratio of an idle server towards 1.
    pub fn decay(&mut self) {
        self.ratio += IDLE_DECAY * (1.0 - self.ratio);
    }

    /// Updates the weight and the outlier state from the pool's median ratio.
    pub fn update_weight(&mut self, median_ratio: f64) {
        let relative = self.ratio / median_ratio.max(0.2);
        self.outlier = relative > OUTLIER_RATIO;
        self.weight = if relative < SLOW_RATIO {
            1.0
        } else {
            (SLOW_RATIO / relative).powi(2).max(MIN_WEIGHT)
        };
    }

    /// Returns the ratio of observed to expected time.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Returns the fraction of its normal load that the server should receive.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns whether the server is an outlier and receives only probes.
    pub fn is_outlier(&self) -> bool {
        self.outlier
    }

    /// Returns whether a probe is due, and schedules the next one if so.
    pub fn take_probe(&mut self, now: Duration) -> bool {
        let due = now >= self.next_probe;
        if due {
            self.next_probe = now + PROBE_INTERVAL;
        }
        due
    }
}
