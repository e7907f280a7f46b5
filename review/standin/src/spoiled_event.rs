//! A server spoils one byte of an event in some of its streams.
//!
//! Judged: the rule ORDER, over the streams that callers received as complete. Each piece comes
//! once, whatever its data.

use std::error::Error;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::node::{Node, wait_until};
use crate::server::{EVENTS, Fault, Server, Spec};
use crate::store::Store;
use crate::{Run, Verdict, config};

const CALLERS: u64 = 8;

/// The number of streams that are asked for.
const STREAMS: u64 = 800;

/// One of so many answers of the faulty server is spoiled: the 0.02 of the users' pages.
const ONE_IN: usize = 50;

/// The event with a wrong byte: the second of three that the server writes at once.
const SPOILED_EVENT: u64 = 5;

/// The id of a request, and the ids of its events if the stream is a success and complete.
type Received = (String, Option<Vec<u64>>);

pub fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op/config", &config(7));
    let spec = |id| Spec {
        id,
        service: "helmi",
        zone: "south-a",
        slots: 64,
        work: Duration::from_millis(30),
        models: &["m0"],
    };
    let faulty = Server::start(record, &store, spec("i-01"))?;
    let _sound = [
        Server::start(record, &store, spec("i-02"))?,
        Server::start(record, &store, spec("i-03"))?,
    ];
    let address = store.listen_for("vm-1")?;
    let node = Node::start(&run.place, "vm-1", "south-a", &["south-a"], address)?;
    if !wait_until(Duration::from_secs(20), || node.is_ready()) {
        return Err("the node did not become ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    if run.trouble {
        faulty.set_fault(Fault::SpoilsEvent(SPOILED_EVENT), ONE_IN);
    }
    let number = AtomicU64::new(0);
    let received: Arc<Mutex<Vec<Received>>> = Arc::default();
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                loop {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    if number >= STREAMS {
                        return;
                    }
                    let id = format!("hint-{number}");
                    let events = ask(&node, &id, number);
                    record.line(&format!("caller: {id} -> {events:?}"));
                    received.lock().expect("no thread panics").push((id, events));
                }
            });
        }
    });
    node.record_log(record, &["goes on elsewhere", "broken-off", "panicked"]);
    let received = received.lock().expect("no thread panics").clone();
    let complete = received.iter().filter_map(|(id, events)| Some((id, events.as_ref()?)));
    let whole: Vec<u64> = (1..=EVENTS).collect();
    let wrong: Vec<_> = complete.clone().filter(|(_, events)| **events != whole).collect();
    record.say(&format!(
        "{} of {STREAMS} streams were received as complete; {} answers were spoiled",
        complete.count(),
        faulty.faulty_answers().len()
    ));
    for (id, events) in &wrong {
        record.say(&format!("{id} was complete with the pieces {events:?}"));
    }
    let text = format!("ORDER {}", wrong.len());
    if wrong.is_empty() { Ok(Verdict::Held(text)) } else { Ok(Verdict::Broken(text)) }
}

/// Asks for a stream; returns the ids of its events if it is a success and complete.
fn ask(node: &Node, id: &str, number: u64) -> Option<Vec<u64>> {
    let headers = [
        ("Host", "site.example".to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", "15000".to_owned()),
        ("X-Model", "m0".to_owned()),
        ("X-Token-Counts", "628,60".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:119,91bd3f06:79,{number:x}:430")),
    ];
    let mut connection = Connection::open(node.callers, Duration::from_secs(5)).ok()?;
    let answer = connection.send("POST", &format!("/hint/{id}"), &headers, b"prompt").ok()?;
    if answer.status != 200 {
        return None;
    }
    let lines = answer.body.split(|byte| *byte == b'\n');
    let ids = lines
        .filter_map(|line| std::str::from_utf8(line.strip_prefix(b"id: ")?).ok()?.parse().ok());
    Some(ids.collect())
}
