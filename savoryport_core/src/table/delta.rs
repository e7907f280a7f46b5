//! Differences between two versions of the table.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use super::{Row, Table};
use crate::Name;

value! {
    /// One row that differs.
    #[serde(rename_all = "snake_case")]
    pub enum RowChange {
        /// The row is new or has new values.
        Set(Row),
        /// The row is gone.
        Remove(Name),
    }

    /// The rows that lead from one version of the table to a later one.
    pub struct TableDelta {
        /// The version that the changes start from.
        pub from: u64,
        /// The version that they lead to.
        pub to: u64,
        /// The change id of that version.
        pub change_id: String,
        /// The rows that differ.
        pub changes: Vec<RowChange>,
    }
}

/// Two operators changed the same rows.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("rows changed on both sides: {}", .names.iter().map(|n| &**n).collect::<Vec<_>>().join(", "))]
pub struct MergeConflict {
    /// The rows that both changed, in different ways.
    pub names: Vec<Name>,
}

impl RowChange {
    /// Returns the name of the row.
    pub fn name(&self) -> &Name {
        match self {
            Self::Set(row) => &row.name,
            Self::Remove(name) => name,
        }
    }
}

impl TableDelta {
    /// Returns what leads from `old` to `new`.
    pub fn between(old: &Table, new: &Table) -> Self {
        let changes = diff(&old.rows, &new.rows);
        Self { from: old.version, to: new.version, change_id: new.change_id.clone(), changes }
    }

    /// Applies the changes, or returns `None` where the table is not the version they start from.
    pub fn apply(&self, table: &Table) -> Option<Table> {
        if table.version != self.from {
            return None;
        }
        let rows = apply_changes(&table.rows, &self.changes);
        Some(Table { version: self.to, change_id: self.change_id.clone(), rows })
    }
}

/// Returns the rows that differ between two tables.
pub(crate) fn diff(old: &[Row], new: &[Row]) -> Vec<RowChange> {
    let before: BTreeMap<&str, &Row> = old.iter().map(|row| (&*row.name, row)).collect();
    let after: BTreeSet<&str> = new.iter().map(|row| &*row.name).collect();
    let changed = new.iter().filter(|row| before.get(&*row.name) != Some(row));
    let removed = old.iter().filter(|row| !after.contains(&*row.name));
    changed
        .map(|row| RowChange::Set(row.clone()))
        .chain(removed.map(|row| RowChange::Remove(row.name.clone())))
        .collect()
}

/// Merges an operator's edit of `base` with what others made of it meanwhile.
///
/// # Errors
///
/// Returns the rows that both sides changed in different ways.
pub fn merge_rows(base: &[Row], ours: &[Row], theirs: &[Row]) -> Result<Vec<Row>, MergeConflict> {
    let our_changes = diff(base, ours);
    let their_changes: BTreeMap<Name, RowChange> =
        diff(base, theirs).into_iter().map(|change| (change.name().clone(), change)).collect();
    let names: Vec<Name> = our_changes
        .iter()
        .filter(|change| their_changes.get(change.name()).is_some_and(|other| other != *change))
        .map(|change| change.name().clone())
        .collect();
    if !names.is_empty() {
        return Err(MergeConflict { names });
    }
    Ok(apply_changes(theirs, &our_changes))
}

fn apply_changes(rows: &[Row], changes: &[RowChange]) -> Vec<Row> {
    let mut rows = rows.to_vec();
    for change in changes {
        let at = rows.iter().position(|row| row.name == *change.name());
        match (change, at) {
            (RowChange::Set(row), Some(at)) => rows[at] = row.clone(),
            (RowChange::Set(row), None) => rows.push(row.clone()),
            (RowChange::Remove(_), Some(at)) => drop(rows.remove(at)),
            (RowChange::Remove(_), None) => {}
        }
    }
    rows
}
