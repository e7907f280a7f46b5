//! The operators' table of models, adapters and services, one per row.
//!
//! `docs/INTERFACES.md` specifies the format of its file.

mod delta;
mod parse;
mod team;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

pub use self::delta::{MergeConflict, RowChange, TableDelta, merge_rows};
pub use self::parse::{COLUMNS, TEAM_COLUMNS, check_key_digests, parse_csv, to_csv};
pub use self::team::{KeyDigest, NoDigest, TeamColumns, TeamKeys, TeamUnit};
use crate::Name;
use crate::rank::Rank;

/// The maximum size of the table as JSON, in bytes; the key-value service stores it as one value.
pub const MAX_TABLE_BYTES: usize = 1_000_000;

key! {
    /// The kind of item that a row of the table describes.
    #[serde(rename_all = "lowercase")]
    pub enum RowKind {
        /// A whole language model.
        Model,
        /// An adapter on top of a model.
        Adapter,
        /// A service that is not served by a model engine.
        Service,
        /// A team whose keys may send requests.
        Team,
    }
}

value! {
    /// One row of the table.
    pub struct Row {
        /// The kind of item that the row describes.
        pub kind: RowKind,
        /// The name used in requests, unique in the table.
        pub name: Name,
        /// The base model of an adapter; `None` for other kinds.
        pub base: Option<Name>,
        /// The accelerator memory that a copy takes, in MiB.
        pub memory_mib: u32,
        /// The relative importance among rows of the same rank.
        pub weight: u32,
        /// The rank of requests for the item.
        pub rank: Rank,
        /// The maximum number of requests for the item that may be in progress on one backend
        /// server.
        pub max_in_flight: u32,
        /// The target time to the first token, in milliseconds.
        pub first_token_ms: u32,
        /// The target time between two tokens, in milliseconds.
        pub between_tokens_ms: u32,
        /// The minimum number of copies that are kept loaded.
        pub min_copies: u32,
        /// Whether a request may be repeated after an attempt that may have been executed.
        pub repeatable: bool,
        /// What only a team has. The numbers above are 0 for a team.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub team: Option<TeamColumns>,
    }

    /// A version of the table.
    #[derive(Default)]
    pub struct Table {
        /// The version, which increases with every accepted change and never decreases.
        pub version: u64,
        /// Identifies the change that produced this version. If the response to a write is lost,
        /// reading the id back shows whether the write took effect.
        pub change_id: String,
        /// The rows, in the order of the operators' file.
        pub rows: Vec<Row>,
    }
}

/// An invalid cell of the table.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("line {line}, column {column}: {problem} (found {value:?})")]
pub struct CellError {
    /// The line number in the file; the header is line 1.
    pub line: usize,
    /// The name of the column.
    pub column: String,
    /// The invalid value.
    pub value: String,
    /// The reason why the value is invalid.
    pub problem: String,
}

/// The errors in a table. All invalid cells are reported together, so that an operator can correct
/// them at once.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// Some cells are invalid.
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Cells(Vec<CellError>),
    /// The header lacks columns.
    #[error("line 1: missing column(s) {0}")]
    MissingColumns(String),
    /// The file is not valid CSV.
    #[error("line {line}: not a CSV record: {problem}")]
    NotCsv {
        /// The line number at which reading stopped.
        line: u64,
        /// The CSV reader's error message.
        problem: String,
    },
    /// The table is larger than the key-value service may store in one value.
    #[error("the table takes {bytes} bytes of JSON; at most {MAX_TABLE_BYTES} are allowed")]
    TooLarge {
        /// The size of the table as JSON, in bytes.
        bytes: usize,
    },
}

impl Row {
    /// Returns whether the row is a model or an adapter.
    pub fn is_item(&self) -> bool {
        matches!(self.kind, RowKind::Model | RowKind::Adapter)
    }
}

impl Table {
    /// Returns the row with the given name.
    pub fn get(&self, name: &str) -> Option<&Row> {
        self.rows.iter().find(|row| &*row.name == name)
    }

    /// Returns the rows of models and adapters, which take accelerator memory.
    pub fn items(&self) -> impl Iterator<Item = &Row> {
        self.rows.iter().filter(|row| row.is_item())
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

/// Checks that the minimum copies of all rows fit into the accelerators' memory.
///
/// `capacities` are the engines' memory sizes in MiB. The check packs greedily, largest rows first.
/// It may therefore reject a table that an optimal packing could just fit, but it never accepts one
/// that does not fit.
///
/// # Errors
///
/// Returns an error for each row that does not fit, with its line in the file.
pub fn check_memory_fit(rows: &[Row], capacities: &[u32]) -> Result<(), TableError> {
    let largest = capacities.iter().copied().max().unwrap_or(0);
    let mut errors = Vec::new();
    let mut free = capacities.to_vec();
    let bundles = make_bundles(rows);
    for bundle in &bundles {
        if bundle.total_mib > largest {
            let problem = format!("larger than the largest accelerator ({largest} MiB)");
            errors.push(bundle.cell_error(rows, "memory_mib", problem));
            continue;
        }
        for _ in 0..bundle.min_copies {
            match free.iter_mut().filter(|free| **free >= bundle.total_mib).max() {
                Some(server_free) => *server_free -= bundle.total_mib,
                None => {
                    let problem =
                        "no server has enough free memory for all minimum copies".to_owned();
                    errors.push(bundle.cell_error(rows, "min_copies", problem));
                    break;
                }
            }
        }
    }
    if errors.is_empty() { Ok(()) } else { Err(TableError::Cells(errors)) }
}

/// A model with its adapters, which must be placed on the same server.
struct Bundle {
    row_index: usize,
    min_copies: u32,
    total_mib: u32,
}

impl Bundle {
    fn cell_error(&self, rows: &[Row], column: &str, problem: String) -> CellError {
        let row = &rows[self.row_index];
        let value = if column == "min_copies" { row.min_copies } else { row.memory_mib };
        let value = value.to_string();
        CellError { line: self.row_index + 2, column: column.to_owned(), value, problem }
    }
}

fn make_bundles(rows: &[Row]) -> Vec<Bundle> {
    let mut adapters: HashMap<&str, (u32, u32)> = HashMap::new();
    for row in rows.iter().filter(|row| row.kind == RowKind::Adapter) {
        let base = row.base.as_deref().unwrap_or_default();
        let (total_mib, min_copies) = adapters.entry(base).or_default();
        *total_mib = total_mib.saturating_add(row.memory_mib);
        *min_copies = row.min_copies.max(*min_copies);
    }
    let mut bundles: Vec<Bundle> = rows
        .iter()
        .enumerate()
        .filter(|(_, row)| row.kind == RowKind::Model)
        .map(|(row_index, row)| {
            let (adapters_mib, adapter_copies) =
                adapters.get(&*row.name).copied().unwrap_or_default();
            let total_mib = row.memory_mib.saturating_add(adapters_mib);
            let min_copies = row.min_copies.max(adapter_copies);
            Bundle { row_index, min_copies, total_mib }
        })
        .collect();
    bundles.sort_by_key(|bundle| std::cmp::Reverse(bundle.total_mib));
    bundles
}
