//! What servers announce of themselves, and which requests they still get.

use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::server_notices::{ServerNotices, Turn};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn leaving_holds_for_one_incarnation() {
    let (now, server) = (Instant::now(), Name::from("a"));
    let mut notices = ServerNotices::default();
    assert!(notices.record_leaving(&server, 1) && !notices.record_leaving(&server, 1));
    assert!(!notices.allow("a", 1, now + 3_600 * SECOND));
    assert!(notices.allow("a", 2, now) && notices.allow("b", 1, now));
}

#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let (now, server) = (Instant::now(), Name::from("a"));
    let mut notices = ServerNotices::default();
    notices.record_pause(&server, 1, 6 * SECOND, now);
    notices.record_pause(&server, 1, SECOND, now + SECOND);
    assert!(!notices.allow("a", 1, now + 5 * SECOND) && notices.allow("a", 1, now + 6 * SECOND));
    assert_eq!(notices.remaining_pause("a", 1, now + 4 * SECOND), Some(2 * SECOND));
    assert!(notices.allow("a", 2, now), "a restarted server wants nothing yet");
}

#[test]
fn server_that_asks_for_a_pause_without_end_is_tried_again() {
    let (now, server) = (Instant::now(), Name::from("a"));
    let mut notices = ServerNotices::default();
    notices.record_pause(&server, 1, Duration::MAX, now);
    assert!(
        !notices.allow("a", 1, now + 599 * SECOND) && notices.allow("a", 1, now + 600 * SECOND)
    );
}

#[test]
fn server_that_leaves_in_a_pause_has_no_end_of_it() {
    let (now, server) = (Instant::now(), Name::from("a"));
    let mut notices = ServerNotices::default();
    notices.record_pause(&server, 1, SECOND, now);
    notices.record_leaving(&server, 1);
    assert_eq!(notices.remaining_pause("a", 1, now), None);
    notices.retain(|_| false);
    assert!(notices.allow("a", 1, now));
}

/// Guards against nodes whose pauses end together, each of which is as long as the server can bear.
#[test]
fn nodes_that_find_a_brittle_server_full_together_do_not_ask_again_together() {
    let (start, server, service) = (Instant::now(), Name::from("a"), Name::from("s"));
    for (nodes, bearable) in [(2, 5.0), (3, 2.0), (8, 20.0), (60, 10.0), (350, 40.0), (350, 10.0)] {
        let mut asked = Vec::new();
        for position in 0..nodes {
            let turn = Turn { position, nodes };
            // Each node has its next request up to 0.2 s after its pause.
            let waits = |number: usize| {
                Duration::from_millis(((position * 7_919 + number * 104_729) % 200) as u64)
            };
            let mut notices = ServerNotices::default();
            notices.record_full(&server, 1, turn, start);
            assert!(notices.allow("a", 1, start), "it has not said that it is brittle");
            assert!(notices.record_brittleness(&server, 1, &service, Some(bearable)));
            assert!(!notices.record_brittleness(&server, 1, &service, Some(bearable)));
            let period = nodes as f64 / bearable * 2.0;
            let mut now = start + waits(0);
            for number in 1.. {
                notices.record_full(&server, 1, turn, now);
                let pause = notices.remaining_pause("a", 1, now).expect("it is paused");
                let longest = if number == 1 { 2.0 * period } else { period };
                assert!(pause.as_secs_f64() < longest + 0.5, "{nodes} nodes, {pause:?}");
                now += pause + waits(number);
                if now > start + 300 * SECOND {
                    break;
                }
                asked.push(now);
            }
        }
        asked.sort();
        assert!(asked.len() >= 2 * nodes, "{nodes} nodes ask again and again");
        for (number, first) in asked.iter().enumerate() {
            let at_once = asked[number..].iter().take_while(|at| **at < *first + SECOND).count();
            assert!(
                at_once as f64 <= bearable,
                "{at_once} of {nodes} nodes asked in a second that bears {bearable}"
            );
        }
    }
}

/// Guards against a node that leaves a server alone for longer with each of the requests that were on their
/// way to it together.
#[test]
fn requests_that_are_turned_away_together_cost_a_node_one_turn() {
    let (now, server, service) = (Instant::now(), Name::from("a"), Name::from("s"));
    let mut notices = ServerNotices::default();
    notices.record_brittleness(&server, 1, &service, Some(2.0));
    let turn = Turn { position: 1, nodes: 3 };
    for number in 0..10 {
        notices.record_full(&server, 1, turn, now + Duration::from_millis(number));
    }
    assert_eq!(notices.remaining_pause("a", 1, now), Some(4 * SECOND));
    notices.record_full(&server, 1, turn, now + 4 * SECOND);
    assert_eq!(notices.remaining_pause("a", 1, now + 4 * SECOND), Some(3 * SECOND));
}

#[test]
fn a_brittle_server_gets_requests_only_while_it_has_room() {
    let (server, service) = (Name::from("a"), Name::from("s"));
    let mut notices = ServerNotices::default();
    let has_room =
        |notices: &ServerNotices, slots, running| notices.has_room(("a", 1), "s", slots, running);
    assert!(has_room(&notices, 6, 100), "others may queue requests");
    notices.record_brittleness(&server, 1, &service, Some(5.0));
    assert!(has_room(&notices, 64, 54) && !has_room(&notices, 64, 55));
    assert!(has_room(&notices, 1, 0) && !has_room(&notices, 1, 1));
    assert!(notices.record_brittleness(&server, 1, &service, None));
    assert!(has_room(&notices, 64, 64));
}

/// Guards against a server that fell over and gets as much as a sound one when it is back, and against the
/// first requests to a server whose siblings are known to be brittle.
#[test]
fn brittle_server_that_is_back_is_not_filled_at_once() {
    let (a, b, service) = (Name::from("a"), Name::from("b"), Name::from("s"));
    let mut notices = ServerNotices::default();
    notices.record_brittleness(&a, 1, &service, Some(5.0));
    assert!(!notices.has_room(("a", 2), "s", 64, 64), "it has started again");
    assert!(!notices.has_room(("b", 1), "s", 64, 64), "it has not answered yet");
    assert!(notices.has_room(("c", 1), "t", 64, 64), "it is of another service");
    // One server that is sound again says nothing about another that said it is brittle.
    assert!(!notices.record_brittleness(&b, 1, &service, None));
    assert!(notices.has_room(("a", 2), "s", 64, 64) && notices.has_room(("b", 1), "s", 64, 64));
    assert!(!notices.has_room(("a", 1), "s", 64, 64));
}
