//! Contract tests that any implementation of the key-value service must pass, and tests of the etcd
//! client's behaviour under faults.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use savoryport_platform::kv::{EtcdClient, Event, KeyValueService, KvError, PutResult};
use savoryport_standin::kv::KvStandin;
use savoryport_standin::proxy::Proxy;

const TIMEOUT: Duration = Duration::from_millis(400);

/// Checks the contract of an implementation; each check uses its own keys.
fn check_contract(kv: &dyn KeyValueService<Error = KvError>) {
    check_conditional_writes(kv);
    check_listings_by_prefix(kv);
    check_leased_keys_are_deleted(kv);
    check_watches_report_each_change_once(kv);
}

fn expect_written(result: PutResult) -> u64 {
    match result {
        PutResult::Written(revision) => revision,
        PutResult::Conflict => panic!("no other client writes these keys"),
    }
}

fn check_conditional_writes(kv: &dyn KeyValueService<Error = KvError>) {
    assert_eq!(kv.get("put/a").unwrap(), None);
    let first = expect_written(kv.put_if("put/a", b"1", 0, None).unwrap());
    assert_eq!(kv.put_if("put/a", b"2", 0, None).unwrap(), PutResult::Conflict);
    let second = expect_written(kv.put_if("put/a", b"2", first, None).unwrap());
    assert!(second > first);
    assert_eq!(kv.put_if("put/a", b"3", first, None).unwrap(), PutResult::Conflict);
    let entry = kv.get("put/a").unwrap().unwrap();
    assert_eq!((entry.value.as_slice(), entry.revision), (b"2".as_slice(), second));
}

fn check_listings_by_prefix(kv: &dyn KeyValueService<Error = KvError>) {
    for key in ["list/a", "list/b", "lisu"] {
        kv.put_if(key, key.as_bytes(), 0, None).unwrap();
    }
    let (entries, revision) = kv.list("list/").unwrap();
    let keys: Vec<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!(keys, ["list/a", "list/b"]);
    assert!(entries.iter().all(|entry| entry.revision <= revision));
}

fn check_leased_keys_are_deleted(kv: &dyn KeyValueService<Error = KvError>) {
    let lease = kv.grant_lease(Duration::from_secs(1)).unwrap();
    expect_written(kv.put_if("lease/a", b"x", 0, Some(lease)).unwrap());
    assert!(kv.keep_alive(lease).unwrap());
    kv.revoke(lease).unwrap();
    assert_eq!(kv.get("lease/a").unwrap(), None);
    assert!(!kv.keep_alive(lease).unwrap());
    // A key cannot be written under a lease that has ended.
    assert_eq!(kv.put_if("lease/a", b"x", 0, Some(lease)).unwrap(), PutResult::Conflict);
    let short = kv.grant_lease(Duration::from_secs(1)).unwrap();
    let revision = expect_written(kv.put_if("lease/b", b"x", 0, Some(short)).unwrap());
    let events = kv.watch("lease/b", revision, Duration::from_secs(3)).unwrap();
    assert_matches!(&events[..], [Event::Delete { key, .. }] if key == "lease/b");
}

fn check_watches_report_each_change_once(kv: &dyn KeyValueService<Error = KvError>) {
    let first = expect_written(kv.put_if("watch/a", b"1", 0, None).unwrap());
    expect_written(kv.put_if("watch/a", b"2", first, None).unwrap());
    let events = kv.watch("watch/", first, Duration::from_secs(2)).unwrap();
    assert_matches!(&events[..], [Event::Put(entry)] if entry.value == b"2");
    let last = match &events[0] {
        Event::Put(entry) => entry.revision,
        Event::Delete { revision, .. } => *revision,
    };
    assert_eq!(kv.watch("watch/", last, Duration::from_millis(200)).unwrap(), []);
}

#[test]
fn the_etcd_client_fulfils_the_contract() {
    let standin = KvStandin::start("127.0.0.1:0");
    check_contract(&EtcdClient::new(standin.address(), Duration::from_secs(2)));
}

#[test]
fn errors_distinguish_unreachable_unanswered_and_refused_calls() {
    let standin = KvStandin::start("127.0.0.1:0");
    let kv = EtcdClient::new(standin.address(), TIMEOUT);
    standin.set_faults(|faults| faults.down = true);
    assert_matches!(kv.get("a"), Err(KvError::Unanswered(_)));
    assert_matches!(kv.watch("a", 0, Duration::ZERO), Err(KvError::Unanswered(_)));
    standin.set_faults(|faults| {
        faults.down = false;
        faults.write_responses_to_drop = 1;
    });
    assert_matches!(kv.put_if("a", b"1", 0, None), Err(KvError::Unanswered(_)));
    assert_eq!(kv.get("a").unwrap().unwrap().value, b"1", "the write took effect");
    standin.set_faults(|faults| faults.max_writes_per_second = Some(0));
    assert_matches!(kv.put_if("b", b"1", 0, None), Err(KvError::Refused(429)));
    assert_eq!(kv.get("b").unwrap(), None, "a refused write takes no effect");
    let unreachable = EtcdClient::new("127.0.0.1:1", TIMEOUT);
    assert_matches!(unreachable.get("a"), Err(KvError::NotReachable { .. }));
}

#[test]
fn a_watch_whose_connection_is_refused_is_an_error_and_not_an_empty_result() {
    let standin = KvStandin::start("127.0.0.1:0");
    let proxy = Proxy::start("127.0.0.1:0", standin.address());
    let kv = EtcdClient::new(proxy.address(), TIMEOUT);
    proxy.set_faults(|faults| faults.refuse = true);
    assert!(kv.watch("a", 0, Duration::from_secs(1)).is_err());
}

#[test]
fn a_call_on_a_silent_connection_times_out_and_the_next_one_succeeds() {
    let standin = KvStandin::start("127.0.0.1:0");
    let proxy = Proxy::start("127.0.0.1:0", standin.address());
    let kv = EtcdClient::new(proxy.address(), TIMEOUT);
    assert_eq!(kv.get("a").unwrap(), None);
    proxy.blackhole_open_connections();
    let started = Instant::now();
    assert_matches!(kv.get("a"), Err(KvError::Unanswered(_)));
    assert!(started.elapsed() < TIMEOUT * 3);
    assert_eq!(kv.get("a").unwrap(), None, "a new connection works");
}
