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

/// How long a server that refused a request as full gets no further ones of that rank or below.
const FULL_PAUSE: Duration = Duration::from_millis(150);

/// How long a server's word that it does not hold a model goes before other news.
const DENIAL_LIFETIME: Duration = Duration::from_millis(1_500);

/// Failure rates and pauses by server.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    servers: HashMap<Name, Health>,
    /// Models that servers denied to hold, with the incarnation that was believed to be there.
    denials: HashMap<(Name, Name), (u64, Instant)>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Health {
    failure_rate: f64,
    unreachable_in_a_row: u32,
    paused_until: Option<Instant>,
    last_heard: Option<Instant>,
    /// Until when the server is taken for full, and the most urgent rank that it refused.
    full: Option<(Instant, u8)>,
}

impl HealthTracker {
    /// Takes the outcome of a request.
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

    /// Notes that the server refused a request of this rank for want of room.
    pub fn record_full(&mut self, server: &Name, rank: u8, now: Instant) {
        let health = self.servers.entry(server.clone()).or_default();
        let most_urgent = match health.full {
            Some((until, refused)) if now < until => refused.min(rank),
            _ => rank,
        };
        health.full = Some((now + FULL_PAUSE, most_urgent));
    }

    /// Returns whether the server is taken for full by requests of this rank.
    pub fn is_full(&self, server: &str, rank: u8, now: Instant) -> bool {
        let full = self.servers.get(server).and_then(|health| health.full);
        full.is_some_and(|(until, refused)| now < until && rank >= refused)
    }

    /// Notes that the server said that it does not hold a model or an adapter: it may have started anew,
    /// which the registry tells only with its next heartbeat.
    pub fn record_not_resident(
        &mut self,
        server: &Name,
        copy: Name,
        incarnation: u64,
        now: Instant,
    ) {
        self.denials.retain(|_, (_, until)| now < *until);
        self.denials.insert((server.clone(), copy), (incarnation, now + DENIAL_LIFETIME));
    }

    /// Returns whether the server denied to hold the model or adapter and nothing newer is known.
    pub fn is_not_resident(
        &self,
        server: &Name,
        copy: &Name,
        incarnation: u64,
        now: Instant,
    ) -> bool {
        let denial = self.denials.get(&(server.clone(), copy.clone()));
        denial.is_some_and(|(denied, until)| *denied == incarnation && now < *until)
    }

    /// Notes that the server sent something.
    pub fn record_activity(&mut self, server: &Name, now: Instant) {
        self.servers.entry(server.clone()).or_default().last_heard = Some(now);
    }

    /// Returns whether the server sent something to anybody here since then.
    pub fn was_active_since(&self, server: &str, since: Instant) -> bool {
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
