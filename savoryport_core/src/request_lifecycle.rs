//! The life of one request, and what its caller may be told about it.
//!
//! The chart `charts/attempt.json` keeps apart what never left this process, what a server may
//! have seen, and what was in doubt once: a request that was in doubt is never reported as not run.

use std::sync::{Arc, LazyLock};

use crate::state_chart::{StateChart, StateChartError, StateMachine};

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/attempt.json"))
        .expect("the embedded chart is checked")
});

key! {
    /// What the caller is told about its request.
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// The whole answer was delivered.
        Done,
        /// No backend server has begun the request, and none will.
        NotRun,
        /// The request may have run, in part or whole.
        Unknown,
    }
}

impl Outcome {
    /// Returns the word used in headers and bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

key! {
    /// What happened to the request.
    pub enum RequestEvent {
        /// A backend server was chosen.
        Start,
        /// A connection to it stands; the request's bytes leave next.
        Connected,
        /// No connection came to stand; nothing was handed over.
        ConnectFailed,
        /// The backend server itself refused the request before starting it.
        Rejected,
        /// The first byte of the answer arrived.
        FirstByte,
        /// The answer is complete.
        Finished,
        /// The connection broke, fell silent or ended early after the request was handed over.
        Broken,
        /// The request is given up.
        GiveUp,
    }
}

impl RequestEvent {
    /// Every event, for walks over the chart.
    pub const ALL: [Self; 8] = [
        Self::Start,
        Self::Connected,
        Self::ConnectFailed,
        Self::Rejected,
        Self::FirstByte,
        Self::Finished,
        Self::Broken,
        Self::GiveUp,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Connected => "connected",
            Self::ConnectFailed => "connect_failed",
            Self::Rejected => "rejected",
            Self::FirstByte => "first_byte",
            Self::Finished => "finished",
            Self::Broken => "broken",
            Self::GiveUp => "give_up",
        }
    }
}

/// One request from its arrival to its final answer.
#[derive(Debug, Clone)]
pub struct RequestLifecycle {
    machine: StateMachine,
    repeatable: bool,
}

impl RequestLifecycle {
    /// Starts with a request that waits in the queue.
    ///
    /// `repeatable` holds the table's word at the arrival; [`RequestLifecycle::may_retry`] also asks the
    /// table in force at the retry, since an operator may have changed it meanwhile.
    pub fn new(repeatable: bool) -> Self {
        Self { machine: StateMachine::new(CHART.clone()), repeatable }
    }

    /// Takes an event.
    ///
    /// # Errors
    ///
    /// Returns an error where the event has no place in the present state.
    pub fn on_event(&mut self, event: RequestEvent) -> Result<(), StateChartError> {
        self.machine.fire(event.name()).map(drop)
    }

    /// Returns whether the request may be sent to a server (again).
    pub fn may_retry(&self, repeatable_now: bool) -> bool {
        match self.machine.state() {
            "queued" => true,
            "in_doubt" => self.repeatable && repeatable_now,
            _ => false,
        }
    }

    /// Returns what the caller may be told, once the request is over.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.machine.state() {
            "done" => Some(Outcome::Done),
            "not_run" => Some(Outcome::NotRun),
            "unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}
