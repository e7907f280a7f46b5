//! The adaptive limit on the requests that one entry has in progress on one server.

/// A concurrency limit that grows while the server meets its latency targets and shrinks when it
/// misses them.
///
/// Entries share a server without communicating: each measures only its own requests. Additive
/// increase with multiplicative decrease makes their limits converge to equal shares.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    value: f64,
    max: f64,
    samples_since_decrease: f64,
}

impl ConcurrencyLimit {
    /// The smallest and the largest factor that one decrease multiplies the limit by.
    const DECREASE_FACTORS: (f64, f64) = (0.5, 0.9);
    const MIN: f64 = 1.0;

    /// Creates a limit that starts at `initial` requests and never exceeds `max`.
    pub fn new(initial: f64, max: f64) -> Self {
        Self { value: initial.clamp(Self::MIN, max), max, samples_since_decrease: 0.0 }
    }

    /// Returns the current limit in requests.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adjusts the limit after a finished request.
    ///
    /// `target_ratio` is 1 if the server met its targets, and otherwise the allowed time divided by
    /// the time that it took. `in_use` tells whether the limit was nearly reached; otherwise it
    /// does not grow.
    pub fn on_sample(&mut self, target_ratio: f64, in_use: bool) {
        self.samples_since_decrease += 1.0;
        if target_ratio < 1.0 {
            self.decrease(target_ratio);
        } else if in_use {
            self.value = (self.value + 1.0 / self.value).min(self.max);
        }
    }

    /// Decreases the limit at most once for each `value` samples, since the requests in progress at
    /// a decrease were sent before it took effect.
    fn decrease(&mut self, target_ratio: f64) {
        if self.samples_since_decrease >= self.value {
            let (min, max) = Self::DECREASE_FACTORS;
            self.value = (self.value * target_ratio.clamp(min, max)).max(Self::MIN);
            self.samples_since_decrease = 0.0;
        }
    }
}
