//! The store turns one machine away while the system starts, and the leader of its zone is stopped
//! meanwhile.

use std::time::Duration;

use crate::node::SIGTERM;
use crate::site::{Site, stream_request};
use crate::store::{BUSY, UP};

/// `leaseDurationMs` of the small sites.
const LEASE_S: f64 = 3.0;

/// When the store serves the machine, when the leader is stopped, and the end, in seconds.
const TURNED_AWAY_UNTIL: f64 = 8.8;
const STOP_AT: f64 = 8.6;
const END_AT: f64 = 20.0;

/// The longest time of `platform_down` with "nodes" in the site file.
const MOST_TURNED_AWAY_S: f64 = 9.0;

pub fn run(has_trouble: bool) -> ! {
    let mut site = Site::new();
    for number in 0..1 {
        site.add_engine(&format!("draft-{number}"), "riga-b", &["m0", "m1", "m2"], None);
    }
    let other = site.store.open(&site.ip(1, 2));
    if has_trouble {
        other.set(BUSY);
        site.record.line("the store turns front-b2 away: 503".to_owned());
    }
    site.add_node("front-b1", "riga-b", site.front.address);
    site.add_node("front-a1", "riga-a", site.front.address);
    site.add_node("front-b2", "riga-b", other.address);
    site.wait_until_ready(&[0]);
    site.sleep_until(5.0);
    let former = site.leader("riga-b").unwrap_or_else(|| site.give_up("riga-b has no leader"));
    site.record.line(format!("riga-b is led by {former}"));
    let former = site.index(&former);
    let successor = if former == 0 { 2 } else { 0 };
    if has_trouble && former != 0 {
        site.give_up("front-b2 leads although it is turned away");
    }
    let served_again = std::thread::scope(|scope| {
        let (site, other) = (&site, &other);
        scope.spawn(move || {
            site.sleep_until(STOP_AT);
            site.record.line(format!("SIGTERM to {}", site.nodes[former].cfg.name));
            site.nodes[former].signal(SIGTERM);
        });
        let switch = scope.spawn(move || {
            site.sleep_until(TURNED_AWAY_UNTIL);
            other.set(UP);
            site.record.line("the store serves all machines".to_owned());
            site.record.now()
        });
        for number in 0.. {
            let now = site.record.now();
            if now > END_AT {
                break;
            }
            let node = if now > STOP_AT { successor } else { former };
            let id = format!("reply-{number}");
            let target = format!("m{}/a{}", number / 16 % 3, number % 16 + 1);
            let parts = format!("a1:198,{number:x}:628");
            let request = stream_request("/replies/r", &id, &target, (826, 10), &parts, 15_000);
            site.send(node, &site.ip(200, 1), &id, &request, 3);
            std::thread::sleep(Duration::from_millis(150));
        }
        switch.join().expect("no panic")
    });
    if served_again > MOST_TURNED_AWAY_S {
        site.give_up("the machine was turned away for longer than the site file has it");
    }
    let orders = site.record.orders();
    let mut is_broken = false;
    for server in ["draft-0"] {
        let mut own = orders.iter().filter(|order| order.server == server);
        let Some(mut last) = own.next() else { continue };
        for order in own {
            if order.holder != last.holder {
                site.record.line(format!(
                    "{server}: order of {} at {:.3}, of {} at {:.3}, {:.3} s later; {LEASE_S} s at least",
                    last.holder, last.at, order.holder, order.at, order.at - last.at
                ));
                is_broken |= order.at - last.at < LEASE_S;
            }
            last = order;
        }
    }
    site.record.line(format!("rule {}", if is_broken { "broken" } else { "held" }));
    site.end(i32::from(is_broken))
}
