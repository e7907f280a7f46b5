//! A retry budget, so that retries never become the overload that causes further retries.
//!
//! The bound on retries holds for all nodes together. Each node gets an equal part of the fixed
//! allowance, and adds a share of a retry to its budget with each of its own requests. Nodes
//! therefore need no messages to agree on a retry: the sum of their parts stays within the bound in
//! every window.

use std::collections::HashMap;

use crate::Name;

/// The bound on the retries of one service, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition, whatever the number of requests.
    pub extra: f64,
}

/// This node's part of the bound, by service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bound: RetryBound,
    nodes: usize,
    available: HashMap<Name, f64>,
}

impl RetryBudget {
    /// The share of the bound that is used; the rest is a margin for nodes that join and leave.
    const USED_SHARE: f64 = 0.8;

    /// Creates the budget of one of `nodes` nodes, with its full part of the allowance.
    pub fn new(bound: RetryBound, nodes: usize) -> Self {
        Self { bound, nodes: nodes.max(1), available: HashMap::new() }
    }

    /// Sets the number of nodes that share the bound.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Adds the share of a retry that a request allows. Called when the request is first sent.
    pub fn on_request(&mut self, service: &Name) {
        let (cap, ratio) = (self.cap(), self.bound.ratio * Self::USED_SHARE);
        let available = self.available.entry(service.clone()).or_insert(cap);
        *available = (*available + ratio).min(cap);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_take(&mut self, service: &Name) -> bool {
        let cap = self.cap();
        let available = self.available.entry(service.clone()).or_insert(cap);
        let allowed = *available >= 1.0;
        if allowed {
            *available -= 1.0;
        }
        allowed
    }

    /// Returns whether a retry could be taken now.
    pub fn can_retry(&self, service: &str) -> bool {
        self.available.get(service).copied().unwrap_or(self.cap()) >= 1.0
    }

    fn cap(&self) -> f64 {
        self.bound.extra * Self::USED_SHARE / self.nodes as f64
    }
}
