//! A planned stop of a node while requests arrive, are being received, run and wait, tested with a real
//! node process.

mod node_site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use node_site::{NodeSite, RequestKind, SiteNode, post};
use rustix::process::Signal;
use savoryport_standin::backend::BackendFault;
use savoryport_standin::raw_engine::{RawEngine, RawEngineFault};

/// How long the nodes of a site may take to stop.
const STOP_TIME: Duration = Duration::from_secs(5);

/// The service whose servers never answer some requests.
const SERVICE: &str = "slow";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn start() -> (NodeSite, Vec<RawEngine>) {
    let mut site = NodeSite::start(1);
    site.plain_services.push(SERVICE);
    site.write_config();
    let fault =
        |kind: &str| RawEngineFault::HangsOnPath { path: format!("/{SERVICE}-{kind}/hangs") };
    let servers = [("slow-a", "commit"), ("slow-b", "commit")]
        .map(|(id, kind)| site.start_raw_server(id, SERVICE, fault(kind)));
    site.wait_for_servers(&["slow-a", "slow-b"]);
    site.wait_until("the service is served", |site| {
        let path = format!("/{SERVICE}-commit/ready");
        post(&site.nodes[0].callers, "ready", &path, "").status == 200
    });
    (site, servers.into())
}

fn sleep_until(began: Instant, after: Duration) {
    std::thread::sleep(after.saturating_sub(began.elapsed()));
}

/// Sends the parts of a request at these times after the stop began; returns the response.
fn send_parts(node: &SiteNode, began: Instant, parts: &[(Duration, &str)]) -> String {
    let mut caller = TcpStream::connect(&node.callers).expect("it connects");
    for (after, part) in parts {
        sleep_until(began, *after);
        let _ = caller.write_all(part.as_bytes());
    }
    read_response(&mut caller)
}

fn read_response(caller: &mut TcpStream) -> String {
    let mut response = Vec::new();
    caller.set_read_timeout(Some(STOP_TIME)).expect("a socket");
    let _ = caller.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn head(id: &str, path: &str, length: usize) -> String {
    format!(
        "POST /{path}/{id} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 4000\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Guards against requests that are cut off without an answer at the end of a planned stop.
#[test]
fn requests_that_run_late_in_a_planned_stop_get_a_final_answer() {
    let (mut site, servers) = start();
    site.nodes[0].signal(Signal::TERM);
    let began = Instant::now();
    sleep_until(began, ms(1_700));
    let path = format!("/{SERVICE}-commit/hangs");
    let response = post(&site.nodes[0].callers, "hangs", &path, "");
    let runs: u32 = servers.iter().map(|server| server.runs_of("hangs")).sum();
    assert_eq!((response.status, runs), (504, 1), "after {:?}", began.elapsed());
    let status = site.nodes[0].wait_for_exit();
    assert!(status.is_some_and(|status| status.success()));
    assert!(began.elapsed() < STOP_TIME, "{:?}", began.elapsed());
}

/// Guards against requests that are taken so late in a planned stop that they cannot end in time.
#[test]
fn requests_that_are_complete_late_in_a_planned_stop_are_refused_as_not_run() {
    let (site, _servers) = start();
    let node = &site.nodes[0];
    node.signal(Signal::TERM);
    let began = Instant::now();
    let (late_head, late_body) = (head("late-head", "commit", 3), head("late-body", "commit", 3));
    let (early, late) = (ms(800), ms(3_000));
    let (first_half, second_half) = late_head.split_at(late_head.len() / 2);
    let (head_response, body_response) = std::thread::scope(|scope| {
        let parts = [(early, first_half), (late, second_half), (late, "pay")];
        let with_late_head = scope.spawn(move || send_parts(node, began, &parts));
        let parts = [(early, late_body.as_str()), (early, "pa"), (late, "y")];
        let with_late_body = scope.spawn(move || send_parts(node, began, &parts));
        let join =
            |caller: std::thread::ScopedJoinHandle<'_, String>| caller.join().expect("it ends");
        (join(with_late_head), join(with_late_body))
    });
    assert!(body_response.starts_with("HTTP/1.1 503"), "{body_response}");
    // The connection may also be closed before the head is complete.
    assert!(
        head_response.starts_with("HTTP/1.1 503") || head_response.is_empty(),
        "{head_response}"
    );
    assert_eq!((site.runs_of("late-head"), site.runs_of("late-body")), (0, 0));
}

#[test]
fn a_stopping_node_refuses_streams_that_cannot_end_in_time_and_serves_others() {
    let (site, _servers) = start();
    let node = &site.nodes[0];
    let mut kept = TcpStream::connect(&node.callers).expect("it connects");
    kept.write_all(head("first", "commit", 3).as_bytes()).expect("it is sent");
    kept.write_all(b"pay").expect("it is sent");
    site.wait_until("the first request is served", |site| site.runs_of("first") == 1);
    node.signal(Signal::TERM);
    let began = Instant::now();
    sleep_until(began, ms(500));
    let long = "POST /draft/long HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: long\r\n\
                X-Deadline-Ms: 8000\r\nX-Model: m0\r\nX-Token-Counts: 100,4000\r\n\
                X-Prompt-Prefix: 5c1e07a2:60,91bd3f06:40\r\nContent-Length: 0\r\n\r\n";
    let refused = send_parts(node, began, &[(ms(500), long)]);
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(began.elapsed() < ms(1_000), "refused after {:?}", began.elapsed());
    assert_eq!(site.runs_of("long"), 0);
    assert_eq!(site.send(0, "short", RequestKind::Stream("m0")).status, 200);
    kept.write_all(head("second", "commit", 3).as_bytes()).expect("it is sent");
    kept.write_all(b"pay").expect("it is sent");
    let responses = read_response(&mut kept).to_lowercase();
    assert_eq!(responses.matches("http/1.1 200").count(), 2, "{responses}");
    assert_eq!(responses.matches("connection: close").count(), 1, "{responses}");
}

/// Guards against a wait for a model that goes on until the process ends.
#[test]
fn a_request_that_waits_late_in_a_planned_stop_is_refused_as_not_run() {
    let (mut site, _servers) = start();
    site.models.push(("absent", 3.5));
    site.write_config();
    site.wait_until("the configuration is in force", |site| {
        site.nodes[0].status_json()["config"] == site.config_version
    });
    let node = &site.nodes[0];
    std::thread::scope(|scope| {
        let site = &site;
        let waiting = scope.spawn(|| site.send(0, "waits", RequestKind::Stream("absent")));
        std::thread::sleep(ms(100));
        node.signal(Signal::TERM);
        let response = waiting.join().expect("it ends");
        let is_served = response.status == 200 && response.body.is_some();
        assert!(is_served || response.status == 503, "{response:?}");
    });
}

/// Opens ten connections for each of these beginnings of a request.
fn open_connections(node: &SiteNode, sent: &[&str]) -> Vec<TcpStream> {
    let connections = sent.iter().flat_map(|sent| std::iter::repeat_n(sent, 10)).map(|sent| {
        let mut caller = TcpStream::connect(&node.callers).expect("it connects");
        caller.write_all(sent.as_bytes()).expect("it is sent");
        caller
    });
    connections.collect()
}

/// Stops a node; returns how long that took, and its log.
fn stop(node: &mut SiteNode) -> (Duration, String) {
    node.signal(Signal::TERM);
    let began = Instant::now();
    let status = node.wait_for_exit();
    let took = began.elapsed();
    assert!(status.is_some_and(|status| status.success()));
    (took, node.log_lines.lock().expect("no thread panics").join("\n"))
}

/// Guards against a stop that waits without a limit for a caller or the store, and against one whose
/// delay the log does not explain: a leader whose store is silent, with callers that read no stream.
#[test]
fn a_leader_with_unread_streams_and_a_silent_store_stops_in_time() {
    let (mut site, _servers) = start();
    for server in &site.servers {
        server.set_fault(BackendFault::EndlessEvent);
    }
    let unread = "POST /draft-once/unread HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: unread\r\n\
                  X-Deadline-Ms: 4000\r\nX-Model: m0\r\nX-Token-Counts: 100,8\r\n\
                  X-Prompt-Prefix: 5c1e07a2:60\r\nContent-Length: 0\r\n\r\n";
    let half_body = head("half", "commit", 3);
    let _open = open_connections(&site.nodes[0], &[&half_body, unread]);
    std::thread::sleep(ms(500));
    site.nodes[0].store_proxy.set_faults(|faults| faults.pause = true);
    let (took, log) = stop(&mut site.nodes[0]);
    assert!(took < STOP_TIME, "{took:?}");
    assert!(log.contains("stop waits for callers") && log.contains("\"stopped\""), "{log}");
}

/// Guards against a stop that takes all of its time because callers hold connections on which no
/// request is in progress.
#[test]
fn connections_without_a_request_do_not_delay_the_stop() {
    let (mut site, _servers) = start();
    let served = format!("{}pay", head("kept", "commit", 3));
    let half_head = &served[..40];
    let _open = open_connections(&site.nodes[0], &["", &served, half_head]);
    std::thread::sleep(ms(200));
    let (took, log) = stop(&mut site.nodes[0]);
    assert!(took < ms(4_000), "{took:?}");
    assert!(!log.contains("requests end because the node stops"), "{log}");
}
