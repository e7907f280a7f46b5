//! A server of a plain service sends bytes that are no answer to the request: a second answer to
//! the request before, or a change of protocol that nobody asked for.
//!
//! Judged: the rule MIXED. No caller gets a status that its request's server did not give, with a
//! server's stamp or as bytes that are no answer in the protocol.

use std::error::Error;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Response};
use crate::node::{Node, wait_until};
use crate::server::{Fault, Server, Spec};
use crate::store::Store;
use crate::{Run, Verdict, config};

const CALLERS: u64 = 8;

/// The number of orders that are sent.
const ORDERS: u64 = 2_000;

/// One of so many answers of the faulty server shows the fault: the 0.02 of the users' pages.
const ONE_IN: usize = 50;

pub fn play(run: &Run, fault: Fault) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op/config", &config(7));
    let spec = |id| Spec {
        id,
        service: "tilaus",
        zone: "south-a",
        slots: 6,
        work: Duration::from_millis(60),
        models: &[],
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
        faulty.set_fault(fault, ONE_IN);
    }
    let number = AtomicU64::new(0);
    let received: Arc<Mutex<Vec<(String, Response)>>> = Arc::default();
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                loop {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    if number >= ORDERS {
                        return;
                    }
                    let id = format!("order-{number}");
                    match ask(&node, &id) {
                        Ok(answer) => {
                            let stamp = answer.header("x-server-stamp").unwrap_or("none");
                            let status = answer.status;
                            record.line(&format!("caller: {id} -> {status}, stamp {stamp}"));
                            received.lock().expect("no thread panics").push((id, answer));
                        }
                        Err(err) => record.line(&format!("caller: {id} -> {err}")),
                    }
                }
            });
        }
    });
    node.record_log(record, &["panicked"]);
    let received = received.lock().expect("no thread panics").clone();
    let successes = received.iter().filter(|(_, answer)| answer.status == 200).count();
    record.say(&format!(
        "{successes} of {ORDERS} orders were answered with 200; the server showed the fault {} times",
        faulty.faulty_answers().len()
    ));
    let mut mixed = 0;
    for (id, answer) in &received {
        let stamp = answer.header("x-server-stamp").unwrap_or_default();
        let is_foreign = !stamp.is_empty() && !stamp.ends_with(&format!(".{id}"));
        if is_foreign || answer.status == 101 {
            mixed += 1;
            record.say(&format!("{id} was answered {} with the stamp {stamp:?}", answer.status));
        }
    }
    let text = format!("MIXED {mixed}");
    if mixed > 0 { Ok(Verdict::Broken(text)) } else { Ok(Verdict::Held(text)) }
}

fn ask(node: &Node, id: &str) -> std::io::Result<Response> {
    let headers = [
        ("Host", "site.example".to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", "4000".to_owned()),
    ];
    let mut connection = Connection::open(node.callers, Duration::from_secs(5))?;
    connection.send("POST", &format!("/order/{id}"), &headers, b"{\"pairs\":40}")
}
