//! Shares of the weight store's limits.
//!
//! Each group of servers has a fixed share, so that the sum keeps the limit without a single message
//! while there are no more groups than slots; `docs/DESIGN.md` weighs this against expiring grants
//! and a token that travels.

/// Returns how many of `slots` parallel loads the group at `index` of `groups` may use.
///
/// The shares of all groups add up to `slots` where there are at least as many slots as groups.
/// Fewer slots than groups leave some groups with none; the order of the groups then decides.
pub fn slots_for_group(slots: u32, groups: usize, index: usize) -> u32 {
    let groups = groups.max(1) as u32;
    let index = index as u32;
    slots / groups + u32::from(index < slots % groups)
}
