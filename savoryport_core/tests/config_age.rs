//! Tests of whether a node may trust the keys in its configuration, without a network.

use std::time::{Duration, Instant};

use savoryport_core::node::config_age::{ConfigAge, ConfigAgeReport, PEER_GRACE, StoreReading};

const LIMIT: Duration = Duration::from_millis(5_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn reading(asked_at: Instant, version: u64, era: u64) -> StoreReading {
    StoreReading { asked_at, version, era, is_leader: true }
}

fn report(age_ms: u64, era: Option<u64>) -> Option<ConfigAgeReport> {
    Some(ConfigAgeReport { age_ms, era })
}

/// Guards against a node that accepts keys before it has heard of any configuration.
#[test]
fn a_node_that_knows_nothing_accepts_no_keys() {
    let now = Instant::now();
    assert!(!ConfigAge::default().allows_keys(LIMIT, now));
    assert_eq!(ConfigAge::default().report(now), None);
}

/// Guards against keys that a node accepts up to the very limit, where clocks may differ.
#[test]
fn keys_are_accepted_for_nine_tenths_of_the_limit_after_a_reading() {
    let start = Instant::now();
    let mut age = ConfigAge::default();
    age.confirm_by_store(reading(start, 1, 1));
    assert!(age.allows_keys(LIMIT, start + ms(4_499)));
    assert!(!age.allows_keys(LIMIT, start + ms(4_500)));
    // A call that was made earlier and answered later does not set the moment back.
    age.confirm_by_store(reading(start - ms(400), 1, 1));
    assert!(age.allows_keys(LIMIT, start + ms(4_499)));
}

/// Guards against a chain of nodes along which the age of their knowledge gets lost.
#[test]
fn a_follower_is_never_younger_than_its_leader() {
    let start = Instant::now();
    let (mut leader, mut follower) = (ConfigAge::default(), ConfigAge::default());
    leader.confirm_by_store(reading(start, 3, 1));
    for round in 1..40 {
        let asked_at = start + ms(150 * round);
        let answered_at = asked_at + ms(40);
        follower.confirm_by_peer(3, 3, leader.report(answered_at), asked_at);
        let now = answered_at + ms(40);
        assert!(follower.age(now) >= leader.age(now), "round {round}");
    }
    // The leader has read nothing for 5.9 s.
    assert!(!follower.allows_keys(LIMIT, start + ms(4_500)));
}

/// Guards against a follower that takes its leader's word for keys of which the leader has a newer
/// list.
#[test]
fn an_older_version_is_not_confirmed_by_a_leader_with_a_newer_one() {
    let start = Instant::now();
    let mut age = ConfigAge::default();
    age.confirm_by_peer(3, 4, report(1, Some(1)), start);
    assert_eq!(age.age(start), None);
    age.confirm_by_peer(4, 4, report(1, Some(1)), start);
    assert!(age.allows_keys(LIMIT, start));
    // A leader that lacks this node's version confirms nothing either.
    let mut age = ConfigAge::default();
    age.confirm_by_peer(5, 4, report(1, Some(1)), start);
    assert_eq!(age.age(start), None);
    // Nor does a leader that does not know itself.
    let mut age = ConfigAge::default();
    age.confirm_by_peer(4, 4, None, start);
    assert_eq!(age.age(start), None);
}

/// Guards against a restarted leader that reads a restored copy of the store, which still has a key
/// that its followers know to be withdrawn.
#[test]
fn a_leader_does_not_trust_a_restored_store_against_its_followers() {
    let start = Instant::now();
    let mut age = ConfigAge::default();
    age.confirm_by_store(reading(start, 8, 2));
    assert_eq!(age.age(start), None, "its followers had no time to object");
    age.record_caller(8, 9, Some(2));
    for step in 0..100 {
        age.confirm_by_store(reading(start + ms(100 * step), 8, 2));
    }
    assert_eq!(age.age(start + ms(10_000)), None, "a follower has a newer version");
    age.confirm_by_store(reading(start + ms(10_000), 9, 2));
    assert!(age.allows_keys(LIMIT, start + ms(10_000)));
}

/// Guards against a running node that takes the word of a store that went back meanwhile, and against
/// one that refuses keys for longer than other nodes need to object.
#[test]
fn a_store_that_goes_back_is_trusted_again_once_nobody_has_objected() {
    let start = Instant::now();
    let mut age = ConfigAge::default();
    age.confirm_by_store(reading(start, 8, 1));
    age.confirm_by_store(reading(start + ms(500), 8, 2));
    assert_eq!(age.age(start + ms(500)), Some(ms(500)));
    let settled_at = start + ms(500) + PEER_GRACE;
    age.confirm_by_store(reading(settled_at - ms(1), 8, 2));
    assert!(age.age(settled_at) > Some(PEER_GRACE));
    age.confirm_by_store(reading(settled_at, 8, 2));
    assert_eq!(age.age(settled_at), Some(ms(0)));
    // It tells other nodes, which then need not wait themselves.
    let mut other = ConfigAge::default();
    other.record_caller(8, 8, age.trusted_era());
    other.confirm_by_store(reading(settled_at, 8, 2));
    assert!(other.allows_keys(LIMIT, settled_at));
}

/// Guards against a restarted node that accepts the keys of a restored store while it looks for its
/// leader, which may know better.
#[test]
fn only_a_leader_comes_to_trust_a_restored_store_by_itself() {
    let start = Instant::now();
    let mut age = ConfigAge::default();
    for step in 0..100 {
        let asked_at = start + ms(100 * step);
        age.confirm_by_store(StoreReading { is_leader: false, ..reading(asked_at, 8, 2) });
    }
    assert_eq!(age.age(start + ms(10_000)), None);
    // The time counts from when it leads, and anew in each era.
    age.confirm_by_store(reading(start + ms(10_000), 8, 2));
    age.confirm_by_store(reading(start + ms(12_000), 8, 3));
    age.confirm_by_store(reading(start + ms(14_000), 8, 3));
    assert_eq!(age.age(start + ms(14_000)), None);
    age.confirm_by_store(reading(start + ms(14_500), 8, 3));
    assert!(age.allows_keys(LIMIT, start + ms(14_500)));
}

/// Guards against nodes that refuse all keys for seconds after they were all restarted, where the
/// store has no eras: it loses nothing, and goes back in no era. One that begins to tell an era above
/// the first has gone back.
#[test]
fn a_store_without_eras_is_trusted_until_it_goes_back() {
    let start = Instant::now();
    let mut age = ConfigAge::default();
    age.confirm_by_store(StoreReading { is_leader: false, ..reading(start, 8, 0) });
    assert!(age.allows_keys(LIMIT, start));
    let back_at = start + ms(10_000);
    age.confirm_by_store(reading(back_at, 8, 2));
    assert!(!age.allows_keys(LIMIT, back_at));
    // A newer version of another node counts against it all the same.
    age.record_caller(8, 9, None);
    age.confirm_by_store(reading(back_at, 8, 0));
    assert!(!age.allows_keys(LIMIT, back_at));
}
