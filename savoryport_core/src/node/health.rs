//! The health of each server, from the outcomes of requests alone.
//!
//! Status checks can be wrong either way, so only the outcomes of requests count: a server that
//! resets or stalls connections, or fails part of its requests, gets less work although its status
//! check passes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Name;

/// The weight of the newest outcome in the running failure rate.
const NEWEST_WEIGHT: f64 = 0.2;

/// The first pause after a server did not answer at all. Each further failure in a row doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// The longest pause. Requests may try the server again after it.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// The outcome of one request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server answered.
    Answered,
    /// The server answered with an error of its own.
    Failed,
    /// The server could not be reached, closed the connection early or stopped sending.
    Unreachable,
}

/// The time for which a server that refused a request because it is full gets no further requests
/// of that rank or of less urgent ones.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// The time for which a server's statement that a model is not resident takes precedence over other
/// information.
const NOT_RESIDENT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Failure rates, pauses and recent refusals, by server.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    servers: HashMap<Name, Health>,
    /// Models and adapters that servers stated not to hold, by server and copy. The value is the
    /// server's incarnation as known then, and the time until which the statement counts.
    not_resident: HashMap<(Name, Name), (u64, Instant)>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Health {
    failure_rate: f64,
    unreachable_in_a_row: u32,
    paused_until: Option<Instant>,
    last_active: Option<Instant>,
    /// The time until which the server counts as full, and the most urgent rank that it refused.
    full: Option<(Instant, u8)>,
}

impl HealthTracker {
    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, server: &Name, outcome: ServerOutcome, now: Instant) {
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

    /// Records that the server refused a request of this rank because it is full.
    pub fn record_full(&mut self, server: &Name, rank: u8, now: Instant) {
        let health = self.servers.entry(server.clone()).or_default();
        let most_urgent = match health.full {
            Some((until, refused)) if now < until => refused.min(rank),
            _ => rank,
        };
        health.full = Some((now + FULL_PAUSE, most_urgent));
    }

    /// Returns whether the server counts as full for requests of this rank.
    pub fn is_full(&self, server: &str, rank: u8, now: Instant) -> bool {
        let full = self.servers.get(server).and_then(|health| health.full);
        full.is_some_and(|(until, refused)| now < until && rank >= refused)
    }

    /// Records that the server stated that it does not hold a model or an adapter. It may have
    /// restarted, which the registry shows only with the server's next heartbeat.
    pub fn record_not_resident(
        &mut self,
        server: &Name,
        copy: Name,
        incarnation: u64,
        now: Instant,
    ) {
        self.not_resident.retain(|_, (_, until)| now < *until);
        self.not_resident
            .insert((server.clone(), copy), (incarnation, now + NOT_RESIDENT_LIFETIME));
    }

    /// Returns whether this incarnation of the server recently stated that it does not hold the
    /// model or adapter.
    pub fn is_not_resident(
        &self,
        server: &Name,
        copy: &Name,
        incarnation: u64,
        now: Instant,
    ) -> bool {
        let statement = self.not_resident.get(&(server.clone(), copy.clone()));
        statement.is_some_and(|(stated_by, until)| *stated_by == incarnation && now < *until)
    }

    /// Records that the server sent data.
    pub fn record_activity(&mut self, server: &Name, now: Instant) {
        self.servers.entry(server.clone()).or_default().last_active = Some(now);
    }

    /// Returns whether the server sent data for any request of this node since then.
    pub fn was_active_since(&self, server: &str, since: Instant) -> bool {
        let last_active = self.servers.get(server).and_then(|health| health.last_active);
        last_active.is_some_and(|at| at > since)
    }

    /// Returns whether the server is paused after it did not answer.
    pub fn is_paused(&self, server: &str, now: Instant) -> bool {
        let paused_until = self.servers.get(server).and_then(|health| health.paused_until);
        paused_until.is_some_and(|until| now < until)
    }

    /// Returns the running average of the share of requests that failed at the server.
    pub fn failure_rate(&self, server: &str) -> f64 {
        self.servers.get(server).map_or(0.0, |health| health.failure_rate)
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }
}
