//! The tree by which news spreads in a failure domain.
//!
//! The first live VM of a domain reads the platform. The others follow one before them, so that no
//! process serves more than a few followers and a change takes few steps.

/// The followers of one process, while all are there.
pub const FAN_OUT: usize = 8;

/// Returns whom the process at a place in its domain may follow, the best first: its ancestors in the
/// tree, the nearest first, then whoever else stands before it.
///
/// Everybody follows an earlier one, so there are no cycles, and the first that is alive has nobody to
/// follow but the platform.
pub fn upstreams(place: usize) -> Vec<usize> {
    let ancestors = std::iter::successors(parent(place), |place| parent(*place));
    let mut candidates: Vec<usize> = ancestors.collect();
    let others: Vec<usize> = (0..place).filter(|other| !candidates.contains(other)).collect();
    candidates.extend(others);
    candidates
}

fn parent(place: usize) -> Option<usize> {
    place.checked_sub(1).map(|before| before / FAN_OUT)
}
