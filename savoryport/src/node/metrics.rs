//! The metrics of a node.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use savoryport_core::node::deployment::Route;
use savoryport_core::node::orders::OrderAnswer;
use savoryport_core::node::prefix_value::{PrefixOutcome, judge_prefix};

use super::response::RefusalCause;
use crate::connection_limit::Closings;

/// Labels of an ended request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The rank.
    pub rank: u8,
    /// The outcome, under the same name as in the log.
    pub outcome: String,
}

/// Labels of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RankLabels {
    /// The rank.
    pub rank: u8,
}

/// Labels of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabels {
    /// The name of the cause.
    pub cause: &'static str,
}

/// Labels of a team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TeamLabels {
    /// The team, or `other` beyond the number of teams that have metrics of their own.
    pub team: String,
}

/// Labels of a refusal to a team.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TeamCauseLabels {
    /// The team, or `other` beyond the number of teams that have metrics of their own.
    pub team: String,
    /// The name of the cause.
    pub cause: &'static str,
}

/// Labels of an order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// The name of the operation.
    pub order: &'static str,
    /// The name of the server's answer.
    pub answer: &'static str,
}

/// Labels of a request for which a cached prefix was expected.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PrefixLabels {
    /// Whether the server held it, judging by the time to the first token.
    pub outcome: &'static str,
}

/// The metrics of a node.
#[derive(Clone)]
pub struct NodeMetrics {
    /// Requests that ended.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Time from the arrival of a request to its end, in seconds.
    pub duration: Family<RankLabels, Histogram, fn() -> Histogram>,
    /// Requests that ended without a server's response.
    pub refusals: Family<CauseLabels, Counter>,
    /// Units of their quotas that requests of teams used at this node.
    pub team_units: Family<TeamLabels, Counter>,
    /// Requests of teams that were within their quotas.
    pub team_requests: Family<TeamLabels, Counter>,
    /// Requests of teams that ended without a server's response.
    pub team_refusals: Family<TeamCauseLabels, Counter>,
    /// The number of nodes whose use of quotas this node hears of.
    pub quota_nodes_heard: Gauge,
    /// The number of nodes that may be there.
    pub quota_nodes_known: Gauge,
    /// Responses of servers that did not run the request.
    pub not_run: Counter,
    /// Streams that were resumed at another server.
    pub resumed_streams: Counter,
    /// Streams whose server ended them inside an event.
    pub cut_events: Counter,
    /// Events of resumable streams that did not follow the one before.
    pub spoiled_events: Counter,
    /// Streams whose first event was held until the next one.
    pub held_first_events: Counter,
    /// Requests that were refused since nobody knew which software version began their streams.
    pub unknown_origins: Counter,
    /// Questions to the store for the software versions, since a stream was not known.
    pub version_lookups: Counter,
    /// Writes of streams and their software versions to the store.
    pub origin_writes: Counter,
    /// Times at which this node lost its links to all servers.
    pub server_link_losses: Counter,
    /// Requests that were passed on to another node meanwhile.
    pub relayed_requests: Counter,
    /// Servers that crashed while requests of this node waited for their first events.
    pub server_crashes: Counter,
    /// Records of crashes written to the store.
    pub crash_writes: Counter,
    /// Records of crashes that could not be written to the store.
    pub crash_write_failures: Counter,
    /// Servers that name a limit.
    pub limited_servers: Gauge,
    /// Changes of servers' limits that this node learned of.
    pub limit_changes: Counter,
    /// Permits for servers with a limit that this node was denied.
    pub denied_permits: Counter,
    /// Parts of prompts in quarantine.
    pub quarantined_parts: Gauge,
    /// Requests in quarantine.
    pub quarantined_requests: Gauge,
    /// The memory reserved for callers' bodies, in bytes.
    pub caller_body_bytes: Gauge,
    /// Callers' bodies that wait for memory.
    pub caller_waiting_bodies: Gauge,
    /// Incomplete heads of callers' requests, in bytes.
    pub caller_head_bytes: Gauge,
    /// Callers' connections.
    pub caller_connections: Gauge,
    /// The memory of servers' responses that are read to their end, in bytes.
    pub response_bytes: Gauge,
    /// The memory of chunks of streams that callers have not read yet, in bytes.
    pub stream_bytes: Gauge,
    /// Idle connections to servers.
    pub pooled_connections: Gauge,
    /// Connections that the node closed.
    pub closed_connections: Closings,
    /// Orders sent to engines.
    pub orders: Family<OrderLabels, Counter>,
    /// Moves of models that the planner decided on.
    pub model_moves: Counter,
    /// Reports received from engines.
    pub engine_reports: Counter,
    /// Prefill time that cached prefixes were expected to save, in milliseconds.
    pub prefix_saving_ms: Counter,
    /// Requests with a considerable expected saving.
    pub prefixes: Family<PrefixLabels, Counter>,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 12))
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            duration: Family::new_with_constructor(duration_histogram as fn() -> Histogram),
            refusals: Family::default(),
            team_units: Family::default(),
            team_requests: Family::default(),
            team_refusals: Family::default(),
            quota_nodes_heard: Gauge::default(),
            quota_nodes_known: Gauge::default(),
            not_run: Counter::default(),
            resumed_streams: Counter::default(),
            cut_events: Counter::default(),
            spoiled_events: Counter::default(),
            held_first_events: Counter::default(),
            unknown_origins: Counter::default(),
            version_lookups: Counter::default(),
            server_link_losses: Counter::default(),
            relayed_requests: Counter::default(),
            origin_writes: Counter::default(),
            crash_writes: Counter::default(),
            crash_write_failures: Counter::default(),
            server_crashes: Counter::default(),
            limited_servers: Gauge::default(),
            limit_changes: Counter::default(),
            denied_permits: Counter::default(),
            quarantined_parts: Gauge::default(),
            quarantined_requests: Gauge::default(),
            caller_body_bytes: Gauge::default(),
            caller_waiting_bodies: Gauge::default(),
            caller_head_bytes: Gauge::default(),
            caller_connections: Gauge::default(),
            response_bytes: Gauge::default(),
            stream_bytes: Gauge::default(),
            pooled_connections: Gauge::default(),
            closed_connections: Closings::default(),
            orders: Family::default(),
            model_moves: Counter::default(),
            engine_reports: Counter::default(),
            prefix_saving_ms: Counter::default(),
            prefixes: Family::default(),
            store_calls: Counter::default(),
            store_failures: Counter::default(),
        }
    }
}

impl NodeMetrics {
    /// Counts a request that ended, and records its duration.
    pub fn record_request_end(&self, route: &Route, outcome: &str, elapsed: Duration) {
        let labels = OutcomeLabels { rank: route.rank, outcome: outcome.to_owned() };
        self.requests.get_or_create(&labels).inc();
        let labels = RankLabels { rank: route.rank };
        self.duration.get_or_create(&labels).observe(elapsed.as_secs_f64());
    }

    /// Counts a request that ended without a server's response.
    pub fn record_refusal(&self, cause: RefusalCause) {
        self.refusals.get_or_create(&CauseLabels { cause: cause.name() }).inc();
    }

    /// Counts an order and its answer.
    pub fn record_order(&self, order: &'static str, answer: OrderAnswer) {
        let answer = match answer {
            OrderAnswer::Accepted => "accepted",
            OrderAnswer::AlreadyHolds => "already-holds",
            OrderAnswer::Conflict => "conflict",
            OrderAnswer::Rejected => "rejected",
            OrderAnswer::Unanswered => "unanswered",
        };
        self.orders.get_or_create(&OrderLabels { order, answer }).inc();
    }

    /// Counts the expected saving of a request with a first token, and whether the server seems to
    /// have held the prefix.
    pub fn record_prefix(&self, expected: Duration, saving: Duration, took: Duration) {
        self.prefix_saving_ms.inc_by(saving.as_millis() as u64);
        let outcome = match judge_prefix(expected, saving, took) {
            Some(PrefixOutcome::Found) => "found",
            Some(PrefixOutcome::Missed) => "missed",
            None => return,
        };
        self.prefixes.get_or_create(&PrefixLabels { outcome }).inc();
    }

    /// Returns a registry with all metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("savoryport");
        registry.register("requests", "Ended requests", self.requests.clone());
        registry.register(
            "request_duration_seconds",
            "Time from arrival to the end",
            self.duration.clone(),
        );
        registry.register("refusals", "Requests without a server's answer", self.refusals.clone());
        registry.register(
            "team_units",
            "Units of quotas that teams used at this node",
            self.team_units.clone(),
        );
        registry.register(
            "team_requests",
            "Requests of teams within their quotas",
            self.team_requests.clone(),
        );
        registry.register(
            "team_refusals",
            "Requests of teams without a server's answer",
            self.team_refusals.clone(),
        );
        registry.register(
            "quota_nodes_heard",
            "Nodes whose use of quotas this node hears of",
            self.quota_nodes_heard.clone(),
        );
        registry.register(
            "quota_nodes_known",
            "Nodes that may use quotas",
            self.quota_nodes_known.clone(),
        );
        registry.register("not_run", "Refusals by servers", self.not_run.clone());
        registry.register(
            "resumed_streams",
            "Streams resumed elsewhere",
            self.resumed_streams.clone(),
        );
        registry.register(
            "cut_events",
            "Streams whose server ended them inside an event",
            self.cut_events.clone(),
        );
        registry.register(
            "spoiled_events",
            "Events that did not follow the one before",
            self.spoiled_events.clone(),
        );
        registry.register(
            "held_first_events",
            "Streams whose first event was held until the next one",
            self.held_first_events.clone(),
        );
        registry.register(
            "unknown_origins",
            "Streams not taken up since their software version was not known",
            self.unknown_origins.clone(),
        );
        registry.register(
            "version_lookups",
            "Questions to the store for the software versions, since a stream was not known",
            self.version_lookups.clone(),
        );
        registry.register(
            "origin_writes",
            "Writes of streams and their software versions to the store",
            self.origin_writes.clone(),
        );
        registry.register(
            "server_link_losses",
            "Losses of the links to all servers",
            self.server_link_losses.clone(),
        );
        registry.register(
            "relayed_requests",
            "Requests passed on to another node",
            self.relayed_requests.clone(),
        );
        registry.register(
            "crash_writes",
            "Records of crashes written to the store",
            self.crash_writes.clone(),
        );
        registry.register(
            "crash_write_failures",
            "Records of crashes not written to the store",
            self.crash_write_failures.clone(),
        );
        registry.register(
            "limited_servers",
            "Servers that name a limit",
            self.limited_servers.clone(),
        );
        registry.register(
            "limit_changes",
            "Changes of servers' limits",
            self.limit_changes.clone(),
        );
        registry.register(
            "denied_permits",
            "Denied permits for servers with a limit",
            self.denied_permits.clone(),
        );
        registry.register(
            "server_crashes",
            "Servers that crashed before they answered a request of this node",
            self.server_crashes.clone(),
        );
        registry.register(
            "quarantined_parts",
            "Parts of prompts in quarantine",
            self.quarantined_parts.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests in quarantine",
            self.quarantined_requests.clone(),
        );
        for (name, help, gauge) in [
            ("caller_body_bytes", "Memory of callers' bodies", &self.caller_body_bytes),
            ("caller_waiting_bodies", "Bodies that wait for memory", &self.caller_waiting_bodies),
            ("caller_head_bytes", "Incomplete heads", &self.caller_head_bytes),
            ("caller_connections", "Callers' connections", &self.caller_connections),
            ("response_bytes", "Memory of servers' responses", &self.response_bytes),
            ("stream_bytes", "Chunks of streams that callers have not read", &self.stream_bytes),
            ("pooled_connections", "Idle connections to servers", &self.pooled_connections),
        ] {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "closed_connections",
            "Connections that the node closed",
            self.closed_connections.clone(),
        );
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register("model_moves", "Moves of models decided", self.model_moves.clone());
        registry.register(
            "engine_reports",
            "Reports read from engines",
            self.engine_reports.clone(),
        );
        registry.register(
            "prefix_saving_ms",
            "Prefill time that cached prefixes were expected to save",
            self.prefix_saving_ms.clone(),
        );
        registry.register(
            "prefixes",
            "Requests with an expected cached prefix, by what the first token shows",
            self.prefixes.clone(),
        );
        registry.register("store_calls", "Calls of the store", self.store_calls.clone());
        registry.register(
            "store_failures",
            "Failed calls of the store",
            self.store_failures.clone(),
        );
        registry
    }
}
