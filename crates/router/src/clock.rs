//! The process clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use policy::Now;

/// A clock that returns the monotonic time since the process started and the wall-clock
/// time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now { mono: self.start.elapsed(), wall_ms: wall.as_millis() as u64 }
    }
}
