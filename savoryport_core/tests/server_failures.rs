//! Tests the choice of a server while servers fail part of their requests.

mod node_support;

use std::time::{Duration, Instant};

use node_support::server;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::node::health::{HealthTracker, ServerOutcome};
use savoryport_core::node::load::LoadTracker;
use savoryport_core::node::prefix::PrefixCacheIndex;
use savoryport_core::node::registry::BackendServer;
use savoryport_core::node::request::PrefixKeys;
use savoryport_core::node::selection::{
    Candidate, Distance, SelectionContext, SelectionCosts, SelectionRequest, SpeedEstimates,
    choose_server,
};

/// Replays 2,400 requests of a service whose last two of twelve servers take 100 ms instead of some
/// 20 ms; `failure_rate` is that of the server with this number. Returns the requests of each server.
fn replay(failure_rate: fn(usize) -> f64, compares: bool, seed: u64) -> Vec<u32> {
    let servers: Vec<BackendServer> =
        (0..12).map(|number| server(&format!("s{number:02}"), "east", &[])).collect();
    let (mut health, mut speeds) = (HealthTracker::default(), SpeedEstimates::default());
    for slow in &servers[10..] {
        for _ in 0..60 {
            speeds.record_service_time(&slow.id, &"drafts".into(), Duration::from_millis(100));
            let usual = Duration::from_millis(20);
            (0..11).for_each(|_| speeds.record_service_time(&"x".into(), &"drafts".into(), usual));
        }
    }
    let (mut rng, start) = (SmallRng::seed_from_u64(seed), Instant::now());
    let (loads, prefixes) = (LoadTracker::default(), PrefixCacheIndex::default());
    let mut requests = vec![0; servers.len()];
    for step in 0..2_400_u64 {
        let now = start + Duration::from_millis(step * 25);
        if compares && step % 200 == 0 {
            let known = servers.iter().map(|server| (server.id.clone(), server.service.clone()));
            health.set_services(known.collect(), now);
        }
        let costs = SelectionCosts::default();
        let cx = SelectionContext {
            loads: &loads,
            prefixes: &prefixes,
            health: &health,
            speeds: &speeds,
            costs,
            now,
        };
        let keys = PrefixKeys::default();
        let request = SelectionRequest {
            generation: None,
            keys: &keys,
            service: "drafts",
            rank: 0,
            copy_ms_per_token: None,
            cache_tokens: None,
        };
        // The server with the open connection varies, as it does among the callers' requests.
        let connected = rng.random_range(0..servers.len());
        let candidates = servers.iter().enumerate().map(|(number, server)| Candidate {
            server,
            distance: Distance::SameDomain,
            adapter_orders: 0,
            is_connected: number == connected,
        });
        let choice = choose_server(candidates, &request, &cx).expect("there are servers");
        let number = servers.iter().position(|server| server.id == choice.candidate.server.id);
        let number = number.expect("a known server");
        let fails = rng.random::<f64>() < failure_rate(number);
        let outcome = if fails { ServerOutcome::Failed } else { ServerOutcome::Answered };
        health.record_outcome(&servers[number].id, outcome, now);
        requests[number] += 1;
    }
    requests
}

/// Guards against requests that go to slow servers because all others fail part of their requests,
/// although the slow ones fail as often.
#[test]
fn servers_that_all_fail_keep_their_requests_instead_of_slow_ones() {
    let at_slow_servers = |compares| -> u32 {
        let replays = (1..=8).map(|seed| replay(|_| 0.3, compares, seed));
        replays.map(|requests| requests[10..].iter().sum::<u32>()).sum()
    };
    let (absolute, relative) = (at_slow_servers(false), at_slow_servers(true));
    assert!(relative * 4 < absolute, "{relative} instead of {absolute} of 19,200 requests");
}

/// Guards against servers that fail getting requests where others do not.
#[test]
fn servers_that_fail_more_than_others_get_few_requests() {
    let rate = |number: usize| if number < 3 { 0.5 } else { 0.0 };
    let (absolute, relative) = (replay(rate, false, 7), replay(rate, true, 7));
    assert_eq!(relative, absolute, "where some do not fail, nothing changes");
    let rate = |number: usize| if number < 3 { 0.8 } else { 0.2 };
    let relative = replay(rate, true, 7);
    assert!(relative[..3].iter().sum::<u32>() < 60, "{relative:?}");
}
