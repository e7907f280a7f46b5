//! The node's measurements of the servers, by which requests are routed: loads, cached prefixes,
//! health, speeds, limits and the retry budget.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use savoryport_core::Name;
use savoryport_core::node::admission::ReturnSchedule;
use savoryport_core::node::first_event_numbers::FirstEventNumbers;
use savoryport_core::node::health::HealthTracker;
use savoryport_core::node::load::{LoadTracker, ServerLoad};
use savoryport_core::node::prefix::PrefixCacheIndex;
use savoryport_core::node::quarantine::Quarantine;
use savoryport_core::node::request_quarantine::RequestQuarantine;
use savoryport_core::node::retry_budget::{RetryBound, RetryBudget};
use savoryport_core::node::selection::{SelectionContext, SelectionCosts, SpeedEstimates};
use savoryport_core::node::server_limit::{AllowanceLedger, LimitBook};
use savoryport_core::node::server_notices::ServerNotices;

use super::rpc::{CopyUse, PromptRecord};

/// The maximum number of prompt records kept for the next sync; further ones are dropped. Records
/// that have to wait so long are of little use once they are sent.
const MAX_NEW_PROMPTS: usize = 512;

/// Identifies a copy of a model: the server, the model, and the adapter if requests name one.
pub type CopyKey = (Name, Name, Option<Name>);

/// What a node knows of the servers from its own requests and from other nodes.
#[derive(Debug)]
pub struct RoutingState {
    /// Requests and prefill work in progress by server.
    pub loads: LoadTracker,
    /// When this node last learned of the other nodes' loads.
    pub other_loads_at: Option<Instant>,
    /// The prompt prefixes that each server has probably cached.
    pub prefixes: PrefixCacheIndex,
    /// Failure rates and pauses by server.
    pub health: HealthTracker,
    /// The crashes of servers, and the parts of prompts that are refused because of them.
    pub quarantine: Quarantine,
    /// The crashes of servers, and the requests that are refused because of them.
    pub request_quarantine: RequestQuarantine,
    /// Running averages of the speeds of models and servers.
    pub speeds: SpeedEstimates,
    /// What servers announced in their answers.
    pub notices: ServerNotices,
    /// The request rates that servers in need name.
    pub limits: LimitBook,
    /// The permits that this node granted as the owner of servers' allowances.
    pub allowances: AllowanceLedger,
    /// The numbers that the streams of each kind of server begin with.
    pub first_events: FirstEventNumbers,
    /// The retries that may still be sent.
    pub retry_budget: RetryBudget,
    /// When refused callers return.
    pub returns: ReturnSchedule,
    /// The number of this node's requests in progress by copy.
    pub requests_by_copy: HashMap<CopyKey, u32>,
    /// Server time that requests asked for since the last sync, by model, in milliseconds.
    pub work_ms: HashMap<Name, f64>,
    /// Prompts that were sent to servers since the last sync.
    pub new_prompts: Vec<PromptRecord>,
    selection_costs: SelectionCosts,
}

/// The routing state shared by the tasks of a node.
#[derive(Debug)]
pub struct SharedRoutingState(Mutex<RoutingState>);

impl SharedRoutingState {
    /// Creates an empty state; `nodes` nodes share the retry bound.
    pub fn new(
        bound: RetryBound,
        nodes: usize,
        selection_costs: SelectionCosts,
        prefixes: PrefixCacheIndex,
    ) -> Self {
        Self(Mutex::new(RoutingState {
            loads: LoadTracker::default(),
            other_loads_at: None,
            prefixes,
            health: HealthTracker::default(),
            quarantine: Quarantine::default(),
            request_quarantine: RequestQuarantine::default(),
            speeds: SpeedEstimates::default(),
            notices: ServerNotices::default(),
            limits: LimitBook::default(),
            allowances: AllowanceLedger::default(),
            first_events: FirstEventNumbers::default(),
            retry_budget: RetryBudget::new(bound, nodes),
            returns: ReturnSchedule::default(),
            requests_by_copy: HashMap::new(),
            work_ms: HashMap::new(),
            new_prompts: Vec::new(),
            selection_costs,
        }))
    }

    /// Locks the state. The guard must be held only briefly, since every request takes it.
    pub fn lock(&self) -> MutexGuard<'_, RoutingState> {
        self.0.lock().expect("no thread panics while holding the lock")
    }
}

impl RoutingState {
    /// Returns what the selection of a server needs.
    pub fn selection_context(&self, now: Instant) -> SelectionContext<'_> {
        SelectionContext {
            loads: &self.loads,
            prefixes: &self.prefixes,
            health: &self.health,
            speeds: &self.speeds,
            costs: self.selection_costs,
            now,
        }
    }

    /// Replaces the sums of the loads of all other nodes.
    pub fn set_other_loads(&mut self, loads: HashMap<Name, ServerLoad>, now: Instant) {
        self.loads.set_other_nodes(loads);
        self.other_loads_at = Some(now);
    }

    /// Records a prompt that was sent to a server with a cache of `cache_tokens` tokens.
    pub fn record_prompt(&mut self, record: PromptRecord, cache_tokens: u64, now: Instant) {
        let PromptRecord { server, incarnation, keys } = &record;
        self.prefixes.record(server, *incarnation, keys, cache_tokens, now);
        if self.new_prompts.len() < MAX_NEW_PROMPTS {
            self.new_prompts.push(record);
        }
    }

    /// Forgets a prompt that was recorded at `recorded_at`, as the server refused it. Without weighing,
    /// refused prompts count too.
    pub fn forget_prompt(&mut self, record: &PromptRecord, recorded_at: Instant) {
        if !self.prefixes.is_weighing() {
            return;
        }
        if let Some(index) = self.new_prompts.iter().rposition(|new| new == record) {
            self.new_prompts.remove(index);
        }
        self.prefixes.forget(&record.server, record.incarnation, &record.keys, recorded_at);
    }

    /// Returns the copies that this node's requests use.
    pub fn copies_in_use(&self) -> Vec<CopyUse> {
        let uses =
            self.requests_by_copy.iter().map(|((server, model, adapter), requests)| CopyUse {
                server: server.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                requests: *requests,
            });
        uses.collect()
    }

    /// Removes the servers that `keep` rejects; a copy stays while requests use it.
    pub fn retain_servers(&mut self, keep: impl Fn(&str) -> bool) {
        self.prefixes.retain(&keep);
        self.health.retain(&keep);
        self.notices.retain(&keep);
        self.speeds.retain(&keep);
        self.limits.retain(&keep);
        self.allowances.retain(&keep);
        self.requests_by_copy.retain(|(server, ..), requests| *requests > 0 || keep(server));
    }
}
