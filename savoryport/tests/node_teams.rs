//! Keys of teams, tested with real node processes: who may send requests, what servers see, and when a
//! withdrawn key stops working.

mod node_site;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use node_site::{
    CallerResponse, KEY_WITHDRAWAL_MS, NodeSite, RequestKind, send_request, send_with_headers,
};
use rustix::process::Signal;
use savoryport_standin::metadata::StoreMode;
use savoryport_standin::proxy::Faults;
use serde_json::json;

/// The key that the tests withdraw.
const OLD: &str = "old-s3cret";

/// A key that stays.
const KEPT: &str = "kept-s3cret";

/// A key that a later configuration adds.
const NEW: &str = "new-s3cret";

/// The operators' bound on the time in which a new key works.
const APPLY_TIME: Duration = Duration::from_secs(4);

/// Numbers requests, so that each has its own id.
static REQUESTS: AtomicU64 = AtomicU64::new(0);

fn start(domains: &[&'static str], nodes: usize) -> NodeSite {
    let mut site = NodeSite::start_in_domains(domains, nodes);
    set_keys(&mut site, &[OLD, KEPT]);
    // Any key passes until the first configuration with teams is in force.
    site.wait_until("the keys are in force at all nodes", |site| {
        (0..site.nodes.len()).all(|node| {
            ask(site, node, "unknown").status == 401 && ask(site, node, OLD).status == 200
        })
    });
    site
}

/// Writes a configuration in which these are the keys of the team.
fn set_keys(site: &mut NodeSite, keys: &[&'static str]) {
    site.teams = json!([
        { "name": "ada", "apiKeys": keys },
        { "name": "bob", "apiKeys": ["bob-s3cret"] },
    ]);
    site.write_config();
}

/// Sends a request with a key.
fn ask(site: &NodeSite, node: usize, key: &str) -> CallerResponse {
    let id = format!("r{}", REQUESTS.fetch_add(1, Ordering::Relaxed));
    let value = format!("Token {key}");
    send_with_headers(&site.nodes[node].callers, &id, "lookup", &[("Authorization", &value)])
}

/// Checks for some time that no request with the withdrawn key runs that is sent after the bound.
/// The time of sending is taken before the request is sent, so the check does not depend on the
/// machine's speed.
fn check_withdrawn(site: &NodeSite, withdrawn_at: Instant, duration: Duration) {
    let bound = Duration::from_millis(KEY_WITHDRAWAL_MS);
    let started = Instant::now();
    while started.elapsed() < duration {
        for node in 0..site.nodes.len() {
            let sent_after = withdrawn_at.elapsed();
            let status = ask(site, node, OLD).status;
            if sent_after > bound && status == 200 {
                site.print_last_log_lines(20);
                panic!("the key works at node {node} {sent_after:?} after it was withdrawn");
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Waits until all nodes take the key that stays, and refuse the withdrawn one.
fn wait_for_recovery(site: &NodeSite) {
    site.wait_until("all nodes accept the keys again", |site| {
        (0..site.nodes.len())
            .all(|node| ask(site, node, KEPT).status == 200 && ask(site, node, OLD).status == 401)
    });
}

fn leader(site: &NodeSite) -> usize {
    let leads = |node: usize| {
        let status = site.nodes[node].status_json();
        let mut duties = status["duties"].as_array().into_iter().flatten();
        duties.any(|duty| duty["may_order"] == true)
    };
    site.wait_until("a node leads", |site| (0..site.nodes.len()).any(leads));
    (0..site.nodes.len()).find(|node| leads(*node)).expect("a node leads")
}

fn cut_from_store(site: &NodeSite, node: usize) {
    let cut = Faults { refuse: true, pause: true, ..Faults::default() };
    site.nodes[node].store_proxy.set_faults(|faults| *faults = cut);
}

fn heal(site: &NodeSite, node: usize) {
    site.nodes[node].store_proxy.set_faults(|faults| *faults = Faults::default());
}

fn kill(site: &mut NodeSite, node: usize) {
    site.nodes[node].signal(Signal::KILL);
    site.nodes[node].wait_for_exit();
}

/// Checks that neither logs nor pages of the nodes contain a key.
fn check_no_key_is_shown(site: &NodeSite) {
    for node in &site.nodes {
        let lines = node.log_lines.lock().expect("no thread panics while holding the lock");
        let pages = [node.status(), node.metrics()];
        for text in lines.iter().chain(&pages) {
            assert!(!text.contains("s3cret"), "{}: {text}", node.name);
        }
    }
}

/// Guards against servers that see keys, and against callers that pass for another team.
#[test]
fn servers_get_the_teams_name_and_no_key() {
    let mut site = start(&["east-a"], 2);
    for node in 0..2 {
        kill(&mut site, node);
        site.nodes[node].set("log_level", "debug".into());
        site.nodes[node].start();
    }
    wait_until_accepted(&site);
    let address = site.nodes[1].callers.clone();
    let headers_at_server = |id: &str| {
        let headers = site.servers.iter().find_map(|server| server.headers_of(id));
        headers.unwrap_or_else(|| panic!("{id} reached no server"))
    };
    let long_key = format!("Token {}", "s3cret".repeat(2_000));
    let longer_key = format!("Token {}", "s3cret".repeat(10_900));
    let key = ("Authorization", "Token kept-s3cret");
    let claim = ("X-Tenant", "bob");
    type Case<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, u16, Option<&'a str>);
    let cases: Vec<Case> = vec![
        ("keyed", "lookup", vec![key], 200, Some("ada")),
        ("lower-case", "lookup", vec![("authorization", "token kept-s3cret")], 200, Some("ada")),
        ("claims", "lookup", vec![key, claim, ("x-tenant", "cyd")], 200, Some("ada")),
        ("hop", "lookup", vec![key, claim, ("Connection", "X-Tenant")], 200, Some("ada")),
        ("no-key", "lookup", vec![claim], 401, None),
        ("unknown", "lookup", vec![("Authorization", "Token s3cret")], 401, None),
        ("scheme", "lookup", vec![("Authorization", "Bearer kept-s3cret")], 401, None),
        ("two-keys", "lookup", vec![key, key], 401, None),
        ("long", "lookup", vec![("Authorization", &long_key)], 401, None),
        ("open", "open", vec![claim], 200, None),
        ("open-keyed", "open", vec![key, claim], 200, Some("ada")),
        ("open-unknown", "open", vec![("Authorization", "Token s3cret")], 200, None),
    ];
    for (id, path, headers, status, team) in cases {
        assert_eq!(send_with_headers(&address, id, path, &headers).status, status, "{id}");
        if status != 200 {
            let runs = site.runs_of(id);
            assert_eq!(runs, 0, "{id}");
            continue;
        }
        let headers = headers_at_server(id);
        let named: Vec<&str> = headers
            .iter()
            .filter(|(name, _)| name == "x-tenant")
            .map(|(_, value)| &**value)
            .collect();
        assert_eq!(named, team.into_iter().collect::<Vec<_>>(), "{id}");
        assert!(headers.iter().all(|(name, value)| {
            name != "authorization" && !name.contains("s3cret") && !value.contains("s3cret")
        }));
    }
    // Longer than the limit of a head.
    let longer = send_with_headers(&address, "longer", "lookup", &[("Authorization", &longer_key)]);
    assert_ne!(longer.status, 200);
    assert_eq!(site.runs_of("longer"), 0);
    assert_eq!(ask(&site, 1, KEPT).status, 200);
    check_no_key_is_shown(&site);
}

fn wait_until_accepted(site: &NodeSite) {
    site.wait_until("all nodes accept the key that stays", |site| {
        (0..site.nodes.len()).all(|node| ask(site, node, KEPT).status == 200)
    });
}

/// Guards against error messages that repeat a key which is in the wrong place of the configuration,
/// and against a slip in one entry that keeps other keys from being withdrawn.
#[test]
fn a_slip_in_the_configuration_shows_no_key_and_keeps_none() {
    let mut site = start(&["east-a"], 2);
    let config = site.store.value("op/config").expect("a configuration");
    let mut config: serde_json::Value = serde_json::from_slice(&config).expect("JSON");
    for tenants in [json!("s3cret"), json!({ "s3cret": ["s3cret"] })] {
        site.config_version += 1;
        config["version"] = site.config_version.into();
        config["tenants"] = tenants;
        site.store.write("op/config", &config);
        std::thread::sleep(Duration::from_millis(500));
    }
    assert_eq!(ask(&site, 0, OLD).status, 200);
    site.config_version += 1;
    config["version"] = site.config_version.into();
    config["tenants"] = json!([
        { "name": "ada", "apiKeys": [KEPT] },
        { "name": "bob", "apiKeys": "bob-s3cret" },
        { "name": "cyd", "apiKeys": ["cyd-s3cret"], "priority": "s3cret" },
    ]);
    site.store.write("op/config", &config);
    wait_for_recovery(&site);
    for node in 0..2 {
        assert_eq!(ask(&site, node, "bob-s3cret").status, 401);
        assert_eq!(ask(&site, node, "cyd-s3cret").status, 401);
    }
    let logged = |line: &str| {
        site.nodes.iter().any(|node| {
            let lines = node.log_lines.lock().expect("no thread panics while holding the lock");
            lines.iter().any(|logged| logged.contains(line))
        })
    };
    assert!(logged("unreadable config") && logged("teams of the configuration left out"));
    check_no_key_is_shown(&site);
}

/// Guards against unknown keys that take up memory or crowd out other callers.
#[test]
fn thousands_of_unknown_keys_do_no_harm() {
    let site = start(&["east-a"], 1);
    let before = site.nodes[0].peak_memory_mb();
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let floods: Vec<_> = (0..6)
            .map(|thread| {
                let site = &site;
                scope.spawn(move || {
                    for number in 0..700 {
                        let key = format!("{thread}-{number}-{}", "s3cret".repeat(80));
                        assert_eq!(ask(site, 0, &key).status, 401);
                    }
                })
            })
            .collect();
        let others = scope.spawn(|| {
            let mut answers = 0;
            while !done.load(Ordering::Relaxed) {
                assert_eq!(ask(&site, 0, KEPT).status, 200);
                answers += 1;
            }
            answers
        });
        let floods: Vec<_> = floods.into_iter().map(|flood| flood.join()).collect();
        done.store(true, Ordering::Relaxed);
        for flood in floods {
            flood.expect("every unknown key is refused");
        }
        assert!(others.join().expect("a known key works in the flood") > 0);
    });
    let grown = site.nodes[0].peak_memory_mb() - before;
    assert!(grown < 24, "{grown} MB");
    check_no_key_is_shown(&site);
}

#[test]
fn a_withdrawn_key_stops_working_and_a_new_one_works_at_all_nodes() {
    let mut site = start(&["east-a", "east-b"], 2);
    set_keys(&mut site, &[KEPT, NEW]);
    let written_at = Instant::now();
    site.wait_until("the new key works at all nodes", |site| {
        (0..site.nodes.len()).all(|node| ask(site, node, NEW).status == 200)
    });
    assert!(written_at.elapsed() < APPLY_TIME, "{:?}", written_at.elapsed());
    check_withdrawn(&site, written_at, Duration::from_secs(6));
    wait_for_recovery(&site);
    // A key that is configured anew works again.
    set_keys(&mut site, &[OLD, KEPT]);
    site.wait_until("the key works again", |site| {
        (0..site.nodes.len()).all(|node| ask(site, node, OLD).status == 200)
    });
}

/// Guards against a node that goes on with its keys while it cannot hear of changes, against one that
/// blames the caller for that, and against one that is removed although its leader reads the store.
#[test]
fn a_withdrawn_key_stops_working_at_nodes_that_are_cut_off_from_the_store() {
    let mut site = start(&["east-a"], 3);
    let leader = leader(&site);
    let followers: Vec<usize> = (0..3).filter(|node| *node != leader).collect();
    cut_from_store(&site, followers[0]);
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(ask(&site, followers[0], KEPT).status, 200, "its leader reads the store");
    cut_from_store(&site, leader);
    set_keys(&mut site, &[KEPT]);
    let withdrawn_at = Instant::now();
    check_withdrawn(&site, withdrawn_at, Duration::from_secs(9));
    for node in [followers[0], leader] {
        heal(&site, node);
    }
    wait_for_recovery(&site);
}

#[test]
fn nodes_that_cannot_confirm_keys_answer_503_and_never_401() {
    let site = start(&["east-a"], 2);
    site.store.set_mode(StoreMode::Silent);
    let silent_at = Instant::now();
    std::thread::sleep(Duration::from_millis(KEY_WITHDRAWAL_MS));
    while silent_at.elapsed() < Duration::from_secs(9) {
        for node in 0..2 {
            for key in [OLD, "unknown"] {
                let response = ask(&site, node, key);
                assert_eq!(response.status, 503);
                let wait: f64 =
                    response.retry_after.and_then(|wait| wait.parse().ok()).expect("a wait");
                assert!(wait > 0.0 && wait < 5.0, "{wait}");
            }
            let public = send_with_headers(&site.nodes[node].callers, "p", "open", &[]);
            assert_eq!(public.status, 200, "requests without a key need no confirmation");
        }
    }
    let cause = "keys-unconfirmed";
    assert!(site.nodes.iter().all(|node| node.metrics().contains(cause)));
    site.store.set_mode(StoreMode::Up);
    site.wait_until("the key works again", |site| {
        (0..2).all(|node| ask(site, node, OLD).status == 200)
    });
    assert_eq!(ask(&site, 0, "unknown").status, 401);
    check_no_key_is_shown(&site);
}

/// Guards against a node that resumes with the keys from before it was suspended. Requests wait for it
/// while it is.
#[test]
fn a_withdrawn_key_does_not_work_at_nodes_that_were_suspended() {
    for stops_leader in [false, true] {
        let mut site = start(&["east-a"], 3);
        let leader = leader(&site);
        let suspended = if stops_leader { leader } else { (leader + 1) % 3 };
        site.nodes[suspended].signal(Signal::STOP);
        set_keys(&mut site, &[KEPT]);
        let withdrawn_at = Instant::now();
        std::thread::sleep(Duration::from_millis(KEY_WITHDRAWAL_MS + 300));
        std::thread::scope(|scope| {
            let waiting: Vec<_> =
                (0..8).map(|_| scope.spawn(|| ask(&site, suspended, OLD).status)).collect();
            std::thread::sleep(Duration::from_millis(500));
            site.nodes[suspended].signal(Signal::CONT);
            for request in waiting {
                assert_ne!(request.join().expect("an answer"), 200, "leader: {stops_leader}");
            }
        });
        check_withdrawn(&site, withdrawn_at, Duration::from_secs(3));
        wait_for_recovery(&site);
    }
}

/// Guards against a node that starts while the store does not answer, and accepts or blames keys.
#[test]
fn a_node_that_starts_without_the_store_accepts_no_withdrawn_key() {
    let mut site = start(&["east-a"], 2);
    set_keys(&mut site, &[KEPT]);
    wait_for_recovery(&site);
    site.store.set_mode(StoreMode::Silent);
    kill(&mut site, 0);
    site.nodes[0].start();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(7) {
        for key in [OLD, KEPT] {
            let status = ask(&site, 0, key).status;
            assert!([0, 503].contains(&status), "{status}");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    site.store.set_mode(StoreMode::Up);
    wait_for_recovery(&site);
}

/// Guards against nodes that take the word of a store which went back to an older copy: neither those
/// that run, nor those that restart and find others that know better.
#[test]
fn a_withdrawn_key_stays_withdrawn_when_the_store_goes_back() {
    let mut site = start(&["east-a"], 3);
    let copy = site.store.copy();
    set_keys(&mut site, &[KEPT]);
    let withdrawn_at = Instant::now();
    wait_for_recovery(&site);
    site.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_millis(500));
    site.store.restore(&copy);
    site.store.set_mode(StoreMode::Up);
    std::thread::sleep(
        Duration::from_millis(KEY_WITHDRAWAL_MS).saturating_sub(withdrawn_at.elapsed()),
    );
    check_withdrawn(&site, withdrawn_at, Duration::from_secs(4));
    wait_for_recovery(&site);
    // First a follower alone, then the leader with it: only one node is left that knows.
    let leader = leader(&site);
    let follower = (leader + 1) % 3;
    for restarted in [vec![follower], vec![leader, follower]] {
        for node in &restarted {
            kill(&mut site, *node);
        }
        for node in &restarted {
            site.nodes[*node].start();
        }
        check_withdrawn(&site, withdrawn_at, Duration::from_secs(8));
        wait_for_recovery(&site);
    }
}

/// Guards against a failure domain whose only node restarts with a restored store, while just the leader
/// of another failure domain knows better.
#[test]
fn a_restarted_failure_domain_learns_of_withdrawn_keys_from_another() {
    let mut site = start(&["east-a", "east-b"], 1);
    let copy = site.store.copy();
    set_keys(&mut site, &[KEPT]);
    let withdrawn_at = Instant::now();
    wait_for_recovery(&site);
    site.store.restore(&copy);
    kill(&mut site, 1);
    let passed = withdrawn_at.elapsed();
    std::thread::sleep(Duration::from_millis(KEY_WITHDRAWAL_MS).saturating_sub(passed));
    site.nodes[1].start();
    check_withdrawn(&site, withdrawn_at, Duration::from_secs(6));
    wait_for_recovery(&site);
    let age = &site.nodes[1].status_json()["config_age_ms"];
    assert!(age.as_u64().is_some_and(|age| age < KEY_WITHDRAWAL_MS), "{age}");
}

/// Guards against a restored store that is never trusted again once all nodes that know better are
/// gone.
#[test]
fn nodes_that_all_restart_with_a_restored_store_serve_again() {
    let mut site = start(&["east-a"], 2);
    let copy = site.store.copy();
    site.store.restore(&copy);
    for node in 0..2 {
        kill(&mut site, node);
    }
    for node in 0..2 {
        site.nodes[node].start();
    }
    wait_until_accepted(&site);
}

/// Guards against deployments without teams that see anything of them.
#[test]
fn without_teams_headers_pass_as_they_are() {
    let site = NodeSite::start(1);
    let headers = [("Authorization", "Token k"), ("X-Tenant", "ada")];
    assert_eq!(send_with_headers(&site.nodes[0].callers, "r", "lookup", &headers).status, 200);
    let received = site.servers.iter().find_map(|server| server.headers_of("r"));
    let received = received.expect("the request reached a server");
    for (name, value) in headers {
        assert!(received.contains(&(name.to_lowercase(), value.to_owned())), "{received:?}");
    }
    site.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_millis(KEY_WITHDRAWAL_MS + 1_000));
    let response = send_request(&site.nodes[0].callers, "r2", RequestKind::Idempotent);
    assert_eq!(response.status, 200);
}
