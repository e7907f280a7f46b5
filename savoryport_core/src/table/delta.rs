//! Differences between versions of the table, and three-way merges.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;

use super::{Row, Table};
use crate::Name;

value! {
    /// The change of one row.
    #[serde(rename_all = "snake_case")]
    pub enum RowChange {
        /// The row was added or its values changed.
        Set(Row),
        /// The row with this name was removed.
        Remove(Name),
    }

    /// The changes from one version of the table to a later one.
    pub struct TableDelta {
        /// The version that the changes apply to.
        pub from: u64,
        /// The version that results from them.
        pub to: u64,
        /// The change id of the resulting version.
        pub change_id: String,
        /// The changed rows.
        pub changes: Vec<RowChange>,
    }
}

/// The error for rows that two operators changed in different ways.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("rows changed on both sides: {}", .names.iter().map(|n| &**n).collect::<Vec<_>>().join(", "))]
pub struct MergeConflict {
    /// The names of these rows.
    pub names: Vec<Name>,
}

impl RowChange {
    /// Returns the name of the changed row.
    pub fn name(&self) -> &Name {
        match self {
            Self::Set(row) => &row.name,
            Self::Remove(name) => name,
        }
    }
}

impl TableDelta {
    /// Returns the changes from `old` to `new`.
    pub fn between(old: &Table, new: &Table) -> Self {
        let changes = diff_rows(&old.rows, &new.rows);
        Self { from: old.version, to: new.version, change_id: new.change_id.clone(), changes }
    }

    /// Applies the changes, or returns `None` if the table does not have the version `from`.
    pub fn apply(&self, table: &Table) -> Option<Table> {
        if table.version != self.from {
            return None;
        }
        let rows = apply_changes(&table.rows, &self.changes);
        Some(Table { version: self.to, change_id: self.change_id.clone(), rows })
    }
}

/// Returns the changes from the rows `old` to the rows `new`.
pub(crate) fn diff_rows(old: &[Row], new: &[Row]) -> Vec<RowChange> {
    let old_rows: BTreeMap<&str, &Row> = old.iter().map(|row| (&*row.name, row)).collect();
    let new_names: BTreeSet<&str> = new.iter().map(|row| &*row.name).collect();
    let changed = new.iter().filter(|row| old_rows.get(&*row.name) != Some(row));
    let removed = old.iter().filter(|row| !new_names.contains(&*row.name));
    changed
        .map(|row| RowChange::Set(row.clone()))
        .chain(removed.map(|row| RowChange::Remove(row.name.clone())))
        .collect()
}

/// Merges an operator's edit of `base` with the changes that others made to `base` in the meantime.
///
/// # Errors
///
/// Returns an error if both sides changed the same row in different ways.
pub fn merge_rows(base: &[Row], ours: &[Row], theirs: &[Row]) -> Result<Vec<Row>, MergeConflict> {
    let our_changes = diff_rows(base, ours);
    let their_changes: BTreeMap<Name, RowChange> =
        diff_rows(base, theirs).into_iter().map(|change| (change.name().clone(), change)).collect();
    let conflicts: Vec<Name> = our_changes
        .iter()
        .filter(|change| their_changes.get(change.name()).is_some_and(|other| other != *change))
        .map(|change| change.name().clone())
        .collect();
    if !conflicts.is_empty() {
        return Err(MergeConflict { names: conflicts });
    }
    Ok(apply_changes(theirs, &our_changes))
}

fn apply_changes(rows: &[Row], changes: &[RowChange]) -> Vec<Row> {
    let mut rows = rows.to_vec();
    for change in changes {
        let index = rows.iter().position(|row| row.name == *change.name());
        match (change, index) {
            (RowChange::Set(row), Some(index)) => rows[index] = row.clone(),
            (RowChange::Set(row), None) => rows.push(row.clone()),
            (RowChange::Remove(_), Some(index)) => drop(rows.remove(index)),
            (RowChange::Remove(_), None) => {}
        }
    }
    rows
}
