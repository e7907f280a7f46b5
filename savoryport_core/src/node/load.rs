//! The load of each server, as this node and the other nodes count it.
//!
//! A request without a first token counts with its expected prefill time in milliseconds, since
//! that is what the next request waits for.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The number of ranks that are counted separately; less urgent ones count as the last of them.
pub const RANKS: usize = 3;

/// Returns the index of a rank in arrays by rank.
pub fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// The load of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The expected prefill time of the requests without a first token, in milliseconds by rank.
    pub prefill_ms: [f32; RANKS],
    /// The number of requests in flight, with or without a first token.
    pub running: u32,
    /// The tokens of KV cache memory that these requests hold besides cached prefixes, by rank.
    pub tokens: [u32; RANKS],
}

impl ServerLoad {
    /// Returns whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.running == 0
    }

    /// Adds another node's load at the same server.
    pub fn add(&mut self, other: &Self) {
        for (sum, ms) in self.prefill_ms.iter_mut().zip(other.prefill_ms) {
            *sum += ms;
        }
        self.running += other.running;
        for (sum, tokens) in self.tokens.iter_mut().zip(other.tokens) {
            *sum = sum.saturating_add(tokens);
        }
    }

    /// Returns the prefill time that a request of this rank waits for, in milliseconds. A prefill
    /// of a less urgent rank is not interrupted once it has started, so half of that time counts.
    pub fn prefill_ahead_ms(&self, rank: u8) -> f32 {
        let index = rank_index(rank);
        let (ahead, behind) = self.prefill_ms.split_at(index + 1);
        ahead.iter().sum::<f32>() + behind.iter().sum::<f32>() / 2.0
    }
}

/// The loads by server: this node's own, and the sums over all other nodes.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    own: HashMap<Name, ServerLoad>,
    other_nodes: HashMap<Name, ServerLoad>,
}

impl LoadTracker {
    /// Counts a request that is sent to a server.
    pub fn start_request(&mut self, server: &Name, rank: u8, prefill_ms: f32) {
        let load = self.own.entry(server.clone()).or_default();
        load.running += 1;
        load.prefill_ms[rank_index(rank)] += prefill_ms;
    }

    /// Records the first token of a request, whose prefill no longer counts.
    pub fn record_first_token(&mut self, server: &str, rank: u8, prefill_ms: f32) {
        if let Some(load) = self.own.get_mut(server) {
            let pending = &mut load.prefill_ms[rank_index(rank)];
            *pending = (*pending - prefill_ms).max(0.0);
        }
    }

    /// Counts the memory of a started request, in tokens of KV cache.
    pub fn hold_tokens(&mut self, server: &str, rank: u8, tokens: u32) {
        if let Some(load) = self.own.get_mut(server) {
            let held = &mut load.tokens[rank_index(rank)];
            *held = held.saturating_add(tokens);
        }
    }

    /// Records that a request gives its memory back, before its end is recorded.
    pub fn release_tokens(&mut self, server: &str, rank: u8, tokens: u32) {
        if let Some(load) = self.own.get_mut(server) {
            let held = &mut load.tokens[rank_index(rank)];
            *held = held.saturating_sub(tokens);
        }
    }

    /// Records the end of a request.
    pub fn end_request(&mut self, server: &str) {
        if let Some(load) = self.own.get_mut(server) {
            load.running = load.running.saturating_sub(1);
            if load.is_idle() {
                self.own.remove(server);
            }
        }
    }

    /// Replaces the sums over the other nodes.
    pub fn set_other_nodes(&mut self, loads: HashMap<Name, ServerLoad>) {
        self.other_nodes = loads;
    }

    /// Returns this node's own loads, by server.
    pub fn own(&self) -> &HashMap<Name, ServerLoad> {
        &self.own
    }

    /// Returns the number of requests in flight over all nodes and servers.
    pub fn requests_in_flight(&self) -> usize {
        let loads = self.own.values().chain(self.other_nodes.values());
        loads.map(|load| load.running as usize).sum()
    }

    /// Returns the load of a server over all nodes.
    pub fn total(&self, server: &str) -> ServerLoad {
        let mut total = self.own.get(server).copied().unwrap_or_default();
        if let Some(other_nodes) = self.other_nodes.get(server) {
            total.add(other_nodes);
        }
        total
    }
}
