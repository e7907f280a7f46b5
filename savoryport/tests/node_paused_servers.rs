//! Servers that ask for a pause when they refuse requests, tested with real node processes.

mod node_site;

use std::time::{Duration, Instant};

use node_site::{NodeSite, RequestKind};
use savoryport_standin::backend::{BackendFault, BackendStandin};

/// The users' bound on the time after a server's request for a pause from which it counts.
const PAUSE_SLACK: Duration = Duration::from_millis(500);

/// The users' bound on the requests in a pause from one node.
const MAX_IN_PAUSE: usize = 2;

/// Returns how many requests reached the server in a time.
fn arrivals_between(server: &BackendStandin, from: Instant, to: Instant) -> usize {
    server.arrivals().iter().filter(|at| **at > from && **at < to).count()
}

/// Sends requests to all nodes in turn for a while; returns the number that was not served.
fn send_for(site: &NodeSite, name: &str, time: Duration) -> usize {
    let began = Instant::now();
    let mut failed = 0;
    for number in 0.. {
        if began.elapsed() >= time {
            break;
        }
        let kind =
            if number % 2 == 0 { RequestKind::Idempotent } else { RequestKind::NonIdempotent };
        let id = format!("{name}-{number}");
        failed += usize::from(site.send(number % site.nodes.len(), &id, kind).status != 200);
        std::thread::sleep(Duration::from_millis(10));
    }
    failed
}

#[test]
fn server_that_asks_for_a_pause_gets_it_and_the_others_serve() {
    const PAUSE: Duration = Duration::from_secs(3);
    let site = NodeSite::start(1);
    let paused = site.server("plain-0");
    paused.set_fault(BackendFault::Full);
    paused.set_retry_after(Some("3"));
    site.wait_until("the server has refused a request", |site| {
        site.send(0, "before", RequestKind::Idempotent);
        !site.server("plain-0").arrivals().is_empty()
    });
    let asked_at = paused.arrivals()[0];
    // A later refusal with a shorter time does not end the pause.
    paused.set_retry_after(Some("0.1"));
    assert_eq!(send_for(&site, "paused", PAUSE), 0);
    let arrivals = arrivals_between(paused, asked_at + PAUSE_SLACK, asked_at + PAUSE);
    assert!(arrivals <= MAX_IN_PAUSE, "{arrivals} requests in the pause");
    paused.set_fault(BackendFault::None);
    site.wait_until("the server serves again", |site| {
        site.send(0, "after", RequestKind::Idempotent);
        site.server("plain-0").runs_of("after") > 0
    });
}

#[test]
fn request_is_refused_until_the_first_pause_ends_if_all_servers_ask_for_one() {
    let site = NodeSite::start(1);
    for (server, pause) in [("plain-0", "9"), ("plain-1", "4"), ("plain-2", "20")] {
        site.server(server).set_fault(BackendFault::Full);
        site.server(server).set_retry_after(Some(pause));
    }
    send_for(&site, "first", Duration::from_millis(700));
    let response = site.send(0, "all", RequestKind::Idempotent);
    assert_eq!(response.status, 503);
    let wait: f64 = response.retry_after.expect("a time").parse().expect("a number");
    assert!(wait > 2.0 && wait < 6.0, "retry after {wait} s");
}

#[test]
fn unreadable_times_to_wait_do_not_stop_a_server() {
    let site = NodeSite::start(1);
    for (number, time) in
        ["-5", "soon", "Fri, 04 Dec 2026 10:00:00 GMT", "NaN", "1e400", ""].into_iter().enumerate()
    {
        for server in ["plain-0", "plain-1", "plain-2"] {
            site.server(server).set_retry_after(Some(time));
            site.server(server).set_fault(BackendFault::Full);
        }
        send_for(&site, &format!("unreadable-{number}"), Duration::from_millis(200));
        for server in ["plain-0", "plain-1", "plain-2"] {
            site.server(server).set_fault(BackendFault::None);
        }
        site.wait_until("the servers serve", |site| {
            site.send(0, &format!("after-{number}"), RequestKind::Idempotent).status == 200
        });
    }
    let log_lines = site.nodes[0].log_lines.lock().unwrap();
    let warning = "unreadable time to wait of a server";
    let warnings = log_lines.iter().filter(|line| line.contains(warning)).count();
    assert!((1..=3).contains(&warnings), "{warnings} warnings of three servers");
}

/// Guards against nodes that together turn a brittle server over, each of which finds it full again and
/// again.
#[test]
fn a_brittle_server_that_is_full_turns_away_no_more_than_it_can_bear() {
    const BEARABLE: usize = 2;
    let site = NodeSite::start(3);
    for server in ["plain-0", "plain-1", "plain-2"] {
        site.server(server).set_brittle(Some("2"));
    }
    assert_eq!(send_for(&site, "sound", Duration::from_secs(1)), 0);
    site.server("plain-0").set_fault(BackendFault::Full);
    let full_at = Instant::now();
    // A request that may be sent once is refused with the server that turns it away.
    let not_served = send_for(&site, "full", Duration::from_secs(6));
    assert!(not_served <= site.nodes.len(), "{not_served} not served");
    // What the nodes have yet to learn of its lack of room counts less than the rest.
    let learned_at = full_at + Duration::from_secs(1);
    let arrivals = site.server("plain-0").arrivals();
    let refused: Vec<Instant> = arrivals.into_iter().filter(|at| *at > learned_at).collect();
    for first in &refused {
        let end = *first + Duration::from_secs(1);
        let count = refused.iter().filter(|at| *at >= first && **at < end).count();
        assert!(count <= BEARABLE, "{count} requests turned away in a second");
    }
    let at_once = site.server("plain-0").arrivals();
    let at_once = at_once.iter().filter(|at| **at > full_at && **at <= learned_at).count();
    assert!(at_once <= 3, "{at_once} requests in the first second");
}
