//! Decides which requests a node still takes after it was asked to stop.
//!
//! Load pattern: callers use an address for some seconds after the directory has dropped it. Requests
//! with seconds of work arrive until then, and others are still being received, wait or are sent once
//! more. The process is killed when the time for a stop is over, and what is open then is cut off.

use std::time::{Duration, Instant};

/// The time for which a stopping node still accepts requests: callers use an address for up to
/// three times the TTL that the directory gave.
const STALE_ADDRESS_PERIOD: Duration = Duration::from_secs(3);

/// Upper bound of the part of the time for a stop that is reserved for the steps after requests have
/// ended.
const MAX_EXIT_MARGIN: Duration = Duration::from_millis(1_000);

/// The reserved part, as a divisor of the whole time. Requests get more than five sixths of it.
const EXIT_PART: u32 = 8;

/// Upper bound of the time in which final answers are written to callers.
const MAX_WRITE_TIME: Duration = Duration::from_millis(300);

/// That time as a divisor of the whole one.
const WRITE_PART: u32 = 32;

/// The times at which a stopping node ends its work, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// From then on, the node takes no request any more.
    pub refuse_from: Instant,
    /// By then, each request has its final answer.
    pub answer_by: Instant,
    /// By then, the answers are written.
    pub close_by: Instant,
    /// By then, the process has ended, also if a task keeps the others from running.
    pub exit_by: Instant,
}

impl StopPlan {
    /// Creates the plan of a stop that takes so long at most.
    pub fn new(began: Instant, within: Duration) -> Self {
        let close_after = within - Self::exit_margin(within);
        let answer_after = close_after - MAX_WRITE_TIME.min(within / WRITE_PART);
        Self {
            refuse_from: began + STALE_ADDRESS_PERIOD.min(close_after / 2),
            answer_by: began + answer_after,
            close_by: began + close_after,
            exit_by: began + within - Self::exit_margin(within) / 4,
        }
    }

    /// Returns the part of the time for a stop that is reserved for the steps after requests have
    /// ended.
    pub fn exit_margin(within: Duration) -> Duration {
        MAX_EXIT_MARGIN.min(within / EXIT_PART)
    }

    /// Returns whether the node takes a request that is complete now.
    pub fn accepts(&self, now: Instant) -> bool {
        now < self.refuse_from
    }

    /// Returns whether work that is expected to take so long ends in time.
    pub fn allows(&self, now: Instant, expected: Duration) -> bool {
        now + expected < self.answer_by
    }
}
