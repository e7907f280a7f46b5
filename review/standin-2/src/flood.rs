//! Clients that are not trusted send many chunked bodies at once, in very small chunks, and stop just
//! short of their end.

use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;

use crate::http::{Conn, connect_from};
use crate::site::{Answer, Site, plain_request, send};

/// The number of bodies at once.
const BODIES: usize = 2_200;

/// The addresses that they come from, and the threads that send them.
const ADDRESSES: usize = 44;
const SENDERS: usize = 8;

/// The pause of each sender between two bodies.
const PACE: Duration = Duration::from_millis(8);

/// The ordinary requesters.
const REQUESTERS: u8 = 8;

/// `contactTimeoutMs` of the small sites.
const CONTACT_S: f64 = 4.0;

/// The requesters that have to try, by the rule.
const TRYING: usize = 7;

/// When the bodies are sent, and when the script ends, in seconds.
const FLOOD_AT: f64 = 8.0;
const END_AT: f64 = 30.0;

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
    let answers: Mutex<Vec<(u8, Answer)>> = Mutex::default();
    let checks: Mutex<Vec<(f64, bool)>> = Mutex::default();
    std::thread::scope(|scope| {
        let (site, answers, checks) = (&site, &answers, &checks);
        for requester in 1..=REQUESTERS {
            scope.spawn(move || {
                let from = site.ip(200, requester);
                for number in 0.. {
                    if site.record.now() > END_AT {
                        return;
                    }
                    let id = format!("plain-{requester}-{number}");
                    let request = plain_request("GET", &format!("/stock/{number}"), &id);
                    let answer = send(&site.record, &site.nodes[0], &from, &id, &request, 2);
                    answers.lock().expect("no panic").push((requester, answer));
                    std::thread::sleep(Duration::from_millis(250));
                }
            });
        }
        scope.spawn(move || {
            while site.record.now() < END_AT {
                let is_ready = site.nodes[0].is_ready();
                let at = site.record.now();
                checks.lock().expect("no panic").push((at, is_ready));
                site.record.line(format!("readiness {}", if is_ready { 200 } else { 503 }));
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        site.sleep_until(FLOOD_AT);
        for sender in (0..SENDERS).filter(|_| has_trouble) {
            scope.spawn(move || hold_bodies(site, sender, BODIES / SENDERS));
        }
    });
    let is_alive = site.nodes[0].is_alive();
    let memory = site.nodes[0].memory_mb("VmHWM");
    site.record.line(format!("node alive={is_alive} peak memory {memory} MB of 260"));
    let answers = answers.into_inner().expect("no panic");
    let checks = checks.into_inner().expect("no panic");
    let is_broken = judge(&site, &answers, &checks) || !is_alive || memory > 260;
    site.end(i32::from(is_broken))
}

/// Keeps so many bodies open: one whose connection the node closes, or answers, is begun again.
fn hold_bodies(site: &Site, first: usize, count: usize) {
    let mut next = first;
    let mut begin = || {
        let number = next;
        next += SENDERS;
        let request = format!(
            "POST /replies/{number} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: chunked-{number}\r\n\
             X-Model: m0\r\nX-Token-Counts: 826,290\r\nX-Prompt-Prefix: a1:198,{number:x}:628\r\n\
             X-Deadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n\
             1\r\na\r\n1\r\nb\r\n1\r\nc\r\n"
        );
        let from = site.ip(100, (number % ADDRESSES + 1) as u8);
        let mut stream = connect_from(&from, site.nodes[0].callers).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        Some(Conn::new(stream))
    };
    let mut held: Vec<Option<Conn>> = Vec::new();
    for _ in 0..count {
        held.push(begin());
        std::thread::sleep(PACE);
    }
    let open = held.iter().flatten().filter(|conn| !conn.has_input()).count();
    site.record.line(format!(
        "{open} chunked bodies of {count} are open at sender {first}; their last chunks are not sent"
    ));
    let mut begun_again = 0;
    while site.record.now() < END_AT {
        for place in &mut held {
            if place.as_ref().is_none_or(Conn::has_input) {
                *place = begin();
                begun_again += 1;
                std::thread::sleep(PACE);
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    site.record.line(format!("sender {first} began {begun_again} bodies again"));
}

/// Returns whether the node took no new connection of ordinary requesters for the time of the rule,
/// while so many tried as the rule says and it said that it was ready.
fn judge(site: &Site, answers: &[(u8, Answer)], checks: &[(f64, bool)]) -> bool {
    let mut taken: Vec<f64> = answers
        .iter()
        .filter(|(_, answer)| answer.status != 0)
        .map(|(_, answer)| answer.ended_at)
        .collect();
    taken.push(END_AT);
    taken.sort_by(f64::total_cmp);
    let mut is_broken = false;
    for pair in taken.windows(2) {
        let (from, to) = (pair[0], pair[1]);
        if to - from < CONTACT_S {
            continue;
        }
        let tries =
            answers.iter().filter(|(_, answer)| from < answer.sent_at && answer.sent_at < to);
        let mut requesters: Vec<u8> = tries.clone().map(|(requester, _)| *requester).collect();
        requesters.sort_unstable();
        requesters.dedup();
        let mut within = checks.iter().filter(|(at, _)| from < *at && *at < to);
        let is_ready = within.all(|(_, is_ready)| *is_ready);
        site.record.line(format!(
            "no new connection taken from {from:.3} to {to:.3}: {} tries of {} requesters, ready={is_ready}",
            tries.count(),
            requesters.len()
        ));
        is_broken |= requesters.len() >= TRYING && is_ready;
    }
    let served = answers.iter().filter(|(_, answer)| answer.is_served()).count();
    site.record.line(format!("{served} of {} ordinary requests served", answers.len()));
    site.record.line(format!("rule {}", if is_broken { "broken" } else { "held" }));
    is_broken
}
