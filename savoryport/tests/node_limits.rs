//! Servers in need that name the requests a second that they take, tested with real node processes.

mod node_site;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use node_site::{CallerResponse, NodeSite, RequestKind, SiteNode};
use rustix::process::Signal;
use savoryport_standin::metadata::StoreMode;

/// The users' bound on the time in which all nodes learn of a limit.
const LEARN_TIME: Duration = Duration::from_secs(4);

/// The users' window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The model that only servers with a limit hold.
const MODEL: &str = "scarce";

/// Starts two nodes in each of two failure domains, and servers in the first one that hold one more
/// model.
fn start(servers: &[&str]) -> NodeSite {
    let mut site = NodeSite::start_in_domains(&["east-a", "east-b"], 2);
    site.models.push((MODEL, 0.4));
    site.write_config();
    for id in servers {
        site.add_server(id, "drafts", &[MODEL]);
    }
    site.wait_until("every node knows the servers", |site| {
        site.nodes.iter().all(|node| servers.iter().all(|id| node.status().contains(id)))
    });
    site
}

/// Sends a request each `period` to the nodes in turn; returns the responses.
fn send_steadily(
    site: &NodeSite,
    name: &str,
    period: Duration,
    count: usize,
) -> Vec<CallerResponse> {
    let responses = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for number in 0..count {
            let responses = &responses;
            scope.spawn(move || {
                let id = format!("{name}-{number}");
                let node = number % site.nodes.len();
                let response = site.send(node, &id, RequestKind::Stream(MODEL));
                responses.lock().expect("no thread panics").push(response);
            });
            std::thread::sleep(period);
        }
    });
    responses.into_inner().expect("no thread panics")
}

/// Returns the most requests that reached a server within any [`WINDOW`] that begins at `from` or
/// later.
fn most_in_window(site: &NodeSite, server: &str, from: Instant) -> usize {
    let arrivals = site.server(server).arrivals();
    let later: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let counts = later.iter().enumerate().map(|(index, first)| {
        later[index..].iter().take_while(|at| **at < *first + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

/// Returns the users' bound on the requests within [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

#[test]
fn all_nodes_together_send_no_more_than_a_server_in_need_takes() {
    let site = start(&["scarce-0", "scarce-1"]);
    for (server, limit) in [("scarce-0", "1"), ("scarce-1", "2.5")] {
        site.server(server).set_limit(Some(limit));
    }
    let named = Instant::now();
    let responses = send_steadily(&site, "limited", Duration::from_millis(50), 280);
    for (server, limit) in [("scarce-0", 1.0), ("scarce-1", 2.5)] {
        let most = most_in_window(&site, server, named + LEARN_TIME);
        assert!(most <= allowed(limit), "{server}: {most} requests in a window");
        let seconds = (named.elapsed() - LEARN_TIME).as_secs_f64();
        let arrivals = site.server(server).arrivals();
        let later = arrivals.iter().filter(|at| **at >= named + LEARN_TIME).count() as f64;
        assert!(later >= 0.8 * limit * seconds, "{server}: {later} requests in {seconds} s");
    }
    for response in responses.iter().filter(|response| response.status != 200) {
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.retry_after.is_some(), "{response:?}");
    }
}

/// Waits until a node's status page shows this limit of a server.
fn wait_for_limit(site: &NodeSite, server: &str, limit: Option<f64>) {
    site.wait_until("every node knows the limit", |site| {
        let limit_at = |node: &SiteNode| node.server_status(server)["limit_per_s"].as_f64();
        site.nodes.iter().all(|node| limit_at(node) == limit)
    });
}

#[test]
fn nodes_learn_of_a_lower_a_higher_and_a_lifted_limit() {
    let site = start(&["scarce-0"]);
    let server = site.server("scarce-0");
    for limit in [Some(5.0), Some(2.0), Some(8.0), None] {
        server.set_limit(limit.map(|limit: f64| limit.to_string()).as_deref());
        let changed = Instant::now();
        while changed.elapsed() < LEARN_TIME {
            site.send(0, &format!("{limit:?}-{:?}", changed.elapsed()), RequestKind::Stream(MODEL));
            std::thread::sleep(Duration::from_millis(100));
        }
        wait_for_limit(&site, "scarce-0", limit);
    }
    let responses = send_steadily(&site, "after", Duration::from_millis(20), 50);
    assert!(responses.iter().all(|response| response.status == 200), "{responses:?}");
}

#[test]
fn a_limit_is_found_to_be_lifted_although_other_servers_take_the_requests() {
    let mut site = start(&["scarce-0"]);
    site.server("scarce-0").set_limit(Some("0.5"));
    assert_eq!(site.send(0, "first", RequestKind::Stream(MODEL)).status, 200);
    wait_for_limit(&site, "scarce-0", Some(0.5));
    site.add_server("sound", "drafts", &[MODEL]);
    site.wait_until("every node knows the server", |site| {
        site.nodes.iter().all(|node| node.status().contains("sound"))
    });
    site.server("scarce-0").set_limit(None);
    let responses = send_steadily(&site, "other", Duration::from_millis(50), 120);
    assert!(responses.iter().all(|response| response.status == 200), "{responses:?}");
    wait_for_limit(&site, "scarce-0", None);
}

#[test]
fn limits_that_are_no_rates_are_reported_once_and_do_no_harm() {
    let site = start(&["scarce-0"]);
    for (number, limit) in
        ["", "-1", "1e9", "nan", "many", "99999999999999999999"].iter().enumerate()
    {
        site.server("scarce-0").set_limit(Some(limit));
        for attempt in 0..5 {
            let id = format!("bad-{number}-{attempt}");
            assert_eq!(site.send(0, &id, RequestKind::Stream(MODEL)).status, 200, "{limit:?}");
        }
    }
    let lines = site.nodes[0].log_lines.lock().expect("no thread panics");
    let warnings = lines.iter().filter(|line| line.contains("unreadable limit")).count();
    assert_eq!(warnings, 1);
    drop(lines);
    site.server("scarce-0").set_limit(Some("7, 3"));
    site.send(0, "two", RequestKind::Stream(MODEL));
    wait_for_limit(&site, "scarce-0", Some(3.0));
}

#[test]
fn a_limit_holds_while_its_owner_and_the_store_are_away() {
    let mut site = start(&["scarce-0"]);
    site.server("scarce-0").set_limit(Some("2"));
    send_steadily(&site, "named", Duration::from_millis(100), 10);
    wait_for_limit(&site, "scarce-0", Some(2.0));
    let named = Instant::now();
    send_steadily(&site, "before", Duration::from_millis(50), 60);
    // The leader of the server's failure domain is one of the first two nodes.
    for node in 0..2 {
        site.nodes[node].signal(Signal::KILL);
        site.nodes[node].wait_for_exit();
        site.nodes[node].start();
        send_steadily(&site, &format!("killed-{node}"), Duration::from_millis(50), 60);
    }
    for node in 0..2 {
        site.nodes[node].signal(Signal::STOP);
        std::thread::sleep(Duration::from_millis(1_500));
        site.nodes[node].signal(Signal::CONT);
        send_steadily(&site, &format!("paused-{node}"), Duration::from_millis(50), 20);
    }
    site.store.set_mode(StoreMode::Silent);
    let in_outage = Instant::now();
    let responses = send_steadily(&site, "outage", Duration::from_millis(50), 100);
    site.store.set_mode(StoreMode::Up);
    let served = responses.iter().filter(|response| response.status == 200).count() as f64;
    let seconds = in_outage.elapsed().as_secs_f64();
    assert!(served >= 0.8 * seconds, "{served} served in {seconds} s without a store");
    send_steadily(&site, "after", Duration::from_millis(50), 100);
    let most = most_in_window(&site, "scarce-0", named);
    assert!(most <= allowed(2.0), "{most} requests in a window");
}
