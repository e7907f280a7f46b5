//! What became of the requests of one run.

use savoryport_core::rank::Rank;
use serde::{Deserialize, Serialize};

use super::workload::Workload;

/// The figures of one run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Score {
    /// Requests by rank.
    pub offered: [u64; 3],
    /// Requests that met their target, by rank.
    pub attained: [u64; 3],
    /// Requests by rank that arrived while another rank flooded.
    pub flood_offered: [u64; 3],
    /// Those of them that met their target.
    pub flood_attained: [u64; 3],
    /// Slot seconds that requests of a rank offered while another rank flooded.
    pub flood_demand: [f64; 3],
    /// Slot seconds that attained requests of a rank took while another rank flooded.
    pub flood_served: [f64; 3],
    /// Slot seconds that the fleet had in that time.
    pub flood_capacity: f64,
    /// Requests refused.
    pub refused: u64,
    /// Loads after the first placement.
    pub moves: u64,
    /// Loads after the first ten minutes' half, which steady demand should not need.
    pub late_moves: u64,
    /// Requests that crossed between regions.
    pub crossed: u64,
    /// Requests that met their target in the pooled bound.
    pub bound: u64,
    /// Requests of the most urgent rank that met their target in the bound.
    pub bound_urgent: u64,
}

impl Score {
    /// Returns the share of all requests that met their target.
    pub fn attainment(&self) -> f64 {
        share(self.attained.iter().sum(), self.offered.iter().sum())
    }

    /// Returns that share as one of what the bound reaches.
    pub fn of_bound(&self) -> f64 {
        share(self.attained.iter().sum(), self.bound)
    }

    /// Returns the share of a rank's requests that met their target.
    pub fn rank(&self, rank: Rank) -> f64 {
        share(self.attained[rank.index()], self.offered[rank.index()])
    }

    /// Returns how much of its due a rank got while another flooded: the smaller of its demand and
    /// its guaranteed share is due.
    pub fn kept_in_flood(&self, rank: Rank, shares: &[f64; 3]) -> f64 {
        let at = rank.index();
        let due = (shares[at] * self.flood_capacity).min(self.flood_demand[at]);
        if due <= 0.0 { 1.0 } else { (self.flood_served[at] / due).min(1.0) }
    }
}

/// Tells whether a rank other than `rank` floods at a second of a workload.
pub fn is_flooded_by_other(workload: Workload, rank: Rank, at: f64) -> bool {
    let floods = workload.floods();
    floods.iter().any(|(other, from, to)| *other != rank && (*from..*to).contains(&at))
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}
