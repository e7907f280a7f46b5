//! Prompts of many parts of a token each, within the limits on heads. It is no case: the pages name no such
//! requester.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::site::{Site, send, stream_request};

/// The parts of each prompt. A head may have 16,384 bytes.
const PARTS: u64 = 1_300;

/// The engines of vilnas-ops.
const ENGINES: u8 = 18;

const END_AT: f64 = 100.0;

pub fn run(has_trouble: bool) -> ! {
    let mut site = Site::new();
    for number in 0..ENGINES {
        site.add_engine(&format!("draft-{number}"), "riga-a", &["m0", "m1", "m2"], None);
    }
    for number in 1..=2 {
        site.add_node(&format!("front-{number}"), "riga-a", site.front.address);
    }
    site.wait_until_ready(&[0, 1]);
    let next = AtomicU64::new(0x1_0000);
    std::thread::scope(|scope| {
        let (site, next) = (&site, &next);
        for requester in 1..=20_u8 {
            scope.spawn(move || {
                for number in 0.. {
                    if site.record.now() > END_AT {
                        return;
                    }
                    let first = next.fetch_add(PARTS, Ordering::Relaxed);
                    let parts: Vec<String> =
                        (first..first + PARTS).map(|part| format!("{part:x}:1")).collect();
                    let parts =
                        if has_trouble { parts.join(",") } else { format!("{first:x}:{PARTS}") };
                    let id = format!("reply-{requester}-{number}");
                    let request =
                        stream_request("/replies/r", &id, "m0", (1_300, 5), &parts, 15_000);
                    let node = &site.nodes[usize::from(requester) % 2];
                    send(&site.record, node, &site.ip(200, requester), &id, &request, 15);
                    std::thread::sleep(Duration::from_millis(300));
                }
            });
        }
    });
    for node in &site.nodes {
        let memory = node.memory_mb("VmHWM");
        site.record.line(format!("{}: at most {memory} MB of 260", node.cfg.name));
    }
    site.end(0)
}
