//! Properties of the replication tree.

use std::collections::HashMap;

use proptest::prelude::*;
use savoryport_core::replication_tree::{FAN_OUT, upstreams};

#[test]
fn the_first_process_has_no_upstream_and_no_process_follows_a_later_one() {
    assert!(upstreams(0).is_empty());
    for position in 1..400 {
        let candidates = upstreams(position);
        assert_eq!(candidates.len(), position);
        assert!(candidates.iter().all(|candidate| *candidate < position));
    }
}

#[test]
fn fifty_nodes_are_at_most_two_hops_deep_and_respect_the_fan_out() {
    let mut followers: HashMap<usize, usize> = HashMap::new();
    for position in 1..50 {
        let mut hops = 1;
        let mut current = upstreams(position)[0];
        *followers.entry(current).or_default() += 1;
        while current != 0 {
            current = upstreams(current)[0];
            hops += 1;
        }
        assert!(hops <= 2);
    }
    assert!(followers.values().all(|count| *count <= FAN_OUT));
}

proptest! {
    /// Whichever processes are down, the first live one reads the platform and every other live one
    /// reaches it along its upstreams.
    #[test]
    fn every_live_process_reaches_the_first_live_one(
        live in prop::collection::vec(any::<bool>(), 1..120)
    ) {
        let first = live.iter().position(|is_live| *is_live);
        for position in (0..live.len()).filter(|position| live[*position]) {
            let mut current = position;
            while let Some(next) = upstreams(current).into_iter().find(|other| live[*other]) {
                current = next;
            }
            prop_assert_eq!(Some(current), first);
        }
    }
}
