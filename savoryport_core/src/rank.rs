//! The three ranks of work.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use thiserror::Error;

key! {
    /// How urgent a request is; the order of the variants is the order of urgency.
    #[serde(rename_all = "lowercase")]
    pub enum Rank {
        /// Confirmations, payment captures and stock lookups.
        Urgent,
        /// Drafts and hints that somebody waits for.
        Normal,
        /// Long reviews that may wait.
        Batch,
    }
}

/// A rank was named that does not exist.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown rank {0:?}: use urgent, normal or batch")]
pub struct UnknownRank(pub String);

impl Rank {
    /// Every rank, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Returns the position in [`Rank::ALL`], which also is the engine's priority (0 goes first).
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in the table, in headers and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }
}

impl Display for Rank {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Rank {
    type Err = UnknownRank;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|rank| rank.name() == text)
            .ok_or_else(|| UnknownRank(text.to_owned()))
    }
}
