//! Quotas of teams, tested with real node processes.

mod node_site;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use node_site::{CallerResponse, NodeSite, send_with_key};
use rustix::process::Signal;
use serde_json::json;

/// The limit of the flooding team, in requests a second.
const RATE: f64 = 20.0;

/// The operators' window.
const WINDOW: Duration = Duration::from_secs(8);

/// The number of requests sent, by which each gets an id of its own.
static SENT: AtomicU64 = AtomicU64::new(0);

/// Starts two nodes in each of two failure domains, and configures two teams.
fn start() -> NodeSite {
    let mut site = NodeSite::start_in_domains(&["east-a", "east-b"], 2);
    site.teams = json!([
        { "name": "flooding", "apiKeys": ["key-f"], "ratePerS": RATE, "burst": RATE },
        { "name": "modest", "apiKeys": ["key-m"], "ratePerS": 40.0, "burst": 40.0 },
    ]);
    site.write_config();
    site.wait_until("every node hears of all others", |site| {
        site.nodes.iter().all(|node| {
            let status = node.status();
            status.contains("\"flooding\"") && status.contains("\"quota_nodes_heard\":4")
        })
    });
    std::thread::sleep(Duration::from_secs(1));
    site
}

/// Sends a request of a team each `period` to the nodes in turn for some time; returns the responses
/// and when they came.
fn send_steadily(
    site: &NodeSite,
    key: &str,
    period: Duration,
    time: Duration,
) -> Vec<(Instant, CallerResponse)> {
    let responses = Mutex::new(Vec::new());
    let start = Instant::now();
    std::thread::scope(|scope| {
        for number in 0.. {
            if start.elapsed() > time {
                break;
            }
            let (responses, address) = (&responses, &site.nodes[number % site.nodes.len()].callers);
            scope.spawn(move || {
                let id = format!("{key}-{}-{number}", SENT.fetch_add(1, Ordering::Relaxed));
                let response = send_with_key(address, &id, key);
                let mut responses = responses.lock().expect("no thread panics");
                responses.push((Instant::now(), response));
            });
            std::thread::sleep(period);
        }
    });
    responses.into_inner().expect("no thread panics")
}

/// Asserts that no more requests were served within any window than the operators allow.
fn assert_within_limit(responses: &[(Instant, CallerResponse)]) {
    let mut served: Vec<Instant> = responses
        .iter()
        .filter(|(_, response)| response.status == 200)
        .map(|(at, _)| *at)
        .collect();
    served.sort_unstable();
    let in_window = |first: &Instant| {
        served.iter().filter(|at| (*first..*first + WINDOW).contains(*at)).count()
    };
    let most = served.iter().map(in_window).max().unwrap_or(0);
    let allowed = (RATE * WINDOW.as_secs_f64() + RATE) * 1.1;
    assert!(most as f64 <= allowed, "{most} requests in a window, {allowed} allowed");
}

#[test]
fn a_flood_through_all_nodes_stays_within_the_limit_and_harms_no_other_team() {
    let site = start();
    let (flood, modest) = std::thread::scope(|scope| {
        let flood = scope.spawn(|| {
            send_steadily(&site, "key-f", Duration::from_millis(12), Duration::from_secs(10))
        });
        let modest =
            send_steadily(&site, "key-m", Duration::from_millis(100), Duration::from_secs(10));
        (flood.join().expect("no thread panics"), modest)
    });
    assert_within_limit(&flood);
    let served = flood.iter().filter(|(_, response)| response.status == 200).count();
    let first = flood.first().map(|(_, response)| response);
    assert!(served as f64 >= 0.6 * RATE * 10.0, "{served} served; {first:?}");
    for (_, response) in flood.iter().filter(|(_, response)| response.status != 200) {
        assert_eq!(response.status, 429, "{response:?}");
        assert!(response.retry_after.is_some(), "{response:?}");
        assert!(response.body.as_ref().is_some_and(|body| body.contains("quota")));
    }
    let refused = modest.iter().filter(|(_, response)| response.status != 200).count();
    assert!(refused * 20 <= modest.len(), "{refused} of {} refused", modest.len());
    assert_eq!(send_with_key(&site.nodes[0].callers, "wrong", "key-x").status, 401);
}

#[test]
fn the_limit_holds_while_a_leader_freezes_and_all_nodes_restart() {
    let mut site = start();
    let period = Duration::from_millis(15);
    let mut responses = send_steadily(&site, "key-f", period, Duration::from_secs(2));
    site.nodes[0].signal(Signal::STOP);
    std::thread::scope(|scope| {
        let flood = scope.spawn(|| send_steadily(&site, "key-f", period, Duration::from_secs(4)));
        std::thread::sleep(Duration::from_secs(2));
        site.nodes[0].signal(Signal::CONT);
        responses.extend(flood.join().expect("no thread panics"));
    });
    for node in &mut site.nodes {
        node.signal(Signal::KILL);
        node.wait_for_exit();
        node.start();
    }
    responses.extend(send_steadily(&site, "key-f", period, Duration::from_secs(6)));
    assert_within_limit(&responses);
    let served = responses.iter().rev().take(50).filter(|(_, response)| response.status == 200);
    assert!(served.count() > 0, "the nodes serve the team again");
}
