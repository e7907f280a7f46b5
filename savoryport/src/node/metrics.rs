//! Counters and histograms of a node.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use savoryport_core::node::deployment::Route;
use savoryport_core::node::orders::OrderAnswer;

use super::response::RefusalCause;

/// Labels of an ended request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EndLabels {
    /// The rank.
    pub rank: u8,
    /// How it ended.
    pub outcome: String,
}

/// The rank of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RankLabels {
    /// The rank.
    pub rank: u8,
}

/// Why a request got no answer of a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabels {
    /// The cause.
    pub cause: &'static str,
}

/// Labels of an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// What was ordered.
    pub order: &'static str,
    /// What the server said.
    pub answer: &'static str,
}

/// The metrics of a node.
#[derive(Clone)]
pub struct NodeMetrics {
    /// Ended requests.
    pub requests: Family<EndLabels, Counter>,
    /// Seconds from arrival to the end.
    pub duration: Family<RankLabels, Histogram, fn() -> Histogram>,
    /// Requests without an answer of a server.
    pub refusals: Family<CauseLabels, Counter>,
    /// Answers of servers that did not run the request.
    pub not_run: Counter,
    /// Streams that went on at another server.
    pub resumed: Counter,
    /// Orders to engines.
    pub orders: Family<OrderLabels, Counter>,
    /// Moves of models that were decided.
    pub loads: Counter,
    /// Reports read from engines.
    pub reports: Counter,
    /// Calls of the store.
    pub store_calls: Counter,
    /// Calls of the store that failed.
    pub store_failures: Counter,
}

fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 12))
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            duration: Family::new_with_constructor(seconds as fn() -> Histogram),
            refusals: Family::default(),
            not_run: Counter::default(),
            resumed: Counter::default(),
            orders: Family::default(),
            loads: Counter::default(),
            reports: Counter::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
        }
    }
}

impl NodeMetrics {
    /// Counts an ended request.
    pub fn note_end(&self, route: &Route, outcome: &str, elapsed: Duration) {
        let labels = EndLabels { rank: route.rank, outcome: outcome.to_owned() };
        self.requests.get_or_create(&labels).inc();
        let rank = RankLabels { rank: route.rank };
        self.duration.get_or_create(&rank).observe(elapsed.as_secs_f64());
    }

    /// Counts a request without an answer of a server.
    pub fn note_refusal(&self, cause: RefusalCause) {
        self.refusals.get_or_create(&CauseLabels { cause: cause.name() }).inc();
    }

    /// Counts an order.
    pub fn note_order(&self, order: &'static str, answer: OrderAnswer) {
        let answer = match answer {
            OrderAnswer::Accepted => "accepted",
            OrderAnswer::AlreadyHolds => "already-holds",
            OrderAnswer::Conflict => "conflict",
            OrderAnswer::Rejected => "rejected",
            OrderAnswer::Unanswered => "unanswered",
        };
        self.orders.get_or_create(&OrderLabels { order, answer }).inc();
    }

    /// Registers everything under its name.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("savoryport");
        registry.register("requests", "Ended requests", self.requests.clone());
        registry.register(
            "request_duration_seconds",
            "Time from arrival to the end",
            self.duration.clone(),
        );
        registry.register("refusals", "Requests without a server's answer", self.refusals.clone());
        registry.register("not_run", "Refusals by servers", self.not_run.clone());
        registry.register("resumed_streams", "Streams resumed elsewhere", self.resumed.clone());
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register("model_moves", "Moves of models decided", self.loads.clone());
        registry.register("engine_reports", "Reports read from engines", self.reports.clone());
        registry.register("store_calls", "Calls of the store", self.store_calls.clone());
        registry.register(
            "store_failures",
            "Failed calls of the store",
            self.store_failures.clone(),
        );
        registry
    }
}
