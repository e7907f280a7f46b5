//! The operators' configuration: the routes of requests and the services that answer them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Name;
use crate::node::team::TeamDirectory;

/// The shortest time for which a stream may be taken up; the next configuration may allow a longer one
/// than the one in force.
pub const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(10);

/// The longest time for which a stream may be taken up.
pub const MAX_STREAM_LIFETIME: Duration = Duration::from_secs(120);

/// Whether and how a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether a broken stream may be resumed at another server.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether the request may be sent again when it may have run already.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One row of the operators' table of routes.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name in logs and metrics.
    pub name: Name,
    /// The host that callers' requests name.
    pub host: Name,
    /// The prefix of the path, with a slash at both ends.
    pub path_prefix: Name,
    /// Whether and how its requests may be retried.
    pub kind: RequestKind,
    /// The longest time until a request is answered.
    pub timeout: Duration,
    /// The time to the response, or to the first event of a stream, that callers expect.
    pub target_latency: Duration,
    /// The rank of its requests; 0 is the most urgent.
    pub rank: u8,
    /// The largest number of servers to which one request is sent.
    pub max_attempts: u32,
    /// Whether its requests need no key.
    pub is_public: bool,
    /// The services that answer its requests, with their weights.
    pub services: SmallVec<[(Name, u32); 2]>,
}

impl Route {
    /// Chooses a service by weight; `random` is uniform below 2^64.
    pub fn choose_service(&self, random: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut offset = random.checked_rem(total)?;
        self.services.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            if offset < weight {
                return Some(service);
            }
            offset -= weight;
            None
        })
    }
}

/// A model that the engines of a service can load.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: Name,
    /// The accelerator memory for its weights, in MB.
    pub memory_mb: f64,
    /// The time to load its weights from the weight store.
    pub store_load_time: Duration,
    /// The time to load its weights from the server's disk.
    pub disk_load_time: Duration,
    /// The time to load its weights from the server's host memory.
    pub memory_load_time: Duration,
    /// The accelerator memory for one of its adapters, in MB.
    pub adapter_mb: f64,
}

/// The properties that all engines of a service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineClass {
    /// The number of requests that a server runs at once.
    pub slots: u32,
    /// The capacity of a server's KV cache, in tokens.
    pub cache_tokens: u64,
    /// The accelerator memory for weights and adapters, in MB.
    pub memory_mb: f64,
    /// The largest number of adapters that a server holds at once.
    pub adapter_capacity: usize,
    /// The bound on loads from the weight store, per second over all servers.
    pub loads_per_s: f64,
    /// The number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// The time to copy one cached token from another server's KV cache, in milliseconds;
    /// `None` if the engines cannot copy.
    pub copy_ms_per_token: Option<f64>,
    /// The models, by name.
    pub models: BTreeMap<Name, ModelSpec>,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// The number of connections that a server accepts, from all nodes together.
    pub connection_limit: u32,
    /// The engines' properties, where the servers are model engines.
    pub engine: Option<EngineClass>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The size limit of a request head, in bytes.
    pub max_header_bytes: usize,
    /// The size limit of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The time in which the head of a request must arrive.
    pub header_timeout: Duration,
    /// The time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

/// One accepted version of the operators' configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// The version, which only increases.
    pub version: u64,
    /// Routes by host, those with the longest path prefix first.
    routes: BTreeMap<Name, Vec<Route>>,
    /// The services, by name.
    pub services: BTreeMap<Name, Service>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// The teams, if requests need the key of one.
    pub teams: Option<TeamDirectory>,
}

impl Deployment {
    /// Creates a version from its parts and indexes the routes by host.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<Name, Service>,
        limits: CallerLimits,
        teams: Option<TeamDirectory>,
    ) -> Self {
        let mut by_host: BTreeMap<Name, Vec<Route>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { version, routes: by_host, services, limits, teams }
    }

    /// Returns the route of a request: the one of its host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns whether any route exists for the host.
    pub fn knows_host(&self, host: &str) -> bool {
        self.routes.contains_key(host)
    }

    /// Returns the specification of a model of a service.
    pub fn model(&self, service: &str, model: &str) -> Option<&ModelSpec> {
        self.services.get(service)?.engine.as_ref()?.models.get(model)
    }

    /// Returns for each service how long after its first event a stream may be taken up: it runs for the
    /// timeout of its route at most, and its caller takes it up within that time again.
    pub fn stream_lifetimes(&self) -> BTreeMap<Name, Duration> {
        let mut lifetimes: BTreeMap<Name, Duration> =
            self.services.keys().map(|service| (service.clone(), MIN_STREAM_LIFETIME)).collect();
        for route in self.routes.values().flatten().filter(|route| route.kind.is_stream()) {
            let lifetime = (route.timeout * 2).min(MAX_STREAM_LIFETIME);
            for (service, _) in &route.services {
                let longest = lifetimes.entry(service.clone()).or_default();
                *longest = lifetime.max(*longest);
            }
        }
        lifetimes
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
