//! When requests, or what they have in common, were last answered by a server.

use std::collections::HashMap;
use std::time::Instant;

/// The number of ids that are kept in each of two generations.
const MAX_ANSWERED: usize = 4_096;

/// When ids were last answered, in two generations of bounded size.
#[derive(Debug, Clone, Default)]
pub(super) struct AnsweredIds {
    recent: HashMap<u64, Instant>,
    older: HashMap<u64, Instant>,
}

impl AnsweredIds {
    pub(super) fn insert(&mut self, id: u64, now: Instant) {
        if self.recent.len() >= MAX_ANSWERED {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(id, now);
    }

    pub(super) fn get(&self, id: u64) -> Option<Instant> {
        self.recent.get(&id).or_else(|| self.older.get(&id)).copied()
    }
}
