//! Tests of the request lifecycle: the outcome that a caller may be told, and retries.

use proptest::prelude::*;
use savoryport_core::request_lifecycle::{Outcome, RequestEvent, RequestLifecycle};

use RequestEvent::{
    Broken, ConnectFailed, Connected, Finished, FirstByte, GiveUp, Rejected, Start,
};

fn outcome_after(repeatable: bool, events: &[RequestEvent]) -> Option<Outcome> {
    let mut lifecycle = RequestLifecycle::new(repeatable);
    for event in events {
        lifecycle.on_event(*event).unwrap();
    }
    lifecycle.outcome()
}

#[test]
fn outcomes_of_the_usual_courses() {
    let cases: [(&[RequestEvent], Outcome); 8] = [
        (&[GiveUp], Outcome::NotRun),
        (&[Start, ConnectFailed, GiveUp], Outcome::NotRun),
        (&[Start, Connected, Rejected, GiveUp], Outcome::NotRun),
        (&[Start, Connected, FirstByte, Finished], Outcome::Done),
        (&[Start, Connected, Broken, GiveUp], Outcome::Unknown),
        (&[Start, Connected, FirstByte, Broken, GiveUp], Outcome::Unknown),
        // A later rejection does not change that the first server may have run the request.
        (&[Start, Connected, Broken, Start, Connected, Rejected, GiveUp], Outcome::Unknown),
        (&[Start, Connected, Broken, Start, ConnectFailed, GiveUp], Outcome::Unknown),
    ];
    for (events, expected) in cases {
        assert_eq!(outcome_after(true, events), Some(expected), "{events:?}");
    }
}

#[test]
fn a_request_in_doubt_is_retried_only_if_repeatable_at_arrival_and_now() {
    for (at_arrival, now, expected) in
        [(true, true, true), (true, false, false), (false, true, false), (false, false, false)]
    {
        let mut lifecycle = RequestLifecycle::new(at_arrival);
        for event in [Start, Connected, Broken] {
            lifecycle.on_event(event).unwrap();
        }
        assert_eq!(
            lifecycle.may_retry(now),
            expected,
            "repeatable at arrival {at_arrival}, now {now}"
        );
    }
}

proptest! {
    /// For any sequence of events, the outcome "not run" is only given if no server may have run the
    /// request, and a request that is not repeatable is never sent again after it may have run.
    #[test]
    fn not_run_is_exact(
        events in prop::collection::vec(0..8_usize, 0..30), repeatable: bool
    ) {
        let mut lifecycle = RequestLifecycle::new(repeatable);
        let (mut is_connecting, mut is_sent, mut may_have_run) = (false, false, false);
        for event in events.into_iter().map(|at| RequestEvent::ALL[at]) {
            // Callers start a request only if the lifecycle allows it.
            if event == Start && !lifecycle.may_retry(repeatable) {
                continue;
            }
            if lifecycle.on_event(event).is_err() {
                continue;
            }
            match event {
                Start => is_connecting = true,
                Connected => {
                    prop_assert!(is_connecting);
                    prop_assert!(repeatable || !may_have_run);
                    is_sent = true;
                }
                Rejected => is_sent = false,
                FirstByte | Broken | Finished => may_have_run |= is_sent,
                ConnectFailed | GiveUp => {}
            }
        }
        if lifecycle.outcome() == Some(Outcome::NotRun) {
            prop_assert!(!may_have_run);
        }
    }
}
