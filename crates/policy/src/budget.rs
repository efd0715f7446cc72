//! A budget that grows with the work and is spent by extra attempts.

/// Tokens that first attempts earn and extra attempts spend.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    earn: f64,
    cap: f64,
}

impl Budget {
    /// A budget of `share` extra attempts per first one, with a burst of `cap`.
    pub fn new(share: f64, cap: f64) -> Self {
        Budget { tokens: cap / 2.0, earn: share, cap }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.earn).min(self.cap);
    }

    /// Pays for an extra attempt; false if the budget is used up.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
