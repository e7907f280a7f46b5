//! The tree of followers.

use std::collections::HashMap;

use proptest::prelude::*;
use savoryport_core::replication_tree::{FAN_OUT, upstreams};

#[test]
fn the_first_reads_the_platform_and_nobody_follows_a_later_one() {
    assert!(upstreams(0).is_empty());
    for place in 1..400 {
        let candidates = upstreams(place);
        assert_eq!(candidates.len(), place);
        assert!(candidates.iter().all(|candidate| *candidate < place));
    }
}

#[test]
fn fifty_nodes_are_two_steps_deep_and_nobody_serves_more_than_the_fan_out() {
    let mut followers: HashMap<usize, usize> = HashMap::new();
    for place in 1..50 {
        let mut steps = 1;
        let mut at = upstreams(place)[0];
        *followers.entry(at).or_default() += 1;
        while at != 0 {
            at = upstreams(at)[0];
            steps += 1;
        }
        assert!(steps <= 2);
    }
    assert!(followers.values().all(|count| *count <= FAN_OUT));
}

proptest! {
    /// Whoever is gone, one live process reads the platform and every other reaches it.
    #[test]
    fn every_live_process_reaches_the_first_live_one(live in prop::collection::vec(any::<bool>(), 1..120)) {
        let first = live.iter().position(|is_live| *is_live);
        for place in (0..live.len()).filter(|place| live[*place]) {
            let mut at = place;
            while let Some(next) = upstreams(at).into_iter().find(|other| live[*other]) {
                at = next;
            }
            prop_assert_eq!(Some(at), first);
        }
    }
}
