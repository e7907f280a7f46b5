//! Promises about requests on the platform, with real nodes and failing servers.

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
        let commit = site.send(node, &format!("c-{node}"), RequestKind::NonIdempotent);
        assert_eq!(commit.status, 200);
        assert_eq!(commit.body, Some(format!("answer to c-{node}")));
        assert!(commit.server_stamp.is_some());
        let id = format!("d-{node}");
        let draft = site.send(node, &id, RequestKind::Stream("m0"));
        assert_eq!((draft.status, draft.body), (200, Some(expected_stream(&id))));
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
        let draft = site.send(number % 2, &id, RequestKind::Stream(model));
        assert_eq!((draft.status, draft.body), (200, Some(expected_stream(&id))), "{model}");
    }
    assert!(site.servers.iter().all(|server| server.overcommitted() == 0));
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
    for fault in [BackendFault::LosesAnswers, BackendFault::Crosses] {
        for server in ["plain-0", "plain-1", "plain-2"] {
            site.server(server).set_fault(fault);
        }
        let id = format!("once-{fault:?}");
        let answer = site.send(0, &id, RequestKind::NonIdempotent);
        assert!([502, 504].contains(&answer.status), "{fault:?}: {answer:?}");
        assert_eq!((site.runs_of(&id), answer.server_stamp), (1, None), "{fault:?}");
    }
}

#[test]
fn an_answer_to_somebody_else_reaches_nobody() {
    let site = NodeSite::start(1);
    site.server("plain-0").set_fault(BackendFault::Crosses);
    for number in 0..12 {
        let id = format!("x-{number}");
        let answer = site.send(0, &id, RequestKind::Idempotent);
        if answer.status == 200 {
            assert_eq!(answer.body, Some(format!("answer to {id}")));
        }
    }
}

#[test]
fn a_repeatable_request_survives_a_server_that_fails() {
    let site = NodeSite::start(1);
    site.server("plain-0").set_fault(BackendFault::Fails);
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
        let draft = site.send(0, &id, RequestKind::Stream("m0"));
        assert_eq!((draft.status, draft.body), (200, Some(expected_stream(&id))));
    }
}

#[test]
fn a_stream_that_breaks_late_goes_on_though_a_new_one_would_be_refused_by_then() {
    let mut site = NodeSite::start(1);
    site.models.push(("m3", 0.4));
    // The first of the two is asked, since neither has anything to do. Its third event would come after
    // 1.2 s, more than twice the target of the first event.
    site.add_server_with_interval("late-a", "drafts", &["m3"], Duration::from_millis(400));
    site.server("late-a").set_fault(BackendFault::BreaksStreams);
    site.add_server("late-b", "drafts", &["m3"]);
    site.write_config();
    site.wait_until("both servers are known", |site| {
        let status = site.nodes[0].status();
        ["late-a", "late-b"].iter().all(|id| status.contains(id))
    });
    let draft = site.send(0, "late", RequestKind::Stream("m3"));
    assert_eq!((draft.status, draft.body), (200, Some(expected_stream("late"))));
    assert_eq!(site.server("late-a").runs_of("late"), 1);
}

/// Starts a node with one engine that holds `m3`, has this fault, and has nobody to stand in for it.
fn site_with_a_lone_engine(fault: BackendFault) -> NodeSite {
    let mut site = NodeSite::start(1);
    site.models.push(("m3", 0.4));
    site.add_server("lone", "drafts", &["m3"]);
    site.server("lone").set_fault(fault);
    site.write_config();
    site.wait_until("the engine is known", |site| site.nodes[0].status().contains("lone"));
    site
}

#[test]
fn a_stream_is_not_cut_off_for_its_servers_silence_where_nobody_else_takes_it() {
    let pause = Duration::from_millis(2_000);
    let site = site_with_a_lone_engine(BackendFault::Stalls { before: 3, pause });
    let draft = site.send(0, "silent", RequestKind::Stream("m3"));
    assert_eq!((draft.status, draft.body), (200, Some(expected_stream("silent"))));
    assert_eq!(site.runs_of("silent"), 1);
}

#[test]
fn a_slow_first_event_is_waited_for_where_nobody_else_takes_the_request() {
    // More than half of the route's time, after which a request may go elsewhere.
    let pause = Duration::from_millis(2_500);
    let site = site_with_a_lone_engine(BackendFault::Stalls { before: 1, pause });
    let draft = site.send(0, "slow", RequestKind::Stream("m3"));
    assert_eq!((draft.status, draft.body), (200, Some(expected_stream("slow"))));
    assert_eq!(site.runs_of("slow"), 1);
}

#[test]
fn a_request_that_waits_for_its_model_is_served_when_the_model_comes() {
    /// Longer than the time for which a request may queue at the servers.
    const LOAD_S: f64 = 1.0;
    let mut site = NodeSite::start(1);
    site.models.push(("m3", LOAD_S));
    site.write_config();
    let in_force = format!("\"config\":{}", site.config_version);
    site.wait_until("the model is known", |site| site.nodes[0].status().contains(&in_force));
    let asked = Instant::now();
    let draft = site.send(0, "waits", RequestKind::Stream("m3"));
    assert_eq!((draft.status, draft.body), (200, Some(expected_stream("waits"))));
    assert!(asked.elapsed().as_secs_f64() >= LOAD_S);
}

#[test]
fn engines_that_restart_under_their_ids_are_filled_again() {
    /// Models that nobody asks for are brought back after three seconds; one that is asked for must not
    /// wait for that.
    const ASKED_FOR: Duration = Duration::from_millis(2_500);
    let mut site = NodeSite::start(1);
    assert_eq!(site.send(0, "before", RequestKind::Stream("m0")).status, 200);
    site.restart_engines();
    let restarted = Instant::now();
    site.wait_until("the model is back", |site| {
        site.send(0, "after", RequestKind::Stream("m0")).status == 200
    });
    assert!(restarted.elapsed() < ASKED_FOR, "{:?}", restarted.elapsed());
    assert!(site.servers.iter().all(|server| server.overcommitted() == 0));
}

#[test]
fn requests_go_on_while_the_store_is_away() {
    let site = NodeSite::start(2);
    for mode in [StoreMode::Busy, StoreMode::Silent] {
        site.store.set_mode(mode);
        let ends = Instant::now() + Duration::from_millis(2_500);
        let mut number = 0;
        while Instant::now() < ends {
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
            let answer = ureq::get(format!("http://{}/{newest}/x", site.nodes[node].callers))
                .header("Host", "site.example")
                .header("X-Attempt-Id", "probe")
                .call();
            answer.is_ok_and(|answer| answer.status() == 200)
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
fn a_garbled_entry_names_no_server_and_harms_no_other() {
    let site = NodeSite::start(1);
    site.store.write("servers/ghost", &serde_json::json!({ "service": 7 }));
    site.store.write("servers/ghost-2", &serde_json::json!("no entry at all"));
    std::thread::sleep(Duration::from_millis(400));
    assert_eq!(site.send(0, "after-ghosts", RequestKind::Idempotent).status, 200);
}

#[test]
fn a_stopping_node_leaves_the_directory_answers_and_finishes_its_streams() {
    let mut site = NodeSite::start(3);
    site.wait_until("all are named", |site| site.nodes[0].addresses().len() == 3);
    let callers = site.nodes[2].callers.clone();
    std::thread::scope(|scope| {
        let stream = scope.spawn(|| site.send(2, "last", RequestKind::Stream("m0")));
        std::thread::sleep(Duration::from_millis(30));
        site.nodes[2].signal(Signal::TERM);
        let answer = stream.join().expect("the caller's thread ends");
        assert_eq!(answer.body, Some(expected_stream("last")));
    });
    site.wait_until("it is named no more", |site| {
        (0..2).all(|node| {
            let named = site.nodes[node].addresses();
            !named.is_empty() && !named.contains(&callers)
        })
    });
    let ended = site.nodes[2].wait_for_exit();
    assert!(ended.is_some_and(|status| status.success()));
}

#[test]
fn a_new_duty_holder_waits_until_the_orders_of_the_former_one_are_a_turn_ago() {
    let mut site = NodeSite::start(2);
    assert_eq!(site.send(0, "first", RequestKind::Stream("m0/a1")).status, 200);
    let orders = |site: &NodeSite| {
        let mut all: Vec<_> = site.servers.iter().flat_map(|server| server.orders()).collect();
        all.sort_by_key(|order| order.at);
        all
    };
    let former = orders(&site).last().expect("an order was given").holder.clone();
    let number = site.nodes.iter().position(|node| node.name == former).expect("a known node");
    let other = 1 - number;
    // It stands still past its lease, and wakes while the other one gives orders.
    site.nodes[number].signal(Signal::STOP);
    site.wait_until("the other node gives orders", |site| {
        let id = format!("second-{}", orders(site).len());
        site.send(other, &id, RequestKind::Stream("m0/a2")).status == 200
            && orders(site).iter().any(|order| order.holder != former)
    });
    site.nodes[number].signal(Signal::CONT);
    for round in 0..5 {
        let _ = site.send(number, &format!("third-{round}"), RequestKind::Stream("m0/a3"));
    }
    let all = orders(&site);
    for pair in all.windows(2).filter(|pair| pair[0].holder != pair[1].holder) {
        assert!(pair[1].at - pair[0].at >= Duration::from_millis(node_site::ORDER_TURN_MS));
        assert!(pair[1].fencing_token > pair[0].fencing_token);
    }
    site.nodes[number].signal(Signal::KILL);
    let _ = site.nodes[number].wait_for_exit();
}

#[test]
fn lost_answers_of_the_store_leave_one_holder() {
    let mut site = NodeSite::start(2);
    site.store.set_mode(StoreMode::LosesAnswers);
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
fn malformed_heads_and_unknown_routes_are_answered_by_the_node() {
    let site = NodeSite::start(1);
    let ask = |host: &str, path: &str, id: Option<&str>| {
        let config = ureq::Agent::config_builder().http_status_as_error(false).build();
        let agent: ureq::Agent = config.into();
        let url = format!("http://{}{path}", site.nodes[0].callers);
        let mut req = agent.get(&url).header("Host", host);
        if let Some(id) = id {
            req = req.header("X-Attempt-Id", id);
        }
        req.call().expect("an answer").status().as_u16()
    };
    assert_eq!(ask("site.example", "/lookup/x", None), 400);
    assert_eq!(ask("site.example", "/nowhere/x", Some("n")), 404);
    assert_eq!(ask("other.example", "/lookup/x", Some("n")), 404);
    assert_eq!(ask("site.example:80", "/lookup/x", Some("port")), 200);
}
