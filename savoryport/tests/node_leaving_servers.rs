//! Servers that announce in their answers that they leave, tested with real node processes.

mod node_site;

use std::time::{Duration, Instant};

use node_site::{NodeSite, RequestKind};
use savoryport_standin::backend::BackendStandin;

/// The users' bound on the time in which a node goes on using a server that has announced that it leaves.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

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
fn server_that_announces_its_leaving_in_answers_gets_no_requests_though_it_is_registered() {
    let site = NodeSite::start(2);
    let leaving = site.server("plain-0");
    assert_eq!(send_for(&site, "before", Duration::from_millis(300)), 0);
    assert!(!leaving.arrivals().is_empty());
    leaving.announce_leaving();
    assert_eq!(send_for(&site, "meanwhile", DRAIN_TIME), 0);
    let left_at = Instant::now();
    // Another heartbeat that says nothing of it changes nothing.
    leaving.register("ready");
    assert_eq!(send_for(&site, "after", Duration::from_secs(2)), 0);
    assert_eq!(arrivals_between(leaving, left_at, Instant::now()), 0);
}

#[test]
fn restarted_server_that_had_left_is_used_again() {
    let mut site = NodeSite::start(1);
    for server in ["plain-0", "plain-1", "plain-2"] {
        site.server(server).announce_leaving();
    }
    send_for(&site, "leaving", Duration::from_secs(1));
    assert_eq!(site.send(0, "refused", RequestKind::Idempotent).status, 503);
    site.add_server("plain-0", "orders", &[]);
    site.wait_until("the new incarnation serves", |site| {
        site.send(0, "again", RequestKind::Idempotent).status == 200
    });
}
