//! The prompts that were recently sent to servers, in the order in which this domain leader learned
//! of them.
//!
//! Load pattern: many prompts share few prefixes. A node that does not know where a prefix is
//! cached sends the prompt to a server that has to prefill it again, so every shared prefix is
//! announced to every node. The part that belongs to one request is sent only within its failure
//! domain, because the bandwidth between regions is low.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use savoryport_core::Name;

use super::rpc::PromptRecord;

/// The number of records that are kept; a node that is further behind misses some.
const MAX_RECORDS: usize = 1_024;

/// A shared prefix is announced to other failure domains again after this time, so that it stays
/// among the recently used ones there.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(5);

/// The recent prompts known to a domain leader, numbered from 1.
#[derive(Debug, Default)]
pub struct PromptLog {
    entries: VecDeque<LogEntry>,
    /// The number of the last entry.
    last_number: u64,
    /// When each shared prefix was last announced, by server, incarnation and key.
    announced: HashMap<(Name, u64, u64), Instant>,
}

#[derive(Debug)]
struct LogEntry {
    number: u64,
    /// The node that sent the prompt, if it belongs to this failure domain.
    vm: Option<Name>,
    record: PromptRecord,
    /// Whether the shared prefix is announced to other failure domains.
    is_announced: bool,
}

impl PromptLog {
    /// Adds prompts that a node of this failure domain sent to servers.
    pub fn add_local(&mut self, vm: &Name, prompts: &[PromptRecord], now: Instant) {
        for record in prompts {
            let is_announced = self.should_announce(record, now);
            self.push(Some(vm.clone()), record.clone(), is_announced);
        }
    }

    /// Adds prompts that another failure domain announced.
    pub fn add_remote(&mut self, prompts: &[PromptRecord]) {
        for record in prompts {
            self.push(None, record.clone(), false);
        }
    }

    /// Returns the number of the last record, and the records after number `position` that `vm` did
    /// not send itself.
    pub fn records_since(&self, position: u64, vm: &str) -> (u64, Vec<PromptRecord>) {
        let entries = self.entries_after(position).filter(|entry| entry.vm.as_deref() != Some(vm));
        (self.last_number, entries.map(|entry| entry.record.clone()).collect())
    }

    /// Returns the number of the last record, and the shared prefixes to announce to another
    /// failure domain that were added after number `position`.
    pub fn shared_prefixes_since(&self, position: u64) -> (u64, Vec<PromptRecord>) {
        let entries = self.entries_after(position).filter(|entry| entry.is_announced);
        let shared = entries.map(|LogEntry { record, .. }| PromptRecord {
            keys: record.shared_keys().iter().copied().collect(),
            ..record.clone()
        });
        (self.last_number, shared.collect())
    }

    fn entries_after(&self, position: u64) -> impl Iterator<Item = &LogEntry> {
        self.entries.iter().filter(move |entry| entry.number > position)
    }

    fn push(&mut self, vm: Option<Name>, record: PromptRecord, is_announced: bool) {
        self.last_number += 1;
        self.entries.push_back(LogEntry { number: self.last_number, vm, record, is_announced });
        while self.entries.len() > MAX_RECORDS {
            self.entries.pop_front();
        }
    }

    /// Returns whether the record's shared prefix is due to be announced to other failure domains,
    /// and records the time if it is.
    fn should_announce(&mut self, record: &PromptRecord, now: Instant) -> bool {
        let Some((key, _)) = record.shared_keys().last() else { return false };
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < ANNOUNCE_PERIOD;
        if self.announced.len() > MAX_RECORDS {
            self.announced.retain(|_, at| is_recent(at));
        }
        let prefix = (record.server.clone(), record.incarnation, *key);
        match self.announced.entry(prefix) {
            Entry::Occupied(announced) if is_recent(announced.get()) => false,
            entry => {
                entry.insert_entry(now);
                true
            }
        }
    }
}
