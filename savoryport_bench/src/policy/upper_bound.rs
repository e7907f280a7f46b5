//! Computes an upper bound for every policy: the fleet as one pool, with the whole trace known in
//! advance.
//!
//! The relaxation ignores placement, batches and the boundaries between servers: in each second the
//! slots of all live engines serve the requests that take the least time, at the speed of a full
//! batch with cached prompts, and an unserved request may still be served in the next two seconds.

use savoryport_core::rank::Rank;

use super::deployment::{Deployment, SLOTS};
use super::engine::service_time;
use super::workload::{Faults, TRACE_SECONDS, TraceRequest};

/// How long the bound may delay a request, in seconds.
const MAX_DELAY: usize = 2;

/// Returns how many requests the pool serves: of all ranks, and of the most urgent rank when that
/// rank is served first.
pub fn compute_upper_bounds(
    deployment: &Deployment,
    faults: &Faults,
    trace: &[TraceRequest],
) -> (u64, u64) {
    let all: Vec<(usize, f64)> = trace.iter().map(arrival_and_work).collect();
    let urgent: Vec<(usize, f64)> =
        trace.iter().filter(|req| req.rank == Rank::Urgent).map(arrival_and_work).collect();
    (
        count_served_in_pool(deployment, faults, all),
        count_served_in_pool(deployment, faults, urgent),
    )
}

fn arrival_and_work(req: &TraceRequest) -> (usize, f64) {
    // A slot's share of the engine is that of a full batch, as the simulated engine computes it.
    (req.arrival as usize, service_time(req.prompt_tokens, req.generated_tokens, SLOTS, true))
}

fn count_served_in_pool(
    deployment: &Deployment,
    faults: &Faults,
    mut work: Vec<(usize, f64)>,
) -> u64 {
    // The work of a request is spread over the time that it runs, so the pool is filled in windows
    // as long as the longest request; within a window the shortest requests are served first.
    let window = 20;
    work.sort_by(|a, b| {
        (a.0 / window, a.1).partial_cmp(&(b.0 / window, b.1)).expect("service times are finite")
    });
    let windows = TRACE_SECONDS as usize / window + 1;
    let mut free: Vec<f64> = (0..windows)
        .map(|index| slot_seconds(deployment, faults, index * window, window))
        .collect();
    let mut served = 0;
    for (second, request_seconds) in work {
        let first = second / window;
        let last = ((second + MAX_DELAY + window) / window).min(windows - 1);
        if let Some(index) = (first..=last).find(|index| free[*index] >= request_seconds) {
            free[index] -= request_seconds;
            served += 1;
        }
    }
    served
}

/// Returns the slot seconds that the live engines have in a window.
fn slot_seconds(deployment: &Deployment, faults: &Faults, from: usize, seconds: usize) -> f64 {
    let lost = faults.lost_engines.iter().filter(|(at, _)| *at <= from as f64);
    let lost: std::collections::BTreeSet<usize> = lost.map(|(_, engine)| *engine).collect();
    let live = deployment.engines.len() - lost.len();
    live as f64 * f64::from(SLOTS) * seconds as f64
}
