//! One part of a prompt crashes each server that begins to write an answer on it.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::record::Step;
use crate::site::{Site, send, stream_request};

/// The part that crashes servers.
const DEADLY: &str = "dead01";

/// The engines; as in a small site, they all hold the busy models.
const ENGINES: u8 = 6;

/// `contactTimeoutMs` of the small sites.
const CONTACT_S: f64 = 4.0;

/// The requests with the part that may reach servers after that time, by the rule.
const ALLOWED: usize = 3;

/// When the first request with the part is sent, the pause between them, and the end, in seconds.
const FIRST_AT: f64 = 8.0;
const PAUSE: Duration = Duration::from_millis(2_000);
const END_AT: f64 = 50.0;

pub fn run(has_trouble: bool) -> ! {
    let mut site = Site::new();
    for number in 0..ENGINES {
        let models = ["m0", "m1", "m2"];
        site.add_engine(&format!("draft-{number}"), "riga-a", &models, Some(DEADLY));
    }
    for number in 1..=3 {
        site.add_node(&format!("front-{number}"), "riga-a", site.front.address);
    }
    site.wait_until_ready(&[0, 1, 2]);
    site.sleep_until(5.0);
    let (sound, served, cut) = (AtomicU32::new(0), AtomicU32::new(0), AtomicU32::new(0));
    std::thread::scope(|scope| {
        let (site, sound, served, cut) = (&site, &sound, &served, &cut);
        for requester in 1..=6_u8 {
            scope.spawn(move || {
                let from = site.ip(200, requester);
                for number in 0.. {
                    if site.record.now() > END_AT {
                        return;
                    }
                    let id = format!("sound-{requester}-{number}");
                    let subject = number % 4 + 10;
                    let parts = format!("a1:6300,{subject:x}:1000,{requester:x}f{number:x}:1890");
                    let request = stream_request("/pages/s", &id, "m0", (9190, 50), &parts, 5_000);
                    let node = &site.nodes[(number as usize + usize::from(requester)) % 3];
                    let answer = send(&site.record, node, &from, &id, &request, 5);
                    sound.fetch_add(1, Ordering::Relaxed);
                    served.fetch_add(u32::from(answer.is_served()), Ordering::Relaxed);
                    let is_cut = answer.status == 200 && !answer.is_complete;
                    cut.fetch_add(u32::from(is_cut), Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(250));
                }
            });
        }
        scope.spawn(move || {
            site.sleep_until(FIRST_AT);
            for number in 0.. {
                if !has_trouble || site.record.now() > END_AT {
                    return;
                }
                let id = format!("deadly-{number}");
                let parts = format!("a1:6300,{DEADLY}:1000,d{number:x}:1890");
                let request = stream_request("/pages/d", &id, "m0", (9190, 50), &parts, 5_000);
                let from = site.ip(200, (number % 6 + 1) as u8);
                send(&site.record, &site.nodes[number % 3], &from, &id, &request, 5);
                std::thread::sleep(PAUSE);
            }
        });
    });
    let runs = site.record.runs();
    let is_deadly = |id: &str| id.starts_with("deadly-");
    let crashes: Vec<f64> = runs
        .iter()
        .filter(|run| is_deadly(&run.id) && run.step == Step::Began)
        .map(|run| run.at)
        .collect();
    let late = crashes.get(4).map_or(0, |fifth| {
        let reached = runs.iter().filter(|run| is_deadly(&run.id) && run.step == Step::Arrived);
        reached.filter(|run| run.at > fifth + CONTACT_S).count()
    });
    site.record.line(format!(
        "{} crashes, the fifth at {:?}; {late} requests with the part reached servers over {CONTACT_S} s later, {ALLOWED} allowed",
        crashes.len(),
        crashes.get(4)
    ));
    site.record.line(format!(
        "sound requests: {} sent, {} served, {} cut off",
        sound.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
        cut.load(Ordering::Relaxed)
    ));
    let is_broken = late > ALLOWED;
    site.record.line(format!("rule {}", if is_broken { "broken" } else { "held" }));
    site.end(i32::from(is_broken))
}
