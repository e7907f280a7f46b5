//! The lifecycle of one request, and the outcome that its caller may be told.
//!
//! The state chart `charts/attempt.json` distinguishes requests that were never sent, requests that
//! a server may have seen, and requests whose execution was in doubt at least once. A request that
//! was ever in doubt is never reported as not run.

use std::sync::{Arc, LazyLock};

use crate::state_chart::{StateChart, StateChartError, StateMachine};

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/attempt.json"))
        .expect("the embedded state chart is valid")
});

key! {
    /// The outcome of a request, as reported to its caller.
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// The whole response was delivered.
        Done,
        /// No backend server has started the request, and none will.
        NotRun,
        /// The request may have run, partly or completely.
        Unknown,
    }
}

impl Outcome {
    /// Returns the name used in headers and bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

key! {
    /// An event in the lifecycle of a request.
    pub enum RequestEvent {
        /// A backend server was chosen.
        Start,
        /// A connection to it was established; the request is sent next.
        Connected,
        /// No connection could be established; nothing was sent.
        ConnectFailed,
        /// The backend server refused the request before starting it.
        Rejected,
        /// The first byte of the response arrived.
        FirstByte,
        /// The response is complete.
        Finished,
        /// The connection broke, timed out or ended early after the request was sent.
        Broken,
        /// The request is abandoned.
        GiveUp,
    }
}

impl RequestEvent {
    /// Every event, for tests that walk the chart.
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

/// The state of one request from its arrival to its final outcome, over all attempts.
#[derive(Debug, Clone)]
pub struct RequestLifecycle {
    machine: StateMachine,
    repeatable: bool,
}

impl RequestLifecycle {
    /// Creates the lifecycle of a request that is queued.
    ///
    /// `repeatable` is the table's value when the request arrives; [`RequestLifecycle::may_retry`]
    /// also takes the value at the time of the retry, since an operator may have changed it.
    pub fn new(repeatable: bool) -> Self {
        Self { machine: StateMachine::new(CHART.clone()), repeatable }
    }

    /// Handles an event.
    ///
    /// # Errors
    ///
    /// Returns an error if the current state does not accept the event.
    pub fn on_event(&mut self, event: RequestEvent) -> Result<(), StateChartError> {
        self.machine.fire(event.name()).map(drop)
    }

    /// Returns whether the request may be sent to a server, for the first time or again.
    pub fn may_retry(&self, repeatable_now: bool) -> bool {
        match self.machine.state() {
            "queued" => true,
            "in_doubt" => self.repeatable && repeatable_now,
            _ => false,
        }
    }

    /// Returns the outcome that the caller may be told, once the request has ended.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.machine.state() {
            "done" => Some(Outcome::Done),
            "not_run" => Some(Outcome::NotRun),
            "unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}
