//! Decides how many nodes of a failure domain callers are sent to, and which ones.
//!
//! Load pattern: hundreds of nodes before hundreds of servers, each node with a few requests a
//! second. If callers spread over all nodes, hardly any two requests of a node go to the same
//! server: every request needs a new connection, and a node knows the load of a server only from the
//! reports of other nodes. Callers are therefore sent to a part of the nodes, which grows with the
//! requests in flight.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::Name;

/// The number of requests in flight at a node beyond which callers are sent to more nodes.
const REQUESTS_PER_NODE: usize = 12;

/// The smallest part of a failure domain's nodes that callers are sent to, so that a sudden return
/// of all callers finds enough of them.
const MIN_SHARE: f64 = 0.25;

/// The smallest number of nodes that callers of a failure domain are sent to, if it has so many.
const MIN_NODES: usize = 6;

/// The time after its start in which a node sends callers to all nodes: after a failure of the whole
/// system, the load that is about to return is not known.
const START_PERIOD: Duration = Duration::from_secs(15);

/// The time for which a peak of the requests in flight counts.
const PEAK_LIFETIME: Duration = Duration::from_secs(10);

/// Sizes the part of a failure domain's nodes that callers are sent to.
#[derive(Debug, Clone)]
pub struct EntrySubset {
    started_at: Instant,
    peak: Option<(usize, Instant)>,
}

impl EntrySubset {
    /// Creates the state of a node that starts now.
    pub fn new(now: Instant) -> Self {
        Self { started_at: now, peak: None }
    }

    /// Records the number of requests that are in flight at all nodes.
    pub fn record_in_flight(&mut self, in_flight: usize, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEAK_LIFETIME;
        let former = self.peak.filter(|(_, at)| is_recent(*at));
        self.peak = former.filter(|(peak, _)| *peak > in_flight).or(Some((in_flight, now)));
    }

    /// Returns the number of nodes to send callers to, of `nodes` in their failure domain and
    /// `all_nodes` in all of them.
    pub fn size(&self, nodes: usize, all_nodes: usize, now: Instant) -> usize {
        if now.saturating_duration_since(self.started_at) < START_PERIOD {
            return nodes;
        }
        let in_flight = self.peak.map_or(0, |(peak, _)| peak) * nodes / all_nodes.max(1);
        let least = ((nodes as f64 * MIN_SHARE).ceil() as usize).max(MIN_NODES);
        in_flight.div_ceil(REQUESTS_PER_NODE).max(least).min(nodes)
    }
}

/// Sorts nodes by the order in which callers are sent to them. Every node computes the same order,
/// which changes little as nodes come and go. Leaders come last, since they also serve their
/// followers.
pub fn sort_entries<T>(nodes: &mut [T], key: impl Fn(&T) -> (/* leads */ bool, Name)) {
    nodes.sort_by_cached_key(|node| {
        let (leads, vm) = key(node);
        (leads, xxh3_64(vm.as_bytes()))
    });
}
