//! The clock for leases, which goes on while the VM stands still.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};
use savoryport_core::clock::Clock;

/// Tells the time since the VM's boot, suspensions included, as an instant.
///
/// A holder that was suspended must not act on a lease that lapsed meanwhile, and the steady clock
/// does not count that time.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: Instant,
    start_since_boot: Duration,
}

impl BootClock {
    /// Starts the clock at the present instant.
    pub fn new() -> Self {
        Self { start: Instant::now(), start_since_boot: since_boot() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.start + since_boot().saturating_sub(self.start_since_boot)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
