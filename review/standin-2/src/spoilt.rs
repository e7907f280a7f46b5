//! One wrong byte in the number of the first event of a stream whose server counts from 0.

use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::site::{Answer, Site, send, stream_request};

/// The tokens and the events of each answer.
const TOKENS: u32 = 50;
const EVENTS: usize = 10;

/// When the requesters begin, and the end, in seconds.
const BEGIN_AT: f64 = 4.0;
const END_AT: f64 = 25.0;

pub fn run(has_trouble: bool) -> ! {
    let mut site = Site::new();
    for number in 0..3 {
        site.add_engine(&format!("draft-{number}"), "riga-a", &["m0", "m1", "m2"], None);
    }
    site.servers.iter().for_each(|engine| engine.counts_from_zero.store(true, Ordering::Relaxed));
    if has_trouble {
        site.servers[0].spoils_one_of.store(50, Ordering::Relaxed);
    }
    for number in 1..=2 {
        site.add_node(&format!("front-{number}"), "riga-a", site.front.address);
    }
    site.wait_until_ready(&[0, 1]);
    let answers: Mutex<Vec<(String, Answer)>> = Mutex::default();
    std::thread::scope(|scope| {
        let (site, answers) = (&site, &answers);
        for requester in 1..=12_u8 {
            scope.spawn(move || {
                let from = site.ip(200, requester);
                site.sleep_until(BEGIN_AT);
                for number in 0.. {
                    if site.record.now() > END_AT {
                        return;
                    }
                    let id = format!("reply-{requester}-{number}");
                    let parts = format!("a1:198,{requester:x}f{number:x}:628");
                    let request =
                        stream_request("/replies/r", &id, "m0", (826, TOKENS), &parts, 15_000);
                    let node = &site.nodes[usize::from(requester) % 2];
                    let answer = send(&site.record, node, &from, &id, &request, 15);
                    answers.lock().expect("no panic").push((id, answer));
                    std::thread::sleep(Duration::from_millis(50));
                }
            });
        }
    });
    let answers = answers.into_inner().expect("no panic");
    let mut missing = 0;
    for (id, answer) in answers.iter().filter(|(_, answer)| answer.is_served()) {
        let body = String::from_utf8_lossy(&answer.body);
        let has = |event: &usize| body.contains(&format!("data: piece {event} of {id}\n"));
        let lacking: Vec<usize> = (0..EVENTS).filter(|event| !has(event)).collect();
        if !lacking.is_empty() {
            missing += 1;
            site.record.line(format!("{id} is complete without pieces {lacking:?}: {body:?}"));
        }
    }
    let is_broken = missing > 0;
    site.record
        .line(format!("{missing} of {} streams are complete without a piece", answers.len()));
    site.record.line(format!("rule {}", if is_broken { "broken" } else { "held" }));
    site.end(i32::from(is_broken))
}
