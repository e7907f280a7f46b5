//! Teams: the owners of API keys, with a rank and a quota of their own.
//!
//! Load pattern: every request on a route that is not public names a key, and clients that are not
//! trusted send thousands of unknown ones a second. The look-up of a key is one access to a hash
//! table with a random seed, however many teams there are.

use std::collections::{BTreeMap, HashMap};
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

use crate::Name;
use crate::node::request::Generation;

/// Keys longer than this are not accepted, so that a request cannot make a node hash megabytes.
pub const MAX_KEY_BYTES: usize = 512;

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts 1.
    Requests,
    /// A request counts its tokens.
    Tokens {
        /// The tokens of a request that states none.
        default_tokens: u32,
    },
}

/// The limit on what a team may use, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    /// The units that a team may use in a second.
    pub per_second: f64,
    /// The units that it may use in addition, after it has used less than that.
    pub burst: f64,
}

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// The name by which servers know the team.
    pub name: Name,
    /// The rank of its requests, which takes precedence over that of the route.
    pub rank: Option<u8>,
    /// What its quota counts.
    pub unit: QuotaUnit,
    /// Its quota, if it has one.
    pub limit: Option<TeamLimit>,
}

impl Team {
    /// Returns how much of the team's quota a request uses.
    pub fn cost(&self, generation: Option<&Generation>) -> u64 {
        match (self.unit, generation.and_then(Generation::stated_tokens)) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens { .. }, Some(tokens)) => tokens,
            (QuotaUnit::Tokens { default_tokens }, None) => default_tokens.into(),
        }
    }
}

/// A team with its keys, as the operators configure it.
#[derive(Clone)]
pub struct TeamEntry {
    /// The team.
    pub team: Team,
    /// The keys of its callers.
    pub keys: Vec<String>,
}

/// The teams of a configuration, by key. Its debug output shows no key.
#[derive(Clone, Default, PartialEq)]
pub struct TeamDirectory {
    by_key: HashMap<Box<str>, Arc<Team>>,
    by_name: BTreeMap<Name, Arc<Team>>,
}

/// What a directory leaves out of the entries that it is built from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RejectedTeams {
    /// Teams without a name.
    pub unnamed: usize,
    /// Keys that are empty or too long.
    pub unusable_keys: usize,
    /// Keys that several teams have. They name no team.
    pub ambiguous_keys: usize,
}

impl TeamDirectory {
    /// Builds the directory. Of a team that is listed twice, the keys of both entries count, and the
    /// rank and limit of the first. A key of two teams is nobody's, since requests must not be
    /// counted against a team that may not have sent them.
    pub fn new(entries: Vec<TeamEntry>) -> (Self, RejectedTeams) {
        let mut directory = Self::default();
        let mut rejected = RejectedTeams::default();
        let mut ambiguous: Vec<Box<str>> = Vec::new();
        for TeamEntry { team, keys } in entries {
            if team.name.is_empty() {
                rejected.unnamed += 1;
                continue;
            }
            let name = team.name.clone();
            let team = directory.by_name.entry(name).or_insert_with(|| Arc::new(team)).clone();
            for key in keys {
                if key.is_empty() || key.len() > MAX_KEY_BYTES {
                    rejected.unusable_keys += 1;
                    continue;
                }
                let key = key.into_boxed_str();
                let former = directory.by_key.insert(key.clone(), team.clone());
                if former.is_some_and(|former| former.name != team.name) {
                    ambiguous.push(key);
                }
            }
        }
        for key in &ambiguous {
            rejected.ambiguous_keys += usize::from(directory.by_key.remove(key).is_some());
        }
        (directory, rejected)
    }

    /// Returns the team that holds a key.
    pub fn team_of(&self, key: &str) -> Option<&Arc<Team>> {
        if key.len() > MAX_KEY_BYTES {
            return None;
        }
        self.by_key.get(key)
    }

    /// Returns a team by its name.
    pub fn team(&self, name: &str) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// Returns all teams, by name.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.by_name.values()
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }
}

impl Debug for TeamDirectory {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("TeamDirectory")
            .field("teams", &self.by_name)
            .field("keys", &self.by_key.len())
            .finish()
    }
}
