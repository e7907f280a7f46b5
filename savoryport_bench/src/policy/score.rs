//! The results of one simulation run.

use savoryport_core::rank::Rank;
use serde::{Deserialize, Serialize};

use super::workload::Workload;

/// The results of one run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Score {
    /// Requests offered, by rank.
    pub offered: [u64; 3],
    /// Requests that met their target, by rank.
    pub attained: [u64; 3],
    /// Requests that arrived while another rank flooded, by rank.
    pub flood_offered: [u64; 3],
    /// Those of `flood_offered` that met their target, by rank.
    pub flood_attained: [u64; 3],
    /// Slot seconds that requests needed while another rank flooded, by rank.
    pub flood_demand: [f64; 3],
    /// Slot seconds of the requests that met their target while another rank flooded, by rank.
    pub flood_served: [f64; 3],
    /// Slot seconds that the fleet had during the floods.
    pub flood_capacity: f64,
    /// The number of refused requests.
    pub refused: u64,
    /// Model loads after the initial placement.
    pub moves: u64,
    /// Model loads in the second half of the ten-minute trace, which steady demand should not need.
    pub late_moves: u64,
    /// Requests that an entry sent to another region.
    pub crossed: u64,
    /// The upper bound of the requests that meet their target.
    pub bound: u64,
    /// The upper bound of the requests of the most urgent rank that meet their target.
    pub bound_urgent: u64,
}

impl Score {
    /// Returns the share of all requests that met their target.
    pub fn attainment(&self) -> f64 {
        ratio(self.attained.iter().sum(), self.offered.iter().sum())
    }

    /// Returns the requests that met their target, as a share of the upper bound.
    pub fn share_of_bound(&self) -> f64 {
        ratio(self.attained.iter().sum(), self.bound)
    }

    /// Returns the share of a rank's requests that met their target.
    pub fn rank_attainment(&self, rank: Rank) -> f64 {
        ratio(self.attained[rank.index()], self.offered[rank.index()])
    }

    /// Returns the share of its entitlement that a rank got while another rank flooded. The
    /// entitlement is the smaller of the rank's demand and its guaranteed share.
    pub fn share_kept_in_flood(&self, rank: Rank, shares: &[f64; 3]) -> f64 {
        let index = rank.index();
        let entitled = (shares[index] * self.flood_capacity).min(self.flood_demand[index]);
        if entitled <= 0.0 { 1.0 } else { (self.flood_served[index] / entitled).min(1.0) }
    }
}

/// Returns whether a rank other than `rank` floods at the time `at` of the workload, in seconds.
pub fn is_flooded_by_other(workload: Workload, rank: Rank, at: f64) -> bool {
    let floods = workload.floods();
    floods.iter().any(|(other, from, to)| *other != rank && (*from..*to).contains(&at))
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 1.0 } else { part as f64 / whole as f64 }
}
