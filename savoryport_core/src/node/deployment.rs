//! The operators' configuration: which requests there are, and which services answer them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::Name;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events, which may go on at another server if `resumable`.
    Stream {
        /// Whether a broken stream may go on elsewhere.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether the request may run a second time after it may have run once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One row of the operators' table of routes.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name in logs and metrics.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// The beginning of the path, with a slash at both ends.
    pub path_prefix: Name,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time to the answer, or to the first event, that callers expect.
    pub target_latency: Duration,
    /// The rank of work; 0 is the most urgent.
    pub rank: u8,
    /// The most servers to which one request is sent.
    pub max_attempts: u32,
    /// The services that answer, with their weights.
    pub services: SmallVec<[(Name, u32); 2]>,
}

impl Route {
    /// Chooses a service by weight; `draw` is uniform below 2^64.
    pub fn choose_service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = draw.checked_rem(total)?;
        self.services.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
            None
        })
    }
}

/// A model that the engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: Name,
    /// Memory for its weights in MB.
    pub memory_mb: f64,
    /// The time to load it from the weight store.
    pub store_load_time: Duration,
    /// The time to load it from the server's disk.
    pub disk_load_time: Duration,
    /// The time to load it from the server's host memory.
    pub memory_load_time: Duration,
    /// Memory for one of its adapters in MB.
    pub adapter_mb: f64,
}

/// What the engines of a service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineClass {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into the cache of a server.
    pub cache_tokens: u64,
    /// Memory for weights and adapters in MB.
    pub memory_mb: f64,
    /// Adapters that a server holds at most.
    pub adapter_capacity: usize,
    /// Loads from the weight store a second over all servers.
    pub loads_per_s: f64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Milliseconds to copy one cached token from another server, where engines do that.
    pub copy_ms_per_token: Option<f64>,
    /// The models, by name.
    pub models: BTreeMap<Name, ModelSpec>,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Connections that a server accepts from all callers together.
    pub connection_limit: u32,
    /// Set where the servers are model engines.
    pub engine: Option<EngineClass>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head in bytes.
    pub max_header_bytes: usize,
    /// The longest body in bytes.
    pub max_body_bytes: usize,
    /// The time for the head of a request.
    pub header_timeout: Duration,
    /// The time that a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// One accepted version of the operators' configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// The version, which only rises.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    routes: BTreeMap<Name, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
}

impl Deployment {
    /// Puts a version together.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<Name, Service>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: BTreeMap<Name, Vec<Route>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { version, routes: by_host, services, limits }
    }

    /// Returns the route of a request: the longest prefix of its path among the host's routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns whether any route exists for the host.
    pub fn knows_host(&self, host: &str) -> bool {
        self.routes.contains_key(host)
    }

    /// Returns the engines' specification of a model, with the service that serves it.
    pub fn model(&self, service: &str, model: &str) -> Option<&ModelSpec> {
        self.services.get(service)?.engine.as_ref()?.models.get(model)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
