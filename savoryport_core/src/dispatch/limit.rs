//! The adaptive limit of requests that one entry has under way on one server.

/// A limit that grows while the server keeps its targets and shrinks when it misses them.
///
/// Entries share a server without talking to each other: each sees only its own first tokens, and
/// additive growth with multiplicative decrease brings their limits towards equal shares.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    value: f64,
    max: f64,
    since_decrease: f64,
}

impl ConcurrencyLimit {
    /// The least and the most that one decrease leaves, as a share.
    const DECREASE: (f64, f64) = (0.5, 0.9);
    const MIN: f64 = 1.0;

    /// Starts at a value.
    pub fn new(initial: f64, max: f64) -> Self {
        Self { value: initial.clamp(Self::MIN, max), max, since_decrease: 0.0 }
    }

    /// Returns the present limit in requests.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Takes one finished request: `pace` is 1 for a server that kept up, and the share of the
    /// allowed to the needed time for one that did not; `in_use` tells whether the limit was.
    pub fn on_sample(&mut self, pace: f64, in_use: bool) {
        self.since_decrease += 1.0;
        if pace < 1.0 {
            self.decrease(pace);
        } else if in_use {
            self.value = (self.value + 1.0 / self.value).min(self.max);
        }
    }

    /// Decreases once for each limit's worth of samples: those under way were sent before.
    fn decrease(&mut self, pace: f64) {
        if self.since_decrease >= self.value {
            let (least, most) = Self::DECREASE;
            self.value = (self.value * pace.clamp(least, most)).max(Self::MIN);
            self.since_decrease = 0.0;
        }
    }
}
