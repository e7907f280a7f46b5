//! A retry budget, so that retries never become the overload that causes further retries.
//!
//! The bound on retries holds for all nodes together. Each node gets an equal part of the fixed
//! allowance, and adds a share of a retry to its budget with each of its own requests. Nodes
//! therefore need no messages to agree on a retry: the sum of their parts stays within the bound in
//! every window.
//!
//! Where there are so many nodes that a part is less than one retry, a node retries only by what its
//! own latest requests allow. Credit that lasted longer would add up over all nodes to more than the
//! bound.

use std::collections::HashMap;
use std::time::{Duration, Instant};

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
    available: HashMap<Name, Credit>,
}

#[derive(Debug, Clone, Copy)]
struct Credit {
    retries: f64,
    /// Since when the retries were added that expire together.
    since: Instant,
}

/// How long the credit of a node lasts whose part is less than one retry. It is at most as long as the
/// windows in which the users' deployments count retries.
const CREDIT_LIFETIME: Duration = Duration::from_secs(5);

/// The share of the ratio that such a node uses. A window may see the credit of the time before it,
/// too.
const SHORT_CREDIT_SHARE: f64 = 0.5;

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
    pub fn on_request(&mut self, service: &Name, now: Instant) {
        let mut credit = self.credit(service, now);
        let part = self.part();
        let (share, cap) =
            if part < 1.0 { (SHORT_CREDIT_SHARE, 1.0) } else { (Self::USED_SHARE, part) };
        credit.retries = (credit.retries + self.bound.ratio * share).min(cap);
        self.available.insert(service.clone(), credit);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_take(&mut self, service: &Name, now: Instant) -> bool {
        let mut credit = self.credit(service, now);
        let allowed = credit.retries >= 1.0;
        if allowed {
            credit.retries -= 1.0;
            self.available.insert(service.clone(), credit);
        }
        allowed
    }

    /// Returns whether a retry could be taken now.
    pub fn can_retry(&self, service: &str, now: Instant) -> bool {
        self.credit(service, now).retries >= 1.0
    }

    fn credit(&self, service: &str, now: Instant) -> Credit {
        let part = self.part();
        let known = self.available.get(service).copied();
        match known {
            None => Credit { retries: if part < 1.0 { 0.0 } else { part }, since: now },
            Some(credit)
                if part < 1.0 && now.saturating_duration_since(credit.since) >= CREDIT_LIFETIME =>
            {
                Credit { retries: 0.0, since: now }
            }
            Some(credit) => credit,
        }
    }

    /// Returns this node's part of the retries that are allowed whatever the number of requests.
    fn part(&self) -> f64 {
        self.bound.extra * Self::USED_SHARE / self.nodes as f64
    }
}
