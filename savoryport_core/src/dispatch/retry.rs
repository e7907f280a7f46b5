//! A budget that keeps retries a share of what succeeds.

/// Allows retries as a share of successes, so that a failing fleet is not asked more, but less.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    share: f64,
    burst: f64,
}

impl RetryBudget {
    /// Allows `share` retries for each success and `burst` at once.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { tokens: burst, share, burst }
    }

    /// Notes a success.
    pub fn on_success(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
