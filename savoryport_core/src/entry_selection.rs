//! Chooses the entries that callers are sent to.

use xxhash_rust::xxh3::xxh3_64;

use crate::Name;
use crate::fleet::Vm;

/// Entries that share the callers of one server's models.
const ENTRIES_PER_SERVER: usize = 2;

/// Returns the entries for the callers of a server's models, the best first; `server` is the home of
/// the model that is asked for, or the model's own name while it has none.
///
/// Few entries then share a server, and each sees enough of it to know its limit and its ranks.
/// Rendezvous hashing keeps the choice stable while entries come and go: only callers of an entry
/// that left are sent elsewhere. Entries of the region go first, since the link between regions is
/// paid by the byte.
pub fn choose_entries<'a>(server: &str, region: &Name, live: &[&'a Vm]) -> Vec<&'a Vm> {
    let mut ranked: Vec<&Vm> = live.to_vec();
    ranked.sort_by_key(|vm| {
        let weight = xxh3_64(format!("{server}\n{}", vm.name).as_bytes());
        (vm.region != *region, std::cmp::Reverse(weight))
    });
    ranked.truncate(ENTRIES_PER_SERVER);
    ranked
}
