//! Selects the entry VMs that callers of a model are directed to.

use xxhash_rust::xxh3::xxh3_64;

use crate::Name;
use crate::fleet::Vm;

/// The number of entries among which the callers of one server's models are spread.
const ENTRIES_PER_SERVER: usize = 2;

/// Returns the entries for callers of the models on `server`, the preferred one first.
///
/// `server` is the home server of the requested model, or the model's own name while it has no
/// home. Directing all callers of a server to a few entries gives each entry enough of the server's
/// traffic to estimate its concurrency limit and how much each rank uses. Rendezvous hashing keeps
/// the selection stable while entries join and leave: only the callers of an entry that left are
/// redirected. Entries of `region` come first, since traffic between regions is billed by the byte.
pub fn choose_entries<'a>(server: &str, region: &Name, live: &[&'a Vm]) -> Vec<&'a Vm> {
    let mut ranked: Vec<&Vm> = live.to_vec();
    ranked.sort_by_key(|vm| {
        let weight = xxh3_64(format!("{server}\n{}", vm.name).as_bytes());
        (vm.region != *region, std::cmp::Reverse(weight))
    });
    ranked.truncate(ENTRIES_PER_SERVER);
    ranked
}
