//! State charts: loading, refusing and walking them.

use assert_matches::assert_matches;
use savoryport_core::chart::{Chart, ChartError, Machine};

const CHARTS: [&str; 2] =
    [include_str!("../charts/attempt.json"), include_str!("../charts/lease.json")];

#[test]
fn every_transition_of_every_chart_can_be_walked() {
    for text in CHARTS {
        let chart = Chart::parse(text).unwrap();
        let mut walked = 0;
        for (state, events) in &chart.states {
            for (event, target) in events {
                let mut machine = machine_in(&chart, state);
                assert_eq!(machine.fire(event).unwrap(), &**target);
                walked += 1;
            }
        }
        assert!(walked > 0);
    }
}

#[test]
fn an_event_without_a_place_is_refused_and_changes_nothing() {
    let chart = Chart::parse(CHARTS[0]).unwrap();
    let mut machine = Machine::new(chart);
    assert_matches!(machine.fire("finished"), Err(ChartError::UnexpectedEvent { .. }));
    assert_eq!(machine.state(), "queued");
}

#[test]
fn a_chart_with_an_unreachable_state_is_refused() {
    let text = r#"{"name":"c","initial":"a","states":{"a":{},"b":{}}}"#;
    assert_matches!(Chart::parse(text), Err(ChartError::Unreachable { state, .. }) if &*state == "b");
}

#[test]
fn a_chart_with_an_unknown_target_is_refused() {
    let text = r#"{"name":"c","initial":"a","states":{"a":{"go":"z"}}}"#;
    assert_matches!(Chart::parse(text), Err(ChartError::UnknownTarget { .. }));
}

#[test]
fn a_chart_with_an_unknown_field_is_refused() {
    assert_matches!(Chart::parse(r#"{"name":"c","x":1}"#), Err(ChartError::Malformed(_)));
}

/// Finds a path of events from the initial state, breadth first.
fn machine_in(chart: &std::sync::Arc<Chart>, state: &str) -> Machine {
    let mut open = std::collections::VecDeque::from([Machine::new(chart.clone())]);
    let mut seen = std::collections::BTreeSet::new();
    while let Some(machine) = open.pop_front() {
        if machine.state() == state {
            return machine;
        }
        if seen.insert(machine.state().to_owned()) {
            for event in chart.states[machine.state()].keys() {
                let mut next = machine.clone();
                next.fire(event).unwrap();
                open.push_back(next);
            }
        }
    }
    panic!("state {state} is not reachable");
}
