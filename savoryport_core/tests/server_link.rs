//! When a node takes itself for cut off from all servers.

mod node_support;

use std::time::{Duration, Instant};

use node_support::server;
use savoryport_core::Name;
use savoryport_core::node::registry::{BackendServer, ServerState};
use savoryport_core::node::selection::Distance;
use savoryport_core::node::server_link::{LinkChange, ServerLink, choose_asked};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(name: &str) -> Name {
    name.into()
}

/// Asks servers as often as is due until `end`, none of which accepts a connection; returns when the node
/// took itself for cut off.
fn ask_in_vain(
    link: &mut ServerLink,
    busy_servers: usize,
    (mut now, end): (Instant, Instant),
) -> Option<Instant> {
    while now < end {
        if link.is_round_due(busy_servers, now) {
            link.begin_round(now);
            if link.record_lost_round(4) == Some(LinkChange::Lost) {
                return Some(now);
            }
        }
        now += ms(50);
    }
    None
}

/// The rule counts from 4 s after the cut, and callers keep addresses for 3 s.
#[test]
fn a_node_whose_connections_fail_knows_that_it_is_cut_off_within_a_second() {
    let start = Instant::now();
    let mut link = ServerLink::default();
    link.record_accepted(start);
    link.record_failure(&name("a"), start + ms(100));
    link.record_failure(&name("b"), start + ms(200));
    let cut_at = ask_in_vain(&mut link, 0, (start + ms(200), start + ms(1_000)));
    assert!(cut_at.is_some() && link.is_cut());
}

#[test]
fn requests_that_hang_at_several_servers_are_a_reason_to_ask_and_at_one_are_none() {
    let start = Instant::now();
    let mut link = ServerLink::default();
    link.record_accepted(start);
    let busy_with_one = (start, start + ms(3_000));
    assert_eq!(ask_in_vain(&mut link.clone(), 1, busy_with_one), None);
    assert!(ask_in_vain(&mut link, 3, (start, start + ms(1_500))).is_some());
}

#[test]
fn one_server_that_accepts_a_connection_speaks_against_a_cut() {
    let start = Instant::now();
    let mut link = ServerLink::default();
    for round in 0..20 {
        let now = start + ms(300) * round;
        link.record_failure(&name("a"), now);
        link.record_failure(&name("b"), now);
        assert!(link.is_round_due(0, now));
        link.begin_round(now);
        assert_eq!(link.record_accepted(now), None);
        assert!(!link.is_cut());
    }
}

#[test]
fn one_failure_beside_servers_that_send_is_no_reason_to_ask() {
    let start = Instant::now();
    let mut link = ServerLink::default();
    link.record_data(start);
    link.record_failure(&name("a"), start + ms(100));
    assert!(!link.is_round_due(4, start + ms(100)));
    // A node without other requests asks at once.
    assert!(link.is_round_due(0, start + ms(900)));
}

#[test]
fn a_cut_ends_with_the_first_connection_and_without_requests_of_callers() {
    let start = Instant::now();
    let mut link = ServerLink::default();
    link.record_failure(&name("a"), start);
    link.record_failure(&name("b"), start);
    let cut_at = ask_in_vain(&mut link, 0, (start, start + ms(1_000))).expect("it is cut off");
    let much_later = cut_at + ms(60_000);
    assert!(link.is_round_due(0, much_later), "it keeps asking");
    link.begin_round(much_later);
    assert!(!link.is_round_due(0, much_later + ms(100)), "not all the time");
    assert_eq!(link.record_accepted(much_later + ms(200)), Some(LinkChange::Regained));
    assert!(!link.is_cut() && !link.is_round_due(0, much_later + ms(300)));
}

#[test]
fn a_single_server_that_fails_says_nothing_about_the_node() {
    let start = Instant::now();
    let mut link = ServerLink::default();
    for round in 0..10 {
        let now = start + ms(300) * round;
        link.record_failure(&name("a"), now);
        link.begin_round(now);
        assert_eq!(link.record_lost_round(1), None);
    }
    assert!(!link.is_cut());
}

#[test]
fn a_round_asks_servers_of_all_services_near_and_far() {
    let of = |id: &str, service: &str, domain: &str| BackendServer {
        service: service.into(),
        ..server(id, domain, &[])
    };
    let mut servers: Vec<BackendServer> = (0..20)
        .map(|number| of(&format!("far-{number}"), "drafts", "west"))
        .chain((0..20).map(|number| of(&format!("near-{number}"), "drafts", "east")))
        .collect();
    servers.push(of("order", "orders", "west"));
    let draining = ServerState::Draining { gone_after_ms: None };
    servers.push(BackendServer { state: draining, ..of("leaving", "orders", "east") });
    let distance = |server: &BackendServer| match &*server.failure_domain {
        "east" => Distance::SameDomain,
        _ => Distance::OtherRegion,
    };
    let mut asked_once = std::collections::BTreeSet::new();
    for seed in 0..50_u64 {
        let mut number = seed;
        let asked = choose_asked(servers.iter(), distance, || {
            number = number.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            number >> 8
        });
        let ids: Vec<&str> = asked.iter().map(|server| &*server.id).collect();
        assert_eq!(ids.len(), 3, "{ids:?}");
        assert!(ids.contains(&"order"), "{ids:?}");
        assert_eq!(ids.iter().filter(|id| id.starts_with("near")).count(), 1, "{ids:?}");
        asked_once.extend(ids.into_iter().map(str::to_owned));
    }
    assert!(asked_once.len() > 20, "each round asks others: {asked_once:?}");
}
