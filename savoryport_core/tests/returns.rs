//! Replays the returns of refused callers during and after a flood.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::Name;
use savoryport_core::node::admission::{
    AdmissionDecision, AdmissionInput, RefusedRequest, ReturnSchedule, decide_admission,
};

const NODES: usize = 6;
/// Requests a second that the servers take, a third of which is dark.
const CAPACITY: f64 = 120.0 * 2.0 / 3.0;
const FLOOD_S: u64 = 6;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a replay served: requests in each second, and the shares of callers that return as told and of
/// those that return at once.
struct Served {
    by_second: Vec<f64>,
    as_told: f64,
    at_once: f64,
}

/// Replays a flood of twice the capacity. Callers pick a node at random for each try, and leave after
/// 8 s; `ignoring` is the share of those that return at once.
fn replay(ignoring: f64, seed: u64) -> Served {
    let (start, mut rng) = (Instant::now(), SmallRng::seed_from_u64(seed));
    let mut nodes = vec![ReturnSchedule::default(); NODES];
    let kind = Name::from("m");
    let mut by_second = vec![0.0; 16];
    let (mut free_at_ms, mut served, mut all) = (0.0_f64, [0.0; 2], [0.0; 2]);
    let mut tries: Vec<Vec<(u64, u64, bool)>> = vec![Vec::new(); 20_000];
    for number in 0..FLOOD_S * 240 {
        let (at, ignores) = (number * 1_000 / 240, rng.random::<f64>() < ignoring);
        all[usize::from(ignores)] += 1.0;
        tries[at as usize].push((number, at, ignores));
    }
    for at in 0..16_000_u64 {
        for (number, arrived, ignores) in std::mem::take(&mut tries[at as usize]) {
            let (now, node) = (start + ms(at), &mut nodes[rng.random_range(0..NODES)]);
            let queue = (free_at_ms - at as f64).max(0.0);
            let input = AdmissionInput {
                is_over_share: false,
                rank: 0,
                expected_latency: ms(queue as u64 + 100),
                elapsed: Duration::ZERO,
                queue_time: Duration::ZERO,
                target_latency: ms(1_000),
                time_left: ms(8_000 + arrived - at),
            };
            let wait = match node.time_until_turn(&kind, 0, number, now) {
                Some(wait) => wait,
                None => match decide_admission(&input, 0.0) {
                    AdmissionDecision::Admit { .. } => {
                        node.record_admission(&kind, 0, number, now);
                        free_at_ms = free_at_ms.max(at as f64) + 1_000.0 / CAPACITY;
                        by_second[(at / 1_000) as usize] += 1.0;
                        served[usize::from(ignores)] += 1.0;
                        continue;
                    }
                    AdmissionDecision::Refuse { retry_after: room_in } => {
                        let refused =
                            RefusedRequest { request: number, room_in, time_left: input.time_left };
                        node.book(&kind, 0, &refused, rng.random(), now)
                    }
                },
            };
            let next = at + if ignores { 50 } else { wait.as_millis() as u64 };
            if next < arrived + 8_000 {
                tries[next as usize].push((number, arrived, ignores));
            }
        }
    }
    let share = |index: usize| served[index] / f64::max(all[index], 1.0);
    Served { by_second, as_told: share(0), at_once: share(1) }
}

/// Guards against capacity that idles in a flood and after it, because refused callers return
/// together or too late, and against callers that gain by returning at once at the cost of others.
#[test]
fn a_flood_of_twice_the_capacity_keeps_the_servers_in_use() {
    for seed in 1..=5 {
        let (mixed, orderly) = (replay(0.3, seed), replay(0.0, seed));
        for served in [&mixed, &orderly] {
            let least = served.by_second[1..10].iter().copied().fold(f64::MAX, f64::min);
            assert!(least >= 0.75 * CAPACITY, "seed {seed}: {:?}", served.by_second);
        }
        assert!(mixed.as_told >= orderly.as_told - 0.04, "{} {}", mixed.as_told, orderly.as_told);
        assert!(mixed.at_once <= mixed.as_told + 0.08, "{} {}", mixed.at_once, mixed.as_told);
    }
}

/// Guards against returns that come together, or out of the order of first arrival.
#[test]
fn refused_callers_return_in_order_at_the_pace_of_the_admissions() {
    let (mut schedule, start, kind) = (ReturnSchedule::default(), Instant::now(), Name::from("m"));
    for number in 0..200 {
        schedule.record_admission(&kind, 1, number, start + ms(number * 50));
    }
    let now = start + ms(10_000);
    let mut times = Vec::new();
    for number in 1_000..1_100 {
        let refused = RefusedRequest { request: number, room_in: ms(400), time_left: ms(20_000) };
        times.push(schedule.book(&kind, 0, &refused, 0.0, now));
    }
    assert!(times.is_sorted());
    let within = |from, to| times.iter().filter(|at| (ms(from)..ms(to)).contains(at)).count();
    assert_eq!(within(0, 400), 0);
    assert!((18..=22).contains(&within(1_000, 2_000)), "{times:?}");
    // An early return keeps its turn and takes no other; the first of all may come.
    assert_eq!(schedule.time_until_turn(&kind, 0, 1_000, now + ms(50)), None);
    let early = schedule.time_until_turn(&kind, 0, 1_050, now + ms(500));
    assert!(early.is_some_and(|wait| wait > times[50] - ms(500)), "{early:?}");
    assert_eq!(schedule.time_until_turn(&kind, 0, 1_050, now + ms(20_000)), None);
}
