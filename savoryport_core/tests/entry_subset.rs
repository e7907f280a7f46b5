//! Tests which nodes callers are sent to, against the loads of a large fleet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::entry_subset::{
    EntryNode, EntryScope, EntrySubset, NodeCapacity, sort_entries,
};

const AFTER_START: Duration = Duration::from_secs(20);

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|number| format!("vm-{number}").into()).collect()
}

#[test]
fn a_calm_fleet_sends_callers_to_few_nodes_and_a_flood_to_all() {
    let start = Instant::now();
    let (mut subset, now) = (EntrySubset::new(start), start + AFTER_START);
    subset.record_in_flight(600, now);
    assert_eq!(subset.size(50, 295, now), 13, "a quarter of the nodes at least");
    subset.record_in_flight(1_500, now);
    assert_eq!(subset.size(50, 295, now), 22);
    subset.record_in_flight(6_000, now);
    assert_eq!(subset.size(50, 295, now), 50);
}

#[test]
fn a_flood_is_remembered_when_it_pauses() {
    let start = Instant::now();
    let (mut subset, now) = (EntrySubset::new(start), start + AFTER_START);
    subset.record_in_flight(3_600, now);
    let peak = subset.size(60, 360, now);
    subset.record_in_flight(0, now + Duration::from_secs(5));
    assert_eq!(subset.size(60, 360, now + Duration::from_secs(5)), peak);
    subset.record_in_flight(0, now + Duration::from_secs(11));
    assert_eq!(subset.size(60, 360, now + Duration::from_secs(11)), 15);
}

#[test]
fn the_return_of_all_callers_after_a_power_failure_finds_all_nodes() {
    // Load pattern: all nodes start at once, and callers that were cut off return within seconds.
    let start = Instant::now();
    let mut subset = EntrySubset::new(start);
    subset.record_in_flight(0, start + Duration::from_secs(14));
    assert_eq!(subset.size(50, 295, start + Duration::from_secs(14)), 50);
}

#[test]
fn a_small_failure_domain_uses_all_of_its_nodes() {
    let start = Instant::now();
    let subset = EntrySubset::new(start);
    assert_eq!(subset.size(3, 9, start + AFTER_START), 3);
    assert_eq!(subset.size(10, 60, start + AFTER_START), 6);
}

#[test]
fn nodes_that_leave_change_little_and_leaders_come_last() {
    let leader = Name::from("vm-7");
    let sorted = |mut nodes: Vec<Name>| {
        sort_entries(&mut nodes, |vm| (*vm == leader, vm.clone()));
        nodes
    };
    let all = sorted(names(50));
    assert_eq!(all.last(), Some(&leader));
    let gone = &all[3];
    let rest = sorted(names(50).into_iter().filter(|vm| vm != gone).collect());
    let kept = all[..13].iter().filter(|vm| rest[..13].contains(vm)).count();
    assert_eq!(kept, 12);
}

const LARGE: NodeCapacity = NodeCapacity { cpu_share: 0.5, link_mbps: 200.0, memory_mb: 512 };
const SMALL: NodeCapacity = NodeCapacity { cpu_share: 0.12, link_mbps: 10.0, memory_mb: 160 };

/// Returns nodes, of which the first one leads and the first `large` are large.
fn nodes(large: usize, small: usize) -> Vec<EntryNode<usize>> {
    let capacity = |number| if number < large { LARGE } else { SMALL };
    let node = |address| EntryNode {
        address,
        vm: format!("vm-{address}").into(),
        leads: address == 0,
        capacity: capacity(address),
    };
    (0..large + small).map(node).collect()
}

fn list(subset: &EntrySubset, nodes: &[EntryNode<usize>], now: Instant) -> Vec<usize> {
    let scope = EntryScope { all_nodes: 79, is_own_domain: true, max_entries: 64 };
    subset.choose(nodes.to_vec(), scope, now)
}

/// Returns the part of the callers that each listed node gets.
fn shares(list: &[usize]) -> BTreeMap<usize, f64> {
    let mut shares = BTreeMap::new();
    for address in list {
        *shares.entry(*address).or_default() += 1.0 / list.len() as f64;
    }
    shares
}

/// Guards against lists that change where all nodes are equal, a leader among them.
#[test]
fn equal_nodes_are_listed_once_each_in_the_order_and_number_of_before() {
    let start = Instant::now();
    let (mut subset, now) = (EntrySubset::new(start), start + AFTER_START);
    for in_flight in [0, 300, 900, 5_000] {
        subset.record_in_flight(in_flight, now);
        subset.record_domain_in_flight(1_000, now);
        let equal = nodes(0, 13);
        let mut sorted = equal.clone();
        sort_entries(&mut sorted, |node| (node.leads, node.vm.clone()));
        sorted.truncate(subset.size(13, 79, now));
        let expected: Vec<usize> = sorted.iter().map(|node| node.address).collect();
        assert_eq!(list(&subset, &equal, now), expected);
    }
}

/// Guards against strong nodes that take nearly all callers of a failure domain, against weak ones
/// that take as many as strong ones, and against callers without another node when these fail.
#[test]
fn uneven_nodes_share_a_wave_and_callers_of_another_domain_by_capacity() {
    let start = Instant::now();
    let (mut subset, now) = (EntrySubset::new(start), start + AFTER_START);
    let (uneven, mut listed) = (nodes(2, 11), Vec::new());
    // The demand doubles; then callers of another failure domain move in, which the mean over all
    // nodes does not show.
    let waves = [(300, 50), (600, 100), (600, 160)];
    for (step, (all, in_domain)) in waves.into_iter().enumerate() {
        let at = now + Duration::from_secs(step as u64);
        subset.record_in_flight(all, at);
        subset.record_domain_in_flight(in_domain, at);
        let list = list(&subset, &uneven, at);
        let shares = shares(&list);
        listed.push(shares.len());
        let (leader, large, weakest) = (shares[&0], shares[&1], shares[&list[2]]);
        assert!(weakest < leader && leader < large, "{shares:?}");
        // Requests in flight for each node's part of the domain's processors, 2.32 cores in all.
        let overload = |share: f64, cores: f64| share * 2.32 / cores;
        assert!(overload(large, 0.5) < 1.9, "step {step}: {shares:?}");
        assert!(overload(weakest, 0.12) < 1.9, "step {step}: {shares:?}");
        assert!(large * (in_domain as f64) < 37.0, "step {step}: {shares:?}");
    }
    assert_eq!(listed, [6, 8, 13], "the list grows with the demand");
    let at = now + Duration::from_secs(3);
    let before = list(&subset, &uneven, at);
    assert!(before[2..6].iter().all(|address| *address > 1), "a caller finds small nodes next");
    let after = list(&subset, &uneven[2..], at);
    assert_eq!(after.len(), subset.size(11, 79, at), "small nodes are equal among themselves");
    assert_eq!(shares(&after).len(), after.len(), "each is listed once");
}
