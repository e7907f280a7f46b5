//! When crashes are written to the store, and what nodes that read them know.

use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::crash_archive::{CrashArchive, CrashRecord};
use savoryport_core::node::quarantine::Quarantine;
use savoryport_core::node::request_quarantine::{RequestIdentity, RequestQuarantine};

const DEADLY: RequestIdentity = RequestIdentity { content: 7, caller: 1 };
const SOUND: RequestIdentity = RequestIdentity { content: 8, caller: 1 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(name: &str) -> Name {
    name.into()
}

fn record(requests: &RequestQuarantine, now: Instant) -> CrashRecord {
    CrashRecord::new(Vec::new(), requests.reports_since(0, now))
}

/// Records a crash of a server that ran the request for 400 ms.
fn crash(quarantine: &mut RequestQuarantine, server: &str, identity: RequestIdentity, at: Instant) {
    quarantine.record_crash((&name(server), 1), (identity, at - ms(400)), at);
}

/// Passes a record through the store.
fn stored(record: &CrashRecord) -> CrashRecord {
    serde_json::from_slice(&serde_json::to_vec(record).expect("it serializes")).expect("it is read")
}

/// Guards against a request that crashes servers again after all nodes have lost power.
#[test]
fn a_node_that_reads_the_record_refuses_what_was_in_quarantine() {
    let start = Instant::now();
    let mut former = RequestQuarantine::default();
    let mut former_parts = Quarantine::default();
    for (number, server) in ["a", "b"].into_iter().enumerate() {
        let at = start + ms(1_000 * number as u64);
        crash(&mut former, server, DEADLY, at);
        former_parts.record_crash(&name(server), 1, &[5], at);
    }
    let written_at = start + ms(2_000);
    assert!(former.is_blocked(DEADLY, written_at));
    let parts = former_parts.reports(written_at);
    let record = stored(&CrashRecord::new(parts, former.reports_since(0, written_at)));
    let restarted_at = start + ms(60_000);
    let mut requests = RequestQuarantine::default();
    requests.merge(&record.requests, restarted_at);
    assert!(requests.is_blocked(DEADLY, restarted_at));
    assert!(!requests.is_blocked(SOUND, restarted_at));
    let mut parts = Quarantine::default();
    parts.merge(&record.parts, restarted_at);
    assert_eq!(parts.blocking_part(&[5, 6], restarted_at), Some(5));
}

/// Guards against a request that was at two crashes at once and counts as if it had been sent to the
/// second server after the first crash: ages in the store stand still.
#[test]
fn an_older_record_does_not_move_a_request_behind_the_crash_before_it() {
    let start = Instant::now();
    let mut node = RequestQuarantine::default();
    crash(&mut node, "a", SOUND, start);
    crash(&mut node, "b", SOUND, start + ms(300));
    assert!(!node.is_blocked(SOUND, start + ms(400)));
    let record = stored(&record(&node, start + ms(400)));
    let later = start + ms(9_000);
    node.merge(&record.requests, later);
    assert!(!node.is_blocked(SOUND, later));
    // A restarted node reads the record first, and learns the right times afterwards.
    let mut restarted = RequestQuarantine::default();
    restarted.merge(&record.requests, later);
    restarted.merge(&node.reports_since(0, later), later);
    assert!(!restarted.is_blocked(SOUND, later));
}

#[test]
fn what_is_cleared_or_settled_is_not_recorded() {
    let now = Instant::now();
    let mut node = RequestQuarantine::default();
    crash(&mut node, "a", DEADLY, now);
    crash(&mut node, "a", SOUND, now);
    node.record_answer(SOUND, now + ms(100));
    let open = record(&node, now + ms(200));
    assert_eq!(open.requests[0].suspects.len(), 1);
    node.clear(DEADLY.content, now + ms(300));
    assert!(record(&node, now + ms(400)).is_empty());
}

#[test]
fn a_crash_is_written_at_once_and_by_a_deputy_if_the_first_leader_does_not() {
    let now = Instant::now();
    let mut node = RequestQuarantine::default();
    crash(&mut node, "a", DEADLY, now);
    let crashes = record(&node, now);
    let mut first = CrashArchive::default();
    assert!(!first.is_due(&CrashRecord::default(), 0, now));
    assert!(first.is_due(&crashes, 0, now));
    let mut deputy = CrashArchive::default();
    assert!(!deputy.is_due(&crashes, 1, now));
    assert!(!deputy.is_due(&crashes, 1, now + ms(1_400)));
    assert!(deputy.is_due(&crashes, 1, now + ms(1_500)));
    deputy.record_stored(crashes.clone(), 9, now + ms(1_500));
    assert!(!deputy.is_due(&crashes, 1, now + ms(5_000)));
    // The store went back to a copy.
    deputy.record_stored(CrashRecord::default(), 0, now + ms(6_000));
    assert!(!deputy.is_due(&crashes, 1, now + ms(6_000)));
    assert!(deputy.is_due(&crashes, 1, now + ms(7_500)));
}

/// Load pattern: a server crashes every 50 ms for a minute, and callers' answers clear its requests.
#[test]
fn a_flood_of_crashes_costs_the_store_few_writes() {
    let start = Instant::now();
    let (mut node, mut archive, mut writes) =
        (RequestQuarantine::default(), CrashArchive::default(), 0);
    for step in 0..1_200 {
        let now = start + ms(50 * step);
        let identity = RequestIdentity { content: 100 + step, caller: 1 };
        crash(&mut node, &format!("server-{}", step % 40), identity, now);
        node.record_answer(RequestIdentity { content: 90 + step, caller: 1 }, now);
        let crashes = record(&node, now);
        if archive.is_due(&crashes, 0, now) {
            archive.record_write(now);
            archive.record_stored(crashes, step, now);
            writes += 1;
        }
    }
    assert!(writes <= 64, "{writes} writes in a minute");
}

#[test]
fn the_record_of_many_suspects_stays_far_below_the_size_limit_of_the_store() {
    let now = Instant::now();
    let mut node = RequestQuarantine::default();
    for server in 0..40 {
        for content in 0..40 {
            let identity = RequestIdentity { content: u64::MAX - content, caller: u64::MAX };
            crash(&mut node, &format!("server-{server}"), identity, now);
        }
    }
    let record = record(&node, now);
    assert!(!record.is_empty());
    let size = serde_json::to_vec(&record).expect("it serializes").len();
    assert!(size < 256 * 1024, "{size} bytes");
}
