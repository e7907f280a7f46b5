//! The holder's view of its lease on groups of servers.
//!
//! The holder stops acting some time before the key-value service can give the lease to another
//! process. A process that is paused for longer than that margin can still act too late, which is
//! why orders carry fencing numbers; see `docs/DESIGN.md`.

use std::sync::{Arc, LazyLock};
use std::time::{Duration, Instant};

use crate::state_chart::{StateChart, StateMachine};

static CHART: LazyLock<Arc<StateChart>> = LazyLock::new(|| {
    StateChart::parse(include_str!("../charts/lease.json"))
        .expect("the embedded state chart is valid")
});

/// A lease that this process holds or wants.
#[derive(Debug, Clone)]
pub struct Lease {
    machine: StateMachine,
    time_to_live: Duration,
    may_act_until: Option<Instant>,
    /// Before this time, the service cannot have given the lease to another process.
    held_until: Option<Instant>,
}

impl Lease {
    /// The percentage of the time to live after which the holder stops acting.
    const ACT_PERCENT_OF_TTL: u32 = 70;

    /// Creates a lease that is not held.
    pub fn new(time_to_live: Duration) -> Self {
        Self {
            machine: StateMachine::new(CHART.clone()),
            time_to_live,
            may_act_until: None,
            held_until: None,
        }
    }

    /// Records that a request for the lease was sent.
    pub fn on_acquire_sent(&mut self) {
        self.fire("acquire");
    }

    /// Records that the lease was acquired by a request sent at `sent_at`.
    pub fn on_acquired(&mut self, sent_at: Instant) {
        self.fire("won");
        self.extend(sent_at);
    }

    /// Records that another process has the lease, or that the key-value service did not respond.
    pub fn on_lost(&mut self) {
        let event = if self.machine.state() == "held" { "lapsed" } else { "lost" };
        self.fire(event);
        self.may_act_until = None;
        self.held_until = None;
    }

    /// Records that the lease was renewed by a request sent at `sent_at`.
    pub fn on_renewed(&mut self, sent_at: Instant) {
        self.fire("renewed");
        self.extend(sent_at);
    }

    /// Returns whether the holder may act.
    pub fn may_act(&self, now: Instant) -> bool {
        self.may_act_until.is_some_and(|until| now < until)
    }

    /// Returns whether the service may have given the lease to another process since it was last
    /// renewed.
    pub fn may_have_expired(&self, now: Instant) -> bool {
        self.held_until.is_none_or(|until| now >= until)
    }

    /// Returns how long the holder may act after it has sent a renewal.
    pub fn act_time(time_to_live: Duration) -> Duration {
        time_to_live * Self::ACT_PERCENT_OF_TTL / 100
    }

    /// Returns whether the lease is held as far as known; it may have lapsed in the meantime.
    pub fn is_held(&self) -> bool {
        self.machine.state() == "held"
    }

    fn extend(&mut self, sent_at: Instant) {
        self.may_act_until = Some(sent_at + Self::act_time(self.time_to_live));
        self.held_until = Some(sent_at + self.time_to_live);
    }

    fn fire(&mut self, event: &str) {
        // A response that arrives after the lease was given up does not change the state.
        let _ = self.machine.fire(event);
    }
}
