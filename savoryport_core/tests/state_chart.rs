//! Tests of parsing, rejecting and executing state charts.

use assert_matches::assert_matches;
use savoryport_core::state_chart::{StateChart, StateChartError, StateMachine};

const CHARTS: [&str; 2] =
    [include_str!("../charts/attempt.json"), include_str!("../charts/lease.json")];

#[test]
fn every_transition_of_every_chart_can_be_taken() {
    for text in CHARTS {
        let chart = StateChart::parse(text).unwrap();
        let mut taken = 0;
        for (state, events) in &chart.states {
            for (event, target) in events {
                let mut machine = machine_in(&chart, state);
                assert_eq!(machine.fire(event).unwrap(), &**target);
                taken += 1;
            }
        }
        assert!(taken > 0);
    }
}

#[test]
fn an_unexpected_event_is_refused_and_keeps_the_state() {
    let chart = StateChart::parse(CHARTS[0]).unwrap();
    let mut machine = StateMachine::new(chart);
    assert_matches!(machine.fire("finished"), Err(StateChartError::UnexpectedEvent { .. }));
    assert_eq!(machine.state(), "queued");
}

#[test]
fn a_chart_with_an_unreachable_state_is_refused() {
    let text = r#"{"name":"c","initial":"a","states":{"a":{},"b":{}}}"#;
    assert_matches!(StateChart::parse(text), Err(StateChartError::Unreachable { state, .. }) if &*state == "b");
}

#[test]
fn a_chart_with_an_unknown_target_is_refused() {
    let text = r#"{"name":"c","initial":"a","states":{"a":{"go":"z"}}}"#;
    assert_matches!(StateChart::parse(text), Err(StateChartError::UnknownTarget { .. }));
}

#[test]
fn a_chart_with_an_unknown_field_is_refused() {
    assert_matches!(StateChart::parse(r#"{"name":"c","x":1}"#), Err(StateChartError::Malformed(_)));
}

/// Returns a machine that was brought into the given state, by a breadth-first search.
fn machine_in(chart: &std::sync::Arc<StateChart>, state: &str) -> StateMachine {
    let mut queue = std::collections::VecDeque::from([StateMachine::new(chart.clone())]);
    let mut seen = std::collections::BTreeSet::new();
    while let Some(machine) = queue.pop_front() {
        if machine.state() == state {
            return machine;
        }
        if seen.insert(machine.state().to_owned()) {
            for event in chart.states[machine.state()].keys() {
                let mut next = machine.clone();
                next.fire(event).unwrap();
                queue.push_back(next);
            }
        }
    }
    panic!("state {state} is not reachable");
}
