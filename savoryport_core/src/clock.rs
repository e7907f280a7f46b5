//! An interface to the clock, so that tests and benches can control the time.

use std::time::Instant;

/// A monotonic clock.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}
