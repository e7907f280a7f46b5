//! The clock as an interface, so that tests and benches choose the time.

use std::time::Instant;

/// Tells the monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the present instant.
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
