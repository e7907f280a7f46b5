//! Decides which teams are refused first while servers are short of capacity.
//!
//! Load pattern: the servers are busy, and one team sends much more than the others, though within
//! its quota. Its queue makes the requests of all teams late. What a team may use is measured by its
//! limit relative to those of the other teams that send requests: a team that sends none lends its
//! share to the others, and gets it back as soon as their recent use shows that it does.

use std::time::{Duration, Instant};

/// The time over which use is averaged, in which a lent share returns.
const USE_WINDOW: Duration = Duration::from_secs(1);

/// A team that uses more than this many times the average use, relative to its limit, is refused
/// first.
const MAX_RELATIVE_USE: f64 = 1.2;

/// A team that uses less than this part of its limit sends nothing that is worth counting.
const MIN_USE: f64 = 0.01;

/// The time for which the average is kept, since it takes a pass over all teams.
const AVERAGE_LIFETIME: Duration = Duration::from_millis(50);

/// The recent use of each team by all nodes, by number.
#[derive(Debug, Default)]
pub struct TeamShares {
    teams: Vec<TeamShare>,
    /// The average use relative to the limits, and when it was computed.
    average: Option<(f64, Instant)>,
}

#[derive(Debug, Clone, Copy)]
struct TeamShare {
    weight: f64,
    per_second: f64,
    at: Instant,
}

impl TeamShare {
    fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-elapsed / USE_WINDOW.as_secs_f64()).exp()
    }
}

impl TeamShares {
    /// Sets the limits of all teams, in units a second. A team without a limit counts as one with
    /// the mean limit of the others, and one of which `None` is given is no team any more.
    pub fn set_limits(
        &mut self,
        limits: impl ExactSizeIterator<Item = Option<Option<f64>>>,
        now: Instant,
    ) {
        self.teams.resize(limits.len(), TeamShare { weight: 0.0, per_second: 0.0, at: now });
        let (mut sum, mut count) = (0.0, 0.0);
        for (team, limit) in self.teams.iter_mut().zip(limits) {
            team.weight = match limit {
                Some(Some(limit)) => {
                    (sum, count) = (sum + limit, count + 1.0);
                    limit
                }
                Some(None) => -1.0,
                None => 0.0,
            };
        }
        let mean = if count > 0.0 { sum / count } else { 1.0 };
        for team in self.teams.iter_mut().filter(|team| team.weight < 0.0) {
            team.weight = mean;
        }
        self.average = None;
    }

    /// Records what some node used of a team's quota.
    pub fn record(&mut self, team: usize, units: f64, now: Instant) {
        if let Some(team) = self.teams.get_mut(team) {
            team.per_second = team.at(now) + units / USE_WINDOW.as_secs_f64();
            team.at = team.at.max(now);
        }
    }

    /// Returns what all nodes recently used of a team's quota, in units a second.
    pub fn recent_use(&self, team: usize, now: Instant) -> f64 {
        self.teams.get(team).map_or(0.0, |team| team.at(now))
    }

    /// Returns the use of a team relative to its limit, divided by that of the average of the teams
    /// that send requests.
    pub fn relative_use(&mut self, team: usize, now: Instant) -> f64 {
        let average = self.average(now);
        let Some(team) = self.teams.get(team) else { return 0.0 };
        if average > 0.0 && team.weight > 0.0 { team.at(now) / team.weight / average } else { 0.0 }
    }

    /// Returns whether a team is to be refused before others.
    pub fn is_over_share(&mut self, team: usize, now: Instant) -> bool {
        self.relative_use(team, now) > MAX_RELATIVE_USE
    }

    fn average(&mut self, now: Instant) -> f64 {
        if let Some((average, at)) = self.average
            && now.saturating_duration_since(at) < AVERAGE_LIFETIME
        {
            return average;
        }
        let uses = self.teams.iter().map(|team| (team.at(now), team.weight));
        let (used, weight) = uses
            .filter(|(used, weight)| *weight > 0.0 && *used > MIN_USE * weight)
            .fold((0.0, 0.0), |(all, weights), (used, weight)| (all + used, weights + weight));
        let average = if weight > 0.0 { used / weight } else { 0.0 };
        self.average = Some((average, now));
        average
    }
}
