//! The clock of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use policy::Now;

/// Gives the monotonic time since the process started and the wall-clock time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now { mono: self.start.elapsed(), wall_ms: wall.as_millis() as u64 }
    }
}
