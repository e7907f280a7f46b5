//! The machines of a zone are stopped and started in turn.

use std::time::Duration;

use crate::node::SIGTERM;
use crate::site::{Site, stream_request};

const END_AT: f64 = 50.0;

pub fn run(has_trouble: bool) -> ! {
    let mut site = Site::new();
    for number in 0..2 {
        site.add_engine(&format!("draft-{number}"), "riga-b", &["m0", "m1", "m2"], None);
    }
    for name in ["front-a1", "front-a2"] {
        site.add_node(name, "riga-a", site.front.address);
    }
    for name in ["front-b1", "front-b2"] {
        site.add_node(name, "riga-b", site.front.address);
    }
    site.wait_until_ready(&[0, 1, 2, 3]);
    site.sleep_until(4.0);
    let leader = site.leader("riga-a").unwrap_or_else(|| site.give_up("no leader"));
    let follower = 1 - site.index(&leader);
    let mut number = 0;
    let mut send = |site: &Site, node: usize, count: usize| {
        let mut served = 0;
        for _ in 0..count {
            number += 1;
            let id = format!("reply-{number}");
            let target = format!("m{}/a{}", number / 16 % 3, number % 16 + 1);
            let parts = format!("a1:198,{number:x}:628");
            let request = stream_request("/replies/r", &id, &target, (826, 10), &parts, 15_000);
            let answer = site.send(node, &site.ip(200, 1), &id, &request, 5);
            served += u32::from(answer.is_served());
            std::thread::sleep(Duration::from_millis(200));
        }
        site.record
            .line(format!("{served} of {count} served through {}", site.nodes[node].cfg.name));
    };
    send(&site, follower, 8);
    for _ in (0..2).filter(|_| has_trouble) {
        let leader = site.leader("riga-b").unwrap_or_else(|| site.give_up("no leader"));
        let node = site.index(&leader);
        site.record.line(format!("SIGTERM to {leader}"));
        site.nodes[node].signal(SIGTERM);
        send(&site, follower, 4);
        site.nodes[node].wait(Duration::from_secs(8));
        site.nodes[node].cfg.bootstrap = false;
        site.nodes[node].start();
        site.record.line(format!("{leader} starts again"));
        std::thread::sleep(Duration::from_secs(4));
        send(&site, follower, 4);
    }
    while site.record.now() < END_AT {
        send(&site, follower, 8);
        send(&site, 1 - follower, 4);
    }
    site.end(0)
}
