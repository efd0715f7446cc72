//! Tracks whether the instance's configuration is confirmed.

use std::time::Duration;

use crate::core::Freshness;

/// A lease on the instance's configuration.
///
/// The lease expires by the monotonic clock. After that the configuration is stale and
/// requests wait until the next confirmation attempt succeeds or fails. A process that
/// was paused therefore learns about changes it missed before it sends anything.
#[derive(Debug, Default)]
pub struct ConfirmationLease {
    until: Option<Duration>,
    cut_off: bool,
}

impl ConfirmationLease {
    /// Extends the lease. An earlier expiry than the current one is ignored.
    pub fn extend(&mut self, until: Duration) {
        self.until = Some(self.until.map_or(until, |old| old.max(until)));
        self.cut_off = false;
    }

    /// Records that neither the platform nor any peer confirmed the configuration.
    pub fn record_failed_confirmation(&mut self, now: Duration) {
        if self.until.is_some_and(|until| now >= until) {
            self.cut_off = true;
        }
    }

    /// Returns the state of the configuration at the given time.
    pub fn freshness(&self, now: Duration) -> Freshness {
        match self.until {
            None => Freshness::NotReady,
            Some(until) if now < until => Freshness::Fresh,
            Some(_) if self.cut_off => Freshness::CutOff,
            Some(_) => Freshness::Stale,
        }
    }
}
