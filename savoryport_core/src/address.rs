//! Chooses the entries that callers of an item are sent to.

use xxhash_rust::xxh3::xxh3_64;

use crate::Name;
use crate::fleet::Vm;

/// Entries that share the callers of one item.
const ENTRIES_PER_ITEM: usize = 2;

/// Returns the entries for the callers of an item, the best first.
///
/// Rendezvous hashing keeps the choice stable while entries come and go: only callers of an entry
/// that left are sent elsewhere. Entries of the region go first, since the link between regions is
/// paid by the byte.
pub fn choose_entries<'a>(item: &str, region: &Name, live: &[&'a Vm]) -> Vec<&'a Vm> {
    let mut ranked: Vec<&Vm> = live.to_vec();
    ranked.sort_by_key(|vm| {
        let weight = xxh3_64(format!("{item}\n{}", vm.name).as_bytes());
        (vm.region != *region, std::cmp::Reverse(weight))
    });
    ranked.truncate(ENTRIES_PER_ITEM);
    ranked
}
