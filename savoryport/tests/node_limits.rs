//! Servers in need that name the requests a second that they take, tested with real node processes.

mod node_site;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use node_site::{CallerResponse, NodeSite, RequestKind};

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
