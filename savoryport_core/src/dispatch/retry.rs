//! A budget that limits retries to a share of the successful requests.

/// A token bucket that is refilled by successful requests, so that retries decrease rather than
/// increase the load on a failing fleet.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    tokens: f64,
    share: f64,
    burst: f64,
}

impl RetryBudget {
    /// Creates a full budget that earns `share` retries for each success and holds at most `burst`.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { tokens: burst, share, burst }
    }

    /// Adds the retries earned by one successful request.
    pub fn on_success(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
