//! Which bodies and connections of callers give way when memory or connections are used up.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use savoryport_core::node::caller_connections::ConnectionTable;
use savoryport_core::node::caller_memory::{
    CallerMemory, CallerMemoryLimits, Reservation as Outcome,
};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

const LIMITS: CallerMemoryLimits = CallerMemoryLimits {
    limit: 32 * MIB,
    small_reserve: 4 * MIB,
    small_body: 16 * KIB,
    address_share: 0.75,
    max_waiting: 64,
    max_wait: Duration::from_secs(2),
    stall: Duration::from_secs(1),
    stall_bytes: KIB,
};

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// Load pattern: 200 bodies of 4 MiB that stop short, of two addresses, beside ordinary callers of a
/// third one with a small body each 10 ms and one large body after the other.
#[test]
fn bodies_that_stop_short_make_room_for_others() {
    let mut memory = CallerMemory::new(LIMITS);
    let start = Instant::now();
    let mut crowd: Vec<_> =
        (0..200).map(|number| memory.open(address(number % 2), start)).collect();
    // Those that wait ask again; the others have their memory, and nothing of them arrives.
    crowd.retain(|id| {
        let outcome = memory.reserve(*id, 4 * MIB, start);
        if outcome == Outcome::Refused {
            memory.close(*id);
        }
        matches!(outcome, Outcome::Waits(_))
    });
    assert_eq!(memory.waiting(), LIMITS.max_waiting);
    let mut large_served = 0;
    let mut large = None;
    for step in 0..1_000 {
        let now = start + Duration::from_millis(step * 10);
        let small = memory.open(address(9), now);
        assert_eq!(memory.reserve(small, 2 * KIB, now), Outcome::Granted);
        memory.close(small);
        if step % 10 == 0 {
            crowd.retain(|id| match memory.reserve(*id, 4 * MIB, now) {
                Outcome::Granted => false,
                Outcome::Waits(giving_way) => {
                    giving_way.into_iter().for_each(|id| memory.close(id));
                    true
                }
                Outcome::Refused => {
                    memory.close(*id);
                    false
                }
            });
            let id = *large.get_or_insert_with(|| memory.open(address(9), now));
            match memory.reserve(id, 4 * MIB, now) {
                Outcome::Granted => {
                    memory.close(id);
                    large = None;
                    large_served += 1;
                }
                Outcome::Waits(giving_way) => {
                    giving_way.into_iter().for_each(|id| memory.close(id));
                }
                Outcome::Refused => {
                    memory.close(id);
                    large = None;
                }
            }
        }
        assert!(memory.used() <= LIMITS.limit);
    }
    assert!(large_served > 20, "{large_served} large bodies were served");
}

/// Guards against bodies that are cut off although they arrive, only slowly.
#[test]
fn a_body_that_makes_progress_does_not_give_way() {
    let mut memory = CallerMemory::new(LIMITS);
    let start = Instant::now();
    let slow = memory.open(address(1), start);
    assert_eq!(memory.reserve(slow, 30 * MIB, start), Outcome::Granted);
    let waiting = memory.open(address(2), start);
    for step in 0..20 {
        let now = start + Duration::from_millis(step * 100);
        memory.record_arrival(slow, 200, now);
        assert_eq!(memory.reserve(waiting, 4 * MIB, now), Outcome::Waits(Vec::new()));
    }
    let now = start + LIMITS.max_wait;
    assert_eq!(memory.reserve(waiting, 4 * MIB, now), Outcome::Refused);
    memory.close(waiting);
    // Slower than the pace, it gives way.
    let waiting = memory.open(address(2), now);
    let giving_way: Vec<_> = (0..15)
        .flat_map(|step| {
            let now = now + Duration::from_millis(step * 100);
            memory.record_arrival(slow, 1, now);
            match memory.reserve(waiting, 4 * MIB, now) {
                Outcome::Waits(giving_way) => giving_way,
                _ => Vec::new(),
            }
        })
        .collect();
    assert_eq!(giving_way, [slow]);
    memory.close(slow);
    assert_eq!(memory.reserve(waiting, 4 * MIB, now), Outcome::Granted);
    memory.close(waiting);
    assert_eq!((memory.used(), memory.waiting()), (0, 0));
}

#[test]
fn a_complete_body_does_not_give_way() {
    let mut memory = CallerMemory::new(LIMITS);
    let start = Instant::now();
    let (complete, waiting) = (memory.open(address(1), start), memory.open(address(2), start));
    assert_eq!(memory.reserve(complete, 30 * MIB, start), Outcome::Granted);
    memory.complete(complete);
    for step in 0..20 {
        let now = start + Duration::from_millis(step * 100);
        assert_eq!(memory.reserve(waiting, 4 * MIB, now), Outcome::Waits(Vec::new()));
    }
}

/// Guards against a limit below the largest body of the configuration.
#[test]
fn a_single_body_is_granted_whatever_the_limit() {
    let mut memory = CallerMemory::new(CallerMemoryLimits { limit: MIB, ..LIMITS });
    let now = Instant::now();
    let id = memory.open(address(1), now);
    for _ in 0..4 {
        assert_eq!(memory.reserve(id, MIB, now), Outcome::Granted);
    }
}

/// Guards against one address that takes the memory of all others.
#[test]
fn an_address_leaves_memory_to_others_when_it_is_short() {
    let mut memory = CallerMemory::new(LIMITS);
    let now = Instant::now();
    let granted = |memory: &mut CallerMemory, number| {
        let ids: Vec<_> = (0..16).map(|_| memory.open(address(number), now)).collect();
        ids.iter().filter(|id| memory.reserve(**id, 2 * MIB, now) == Outcome::Granted).count()
    };
    assert_eq!(granted(&mut memory, 1), 12);
    assert_eq!(granted(&mut memory, 2), 2);
}

/// Load pattern: a crowd with heads that never end reconnects at once, beside callers that keep their
/// connections and new ones that send their heads as soon as they are connected.
#[test]
fn connections_without_a_request_make_room_for_others() {
    const LIMIT: usize = 64;
    let mut table = ConnectionTable::new(LIMIT, 256 * KIB);
    let start = Instant::now();
    let kept: Vec<_> = (0..8)
        .map(|number| {
            // Every other one shares the address of the crowd.
            let address = address(number % 2 * 100);
            let (id, _) = table.open(address, start).expect("there is room");
            table.begin_request(id);
            table.end_request(id, start);
            id
        })
        .collect();
    let mut closed = Vec::new();
    for step in 0..10_000 {
        let now = start + Duration::from_millis(step);
        let (id, closing) = table.open(address(100), now).expect("the crowd's own give way");
        closing.into_iter().for_each(|id| {
            table.close(id);
            closed.push(id);
        });
        assert_eq!(table.record_arrival(id, 1, now), None);
        if step % 20 == 0 {
            let (id, closing) = table.open(address(50), now).expect("the crowd's give way");
            closing.into_iter().for_each(|id| table.close(id));
            table.record_arrival(id, 200, now);
            table.begin_request(id);
            table.end_request(id, now);
            table.close(id);
        }
        assert!(table.len() <= LIMIT);
    }
    assert!(closed.len() > 5_000);
    assert!(kept.iter().all(|id| !closed.contains(id)));
}

#[test]
fn heads_are_bounded_in_bytes_and_time() {
    let mut table = ConnectionTable::new(64, 256 * KIB);
    let start = Instant::now();
    let ids: Vec<_> = (0..20)
        .map(|number| table.open(address(number), start).expect("there is room").0)
        .collect();
    let closed: Vec<_> =
        ids.iter().filter_map(|id| table.record_arrival(*id, 15 * KIB, start)).collect();
    assert!(table.head_bytes() <= 256 * KIB);
    assert_eq!(closed.len(), 3);
    let timeout = Duration::from_secs(3);
    assert!(table.overdue(timeout, start + timeout).is_empty());
    let overdue = table.overdue(timeout, start + timeout + Duration::from_millis(1));
    assert_eq!(overdue.len(), 17);
    assert_eq!(table.head_bytes(), 0);
}

/// Guards against answers that are cut off since the connection looks idle.
#[test]
fn a_connection_with_an_answer_to_send_does_not_give_way() {
    let mut table = ConnectionTable::new(2, KIB);
    let now = Instant::now();
    let (serving, _) = table.open(address(1), now).expect("there is room");
    table.begin_request(serving);
    let (blocked, _) = table.open(address(1), now).expect("there is room");
    table.set_blocked(blocked, true);
    assert_matches!(table.open(address(2), now), None);
    table.set_blocked(blocked, false);
    assert_matches!(table.open(address(2), now), Some((_, Some(closing))) if closing == blocked);
}
