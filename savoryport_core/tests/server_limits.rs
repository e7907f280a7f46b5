//! The limits that servers name, replayed with many nodes.

mod node_support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use node_support::server;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use savoryport_core::Name;
use savoryport_core::node::admission::{AdmissionInput, spare_wait};
use savoryport_core::node::server_limit::{
    AllowanceLedger, Denial, LimitBook, LimitChange, LimitReport, NamedLimit, Ownership, Permit,
    PermitUse, RequestRate, longest_wait, owning_domain,
};

/// The users' window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// How long a replay lasts.
const REPLAY: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

fn owned_since(since: Instant) -> Ownership {
    Ownership { is_confirmed: true, since: Some(since) }
}

/// A replay of nodes that ask an owner for permits.
struct Replay {
    nodes: usize,
    limit: f64,
    /// Requests a second over all nodes.
    demand: f64,
    /// From when on a second owner hands out permits, and until when some nodes ask the first one.
    takeover: Option<(Duration, Duration)>,
}

/// What happens next in a replay.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Asked { node: usize, owner: usize },
    Denied { node: usize, free_after: Duration },
    Sent,
}

impl Replay {
    /// Returns when requests reach the server, from the start.
    fn run(&self, seed: u64) -> Vec<Duration> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let limited = server("s", "a", &[]);
        let mut ledgers = [AllowanceLedger::default(), AllowanceLedger::default()];
        let report = LimitReport {
            server: "s".into(),
            incarnation: 1,
            version: 1,
            limit: Some(rate(self.limit)),
        };
        let mut books = vec![LimitBook::default(); self.nodes];
        for book in &mut books {
            book.merge(std::slice::from_ref(&report), start);
        }
        let mut events = BinaryHeap::new();
        let mut at = Duration::ZERO;
        while at < REPLAY {
            at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / self.demand);
            events.push(Reverse((at, Event::Arrives(rng.random_range(0..self.nodes)))));
        }
        let mut sent = Vec::new();
        while let Some(Reverse((at, event))) = events.pop() {
            let now = start + at;
            let way = ms(rng.random_range(1..25));
            match event {
                Event::Arrives(node) => {
                    if books[node].denied_for(&limited, longest_wait(0, ms(800)), now).is_none() {
                        let owner = self.owner_for(node, at);
                        events.push(Reverse((at + way, Event::Asked { node, owner })));
                    }
                }
                Event::Asked { node, owner } => {
                    let is_replaced = self.takeover.is_some_and(|(from, _)| at >= from);
                    let taken_over = self.takeover.map_or(Duration::ZERO, |(from, _)| from);
                    let ownership = Ownership {
                        is_confirmed: owner == 1 || !is_replaced,
                        since: Some(start + if owner == 1 { taken_over } else { Duration::ZERO }),
                    };
                    let usage = PermitUse::Request { max_wait_ms: 800 };
                    let permit = ledgers[owner].request(
                        &"s".into(),
                        rate(self.limit),
                        ownership,
                        usage,
                        now,
                    );
                    events.push(Reverse(match permit {
                        Permit::Granted { wait } => (at + way + wait, Event::Sent),
                        Permit::Denied(Denial { free_after, .. }) => {
                            (at + way, Event::Denied { node, free_after })
                        }
                    }));
                }
                Event::Denied { node, free_after } => {
                    let denial = Denial { free_after, return_after: free_after };
                    books[node].record_denial("s", denial, now);
                }
                Event::Sent => sent.push(at),
            }
        }
        sent
    }

    fn owner_for(&self, node: usize, at: Duration) -> usize {
        match self.takeover {
            Some((from, until)) if at >= from => usize::from(at >= until || node.is_multiple_of(2)),
            _ => 0,
        }
    }
}

fn most_in_window(sent: &[Duration]) -> usize {
    let count = |(index, first): (usize, &Duration)| {
        sent[index..].iter().take_while(|at| **at < *first + WINDOW).count()
    };
    sent.iter().enumerate().map(count).max().unwrap_or(0)
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

#[test]
fn a_limit_holds_and_is_used_however_many_nodes_there_are() {
    for nodes in [1, 8, 60, 295] {
        for limit in [0.2, 1.0, 1.2, 7.5, 40.0] {
            let sent = Replay { nodes, limit, demand: limit * 8.0 + 2.0, takeover: None }
                .run(nodes as u64);
            let most = most_in_window(&sent);
            assert!(most <= allowed(limit), "{nodes} nodes, {limit} a second: {most}");
            let expected = 0.9 * limit * REPLAY.as_secs_f64() - 1.0;
            let count = sent.len() as f64;
            assert!(count >= expected, "{nodes} nodes, {limit} a second: {count}");
        }
    }
}

#[test]
fn a_limit_holds_while_two_nodes_believe_that_they_own_it() {
    for limit in [0.2, 1.0, 1.2, 7.5, 40.0] {
        for overlap_ms in [0, 700, 3_000, 12_000] {
            let takeover = Some((ms(10_000), ms(10_000 + overlap_ms)));
            let sent = Replay { nodes: 8, limit, demand: limit * 8.0 + 2.0, takeover }.run(7);
            let most = most_in_window(&sent);
            assert!(most <= allowed(limit), "{limit} a second, {overlap_ms} ms: {most}");
        }
    }
}

#[test]
fn an_unhurried_request_does_not_take_the_turns_of_urgent_ones() {
    let (mut ledger, now) = (AllowanceLedger::default(), Instant::now());
    let mut ask = |rank, at: Duration| {
        let max_wait_ms = longest_wait(rank, ms(8_000)).as_millis() as u32;
        let usage = PermitUse::Request { max_wait_ms };
        ledger.request(&"s".into(), rate(2.0), owned_since(now), usage, now + at)
    };
    assert_eq!(ask(0, ms(0)), Permit::Granted { wait: ms(1_000) });
    assert!(matches!(ask(2, ms(500)), Permit::Denied(_)));
    assert_eq!(ask(0, ms(500)), Permit::Granted { wait: ms(1_000) });
}

#[test]
fn requests_that_wait_for_a_limited_server_are_still_on_time() {
    let ask = |elapsed, expected| {
        let input = AdmissionInput {
            rank: 0,
            expected_latency: ms(expected),
            elapsed: ms(elapsed),
            queue_time: ms(elapsed),
            target_latency: ms(800),
            time_left: ms(5_000),
            is_over_share: false,
        };
        spare_wait(&input)
    };
    assert_eq!(ask(0, 100), ms(700));
    assert_eq!(ask(500, 100), ms(200));
    assert_eq!(ask(900, 50), Duration::ZERO, "a late one takes only what is free");
}

#[test]
fn refused_callers_return_no_faster_than_the_server_takes_requests() {
    let (mut ledger, now) = (AllowanceLedger::default(), Instant::now());
    let usage = PermitUse::Request { max_wait_ms: 0 };
    let returns: Vec<Duration> = (0..5)
        .map(|_| match ledger.request(&"s".into(), rate(2.0), owned_since(now), usage, now) {
            Permit::Denied(denial) => denial.return_after,
            Permit::Granted { .. } => panic!("granted"),
        })
        .collect();
    assert!(returns.windows(2).all(|pair| pair[1] - pair[0] == ms(500)), "{returns:?}");
}

#[test]
fn a_lifted_limit_is_found_out_although_nobody_needs_the_server() {
    let limited = server("s", "a", &[]);
    let (mut book, mut ledger, start) =
        (LimitBook::default(), AllowanceLedger::default(), Instant::now());
    let name: Name = "s".into();
    book.record_answer((&name, 1), NamedLimit::Rate(rate(0.5)), start, start);
    assert!(!book.is_probe_due(&limited, 8, start + ms(500)));
    let asks = (0..200).map(|tick| start + ms(tick * 50));
    let granted = asks.filter(|now| {
        book.is_probe_due(&limited, 8, *now) && {
            book.record_probe("s", *now);
            let permit =
                ledger.request(&name, rate(0.5), owned_since(start), PermitUse::Probe, *now);
            matches!(permit, Permit::Granted { .. })
        }
    });
    let count = granted.count();
    assert!((2..=5).contains(&count), "{count} probes in 10 s at a limit of 0.5 a second");
}

/// Records an answer to a request that was sent and answered at these times, in milliseconds.
fn answer(
    book: &mut LimitBook,
    incarnation: u64,
    limit: Option<f64>,
    (sent, answered): (u64, u64),
    start: Instant,
) -> Option<LimitChange> {
    let named = limit.map_or(NamedLimit::None, |limit| NamedLimit::Rate(rate(limit)));
    book.record_answer((&"s".into(), incarnation), named, start + ms(sent), start + ms(answered))
}

#[test]
fn an_answer_that_was_overtaken_neither_raises_nor_lifts_a_limit() {
    let (mut book, start) = (LimitBook::default(), Instant::now());
    let limited = server("s", "a", &[]);
    assert_eq!(answer(&mut book, 1, None, (0, 10), start), None);
    answer(&mut book, 1, Some(1.0), (20, 30), start);
    for limit in [None, Some(5.0)] {
        assert_eq!(answer(&mut book, 1, limit, (25, 40), start), None);
    }
    assert_eq!(book.limit_of(&limited), Some(rate(1.0)));
    answer(&mut book, 1, Some(0.5), (5, 50), start);
    assert_eq!(book.limit_of(&limited), Some(rate(0.5)), "a lower one counts at once");
    answer(&mut book, 1, Some(3.0), (60, 70), start);
    assert_eq!(book.limit_of(&limited), Some(rate(3.0)));
    answer(&mut book, 1, None, (80, 90), start);
    assert_eq!(book.limit_of(&limited), None);
}

#[test]
fn a_restarted_server_has_no_limit_until_it_names_one() {
    let (mut book, start) = (LimitBook::default(), Instant::now());
    let mut limited = server("s", "a", &[]);
    answer(&mut book, 1, Some(1.0), (0, 10), start);
    limited.incarnation = 2;
    assert_eq!(book.limit_of(&limited), None);
    answer(&mut book, 2, Some(2.0), (20, 30), start);
    assert_eq!(answer(&mut book, 1, Some(0.1), (0, 40), start), None, "an answer of before");
    assert_eq!(book.limit_of(&limited), Some(rate(2.0)));
}

#[test]
fn a_limit_that_is_no_rate_changes_nothing_and_is_noted_once() {
    let (mut book, start) = (LimitBook::default(), Instant::now());
    let limited = server("s", "a", &[]);
    let mut unreadable =
        |at| book.record_answer((&"s".into(), 1), NamedLimit::Unreadable, start, start + ms(at));
    assert_eq!(unreadable(10), Some(LimitChange::Unreadable));
    assert_eq!(unreadable(20), None);
    assert_eq!(book.limit_of(&limited), None);
    answer(&mut book, 1, Some(1.0), (30, 40), start);
    book.record_answer((&"s".into(), 1), NamedLimit::Unreadable, start + ms(50), start + ms(60));
    assert_eq!(book.limit_of(&limited), Some(rate(1.0)), "it neither raises nor lifts one");
    assert_eq!(RequestRate::from_per_second(-1.0), None);
    assert_eq!(RequestRate::from_per_second(f64::NAN), None);
    assert_eq!(RequestRate::from_per_second(f64::INFINITY), None);
    assert!(rate(0.0).per_second() > 0.0, "a limit of zero is not in force for ever");
    assert!(rate(1e300).per_second() > 1e6);
}

#[test]
fn nodes_agree_on_limits_in_whatever_order_the_news_arrive() {
    let (mut rng, start) = (SmallRng::seed_from_u64(3), Instant::now());
    for _ in 0..200 {
        let mut news: Vec<LimitReport> = (0..12)
            .map(|_| LimitReport {
                server: ["s", "t"][rng.random_range(0..2)].into(),
                incarnation: rng.random_range(1..3),
                version: rng.random_range(1..4),
                limit: [None, Some(rate(1.0)), Some(rate(2.0))][rng.random_range(0..3)],
            })
            .collect();
        let mut results = (0..3).map(|_| {
            news.shuffle(&mut rng);
            let mut book = LimitBook::default();
            for report in &news {
                book.merge(std::slice::from_ref(report), start);
            }
            book.reports_since(0)
        });
        let first = results.next();
        assert!(results.all(|result| Some(&result) == first.as_ref()));
    }
}

#[test]
fn news_are_passed_on_once() {
    let (mut a, mut b, start) = (LimitBook::default(), LimitBook::default(), Instant::now());
    answer(&mut a, 1, Some(1.0), (0, 10), start);
    let known = a.revision();
    assert_eq!(b.merge(&a.reports_since(0), start).len(), 1);
    assert!(a.reports_since(known).is_empty());
    assert!(a.merge(&b.reports_since(0), start).is_empty());
    assert_eq!(a.revision(), known, "what came back is no news");
}

#[test]
fn the_allowances_of_a_domain_without_a_leader_have_one_owner() {
    let led: [Name; 2] = ["b".into(), "c".into()];
    assert_eq!(owning_domain("c", led.iter()).map(|name| &**name), Some("c"));
    assert_eq!(owning_domain("a", led.iter()).map(|name| &**name), Some("b"));
    assert_eq!(owning_domain("a", [].iter()), None);
}
