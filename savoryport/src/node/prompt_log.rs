//! Prompts that servers have read lately, in the order in which this duty holder heard of them.
//!
//! Load pattern: many prompts with few beginnings. A node that does not know where a beginning is
//! cached has it read again, so every node hears of every beginning; only what one request adds to it
//! stays inside its failure domain, because links between regions are narrow.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use savoryport_core::Name;

use super::rpc::PromptRecord;

/// Records that are kept; a node that is further behind misses some.
const MAX_RECORDS: usize = 1_024;

/// A beginning is told to other failure domains again after this time, so that it stays among those
/// that were used lately.
const RETELL_PERIOD: Duration = Duration::from_secs(5);

/// The log of a duty holder.
#[derive(Debug, Default)]
pub struct PromptLog {
    records: VecDeque<Entered>,
    count: u64,
    /// Shared beginnings by server, incarnation and key, with the time when they were last news.
    told: HashMap<(Name, u64, u64), Instant>,
}

#[derive(Debug)]
struct Entered {
    number: u64,
    /// The node that sent the prompt, if it is of this failure domain.
    vm: Option<Name>,
    record: PromptRecord,
    /// Whether other failure domains are told.
    is_news: bool,
}

impl PromptLog {
    /// Enters prompts that a node of this failure domain sent.
    pub fn add_local(&mut self, vm: &Name, prompts: &[PromptRecord], now: Instant) {
        for record in prompts {
            let is_news = self.is_news(record, now);
            self.push(Some(vm.clone()), record.clone(), is_news);
        }
    }

    /// Enters prompts that another failure domain told.
    pub fn add_remote(&mut self, prompts: &[PromptRecord]) {
        for record in prompts {
            self.push(None, record.clone(), false);
        }
    }

    /// Returns the position after the last record, and the records after `position` that `vm` did not
    /// send itself.
    pub fn records_since(&self, position: u64, vm: &str) -> (u64, Vec<PromptRecord>) {
        let news = self.after(position).filter(|entered| entered.vm.as_deref() != Some(vm));
        (self.count, news.map(|entered| entered.record.clone()).collect())
    }

    /// Returns the position after the last record, and the shared beginnings after `position` for
    /// another failure domain.
    pub fn shared_prefixes_since(&self, position: u64) -> (u64, Vec<PromptRecord>) {
        let news = self.after(position).filter(|entered| entered.is_news);
        let shared = news.map(|Entered { record, .. }| PromptRecord {
            keys: record.shared_keys().iter().copied().collect(),
            ..record.clone()
        });
        (self.count, shared.collect())
    }

    fn after(&self, position: u64) -> impl Iterator<Item = &Entered> {
        self.records.iter().filter(move |entered| entered.number > position)
    }

    fn push(&mut self, vm: Option<Name>, record: PromptRecord, is_news: bool) {
        self.count += 1;
        self.records.push_back(Entered { number: self.count, vm, record, is_news });
        while self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns whether other failure domains have not heard of the record's beginning lately.
    fn is_news(&mut self, record: &PromptRecord, now: Instant) -> bool {
        let Some((key, _)) = record.shared_keys().last() else { return false };
        let is_recent = |told: &Instant| now.saturating_duration_since(*told) < RETELL_PERIOD;
        if self.told.len() > MAX_RECORDS {
            self.told.retain(|_, told| is_recent(told));
        }
        let beginning = (record.server.clone(), record.incarnation, *key);
        match self.told.entry(beginning) {
            Entry::Occupied(told) if is_recent(told.get()) => false,
            entry => {
                entry.insert_entry(now);
                true
            }
        }
    }
}
