//! The tree along which the control processes of a failure domain replicate the fleet's state.
//!
//! The first live VM of a domain reads from the platform. Every other VM replicates from one that
//! precedes it in the domain's order, so that no process serves more than a few followers and a
//! change reaches all of them in a few hops.

/// The maximum number of direct followers of a process while all processes are alive.
pub const FAN_OUT: usize = 8;

/// Returns the positions that the process at `position` may follow, in order of preference: its
/// ancestors in the tree, the nearest first, then all other earlier positions.
///
/// A process only follows an earlier position, so there are no cycles, and the first live process
/// has no upstream except the platform.
pub fn upstreams(position: usize) -> Vec<usize> {
    let ancestors = std::iter::successors(parent(position), |position| parent(*position));
    let mut candidates: Vec<usize> = ancestors.collect();
    let others: Vec<usize> = (0..position).filter(|other| !candidates.contains(other)).collect();
    candidates.extend(others);
    candidates
}

fn parent(position: usize) -> Option<usize> {
    position.checked_sub(1).map(|previous| previous / FAN_OUT)
}
