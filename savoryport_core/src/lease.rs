//! Leases on groups of servers, as their holder sees them.
//!
//! The holder stops acting some time before the key-value service can give the lease to somebody
//! else. A pause can still outlast that, which is why orders carry fencing numbers; see
//! `docs/DESIGN.md`.

use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use crate::state_chart::{StateChart, StateMachine};

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/lease.json")).expect("the embedded chart is checked")
});

/// A lease that this process holds or wants.
#[derive(Debug, Clone)]
pub struct Lease {
    machine: StateMachine,
    time_to_live: Duration,
    good_until: Option<Instant>,
}

impl Lease {
    /// The share of the time to live after which the holder no longer acts, in hundredths.
    const ACTING_SHARE_PERCENT: u32 = 70;

    /// Starts without the lease.
    pub fn new(time_to_live: Duration) -> Self {
        Self { machine: StateMachine::new(CHART.clone()), time_to_live, good_until: None }
    }

    /// Notes that a request for the lease was sent.
    pub fn on_acquire_sent(&mut self) {
        self.fire("acquire");
    }

    /// Notes that the lease was won by a request sent at `asked_at`.
    pub fn on_acquired(&mut self, asked_at: Instant) {
        self.fire("won");
        self.extend(asked_at);
    }

    /// Notes that somebody else has the lease, or that the service did not answer.
    pub fn on_lost(&mut self) {
        let event = if self.machine.state() == "held" { "lapsed" } else { "lost" };
        self.fire(event);
        self.good_until = None;
    }

    /// Notes a renewal that was sent at `asked_at`.
    pub fn on_renewed(&mut self, asked_at: Instant) {
        self.fire("renewed");
        self.extend(asked_at);
    }

    /// Returns whether the holder may act.
    pub fn may_act(&self, now: Instant) -> bool {
        self.good_until.is_some_and(|until| now < until)
    }

    /// Returns whether the lease is, or was until a moment ago, held.
    pub fn is_held(&self) -> bool {
        self.machine.state() == "held"
    }

    fn extend(&mut self, asked_at: Instant) {
        let acting = self.time_to_live * Self::ACTING_SHARE_PERCENT / 100;
        self.good_until = Some(asked_at + acting);
    }

    fn fire(&mut self, event: &str) {
        // An answer that comes after the lease was given up changes nothing.
        let _ = self.machine.fire(event);
    }
}
