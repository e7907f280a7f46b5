//! Malformed and hostile traffic that any client can send to an entry: incomplete, oversized or
//! ambiguous requests, responses left unread, and too many connections.

mod site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::json;
use site::{Site, wait_for};

/// The entry's timeout for reading a request head or body in these tests.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

fn start_site() -> Site {
    Site::start_with(|settings| {
        settings["read_timeout_ms"] = json!(READ_TIMEOUT.as_millis() as u64);
        settings["caller_stall_ms"] = json!(500);
        settings["max_connections_per_address"] = json!(40);
    })
}

fn connect(site: &Site) -> TcpStream {
    let stream = TcpStream::connect(site.entry_address(0)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

fn send_raw(site: &Site, request: &str) -> String {
    let mut stream = connect(site);
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    response
}

fn resident_kib(site: &Site) -> u64 {
    let pid = site.nodes[0].entry.as_ref().unwrap().id();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn a_connection_with_an_incomplete_head_is_closed_in_time() {
    let site = start_site();
    let started = Instant::now();
    send_raw(&site, "POST /v1/completions HTTP/1.1\r\nhost: x\r\n");
    assert!(started.elapsed() < READ_TIMEOUT * 4);
}

#[test]
fn a_request_with_an_incomplete_body_is_refused_in_time() {
    let site = start_site();
    let request = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
    let started = Instant::now();
    let response = send_raw(&site, request);
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(started.elapsed() < READ_TIMEOUT * 4);
}

#[test]
fn a_head_without_an_end_takes_no_memory() {
    let site = start_site();
    let before = resident_kib(&site);
    let mut stream = connect(&site);
    let header_line = format!("x-filler: {}\r\n", "a".repeat(8_000));
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n");
    // Sends up to 64 MB, of which the entry must not read more than the size limit of a head.
    for _ in 0..8_000 {
        if stream.write_all(header_line.as_bytes()).is_err() {
            break;
        }
    }
    let grown = resident_kib(&site).saturating_sub(before);
    assert!(grown < 4_096, "grew by {grown} KiB");
}

#[test]
fn a_request_with_both_length_headers_smuggles_no_second_request() {
    let site = start_site();
    let requests = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\
                transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    let response = send_raw(&site, requests);
    // The second request must not be served under either reading of the length, since it could be
    // smuggled past a proxy that uses the other one.
    assert!(!response.contains("HTTP/1.1 200"), "{response}");
}

#[test]
fn a_caller_that_leaves_its_answer_unread_does_not_hold_a_slot() {
    let site = start_site();
    let body = json!({
        "model": "quick", "prompt": "unread", "max_tokens": 30_000, "stream": true,
    });
    let body = body.to_string();
    let mut stream = connect(&site);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    // The first byte shows that the engine's stream has started; nothing more is read.
    stream.read_exact(&mut [0; 1]).unwrap();
    drop(stream);
    let cancelled =
        || site.fleet.engines.iter().map(|engine| engine.counts().cancelled).sum::<u64>();
    wait_for("the engine to cancel", Duration::from_secs(5), || cancelled() == 1);
}

#[test]
fn connections_beyond_the_limit_of_an_address_are_closed() {
    let site = start_site();
    let connections: Vec<TcpStream> = (0..60).map(|_| connect(&site)).collect();
    let mut closed = 0;
    for mut stream in connections {
        stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        closed += usize::from(matches!(stream.read(&mut [0; 1]), Ok(0)));
    }
    assert!(closed >= 20, "{closed} of 60 were closed");
    let serves = || site.complete(0, "quick", "after", 1).is_ok_and(|res| res.status == 200);
    wait_for("the entry to serve again", Duration::from_secs(3), serves);
}
