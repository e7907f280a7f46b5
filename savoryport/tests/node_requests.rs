//! Guarantees for callers' requests, tested with real node processes and failing servers.

mod node_site;

use std::time::{Duration, Instant};

use node_site::{NodeSite, RequestKind, expected_stream};
use rustix::process::Signal;
use savoryport_standin::backend::BackendFault;
use savoryport_standin::metadata::StoreMode;

#[test]
fn callers_get_whole_answers_with_the_servers_proof() {
    let site = NodeSite::start(2);
    for node in 0..2 {
        let response = site.send(node, &format!("c-{node}"), RequestKind::NonIdempotent);
        assert_eq!(response.status, 200);
        assert_eq!(response.body, Some(format!("answer to c-{node}")));
        assert!(response.server_stamp.is_some());
        let id = format!("d-{node}");
        let stream = site.send(node, &id, RequestKind::Stream("m0"));
        assert_eq!((stream.status, stream.body), (200, Some(expected_stream(&id))));
    }
    assert!(site.runs().values().all(|count| *count == 1));
}

#[test]
fn adapters_are_loaded_when_they_are_asked_for_and_places_are_never_exceeded() {
    let site = NodeSite::start(2);
    for (number, model) in
        ["m0/a1", "m0/a2", "m0/a3", "m0/a4", "m0/a5", "m1/a1", "m0/a1", "m2/a6"].iter().enumerate()
    {
        let id = format!("a-{number}");
        let stream = site.send(number % 2, &id, RequestKind::Stream(model));
        assert_eq!((stream.status, stream.body), (200, Some(expected_stream(&id))), "{model}");
    }
    assert!(site.servers.iter().all(|server| server.overcommit_count() == 0));
    assert!(site.servers.iter().any(|server| !server.orders().is_empty()));
}

#[test]
fn a_full_server_is_passed_over_and_a_request_that_did_not_run_says_so() {
    let site = NodeSite::start(1);
    site.server("plain-0").set_fault(BackendFault::Full);
    for number in 0..12 {
        assert_eq!(site.send(0, &format!("l-{number}"), RequestKind::Idempotent).status, 200);
    }
    for id in ["plain-1", "plain-2"] {
        site.server(id).set_fault(BackendFault::Full);
    }
    let refused = site.send(0, "c-refused", RequestKind::NonIdempotent);
    assert_eq!((refused.status, refused.server_stamp), (503, None));
    assert!(refused.retry_after.is_some());
    assert_eq!(site.runs_of("c-refused"), 0);
}

#[test]
fn a_request_that_may_not_repeat_runs_once_and_is_never_said_not_to_have_run() {
    let site = NodeSite::start(1);
    for fault in [BackendFault::DropsResponses, BackendFault::WrongRequestId] {
        for server in ["plain-0", "plain-1", "plain-2"] {
            site.server(server).set_fault(fault);
        }
        let id = format!("once-{fault:?}");
        let response = site.send(0, &id, RequestKind::NonIdempotent);
        assert!([502, 504].contains(&response.status), "{fault:?}: {response:?}");
        assert_eq!((site.runs_of(&id), response.server_stamp), (1, None), "{fault:?}");
    }
}

#[test]
fn an_answer_to_somebody_else_reaches_nobody() {
    let site = NodeSite::start(1);
    site.server("plain-0").set_fault(BackendFault::WrongRequestId);
    for number in 0..12 {
        let id = format!("x-{number}");
        let response = site.send(0, &id, RequestKind::Idempotent);
        if response.status == 200 {
            assert_eq!(response.body, Some(format!("answer to {id}")));
        }
    }
}

#[test]
fn idempotent_request_is_retried_after_a_server_error() {
    let site = NodeSite::start(1);
    site.server("plain-0").set_fault(BackendFault::InternalError);
    for number in 0..12 {
        assert_eq!(site.send(0, &format!("f-{number}"), RequestKind::Idempotent).status, 200);
    }
}

#[test]
fn a_stream_that_breaks_goes_on_at_another_server_without_a_gap() {
    let site = NodeSite::start(1);
    site.server("engine-0").set_fault(BackendFault::BreaksStreams);
    for number in 0..6 {
        let id = format!("s-{number}");
        let stream = site.send(0, &id, RequestKind::Stream("m0"));
        assert_eq!((stream.status, stream.body), (200, Some(expected_stream(&id))));
    }
}

#[test]
fn a_stream_that_breaks_late_goes_on_though_a_new_one_would_be_refused_by_then() {
    let mut site = NodeSite::start(1);
    site.models.push(("m3", 0.4));
    // The first of the two is selected, since both are idle. Its third event would come after
    // 1.2 s, more than twice the target latency of the first event.
    site.add_server_with_interval("late-a", "drafts", &["m3"], Duration::from_millis(400));
    site.server("late-a").set_fault(BackendFault::BreaksStreams);
    site.add_server("late-b", "drafts", &["m3"]);
    site.write_config();
    site.wait_until("both servers are known", |site| {
        let status = site.nodes[0].status();
        ["late-a", "late-b"].iter().all(|id| status.contains(id))
    });
    let stream = site.send(0, "late", RequestKind::Stream("m3"));
    assert_eq!((stream.status, stream.body), (200, Some(expected_stream("late"))));
    assert_eq!(site.server("late-a").runs_of("late"), 1);
}

/// Starts a node and an engine with this fault, which is the only one that holds `m3`.
fn site_with_only_one_engine_for_m3(fault: BackendFault) -> NodeSite {
    let mut site = NodeSite::start(1);
    site.models.push(("m3", 0.4));
    site.add_server("lone", "drafts", &["m3"]);
    site.server("lone").set_fault(fault);
    site.write_config();
    site.wait_until("the engine is known", |site| site.nodes[0].status().contains("lone"));
    site
}

#[test]
fn stalled_stream_is_kept_open_if_no_other_server_can_resume_it() {
    let pause = Duration::from_millis(2_000);
    let site = site_with_only_one_engine_for_m3(BackendFault::Stalls { before_event: 3, pause });
    let stream = site.send(0, "silent", RequestKind::Stream("m3"));
    assert_eq!((stream.status, stream.body), (200, Some(expected_stream("silent"))));
    assert_eq!(site.runs_of("silent"), 1);
}

#[test]
fn request_waits_for_a_slow_first_event_if_no_other_server_can_take_it() {
    // More than half of the route's timeout, after which a request may be sent to another server.
    let pause = Duration::from_millis(2_500);
    let site = site_with_only_one_engine_for_m3(BackendFault::Stalls { before_event: 1, pause });
    let stream = site.send(0, "slow", RequestKind::Stream("m3"));
    assert_eq!((stream.status, stream.body), (200, Some(expected_stream("slow"))));
    assert_eq!(site.runs_of("slow"), 1);
}

#[test]
fn request_waits_until_its_model_is_loaded() {
    /// Longer than a request may queue at the servers, in seconds.
    const LOAD_S: f64 = 1.0;
    let mut site = NodeSite::start(1);
    site.models.push(("m3", LOAD_S));
    site.write_config();
    let in_force = format!("\"config\":{}", site.config_version);
    site.wait_until("the model is known", |site| site.nodes[0].status().contains(&in_force));
    let sent_at = Instant::now();
    let stream = site.send(0, "waits", RequestKind::Stream("m3"));
    assert_eq!((stream.status, stream.body), (200, Some(expected_stream("waits"))));
    assert!(sent_at.elapsed().as_secs_f64() >= LOAD_S);
}

#[test]
fn engines_that_restart_under_their_ids_are_filled_again() {
    /// Models without requests are loaded again after three seconds; one that is requested must not
    /// wait for that.
    const MAX_RELOAD_TIME: Duration = Duration::from_millis(2_500);
    let mut site = NodeSite::start(1);
    assert_eq!(site.send(0, "before", RequestKind::Stream("m0")).status, 200);
    site.restart_engines();
    let restarted_at = Instant::now();
    site.wait_until("the model is back", |site| {
        site.send(0, "after", RequestKind::Stream("m0")).status == 200
    });
    assert!(restarted_at.elapsed() < MAX_RELOAD_TIME, "{:?}", restarted_at.elapsed());
    assert!(site.servers.iter().all(|server| server.overcommit_count() == 0));
}

#[test]
fn requests_are_served_while_the_store_is_unavailable() {
    let site = NodeSite::start(2);
    for mode in [StoreMode::Busy, StoreMode::Silent] {
        site.store.set_mode(mode);
        let deadline = Instant::now() + Duration::from_millis(2_500);
        let mut number = 0;
        while Instant::now() < deadline {
            number += 1;
            let id = format!("o-{mode:?}-{number}");
            assert_eq!(site.send(number % 2, &id, RequestKind::Idempotent).status, 200, "{mode:?}");
            assert_eq!(
                site.send(number % 2, &id, RequestKind::Stream("m0")).status,
                200,
                "{mode:?}"
            );
        }
        site.store.set_mode(StoreMode::Up);
    }
}

#[test]
fn a_new_configuration_is_in_force_everywhere_and_never_falls_back() {
    let mut site = NodeSite::start(3);
    for _ in 0..3 {
        site.write_config();
        if site.config_version == 3 {
            site.store.compact();
        }
        let newest = format!("v{}", site.config_version);
        let in_force = |site: &NodeSite, node: usize| {
            let response = ureq::get(format!("http://{}/{newest}/x", site.nodes[node].callers))
                .header("Host", "site.example")
                .header("X-Attempt-Id", "probe")
                .call();
            response.is_ok_and(|response| response.status() == 200)
        };
        for node in 0..3 {
            site.wait_until("the newest route is served", |site| in_force(site, node));
        }
        assert!((0..3).all(|node| in_force(&site, node)));
    }
}

#[test]
fn a_server_that_leaves_gets_no_new_work() {
    let site = NodeSite::start(2);
    site.server("plain-0").register("draining");
    site.server("plain-1").deregister();
    std::thread::sleep(Duration::from_millis(800));
    for number in 0..12 {
        let id = format!("g-{number}");
        assert_eq!(site.send(number % 2, &id, RequestKind::Idempotent).status, 200);
        assert_eq!(site.server("plain-2").runs_of(&id), 1);
    }
}

#[test]
fn node_that_sees_its_own_election_before_the_answer_learns_of_servers_that_leave() {
    let mut site = NodeSite::start(1);
    site.nodes[0].signal(Signal::KILL);
    site.nodes[0].wait_for_exit();
    for key in site.duty_keys() {
        site.store.remove(&key);
    }
    site.store.set_mode(StoreMode::DelaysResponses(Duration::from_millis(300)));
    site.nodes[0].start();
    site.wait_until("the node is elected", |site| !site.duty_keys().is_empty());
    std::thread::sleep(Duration::from_millis(400));
    site.server("plain-0").register("draining");
    site.server("plain-1").deregister();
    std::thread::sleep(Duration::from_millis(800));
    for number in 0..6 {
        let id = format!("g-{number}");
        assert_eq!(site.send(0, &id, RequestKind::Idempotent).status, 200);
        assert_eq!(site.server("plain-2").runs_of(&id), 1);
    }
}

#[test]
fn malformed_server_entry_is_ignored() {
    let site = NodeSite::start(1);
    site.store.write("servers/ghost", &serde_json::json!({ "service": 7 }));
    site.store.write("servers/ghost-2", &serde_json::json!("no entry at all"));
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(site.send(0, "after-ghosts", RequestKind::Idempotent).status, 200);
}

#[test]
fn odd_entries_of_another_writer_neither_end_nodes_nor_stop_their_reading() {
    let site = NodeSite::start(2);
    let entry = |field: &str, value: &str| {
        let mut fields = vec![
            ("service", r#""orders""#),
            ("address", r#""127.0.0.1:9""#),
            ("zone", r#""east-a""#),
            ("version", r#""v1""#),
            ("state", r#""draining""#),
            ("born", "5"),
        ];
        fields.retain(|(name, _)| *name != field);
        fields.push((field, value));
        let fields: Vec<String> =
            fields.iter().map(|(name, value)| format!(r#""{name}":{value}"#)).collect();
        format!("{{{}}}", fields.join(","))
    };
    let nested = "[".repeat(200_000) + &"]".repeat(200_000);
    let odd = [
        nested.clone(),
        entry("models", &nested),
        entry("address", r#""127.0.0.1:70000""#),
        entry("address", "70000"),
        entry("version", "1"),
        entry("version", "null"),
        entry("born", "1e400"),
        entry("born", "99999999999999999999999999"),
        entry("slots", "-1"),
        entry("remainingMs", "1e308"),
        entry("remainingMs", "-1e308"),
        entry("models", r#"[{"name":"m0","version":1e99}]"#),
        String::new(),
    ];
    for (number, value) in odd.iter().enumerate() {
        site.store.write_bytes(&format!("servers/odd-{number}"), value.as_bytes());
        site.store.write_bytes(&format!("savoryport/duty/odd-{number}"), value.as_bytes());
    }
    site.store.write_bytes("servers/not-text", &[0xff, 0, 0xfe]);
    // A change after the odd entries is followed.
    site.server("plain-0").register("draining");
    site.server("plain-1").deregister();
    std::thread::sleep(Duration::from_millis(800));
    for number in 0..12 {
        let id = format!("beside-odd-{number}");
        assert_eq!(site.send(number % 2, &id, RequestKind::Idempotent).status, 200);
        assert_eq!(site.server("plain-2").runs_of(&id), 1);
    }
    assert!(site.nodes.iter().all(node_site::SiteNode::is_ready), "no node has ended");
}

#[test]
fn a_stopping_node_leaves_the_directory_answers_and_finishes_its_streams() {
    let mut site = NodeSite::start(3);
    site.wait_until("the directory names all nodes", |site| site.nodes[0].addresses().len() == 3);
    let callers = site.nodes[2].callers.clone();
    std::thread::scope(|scope| {
        let stream = scope.spawn(|| site.send(2, "last", RequestKind::Stream("m0")));
        std::thread::sleep(Duration::from_millis(30));
        site.nodes[2].signal(Signal::TERM);
        let response = stream.join().expect("the caller's thread ends");
        assert_eq!(response.body, Some(expected_stream("last")));
    });
    site.wait_until("the directory no longer names the stopping node", |site| {
        (0..2).all(|node| {
            let named = site.nodes[node].addresses();
            !named.is_empty() && !named.contains(&callers)
        })
    });
    let exit_status = site.nodes[2].wait_for_exit();
    assert!(exit_status.is_some_and(|status| status.success()));
}

#[test]
fn a_new_duty_holder_waits_until_the_orders_of_the_former_one_are_a_turn_ago() {
    let mut site = NodeSite::start(2);
    assert_eq!(site.send(0, "first", RequestKind::Stream("m0/a1")).status, 200);
    let all_orders = |site: &NodeSite| {
        let mut orders: Vec<_> = site.servers.iter().flat_map(|server| server.orders()).collect();
        orders.sort_by_key(|order| order.received_at);
        orders
    };
    let former_leader = all_orders(&site).last().expect("an order was sent").holder.clone();
    let former = site
        .nodes
        .iter()
        .position(|node| node.name == former_leader)
        .expect("the leader is a node of the site");
    let other = 1 - former;
    // The former leader is frozen until its lease has expired, and continues while the other node
    // sends orders.
    site.nodes[former].signal(Signal::STOP);
    site.wait_until("the other node sends orders", |site| {
        let id = format!("second-{}", all_orders(site).len());
        site.send(other, &id, RequestKind::Stream("m0/a2")).status == 200
            && all_orders(site).iter().any(|order| order.holder != former_leader)
    });
    site.nodes[former].signal(Signal::CONT);
    for round in 0..5 {
        let _ = site.send(former, &format!("third-{round}"), RequestKind::Stream("m0/a3"));
    }
    let orders = all_orders(&site);
    for pair in orders.windows(2).filter(|pair| pair[0].holder != pair[1].holder) {
        assert!(
            pair[1].received_at - pair[0].received_at
                >= Duration::from_millis(node_site::ORDER_TURN_MS)
        );
        assert!(pair[1].fencing_token > pair[0].fencing_token);
    }
    site.nodes[former].signal(Signal::KILL);
    let _ = site.nodes[former].wait_for_exit();
}

#[test]
fn lost_answers_of_the_store_leave_one_holder() {
    let mut site = NodeSite::start(2);
    site.store.set_mode(StoreMode::DropsResponses);
    site.nodes[0].signal(Signal::KILL);
    let _ = site.nodes[0].wait_for_exit();
    std::thread::sleep(Duration::from_millis(2_500));
    site.store.set_mode(StoreMode::Up);
    site.wait_until("an adapter can be loaded again", |site| {
        site.send(1, "after-loss", RequestKind::Stream("m0/a1")).status == 200
    });
    assert_eq!(site.duty_keys().len(), 1);
}

#[test]
fn malformed_headers_and_unknown_routes_are_refused_by_the_node() {
    let site = NodeSite::start(1);
    let request_status = |host: &str, path: &str, id: Option<&str>| {
        let config = ureq::Agent::config_builder().http_status_as_error(false).build();
        let agent: ureq::Agent = config.into();
        let url = format!("http://{}{path}", site.nodes[0].callers);
        let mut req = agent.get(&url).header("Host", host);
        if let Some(id) = id {
            req = req.header("X-Attempt-Id", id);
        }
        req.call().expect("a response").status().as_u16()
    };
    assert_eq!(request_status("site.example", "/lookup/x", None), 400);
    assert_eq!(request_status("site.example", "/nowhere/x", Some("n")), 404);
    assert_eq!(request_status("other.example", "/lookup/x", Some("n")), 404);
    assert_eq!(request_status("site.example:80", "/lookup/x", Some("port")), 200);
}

/// Guards against capacities that do not reach the directories of other nodes.
#[test]
fn every_directory_lists_a_stronger_node_several_times() {
    let mut site = NodeSite::start(3);
    let strong = &mut site.nodes[2];
    strong.signal(Signal::TERM);
    strong.wait_for_exit();
    strong.set("cpu_share", 4.0.into());
    strong.start();
    let strong = site.nodes[2].callers.clone();
    site.wait_until("the strong node is listed several times", |site| {
        site.nodes.iter().all(|node| {
            let addresses = node.addresses();
            let listed = addresses.iter().filter(|address| **address == strong).count();
            addresses.first() == Some(&strong) && listed > 1 && addresses.len() == listed + 2
        })
    });
}
