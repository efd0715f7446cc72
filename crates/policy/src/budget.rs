//! A token budget that limits extra attempts in proportion to first attempts.

/// A token budget that first attempts fill and extra attempts consume.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    tokens_per_attempt: f64,
    capacity: f64,
}

impl Budget {
    /// Creates a budget that allows `ratio` extra attempts per first attempt, with
    /// bursts of up to `capacity`. It starts half full.
    pub fn new(ratio: f64, capacity: f64) -> Self {
        Budget { tokens: capacity / 2.0, tokens_per_attempt: ratio, capacity }
    }

    /// Credits the budget for a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_attempt).min(self.capacity);
    }

    /// Consumes a token for an extra attempt. Returns false if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
