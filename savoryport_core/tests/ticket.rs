//! Tests that a request with a ticket starts at most once, also when its home is restarted.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use savoryport_core::ticket::{MAX_STARTED_PER_EPOCH, Ticket, TicketAdmission, TicketIssuer};

const EPOCH: Duration = Duration::from_secs(60);

fn new_issuer(incarnation: u64, now: Instant) -> TicketIssuer {
    TicketIssuer::new("vm-1".into(), incarnation, EPOCH, now)
}

#[test]
fn a_ticket_starts_once_and_only_at_its_home() {
    let now = Instant::now();
    let mut issuer = new_issuer(1, now);
    let ticket = issuer.issue(now);
    assert_eq!(issuer.admit(&ticket, now), TicketAdmission::Start);
    assert_eq!(issuer.admit(&ticket, now), TicketAdmission::AlreadyStarted);
    let mut other = TicketIssuer::new("vm-2".into(), 9, EPOCH, now);
    assert_eq!(other.admit(&ticket, now), TicketAdmission::OtherHome);
    let mut successor = new_issuer(2, now);
    assert_eq!(successor.admit(&ticket, now), TicketAdmission::TooOld);
}

#[test]
fn a_ticket_is_refused_once_its_use_may_have_been_discarded() {
    let start = Instant::now();
    let mut issuer = new_issuer(1, start);
    let ticket = issuer.issue(start);
    assert_eq!(issuer.admit(&ticket, start + EPOCH * 2), TicketAdmission::Start);
    assert_eq!(issuer.admit(&ticket, start + EPOCH * 2), TicketAdmission::AlreadyStarted);
    assert_eq!(issuer.admit(&ticket, start + EPOCH * 3), TicketAdmission::TooOld);
}

#[test]
fn a_ticket_of_a_future_epoch_is_refused() {
    let now = Instant::now();
    let forged = Ticket { home: "vm-1".into(), incarnation: 1, epoch: 9, number: 1 };
    assert_eq!(new_issuer(1, now).admit(&forged, now), TicketAdmission::TooOld);
}

#[test]
fn a_ticket_is_refused_before_the_start_when_its_epoch_is_full() {
    let now = Instant::now();
    let mut issuer = new_issuer(1, now);
    for _ in 0..MAX_STARTED_PER_EPOCH {
        let ticket = issuer.issue(now);
        assert_eq!(issuer.admit(&ticket, now), TicketAdmission::Start);
    }
    let ticket = issuer.issue(now);
    assert_eq!(issuer.admit(&ticket, now), TicketAdmission::Full);
    issuer.release(&Ticket { number: 1, ..ticket.clone() });
    assert_eq!(issuer.admit(&ticket, now), TicketAdmission::Start);
}

proptest! {
    #[test]
    fn a_ticket_is_parsed_from_its_own_text(
        home in "[a-z0-9.-]{1,20}", incarnation: u64, epoch: u64, number: u64
    ) {
        let ticket = Ticket { home: home.into(), incarnation, epoch, number };
        prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
    }

    #[test]
    fn any_text_is_a_ticket_or_refused(text in ".{0,60}") {
        let _ = text.parse::<Ticket>();
    }

    /// Tickets that are sent repeatedly at any time, also after restarts of their home, start a
    /// request at most once.
    #[test]
    fn at_most_one_start(
        steps in prop::collection::vec((0..10_u8, 0..8_usize, 0..90_u64), 1..200)
    ) {
        let mut now = Instant::now();
        let (mut incarnation, mut issuer) = (1, new_issuer(1, now));
        let mut tickets: Vec<Ticket> = Vec::new();
        let mut starts: HashMap<String, u32> = HashMap::new();
        for (kind, index, seconds) in steps {
            match kind {
                0..3 => tickets.push(issuer.issue(now)),
                3 => now += Duration::from_secs(seconds),
                4 => {
                    incarnation += 1;
                    issuer = new_issuer(incarnation, now);
                }
                _ if tickets.is_empty() => {}
                _ => {
                    let ticket = &tickets[index % tickets.len()];
                    if issuer.admit(ticket, now) == TicketAdmission::Start {
                        *starts.entry(ticket.to_string()).or_default() += 1;
                    }
                }
            }
        }
        prop_assert!(starts.values().all(|count| *count == 1), "{:?}", starts);
    }
}
