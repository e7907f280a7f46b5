//! The clock for leases, which includes the time for which the VM was suspended.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use savoryport_core::clock::Clock;

/// A clock that follows the time since the VM's boot, including suspensions.
///
/// A leader that was suspended must not act on a lease that expired meanwhile, and the monotonic
/// clock does not count that time.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: Instant,
    start_since_boot: Duration,
}

impl BootClock {
    /// Creates a clock that starts at the present instant.
    pub fn new() -> Self {
        Self { start: Instant::now(), start_since_boot: time_since_boot() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.start + time_since_boot().saturating_sub(self.start_since_boot)
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
