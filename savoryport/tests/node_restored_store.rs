//! A store that is restored from a copy some seconds old, tested with real node processes.

mod node_site;

use std::time::{Duration, Instant};

use node_site::{NodeSite, ORDER_TURN_MS, RequestKind, SiteNode};
use rustix::process::Signal;
use savoryport_standin::metadata::{StoreCopy, StoreMode};
use savoryport_standin::proxy::Faults;

/// How long the store is away before it is restored.
const OUTAGE: Duration = Duration::from_millis(500);

/// The users' bound on the time in which a change is in force once the store is stable.
const APPLY_TIME: Duration = Duration::from_millis(2_500);

/// The adapters that requests ask for in turn, so that a leader has to give orders.
const ADAPTERS: [&str; 6] = ["m1/a1", "m1/a2", "m1/a3", "m1/a4", "m1/a5", "m1/a6"];

/// More adapters than the engines have room for, so that requests for them in turn need ever new orders.
const ALL_ADAPTERS: [&str; 8] =
    ["m1/a1", "m1/a2", "m1/a3", "m1/a4", "m1/a5", "m1/a6", "m1/a7", "m1/a8"];

/// Returns whether a node may send orders.
fn may_order(site: &NodeSite, node: usize) -> bool {
    let status = site.nodes[node].status_json();
    let mut duties = status["duties"].as_array().into_iter().flatten();
    duties.any(|duty| duty["may_order"] == true)
}

fn wait_for_leader(site: &NodeSite, nodes: &[usize]) -> usize {
    site.wait_until("a node may send orders", |site| {
        nodes.iter().any(|node| may_order(site, *node))
    });
    *nodes.iter().find(|node| may_order(site, **node)).expect("it leads")
}

/// Returns the nodes whose status page names this server.
fn nodes_that_know(site: &NodeSite, server: &str) -> Vec<usize> {
    (0..site.nodes.len()).filter(|node| site.nodes[*node].status().contains(server)).collect()
}

/// Takes the store away and brings it back from a copy. What the operator and the servers wrote since
/// is written again by `write_again`.
fn restore(site: &mut NodeSite, copy: &StoreCopy, write_again: impl FnOnce(&mut NodeSite)) {
    site.store.set_mode(StoreMode::Silent);
    std::thread::sleep(OUTAGE);
    site.store.restore(copy);
    write_again(site);
    site.store.set_mode(StoreMode::Up);
}

fn kill_and_start(site: &mut NodeSite, node: usize) {
    site.nodes[node].signal(Signal::KILL);
    site.nodes[node].wait_for_exit();
    site.nodes[node].start();
    site.wait_until("the node is ready", |site| site.nodes[node].is_ready());
}

#[test]
fn fencing_tokens_do_not_fall_when_the_store_goes_back() {
    let mut site = NodeSite::start(3);
    let former = wait_for_leader(&site, &[0, 1, 2]);
    let copy = site.store.copy();
    kill_and_start(&mut site, former);
    for _ in 0..20 {
        site.write_config();
    }
    site.wait_until("an order is given", |site| {
        ADAPTERS[..3]
            .iter()
            .all(|adapter| site.send(0, adapter, RequestKind::Stream(adapter)).status == 200)
    });
    restore(&mut site, &copy, NodeSite::write_config);
    site.wait_until("orders are given again", |site| {
        ADAPTERS[3..]
            .iter()
            .all(|adapter| site.send(1, adapter, RequestKind::Stream(adapter)).status == 200)
    });
    for server in &site.servers {
        let tokens: Vec<u64> = server.orders().iter().map(|order| order.fencing_token).collect();
        assert!(tokens.is_sorted(), "{}: {tokens:?}", server.id());
    }
}

#[test]
fn two_nodes_do_not_lead_with_a_lease_id_that_was_given_out_again() {
    let mut site = NodeSite::start(2);
    let former = wait_for_leader(&site, &[0, 1]);
    let copy = site.store.copy();
    site.nodes[former].signal(Signal::KILL);
    site.nodes[former].wait_for_exit();
    let leader = wait_for_leader(&site, &[1 - former]);
    site.nodes[former].start();
    site.wait_until("the node is ready", |site| site.nodes[former].is_ready());
    let cut = Faults { refuse: true, pause: true, ..Faults::default() };
    site.nodes[leader].store_proxy.set_faults(|faults| *faults = cut);
    restore(&mut site, &copy, |_| ());
    wait_for_leader(&site, &[former]);
    site.nodes[leader].store_proxy.set_faults(|faults| *faults = Faults::default());
    let healed = Instant::now();
    while healed.elapsed() < Duration::from_secs(4) {
        assert!(!(may_order(&site, former) && may_order(&site, leader)), "both lead");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Sends requests that need orders until a leader has given one.
fn wait_for_orders(site: &NodeSite, holder: usize) {
    let name = &site.nodes[holder].name;
    let engines = || site.servers.iter().filter(|server| server.id().starts_with("engine-"));
    site.wait_until("the leader has given orders", |site| {
        for adapter in ALL_ADAPTERS {
            site.send(holder, adapter, RequestKind::Stream(adapter));
        }
        engines().any(|engine| engine.orders().iter().any(|order| order.holder == *name))
    });
}

/// Checks that no fencing token is lower than an earlier one, and that leaders take turns.
fn check_orders(site: &NodeSite) {
    let order_turn = Duration::from_millis(ORDER_TURN_MS);
    for server in &site.servers {
        for [former, next] in server.orders().array_windows() {
            let pause = next.received_at - former.received_at;
            assert!(former.fencing_token <= next.fencing_token, "{former:?}, then {next:?}");
            assert!(
                former.holder == next.holder || pause >= order_turn,
                "{former:?}, then {next:?}"
            );
        }
    }
}

/// Guards against a leader that goes on with a key of the store's copy, though another node led after
/// its lease had run out, in the history that is lost.
#[test]
fn a_leader_whose_lease_ran_out_does_not_lead_again_with_the_stores_copy() {
    let mut site = NodeSite::start(2);
    let former = wait_for_leader(&site, &[0, 1]);
    wait_for_orders(&site, former);
    let cut = Faults { refuse: true, pause: true, ..Faults::default() };
    site.nodes[former].store_proxy.set_faults(|faults| *faults = cut);
    let copy = site.store.copy();
    let leader = wait_for_leader(&site, &[1 - former]);
    wait_for_orders(&site, leader);
    restore(&mut site, &copy, |_| ());
    site.nodes[former].store_proxy.set_faults(|faults| *faults = Faults::default());
    let restored = Instant::now();
    while restored.elapsed() < Duration::from_secs(6) {
        for adapter in ALL_ADAPTERS {
            site.send(former, adapter, RequestKind::Stream(adapter));
        }
    }
    check_orders(&site);
    assert!((0..2).any(|node| may_order(&site, node)), "the failure domain has no leader");
}

#[test]
fn changes_are_not_missed_when_the_store_goes_back() {
    let mut site = NodeSite::start(3);
    site.add_server("left", "orders", &[]);
    site.wait_until("all nodes know the server", |site| nodes_that_know(site, "left").len() == 3);
    let copy = site.store.copy();
    for _ in 0..10 {
        site.write_config();
    }
    site.wait_until("the configuration is in force", |site| {
        (0..3).all(|node| site.nodes[node].status_json()["config"] == site.config_version)
    });
    let reached = site.store.revision();
    restore(&mut site, &copy, |site| {
        site.store.remove("servers/left");
        site.add_server("joined", "orders", &[]);
        while site.store.revision() < reached + 5 {
            site.write_config();
        }
    });
    let returned = Instant::now();
    let is_current = |site: &NodeSite| {
        nodes_that_know(site, "joined").len() == 3
            && nodes_that_know(site, "left").is_empty()
            && (0..3).all(|node| site.nodes[node].status_json()["config"] == site.config_version)
    };
    // Servers whose entries lapsed in the outage have two seconds to register again.
    site.wait_until("all nodes know what changed", is_current);
    let took = returned.elapsed();
    assert!(took < APPLY_TIME + Duration::from_secs(2), "{took:?}");
}

#[test]
fn a_server_that_leaves_after_an_outage_gets_no_more_time_than_the_outage_gives() {
    let mut site = NodeSite::start(1);
    for id in ["left-early", "left-late"] {
        site.add_server(id, "orders", &[]);
    }
    site.wait_until("the servers are known", |site| {
        nodes_that_know(site, "left-early").len() + nodes_that_know(site, "left-late").len() == 2
    });
    site.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_secs(4));
    site.store.set_mode(StoreMode::Up);
    site.wait_until("the store is regained", |site| {
        let lines = site.nodes[0].log_lines.lock().expect("no thread panics");
        lines.iter().any(|line| line.contains("store regained"))
    });
    let regained = Instant::now();
    for (id, at) in [("left-early", 500), ("left-late", 1_700)] {
        std::thread::sleep(Duration::from_millis(at).saturating_sub(regained.elapsed()));
        site.servers.iter().find(|server| server.id() == id).expect("it runs").deregister();
    }
    site.wait_until("they are gone", |site| {
        ["left-early", "left-late"].iter().all(|id| nodes_that_know(site, id).is_empty())
    });
    let took = regained.elapsed();
    assert!(took < Duration::from_millis(2_800), "gone {took:?} after the outage");
}

#[test]
fn a_server_that_left_or_leaves_is_not_used_again_when_the_store_goes_back() {
    let mut site = NodeSite::start(2);
    for id in ["left", "leaves", "stays"] {
        site.add_server(id, "orders", &[]);
    }
    let is_ready = |node: &SiteNode, id: &str| node.server_status(id)["ready"] == true;
    let all_ready = |site: &NodeSite, id: &str| site.nodes.iter().all(|node| is_ready(node, id));
    site.wait_until("the servers are known", |site| {
        ["left", "leaves", "stays"].iter().all(|id| all_ready(site, id))
    });
    let copy = site.store.copy();
    site.server("left").deregister();
    site.server("leaves").register("draining");
    site.write_config();
    let has_config = |site: &NodeSite| {
        site.nodes.iter().all(|node| node.status_json()["config"] == site.config_version)
    };
    site.wait_until("the configuration is in force", has_config);
    let is_used = |site: &NodeSite, id: &str| site.nodes.iter().any(|node| is_ready(node, id));
    site.wait_until("the servers leave", |site| !is_used(site, "left") && !is_used(site, "leaves"));
    restore(&mut site, &copy, |_| ());
    let returned = Instant::now();
    while returned.elapsed() < Duration::from_secs(4) {
        assert!(!is_used(&site, "left"), "a server that left is used again");
        assert!(!is_used(&site, "leaves"), "a server that leaves is used again");
        assert!(has_config(&site), "an older configuration is in force");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(all_ready(&site, "stays"));
    // A server that writes its entry again is running.
    site.server("left").register("ready");
    site.wait_until("the server is used again", |site| all_ready(site, "left"));
}
