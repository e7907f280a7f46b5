//! Tests which nodes callers are sent to, against the loads of a large fleet.

use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::entry_subset::{EntrySubset, sort_entries};

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
