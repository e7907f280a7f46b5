//! Requests under failure, with real processes: responses are complete, requests that must not be
//! repeated run at most once, and the reported outcomes are correct.

mod site;

use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use savoryport_core::table::parse_csv;

use site::{Site, expected_tokens, get, kill, post, read_stream, signal, wait_for, wait_for_exit};

const TICKET_HEADER: &str = "x-savoryport-ticket";
const KEY_HEADER: &str = "idempotency-key";

#[test]
fn tokens_are_forwarded_as_they_arrive() {
    let site = Site::start();
    let started = Instant::now();
    let mut lines = site.stream(0, "quick", "as they come", 30);
    lines.next().unwrap().unwrap();
    let first = started.elapsed();
    let result = read_stream(lines);
    let total = started.elapsed();
    assert!(first * 3 < total, "first line after {first:?}, last line after {total:?}");
    assert_eq!(result.outcome, "done");
    assert!(result.is_done);
}

#[test]
fn a_stream_that_breaks_in_the_middle_is_resumed_whole() {
    let site = Site::start();
    for engine in &site.fleet.engines {
        engine.set_faults(|faults| faults.streams_to_break = 1);
    }
    let result = read_stream(site.stream(0, "quick", "broken in the middle", 12));
    assert_eq!(result.tokens, expected_tokens("broken in the middle", 12));
    assert_eq!(result.outcome, "done");
}

#[test]
fn a_connection_that_goes_silent_for_good_costs_a_stall_and_no_token() {
    let site = Site::start();
    let mut lines = site.stream(0, "quick", "gone silent", 40);
    let mut first = lines.next().unwrap().unwrap();
    first = first.replace("data: ", "");
    site.engine_proxies
        .iter()
        .for_each(savoryport_standin::proxy::Proxy::blackhole_open_connections);
    let result = read_stream(lines);
    let expected = expected_tokens("gone silent", 40);
    assert!(first.contains(&expected[0]));
    assert_eq!(result.tokens, expected[1..]);
    assert_eq!(result.outcome, "done");
}

#[test]
fn crossed_callers_get_their_own_answers() {
    let site = Site::start();
    thread::scope(|scope| {
        for caller in 0..24 {
            let site = &site;
            scope.spawn(move || {
                let prompt = format!("caller {caller:02}");
                if caller % 6 == 0 {
                    // The rest of a response that the caller abandons must not reach the next one.
                    let mut lines = site.stream(caller % 3, "quick", &prompt, 30);
                    lines.next();
                    return;
                }
                let result = read_stream(site.stream(caller % 3, "quick", &prompt, 10));
                assert_eq!(result.tokens, expected_tokens(&prompt, 10));
            });
        }
    });
}

#[test]
fn a_caller_that_leaves_cancels_the_engines_stream() {
    let site = Site::start();
    let mut lines = site.stream(0, "quick", "leaving", 400);
    lines.next().unwrap().unwrap();
    drop(lines);
    let cancelled =
        || site.fleet.engines.iter().map(|engine| engine.counts().cancelled).sum::<u64>();
    wait_for("the engine to cancel", Duration::from_secs(3), || cancelled() == 1);
}

#[test]
fn a_capture_whose_answer_is_lost_ran_once_and_is_never_sent_again() {
    let site = Site::start();
    let ticket = site.ticket(0);
    for service in &site.fleet.services {
        service.set_faults(|faults| faults.responses_to_drop = 1);
    }
    let first = site.capture(0, (TICKET_HEADER, &ticket)).unwrap();
    assert_eq!((first.status, first.outcome.as_str()), (502, "unknown"));
    for node in [0, 1, 2] {
        let again = site.capture(node, (TICKET_HEADER, &ticket)).unwrap();
        assert_eq!((again.status, again.outcome.as_str()), (409, "unknown"));
    }
    assert_eq!(site.executions(&ticket), 1);
}

#[test]
fn a_capture_sent_to_every_entry_at_once_runs_once() {
    let site = Site::start();
    let ticket = site.ticket(1);
    let barrier = Barrier::new(9);
    let done = thread::scope(|scope| {
        let calls: Vec<_> = (0..9)
            .map(|index| {
                let (site, ticket, barrier) = (&site, &ticket, &barrier);
                scope.spawn(move || {
                    barrier.wait();
                    site.capture(index % 3, (TICKET_HEADER, ticket)).unwrap().outcome
                })
            })
            .collect();
        let outcomes: Vec<String> = calls.into_iter().map(|call| call.join().unwrap()).collect();
        outcomes.iter().filter(|outcome| *outcome == "done").count()
    });
    assert_eq!(done, 1);
    assert_eq!(site.executions(&ticket), 1);
}

#[test]
fn a_capture_whose_home_was_killed_is_unknown_everywhere_also_after_its_restart() {
    let mut site = Site::start();
    let ticket = site.ticket(0);
    assert_eq!(site.capture(0, (TICKET_HEADER, &ticket)).unwrap().outcome, "done");
    kill(&mut site.nodes[0].entry);
    let elsewhere = site.capture(1, (TICKET_HEADER, &ticket)).unwrap();
    assert_eq!(elsewhere.outcome, "unknown");
    site.start_entry(0);
    site.wait_until_ready(0);
    let restarted = site.capture(0, (TICKET_HEADER, &ticket)).unwrap();
    assert_eq!(restarted.outcome, "unknown");
    assert_eq!(site.executions(&ticket), 1);
}

#[test]
fn a_server_that_refuses_leaves_the_request_not_run() {
    let site = Site::start();
    let ticket = site.ticket(0);
    for service in &site.fleet.services {
        service.set_faults(|faults| faults.draining = true);
    }
    let refused = site.capture(0, (TICKET_HEADER, &ticket)).unwrap();
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"));
    assert!(refused.retry_after.is_some());
    assert_eq!(site.total_executions(), 0);
}

#[test]
fn a_key_sent_to_every_entry_at_once_runs_once() {
    let site = Site::start();
    let barrier = Barrier::new(6);
    let done = thread::scope(|scope| {
        let calls: Vec<_> = (0..6)
            .map(|index| {
                let (site, barrier) = (&site, &barrier);
                scope.spawn(move || {
                    barrier.wait();
                    site.capture(index % 3, (KEY_HEADER, "order-4711")).unwrap().outcome
                })
            })
            .collect();
        let outcomes: Vec<String> = calls.into_iter().map(|call| call.join().unwrap()).collect();
        outcomes.iter().filter(|outcome| *outcome == "done").count()
    });
    assert_eq!(done, 1);
    assert_eq!(site.total_executions(), 1);
}

#[test]
fn a_key_during_an_outage_did_not_run_and_runs_once_afterwards() {
    let site = Site::start();
    site.fleet.kv.set_faults(|faults| faults.down = true);
    let during = site.capture(0, (KEY_HEADER, "order-1")).unwrap();
    assert_eq!((during.status, during.outcome.as_str()), (503, "not-run"));
    assert!(during.retry_after.is_some());
    assert_eq!(site.total_executions(), 0);
    site.fleet.kv.set_faults(|faults| faults.down = false);
    assert_eq!(site.capture(0, (KEY_HEADER, "order-1")).unwrap().outcome, "done");
    assert_eq!(site.capture(1, (KEY_HEADER, "order-1")).unwrap().outcome, "unknown");
    assert_eq!(site.total_executions(), 1);
}

#[test]
fn a_capture_without_identity_is_told_how_to_get_one() {
    let site = Site::start();
    let res = site.capture(0, ("x-other", "1")).unwrap();
    assert_eq!((res.status, res.outcome.as_str()), (428, "not-run"));
    assert!(res.body.contains("/v1/entry?item=capture"), "{}", res.body);
    assert_eq!(site.total_executions(), 0);
}

#[test]
fn a_table_change_of_repeatable_does_not_repeat_a_request_under_way() {
    let site = Site::start();
    for service in &site.fleet.services {
        service.set_faults(|faults| faults.responses_to_drop = 1);
    }
    let ticket = site.ticket(0);
    thread::scope(|scope| {
        let call = scope.spawn(|| site.capture(0, (TICKET_HEADER, &ticket)).unwrap());
        let ran = || site.total_executions() > 0;
        wait_for("the capture to run", Duration::from_secs(2), ran);
        let table = site::TABLE.replace(
            "service,capture,,0,4,urgent,64,2000,0,0,no",
            "service,capture,,0,4,urgent,64,2000,0,0,yes",
        );
        assert_ne!(
            parse_csv(table.as_bytes()).unwrap(),
            parse_csv(site::TABLE.as_bytes()).unwrap()
        );
        site.apply(&table, false).unwrap();
        assert_eq!(call.join().unwrap().outcome, "unknown");
    });
    // The ticket is still refused after the service became repeatable.
    wait_for("the new table", Duration::from_secs(9), || site.entry_table_version(0) == 2);
    assert_eq!(site.capture(0, (TICKET_HEADER, &ticket)).unwrap().outcome, "unknown");
    assert_eq!(site.executions(&ticket), 1);
}

#[test]
fn a_stopping_entry_cuts_nothing_off_and_names_another() {
    let mut site = Site::start();
    let mut lines = site.stream(0, "quick", "through the stop", 60);
    lines.next().unwrap().unwrap();
    signal(site.nodes[0].entry.as_ref().unwrap(), Signal::TERM);
    let is_draining = || {
        site.complete(0, "quick", "too late", 1)
            .is_ok_and(|res| res.status == 503 && res.outcome == "not-run")
    };
    wait_for("new requests to be refused", Duration::from_secs(1), is_draining);
    let refused = site.complete(0, "quick", "too late", 1).unwrap();
    let second = site.entry_address(1).to_owned();
    let third = site.entry_address(2).to_owned();
    assert!(refused.body.contains(&second) || refused.body.contains(&third), "{}", refused.body);
    let result = read_stream(lines);
    assert_eq!(result.tokens, expected_tokens("through the stop", 60)[1..]);
    assert_eq!(result.outcome, "done");
    assert!(wait_for_exit(&mut site.nodes[0].entry, Duration::from_secs(5)).success());
}

#[test]
fn an_unreachable_service_leaves_the_request_not_run() {
    let site = Site::start();
    // Nothing listens on the new addresses of the services.
    site.vm_list.change(|list| {
        for vm in list.vms.iter_mut().filter(|vm| !vm.services.is_empty()) {
            vm.address = savoryport_standin::fleet::free_address().into();
        }
    });
    let ticket = site.ticket(0);
    let is_unreachable = || {
        let res = site.capture(0, (TICKET_HEADER, &site.ticket(0))).unwrap();
        res.outcome == "not-run" && res.status == 503
    };
    wait_for("the new addresses", Duration::from_secs(5), is_unreachable);
    let ran = site.total_executions();
    let refused = site.capture(0, (TICKET_HEADER, &ticket)).unwrap();
    assert_eq!(refused.outcome, "not-run");
    assert_eq!((site.executions(&ticket), site.total_executions()), (0, ran));
}

#[test]
fn invalid_requests_are_refused_and_do_not_run() {
    let site = Site::start_with(|settings| {
        settings["max_body_bytes"] = serde_json::json!(2_000);
    });
    let completion = |body: serde_json::Value, headers: &[(&str, &str)]| {
        post(site.entry_address(0), "/v1/completions", headers, &body).unwrap()
    };
    let good = serde_json::json!({ "model": "quick", "prompt": "x", "max_tokens": 1 });
    let cases = [
        (completion(serde_json::json!({ "prompt": "x" }), &[]), 400, "malformed"),
        (completion(serde_json::json!({ "model": "quick" }), &[]), 400, "malformed"),
        (
            completion(
                serde_json::json!({ "model": "quick", "prompt": "x", "max_tokens": 0 }),
                &[],
            ),
            400,
            "malformed",
        ),
        (
            completion(serde_json::json!({ "model": "none", "prompt": "x" }), &[]),
            404,
            "unknown-model",
        ),
        (
            completion(serde_json::json!({ "model": "capture", "prompt": "x" }), &[]),
            404,
            "unknown-model",
        ),
        (
            completion(serde_json::json!({ "model": "quick", "prompt": "x".repeat(3_000) }), &[]),
            413,
            "too-large",
        ),
        (completion(good.clone(), &[("x-savoryport-rank", "soon")]), 400, "malformed"),
        (completion(good.clone(), &[("x-savoryport-deadline-ms", "-1")]), 400, "malformed"),
        (get(site.entry_address(0), "/v1/completions").unwrap(), 405, "method-not-allowed"),
        (get(site.entry_address(0), "/nowhere").unwrap(), 404, "not-found"),
        (get(site.entry_address(0), "/v1/entry?item=none").unwrap(), 404, "unknown-item"),
        (site.capture(0, (TICKET_HEADER, "mine")).unwrap(), 400, "malformed"),
    ];
    for (res, status, cause) in cases {
        assert_eq!(res.status, status, "{res:?}");
        assert!(res.body.contains(cause), "{res:?}");
        assert_eq!(res.outcome, "not-run", "{res:?}");
    }
    assert_eq!(site.total_executions(), 0);
}

#[test]
fn requests_without_a_known_key_are_unauthorized() {
    let callers = serde_json::json!([{ "name": "workshop", "key": "secret" }]);
    let mut site = Site::start();
    site.nodes[0].settings["callers"] = callers;
    kill(&mut site.nodes[0].entry);
    site.start_entry(0);
    let body = serde_json::json!({ "model": "quick", "prompt": "x", "max_tokens": 1 });
    let send =
        |headers: &[(&str, &str)]| post(site.entry_address(0), "/v1/completions", headers, &body);
    let key = [("authorization", "Bearer secret")];
    wait_for("the entry", Duration::from_secs(5), || send(&key).is_ok_and(|res| res.status == 200));
    assert_eq!(send(&[]).unwrap().status, 401);
    assert_eq!(send(&[("authorization", "Bearer other")]).unwrap().status, 401);
}
