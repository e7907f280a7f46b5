//! State charts read from files, validated when they are parsed and then interpreted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Deserialize;
use thiserror::Error;

use crate::Name;

/// A state chart: its states, and for each state the events that it accepts.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChart {
    /// The name of the chart, used in error messages.
    pub name: Name,
    /// The state in which every state machine starts.
    pub initial: Name,
    /// The target state for each state and event. A state without events is final.
    pub states: BTreeMap<Name, BTreeMap<Name, Name>>,
}

/// Why a chart is invalid, or why an event was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StateChartError {
    /// The text is not a state chart.
    #[error("not a state chart: {0}")]
    Malformed(String),
    /// An event leads to a state that does not exist.
    #[error("chart {chart}: event {event} of state {state} leads to unknown state {target}")]
    UnknownTarget {
        /// The chart's name.
        chart: Name,
        /// The state that accepts the event.
        state: Name,
        /// The event.
        event: Name,
        /// The target that does not exist.
        target: Name,
    },
    /// A state cannot be reached from the initial state.
    #[error("chart {chart}: state {state} cannot be reached")]
    Unreachable {
        /// The chart's name.
        chart: Name,
        /// The unreachable state.
        state: Name,
    },
    /// The current state does not accept the event.
    #[error("chart {chart}: state {state} does not accept event {event}")]
    UnexpectedEvent {
        /// The chart's name.
        chart: Name,
        /// The current state.
        state: Name,
        /// The refused event.
        event: String,
    },
}

impl StateChart {
    /// Parses a chart from JSON and validates it.
    ///
    /// # Errors
    ///
    /// Returns an error for a malformed chart, an unknown target or an unreachable state.
    pub fn parse(text: &str) -> Result<Arc<Self>, StateChartError> {
        let chart: Self = serde_json::from_str(text)
            .map_err(|err| StateChartError::Malformed(err.to_string()))?;
        chart.check_targets()?;
        chart.check_reachable()?;
        Ok(Arc::new(chart))
    }

    fn check_targets(&self) -> Result<(), StateChartError> {
        for (state, events) in &self.states {
            for (event, target) in events {
                if !self.states.contains_key(target) {
                    return Err(StateChartError::UnknownTarget {
                        chart: self.name.clone(),
                        state: state.clone(),
                        event: event.clone(),
                        target: target.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    fn check_reachable(&self) -> Result<(), StateChartError> {
        let mut reached = BTreeSet::new();
        let mut to_visit = vec![self.initial.clone()];
        while let Some(state) = to_visit.pop() {
            let targets = self.states.get(&state).into_iter().flat_map(BTreeMap::values);
            if reached.insert(state.clone()) {
                to_visit.extend(targets.cloned());
            }
        }
        match self.states.keys().find(|state| !reached.contains(*state)) {
            Some(state) => {
                Err(StateChartError::Unreachable { chart: self.name.clone(), state: state.clone() })
            }
            None => Ok(()),
        }
    }
}

/// An instance of a state chart with its current state.
#[derive(Debug, Clone)]
pub struct StateMachine {
    chart: Arc<StateChart>,
    state: Name,
}

impl StateMachine {
    /// Creates an instance in the chart's initial state.
    pub fn new(chart: Arc<StateChart>) -> Self {
        let state = chart.initial.clone();
        Self { chart, state }
    }

    /// Returns the current state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Returns whether the current state accepts no events.
    pub fn is_final(&self) -> bool {
        self.chart.states[&self.state].is_empty()
    }

    /// Fires an event and moves to its target state.
    ///
    /// # Errors
    ///
    /// Returns [`StateChartError::UnexpectedEvent`] and keeps the current state if that state does
    /// not accept the event.
    pub fn fire(&mut self, event: &str) -> Result<&str, StateChartError> {
        match self.chart.states[&self.state].get(event) {
            Some(target) => {
                self.state = target.clone();
                Ok(&self.state)
            }
            None => Err(StateChartError::UnexpectedEvent {
                chart: self.chart.name.clone(),
                state: self.state.clone(),
                event: event.to_owned(),
            }),
        }
    }
}
