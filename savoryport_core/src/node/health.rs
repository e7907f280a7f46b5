//! How far each server is trusted, from the outcome of requests alone.
//!
//! Status checks can be wrong either way, so only what requests met counts: servers that reset, hang
//! or fail part of their requests while their status check is good lose their share of the work.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Name;

/// The weight of the newest outcome in the running failure rate.
const NEWEST_WEIGHT: f64 = 0.2;

/// The first pause after a server did not answer at all; doubled with each further time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The longest pause, after which one request tries the server again.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// What came of one request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// It answered.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It could not be reached, broke off or fell silent.
    Unreachable,
}

/// Failure rates and pauses by server.
#[derive(Debug, Clone, Default)]
pub struct HealthBoard {
    servers: HashMap<Name, Health>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Health {
    failure_rate: f64,
    unreachable_in_a_row: u32,
    paused_until: Option<Instant>,
    last_heard: Option<Instant>,
}

impl HealthBoard {
    /// Takes the outcome of a request.
    pub fn note(&mut self, server: &Name, outcome: ServerOutcome, now: Instant) {
        let health = self.servers.entry(server.clone()).or_default();
        let failed = if outcome == ServerOutcome::Answered { 0.0 } else { 1.0 };
        health.failure_rate += (failed - health.failure_rate) * NEWEST_WEIGHT;
        if outcome == ServerOutcome::Unreachable {
            let pause = FIRST_PAUSE * 2_u32.pow(health.unreachable_in_a_row.min(4));
            health.paused_until = Some(now + pause.min(MAX_PAUSE));
            health.unreachable_in_a_row += 1;
        } else {
            health.unreachable_in_a_row = 0;
            health.paused_until = None;
        }
    }

    /// Notes that the server sent something.
    pub fn heard(&mut self, server: &Name, now: Instant) {
        self.servers.entry(server.clone()).or_default().last_heard = Some(now);
    }

    /// Returns whether the server sent something to anybody here since then.
    pub fn was_heard_since(&self, server: &str, since: Instant) -> bool {
        let heard = self.servers.get(server).and_then(|health| health.last_heard);
        heard.is_some_and(|at| at > since)
    }

    /// Returns whether the server is left alone for now.
    pub fn is_paused(&self, server: &str, now: Instant) -> bool {
        let paused = self.servers.get(server).and_then(|health| health.paused_until);
        paused.is_some_and(|until| now < until)
    }

    /// Returns the running share of requests that failed there.
    pub fn failure_rate(&self, server: &str) -> f64 {
        self.servers.get(server).map_or(0.0, |health| health.failure_rate)
    }

    /// Forgets the servers that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }
}
