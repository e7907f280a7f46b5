//! Decides whether a request is served, and when a refused caller may come back.
//!
//! Load pattern: floods beyond what the servers can take. A queue that is longer than the target makes
//! everyone late and serves nobody more, so who would join it is refused at once, while it costs
//! nothing, and told when to come back. One that can only be late yields to those that can still be on
//! time.

use std::time::Duration;

/// Callers that come back are spread over this share of the wait, so that they do not return in step.
const SPREAD: f64 = 0.5;

/// The shortest wait that a refused caller is told.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The share of the time left that the first token may take; the rest is for the answer's events.
const FIRST_TOKEN_SHARE: f64 = 0.85;

/// The highest value of the engines' priority, which goes last.
const LAST_PRIORITY: u8 = 9;

/// Callers leave a stream without its first event after this many times the target.
const ABANDON_FACTOR: u32 = 4;

/// Callers wait for the first event at least this long.
const MIN_ABANDON: Duration = Duration::from_secs(2);

/// The share of a caller's patience that the first token may be expected to take.
const PATIENCE_SHARE: f64 = 0.75;

/// The longest queue, as a share of the target. It exceeds 1 because what is expected is uncertain, and
/// a short burst is better served a little late than refused.
const QUEUE_SHARE: f64 = 1.25;

/// How a request is dealt with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// It is sent, with this priority for the engine; 0 goes first.
    Admit {
        /// The engine's priority.
        priority: u8,
    },
    /// It cannot be answered in time.
    Refuse {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// What is known of a request when it is judged.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// The rank of work; 0 is the most urgent.
    pub rank: u8,
    /// The expected time to the first token from now.
    pub expected_latency: Duration,
    /// Time that the caller has waited for a first event.
    pub elapsed: Duration,
    /// The part of that time in which servers could have taken it.
    pub queue_time: Duration,
    /// The time from arrival to the first token that callers expect.
    pub target_latency: Duration,
    /// The time until the caller leaves or the route's time is up.
    pub time_left: Duration,
}

/// Judges a request; `draw` is uniform in 0..1.
pub fn decide_admission(prospect: &AdmissionInput, draw: f64) -> AdmissionDecision {
    if prospect.expected_latency > longest_wait(prospect) {
        let surplus = prospect.expected_latency.saturating_sub(prospect.target_latency / 2);
        return AdmissionDecision::Refuse { retry_after: retry_after(surplus, draw) };
    }
    let late = prospect.elapsed + prospect.expected_latency > prospect.target_latency;
    AdmissionDecision::Admit { priority: engine_priority(prospect.rank, late) }
}

/// Returns the longest time to the first token that is of use. Work for a caller who leaves before it
/// only delays the others, and so does a longer queue: it serves as many, all of them late.
fn longest_wait(prospect: &AdmissionInput) -> Duration {
    let patience =
        (prospect.target_latency * ABANDON_FACTOR).max(MIN_ABANDON).mul_f64(PATIENCE_SHARE);
    let queue = prospect.target_latency.mul_f64(QUEUE_SHARE).saturating_sub(prospect.queue_time);
    let in_time = prospect.time_left.mul_f64(FIRST_TOKEN_SHARE);
    in_time.min(patience.saturating_sub(prospect.elapsed)).min(queue)
}

/// Returns the time after which a refused caller may come back, where `wait` is the time until there
/// is room.
pub fn retry_after(wait: Duration, draw: f64) -> Duration {
    wait.max(MIN_RETRY_AFTER).mul_f64(1.0 + SPREAD * draw)
}

/// Returns the engine's priority: by rank, and within a rank what can be on time goes first.
fn engine_priority(rank: u8, late: bool) -> u8 {
    (rank.saturating_mul(3) + if late { 2 } else { 0 }).min(LAST_PRIORITY)
}
