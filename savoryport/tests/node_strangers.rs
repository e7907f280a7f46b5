//! Malformed messages to each listener of a node, tested with real node processes.

mod node_site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use node_site::{NodeSite, RequestKind};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// How long a stranger waits for a response.
const PATIENCE: Duration = Duration::from_millis(300);

/// The number of random messages to each listener.
const MESSAGES: usize = 60;

/// Sends bytes to an address, and returns the start of the response within [`PATIENCE`].
fn send_bytes(address: &str, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the listener accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a positive timeout");
    let _ = stream.write_all(bytes);
    let mut received = vec![0; 256];
    let count = stream.read(&mut received).unwrap_or(0);
    received.truncate(count);
    received
}

fn request_with(headers: &str) -> Vec<u8> {
    format!("POST /draft/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n{headers}\r\n")
        .into_bytes()
}

#[test]
fn requests_with_extreme_headers_are_answered() {
    let site = NodeSite::start(1);
    let extremes = [
        "X-Model: m0\r\nX-Token-Counts: 4294967295,4294967295\r\n",
        "X-Model: m0\r\nX-Prompt-Prefix: 1:4294967295,2:4294967295,3:4294967295\r\n",
        "X-Model: m0\r\nX-Token-Counts: 9,9\r\nX-Prompt-Prefix: 1:0,1:0,1:0\r\n",
        "X-Model: /\r\nX-Token-Counts: 0,0\r\n",
        "X-Model: m0/\r\nX-Token-Counts: 1,1\r\nLast-Event-Id: 18446744073709551615\r\n",
        "X-Model: m0\r\nX-Token-Counts: -1,1e9\r\n",
    ];
    let deadlines = ["0", "-1", "1e300", "NaN", "inf", "0.0000001", "9223372036854775807", ""];
    for (number, headers) in extremes.iter().enumerate() {
        for deadline in deadlines {
            let head =
                format!("X-Attempt-Id: extreme-{number}\r\nX-Deadline-Ms: {deadline}\r\n{headers}");
            let mut stream = TcpStream::connect(&site.nodes[0].callers).expect("it accepts");
            stream.set_read_timeout(Some(Duration::from_secs(6))).expect("a positive timeout");
            stream.write_all(&request_with(&head)).expect("the node reads");
            let mut received = [0; 12];
            let read = stream.read_exact(&mut received);
            assert!(read.is_ok() && received.starts_with(b"HTTP/1.1 "), "{head}: {read:?}");
        }
    }
    assert_eq!(site.send(0, "after-extremes", RequestKind::Stream("m0")).status, 200);
}

#[test]
fn random_bytes_to_any_listener_end_nothing() {
    let seed = 20_261_204;
    let site = NodeSite::start(2);
    let mut rng = SmallRng::seed_from_u64(seed);
    let node = &site.nodes[0];
    for address in [node.callers.clone(), node.directory.clone(), node.peers_address()] {
        for number in 0..MESSAGES {
            let length = rng.random_range(1..2_000);
            let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
            if number % 3 == 1 {
                // A frame of the calls between nodes: a length, then arbitrary content.
                bytes.splice(..0, (length as u32).to_be_bytes());
            } else if number % 3 == 2 {
                bytes.splice(..0, *b"GET /lookup/x HTTP/1.1\r\nHost: site.example\r\n");
            }
            send_bytes(&address, &bytes);
        }
    }
    for node in 0..2 {
        assert_eq!(site.send(node, &format!("after-{node}"), RequestKind::Idempotent).status, 200);
    }
    site.wait_until("the nodes still know each other", |site| site.nodes[0].addresses().len() == 2);
}

#[test]
fn a_time_beyond_all_bounds_in_the_configuration_ends_nothing() {
    let mut site = NodeSite::start(1);
    site.route_timeout_ms = 1e22;
    site.write_config();
    let in_force = format!("\"config\":{}", site.config_version);
    site.wait_until("the configuration is in force", |site| {
        site.nodes[0].status().contains(&in_force)
    });
    assert_eq!(site.send(0, "long", RequestKind::Idempotent).status, 200);
}
