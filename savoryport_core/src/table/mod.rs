//! The operators' table: one row a model, adapter or plain service.
//!
//! The rules for its file are in `docs/INTERFACES.md`.

mod delta;
mod parse;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use self::delta::{MergeConflict, RowChange, TableDelta, merge_rows};
pub use self::parse::{COLUMNS, parse_csv, to_csv};
use crate::Name;
use crate::rank::Rank;

/// The largest table in bytes of JSON that the key-value service holds in one value.
pub const MAX_TABLE_BYTES: usize = 1_000_000;

key! {
    /// What a row of the table describes.
    #[serde(rename_all = "lowercase")]
    pub enum RowKind {
        /// A whole language model.
        Model,
        /// An adapter on top of a model.
        Adapter,
        /// A plain service beside the engines.
        Service,
    }
}

value! {
    /// One row of the table.
    pub struct Row {
        /// What the row describes.
        pub kind: RowKind,
        /// The name that callers use, unique in the table.
        pub name: Name,
        /// The model that an adapter belongs to.
        pub base: Option<Name>,
        /// Accelerator memory in MiB that a copy takes.
        pub memory_mib: u32,
        /// Relative worth against other rows of the same rank.
        pub weight: u32,
        /// The rank of the requests.
        pub rank: Rank,
        /// The most requests that one backend server may have in progress.
        pub max_in_flight: u32,
        /// The target for the first token in milliseconds.
        pub first_token_ms: u32,
        /// The target between two tokens in milliseconds.
        pub between_tokens_ms: u32,
        /// The fewest copies that are kept in memory.
        pub min_copies: u32,
        /// Whether a request may be sent again after it may have run.
        pub repeatable: bool,
    }

    /// The table in force: its rows with the version that the key-value service gave them.
    #[derive(Default)]
    pub struct Table {
        /// Rises with every accepted change and never falls.
        pub version: u64,
        /// Names the change that led here, so that a lost answer can be settled by reading.
        pub change_id: String,
        /// The rows, in the operators' order.
        pub rows: Vec<Row>,
    }
}

/// One cell that the table may not hold.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("line {line}, column {column}: {problem} (found {value:?})")]
pub struct CellError {
    /// The line in the file; the header is line 1.
    pub line: usize,
    /// The column's name.
    pub column: String,
    /// The value found.
    pub value: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Everything wrong with a table, so that an operator mends it in one go.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// Some cells are wrong.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Cells(Vec<CellError>),
    /// The header lacks columns.
    #[error("line 1: missing column(s) {0}")]
    MissingColumns(String),
    /// The file is no CSV.
    #[error("line {line}: not a CSV record: {problem}")]
    NotCsv {
        /// The line at which reading stopped.
        line: u64,
        /// The reader's words.
        problem: String,
    },
    /// The table is larger than a value of the key-value service.
    #[error("the table takes {bytes} bytes of JSON; at most {MAX_TABLE_BYTES} are allowed")]
    TooLarge {
        /// Bytes of the table as JSON.
        bytes: usize,
    },
}

impl Table {
    /// Returns the row of that name.
    pub fn get(&self, name: &str) -> Option<&Row> {
        self.rows.iter().find(|row| &*row.name == name)
    }

    /// Returns the rows that take accelerator memory.
    pub fn items(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(|row| row.kind != RowKind::Service)
    }

    /// Encodes the table for the key-value service.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::TooLarge`] above [`MAX_TABLE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, TableError> {
        let buf = serde_json::to_vec(self).expect("a table has only string keys");
        if buf.len() > MAX_TABLE_BYTES {
            return Err(TableError::TooLarge { bytes: buf.len() });
        }
        Ok(buf)
    }
}

/// Checks that the fleet's memory holds the fewest copies of every row.
///
/// `capacities` are the memory sizes of the engines in MiB. The check packs the largest rows first,
/// so it may refuse a table that a cleverer packing could just hold, and never accepts one that
/// does not fit.
///
/// # Errors
///
/// Returns the rows that do not fit, by line of the file.
pub fn check_memory_fit(rows: &[Row], capacities: &[u32]) -> Result<(), TableError> {
    let largest = capacities.iter().copied().max().unwrap_or(0);
    let mut errors = Vec::new();
    let mut free = capacities.to_vec();
    let bundles = bundles(rows);
    for bundle in &bundles {
        if bundle.total_mib > largest {
            let problem = format!("larger than any accelerator ({largest} MiB)");
            errors.push(bundle.error(rows, "memory_mib", problem));
            continue;
        }
        for _ in 0..bundle.copies {
            match free.iter_mut().filter(|free| **free >= bundle.total_mib).max() {
                Some(slot) => *slot -= bundle.total_mib,
                None => {
                    let problem = "no server has room left for its fewest copies".to_owned();
                    errors.push(bundle.error(rows, "min_copies", problem));
                    break;
                }
            }
        }
    }
    if errors.is_empty() { Ok(()) } else { Err(TableError::Cells(errors)) }
}

/// A model with one copy of each of its adapters, which must share its server.
struct Bundle {
    index: usize,
    copies: u32,
    total_mib: u32,
}

impl Bundle {
    fn error(&self, rows: &[Row], column: &str, problem: String) -> CellError {
        let row = &rows[self.index];
        let value = if column == "min_copies" { row.min_copies } else { row.memory_mib };
        let value = value.to_string();
        CellError { line: self.index + 2, column: column.to_owned(), value, problem }
    }
}

fn bundles(rows: &[Row]) -> Vec<Bundle> {
    let mut adapters: HashMap<&str, (u32, u32)> = HashMap::new();
    for row in rows.iter().filter(|row| row.kind == RowKind::Adapter) {
        let base = row.base.as_deref().unwrap_or_default();
        let (total, copies) = adapters.entry(base).or_default();
        *total = total.saturating_add(row.memory_mib);
        *copies = row.min_copies.max(*copies);
    }
    let mut bundles: Vec<Bundle> = rows
        .iter()
        .enumerate()
        .filter(|(_, row)| row.kind == RowKind::Model)
        .map(|(index, row)| {
            let (extra, copies) = adapters.get(&*row.name).copied().unwrap_or_default();
            let total_mib = row.memory_mib.saturating_add(extra);
            let copies = row.min_copies.max(copies);
            Bundle { index, copies, total_mib }
        })
        .collect();
    bundles.sort_by_key(|bundle| std::cmp::Reverse(bundle.total_mib));
    bundles
}
