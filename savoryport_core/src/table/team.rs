//! The teams of the table. It holds digests of their keys instead of the keys, so that neither the
//! table's file nor the key-value service or a process that reads it can reveal one.
//!
//! The digest needs no salt and no slow hash: `savoryport key new` makes keys of 256 random bits, which
//! cannot be guessed from it.

use std::collections::{HashMap, HashSet};
use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::{Row, RowKind};
use crate::Name;
use crate::node::team::MAX_KEY_BYTES;
use crate::rank::Rank;

/// The start of a digest as text. Without it, a key of 64 hexadecimal digits could pass for a digest, and
/// the table would hold and print it.
const PREFIX: &str = "sha256:";

/// The SHA-256 digest of a key; as text, `sha256:` and 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; 32]);

/// The error for a text that is no digest. It does not repeat the text, which may be a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("use digests as 'savoryport key' prints them: sha256: and 64 hexadecimal digits")]
pub struct NoDigest;

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl Display for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(self, f)
    }
}

impl FromStr for KeyDigest {
    type Err = NoDigest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let text = text.strip_prefix(PREFIX).ok_or(NoDigest)?;
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(NoDigest);
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| NoDigest)?;
        }
        Ok(Self(digest))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = NoDigest;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

key! {
    /// What the limit of a team counts.
    #[serde(rename_all = "lowercase")]
    pub enum TeamUnit {
        /// Each request counts 1.
        Requests,
        /// A request counts its tokens.
        Tokens,
    }
}

value! {
    /// What the row of a team has in addition.
    pub struct TeamColumns {
        /// What its limit counts.
        pub unit: TeamUnit,
        /// The units that it may use in a second; 0 for no limit.
        pub per_second: u32,
        /// The units that it may use in addition, after it has used less than that.
        pub burst: u32,
        /// The digests of its keys.
        pub key_digests: Vec<KeyDigest>,
    }
}

/// The teams of a table by the digests of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamKeys {
    teams: HashMap<KeyDigest, (Name, Rank)>,
    has_teams: bool,
}

impl TeamKeys {
    /// Builds the index. A key of two teams names neither, as in [`crate::node::team`]: the check of
    /// the file refuses it, but a table may be written in other ways.
    pub fn new(rows: &[Row]) -> Self {
        let mut index = Self::default();
        let mut ambiguous = HashSet::new();
        for row in rows.iter().filter(|row| row.kind == RowKind::Team) {
            index.has_teams = true;
            for digest in row.team.iter().flat_map(|team| &team.key_digests) {
                let former = index.teams.insert(*digest, (row.name.clone(), row.rank));
                if former.is_some_and(|(name, _)| name != row.name) {
                    ambiguous.insert(*digest);
                }
            }
        }
        index.teams.retain(|digest, _| !ambiguous.contains(digest));
        index
    }

    /// Returns whether the table has teams, so that requests need a key.
    pub fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// Returns the name and the rank of the team that holds a key.
    pub fn team_of(&self, key: &str) -> Option<&(Name, Rank)> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return None;
        }
        self.teams.get(&KeyDigest::of(key))
    }
}
