//! Admission control: decides whether a request is served, and when a refused caller may retry.
//!
//! Load pattern: floods beyond the capacity of the servers. A queue longer than the target latency
//! makes every request late and serves no more of them. A request that would join such a queue is
//! therefore refused at once, while that costs nothing, and told when to retry. A request that will
//! be late gets a lower priority than those of its rank that can still be on time.

use std::time::Duration;

/// Up to this share of the wait is added to it at random, so that refused callers do not retry at
/// the same time.
const RETRY_JITTER_SHARE: f64 = 0.5;

/// The shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The share of the remaining time that the first token may take; the rest is for the events of the
/// response.
const FIRST_TOKEN_SHARE: f64 = 0.85;

/// The lowest engine priority. Engines serve smaller numbers first.
const LOWEST_PRIORITY: u8 = 9;

/// Callers abandon a stream that has no first event after this many times the target latency.
const ABANDON_FACTOR: u32 = 4;

/// Callers wait at least this long for the first event.
const MIN_ABANDON_TIME: Duration = Duration::from_secs(2);

/// The share of the time until the caller abandons the stream that the first token may be expected
/// to take.
const ABANDON_TIME_SHARE: f64 = 0.75;

/// The longest queue, as a share of the target latency. It exceeds 1 because the expected latency
/// is uncertain, and a short burst is better served a little late than refused.
const MAX_QUEUE_SHARE: f64 = 1.25;

/// The longest queue of a team that uses more than its share.
const OVER_SHARE_QUEUE: f64 = 0.6;

/// Whether a request is served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// The request is sent to a server.
    Admit {
        /// The priority for the engine; 0 is served first.
        priority: u8,
    },
    /// The request cannot be answered in time.
    Refuse {
        /// The time after which the caller may retry.
        retry_after: Duration,
    },
}

/// What is known of a request when its admission is decided.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// The rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// The expected time from now to the first token.
    pub expected_latency: Duration,
    /// The time that the caller has waited for the first event.
    pub elapsed: Duration,
    /// The part of `elapsed` in which servers could have taken the request.
    pub queue_time: Duration,
    /// The time from arrival to the first token that callers expect.
    pub target_latency: Duration,
    /// The time until the caller leaves or the route's timeout expires.
    pub time_left: Duration,
    /// Whether the request's team uses more than its share of the servers.
    pub is_over_share: bool,
}

/// Decides whether a request is served; `random` is uniform in 0..1.
pub fn decide_admission(input: &AdmissionInput, random: f64) -> AdmissionDecision {
    if input.expected_latency > max_useful_wait(input) {
        let excess = input.expected_latency.saturating_sub(input.target_latency / 2);
        return AdmissionDecision::Refuse { retry_after: retry_after(excess, random) };
    }
    let late = input.elapsed + input.expected_latency > input.target_latency;
    AdmissionDecision::Admit { priority: engine_priority(input.rank, late) }
}

/// Returns how long a request may wait before it is sent and still be on time. Where more requests
/// wait for a server than it takes, those that wait longest are all late, and no more are served.
pub fn spare_wait(input: &AdmissionInput) -> Duration {
    let until_late = input.target_latency.saturating_sub(input.elapsed);
    until_late.min(max_useful_wait(input)).saturating_sub(input.expected_latency)
}

/// Returns the longest useful time to the first token. Work for a caller that leaves before the
/// first token only delays the others, and a longer queue serves as many requests, all of them
/// late.
fn max_useful_wait(input: &AdmissionInput) -> Duration {
    let abandon_limit =
        (input.target_latency * ABANDON_FACTOR).max(MIN_ABANDON_TIME).mul_f64(ABANDON_TIME_SHARE);
    let queue_share = if input.is_over_share { OVER_SHARE_QUEUE } else { MAX_QUEUE_SHARE };
    let queue_limit = input.target_latency.mul_f64(queue_share).saturating_sub(input.queue_time);
    let deadline_limit = input.time_left.mul_f64(FIRST_TOKEN_SHARE);
    deadline_limit.min(abandon_limit.saturating_sub(input.elapsed)).min(queue_limit)
}

/// Returns the time after which a refused caller may retry; `wait` is the time until capacity is
/// expected, and `random` is uniform in 0..1.
pub fn retry_after(wait: Duration, random: f64) -> Duration {
    wait.max(MIN_RETRY_AFTER).mul_f64(1.0 + RETRY_JITTER_SHARE * random)
}

/// Returns the priority for the engine: by rank, and within a rank requests that can be on time
/// come before late ones.
fn engine_priority(rank: u8, late: bool) -> u8 {
    (rank.saturating_mul(3) + if late { 2 } else { 0 }).min(LOWEST_PRIORITY)
}
