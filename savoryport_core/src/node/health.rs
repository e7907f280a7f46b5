//! The health of each server, from the outcomes of requests alone.
//!
//! Status checks can be wrong either way, so only the outcomes of requests count: a server that
//! resets or stalls connections, or fails part of its requests, gets less work although its status
//! check passes.
//!
//! Load pattern: all servers of a service fail part of their requests, for instance while an update
//! is rolled out. Avoiding them then only moves requests to servers that are slow or far away, and
//! fail as often. What counts is therefore the failure rate relative to the best of the service.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::Name;

/// The weight of the newest outcome in the running failure rate.
const NEWEST_WEIGHT: f64 = 0.2;

/// The weight of the newest outcome in the average that servers of a service are compared by. It is
/// lower, since the least of several averages is lower than all true rates the more they vary.
const COMPARED_WEIGHT: f64 = 0.05;

/// A server counts as observed with so many outcomes, the newest of which is not older than
/// [`OBSERVATION_LIFETIME`].
const MIN_OUTCOMES: u32 = 3;

/// How long outcomes say something about a server in comparison with others.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(20);

/// The time after which half of what a server failed more than others counts, if it gets no requests
/// and all servers of its service fail some.
const EXCESS_HALF_LIFE: Duration = Duration::from_secs(2);

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
    /// The service of each server, where it is known.
    services: HashMap<Name, Name>,
    /// When the last outcome of any server was recorded.
    last_outcome: Option<Instant>,
    /// What the failure rates of a service's servers have in common, by service.
    common_rates: HashMap<Name, CommonRate>,
    /// Models and adapters that servers stated not to hold, by server and copy. The value is the
    /// server's incarnation as known then, and the time until which the statement counts.
    not_resident: HashMap<(Name, Name), (u64, Instant)>,
}

/// The part of the failure rates that all servers of a service share.
#[derive(Debug, Clone, Copy, Default)]
struct CommonRate {
    /// The lowest rate of an observed server.
    best: f64,
    /// The share of the service's servers that are observed.
    observed_share: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Health {
    failure_rate: f64,
    /// The average that servers are compared by, the number of outcomes, and when the last one was.
    compared_rate: f64,
    outcomes: u32,
    last_outcome: Option<Instant>,
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
        health.outcomes = health.outcomes.saturating_add(1);
        let weight = (1.0 / f64::from(health.outcomes)).max(COMPARED_WEIGHT);
        health.compared_rate += (failed - health.compared_rate) * weight;
        health.last_outcome = Some(now);
        self.last_outcome = Some(now);
        if outcome == ServerOutcome::Unreachable {
            let pause = FIRST_PAUSE * 2_u32.pow(health.unreachable_in_a_row.min(4));
            health.paused_until = Some(now + pause.min(MAX_PAUSE));
            health.unreachable_in_a_row += 1;
        } else {
            health.unreachable_in_a_row = 0;
            health.paused_until = None;
        }
        if let Some(service) = self.services.get(server).cloned() {
            self.update_common_rate(service, now);
        }
    }

    /// Sets the servers with their services, which [`Self::failure_rate`] compares.
    pub fn set_services(&mut self, services: HashMap<Name, Name>, now: Instant) {
        self.services = services;
        let names: HashSet<Name> = self.services.values().cloned().collect();
        self.common_rates.retain(|service, _| names.contains(service));
        for service in names {
            self.update_common_rate(service, now);
        }
    }

    fn update_common_rate(&mut self, service: Name, now: Instant) {
        let is_observed = |health: &&Health| {
            let since = health.last_outcome.map(|at| now.saturating_duration_since(at));
            health.outcomes >= MIN_OUTCOMES && since.is_some_and(|age| age < OBSERVATION_LIFETIME)
        };
        let (mut servers, mut observed, mut best) = (0_u32, 0_u32, 1.0_f64);
        for (server, _) in self.services.iter().filter(|(_, of)| **of == service) {
            servers += 1;
            if let Some(health) = self.servers.get(server).filter(is_observed) {
                observed += 1;
                best = best.min(health.compared_rate);
            }
        }
        let observed_share = f64::from(observed) / f64::from(servers.max(1));
        // One observed server says nothing about what the others have in common with it.
        let best = if observed > 1 { best } else { 0.0 };
        self.common_rates.insert(service, CommonRate { best, observed_share });
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

    /// Returns by how much more of its requests the server fails than the best of its service, from
    /// the running average. Without such a comparison, that is the average itself. Servers that are
    /// not observed may be better: the fewer are, the less counts what the others have in common.
    pub fn failure_rate(&self, server: &str) -> f64 {
        let rate = self.absolute_failure_rate(server);
        let service = self.services.get(server).and_then(|service| self.common_rates.get(service));
        let Some(CommonRate { best, observed_share }) = service.copied() else { return rate };
        let compared = self.servers.get(server).map_or(0.0, |health| health.compared_rate);
        // Excesses that chance explains do not count: the running average changes within a few
        // outcomes, and servers with equal rates would get all requests in turn.
        let excess = |rate: f64, weight: f64, deviations: f64| {
            let deviation = (best * (1.0 - best) * weight / (2.0 - weight)).sqrt();
            rate - (best + deviations * deviation) * observed_share
        };
        let lasting = excess(compared.min(rate), COMPARED_WEIGHT, 2.0);
        let excess = lasting.max(excess(rate, NEWEST_WEIGHT, 2.0)).max(0.0);
        if best > 0.0 { excess * self.recency(server) } else { excess }
    }

    /// Returns how much the outcomes of a server still count. Otherwise servers that were unlucky
    /// keep their rate for as long as they get no requests, which slow ones then get.
    fn recency(&self, server: &str) -> f64 {
        let last = self.servers.get(server).and_then(|health| health.last_outcome);
        let age =
            self.last_outcome.zip(last).map(|(newest, at)| newest.saturating_duration_since(at));
        let half_lives = age.unwrap_or_default().as_secs_f64() / EXCESS_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    /// Returns the running average of the share of requests that failed at the server.
    pub fn absolute_failure_rate(&self, server: &str) -> f64 {
        self.servers.get(server).map_or(0.0, |health| health.failure_rate)
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }
}
