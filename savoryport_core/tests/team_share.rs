//! Teams that share servers which are short of capacity.

use std::time::{Duration, Instant};

use savoryport_core::node::admission::{AdmissionDecision, AdmissionInput, decide_admission};
use savoryport_core::node::team_share::TeamShares;

const LIMITS: [Option<Option<f64>>; 3] = [Some(Some(100.0)), Some(Some(300.0)), Some(None)];

/// Records the use of these teams, in units a second, over some time; returns its end.
fn use_for(shares: &mut TeamShares, start: Instant, time: Duration, uses: [f64; 3]) -> Instant {
    let (step, mut now) = (Duration::from_millis(20), start);
    while now < start + time {
        now += step;
        for (team, per_second) in uses.into_iter().enumerate() {
            shares.record(team, per_second * step.as_secs_f64(), now);
        }
    }
    now
}

#[test]
fn a_team_that_uses_more_of_its_limit_than_the_others_is_over_its_share() {
    let mut now = Instant::now();
    let mut shares = TeamShares::default();
    shares.set_limits(LIMITS.into_iter(), now);
    // The team without a limit counts as one of 200 a second.
    now = use_for(&mut shares, now, Duration::from_secs(5), [50.0, 150.0, 100.0]);
    assert!((0..3).all(|team| !shares.is_over_share(team, now)));
    now = use_for(&mut shares, now, Duration::from_secs(1), [50.0, 600.0, 100.0]);
    assert!(shares.is_over_share(1, now));
    assert!(!shares.is_over_share(0, now) && !shares.is_over_share(2, now));
}

#[test]
fn an_unused_share_is_lent_and_returns_within_a_second() {
    let mut now = Instant::now();
    let mut shares = TeamShares::default();
    shares.set_limits(LIMITS.into_iter(), now);
    now = use_for(&mut shares, now, Duration::from_secs(10), [300.0, 0.0, 0.0]);
    assert!(!shares.is_over_share(0, now), "the others use nothing");
    now = use_for(&mut shares, now, Duration::from_secs(1), [300.0, 150.0, 100.0]);
    assert!(shares.is_over_share(0, now), "the others use their shares again");
}

#[test]
fn a_team_over_its_share_has_the_shorter_queue() {
    // Guards against a team's queue that makes the requests of the others late.
    let admits = |queue_ms: u64, is_over_share: bool| {
        let input = AdmissionInput {
            rank: 1,
            expected_latency: Duration::from_millis(queue_ms),
            elapsed: Duration::ZERO,
            queue_time: Duration::ZERO,
            target_latency: Duration::from_secs(1),
            time_left: Duration::from_secs(10),
            is_over_share,
        };
        matches!(decide_admission(&input, 0.5), AdmissionDecision::Admit { .. })
    };
    assert!(admits(590, true) && !admits(610, true));
    assert!(admits(1_200, false));
}
