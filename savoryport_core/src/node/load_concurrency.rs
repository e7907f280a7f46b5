//! Limits how many loads from the weight store a failure domain has active.
//!
//! Load pattern: requests for many rare models keep all servers of a small fleet loading. The store
//! serves only some loads at once at full speed, and how many is not announced: beyond that number
//! all of them slow down, so that one more ends no load sooner. It only evicts a copy earlier, and
//! takes a server at which a model with much demand would have to wait.
//!
//! The store's share is estimated from the time that loads take. A load that is much more valuable
//! than the others does not wait.

use std::time::Duration;

/// A load that takes this many times as long as it does alone shows that too many are active.
const SLOW_FACTOR: f64 = 1.4;

/// A load that takes less than this many times as long shows that the store could serve another one.
const FAST_FACTOR: f64 = 1.15;

/// The number of slow loads in a row that lower the limit. A store in demand slows all loads down; a
/// single slow load may be that of a slow server, or of one that carries out its order late.
const SLOW_IN_A_ROW: u32 = 2;

/// A load starts beyond the limit if its value is at least this many times that of the least
/// valuable active one.
const URGENT_FACTOR: f64 = 1.5;

/// Decides when a load that is active shows how busy the store is.
#[derive(Debug, Clone, Copy)]
pub struct LoadWatch {
    /// The time that the load takes if few others are active.
    pub expected: Duration,
    is_known_slow: bool,
}

impl LoadWatch {
    /// Watches a load that takes `expected` if few others are active.
    pub fn new(expected: Duration) -> Self {
        Self { expected, is_known_slow: false }
    }

    /// Returns whether the limiter has to know of the load now: when it turns out to be slow, or when
    /// it has ended without that. So each load counts once.
    pub fn is_evidence(&mut self, elapsed: Duration, is_done: bool) -> bool {
        let is_slow = slow_down(elapsed, self.expected) >= SLOW_FACTOR;
        let was_known_slow = std::mem::replace(&mut self.is_known_slow, is_slow);
        !was_known_slow && (is_slow || is_done)
    }
}

fn slow_down(elapsed: Duration, expected: Duration) -> f64 {
    elapsed.as_secs_f64() / expected.as_secs_f64().max(1e-3)
}

/// The limit of one domain, which holds for loads from the weight store.
#[derive(Debug, Clone, Default)]
pub struct LoadConcurrencyLimiter {
    /// The number of loads; `None` while no load has been slow.
    limit: Option<usize>,
    /// The number of slow loads since the last one that was not slow.
    slow_in_a_row: u32,
}

impl LoadConcurrencyLimiter {
    /// Records a load that has taken `elapsed` so far, and alone takes `expected`, with the number of
    /// the domain's loads that are active, itself included.
    pub fn record_load(&mut self, elapsed: Duration, expected: Duration, active: usize) {
        let factor = slow_down(elapsed, expected);
        self.slow_in_a_row = if factor >= SLOW_FACTOR { self.slow_in_a_row + 1 } else { 0 };
        if self.slow_in_a_row >= SLOW_IN_A_ROW {
            let sustainable = (active as f64 / factor).round().max(1.0) as usize;
            self.limit = Some(self.limit.map_or(sustainable, |limit| limit.min(sustainable)));
        } else if factor < FAST_FACTOR && self.limit.is_some_and(|limit| active >= limit) {
            self.limit = self.limit.map(|limit| limit + 1);
        }
    }

    /// Returns the number of loads that may be active; `None` if there is no limit.
    pub fn limit(&self) -> Option<usize> {
        self.limit
    }

    /// Returns the least value that a further load needs, given the values of the active ones.
    pub fn least_value(&self, active: &[f64]) -> f64 {
        match self.limit {
            Some(limit) if active.len() >= limit => {
                active.iter().copied().fold(f64::INFINITY, f64::min) * URGENT_FACTOR
            }
            _ => 0.0,
        }
    }
}
