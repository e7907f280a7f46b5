//! Sound servers that send nothing for a second or so and go on, tested with real node processes behind
//! proxies.

mod node_site;

use std::time::Duration;

use node_site::{NodeSite, RequestKind, expected_stream};
use savoryport_standin::proxy::Faults;

/// The number of requests of each kind that are sent around a silence.
const REQUESTS: usize = 12;

fn arrivals(site: &NodeSite) -> usize {
    site.servers.iter().map(|server| server.arrivals().len()).sum()
}

/// Sends requests of all kinds at the same time, each after the one before by some milliseconds; returns
/// the ids of those that were not served.
fn send_around(site: &NodeSite, name: &str) -> Vec<String> {
    let kinds = [RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Stream("m0")];
    std::thread::scope(|scope| {
        let senders: Vec<_> = (0..REQUESTS * kinds.len())
            .map(|number| {
                let (id, kind) = (format!("{name}-{number}"), kinds[number % kinds.len()]);
                std::thread::sleep(Duration::from_millis(5));
                scope.spawn(move || {
                    let response = site.send(0, &id, kind);
                    let expected = match kind {
                        RequestKind::Stream(_) => expected_stream(&id),
                        _ => format!("answer to {id}"),
                    };
                    if matches!(kind, RequestKind::NonIdempotent) {
                        assert!(site.runs_of(&id) <= 1, "{id} ran twice");
                    }
                    (response.body != Some(expected)).then_some(id)
                })
            })
            .collect();
        let results = senders.into_iter().map(|sender| sender.join().expect("the caller ends"));
        results.flatten().collect()
    })
}

/// Guards against a silence that is taken for the end of a server: nothing is lost, nothing runs twice,
/// and no flood goes to the others.
#[test]
fn a_server_that_is_silent_for_a_second_and_goes_on_loses_nothing() {
    let site = NodeSite::start_with_server_links(&["east-a"]);
    for (number, ms) in [1_000, 1_200, 1_500].into_iter().enumerate() {
        for keeps_connections in [true, false] {
            if !keeps_connections {
                site.nodes[0].server_links.close_connections();
                std::thread::sleep(Duration::from_millis(300));
            }
            let links = &site.nodes[0].server_links;
            let silent = ["plain-0", "engine-0"].map(|id| site.server(id).address().to_owned());
            let set = |pause: bool| {
                let faults = Faults { pause, ..Faults::default() };
                silent.iter().for_each(|server| links.set_faults_to(server, faults));
            };
            let before = arrivals(&site);
            let name = format!("silent-{number}-{keeps_connections}");
            let lost = std::thread::scope(|scope| {
                let sending = scope.spawn(|| send_around(&site, &name));
                std::thread::sleep(Duration::from_millis(30));
                set(true);
                std::thread::sleep(Duration::from_millis(ms));
                set(false);
                sending.join().expect("the callers end")
            });
            assert_eq!(lost, [] as [&str; 0], "{ms} ms");
            let arrived = arrivals(&site) - before;
            let sent = REQUESTS * 3;
            assert!(arrived <= sent * 3 / 2, "{arrived} arrivals of {sent} requests, {ms} ms");
        }
    }
}
