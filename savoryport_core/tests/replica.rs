//! Tests that a replica never goes back to an older state, whichever node sends an update and in
//! whatever order updates arrive.

use proptest::prelude::*;
use savoryport_core::rank::Rank;
use savoryport_core::replica::{Mark, MemoryUse, Replica, Residency, Update, Versions};
use savoryport_core::table::{Row, RowKind, Table};

/// Returns the table with a version; its content is derived from the version.
fn table(version: u64) -> Table {
    let row = |index: u64| Row {
        kind: RowKind::Model,
        name: format!("m{index}").into(),
        base: None,
        memory_mib: 1 + version as u32,
        weight: 1,
        rank: Rank::Normal,
        max_in_flight: 1,
        first_token_ms: 1,
        between_tokens_ms: 1,
        min_copies: 1,
        repeatable: true,
        team: None,
    };
    let rows = (0..3).filter(|index| !(version + index).is_multiple_of(3)).map(row).collect();
    Table { version, change_id: version.to_string(), rows }
}

fn table_update(version: u64) -> Update {
    Update { table: Some(table(version)), ..Update::default() }
}

fn sorted_by_name(table: &Table) -> Table {
    let mut table = table.clone();
    table.rows.sort_by(|a, b| a.name.cmp(&b.name));
    table
}

#[test]
fn a_node_that_starts_during_an_outage_gets_the_table_from_a_peer() {
    let mut peer = Replica::default();
    peer.merge(table_update(7));
    let mut node = Replica::default();
    assert!(node.merge(peer.update_for(&node.versions())));
    assert_eq!(*node.table, table(7));
    assert!(!node.merge(table_update(6)), "an older version changes nothing");
    assert_eq!(node.table.version, 7);
}

#[test]
fn a_node_with_an_older_table_gets_a_delta_instead_of_the_table() {
    let mut upstream = Replica::default();
    for version in 1..=5 {
        upstream.merge(table_update(version));
    }
    let mut node = Replica::default();
    node.merge(table_update(3));
    let update = upstream.update_for(&node.versions());
    assert!(update.table.is_none() && update.delta.is_some());
    node.merge(update);
    assert_eq!(sorted_by_name(&node.table), table(5));
}

#[test]
fn a_removed_mark_is_not_restored_by_an_older_update() {
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
fn a_mark_that_is_missing_from_a_full_listing_is_removed() {
    let mark = |revision| Mark { revision, value: Some("vm-1".into()) };
    let both = [("lease/x".into(), mark(4)), ("lease/y".into(), mark(5))];
    let mut node = Replica::default();
    node.merge(Update { marks: both.into(), seen: 5, ..Update::default() });
    // After a disconnection the reader lists all marks again, and x was removed in the meantime.
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
    let mut upstream = Replica::default();
    let both = [("a".into(), residency(8)), ("b".into(), residency(10))];
    upstream.merge(Update { residency: both.into(), seen: 10, ..Update::default() });
    let mut node = Replica::default();
    // The node wrote the ledger of b itself, which does not raise its watermark.
    node.merge(Update { residency: [("b".into(), residency(10))].into(), ..Update::default() });
    node.merge(upstream.update_for(&node.versions()));
    assert!(node.residency.contains_key("a"));
}

proptest! {
    /// Nodes exchange, lose and repeat updates in any order and restart. The table version of a
    /// running node never decreases, and every node has the content that belongs to its version.
    #[test]
    fn versions_only_rise(
        steps in prop::collection::vec((0..4_u8, 0..4_usize, 0..4_usize), 1..200)
    ) {
        let mut nodes = vec![Replica::default(); 4];
        let mut highest = 0;
        let mut delayed: Vec<Update> = Vec::new();
        for (kind, from, to) in steps {
            let before: Vec<u64> = nodes.iter().map(|node| node.table.version).collect();
            let mut restarted = None;
            match kind {
                0 => {
                    highest += 1;
                    nodes[to].merge(table_update(highest));
                }
                1 => {
                    let update = nodes[from].update_for(&nodes[to].versions());
                    delayed.push(update.clone());
                    nodes[to].merge(update);
                }
                2 if !delayed.is_empty() => {
                    let update = delayed[(from * 7 + to) % delayed.len()].clone();
                    nodes[to].merge(update);
                }
                _ => {
                    nodes[to] = Replica::default();
                    restarted = Some(to);
                }
            }
            for (index, node) in nodes.iter().enumerate() {
                let version = node.table.version;
                prop_assert!(Some(index) == restarted || version >= before[index]);
                if version > 0 {
                    prop_assert_eq!(sorted_by_name(&node.table), table(version));
                }
            }
        }
    }

    #[test]
    fn an_update_brings_a_node_to_the_highest_known_version(
        own_version in 0..6_u64,
        upstream_version in 1..9_u64
    ) {
        let mut upstream = Replica::default();
        for version in 1..=upstream_version {
            upstream.merge(table_update(version));
        }
        let mut node = Replica::default();
        node.merge(table_update(own_version));
        node.merge(upstream.update_for(&Versions { table: own_version, ..Versions::default() }));
        prop_assert_eq!(node.table.version, own_version.max(upstream_version));
    }
}
