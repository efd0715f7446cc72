//! A token budget that limits extra attempts in proportion to first attempts.

/// A token budget that first attempts fill and extra attempts consume.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    earn: f64,
    cap: f64,
}

impl Budget {
    /// Creates a budget that allows `share` extra attempts per first attempt, with
    /// bursts of up to `cap`. It starts half full.
    pub fn new(share: f64, cap: f64) -> Self {
        Budget { tokens: cap / 2.0, earn: share, cap }
    }

    /// Credits the budget for a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.earn).min(self.cap);
    }

    /// Consumes a token for an extra attempt. Returns false if none is left.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
