//! A bound on repeats, so that retries never become the load that causes them.
//!
//! The bound holds for all nodes together. Each node takes an equal part of the fixed allowance and
//! earns the rest with its own requests, so no message is needed for a retry: the sum of the parts
//! stays within the bound in every window.

use std::collections::HashMap;

use crate::Name;

/// The bound on repeats for one service over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub extra: f64,
}

/// This node's part of the bound, by service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bound: RetryBound,
    nodes: usize,
    left: HashMap<Name, f64>,
}

impl RetryBudget {
    /// The share of the bound that is used; the rest covers nodes that come and go.
    const USED_SHARE: f64 = 0.8;

    /// Starts with a full allowance among `nodes` nodes.
    pub fn new(bound: RetryBound, nodes: usize) -> Self {
        Self { bound, nodes: nodes.max(1), left: HashMap::new() }
    }

    /// Takes the number of nodes that share the bound.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Notes the first send of a request.
    pub fn on_request(&mut self, service: &Name) {
        let (cap, ratio) = (self.cap(), self.bound.ratio * Self::USED_SHARE);
        let left = self.left.entry(service.clone()).or_insert(cap);
        *left = (*left + ratio).min(cap);
    }

    /// Takes one repeat from the budget; returns whether there was one.
    pub fn try_take(&mut self, service: &Name) -> bool {
        let cap = self.cap();
        let left = self.left.entry(service.clone()).or_insert(cap);
        let may = *left >= 1.0;
        if may {
            *left -= 1.0;
        }
        may
    }

    /// Returns whether a repeat could be taken now.
    pub fn can_retry(&self, service: &str) -> bool {
        self.left.get(service).copied().unwrap_or(self.cap()) >= 1.0
    }

    fn cap(&self) -> f64 {
        self.bound.extra * Self::USED_SHARE / self.nodes as f64
    }
}
