//! What no policy can exceed: the fleet as one pool, with the whole trace known beforehand.
//!
//! The relaxation drops placement, batches and the bounds between servers: in each second the slots
//! of all live engines serve whichever requests take least time, at the speed of an engine that is
//! alone with a cached prompt, and an unserved request may still be served in the next two seconds.

use savoryport_core::rank::Rank;

use super::deployment::{Deployment, SLOTS};
use super::engine::service_time;
use super::workload::{Faults, SECONDS, TraceRequest};

/// Seconds for which the bound may put a request off.
const PATIENCE: usize = 2;

/// Requests that the pool serves: all, and those of the most urgent rank when it goes first.
pub fn pooled(deployment: &Deployment, faults: &Faults, trace: &[TraceRequest]) -> (u64, u64) {
    let all: Vec<(usize, f64)> = trace.iter().map(work).collect();
    let urgent: Vec<(usize, f64)> =
        trace.iter().filter(|req| req.rank == Rank::Urgent).map(work).collect();
    (serve(deployment, faults, all), serve(deployment, faults, urgent))
}

fn work(req: &TraceRequest) -> (usize, f64) {
    // In a full batch a slot's share of the engine is worth what the fake engine makes of it.
    (req.at as usize, service_time(req.prompt, req.tokens, SLOTS, true))
}

fn serve(deployment: &Deployment, faults: &Faults, mut work: Vec<(usize, f64)>) -> u64 {
    // Work of a second is spread over the time that a request runs, so the pool is filled in
    // windows as long as the longest request; within a window the shortest go first.
    let window = 20;
    work.sort_by(|a, b| (a.0 / window, a.1).partial_cmp(&(b.0 / window, b.1)).expect("finite"));
    let windows = SECONDS as usize / window + 1;
    let mut free: Vec<f64> =
        (0..windows).map(|at| capacity(deployment, faults, at * window, window)).collect();
    let mut served = 0;
    for (second, slot_seconds) in work {
        let first = second / window;
        let last = ((second + PATIENCE + window) / window).min(windows - 1);
        if let Some(at) = (first..=last).find(|at| free[*at] >= slot_seconds) {
            free[at] -= slot_seconds;
            served += 1;
        }
    }
    served
}

fn capacity(deployment: &Deployment, faults: &Faults, from: usize, seconds: usize) -> f64 {
    let lost = faults.lost_engines.iter().filter(|(at, _)| *at <= from as f64);
    let lost: std::collections::BTreeSet<usize> = lost.map(|(_, engine)| *engine).collect();
    let live = deployment.engines.len() - lost.len();
    live as f64 * f64::from(SLOTS) * seconds as f64
}
