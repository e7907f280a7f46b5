//! What strangers may send to an entry: half, too much, ambiguous, or nothing at all.

mod site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use serde_json::json;
use site::{Site, wait_for};

/// The entry's time for a head or a body in these tests.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

fn site() -> Site {
    Site::start_with(|settings| {
        settings["read_timeout_ms"] = json!(READ_TIMEOUT.as_millis() as u64);
        settings["caller_stall_ms"] = json!(500);
        settings["max_connections_per_address"] = json!(40);
    })
}

fn connect(site: &Site) -> TcpStream {
    let stream = TcpStream::connect(site.entry(0)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

fn answer_to(site: &Site, text: &str) -> String {
    let mut stream = connect(site);
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

fn resident_kib(site: &Site) -> u64 {
    let pid = site.nodes[0].entry.as_ref().unwrap().id();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn a_half_sent_head_is_closed_in_time() {
    let site = site();
    let began = Instant::now();
    answer_to(&site, "POST /v1/completions HTTP/1.1\r\nhost: x\r\n");
    assert!(began.elapsed() < READ_TIMEOUT * 4);
}

#[test]
fn a_half_sent_body_is_refused_in_time() {
    let site = site();
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{";
    let began = Instant::now();
    let answer = answer_to(&site, head);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(began.elapsed() < READ_TIMEOUT * 4);
}

#[test]
fn a_head_without_an_end_takes_no_memory() {
    let site = site();
    let before = resident_kib(&site);
    let mut stream = connect(&site);
    let line = format!("x-filler: {}\r\n", "a".repeat(8_000));
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n");
    // 64 MB, of which the entry reads no more than a head may have.
    for _ in 0..8_000 {
        if stream.write_all(line.as_bytes()).is_err() {
            break;
        }
    }
    let grown = resident_kib(&site).saturating_sub(before);
    assert!(grown < 4_096, "grew by {grown} KiB");
}

#[test]
fn both_length_headers_are_refused() {
    let site = site();
    let text = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\
                transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    let answer = answer_to(&site, text);
    // What follows is not read as a request of its own under one of the two readings.
    assert!(!answer.contains("HTTP/1.1 200"), "{answer}");
}

#[test]
fn a_caller_that_leaves_its_answer_unread_does_not_hold_a_slot() {
    let site = site();
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
    // One byte shows that the engine's stream has begun; nothing more is read.
    stream.read_exact(&mut [0; 1]).unwrap();
    drop(stream);
    let cancelled =
        || site.fleet.engines.iter().map(|engine| engine.counts().cancelled).sum::<u64>();
    wait_for("the engine to cancel", Duration::from_secs(5), || cancelled() == 1);
}

#[test]
fn too_many_connections_from_one_address_are_closed() {
    let site = site();
    let held: Vec<TcpStream> = (0..60).map(|_| connect(&site)).collect();
    let mut refused = 0;
    for mut stream in held {
        stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        refused += usize::from(matches!(stream.read(&mut [0; 1]), Ok(0)));
    }
    assert!(refused >= 20, "{refused} of 60 were closed");
    let serves = || site.complete(0, "quick", "after", 1).is_ok_and(|answer| answer.status == 200);
    wait_for("the entry to serve again", Duration::from_secs(3), serves);
}
