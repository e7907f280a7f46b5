//! The store turns the leader of a zone away; another machine takes over and gives orders. Then the
//! store comes back from a copy that is some seconds old.
//!
//! Judged: the rule ONE, over the orders that reached each engine. No lower fence number after a
//! higher one, and no orders of two holders within `leaseDurationMs`.

use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::node::{Node, wait_until};
use crate::record::Record;
use crate::server::{Order, Server, Spec};
use crate::store::Store;
use crate::{Run, Verdict, config};

const ZONE: &str = "south-a";
const LEASE_DURATION: Duration = Duration::from_millis(3_000);
const MACHINES: [&str; 3] = ["vm-1", "vm-2", "vm-3"];

/// The longest time for which the store turns machines away in the users' site file. The copy is not
/// older than that either.
const LONGEST: Duration = Duration::from_secs(9);

/// The adapters that callers ask for in turn: more than a server has places for.
const ADAPTERS: u64 = 16;

pub fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op/config", &config(7));
    let spec = |id| Spec {
        id,
        service: "helmi",
        zone: ZONE,
        slots: 64,
        work: Duration::from_millis(20),
        models: &["m0"],
    };
    let engines = [
        Server::start(record, &store, spec("i-01"))?,
        Server::start(record, &store, spec("i-02"))?,
    ];
    let mut nodes = Vec::new();
    for machine in MACHINES {
        let address = store.listen_for(machine)?;
        nodes.push(Node::start(&run.place, machine, ZONE, &[ZONE], address)?);
    }
    if !wait_until(Duration::from_secs(20), || nodes.iter().all(Node::is_ready)) {
        return Err("the nodes did not become ready".into());
    }
    let stopping = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = nodes
        .iter()
        .map(|node| {
            let (stopping, numbers) = (stopping.clone(), numbers.clone());
            let (record, name, address) = (record.clone(), node.name.clone(), node.callers);
            thread::spawn(move || {
                while !stopping.load(Ordering::Relaxed) {
                    let number = numbers.fetch_add(1, Ordering::Relaxed);
                    ask(&record, &name, address, number);
                    thread::sleep(Duration::from_millis(120));
                }
            })
        })
        .collect();
    let result = disturb(run, &store, &engines);
    stopping.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for node in &nodes {
        node.record_log(record, &["duty", "store went back"]);
    }
    result?;
    Ok(judge(record, &engines))
}

/// Sends one request for an adapter.
fn ask(record: &Record, name: &str, address: std::net::SocketAddr, number: u64) {
    let id = format!("hint-{number}");
    let headers = [
        ("Host", "site.example".to_owned()),
        ("X-Attempt-Id", id.clone()),
        ("X-Deadline-Ms", "15000".to_owned()),
        ("X-Model", format!("m0/a{}", number * 7 % ADAPTERS + 1)),
        ("X-Token-Counts", "628,20".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:119,91bd3f06:79,{number:x}:430")),
    ];
    let answer = Connection::open(address, Duration::from_secs(5)).and_then(|mut connection| {
        connection.send("POST", &format!("/hint/{id}"), &headers, b"prompt")
    });
    let text = match answer {
        Ok(answer) => answer.status.to_string(),
        Err(err) => err.to_string(),
    };
    record.line(&format!("caller at {name}: {id} -> {text}"));
}

fn leader(store: &Store) -> Option<&'static str> {
    let value = store.value(&format!("savoryport/duty/{ZONE}"))?;
    MACHINES.into_iter().find(|machine| value.contains(&format!("\"{machine}\"")))
}

fn disturb(run: &Run, store: &Store, engines: &[Server]) -> Result<(), Box<dyn Error>> {
    let record = &run.record;
    let has_ordered = |holder: &str| {
        engines.iter().all(|engine| engine.orders().iter().any(|order| order.holder == holder))
    };
    let mut first = None;
    let timeout = Duration::from_secs(20);
    let until = Instant::now() + timeout;
    while first.is_none() && Instant::now() < until {
        first = leader(store).filter(|holder| has_ordered(holder));
        thread::sleep(Duration::from_millis(20));
    }
    let first = first.ok_or("no machine gave orders")?;
    record.say(&format!("{first} leads the zone"));
    thread::sleep(Duration::from_secs(5));
    if !run.trouble {
        thread::sleep(Duration::from_secs(14));
        return Ok(());
    }
    store.turn_away(first, true);
    let turned_away_at = Instant::now();
    // In the copy, the lease of the first leader has a second left at least.
    thread::sleep(Duration::from_millis(300));
    let copy = store.copy();
    let has_successor = || leader(store).is_some_and(|holder| holder != first);
    if !wait_until(timeout, has_successor) {
        return Err("no machine took over".into());
    }
    let second = leader(store).ok_or("no machine took over")?;
    let has_begun =
        || engines.iter().any(|engine| engine.orders().iter().any(|order| order.holder == second));
    if !wait_until(timeout, has_begun) {
        return Err("the new leader gave no orders".into());
    }
    // The copy must not be much older by then.
    wait_until(Duration::from_secs(2), || has_ordered(second));
    record.say(&format!("{second} has taken over and given orders"));
    store.go_away();
    thread::sleep(Duration::from_secs(1));
    store.come_back_from(&copy);
    record.say(&format!(
        "the store is back from a copy that is {:.1} s old",
        copy.taken_at.elapsed().as_secs_f64()
    ));
    store.turn_away(first, false);
    let turned_away_for = turned_away_at.elapsed();
    record.say(&format!("{first} was turned away for {:.1} s", turned_away_for.as_secs_f64()));
    if turned_away_for > LONGEST {
        return Err("the new leader gave its first order too late".into());
    }
    // What the operator wrote since is written again; the servers write with each heartbeat.
    store.put("op/config", &config(7));
    thread::sleep(Duration::from_secs(6));
    Ok(())
}

fn judge(record: &Record, engines: &[Server]) -> Verdict {
    let (mut lower, mut turns) = (0, 0);
    for engine in engines {
        let orders = engine.orders();
        let mut highest: Option<&Order> = None;
        for (index, order) in orders.iter().enumerate() {
            if let Some(highest) = highest.filter(|highest| order.fence < highest.fence) {
                lower += 1;
                if lower == 1 {
                    record.say(&format!(
                        "{}: fence {} of {} comes {:.1} s after fence {} of {}",
                        engine.spec.id,
                        order.fence,
                        order.holder,
                        (order.at - highest.at).as_secs_f64(),
                        highest.fence,
                        highest.holder
                    ));
                }
            }
            if highest.is_none_or(|highest| order.fence >= highest.fence) {
                highest = Some(order);
            }
            let other = orders[..index].iter().rev().find(|other| other.holder != order.holder);
            if let Some(other) = other.filter(|other| order.at - other.at < LEASE_DURATION) {
                turns += 1;
                if turns == 1 {
                    record.say(&format!(
                        "{}: an order of {} comes {:.1} s after one of {}",
                        engine.spec.id,
                        order.holder,
                        (order.at - other.at).as_secs_f64(),
                        other.holder
                    ));
                }
            }
        }
        record.line(&format!(
            "{}: {} orders, the last {:?}",
            engine.spec.id,
            orders.len(),
            orders.last()
        ));
    }
    let text = format!(
        "ONE: {lower} orders with a lower fence number, {turns} within leaseDurationMs of another holder's"
    );
    if lower + turns > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
