//! Replays crashes of servers against the quarantine of requests: one request that crashes each
//! server that runs it, among sound ones that are sent again after each crash.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::Name;
use savoryport_core::node::request_quarantine::{
    RequestIdentity, RequestQuarantine, RequestQuarantineChange, hash_content,
};

/// The request that crashes servers.
const DEADLY: RequestIdentity = RequestIdentity { content: 66, caller: 6 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn server(number: usize) -> Name {
    format!("server-{number}").into()
}

fn sound(number: u64) -> RequestIdentity {
    RequestIdentity { content: 1_000 + number, caller: number }
}

/// Records that the request was at a crash, 40 ms after it was sent to the server.
fn crash(
    node: &mut RequestQuarantine,
    number: usize,
    identity: RequestIdentity,
    at: Instant,
) -> Vec<RequestQuarantineChange> {
    node.record_crash((&server(number), 1), (identity, at - ms(40)), at)
}

/// Lets every node learn what all others know.
fn exchange(nodes: &mut [RequestQuarantine], now: Instant) {
    let reports: Vec<_> = nodes.iter().map(|node| node.reports_since(0, now)).collect();
    for node in nodes {
        for reports in &reports {
            node.merge(reports, now);
        }
    }
}

#[test]
fn request_at_two_crashes_is_refused_by_all_nodes_though_none_has_seen_both() {
    let start = Instant::now();
    let mut nodes = vec![RequestQuarantine::default(); 3];
    crash(&mut nodes[0], 0, DEADLY, start);
    crash(&mut nodes[1], 1, DEADLY, start + ms(500));
    crash(&mut nodes[1], 1, sound(1), start + ms(500));
    let now = start + ms(700);
    assert!(nodes.iter().all(|node| !node.is_blocked(DEADLY, now)), "each has seen one");
    exchange(&mut nodes, now);
    for node in &nodes {
        assert!(node.is_blocked(DEADLY, now) && !node.is_blocked(sound(1), now));
    }
}

#[test]
fn retry_that_crashes_a_second_server_at_once_is_a_proof() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    crash(&mut node, 0, DEADLY, start);
    assert!(!node.is_suspect(DEADLY, "server-0", 1), "its first crash proves nothing");
    node.record_crash((&server(1), 1), (DEADLY, start + ms(5)), start + ms(45));
    assert!(node.is_suspect(DEADLY, "server-1", 1));
    assert!(node.is_blocked(DEADLY, start + ms(45)));
}

#[test]
fn servers_that_fail_together_put_no_request_in_quarantine() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    for number in 0..5 {
        // One caller asks the same of several servers at once.
        let at = start + ms(20) * number as u32;
        node.record_crash((&server(number), 1), (sound(1), start - ms(100)), at);
    }
    assert!(!node.is_blocked(sound(1), start + ms(100)));
}

#[test]
fn sound_request_beside_the_deadly_one_is_not_refused_before_a_third_crash_tells_them_apart() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    for number in 0..2 {
        let at = start + ms(500) * number as u32;
        crash(&mut node, number, DEADLY, at);
        crash(&mut node, number, sound(1), at);
    }
    let now = start + ms(600);
    assert!(!node.is_blocked(DEADLY, now) && !node.is_blocked(sound(1), now));
    crash(&mut node, 2, DEADLY, start + ms(1_000));
    let now = start + ms(1_000);
    assert!(node.is_blocked(DEADLY, now) && !node.is_blocked(sound(1), now));
}

#[test]
fn answer_releases_a_sound_request_and_leaves_the_deadly_one_as_the_explanation() {
    let start = Instant::now();
    let mut nodes = vec![RequestQuarantine::default(); 2];
    for number in 0..2 {
        let at = start + ms(500) * number as u32;
        crash(&mut nodes[0], number, DEADLY, at);
        crash(&mut nodes[0], number, sound(1), at);
    }
    let now = start + ms(700);
    exchange(&mut nodes, now);
    nodes[1].record_answer(sound(1), now);
    exchange(&mut nodes, now);
    for node in &nodes {
        assert!(node.is_blocked(DEADLY, now) && !node.is_blocked(sound(1), now));
    }
}

#[test]
fn same_content_of_another_caller_is_served_until_it_crashes_a_server_too() {
    let start = Instant::now();
    let other = RequestIdentity { caller: 7, ..DEADLY };
    let mut node = RequestQuarantine::default();
    crash(&mut node, 0, DEADLY, start);
    crash(&mut node, 1, DEADLY, start + ms(500));
    let now = start + ms(1_000);
    assert!(node.is_blocked(DEADLY, now) && !node.is_blocked(other, now));
    crash(&mut node, 2, other, now);
    assert!(node.is_blocked(other, now), "it crashes servers whoever sends it");
    assert!(node.is_blocked(RequestIdentity { caller: 8, ..DEADLY }, now));
    // An answer shows that it depends on the caller.
    node.record_answer(other, now + ms(100));
    assert!(node.is_blocked(DEADLY, now + ms(100)) && !node.is_blocked(other, now + ms(100)));
}

#[test]
fn request_answered_just_before_a_crash_is_not_suspected() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    for number in 0..4 {
        let at = start + ms(1_000) * number as u32;
        node.record_answer(sound(1), at);
        crash(&mut node, number, sound(1), at + ms(300));
    }
    assert!(!node.is_blocked(sound(1), start + ms(4_000)));
}

#[test]
fn server_that_crashes_twice_by_itself_puts_no_request_in_quarantine() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    for incarnation in 1..=3 {
        let at = start + ms(4_000) * incarnation as u32;
        node.record_crash((&server(0), incarnation), (DEADLY, at - ms(40)), at);
        // The only server of a service crashes each time.
        assert_eq!(node.is_blocked(DEADLY, at), incarnation == 3);
    }
}

#[test]
fn two_of_many_crashes_are_no_proof_and_three_are() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    for number in 0..8 {
        let identity = if number < 6 { sound(number as u64) } else { DEADLY };
        crash(&mut node, number, identity, start + ms(600) * number as u32);
    }
    assert!(!node.is_blocked(DEADLY, start + ms(5_000)));
    crash(&mut node, 8, DEADLY, start + ms(5_000));
    assert!(node.is_blocked(DEADLY, start + ms(5_000)));
}

#[test]
fn quarantine_ends_by_itself_and_comes_back_for_longer_with_the_next_crash() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    for number in 0..3 {
        crash(&mut node, number, DEADLY, start + ms(500) * number as u32);
    }
    let third = start + ms(1_000);
    let secs = Duration::from_secs;
    assert!(
        node.is_blocked(DEADLY, third + secs(59)) && !node.is_blocked(DEADLY, third + secs(60))
    );
    let ended = node.expire(third + secs(60));
    assert!(matches!(&ended[..], [RequestQuarantineChange::Ended(_)]), "{ended:?}");
    let fourth = third + secs(70);
    let began = crash(&mut node, 3, DEADLY, fourth);
    assert!(matches!(&began[..], [RequestQuarantineChange::Began(_)]), "{began:?}");
    assert!(node.is_blocked(DEADLY, fourth + secs(119)));
    assert!(!node.is_blocked(DEADLY, fourth + secs(120)));
    node.expire(fourth + secs(2_000));
    assert_eq!(node.crash_count(), 0);
}

#[test]
fn request_that_an_operator_clears_is_served_by_all_nodes() {
    let start = Instant::now();
    let mut nodes = vec![RequestQuarantine::default(); 2];
    for number in 0..3 {
        crash(&mut nodes[0], number, DEADLY, start + ms(500) * number as u32);
    }
    let now = start + ms(1_500);
    exchange(&mut nodes, now);
    assert!(nodes.iter().all(|node| node.is_blocked(DEADLY, now)));
    nodes[1].clear(DEADLY.content, now);
    // The node that has not heard of it yet does not bring the quarantine back.
    exchange(&mut nodes, now + ms(100));
    assert!(nodes.iter().all(|node| !node.is_blocked(DEADLY, now + ms(100))));
}

#[test]
fn requests_that_differ_each_time_do_not_fill_the_memory() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    for number in 0..300 {
        let at = start + ms(600) * number as u32;
        for request in 0..150 {
            crash(&mut node, number, sound(number as u64 * 1_000 + request), at);
        }
        node.record_answer(sound(1_000_000 + number as u64), at);
    }
    let reports = node.reports_since(0, start + ms(200_000));
    assert!(reports.len() <= 64 && reports.iter().all(|report| report.suspects.len() <= 96));
}

#[test]
fn only_changed_crashes_are_reported_and_cleared_ones_shrink() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    crash(&mut node, 0, sound(0), start);
    let known = node.revision();
    assert!(node.reports_since(known, start).is_empty());
    crash(&mut node, 1, sound(1), start);
    assert_eq!(node.reports_since(known, start).len(), 1);
    node.record_answer(sound(0), start + ms(100));
    node.record_answer(sound(1), start + ms(100));
    node.expire(start + ms(10_100));
    let reports = node.reports_since(0, start + ms(10_100));
    assert!(reports.iter().all(|report| report.is_settled && report.suspects.is_empty()));
}

#[test]
fn parts_of_a_content_do_not_run_into_each_other() {
    assert_ne!(hash_content(&[b"ab", b"c"]), hash_content(&[b"a", b"bc"]));
}

/// What became of a spell of one deadly request among sound ones.
struct Spell {
    crashes: usize,
    arrivals_after_third: usize,
    sound_requests: usize,
    served: usize,
    longest_refusal: Duration,
}

/// A request that is sent, and then sent again after a failure.
#[derive(Clone, Copy)]
struct Attempt {
    identity: RequestIdentity,
    node: usize,
    retries: u32,
    /// The end of the time in which its caller waits.
    deadline: u64,
}

/// Plays a minute in steps of 5 ms: a deadly request twice a second, and 30 sound ones a second, of
/// which each runs for 15 ms and is repeated after a failure until its caller gives up after 4 s.
/// Three servers crash 40 ms into the deadly request and are back 3 s later under new ids.
fn play_spell(node_count: usize, exchange_ms: u64, is_idempotent: bool, seed: u64) -> Spell {
    const STEP_MS: u64 = 5;
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut nodes = vec![RequestQuarantine::default(); node_count];
    let mut sent_revisions = vec![0; node_count];
    // When each server is up again, and the requests at it with the times of their start and end.
    let mut up_at = [0_u64; 3];
    let mut running: [Vec<(Attempt, u64, u64)>; 3] = Default::default();
    let mut incarnation = 0;
    let mut pending: Vec<(u64, Attempt)> = Vec::new();
    let mut first_refused: HashMap<RequestIdentity, u64> = HashMap::new();
    let mut spell = Spell {
        crashes: 0,
        arrivals_after_third: 0,
        sound_requests: 0,
        served: 0,
        longest_refusal: Duration::ZERO,
    };
    let mut next_sound = 0;
    for now_ms in (0..60_000).step_by(STEP_MS as usize) {
        let now = start + ms(now_ms);
        if now_ms % 500 == 0 {
            let node = rng.random_range(0..node_count);
            pending
                .push((now_ms, Attempt { identity: DEADLY, node, retries: 0, deadline: now_ms }));
        }
        if rng.random_bool(30.0 * STEP_MS as f64 / 1e3) {
            next_sound += 1;
            spell.sound_requests += 1;
            let node = rng.random_range(0..node_count);
            let deadline = now_ms + 4_000;
            pending.push((
                now_ms,
                Attempt { identity: sound(next_sound), node, retries: 0, deadline },
            ));
        }
        let (due, later) = pending.into_iter().partition(|(at, _)| *at <= now_ms);
        pending = later;
        let due: Vec<(u64, Attempt)> = due;
        for (_, attempt) in due {
            if nodes[attempt.node].is_blocked(attempt.identity, now) {
                if attempt.identity != DEADLY {
                    let first = *first_refused.entry(attempt.identity).or_insert(now_ms);
                    spell.longest_refusal = spell.longest_refusal.max(ms(now_ms - first));
                }
                continue;
            }
            let up: Vec<usize> = (0..3).filter(|number| up_at[*number] <= now_ms).collect();
            if up.is_empty() {
                if attempt.identity != DEADLY && now_ms + 600 < attempt.deadline {
                    let node = rng.random_range(0..node_count);
                    pending.push((now_ms + 600, Attempt { node, ..attempt }));
                }
                continue;
            }
            let target = up[rng.random_range(0..up.len())];
            if attempt.identity == DEADLY && spell.crashes >= 3 {
                spell.arrivals_after_third += 1;
            }
            let runtime = if attempt.identity == DEADLY { 40 } else { 15 };
            running[target].push((attempt, now_ms, now_ms + runtime));
        }
        for target in 0..3 {
            let is_crash = running[target]
                .iter()
                .any(|(attempt, _, ends)| attempt.identity == DEADLY && *ends <= now_ms);
            if is_crash {
                spell.crashes += 1;
                incarnation += 1;
                up_at[target] = now_ms + 3_000;
                let id = server(10 * incarnation as usize + target);
                for (attempt, sent, _) in std::mem::take(&mut running[target]) {
                    let node = &mut nodes[attempt.node];
                    let sent_at = start + ms(sent);
                    node.record_crash((&id, 1), (attempt.identity, sent_at), now);
                    let is_suspect = node.is_suspect(attempt.identity, &id, 1);
                    if is_idempotent && attempt.retries == 0 && !is_suspect {
                        pending.push((now_ms + 5, Attempt { retries: 1, ..attempt }));
                    } else if is_idempotent && attempt.identity != DEADLY {
                        let node = rng.random_range(0..node_count);
                        pending.push((now_ms + 250, Attempt { node, ..attempt }));
                    }
                }
            }
            let (ended, rest) = running[target].drain(..).partition(|(_, _, ends)| *ends <= now_ms);
            running[target] = rest;
            let ended: Vec<(Attempt, u64, u64)> = ended;
            for (attempt, ..) in ended {
                nodes[attempt.node].record_answer(attempt.identity, now);
                spell.served += 1;
            }
        }
        // Followers and leaders take turns, so that news needs several exchanges to come round.
        if now_ms % exchange_ms == 0 {
            let reports: Vec<_> = nodes
                .iter()
                .zip(&mut sent_revisions)
                .flat_map(|(node, sent)| {
                    let since = std::mem::replace(sent, node.revision());
                    node.reports_since(since, now)
                })
                .collect();
            if !reports.is_empty() {
                nodes.iter_mut().for_each(|node| drop(node.merge(&reports, now)));
            }
        }
        if now_ms % 5_000 == 0 {
            nodes.iter_mut().for_each(|node| drop(node.expire(now)));
        }
    }
    spell
}

fn assert_spell_is_stopped(node_count: usize, exchange_ms: u64, seeds: u64) {
    for seed in 0..seeds {
        for is_idempotent in [true, false] {
            let spell = play_spell(node_count, exchange_ms, is_idempotent, seed);
            let seen = format!(
                "seed {seed}, idempotent {is_idempotent}: {} crashes, {} later, {} of {} served",
                spell.crashes, spell.arrivals_after_third, spell.served, spell.sound_requests
            );
            assert!(spell.arrivals_after_third <= 3, "{seen}");
            assert!(spell.crashes <= 5, "{seen}");
            assert!(spell.longest_refusal <= Duration::from_secs(60), "{seen}");
            assert!(spell.served * 10 >= spell.sound_requests * 9, "{seen}");
        }
    }
}

#[test]
fn deadly_request_among_sound_ones_is_stopped_by_eight_nodes() {
    assert_spell_is_stopped(8, 200, 20);
}

#[test]
fn deadly_request_among_sound_ones_is_stopped_by_hundreds_of_nodes() {
    assert_spell_is_stopped(295, 400, 4);
}

proptest! {
    /// The crashes of a search: when, at which server, which request, and which one was answered.
    #[test]
    fn nodes_decide_alike_in_whatever_order_they_learn_of_crashes(
        crashes in prop::collection::vec((100..20_000_u64, 0..4_usize, 0..4_u64, 0..2_u64), 1..16),
        answered in prop::collection::vec((0..20_000_u64, 0..4_u64, 0..2_u64), 0..4),
        order in prop::collection::vec((0..3_usize, 0..3_usize), 0..20),
    ) {
        let start = Instant::now();
        let now = start + ms(20_000);
        let mut nodes = vec![RequestQuarantine::default(); 3];
        for (number, (at, id, content, caller)) in crashes.iter().enumerate() {
            let identity = RequestIdentity { content: *content, caller: *caller };
            let at = start + ms(*at);
            nodes[number % 3].record_crash((&server(*id), 1), (identity, at - ms(40)), at);
        }
        for (number, (at, content, caller)) in answered.iter().enumerate() {
            let identity = RequestIdentity { content: *content, caller: *caller };
            nodes[number % 3].record_answer(identity, start + ms(*at));
        }
        for (from, to) in order {
            let reports = nodes[from].reports_since(0, now);
            nodes[to].merge(&reports, now);
        }
        for _ in 0..3 {
            exchange(&mut nodes, now);
        }
        let blocked = |node: &RequestQuarantine| -> Vec<_> {
            node.entries().map(|(blocked, _)| blocked.clone()).collect()
        };
        for node in &nodes[1..] {
            prop_assert_eq!(blocked(node), blocked(&nodes[0]));
        }
    }
}
