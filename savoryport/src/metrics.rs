//! Counters and histograms, and the page that shows them.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use savoryport_core::rank::Rank;
use savoryport_core::request_lifecycle::Outcome;
use thiserror::Error;
use tiny_http::{Header, Response, Server};
use tokio_util::sync::CancellationToken;

use crate::rpc::{EntryStatus, RankCounts};

/// How often the metrics page looks whether it is to stop.
const STOP_POLL: Duration = Duration::from_millis(100);

/// The label of a first token within its target.
pub const ON_TIME: &str = "on-time";

/// The label of a first token after its target.
pub const LATE: &str = "late";

/// Labels of a request: whose it is and how urgent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The caller's name in the settings, or `anonymous`.
    pub caller: String,
    /// The rank.
    pub rank: &'static str,
}

/// Labels of an ended request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The rank.
    pub rank: &'static str,
    /// `done`, `not-run` or `unknown`.
    pub outcome: &'static str,
}

/// Labels of something that has a cause.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabels {
    /// The cause.
    pub cause: &'static str,
}

type Histograms = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// The entry's metrics.
#[derive(Clone)]
pub struct EntryMetrics {
    /// Ended requests.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Refusals.
    pub refusals: Family<CauseLabels, Counter>,
    /// Seconds from the arrival to the first token.
    pub time_to_first_token: Histograms,
    /// Seconds from the arrival to the end.
    pub duration: Histograms,
    /// Retries.
    pub retries: Family<CauseLabels, Counter>,
    /// Requests under way.
    pub in_flight: Gauge,
    /// The version of the table in force.
    pub table_version: Gauge,
    /// First tokens by rank, on time or late.
    pub first_tokens: Family<OutcomeLabels, Counter>,
    refusal_causes: Arc<Mutex<BTreeSet<&'static str>>>,
}

/// The control process's metrics.
#[derive(Clone, Default)]
pub struct ControlMetrics {
    /// Orders sent to engines, by direction.
    pub orders: Family<CauseLabels, Counter>,
    /// Orders without an answer.
    pub unanswered_orders: Counter,
    /// Conditional writes that somebody else came before.
    pub write_conflicts: Counter,
    /// Calls of the key-value service that failed.
    pub platform_errors: Counter,
    /// Leases held.
    pub leases_held: Gauge,
    /// The version of the table in force.
    pub table_version: Gauge,
    /// The version of the plan in force.
    pub plan_version: Gauge,
    /// Memory in MiB held back for orders that may still arrive.
    pub retained_mib: Gauge,
    /// Models without any copy in memory.
    pub unreachable_models: Gauge,
    /// 1 while this process reads the platform itself, 0 while it follows another.
    pub reading_platform: Gauge,
}

fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 16))
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            refusals: Family::default(),
            time_to_first_token: Family::new_with_constructor(seconds as fn() -> Histogram),
            duration: Family::new_with_constructor(seconds as fn() -> Histogram),
            retries: Family::default(),
            in_flight: Gauge::default(),
            table_version: Gauge::default(),
            first_tokens: Family::default(),
            refusal_causes: Arc::default(),
        }
    }
}

impl EntryMetrics {
    /// Registers everything.
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

    /// Returns the counts that operators see at a glance.
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
        let causes = self.refusal_causes.lock().expect("no holder panics");
        let count =
            |cause: &&'static str| self.refusals.get_or_create(&CauseLabels { cause }).get();
        let refusals = causes.iter().map(|cause| ((*cause).to_owned(), count(cause))).collect();
        EntryStatus { ranks, refusals }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, cause: &'static str) {
        self.refusal_causes.lock().expect("no holder panics").insert(cause);
        self.refusals.get_or_create(&CauseLabels { cause }).inc();
    }

    /// Returns the labels of a request.
    pub fn request_labels(caller: &str, rank: Rank) -> RequestLabels {
        RequestLabels { caller: caller.to_owned(), rank: rank.name() }
    }
}

impl ControlMetrics {
    /// Registers everything.
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

/// The metrics page cannot be served.
#[derive(Debug, Error)]
#[error("cannot listen on {address} for metrics: {problem}")]
pub struct MetricsServerError {
    /// The address.
    pub address: String,
    /// The library's words.
    pub problem: String,
}

/// Serves `/metrics`, `/healthz` and `/status` until the token is cancelled.
///
/// The page is for operators, on loopback or the control address; callers cannot reach it, which is
/// why a simple server without read timeouts will do.
///
/// # Errors
///
/// Returns an error where the address cannot be listened on.
pub fn serve_metrics(
    address: &str,
    registry: Registry,
    status: impl Fn() -> serde_json::Value + Send + 'static,
    cancel: CancellationToken,
) -> Result<(), MetricsServerError> {
    let server = Server::http(address).map_err(|err| MetricsServerError {
        address: address.to_owned(),
        problem: err.to_string(),
    })?;
    let registry = Arc::new(registry);
    std::thread::spawn(move || {
        while !cancel.is_cancelled() {
            let Ok(Some(req)) = server.recv_timeout(STOP_POLL) else { continue };
            let (code, kind, body) = page(req.url(), &registry, &status);
            let header = Header::from_bytes("content-type", kind).expect("plain ASCII");
            let answer = Response::from_string(body).with_status_code(code).with_header(header);
            let _ = req.respond(answer);
        }
    });
    Ok(())
}

fn page(
    path: &str,
    registry: &Registry,
    status: &impl Fn() -> serde_json::Value,
) -> (u16, &'static str, String) {
    match path {
        "/metrics" => {
            let mut text = String::new();
            let _ = prometheus_client::encoding::text::encode(&mut text, registry);
            (200, "application/openmetrics-text; version=1.0.0", text)
        }
        "/status" => (200, "application/json", status().to_string()),
        "/healthz" => (200, "text/plain", "ok\n".to_owned()),
        _ => (404, "text/plain", "no such page\n".to_owned()),
    }
}
