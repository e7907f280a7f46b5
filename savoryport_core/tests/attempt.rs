//! What a caller may be told about its request.

use proptest::prelude::*;
use savoryport_core::request_lifecycle::{Outcome, RequestEvent, RequestLifecycle};

use RequestEvent::{
    Broken, ConnectFailed, Connected, Finished, FirstByte, GiveUp, Rejected, Start,
};

fn outcome_after(repeatable: bool, events: &[RequestEvent]) -> Option<Outcome> {
    let mut attempt = RequestLifecycle::new(repeatable);
    for event in events {
        attempt.on_event(*event).unwrap();
    }
    attempt.outcome()
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
        // A later refusal does not undo that the first server may have run it.
        (&[Start, Connected, Broken, Start, Connected, Rejected, GiveUp], Outcome::Unknown),
        (&[Start, Connected, Broken, Start, ConnectFailed, GiveUp], Outcome::Unknown),
    ];
    for (events, expected) in cases {
        assert_eq!(outcome_after(true, events), Some(expected), "{events:?}");
    }
}

#[test]
fn a_request_in_doubt_is_repeated_only_if_it_may_be_then_and_now() {
    for (then, now, expected) in
        [(true, true, true), (true, false, false), (false, true, false), (false, false, false)]
    {
        let mut attempt = RequestLifecycle::new(then);
        for event in [Start, Connected, Broken] {
            attempt.on_event(event).unwrap();
        }
        assert_eq!(attempt.may_retry(now), expected, "repeatable then {then}, now {now}");
    }
}

proptest! {
    /// Whatever happens, "not run" is only said when no server may have run the request, and a
    /// request that may not repeat is never handed over twice after it may have run.
    #[test]
    fn not_run_is_exact(events in prop::collection::vec(0..8_usize, 0..30), repeatable: bool) {
        let mut attempt = RequestLifecycle::new(repeatable);
        let (mut is_connecting, mut is_handed, mut may_have_run) = (false, false, false);
        for event in events.into_iter().map(|at| RequestEvent::ALL[at]) {
            // The driver starts a request only where the chart's rules allow it.
            if event == Start && !attempt.may_retry(repeatable) {
                continue;
            }
            if attempt.on_event(event).is_err() {
                continue;
            }
            match event {
                Start => is_connecting = true,
                Connected => {
                    prop_assert!(is_connecting);
                    prop_assert!(repeatable || !may_have_run);
                    is_handed = true;
                }
                Rejected => is_handed = false,
                FirstByte | Broken | Finished => may_have_run |= is_handed,
                ConnectFailed | GiveUp => {}
            }
        }
        if attempt.outcome() == Some(Outcome::NotRun) {
            prop_assert!(!may_have_run);
        }
    }
}
