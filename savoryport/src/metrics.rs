//! The metrics of the entry and control daemons.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use savoryport_core::rank::Rank;
use savoryport_core::request_lifecycle::Outcome;

use crate::rpc::{EntryStatus, RankCounts};

/// The outcome label of a first token that is sent by the request's deadline.
pub const ON_TIME: &str = "on-time";

/// The outcome label of a first token that is sent after the deadline.
pub const LATE: &str = "late";

/// Labels of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The caller's name in the settings, or `anonymous`.
    pub caller: String,
    /// The name of the request's rank.
    pub rank: &'static str,
}

/// Labels of an ended request or of a first token.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The name of the request's rank.
    pub rank: &'static str,
    /// `done`, `not-run` or `unknown` for a request, [`ON_TIME`] or [`LATE`] for a first token.
    pub outcome: &'static str,
}

/// Labels of a refusal, a retry or an order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabels {
    /// The cause of the refusal or retry, or the kind of the order.
    pub cause: &'static str,
}

type DurationFamily = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// The metrics of an entry.
#[derive(Clone)]
pub struct EntryMetrics {
    /// Requests that ended, by rank and outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Refused requests, by cause.
    pub refusals: Family<CauseLabels, Counter>,
    /// Time from the arrival of a request to its first token, in seconds.
    pub time_to_first_token: DurationFamily,
    /// Time from the arrival of a request to its end, in seconds.
    pub duration: DurationFamily,
    /// Retries at another server, by cause.
    pub retries: Family<CauseLabels, Counter>,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// The version of the table in force.
    pub table_version: Gauge,
    /// First tokens, by rank and whether they were on time.
    pub first_tokens: Family<OutcomeLabels, Counter>,
    /// The causes of refusals so far.
    refusal_causes: Arc<Mutex<BTreeSet<&'static str>>>,
}

/// The metrics of a control process.
#[derive(Clone, Default)]
pub struct ControlMetrics {
    /// Orders sent to engines, by kind: `load` or `unload`.
    pub orders: Family<CauseLabels, Counter>,
    /// Orders that the engine did not answer.
    pub unanswered_orders: Counter,
    /// Conditional writes that failed because another process had written first.
    pub write_conflicts: Counter,
    /// Calls to the key-value service that failed.
    pub platform_errors: Counter,
    /// Leases that this process holds.
    pub leases_held: Gauge,
    /// The version of the table in force.
    pub table_version: Gauge,
    /// The version of the plan in force.
    pub plan_version: Gauge,
    /// Memory that stays reserved because of load orders that may still arrive, in MiB.
    pub retained_mib: Gauge,
    /// Models and adapters in the table that no server has in memory.
    pub unreachable_models: Gauge,
    /// 1 while this process reads the state from the platform, 0 while it follows another control
    /// process.
    pub reading_platform: Gauge,
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            refusals: Family::default(),
            time_to_first_token: Family::new_with_constructor(
                duration_histogram as fn() -> Histogram,
            ),
            duration: Family::new_with_constructor(duration_histogram as fn() -> Histogram),
            retries: Family::default(),
            in_flight: Gauge::default(),
            table_version: Gauge::default(),
            first_tokens: Family::default(),
            refusal_causes: Arc::default(),
        }
    }
}

impl EntryMetrics {
    /// Returns a registry with all metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("savoryport_entry");
        registry.register("requests", "Ended requests", self.requests.clone());
        registry.register("refusals", "Requests that were refused", self.refusals.clone());
        registry.register(
            "first_token_seconds",
            "Time to first token",
            self.time_to_first_token.clone(),
        );
        registry.register("duration_seconds", "Time to the end", self.duration.clone());
        registry.register("retries", "Requests that were sent again", self.retries.clone());
        registry.register("in_flight", "Requests under way", self.in_flight.clone());
        registry.register("table_version", "Table in force", self.table_version.clone());
        registry.register(
            "first_tokens",
            "First tokens, on time or late",
            self.first_tokens.clone(),
        );
        registry
    }

    /// Returns the counts that `savoryport status` shows.
    pub fn status(&self) -> EntryStatus {
        let ranks = Rank::ALL.map(|rank| {
            let count = |family: &Family<OutcomeLabels, Counter>, outcome| {
                family.get_or_create(&OutcomeLabels { rank: rank.name(), outcome }).get()
            };
            RankCounts {
                on_time: count(&self.first_tokens, ON_TIME),
                late: count(&self.first_tokens, LATE),
                done: count(&self.requests, Outcome::Done.name()),
                not_run: count(&self.requests, Outcome::NotRun.name()),
                unknown: count(&self.requests, Outcome::Unknown.name()),
            }
        });
        let causes = self.refusal_causes.lock().expect("no thread panics while holding the lock");
        let refusal_count =
            |cause: &&'static str| self.refusals.get_or_create(&CauseLabels { cause }).get();
        let refusals =
            causes.iter().map(|cause| ((*cause).to_owned(), refusal_count(cause))).collect();
        EntryStatus { ranks, refusals }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, cause: &'static str) {
        self.refusal_causes.lock().expect("no thread panics while holding the lock").insert(cause);
        self.refusals.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Returns the labels of a request.
    pub fn request_labels(caller: &str, rank: Rank) -> RequestLabels {
        RequestLabels { caller: caller.to_owned(), rank: rank.name() }
    }
}

impl ControlMetrics {
    /// Returns a registry with all metrics.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("savoryport_control");
        registry.register("orders", "Orders sent to engines", self.orders.clone());
        registry.register(
            "unanswered_orders",
            "Orders without an answer",
            self.unanswered_orders.clone(),
        );
        registry.register(
            "write_conflicts",
            "Conditional writes that came too late",
            self.write_conflicts.clone(),
        );
        registry.register(
            "platform_errors",
            "Failed calls of the key-value service",
            self.platform_errors.clone(),
        );
        registry.register("leases_held", "Leases held", self.leases_held.clone());
        registry.register("table_version", "Table in force", self.table_version.clone());
        registry.register("plan_version", "Plan in force", self.plan_version.clone());
        registry.register(
            "retained_mib",
            "Memory held back for orders that may still arrive",
            self.retained_mib.clone(),
        );
        registry.register(
            "unreachable_models",
            "Models without a copy in memory",
            self.unreachable_models.clone(),
        );
        registry.register(
            "reading_platform",
            "1 while it reads the platform itself, 0 while it follows another",
            self.reading_platform.clone(),
        );
        registry
    }
}
