//! Clients that are not trusted send many chunked bodies at once, in large chunks, and stop just short
//! of their end.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::connect_from;
use crate::site::{Site, plain_request, send};

/// The number of bodies at once; fewer than the descriptors of the machine.
const BODIES: usize = 2_048;

/// The addresses that they come from, and the threads that send them.
const ADDRESSES: usize = 64;
const SENDERS: usize = 8;

/// The bytes of a chunk, and the chunks of each body before the last one, which is not sent.
const CHUNK: usize = 28_000;
const CHUNKS: usize = 2;

/// The bytes of a cookie in each head. A head may have 16,384 bytes.
const COOKIE: usize = 8_000;

/// The pause of each sender between two connections.
const PACE: Duration = Duration::from_millis(10);

/// `memoryMb` of the machines of the small sites.
const MEMORY_MB: u64 = 260;

/// When the bodies are begun, and when the script ends, in seconds.
const BEGIN_AT: f64 = 8.0;
const END_AT: f64 = 22.0;

pub fn run(has_trouble: bool) -> ! {
    let mut site = Site::new();
    for number in 0..3 {
        site.add_plain(&format!("orders-{number}"), "riga-a");
    }
    for number in 0..2 {
        site.add_engine(&format!("draft-{number}"), "riga-a", &["m0", "m1", "m2"], None);
    }
    site.add_node("front-1", "riga-a", site.front.address);
    site.wait_until_ready(&[0]);
    std::thread::scope(|scope| {
        let site = &site;
        scope.spawn(move || {
            let from = site.ip(200, 1);
            for number in 0.. {
                if site.record.now() > END_AT {
                    return;
                }
                let id = format!("plain-{number}");
                let request = plain_request("GET", &format!("/stock/{number}"), &id);
                send(&site.record, &site.nodes[0], &from, &id, &request, 2);
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        scope.spawn(move || {
            while site.record.now() < END_AT {
                let memory = site.nodes[0].memory_mb("VmRSS");
                site.record.line(format!("memory of the process: {memory} MB"));
                std::thread::sleep(Duration::from_secs(1));
            }
        });
        site.sleep_until(BEGIN_AT);
        for sender in (0..SENDERS).filter(|_| has_trouble) {
            scope.spawn(move || send_bodies(site, sender));
        }
    });
    let is_alive = site.nodes[0].is_alive();
    let memory = site.nodes[0].memory_mb("VmHWM");
    let is_broken = memory > MEMORY_MB || !is_alive;
    site.record.line(format!("alive={is_alive}, at most {memory} MB of {MEMORY_MB}"));
    site.record.line(format!("rule {}", if is_broken { "broken" } else { "held" }));
    site.end(i32::from(is_broken))
}

/// Sends the bodies of one sender, chunk by chunk in turn, and keeps them open to the end.
fn send_bodies(site: &Site, sender: usize) {
    let mut open: Vec<TcpStream> = Vec::new();
    for number in (sender..BODIES).step_by(SENDERS) {
        let from = site.ip(100, (number % ADDRESSES + 1) as u8);
        let head = format!(
            "POST /replies/{number} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: chunked-{number}\r\n\
             X-Model: m0\r\nX-Token-Counts: 826,290\r\nX-Prompt-Prefix: a1:198,{number:x}:628\r\n\
             X-Deadline-Ms: 15000\r\nCookie: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
            "c".repeat(COOKIE)
        );
        let Ok(mut stream) = connect_from(&from, site.nodes[0].callers) else { continue };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
        if stream.write_all(head.as_bytes()).is_ok() {
            open.push(stream);
        }
        std::thread::sleep(PACE);
    }
    let mut chunk = format!("{CHUNK:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + CHUNK, b'x');
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..CHUNKS {
        open.retain_mut(|stream| stream.write_all(&chunk).is_ok());
        std::thread::sleep(Duration::from_millis(50));
    }
    let count = open.len();
    site.record.line(format!("{count} bodies of sender {sender} wait for their last chunk"));
    site.sleep_until(END_AT);
}
