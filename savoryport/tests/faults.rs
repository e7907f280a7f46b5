//! Tests of the control process, the table and the fleet's membership under failures, with real
//! processes.

mod site;

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use savoryport::cli::CliError;
use savoryport::cli::table::{self, Options};
use savoryport::rpc::{ControlClient, PullRequest};
use savoryport_core::ledger::ServerRecord;
use savoryport_core::replica::Replica;

use site::{Site, TABLE, expected_tokens, kill, read_stream, signal, wait_for};

/// The maximum time until a change of the table is in force everywhere, as required by the users.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(9);

/// The maximum time until a leaving server gets no new work; the users require "a few seconds".
const LEAVING_WITHIN: Duration = Duration::from_secs(3);

/// The maximum time until another process holds a lease: its time to live plus the delay before a
/// process of another failure domain acquires it.
const TAKEN_OVER_WITHIN: Duration = Duration::from_secs(8);

/// Returns the initial table with one more model.
fn larger_table() -> String {
    format!("{TABLE}model,extra,,5000,1,normal,8,1800,70,1,yes\n")
}

fn is_served(site: &Site, node: usize, model: &str) -> bool {
    site.complete(node, model, "hello", 1).is_ok_and(|response| response.status == 200)
}

fn started_requests(site: &Site, engine: usize) -> u64 {
    site.fleet.engines[engine].counts().started
}

#[test]
fn requests_do_not_wait_for_control() {
    let mut site = Site::start();
    for node in &mut site.nodes {
        kill(&mut node.control);
    }
    site.fleet.kv.set_faults(|faults| faults.down = true);
    let streamed = read_stream(site.stream(0, "quick", "without control", 10));
    assert_eq!(streamed.tokens, expected_tokens("without control", 10));
    assert!((0..3).all(|node| {
        ["quick", "draft", "review", "shop"].iter().all(|m| is_served(&site, node, m))
    }));
}

#[test]
fn a_holder_frozen_past_its_lease_is_replaced_and_overcommits_nothing() {
    let site = Site::start();
    for round in 0..2 {
        let frozen = site.nodes[round].control.as_ref().unwrap();
        signal(frozen, Signal::STOP);
        // The frozen process cannot load the new model, so another one has to take over.
        let name = format!("extra-{round}");
        let rows = format!("{TABLE}model,{name},,9000,1,normal,8,1800,70,2,yes\n");
        site.apply(&rows, false).unwrap();
        let is_loaded = || site.engines_with(&name).len() >= 2;
        wait_for("another process to load the model", TAKEN_OVER_WITHIN * 2, is_loaded);
        signal(frozen, Signal::CONT);
    }
    thread::sleep(Duration::from_millis(500));
    site.assert_no_overcommitment();
}

#[test]
fn every_control_process_replaced_one_after_another_loses_nothing() {
    let mut site = Site::start();
    for node in 0..3 {
        kill(&mut site.nodes[node].control);
        site.start_control(node);
        thread::sleep(Duration::from_millis(300));
    }
    site.apply(&larger_table(), false).unwrap();
    let is_loaded = || !site.engines_with("extra").is_empty();
    wait_for("the new model", TAKEN_OVER_WITHIN * 2, is_loaded);
    wait_for("the new model to be served", Duration::from_secs(3), || is_served(&site, 2, "extra"));
    site.assert_no_overcommitment();
}

#[test]
fn orders_without_answers_are_repeated_and_overcommit_nothing() {
    let site = Site::start();
    for engine in &site.fleet.engines {
        engine.set_faults(|faults| faults.order_responses_to_drop = 2);
    }
    site.fleet.kv.set_faults(|faults| faults.write_responses_to_drop = 3);
    site.apply(&larger_table(), false).unwrap();
    wait_for("the new model", TAKEN_OVER_WITHIN, || !site.engines_with("extra").is_empty());
    site.assert_no_overcommitment();
    // Every item in an engine's memory is eventually in its ledger.
    for (index, engine) in site.fleet.engines.iter().enumerate() {
        let key = format!("savoryport/server/engine-{}", index + 1);
        let ledger_has_all_items = || {
            let record = site.fleet.kv.value(&key).unwrap();
            let record: ServerRecord = serde_json::from_slice(&record).unwrap();
            engine.loaded_items().iter().all(|item| record.get(item).is_some())
        };
        wait_for(
            "the ledger to contain every loaded item",
            Duration::from_secs(3),
            ledger_has_all_items,
        );
    }
}

#[test]
fn a_change_is_in_force_everywhere_in_time() {
    let site = Site::start();
    let applied_at = Instant::now();
    site.apply(&larger_table(), false).unwrap();
    let in_force_everywhere = || (0..3).all(|node| site.entry_table_version(node) == 2);
    wait_for("version 2 everywhere", IN_FORCE_WITHIN, in_force_everywhere);
    println!("in force everywhere after {:?}", applied_at.elapsed());
}

#[test]
fn a_change_reaches_the_followers_of_a_frozen_reader_in_time() {
    let site = Site::start();
    // The process on the first VM reads the platform for its domain. While frozen, it still accepts
    // connections.
    let second_follows_first = || site.reads_platform(0) && !site.reads_platform(1);
    wait_for("the second VM to follow the first", Duration::from_secs(12), second_follows_first);
    signal(site.nodes[0].control.as_ref().unwrap(), Signal::STOP);
    site.apply(&larger_table(), false).unwrap();
    wait_for("version 2 at the follower", IN_FORCE_WITHIN, || site.entry_table_version(1) == 2);
    wait_for("version 2 at the frozen reader's entry", IN_FORCE_WITHIN, || {
        site.entry_table_version(0) == 2
    });
    signal(site.nodes[0].control.as_ref().unwrap(), Signal::CONT);
}

#[test]
fn a_change_after_an_outage_is_in_force_in_time_and_nothing_went_back() {
    let mut site = Site::start();
    site.fleet.kv.set_faults(|faults| faults.down = true);
    // The processes on every VM but one restart while the key-value service is unavailable.
    for node in 0..2 {
        kill(&mut site.nodes[node].entry);
        kill(&mut site.nodes[node].control);
        site.start_control(node);
        site.start_entry(node);
        wait_for("the entry to get the table from a peer", Duration::from_secs(8), || {
            site.entry_table_version(node) == 1
        });
        site.wait_until_ready(node);
    }
    site.fleet.kv.set_faults(|faults| faults.down = false);
    site.apply(&larger_table(), false).unwrap();
    let in_force_everywhere = || {
        let versions = [0, 1, 2].map(|node| site.entry_table_version(node));
        assert!(versions.iter().all(|version| *version >= 1), "{versions:?}");
        versions == [2, 2, 2]
    };
    wait_for("version 2 everywhere", IN_FORCE_WITHIN, in_force_everywhere);
}

#[test]
fn a_node_cut_off_from_the_service_follows_again_after_the_cut() {
    let site = Site::start();
    site.kv_proxies[2].set_faults(|faults| faults.refuse = true);
    site.kv_proxies[2].close_connections();
    assert!(is_served(&site, 2, "quick"));
    site.apply(&larger_table(), false).unwrap();
    // The node without access to the key-value service gets the table from its peers.
    wait_for("version 2 at the disconnected node", IN_FORCE_WITHIN, || {
        site.entry_table_version(2) == 2
    });
    site.kv_proxies[2].set_faults(|faults| faults.refuse = false);
    let third_table = format!("{}model,more,,5000,1,normal,8,1800,70,1,yes\n", larger_table());
    site.apply(&third_table, false).unwrap();
    wait_for("version 3 at the reconnected node", IN_FORCE_WITHIN, || {
        site.entry_table_version(2) == 3
    });
}

#[test]
fn control_reconnects_when_key_value_connections_go_silent() {
    let site = Site::start();
    site.kv_proxies.iter().for_each(savoryport_standin::proxy::Proxy::blackhole_open_connections);
    site.apply(&larger_table(), false).unwrap();
    let in_force_everywhere = || (0..3).all(|node| site.entry_table_version(node) == 2);
    wait_for("version 2 everywhere", IN_FORCE_WITHIN, in_force_everywhere);
}

#[test]
fn of_two_operators_at_once_one_is_refused_and_told_the_rows() {
    let site = Site::start();
    let edit = |name: &str, weight: &str| {
        let path = site.temp_dir().join(format!("{name}.csv"));
        table::get(&site.options(), Some(&path)).unwrap();
        let text = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, text.replace("30000,2,urgent", weight)).unwrap();
        path
    };
    let (first, second) = (edit("first", "30000,3,urgent"), edit("second", "30000,4,urgent"));
    let options = site.options();
    let results = thread::scope(|scope| {
        let handles = [&first, &second].map(|path| scope.spawn(|| table::apply(&options, path)));
        handles.map(|handle| handle.join().unwrap())
    });
    let accepted = results.iter().filter(|result| result.is_ok()).count();
    assert_eq!(accepted, 1, "{results:?}");
    let refused = results.iter().find_map(|result| result.as_ref().err()).unwrap();
    assert!(matches!(refused, CliError::Refused(text) if text.contains("quick")), "{refused}");
}

#[test]
fn operators_who_change_different_rows_may_merge() {
    let site = Site::start();
    let path = site.temp_dir().join("mine.csv");
    table::get(&site.options(), Some(&path)).unwrap();
    site.apply(&larger_table(), false).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, text.replace("30000,2,urgent", "30000,5,urgent")).unwrap();
    let merged = table::apply(&Options { merge: true, ..site.options() }, &path).unwrap();
    assert_eq!(merged, "accepted as version 3");
    let now = table::get(&site.options(), None).unwrap();
    assert!(now.contains("extra") && now.contains("30000,5,urgent"), "{now}");
}

#[test]
fn a_change_whose_answers_are_lost_is_settled_and_counted_once() {
    let site = Site::start();
    site.fleet.kv.set_faults(|faults| faults.write_responses_to_drop = 1);
    let accepted = site.apply(&larger_table(), false).unwrap();
    assert_eq!(accepted, "accepted as version 2");
    assert!(table::get(&site.options(), None).unwrap().contains("extra"));
}

#[test]
fn a_table_that_does_not_fit_the_fleet_is_refused_without_effect() {
    let site = Site::start();
    let huge = format!("{TABLE}model,huge,,70000,1,normal,8,1800,70,1,yes\n");
    let refused = site.apply(&huge, false).unwrap_err();
    assert!(
        matches!(&refused, CliError::Refused(text) if text.contains("line 8, column memory_mib"))
    );
    assert!(!table::get(&site.options(), None).unwrap().contains("huge"));
}

#[test]
fn a_server_that_says_it_drains_gets_no_new_work() {
    let site = Site::start();
    let draining = site.engines_with("quick")[0];
    site.fleet.engines[draining].set_faults(|faults| faults.draining = true);
    // Each entry learns of the drain from one refusal, and sends the refused request elsewhere.
    assert!((0..3).all(|node| is_served(&site, node, "quick")));
    let requests_sent = || {
        let counts = site.fleet.engines[draining].counts();
        counts.started + counts.refused
    };
    let before = requests_sent();
    for round in 0..10 {
        // Each round uses a new prompt, since a known prefix is routed to the server that last had
        // it.
        let prompt = format!("round {round}");
        let succeeds = |node| {
            site.complete(node, "quick", &prompt, 1).is_ok_and(|response| response.status == 200)
        };
        assert!((0..3).all(succeeds));
    }
    assert_eq!(requests_sent(), before, "the draining server got another request");
}

#[test]
fn a_server_that_is_to_leave_gets_no_new_work_in_time() {
    for by_operator in [false, true] {
        let site = Site::start();
        let leaving = site.engines_with("quick")[0];
        let name = format!("engine-{}", leaving + 1);
        if by_operator {
            let mut drain = std::process::Command::new(env!("CARGO_BIN_EXE_savoryport"));
            drain.args(["--key-value", site.fleet.kv.address(), "drain", &name]);
            assert!(drain.status().unwrap().success());
        } else {
            site.vm_list.change(|list| {
                list.vms.iter_mut().for_each(|vm| vm.leaving |= *vm.name == *name);
            });
        }
        thread::sleep(LEAVING_WITHIN);
        let before = started_requests(&site, leaving);
        for _ in 0..10 {
            for model in ["quick", "draft", "review", "shop"] {
                assert!((0..3).all(|node| is_served(&site, node, model)), "{model}");
            }
        }
        assert_eq!(started_requests(&site, leaving), before, "by operator: {by_operator}");
    }
}

#[test]
fn models_of_a_server_that_dies_answer_again() {
    let site = Site::start();
    let dead = site.engines_with("draft")[0];
    site.engine_proxies[dead].set_faults(|faults| faults.refuse = true);
    site.engine_proxies[dead].close_connections();
    // A model with a second copy is served without interruption.
    assert!(is_served(&site, 0, "quick"));
    let all =
        || ["quick", "draft", "review", "shop"].iter().all(|model| is_served(&site, 0, model));
    wait_for("every model", Duration::from_secs(10), all);
    site.assert_no_overcommitment();
}

#[test]
fn an_engine_that_restarts_is_loaded_again() {
    let site = Site::start();
    let restarted = site.engines_with("review")[0];
    site.fleet.engines[restarted].restart();
    wait_for("the model to be served again", Duration::from_secs(10), || {
        is_served(&site, 1, "review")
    });
    site.assert_no_overcommitment();
}

#[test]
fn a_lost_failure_domain_leaves_every_model_reachable() {
    let mut site = Site::start();
    for engine in [2, 3] {
        site.engine_proxies[engine].set_faults(|faults| faults.refuse = true);
        site.engine_proxies[engine].close_connections();
    }
    kill(&mut site.nodes[2].entry);
    kill(&mut site.nodes[2].control);
    let all =
        || ["quick", "draft", "review", "shop"].iter().all(|model| is_served(&site, 0, model));
    wait_for("every model", Duration::from_secs(20), all);
    site.assert_no_overcommitment();
}

#[test]
fn models_that_move_answer_all_the_time() {
    let site = Site::start();
    let weights = ["1", "9", "1"];
    thread::scope(|scope| {
        let requester = scope.spawn(|| {
            let started_at = Instant::now();
            let mut refused = Vec::new();
            while started_at.elapsed() < Duration::from_secs(5) {
                for model in ["quick", "draft", "review"] {
                    match site.complete(0, model, "moving", 1) {
                        Ok(response) if response.status == 200 => {}
                        other => refused.push(format!("{model}: {other:?}")),
                    }
                }
            }
            refused
        });
        for (round, weight) in weights.iter().enumerate() {
            // A larger model displaces extra copies, and with fewer copies memory is free again.
            let grown = format!("model,draft,,{},{weight},normal", 30_000 + 5_000 * round);
            let table = TABLE.replace("model,draft,,30000,1,normal", &grown);
            site.apply(&table, false).unwrap();
            thread::sleep(Duration::from_millis(1_500));
        }
        let refused = requester.join().unwrap();
        assert!(refused.is_empty(), "{refused:?}");
    });
    site.assert_no_overcommitment();
}

#[test]
fn an_idle_follower_pulls_rarely() {
    let site = Site::start();
    let address = site.nodes[0].settings["control_listen"].as_str().unwrap().to_owned();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let pulls = runtime.block_on(async {
        let client = ControlClient::connect(&address).await.unwrap();
        let mut replica = Replica::default();
        let mut pulls = 0;
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(3) {
            let have = replica.versions();
            let (vm, demand, entry) = ("follower".into(), None, None);
            let req = PullRequest { vm, have, wait_ms: 1_000, demand, entry };
            replica.merge(client.pull(req).await.unwrap());
            pulls += 1;
        }
        pulls
    });
    assert!(pulls < 20, "{pulls} pulls in 3 s without any change");
}
