//! What servers announce of themselves, and which requests they still get.

use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::server_notices::ServerNotices;

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
