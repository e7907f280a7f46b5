//! What runs and waits at each server, as this node and others count it.
//!
//! Work that has not produced a first token is counted in milliseconds of prefill, since that is
//! what the next request waits for.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Ranks that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 3;

/// Returns the position of a rank in arrays by rank.
pub fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// What is under way at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Milliseconds of prefill by rank that were sent and have no first token yet.
    pub prefill_ms: [f32; RANKS],
    /// Requests under way, with or without a first token.
    pub running: u32,
}

impl ServerLoad {
    /// Returns whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.running == 0
    }

    /// Adds what another node has under way.
    pub fn add(&mut self, other: &Self) {
        for (sum, ms) in self.prefill_ms.iter_mut().zip(other.prefill_ms) {
            *sum += ms;
        }
        self.running += other.running;
    }

    /// Returns the prefill that a request of this rank waits for. Less urgent prompts that are
    /// already being read are not interrupted, so half of theirs counts.
    pub fn prefill_ahead_ms(&self, rank: u8) -> f32 {
        let position = rank_index(rank);
        let (ahead, behind) = self.prefill_ms.split_at(position + 1);
        ahead.iter().sum::<f32>() + behind.iter().sum::<f32>() / 2.0
    }
}

/// Loads by server: this node's own, and the sum of all others.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    own: HashMap<Name, ServerLoad>,
    others: HashMap<Name, ServerLoad>,
}

impl LoadTracker {
    /// Notes a request that leaves for a server.
    pub fn start_request(&mut self, server: &Name, rank: u8, prefill_ms: f32) {
        let load = self.own.entry(server.clone()).or_default();
        load.running += 1;
        load.prefill_ms[rank_index(rank)] += prefill_ms;
    }

    /// Notes the first token of a request.
    pub fn record_first_token(&mut self, server: &str, rank: u8, prefill_ms: f32) {
        if let Some(load) = self.own.get_mut(server) {
            let waiting = &mut load.prefill_ms[rank_index(rank)];
            *waiting = (*waiting - prefill_ms).max(0.0);
        }
    }

    /// Notes the end of a request.
    pub fn end_request(&mut self, server: &str) {
        if let Some(load) = self.own.get_mut(server) {
            load.running = load.running.saturating_sub(1);
            if load.is_idle() {
                self.own.remove(server);
            }
        }
    }

    /// Takes the sums of the other nodes.
    pub fn set_other_nodes(&mut self, others: HashMap<Name, ServerLoad>) {
        self.others = others;
    }

    /// Returns this node's own loads.
    pub fn own(&self) -> &HashMap<Name, ServerLoad> {
        &self.own
    }

    /// Returns what all nodes together have under way at a server.
    pub fn total(&self, server: &str) -> ServerLoad {
        let mut total = self.own.get(server).copied().unwrap_or_default();
        if let Some(others) = self.others.get(server) {
            total.add(others);
        }
        total
    }
}
