//! Replays crashes of servers against the quarantine of prompt parts: crashes on a part, and crashes
//! that have nothing to do with prompts.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use savoryport_core::Name;
use savoryport_core::node::quarantine::{CrashReport, Quarantine, QuarantineChange};

/// The part that all prompts of the route begin with.
const FIRST: u64 = 1;
/// The part that crashes servers.
const DEADLY: u64 = 66;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn server(number: usize) -> Name {
    format!("server-{number}").into()
}

/// Lets every node learn what all others know.
fn exchange(nodes: &mut [Quarantine], now: Instant) {
    let reports: Vec<Vec<CrashReport>> = nodes.iter().map(|node| node.reports(now)).collect();
    for node in nodes {
        for reports in &reports {
            node.merge(reports, now);
        }
    }
}

fn is_blocked(node: &mut Quarantine, parts: &[u64], now: Instant) -> bool {
    node.blocking_part(parts, now).is_some()
}

#[test]
fn part_is_refused_by_all_nodes_though_none_has_seen_two_crashes() {
    let start = Instant::now();
    let mut nodes = vec![Quarantine::default(); 3];
    for (number, node) in nodes.iter_mut().take(2).enumerate() {
        let now = start + ms(1_000) * number as u32;
        node.record_crash(&server(number), 1, &[FIRST, 100 + number as u64, DEADLY], now);
        node.record_answer(&[FIRST, 7], now + ms(20));
        assert!(!is_blocked(node, &[FIRST, DEADLY], now));
    }
    let now = start + ms(1_200);
    exchange(&mut nodes, now);
    for node in &mut nodes {
        assert!(is_blocked(node, &[FIRST, DEADLY], now));
        assert!(!is_blocked(node, &[FIRST, 100], now), "sound prompts with the same first part");
        assert_eq!(node.digest(), node.clone().digest());
        assert_eq!(node.entries()[0].servers, [server(0), server(1)]);
    }
}

#[test]
fn first_part_that_all_prompts_share_is_not_refused_however_many_servers_crash() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    node.record_answer(&[FIRST, 7], start);
    for number in 0..40 {
        let now = start + ms(700) * number;
        node.record_crash(&server(number as usize), 1, &[FIRST, 100 + u64::from(number)], now);
        assert!(!is_blocked(&mut node, &[FIRST, 8], now), "crash {number}");
        node.record_answer(&[FIRST, 7], now + ms(600));
    }
}

#[test]
fn rack_that_fails_at_once_puts_no_part_in_quarantine() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    for number in 0..5 {
        let at = start + ms(30) * number as u32;
        node.record_crash(&server(number), 1, &[FIRST, 100], at);
    }
    assert!(node.entries().is_empty());
    assert!(!is_blocked(&mut node, &[FIRST, 100], start + ms(150)));
}

#[test]
fn server_that_crashes_twice_by_itself_puts_no_part_in_quarantine() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    for incarnation in 1..=2 {
        node.record_crash(&server(0), incarnation, &[100], start + ms(3_000) * incarnation as u32);
    }
    assert!(node.entries().is_empty());
    // A model may have only one server, which the deadly requests then crash each time.
    node.record_crash(&server(0), 3, &[100], start + ms(12_000));
    assert_eq!(node.entries().len(), 1);
}

#[test]
fn part_that_meets_two_of_many_crashes_by_chance_is_not_refused() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    for number in 0..6 {
        let parts: &[u64] = if number < 4 { &[] } else { &[100] };
        node.record_crash(&server(number), 1, parts, start + ms(1_000) * number as u32);
    }
    assert!(node.entries().is_empty());
    node.record_crash(&server(6), 1, &[100], start + ms(6_000));
    assert_eq!(node.entries().len(), 1, "a third one proves it");
}

#[test]
fn part_in_flight_beside_a_deadly_one_is_released_when_the_crashes_tell_them_apart() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    node.record_crash(&server(0), 1, &[100, DEADLY], start);
    node.record_crash(&server(1), 1, &[100, DEADLY], start + ms(1_000));
    let now = start + ms(1_100);
    assert!(is_blocked(&mut node, &[100, DEADLY], now));
    assert!(!is_blocked(&mut node, &[100], now) && !is_blocked(&mut node, &[DEADLY], now));
    let changes = node.record_crash(&server(2), 1, &[200, DEADLY], start + ms(2_000));
    assert_eq!(changes.len(), 2, "one entry ends and one begins: {changes:?}");
    let now = start + ms(2_100);
    assert!(is_blocked(&mut node, &[DEADLY], now));
    assert!(!is_blocked(&mut node, &[100, 200], now));
}

#[test]
fn two_deadly_parts_are_both_refused() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    for number in 0..4 {
        let part = DEADLY + number as u64 % 2;
        node.record_crash(&server(number), 1, &[part], start + ms(800) * number as u32);
    }
    let now = start + ms(4_000);
    assert!(is_blocked(&mut node, &[DEADLY], now) && is_blocked(&mut node, &[DEADLY + 1], now));
}

#[test]
fn suspect_request_is_told_from_the_one_beside_it_at_its_first_crash() {
    let now = Instant::now();
    let mut node = Quarantine::default();
    node.record_crash(&server(0), 1, &[FIRST, DEADLY], now);
    assert!(!node.is_suspect(&[FIRST, DEADLY], "server-0", 1), "its first crash proves nothing");
    node.record_answer(&[FIRST], now + ms(10));
    node.record_crash(&server(1), 1, &[FIRST, DEADLY], now + ms(100));
    assert!(node.is_suspect(&[FIRST, DEADLY], "server-1", 1));
    assert!(!node.is_suspect(&[FIRST, 8], "server-1", 1));
}

#[test]
fn part_that_an_operator_clears_is_served_by_all_nodes() {
    let start = Instant::now();
    let mut nodes = vec![Quarantine::default(); 2];
    for number in 0..2 {
        let at = start + ms(1_000) * number as u32;
        nodes[0].record_crash(&server(number), 1, &[FIRST, DEADLY], at);
    }
    let now = start + ms(2_000);
    exchange(&mut nodes, now);
    assert!(is_blocked(&mut nodes[1], &[FIRST, DEADLY], now));
    let changes = nodes[0].clear(DEADLY, now);
    assert!(matches!(&changes[..], [QuarantineChange::Ended(_)]), "{changes:?}");
    // The node that has not heard of it yet does not bring the quarantine back.
    exchange(&mut nodes, now + ms(100));
    assert!(nodes.iter().all(|node| node.entries().is_empty()), "nor is another part refused");
    assert_eq!(nodes[0].digest(), nodes[1].digest());
}

#[test]
fn quarantine_lasts_while_requests_come_and_ends_some_time_after_the_last_one() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    for number in 0..2 {
        node.record_crash(&server(number), 1, &[DEADLY], start + ms(1_000) * number as u32);
    }
    let later = start + Duration::from_secs(500);
    assert!(is_blocked(&mut node, &[DEADLY], later));
    node.expire(later + Duration::from_secs(500));
    assert!(is_blocked(&mut node, &[DEADLY], later + Duration::from_secs(500)));
    node.expire(later + Duration::from_secs(1_200));
    assert!(node.entries().is_empty() && node.crash_count() == 0);
}

#[test]
fn parts_that_differ_in_each_request_do_not_fill_the_memory() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    for number in 0..500 {
        let now = start + ms(600) * number as u32;
        let parts: Vec<u64> = (0..200).map(|part| number as u64 * 1_000 + part).collect();
        node.record_crash(&server(number), 1, &parts, now);
        node.record_answer(&[1_000_000 + number as u64], now);
    }
    let reports = node.reports(start);
    assert!(reports.len() <= 64 && reports.iter().all(|report| report.suspects.len() <= 64));
}

#[test]
fn nodes_agree_in_short_reports_after_a_hundred_servers_crash() {
    let start = Instant::now();
    let mut nodes = vec![Quarantine::default(); 4];
    for number in 0..120 {
        let node = &mut nodes[number % 4];
        node.record_crash(&server(number), 1, &[FIRST, 100 + number as u64], start);
        node.record_answer(&[FIRST], start + ms(200));
    }
    let now = start + ms(1_000);
    for _ in 0..3 {
        exchange(&mut nodes, now);
    }
    assert!(nodes.iter().all(|node| node.digest() == nodes[0].digest()));
    assert!(nodes.iter().all(|node| node.entries().is_empty()));
    // The servers that are left answer the other prompts, and the crashes are settled.
    for number in 0..120 {
        nodes[0].record_answer(&[100 + number], start + ms(5_000));
    }
    let now = start + ms(12_000);
    nodes[0].expire(now);
    for _ in 0..3 {
        exchange(&mut nodes, now);
    }
    assert!(nodes.iter().all(|node| node.digest() == nodes[0].digest()));
    let reports = nodes[1].reports(now);
    assert!(reports.iter().all(|report| report.suspects.is_empty()), "{reports:?}");
}

#[test]
fn deadly_part_is_found_among_the_crashes_of_a_hundred_servers() {
    let start = Instant::now();
    let mut node = Quarantine::default();
    for number in 0..120 {
        node.record_crash(&server(number), 1, &[FIRST, 100 + number as u64], start);
    }
    for number in 0..120 {
        node.record_answer(&[FIRST, 100 + number], start + ms(400));
    }
    for number in 120..122 {
        let at = start + ms(500) * (number - 119) as u32;
        node.record_crash(&server(number), 1, &[FIRST, DEADLY], at);
    }
    assert!(is_blocked(&mut node, &[FIRST, DEADLY], start + ms(2_000)));
}

proptest! {
    /// The crashes of a search: when, which server, which parts, and which part was answered after.
    #[test]
    fn nodes_decide_alike_in_whatever_order_they_learn_of_crashes(
        crashes in prop::collection::vec((0..20_000_u64, 0..4_usize, prop::collection::vec(0..6_u64, 1..4)), 1..12),
        answered in prop::collection::vec((0..20_000_u64, 0..6_u64), 0..4),
        order in prop::collection::vec((0..3_usize, 0..3_usize), 0..20),
    ) {
        let start = Instant::now();
        let now = start + ms(20_000);
        let mut nodes = vec![Quarantine::default(); 3];
        for (number, (at, id, parts)) in crashes.iter().enumerate() {
            nodes[number % 3].record_crash(&server(*id), *at, parts, start + ms(*at));
        }
        for (number, (at, part)) in answered.iter().enumerate() {
            nodes[number % 3].record_answer(&[*part], start + ms(*at));
        }
        for (from, to) in order {
            let reports = nodes[from].reports(now);
            nodes[to].merge(&reports, now);
        }
        exchange(&mut nodes, now);
        exchange(&mut nodes, now);
        for node in &nodes[1..] {
            prop_assert_eq!(node.digest(), nodes[0].digest());
            prop_assert_eq!(node.entries(), nodes[0].entries());
        }
    }
}
