//! A server names a very long idle timeout in the `Keep-Alive` header of its answers.
//!
//! Judged: the rule LOST. A node in touch passes requests from kept connections on to sound servers
//! and closes these connections without an answer, more than three times.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::node::{Node, wait_until};
use crate::server::{Server, Spec};
use crate::store::Store;
use crate::{Run, Verdict, config};

/// The callers, each with a kept connection.
const CALLERS: usize = 12;

/// The time without any disruption before the header is sent, longer than `contactTimeoutMs`.
const CALM: Duration = Duration::from_secs(5);

/// The time for which callers go on after that.
const AFTER: Duration = Duration::from_secs(4);

/// The callers that ask for streams of a sound engine.
const STREAM_CALLERS: usize = 6;

/// The most requests that the rule excuses.
const EXCUSED: usize = 3;

/// What became of one request.
#[derive(Debug, Clone)]
struct Outcome {
    sent_at: Instant,
    /// The status, or `None` if the connection was closed without an answer.
    status: Option<u16>,
    /// Whether the connection had carried an answer before.
    is_kept: bool,
}

pub fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op/config", &config(7));
    let spec = |id| Spec {
        id,
        service: "tilaus",
        zone: "south-a",
        slots: 6,
        work: Duration::from_millis(150),
        models: &[],
    };
    let sound = [
        Server::start(record, &store, spec("i-01"))?,
        Server::start(record, &store, spec("i-02"))?,
    ];
    let faulty = Server::start(record, &store, spec("i-03"))?;
    let engine = Spec {
        service: "helmi",
        slots: 64,
        work: Duration::from_millis(250),
        models: &["m0"],
        ..spec("i-11")
    };
    let _engine = Server::start(record, &store, engine)?;
    let mut node =
        Node::start(&run.place, "vm-1", "south-a", &["south-a"], store.listen_for("vm-1")?)?;
    if !wait_until(Duration::from_secs(20), || node.is_ready()) {
        return Err("the node did not become ready".into());
    }
    thread::sleep(Duration::from_secs(1));

    let outcomes: Arc<Mutex<BTreeMap<String, Outcome>>> = Arc::default();
    let stopping = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (outcomes, stopping) = (outcomes.clone(), stopping.clone());
            let (record, address) = (record.clone(), node.callers);
            thread::spawn(move || {
                let mut kept: Option<Connection> = None;
                let mut is_kept = false;
                for number in 0.. {
                    if stopping.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("order-{caller}-{number}");
                    let sent_at = Instant::now();
                    let opened = match kept.take() {
                        Some(connection) => Ok(connection),
                        None => Connection::open(address, Duration::from_secs(5)),
                    };
                    let answer = opened.and_then(|mut connection| {
                        let headers = [
                            ("Host", "site.example".to_owned()),
                            ("X-Attempt-Id", id.clone()),
                            ("X-Deadline-Ms", "4000".to_owned()),
                        ];
                        let target = format!("/order/{id}");
                        let answer = connection.send("POST", &target, &headers, b"{\"pairs\":40}");
                        answer.map(|answer| (answer, connection))
                    });
                    let (status, text) = match &answer {
                        Ok((answer, _)) => (Some(answer.status), format!("{}", answer.status)),
                        Err(err) if is_close(err.kind()) => (None, format!("closed: {err}")),
                        Err(err) => (Some(0), format!("failed: {err}")),
                    };
                    record.line(&format!("caller {caller}: {id}, kept {is_kept} -> {text}"));
                    let outcome = Outcome { sent_at, status, is_kept };
                    outcomes.lock().expect("no thread panics").insert(id, outcome);
                    match answer {
                        Ok((answer, connection)) => {
                            let wait = answer.header("retry-after").and_then(|s| s.parse().ok());
                            thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.0)));
                            is_kept = answer.header("connection") != Some("close");
                            kept = is_kept.then_some(connection);
                        }
                        Err(_) => {
                            is_kept = false;
                            thread::sleep(Duration::from_millis(200));
                        }
                    }
                }
            })
        })
        .collect();

    let stream_callers: Vec<_> = (0..STREAM_CALLERS)
        .map(|caller| {
            let stopping = stopping.clone();
            let (record, address) = (record.clone(), node.callers);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(170) * caller as u32);
                for number in 0.. {
                    if stopping.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("hint-{caller}-{number}");
                    let events = ask_for_stream(address, &id);
                    record.line(&format!("caller: {id} -> {events:?} events"));
                    if events.is_none() {
                        thread::sleep(Duration::from_millis(200));
                    }
                }
            })
        })
        .collect();

    thread::sleep(CALM);
    let troubled_at = Instant::now();
    if run.trouble {
        // The longest time that fits an unsigned 64-bit number of seconds: "never".
        faulty.set_header("Keep-Alive", "timeout=18446744073709551615");
    } else {
        faulty.set_header("Keep-Alive", "timeout=75");
    }
    thread::sleep(AFTER);
    let is_ready = node.is_ready();
    stopping.store(true, Ordering::Relaxed);
    for caller in callers.into_iter().chain(stream_callers) {
        let _ = caller.join();
    }

    let outcomes = outcomes.lock().expect("no thread panics").clone();
    let is_running = node.is_running();
    node.record_log(record, &["panicked", "overflow", "PoisonError"]);
    let ran_soundly =
        |id: &str| sound.iter().any(|server| server.runs().iter().any(|run| run == id));
    let lost: Vec<&String> = outcomes
        .iter()
        .filter(|(id, outcome)| outcome.status.is_none() && outcome.is_kept && ran_soundly(id))
        .map(|(id, _)| id)
        .collect();
    let share = |is_part: &dyn Fn(&Outcome) -> bool| {
        let part: Vec<&Outcome> = outcomes.values().filter(|outcome| is_part(outcome)).collect();
        let answered = part.iter().filter(|outcome| outcome.status == Some(200)).count();
        format!("{answered} of {}", part.len())
    };
    let before = share(&|outcome| outcome.sent_at < troubled_at);
    let later = share(&|outcome| outcome.sent_at > troubled_at + Duration::from_secs(1));
    record.say(&format!(
        "answered before the header: {before}; later than 1 s after it: {later}; \
         process runs: {is_running}; says it is ready: {is_ready}"
    ));
    record.say(&format!(
        "run by sound servers, from kept connections, closed without an answer: {} ({lost:?})",
        lost.len()
    ));
    let text = format!("LOST {}, {EXCUSED} are excused", lost.len());
    if lost.len() > EXCUSED { Ok(Verdict::Broken(text)) } else { Ok(Verdict::Held(text)) }
}

/// Asks for a stream; returns the number of its events if it is a success and complete.
fn ask_for_stream(address: std::net::SocketAddr, id: &str) -> Option<usize> {
    let headers = [
        ("Host", "site.example".to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", "15000".to_owned()),
        ("X-Model", "m0".to_owned()),
        ("X-Token-Counts", "628,60".to_owned()),
        ("X-Prompt-Prefix", "5c1e07a2:119,91bd3f06:79,e4402b7d:430".to_owned()),
    ];
    let mut connection = Connection::open(address, Duration::from_secs(5)).ok()?;
    let answer = connection.send("POST", &format!("/hint/{id}"), &headers, b"prompt").ok()?;
    let events = answer.body.split(|byte| *byte == b'\n').filter(|line| line.starts_with(b"id: "));
    (answer.status == 200).then(|| events.count())
}

fn is_close(kind: ErrorKind) -> bool {
    use ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, InvalidData, UnexpectedEof};
    matches!(kind, BrokenPipe | ConnectionAborted | ConnectionReset | InvalidData | UnexpectedEof)
}
