//! State charts in files, checked when they are loaded and then interpreted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Deserialize;
use thiserror::Error;

use crate::Name;

/// A state chart: states, and for each the events that it takes.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateChart {
    /// The name of the chart, for messages.
    pub name: Name,
    /// The state in which every instance starts.
    pub initial: Name,
    /// Target states by state and event; a state without events is final.
    pub states: BTreeMap<Name, BTreeMap<Name, Name>>,
}

/// Why a chart is refused, or an event has no place in it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StateChartError {
    /// The file is no chart.
    #[error("not a state chart: {0}")]
    Malformed(String),
    /// An event leads to a state that does not exist.
    #[error("chart {chart}: event {event} of state {state} leads to unknown state {target}")]
    UnknownTarget {
        /// The chart's name.
        chart: Name,
        /// The state that takes the event.
        state: Name,
        /// The event.
        event: Name,
        /// The missing target.
        target: Name,
    },
    /// No events lead to a state.
    #[error("chart {chart}: state {state} cannot be reached")]
    Unreachable {
        /// The chart's name.
        chart: Name,
        /// The state that nothing leads to.
        state: Name,
    },
    /// The event has no place in the present state.
    #[error("chart {chart}: state {state} takes no event {event}")]
    UnexpectedEvent {
        /// The chart's name.
        chart: Name,
        /// The present state.
        state: Name,
        /// The event that came.
        event: String,
    },
}

impl StateChart {
    /// Reads a chart from JSON and checks it.
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
        let mut open = vec![self.initial.clone()];
        while let Some(state) = open.pop() {
            let targets = self.states.get(&state).into_iter().flat_map(BTreeMap::values);
            if reached.insert(state.clone()) {
                open.extend(targets.cloned());
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

/// One instance of a chart.
#[derive(Debug, Clone)]
pub struct StateMachine {
    chart: Arc<StateChart>,
    state: Name,
}

impl StateMachine {
    /// Starts an instance in the chart's initial state.
    pub fn new(chart: Arc<StateChart>) -> Self {
        let state = chart.initial.clone();
        Self { chart, state }
    }

    /// Returns the present state.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Returns whether the present state takes no more events.
    pub fn is_final(&self) -> bool {
        self.chart.states[&self.state].is_empty()
    }

    /// Takes an event and moves to its target.
    ///
    /// # Errors
    ///
    /// Returns [`StateChartError::UnexpectedEvent`], and stays, where the state does not take the event.
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
