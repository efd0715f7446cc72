//! How fast a server is against what its pool expects.

use std::time::Duration;

use crate::settings::PROBE_EVERY;

/// The weight of a new sample.
const SAMPLE: f64 = 0.25;
/// The weight of a probe's sample.
const PROBE_SAMPLE: f64 = 0.6;
/// A server this many times slower than the median loses weight.
const SLOW: f64 = 1.6;
/// A server this many times slower than the median gets probes only.
const SUSPECT: f64 = 3.0;
/// One sample counts for at most this many times the expectation.
const MOST: f64 = 20.0;
/// The least weight that a server keeps.
const LEAST_WEIGHT: f64 = 0.02;

/// The pace of one server as a multiple of the expected time.
#[derive(Debug, Clone)]
pub struct Pace {
    ratio: f64,
    weight: f64,
    suspect: bool,
    next_probe: Duration,
    last_event: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            ratio: 1.0,
            weight: 1.0,
            suspect: false,
            next_probe: Duration::ZERO,
            last_event: Duration::ZERO,
        }
    }
}

impl Pace {
    /// Learns from a time that was observed against the expected one.
    pub fn observe(&mut self, observed: f64, expected: f64, now: Duration) {
        let rate = if self.suspect { PROBE_SAMPLE } else { SAMPLE };
        let sample = (observed / expected.max(1e-6)).clamp(0.1, MOST);
        self.ratio += rate * (sample - self.ratio);
        self.last_event = self.last_event.max(now);
    }

    /// Notes that a request was sent while none was in flight.
    pub fn begin(&mut self, now: Duration) {
        self.last_event = now;
    }

    /// Raises the ratio when nothing came for longer than expected.
    pub fn overdue(&mut self, expected: f64, now: Duration) {
        let waited = now.saturating_sub(self.last_event).as_secs_f64();
        let ratio = (waited / expected.max(0.02)).min(MOST);
        if ratio > SUSPECT {
            self.ratio = self.ratio.max(ratio);
        }
    }

    /// Lets an idle server's ratio fade towards the expected pace.
    pub fn fade(&mut self) {
        self.ratio += 0.02 * (1.0 - self.ratio);
    }

    /// Sets the weight against the median ratio of the pool.
    pub fn review(&mut self, median: f64) {
        let relative = self.ratio / median.max(0.2);
        self.suspect = relative > SUSPECT;
        self.weight =
            if relative < SLOW { 1.0 } else { (SLOW / relative).powi(2).max(LEAST_WEIGHT) };
    }

    /// The ratio of observed to expected time.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// The share of its load that the server should get.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether the server gets probes only.
    pub fn suspect(&self) -> bool {
        self.suspect
    }

    /// Takes the right to probe, if one is due.
    pub fn take_probe(&mut self, now: Duration) -> bool {
        let due = now >= self.next_probe;
        if due {
            self.next_probe = now + PROBE_EVERY;
        }
        due
    }
}
