//! Whether the instance's configuration is confirmed.

use std::time::Duration;

use crate::core::Standing;

/// The freshness grant.
///
/// A grant ends by the monotonic clock. After its end the instance is stale
/// and holds requests until a new try to confirm has an outcome: a process
/// that was paused thus learns what it missed before it sends anything.
#[derive(Debug, Default)]
pub struct Freshness {
    until: Option<Duration>,
    cut_off: bool,
}

impl Freshness {
    /// Extends the grant.
    pub fn confirm(&mut self, until: Duration) {
        self.until = Some(self.until.map_or(until, |old| old.max(until)));
        self.cut_off = false;
    }

    /// Notes that a try to confirm failed everywhere.
    pub fn fail(&mut self, now: Duration) {
        if self.until.is_some_and(|until| now >= until) {
            self.cut_off = true;
        }
    }

    /// The standing at a time.
    pub fn standing(&self, now: Duration) -> Standing {
        match self.until {
            None => Standing::NotReady,
            Some(until) if now < until => Standing::Fresh,
            Some(_) if self.cut_off => Standing::CutOff,
            Some(_) => Standing::Stale,
        }
    }
}
