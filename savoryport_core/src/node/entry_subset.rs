//! Decides how many nodes of a failure domain callers are sent to, and which ones.
//!
//! Load pattern: hundreds of nodes before hundreds of servers, each node with a few requests a
//! second. If callers spread over all nodes, hardly any two requests of a node go to the same
//! server: every request needs a new connection, and a node knows the load of a server only from the
//! reports of other nodes. Callers are therefore sent to a part of the nodes, which grows with the
//! requests in flight.
//!
//! Load pattern: a few nodes with several times the processor and link of the others, in a failure
//! domain whose demand doubles. Callers pick an address of the list at random, so a weak node on it
//! gets as many of them as a strong one. Nodes with more capacity therefore come first, the part is
//! sized by capacity, and a stronger node is listed several times.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
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

/// How many times the strongest node is listed for each time that the weakest one is. Processors of
/// VMs differ by about this factor; links differ by more, but are rarely what is short. It also
/// bounds the share of callers that lose their node when a strong one fails.
const MAX_REPEATS: usize = 4;

/// The part of a leader's capacity that counts for callers where nodes differ. The rest is for the
/// syncs of its followers: 12 of them call some 60 times a second when requests are in flight.
const LEADER_CAPACITY_SHARE: f64 = 0.75;

/// Capacities that differ by less than this, as a share of the largest, count as equal.
const EQUAL_CAPACITY: f64 = 1e-6;

/// What the VM of a node can bear.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct NodeCapacity {
    /// The share of a CPU core.
    pub cpu_share: f64,
    /// The bandwidth of the network link, in Mbit/s.
    pub link_mbps: f64,
    /// The memory, in MB.
    pub memory_mb: u64,
}

/// A node that callers may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryNode<T> {
    /// What callers are told of the node.
    pub address: T,
    /// The name of the node's VM.
    pub vm: Name,
    /// Whether the node leads a failure domain.
    pub leads: bool,
    /// The capacity of the VM.
    pub capacity: NodeCapacity,
}

/// The nodes that a list of entries is chosen from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryScope {
    /// The number of nodes in all failure domains.
    pub all_nodes: usize,
    /// Whether the nodes are those of the failure domain whose requests in flight are recorded by
    /// [`EntrySubset::record_domain_in_flight`].
    pub is_own_domain: bool,
    /// The maximum length of the list.
    pub max_entries: usize,
}

/// The highest number of requests in flight of the last [`PEAK_LIFETIME`].
#[derive(Debug, Clone, Copy, Default)]
struct Peak(Option<(usize, Instant)>);

impl Peak {
    fn record(&mut self, in_flight: usize, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PEAK_LIFETIME;
        let former = self.0.filter(|(_, at)| is_recent(*at));
        self.0 = former.filter(|(peak, _)| *peak > in_flight).or(Some((in_flight, now)));
    }

    fn requests(self) -> usize {
        self.0.map_or(0, |(peak, _)| peak)
    }
}

/// Chooses the part of a failure domain's nodes that callers are sent to.
#[derive(Debug, Clone)]
pub struct EntrySubset {
    started_at: Instant,
    all: Peak,
    own_domain: Peak,
}

impl EntrySubset {
    /// Creates the state of a node that starts now.
    pub fn new(now: Instant) -> Self {
        Self { started_at: now, all: Peak::default(), own_domain: Peak::default() }
    }

    /// Records the number of requests that are in flight at all nodes.
    pub fn record_in_flight(&mut self, in_flight: usize, now: Instant) {
        self.all.record(in_flight, now);
    }

    /// Records the number of requests that are in flight at the nodes of this node's failure domain.
    pub fn record_domain_in_flight(&mut self, in_flight: usize, now: Instant) {
        self.own_domain.record(in_flight, now);
    }

    /// Returns the number of nodes to send callers to, of `nodes` in their failure domain and
    /// `all_nodes` in all of them, where these are equal.
    pub fn size(&self, nodes: usize, all_nodes: usize, now: Instant) -> usize {
        self.size_for(self.mean_in_flight(nodes, all_nodes), nodes, now)
    }

    fn mean_in_flight(&self, nodes: usize, all_nodes: usize) -> usize {
        self.all.requests() * nodes / all_nodes.max(1)
    }

    fn size_for(&self, in_flight: usize, nodes: usize, now: Instant) -> usize {
        if now.saturating_duration_since(self.started_at) < START_PERIOD {
            return nodes;
        }
        let least = ((nodes as f64 * MIN_SHARE).ceil() as usize).max(MIN_NODES);
        in_flight.div_ceil(REQUESTS_PER_NODE).max(least).min(nodes)
    }

    /// Returns the list of addresses for callers, who pick one of them at random. Equal nodes are
    /// listed once each, in the order of [`sort_entries`]. Among others, stronger ones come first
    /// and are listed again at the end, in proportion to their capacity.
    pub fn choose<T: Clone>(
        &self,
        mut nodes: Vec<EntryNode<T>>,
        scope: EntryScope,
        now: Instant,
    ) -> Vec<T> {
        sort_entries(&mut nodes, |node| (node.leads, node.vm.clone()));
        let relative = relative_capacities(&nodes);
        let is_even = relative.iter().all(|capacity| *capacity > 1.0 - EQUAL_CAPACITY);
        if is_even {
            let size = self.size(nodes.len(), scope.all_nodes, now).min(scope.max_entries);
            return nodes.into_iter().take(size).map(|node| node.address).collect();
        }
        let mut ranked: Vec<(EntryNode<T>, f64)> = nodes.into_iter().zip(relative).collect();
        // The sort is stable: leaders stay last among equals.
        ranked.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        let weighted: Vec<(T, f64)> = ranked
            .into_iter()
            .map(|(node, capacity)| {
                let part = if node.leads { LEADER_CAPACITY_SHARE } else { 1.0 };
                (node.address, (capacity * part).max(1.0 / MAX_REPEATS as f64))
            })
            .collect();
        let count = self.count_by_capacity(&weighted, scope, now).min(scope.max_entries);
        repeat_by_weight(&weighted[..count], scope.max_entries)
    }

    /// Returns how many of these nodes have the part of the capacity that the size for as many equal
    /// nodes would have, and at least as many as survive the loss of the strongest ones.
    fn count_by_capacity<T>(
        &self,
        weighted: &[(T, f64)],
        scope: EntryScope,
        now: Instant,
    ) -> usize {
        let nodes = weighted.len();
        let mut in_flight = self.mean_in_flight(nodes, scope.all_nodes);
        if scope.is_own_domain {
            in_flight = in_flight.max(self.own_domain.requests());
        }
        let size = self.size_for(in_flight, nodes, now);
        let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
        let mut missing = total * size as f64 / nodes as f64;
        let has_enough = |(_, weight): &(T, f64)| {
            missing -= weight;
            missing < EQUAL_CAPACITY
        };
        let by_capacity = weighted.iter().position(has_enough).map_or(nodes, |index| index + 1);
        by_capacity.max(MIN_NODES.min(nodes))
    }
}

/// Returns the capacity of each node, relative to the largest: the smaller of its processor and link
/// shares.
fn relative_capacities<T>(nodes: &[EntryNode<T>]) -> Vec<f64> {
    let largest = |value: fn(&NodeCapacity) -> f64| {
        nodes.iter().map(|node| value(&node.capacity)).fold(f64::MIN_POSITIVE, f64::max)
    };
    let (cpu, link) = (largest(|of| of.cpu_share), largest(|of| of.link_mbps));
    let shares = nodes
        .iter()
        .map(|node| (node.capacity.cpu_share / cpu).min(node.capacity.link_mbps / link));
    let shares: Vec<f64> = shares.collect();
    let most = shares.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    shares.into_iter().map(|share| share / most).collect()
}

/// Lists addresses by weight, as often as the maximum length allows. All of them come once before
/// any is repeated, so that a caller whose first choice fails finds another node next.
fn repeat_by_weight<T: Clone>(weighted: &[(T, f64)], max_entries: usize) -> Vec<T> {
    let most = weighted.iter().map(|(_, weight)| *weight).fold(f64::MIN_POSITIVE, f64::max);
    let times_for = |repeats: usize| -> Vec<usize> {
        let times = |weight: f64| ((weight / most * repeats as f64).round() as usize).max(1);
        weighted.iter().map(|(_, weight)| times(*weight)).collect()
    };
    let is_alike = |times: &[usize]| times.iter().all(|count| *count == times[0]);
    let fits = |times: &Vec<usize>| times.iter().sum::<usize>() <= max_entries && !is_alike(times);
    let times = (2..=MAX_REPEATS).rev().map(times_for).find(fits);
    let times = times.unwrap_or_else(|| vec![1; weighted.len()]);
    let rounds = 0..times.iter().copied().max().unwrap_or_default();
    let listed = rounds
        .flat_map(|round| weighted.iter().zip(&times).filter(move |(_, times)| **times > round));
    listed.map(|((address, _), _)| address.clone()).collect()
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
