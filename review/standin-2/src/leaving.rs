//! A call of a leaving server to the store, which was not answered, is carried out seconds later.

use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::record::Step;
use crate::site::{Answer, Site, send, stream_request};

/// `drainTimeoutMs` of the small sites.
const DRAIN_S: f64 = 2.5;

/// The time after which the store carries out the call: up to 6 s by the pages.
const LATE_S: f64 = 5.8;

/// When the server begins to leave, when its entry is removed, when it exits, and the end, in seconds.
const LEAVES_AT: f64 = 7.0;
const REMOVED_AT: f64 = 10.0;
const EXITS_AT: f64 = 17.6;
const END_AT: f64 = 20.0;

pub fn run(has_trouble: bool) -> ! {
    let mut site = Site::new();
    let models = ["m0", "m1", "m2"];
    let leaving = site.add_engine("draft-0", "riga-a", &models, None);
    for number in 1..3 {
        site.add_engine(&format!("draft-{number}"), "riga-a", &models, None);
    }
    // Busy engines: a step takes 4.43 ms and more.
    site.servers.iter().for_each(|engine| engine.token_us.store(8_500, Ordering::Relaxed));
    for number in 1..=3 {
        site.add_node(&format!("front-{number}"), "riga-a", site.front.address);
    }
    site.wait_until_ready(&[0, 1, 2]);
    let answers: Mutex<Vec<(usize, String, Answer)>> = Mutex::default();
    std::thread::scope(|scope| {
        let (site, answers) = (&site, &answers);
        for requester in 1..=36_u8 {
            scope.spawn(move || {
                let from = site.ip(200, requester);
                let node = usize::from(requester) % 3;
                site.sleep_until(4.0 + 0.06 * f64::from(requester));
                for number in 0.. {
                    if site.record.now() > END_AT {
                        return;
                    }
                    let id = format!("listing-{requester}-{number}");
                    let parts = format!("a1:6300,{requester:x}f{number:x}:2890");
                    let request =
                        stream_request("/listings/l", &id, "m0", (9190, 205), &parts, 12_000);
                    let answer = send(&site.record, &site.nodes[node], &from, &id, &request, 12);
                    answers.lock().expect("no panic").push((node, id, answer));
                    std::thread::sleep(Duration::from_millis(100));
                }
            });
        }
        scope.spawn(move || {
            site.sleep_until(LEAVES_AT);
            leaving.leave();
            site.sleep_until(REMOVED_AT);
            let (key, entry) = leaving.remove_entry();
            if has_trouble {
                site.sleep_until(REMOVED_AT + LATE_S);
                site.record.line(format!("the store carries out a late write of {key}: {entry}"));
                site.store.write(&key, &entry);
            }
            site.sleep_until(EXITS_AT);
            leaving.exit();
            if has_trouble {
                // Three heartbeats of silence after the late write.
                site.sleep_until(REMOVED_AT + LATE_S + 3.6);
                site.store.remove(&key);
            }
        });
    });
    let answers = answers.into_inner().expect("no panic");
    let runs = site.record.runs();
    let at_leaving = |id: &str| {
        runs.iter().find(|run| run.id == id && run.server == "draft-0" && run.step == Step::Arrived)
    };
    let mut told_at = [f64::INFINITY; 3];
    for (node, id, answer) in &answers {
        if answer.is_served() && at_leaving(id).is_some_and(|run| run.at > LEAVES_AT) {
            told_at[*node] = told_at[*node].min(answer.ended_at);
        }
    }
    let late = answers.iter().filter(|(node, id, answer)| {
        answer.sent_at > told_at[*node] + DRAIN_S && at_leaving(id).is_some()
    });
    let late: Vec<&String> = late.map(|(_, id, _)| id).collect();
    let lost = answers.iter().filter(|(_, id, answer)| {
        !answer.is_served() && runs.iter().any(|run| run.id == *id && run.server == "draft-0")
    });
    site.record.line(format!(
        "nodes passed on an answer with Server-Leaving first at {told_at:.3?}; {} requests sent over {DRAIN_S} s later reached the server, e.g. {:?}; {} that reached it got no answer",
        late.len(),
        late.first(),
        lost.count()
    ));
    let is_broken = !late.is_empty();
    site.record.line(format!("rule {}", if is_broken { "broken" } else { "held" }));
    site.end(i32::from(is_broken))
}
