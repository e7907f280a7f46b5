//! Nodes that lose their links to all servers while callers, the store and other nodes still reach
//! them, tested with real node processes behind proxies.

mod node_site;

use std::time::{Duration, Instant};

use node_site::{NodeSite, RequestKind, expected_stream};
use savoryport_standin::proxy::Faults;

/// The users' bound: from this time after a cut began, requests at a node that is cut off are served
/// about as often as at others.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(4_000);

/// How the links of a node fail.
#[derive(Debug, Clone, Copy)]
enum Cut {
    /// Connections hang, open ones too.
    Hangs,
    /// Connections are reset, and new ones refused.
    Resets,
    /// Open connections live on, and new ones are refused.
    RefusesNew,
}

impl Cut {
    fn begin(self, site: &NodeSite, node: usize) {
        let links = &site.nodes[node].server_links;
        let none = Faults::default();
        links.set_faults(match self {
            Self::Hangs => Faults { hang_connects: true, pause: true, ..none },
            Self::Resets | Self::RefusesNew => Faults { close_listener: true, ..none },
        });
        if matches!(self, Self::Resets) {
            links.close_connections();
        }
    }
}

fn heal(site: &NodeSite, node: usize) {
    site.nodes[node].server_links.set_faults(Faults::default());
}

/// Starts three nodes, each in a failure domain of its own.
fn start() -> NodeSite {
    let site = NodeSite::start_with_server_links(&["east-a", "east-b", "east-c"]);
    for node in 0..3 {
        site.wait_until("the node serves", |site| {
            site.send(node, &format!("ready-{node}"), RequestKind::Idempotent).status == 200
                && site.send(node, "ready", RequestKind::Stream("m0")).status == 200
        });
    }
    site
}

/// Sends requests of all kinds to a node, one after the other; returns how many of them were served.
fn count_served(site: &NodeSite, node: usize, prefix: &str, count: usize) -> usize {
    let kinds = [RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Stream("m0")];
    let served = (0..count).filter(|number| {
        let (id, kind) = (format!("{prefix}-{number}"), kinds[number % kinds.len()]);
        let response = site.send(node, &id, kind);
        let expected = match kind {
            RequestKind::Stream(_) => expected_stream(&id),
            _ => format!("answer to {id}"),
        };
        let runs = site.runs_of(&id);
        let is_served = response.status == 200 && response.body == Some(expected);
        assert!(runs <= 1 || !matches!(kind, RequestKind::NonIdempotent), "{id} ran {runs} times");
        assert!(!is_served || response.server_stamp.is_some(), "{id} has no server stamp");
        is_served
    });
    served.count()
}

fn check_cut(cut: Cut) {
    let site = start();
    cut.begin(&site, 1);
    let began = Instant::now();
    let mut number = 0;
    // Callers keep sending, from which the node learns of the cut.
    while began.elapsed() < CONTACT_TIMEOUT {
        count_served(&site, 1, &format!("early-{number}"), 1);
        number += 1;
        std::thread::sleep(Duration::from_millis(50));
    }
    let served = count_served(&site, 1, "cut-off", 30);
    let others = count_served(&site, 0, "linked", 30);
    assert_eq!((served, others), (30, 30), "{cut:?}");
    heal(&site, 1);
    std::thread::sleep(CONTACT_TIMEOUT);
    assert_eq!(count_served(&site, 1, "healed", 30), 30, "{cut:?}");
}

/// Guards against a node that refuses what other nodes could serve for it.
#[test]
fn a_node_whose_links_to_all_servers_hang_still_serves() {
    check_cut(Cut::Hangs);
}

/// Guards against a node that refuses what other nodes could serve for it.
#[test]
fn a_node_whose_links_to_all_servers_are_reset_still_serves() {
    check_cut(Cut::Resets);
}

/// Guards against a node that refuses what needs a new connection while old ones live on.
#[test]
fn a_node_to_which_servers_refuse_new_connections_still_serves() {
    check_cut(Cut::RefusesNew);
}

/// Guards against a directory that leads callers to nodes which reach no server.
#[test]
fn the_directory_leads_callers_to_nodes_that_reach_servers() {
    let site = start();
    let cut_off = site.nodes[1].callers.clone();
    let leads_there = |node: usize| site.nodes[node].addresses_for("east-b").contains(&cut_off);
    site.wait_until("the directory of a failure domain names its node", |_| leads_there(1));
    Cut::Hangs.begin(&site, 1);
    let began = Instant::now();
    while began.elapsed() < CONTACT_TIMEOUT {
        count_served(&site, 1, &format!("early-{}", began.elapsed().as_millis()), 1);
        std::thread::sleep(Duration::from_millis(50));
    }
    let named: Vec<usize> = (0..3).filter(|node| leads_there(*node)).collect();
    assert_eq!(named, [] as [usize; 0]);
    assert!(site.nodes[1].is_ready(), "it takes connections, and serves them through others");
    heal(&site, 1);
    site.wait_until("the directory names the node again", |_| leads_there(1));
}
