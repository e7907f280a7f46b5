//! What a node counts while requests run: loads, caches, health, speeds and the retry budget.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use savoryport_core::Name;
use savoryport_core::node::budget::{RetryBound, RetryBudget};
use savoryport_core::node::health::HealthBoard;
use savoryport_core::node::load::LoadBoard;
use savoryport_core::node::prefix::PrefixMap;
use savoryport_core::node::selection::{SelectionContext, SelectionCosts, Speeds};

use super::rpc::{CopyUse, PromptRecord};

/// Prompt records that wait for the next sync at most; older ones are of little use by then.
const MAX_PROMPTS: usize = 512;

/// A copy at a server: the model, and the adapter that requests name.
pub type CopyKey = (Name, Name, Option<Name>);

/// The boards of a node.
#[derive(Debug)]
pub struct RoutingState {
    /// What runs where.
    pub loads: LoadBoard,
    /// Which prefixes are cached where.
    pub prefixes: PrefixMap,
    /// How far servers are trusted.
    pub health: HealthBoard,
    /// How fast models and servers are.
    pub speeds: Speeds,
    /// Repeats that are left.
    pub retry_budget: RetryBudget,
    /// Requests under way by copy.
    pub copies: HashMap<CopyKey, u32>,
    /// Work by model since the last sync, in milliseconds.
    pub work_ms: HashMap<Name, f64>,
    /// Prompts sent since the last sync.
    pub new_prompts: Vec<PromptRecord>,
    costs: SelectionCosts,
}

/// RoutingState shared by the tasks of a node.
#[derive(Debug)]
pub struct SharedRoutingState(Mutex<RoutingState>);

impl SharedRoutingState {
    /// Starts with empty boards.
    pub fn new(bound: RetryBound, nodes: usize, costs: SelectionCosts) -> Self {
        Self(Mutex::new(RoutingState {
            loads: LoadBoard::default(),
            prefixes: PrefixMap::default(),
            health: HealthBoard::default(),
            speeds: Speeds::default(),
            retry_budget: RetryBudget::new(bound, nodes),
            copies: HashMap::new(),
            work_ms: HashMap::new(),
            new_prompts: Vec::new(),
            costs,
        }))
    }

    /// Locks the boards for a moment.
    pub fn lock(&self) -> MutexGuard<'_, RoutingState> {
        self.0.lock().expect("no holder panics")
    }
}

impl RoutingState {
    /// Returns what a choice needs.
    pub fn selection(&self, now: Instant) -> SelectionContext<'_> {
        SelectionContext {
            loads: &self.loads,
            prefixes: &self.prefixes,
            health: &self.health,
            speeds: &self.speeds,
            costs: self.costs,
            now,
        }
    }

    /// Notes a prompt that was sent to a server.
    pub fn record_prompt(&mut self, record: PromptRecord, cache_tokens: u64, now: Instant) {
        let PromptRecord { server, incarnation, keys } = &record;
        self.prefixes.record(server, *incarnation, keys, cache_tokens, now);
        if self.new_prompts.len() < MAX_PROMPTS {
            self.new_prompts.push(record);
        }
    }

    /// Returns the copies in use.
    pub fn copies_in_use(&self) -> Vec<CopyUse> {
        let uses = self.copies.iter().map(|((server, model, adapter), requests)| CopyUse {
            server: server.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
            requests: *requests,
        });
        uses.collect()
    }

    /// Forgets the servers that `keep` rejects.
    pub fn retain_servers(&mut self, keep: impl Fn(&str) -> bool) {
        self.prefixes.retain(&keep);
        self.health.retain(&keep);
        self.speeds.retain(&keep);
        self.copies.retain(|(server, ..), requests| *requests > 0 || keep(server));
    }
}
