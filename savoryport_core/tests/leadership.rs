//! When a node may give orders after the store has gone back to a copy.

use std::time::{Duration, Instant};

use savoryport_core::node::leadership::{Leadership, Succession};

const ORDER_TURN: Duration = Duration::from_millis(3_000);
const LEASE_TTL: Duration = Duration::from_millis(2_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a former leader that leads again since a copy of the store has its key.
#[test]
fn a_leader_may_have_been_succeeded_once_its_lease_can_have_run_out() {
    let now = Instant::now();
    let mut leadership = Leadership::new(LEASE_TTL);
    assert!(leadership.may_have_been_succeeded(now));
    leadership.on_acquired(41, now, now, Duration::ZERO);
    leadership.on_renewed(now + ms(600));
    assert!(!leadership.may_have_been_succeeded(now + ms(2_599)));
    assert!(leadership.may_have_been_succeeded(now + ms(2_600)));
}

/// Guards against two leaders within one turn: a leader of the lost history acts until it notices that
/// its lease is gone.
#[test]
fn a_leader_elected_after_a_restore_waits_for_one_of_the_lost_history() {
    let start = Instant::now();
    let mut succession = Succession::new(ORDER_TURN, LEASE_TTL, false);
    succession.record_era(1, start);
    let restored = start + ms(60_000);
    assert_eq!(succession.hand_over("east", restored), ORDER_TURN);
    succession.record_era(2, restored);
    assert_eq!(succession.hand_over("east", restored + ms(400)), ORDER_TURN + ms(1_000));
    succession.record_era(2, restored + ms(500));
    assert_eq!(succession.hand_over("east", restored + ms(1_400)), ORDER_TURN);
}

/// Guards against orders without a turn where the copy is older than the first leader.
#[test]
fn a_first_start_ends_when_the_store_goes_back() {
    let start = Instant::now();
    let mut succession = Succession::new(ORDER_TURN, LEASE_TTL, true);
    succession.record_era(1, start);
    assert_eq!(succession.hand_over("east", start), Duration::ZERO);
    succession.record_leader("west".into());
    assert_eq!(succession.hand_over("west", start + ms(2_000)), ORDER_TURN);
    succession.record_era(2, start + ms(5_000));
    assert_eq!(succession.hand_over("east", start + ms(9_000)), ORDER_TURN);
}
