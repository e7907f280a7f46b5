//! A request crashes each server that runs it, and comes again and again. Twice, all processes of the
//! system are killed and started again.
//!
//! Judged: the rule BUDGET. Of the retries that machines in touch send later than `contactTimeoutMs`
//! after the third crash, no more than three reach servers.

use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::node::{Node, wait_until};
use crate::server::{DEADLY_PATH, Fault, Server, Spec};
use crate::store::Store;
use crate::{Run, Verdict, config};

const ZONE: &str = "south-a";

/// `contactTimeoutMs` and a margin: for so long after a start, a machine is not in touch.
const OUT_OF_TOUCH: Duration = Duration::from_millis(4_600);

/// The time between two attempts of the caller.
const REPEAT: Duration = Duration::from_millis(500);

/// How long the request comes after each start.
const SPELL: Duration = Duration::from_secs(16);

/// The most retries that the rule excuses.
const EXCUSED: usize = 3;

pub fn play(run: &Run) -> Result<Verdict, Box<dyn Error>> {
    let record = &run.record;
    let store = Store::start(record);
    store.put("op/config", &config(7));
    let spec = |id| Spec {
        id,
        service: "tilaus",
        zone: ZONE,
        slots: 6,
        work: Duration::from_millis(60),
        models: &[],
    };
    let servers = ["i-01", "i-02", "i-03"].map(|id| Server::start(record, &store, spec(id)));
    let servers: Vec<Server> = servers.into_iter().collect::<Result<_, _>>()?;
    for server in &servers {
        server.set_fault(Fault::CrashesOn(DEADLY_PATH), 1);
    }
    let mut nodes = Vec::new();
    for machine in ["vm-1", "vm-2", "vm-3"] {
        let address = store.listen_for(machine)?;
        nodes.push(Node::start(&run.place, machine, ZONE, &[ZONE], address)?);
    }
    if !wait_until(Duration::from_secs(20), || nodes.iter().all(Node::is_ready)) {
        return Err("the nodes did not become ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let (stopping, failed_orders) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let callers = order_steadily(&nodes, record, &stopping, &failed_orders);

    let crashes = || {
        let mut crashes: Vec<_> = servers.iter().flat_map(Server::crashes).collect();
        crashes.sort_by_key(|crash| crash.at);
        crashes
    };
    let mut number = 0;
    let until = Instant::now() + Duration::from_secs(25);
    while crashes().len() < 3 && Instant::now() < until {
        repeat(run, &nodes, &mut number);
    }
    let third = crashes().get(2).ok_or("the request crashed fewer than three servers")?.at;
    record.say("the request has crashed three servers");
    while third.elapsed() < OUT_OF_TOUCH {
        repeat(run, &nodes, &mut number);
    }
    for round in 0..2 {
        if run.trouble {
            record.say(&format!("all processes are killed and started again: {}", round + 1));
            for node in &mut nodes {
                node.kill_and_start()?;
            }
            if !wait_until(Duration::from_secs(20), || nodes.iter().all(Node::is_ready)) {
                return Err("the nodes did not become ready again".into());
            }
        }
        // The caller pauses until all machines are in touch again.
        thread::sleep(OUT_OF_TOUCH);
        let spell = Instant::now();
        while spell.elapsed() < SPELL {
            repeat(run, &nodes, &mut number);
        }
        record.say(&format!("crashes so far: {}", crashes().len()));
    }
    stopping.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for node in &nodes {
        node.record_log(record, &["request quarantine", "server crashed before"]);
    }
    let late: Vec<_> =
        crashes().into_iter().filter(|crash| crash.at > third + OUT_OF_TOUCH).collect();
    let lost: Vec<String> = late.iter().flat_map(|crash| crash.lost.clone()).collect();
    record.say(&format!(
        "{} orders were being run by servers that crashed late ({lost:?}); in all, {} orders got no \
         answer of a server",
        lost.len(),
        failed_orders.load(Ordering::Relaxed)
    ));
    let text =
        format!("BUDGET: {} late retries reached servers, {EXCUSED} are excused", late.len());
    if late.len() > EXCUSED { Ok(Verdict::Broken(text)) } else { Ok(Verdict::Held(text)) }
}

/// Sends the request once more, to the next machine.
fn repeat(run: &Run, nodes: &[Node], number: &mut usize) {
    let node = &nodes[*number % nodes.len()];
    let id = format!("deadly-{number}");
    *number += 1;
    let began = Instant::now();
    let answer = send(node.callers, "GET", DEADLY_PATH, &id);
    run.record.line(&format!("caller at {}: {id} -> {answer}", node.name));
    thread::sleep(REPEAT.saturating_sub(began.elapsed()));
}

fn order_steadily(
    nodes: &[Node],
    record: &crate::record::Record,
    stopping: &Arc<AtomicBool>,
    failed: &Arc<AtomicU64>,
) -> Vec<thread::JoinHandle<()>> {
    let numbers = Arc::new(AtomicU64::new(0));
    let caller = |node: &Node| {
        let (stopping, failed, numbers) = (stopping.clone(), failed.clone(), numbers.clone());
        let (record, address) = (record.clone(), node.callers);
        thread::spawn(move || {
            while !stopping.load(Ordering::Relaxed) {
                let id = format!("order-{}", numbers.fetch_add(1, Ordering::Relaxed));
                let answer = send(address, "POST", &format!("/order/{id}"), &id);
                if answer != "200" {
                    failed.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("caller: {id} -> {answer}"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        })
    };
    nodes.iter().map(caller).collect()
}

fn send(address: std::net::SocketAddr, method: &str, target: &str, id: &str) -> String {
    let headers = [
        ("Host", "site.example".to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("X-Deadline-Ms", "4000".to_owned()),
    ];
    let answer = Connection::open(address, Duration::from_secs(5))
        .and_then(|mut connection| connection.send(method, target, &headers, &[]));
    match answer {
        Ok(answer) => answer.status.to_string(),
        Err(err) => err.to_string(),
    }
}
