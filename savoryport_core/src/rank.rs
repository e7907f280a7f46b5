//! The ranks that give requests their priority.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use thiserror::Error;

key! {
    /// The priority of a request; the variants are ordered from most to least urgent.
    #[serde(rename_all = "lowercase")]
    pub enum Rank {
        /// Confirmations, payment captures and stock lookups.
        Urgent,
        /// Drafts and hints that a user is waiting for.
        Normal,
        /// Long reviews without a waiting user.
        Batch,
    }
}

/// The error for a text that names no rank.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown rank {0:?}: use urgent, normal or batch")]
pub struct UnknownRank(pub String);

impl Rank {
    /// All ranks, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Returns the position in [`Rank::ALL`], which is also the priority sent to the engine (0 is
    /// served first).
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name of the rank in the table, in headers and in metrics.
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
