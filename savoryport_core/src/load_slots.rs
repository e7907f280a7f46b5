//! Divides the weight store's limit on parallel loads among groups of servers.
//!
//! Each group has a fixed share. As long as there are no more groups than slots, the groups
//! together keep the limit without exchanging messages. `docs/DESIGN.md` compares this with
//! expiring grants and with a token that is passed around.

/// Returns how many of `slots` parallel loads the group at `index` of `groups` may use.
///
/// The shares of all groups add up to `slots` where there are at least as many slots as groups.
/// With fewer slots than groups, only the groups with the lowest indices get a slot.
pub fn slots_for_group(slots: u32, groups: usize, index: usize) -> u32 {
    let groups = groups.max(1) as u32;
    let index = index as u32;
    slots / groups + u32::from(index < slots % groups)
}
