//! Parts of a node by themselves: the cutter of events, settings, and beliefs that followers take.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use savoryport::node::event_splitter::EventSplitter;
use savoryport::node::fleet::Fleet;
use savoryport::node::prompt_log::PromptLog;
use savoryport::node::rpc::PromptRecord;
use savoryport::node::settings::{NodeSettings, NodeSettingsError};
use savoryport::node::store_reader::StoreHealth;
use savoryport::node::view::Member;

fn member(vm: &str) -> Member {
    Member { vm: vm.into(), failure_domain: "east".into(), callers: ([127, 0, 0, 1], 7_100).into() }
}

#[test]
fn events_are_cut_at_blank_lines_however_their_bytes_arrive() {
    let stream = "id: 1\ndata: a\n\nversion: 2\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 4\nda";
    for size in 1..stream.len() {
        let mut cutter = EventSplitter::default();
        let mut seen = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            assert!(cutter.push(piece));
            while let Some(event) = cutter.next_event() {
                seen.push(event);
            }
        }
        let ids: Vec<_> = seen.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "pieces of {size}");
        assert!(cutter.has_partial_event());
        let mut bytes: Vec<u8> = seen.iter().flat_map(|event| event.bytes.to_vec()).collect();
        bytes.extend(cutter.take_partial_event());
        assert_eq!(bytes, stream.as_bytes());
    }
}

#[test]
fn an_endless_event_is_not_kept() {
    let mut cutter = EventSplitter::default();
    let piece = vec![b'x'; 64 * 1024];
    assert!((0..32).any(|_| !cutter.push(&piece)));
}

#[test]
fn settings_name_every_mistake_at_once_and_warn_of_unknown_keys() {
    let good = NodeSettings::parse(r#"{"vm":"a","new_field":1}"#).expect("settings");
    assert_eq!(good.unknown, ["new_field"]);
    let bad = r#"{"callers_listen":"nowhere","sync_period_ms":0,"vm":"","memory_mb":"much"}"#;
    assert_matches!(NodeSettings::parse(bad), Err(NodeSettingsError::Fields(problems)) => {
        for field in ["callers_listen", "sync_period_ms", "vm", "memory_mb"] {
            assert!(problems.iter().any(|problem| problem.starts_with(field)), "{field}");
        }
    });
    assert_matches!(NodeSettings::parse("[]"), Err(NodeSettingsError::Malformed(_)));
}

#[test]
fn a_member_that_nobody_vouches_for_is_not_named_any_more() {
    let (fleet, now) = (Fleet::new(member("own")), Instant::now());
    fleet.update(|state| state.set_members(vec![member("own"), member("gone")], now));
    assert_eq!(fleet.view().members.len(), 2);
    fleet.update(|state| state.expire_members(now + Duration::from_secs(2)));
    assert_eq!(fleet.view().members.len(), 2);
    fleet.update(|state| state.expire_members(now + Duration::from_secs(3)));
    assert_eq!(fleet.view().members, [member("own")]);
}

#[test]
fn a_follower_that_falls_silent_is_not_named_any_more() {
    let (fleet, now) = (Fleet::new(member("own")), Instant::now());
    fleet.update(|state| state.record_member(member("follower"), now));
    fleet.update(|state| state.expire_members(now + Duration::from_millis(400)));
    assert_eq!(fleet.view().members.len(), 2);
    fleet.update(|state| state.expire_members(now + Duration::from_millis(600)));
    assert_eq!(fleet.view().members.len(), 1);
}

/// A holder that the store turned away made its followers read for themselves; they took the time in which
/// they had not called for an outage, and kept leaving servers two seconds longer.
#[test]
fn a_store_that_was_not_called_was_not_away() {
    let (health, now) = (StoreHealth::default(), Instant::now());
    let at = |ms| now + Duration::from_millis(ms);
    assert_eq!(health.record_answer(at(0)), None);
    assert_eq!(health.record_answer(at(28_000)), None);
    assert!(!health.is_recovering(at(28_000)));
    health.record_failure(at(29_000));
    health.record_failure(at(30_000));
    assert_eq!(health.record_answer(at(31_000)), Some(Duration::from_secs(2)));
    assert!(health.is_recovering(at(31_000)));
    assert!(!health.is_recovering(at(33_000)));
}

/// A prompt with the shared beginning `key` and a part of its own.
fn prompt(key: u64, own: u64) -> PromptRecord {
    let keys = [(key, 6_300), (own, 9_190)].into_iter().collect();
    PromptRecord { server: "s".into(), incarnation: 1, keys }
}

#[test]
fn other_failure_domains_hear_of_a_shared_beginning_once_and_of_nothing_else() {
    let (mut log, now) = (PromptLog::default(), Instant::now());
    log.add_local(&"a".into(), &[prompt(1, 10), prompt(1, 11), prompt(2, 12)], now);
    let (position, told) = log.shared_prefixes_since(0);
    let keys: Vec<_> = told.iter().map(|record| record.keys.to_vec()).collect();
    assert_eq!(keys, [[(1, 6_300)], [(2, 6_300)]]);
    log.add_local(&"a".into(), &[prompt(1, 13)], now);
    assert_eq!(log.shared_prefixes_since(position).1, []);
    // Told again after a while, or it would be forgotten elsewhere while it is in use here.
    log.add_local(&"a".into(), &[prompt(1, 14)], now + Duration::from_secs(6));
    assert_eq!(log.shared_prefixes_since(position).1.len(), 1);
}

#[test]
fn followers_hear_of_whole_prompts_and_of_other_domains_beginnings() {
    let (mut log, now) = (PromptLog::default(), Instant::now());
    log.add_local(&"a".into(), &[prompt(1, 10)], now);
    log.add_remote(&[prompt(3, 30)]);
    assert_eq!(log.records_since(0, "a").1, [prompt(3, 30)]);
    assert_eq!(log.records_since(0, "b").1, [prompt(1, 10), prompt(3, 30)]);
    let told_on = log.shared_prefixes_since(0).1;
    assert!(told_on.iter().all(|record| record.keys[0].0 == 1), "foreign news is not told on");
}
