//! What a node knows only moves forward, whoever brings the news and in whatever order.

use proptest::prelude::*;
use savoryport_core::rank::Rank;
use savoryport_core::replica::{Mark, MemoryUse, Replica, Residency, Update, Versions};
use savoryport_core::table::{Row, RowKind, Table};

/// Returns the one table that was accepted under a version.
fn table(version: u64) -> Table {
    let row = |at: u64| Row {
        kind: RowKind::Model,
        name: format!("m{at}").into(),
        base: None,
        memory_mib: 1 + version as u32,
        weight: 1,
        rank: Rank::Normal,
        max_in_flight: 1,
        first_token_ms: 1,
        between_tokens_ms: 1,
        min_copies: 1,
        repeatable: true,
    };
    let rows = (0..3).filter(|at| !(version + at).is_multiple_of(3)).map(row).collect();
    Table { version, change_id: version.to_string(), rows }
}

fn with_table(version: u64) -> Update {
    Update { table: Some(table(version)), ..Update::default() }
}

fn sorted(table: &Table) -> Table {
    let mut table = table.clone();
    table.rows.sort_by(|a, b| a.name.cmp(&b.name));
    table
}

#[test]
fn a_node_that_starts_during_an_outage_takes_the_table_of_a_peer() {
    let mut peer = Replica::default();
    peer.merge(with_table(7));
    let mut node = Replica::default();
    assert!(node.merge(peer.update_for(&node.versions())));
    assert_eq!(*node.table, table(7));
    assert!(!node.merge(with_table(6)), "a lower version is no news");
    assert_eq!(node.table.version, 7);
}

#[test]
fn a_node_that_is_behind_gets_rows_not_the_table() {
    let mut relay = Replica::default();
    for version in 1..=5 {
        relay.merge(with_table(version));
    }
    let mut node = Replica::default();
    node.merge(with_table(3));
    let update = relay.update_for(&node.versions());
    assert!(update.table.is_none() && update.delta.is_some());
    node.merge(update);
    assert_eq!(sorted(&node.table), table(5));
}

#[test]
fn a_mark_that_was_removed_does_not_come_back() {
    let mark = |revision, value: Option<&str>| Update {
        marks: [("lease/x".into(), Mark { revision, value: value.map(Into::into) })].into(),
        ..Update::default()
    };
    let mut node = Replica::default();
    node.merge(mark(4, Some("vm-1")));
    node.merge(mark(9, None));
    node.merge(mark(4, Some("vm-1")));
    assert_eq!(node.mark("lease/x"), None);
}

#[test]
fn a_mark_that_was_removed_unseen_is_missing_from_the_next_listing() {
    let mark = |revision| Mark { revision, value: Some("vm-1".into()) };
    let both = [("lease/x".into(), mark(4)), ("lease/y".into(), mark(5))];
    let mut node = Replica::default();
    node.merge(Update { marks: both.into(), seen: 5, ..Update::default() });
    // A reader that was cut off lists again, and x is no longer there.
    let mut listing = Update::default();
    listing.marks.insert("lease/y".into(), mark(5));
    listing.seen = 9;
    node.merge(node.add_removed_marks(listing));
    assert_eq!(node.mark("lease/x"), None);
    assert!(node.mark("lease/y").is_some());
}

fn residency(revision: u64) -> Residency {
    let memory = MemoryUse { reserved_mib: 0, retained_mib: 0, capacity_mib: 1 };
    Residency { revision, plan_version: 1, loaded: Vec::new(), holder: None, memory }
}

#[test]
fn what_a_node_learns_directly_does_not_hide_older_news_of_other_servers() {
    let mut relay = Replica::default();
    let both = [("a".into(), residency(8)), ("b".into(), residency(10))];
    relay.merge(Update { residency: both.into(), seen: 10, ..Update::default() });
    let mut node = Replica::default();
    // The node itself wrote the ledger of b.
    node.merge(Update { residency: [("b".into(), residency(10))].into(), ..Update::default() });
    node.merge(relay.update_for(&node.versions()));
    assert!(node.residency.contains_key("a"));
}

proptest! {
    /// Nodes that exchange news in any order, lose it, and restart: no node ever goes back while it
    /// runs, and every node holds the one table that was accepted under its version.
    #[test]
    fn versions_only_rise(steps in prop::collection::vec((0..4_u8, 0..4_usize, 0..4_usize), 1..200)) {
        let mut nodes = vec![Replica::default(); 4];
        let mut highest = 0;
        let mut late: Vec<Update> = Vec::new();
        for (kind, from, to) in steps {
            let before: Vec<u64> = nodes.iter().map(|node| node.table.version).collect();
            let mut restarted = None;
            match kind {
                0 => {
                    highest += 1;
                    nodes[to].merge(with_table(highest));
                }
                1 => {
                    let update = nodes[from].update_for(&nodes[to].versions());
                    late.push(update.clone());
                    nodes[to].merge(update);
                }
                2 if !late.is_empty() => {
                    let update = late[(from * 7 + to) % late.len()].clone();
                    nodes[to].merge(update);
                }
                _ => {
                    nodes[to] = Replica::default();
                    restarted = Some(to);
                }
            }
            for (at, node) in nodes.iter().enumerate() {
                let version = node.table.version;
                prop_assert!(Some(at) == restarted || version >= before[at]);
                if version > 0 {
                    prop_assert_eq!(sorted(&node.table), table(version));
                }
            }
        }
    }

    #[test]
    fn an_update_brings_a_node_level(have in 0..6_u64, relay_has in 1..9_u64) {
        let mut relay = Replica::default();
        for version in 1..=relay_has {
            relay.merge(with_table(version));
        }
        let mut node = Replica::default();
        node.merge(with_table(have));
        node.merge(relay.update_for(&Versions { table: have, ..Versions::default() }));
        prop_assert_eq!(node.table.version, have.max(relay_has));
    }
}
