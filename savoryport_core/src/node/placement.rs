//! Decides which model a failure domain loads next, and which copies are evicted for it.
//!
//! Load pattern: demand that shifts to models with a single copy, while the weight store serves
//! only a few loads a second. The number of copies follows the demand of the region's callers, and
//! each domain holds its part of them. The last copy of a model is not evicted for more copies of
//! another one, so that every model stays reachable. The last copy of a model that nobody uses may
//! be evicted for a model that requests wait for, where no place is free: it is loaded again on
//! request.
//!
//! Demand and the value of copies are measured in servers: a demand of 1 takes all the time of one
//! server.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;
use crate::node::deployment::{EngineClass, ModelSpec};
use crate::node::registry::BackendServer;

/// The demand for one copy, in servers, above which another copy is worth a load.
const MAX_COPY_DEMAND: f64 = 0.45;

/// The demand, in servers, from which a domain without a copy gets one of its own. Single requests
/// stay below it.
const FIRST_COPY_DEMAND: f64 = 0.12;

/// A copy is evicted only for one whose value is at least this many times as high.
const MIN_GAIN_FACTOR: f64 = 1.5;

/// A copy that is younger than this is not evicted, so that two models do not displace each other
/// in turn.
const MIN_COPY_AGE: Duration = Duration::from_secs(4);

/// The least value, in servers, of a copy while the demand is not known yet. Operators lay out a fleet
/// for the demand that they expect, so the initial copies are not evicted for models without
/// requests.
const UNKNOWN_DEMAND_VALUE: f64 = 0.12;

/// The value, in servers, of a copy of a model that no server holds and no request waits for.
/// Overloaded models come first: this one can still be loaded when a request arrives.
const NOT_REQUESTED_VALUE: f64 = 0.1;

/// The value, in servers, of a copy of a model that no server holds and requests wait for.
const REQUESTED_VALUE: f64 = 0.4;

/// The value, in servers, of the last copy of a model that nobody uses.
const LAST_COPY_VALUE: f64 = 0.1;

/// The last copy of a model is kept for this long after its last use, whatever waits.
const MIN_LAST_COPY_IDLE: Duration = Duration::from_secs(2);

/// The source of a model's weights for a load, the fastest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightSource {
    /// The server's host memory.
    Memory,
    /// The server's disk.
    Disk,
    /// The weight store, whose rate of loads is limited.
    Store,
}

/// Returns the source from which a server would load a model's weights.
pub fn weight_source(server: &BackendServer, model: &str) -> WeightSource {
    let has = |names: &[Name]| names.iter().any(|name| &**name == model);
    if has(&server.in_memory) {
        WeightSource::Memory
    } else if has(&server.on_disk) {
        WeightSource::Disk
    } else {
        WeightSource::Store
    }
}

/// Returns the time that a load from this source takes.
pub fn load_time(spec: &ModelSpec, source: WeightSource) -> Duration {
    match source {
        WeightSource::Memory => spec.memory_load_time,
        WeightSource::Disk => spec.disk_load_time,
        WeightSource::Store => spec.store_load_time,
    }
}

/// A server of the domain, as a candidate for the next load.
#[derive(Debug, Clone)]
pub struct PlacementServer<'a> {
    /// The server's entry in the registry.
    pub server: &'a BackendServer,
    /// The models that it holds or is loading, as the leader knows them.
    pub models: SmallVec<[Name; 4]>,
    /// The number of requests in flight, by model.
    pub requests_by_model: BTreeMap<Name, u32>,
    /// When each model was last in use, as far as that is known.
    pub used_at: BTreeMap<Name, Instant>,
    /// The number of requests in flight that use an adapter.
    pub adapter_requests: u32,
    /// The free accelerator memory, in MB.
    pub free_mb: f64,
    /// Whether the server can be given an order now.
    pub accepts_orders: bool,
    /// The part of its capacity that the server offers, below 1 if it names a limit.
    pub capacity_share: f64,
    /// The time at which each copy was ordered, if this node ordered it.
    pub loaded_at: &'a HashMap<Name, Instant>,
}

/// How urgently a model that no server holds is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingModel {
    /// Requests wait for the model.
    Requested,
    /// No request waits for the model.
    NotRequested,
}

/// The input of the decision about a domain's next load.
#[derive(Debug)]
pub struct PlacementInput<'a> {
    /// The properties of the service's engines.
    pub class: &'a EngineClass,
    /// The servers of the domain.
    pub servers: &'a [PlacementServer<'a>],
    /// The ready servers that hold each model, in all domains.
    pub holders: &'a HashMap<Name, Vec<Name>>,
    /// The models that no server holds and that this domain must load.
    pub missing: &'a BTreeMap<Name, MissingModel>,
    /// The name of this domain.
    pub domain: &'a Name,
    /// The demand of this domain's callers by model, in servers.
    pub demand: &'a HashMap<Name, f64>,
    /// Whether requests were observed for long enough that a model without demand is not in use.
    pub demand_is_known: bool,
    /// The other domains of the region.
    pub neighbours: &'a [NeighbourDomain],
    /// Whether a load from the weight store may start now.
    pub store_load_allowed: bool,
    /// The least value of a copy that is loaded from the weight store, in servers.
    pub least_store_value: f64,
    /// The current time.
    pub now: Instant,
}

/// Another failure domain of the same region, whose servers are nearly as good as those of this
/// domain.
#[derive(Debug, Clone, Default)]
pub struct NeighbourDomain {
    /// The name of the domain.
    pub domain: Name,
    /// The demand of its callers by model, in servers.
    pub demand: HashMap<Name, f64>,
    /// The copies on its servers by model, each with the part of its capacity that its server
    /// offers.
    pub copies: HashMap<Name, f64>,
}

/// A load of a model at a server, with the copies to evict first.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The id of the server.
    pub server: Name,
    /// The models to unload first.
    pub unload: SmallVec<[Name; 2]>,
    /// The model to load.
    pub load: Name,
    /// The source of the weights.
    pub source: WeightSource,
    /// The value of the new copy, in servers.
    pub value: f64,
}

/// Returns the server whose copy of a model is never evicted. Every domain computes the same one
/// without communication, so that together they keep at least one copy.
pub fn protected_holder<'a>(model: &str, holders: &'a [Name]) -> Option<&'a Name> {
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    holders.iter().min_by_key(|server| xxh3_64_with_seed(server.as_bytes(), seed))
}

/// Returns the most valuable load that is worth its cost, if there is one.
pub fn next_move(input: &PlacementInput<'_>) -> Option<Move> {
    let copies = CopyCounts::count(input);
    let mut models: Vec<(&Name, f64)> = input
        .class
        .models
        .keys()
        .map(|model| (model, copy_value(input, &copies, model)))
        .filter(|(_, value)| *value > 0.0)
        .collect();
    models.sort_by(|a, b| b.1.total_cmp(&a.1));
    models.into_iter().find_map(|(model, value)| best_move(input, &copies, model, value))
}

/// The copies by model, in this domain and in the whole region. A copy at a server that names a limit
/// counts as the part of its capacity that the limit leaves, so that other copies take the rest.
#[derive(Debug, Default)]
struct CopyCounts {
    domain: BTreeMap<Name, f64>,
    region: BTreeMap<Name, f64>,
}

impl CopyCounts {
    fn count(input: &PlacementInput<'_>) -> Self {
        let mut copies = Self::default();
        for server in input.servers {
            for model in &server.models {
                *copies.domain.entry(model.clone()).or_default() += server.capacity_share;
            }
        }
        copies.region.clone_from(&copies.domain);
        for (model, count) in input.neighbours.iter().flat_map(|neighbour| &neighbour.copies) {
            *copies.region.entry(model.clone()).or_default() += count;
        }
        copies
    }

    fn in_domain(&self, model: &str) -> f64 {
        self.domain.get(model).copied().unwrap_or(0.0)
    }

    fn in_region(&self, model: &str) -> f64 {
        self.region.get(model).copied().unwrap_or(0.0)
    }
}

fn region_demand(input: &PlacementInput<'_>, model: &str) -> f64 {
    let neighbours = input.neighbours.iter().filter_map(|neighbour| neighbour.demand.get(model));
    input.demand.get(model).into_iter().chain(neighbours).sum()
}

/// Returns how many copies of a model this domain should hold: its part of the copies that the
/// region needs, in proportion to its part of the demand, rounded by largest remainder. Every
/// domain computes the same parts from the same demand, so that together they load as many copies
/// as are needed.
fn target_copies(input: &PlacementInput<'_>, model: &str) -> usize {
    let demand = region_demand(input, model);
    if demand < FIRST_COPY_DEMAND {
        return 0;
    }
    let needed = (demand / MAX_COPY_DEMAND).ceil();
    let own_demand = input.demand.get(model).copied().unwrap_or(0.0);
    let quota = |domain_demand: f64| needed * domain_demand / demand;
    let domains = input.neighbours.iter().map(|neighbour| {
        (&neighbour.domain, quota(neighbour.demand.get(model).copied().unwrap_or(0.0)))
    });
    let assigned: f64 =
        domains.clone().map(|(_, quota)| quota.floor()).sum::<f64>() + quota(own_demand).floor();
    let own_remainder = quota(own_demand).fract();
    let domains_before = domains
        .filter(|(name, quota)| {
            quota.fract() > own_remainder
                || (quota.fract() == own_remainder && *name < input.domain)
        })
        .count();
    let unassigned = (needed - assigned).round() as usize;
    quota(own_demand).floor() as usize + usize::from(domains_before < unassigned)
}

/// Returns the value of one more copy of the model in servers, or 0 if none is needed.
fn copy_value(input: &PlacementInput<'_>, copies: &CopyCounts, model: &Name) -> f64 {
    let demand = region_demand(input, model);
    let (in_domain, in_region) = (copies.in_domain(model), copies.in_region(model));
    let is_held =
        in_domain > 0.0 || input.holders.get(model).is_some_and(|holders| !holders.is_empty());
    if !is_held {
        return match input.missing.get(model) {
            Some(MissingModel::Requested) => REQUESTED_VALUE + demand,
            Some(MissingModel::NotRequested) => NOT_REQUESTED_VALUE,
            None => 0.0,
        };
    }
    let is_overloaded = in_region == 0.0 || demand / in_region > MAX_COPY_DEMAND;
    if !is_overloaded {
        return 0.0;
    }
    let value = demand / (in_region + 1.0);
    if in_domain.round() < target_copies(input, model) as f64 {
        value
    } else if is_only_at_limited_servers(input, in_region, model) {
        value.max(NOT_REQUESTED_VALUE)
    } else {
        0.0
    }
}

/// Returns whether the region holds the model only at servers that name limits, and this domain is
/// the one that loads it elsewhere. Demand that needs no copy in each domain needs one in the region.
fn is_only_at_limited_servers(input: &PlacementInput<'_>, in_region: f64, model: &Name) -> bool {
    let neighbours = input.neighbours.iter().map(|neighbour| &neighbour.domain);
    let domains = neighbours.chain([input.domain]);
    in_region > 0.0
        && in_region < MIN_CAPACITY_SHARE
        && restoring_domain(model, domains) == Some(input.domain)
}

fn best_move(
    input: &PlacementInput<'_>,
    copies: &CopyCounts,
    model: &Name,
    value: f64,
) -> Option<Move> {
    let spec = input.class.models.get(model)?;
    let candidates = input.servers.iter().filter(|server| server.accepts_orders);
    let candidates = candidates.filter(|server| !server.models.contains(model));
    let mut best: Option<(f64, Move)> = None;
    for server in candidates {
        let source = weight_source(server.server, model);
        let store_allows = input.store_load_allowed && value >= input.least_store_value;
        if source == WeightSource::Store && !store_allows {
            continue;
        }
        let is_requested = input.missing.get(model) == Some(&MissingModel::Requested);
        let evicted = copies_to_evict(input, copies, server, spec, is_requested);
        let Some((unload, lost_value)) = evicted else {
            continue;
        };
        let has_requests = |model: &Name| {
            server.requests_by_model.get(model).is_some_and(|requests| *requests > 0)
        };
        let drain_seconds = if unload.iter().any(has_requests) { DRAIN_SECONDS } else { 0.0 };
        if lost_value * MIN_GAIN_FACTOR > value {
            continue;
        }
        // A copy is worth what its server takes, unless the model is nowhere else.
        if server.capacity_share < MIN_CAPACITY_SHARE && !is_requested {
            continue;
        }
        let seconds = load_time(spec, source).as_secs_f64() + drain_seconds;
        let adapter_cost = f64::from(server.adapter_requests) * BLOCKED_ADAPTER_COST_PER_SECOND;
        let cost = lost_value
            + seconds * (LOAD_COST_PER_SECOND + adapter_cost)
            + resident_demand(input, copies, server);
        if best.as_ref().is_none_or(|(least_cost, _)| cost < *least_cost) {
            let (id, load) = (server.server.id.clone(), model.clone());
            best = Some((cost, Move { server: id, unload, load, source, value }));
        }
    }
    best.map(|(_, chosen)| chosen)
}

/// The part of its capacity that a server has to offer to be given another model.
const MIN_CAPACITY_SHARE: f64 = 0.5;

/// The cost of each request in flight at a copy that is evicted, in servers.
const DRAIN_COST_PER_REQUEST: f64 = 0.01;

/// The time in seconds for which requests in flight delay the eviction of their copy. It is about
/// that of a stream of some hundred tokens on a busy server.
const DRAIN_SECONDS: f64 = 3.0;

/// The cost of each second of loading when servers are compared, in servers.
const LOAD_COST_PER_SECOND: f64 = 0.05;

/// The additional cost of each second of loading for each request at the server that uses an
/// adapter, in servers. A server that loads a model accepts no orders for adapters, so that the
/// next adapter of the same model has to wait or go to another server.
const BLOCKED_ADAPTER_COST_PER_SECOND: f64 = 0.03;

/// Returns the demand, in servers, that the models on the server bring it.
fn resident_demand(
    input: &PlacementInput<'_>,
    copies: &CopyCounts,
    server: &PlacementServer<'_>,
) -> f64 {
    server.models.iter().map(|model| demand_per_copy(input, copies, model)).sum()
}

fn demand_per_copy(input: &PlacementInput<'_>, copies: &CopyCounts, model: &Name) -> f64 {
    region_demand(input, model) / copies.in_region(model).max(1.0)
}

/// Returns the copies to evict so that a model of this size fits, and their total value. The last
/// copies of unused models are among them only if `with_last_copies` is set.
fn copies_to_evict(
    input: &PlacementInput<'_>,
    copies: &CopyCounts,
    server: &PlacementServer<'_>,
    spec: &ModelSpec,
    with_last_copies: bool,
) -> Option<(SmallVec<[Name; 2]>, f64)> {
    let mut free_mb = server.free_mb;
    let mut evictable: Vec<(&Name, f64)> = server
        .models
        .iter()
        .filter_map(|model| {
            let value = copy_loss(input, copies, model) + drain_cost(server, model);
            if may_evict(input, server, model) {
                Some((model, value))
            } else if with_last_copies && may_evict_last_copy(input, server, model) {
                Some((model, value.max(LAST_COPY_VALUE)))
            } else {
                None
            }
        })
        .collect();
    evictable.sort_by(|a, b| a.1.total_cmp(&b.1));
    let (mut evicted, mut lost_value) = (SmallVec::new(), 0.0);
    for (model, value) in evictable {
        if free_mb >= spec.memory_mb {
            break;
        }
        free_mb += input.class.models.get(model).map_or(0.0, |spec| spec.memory_mb);
        lost_value += value;
        evicted.push(model.clone());
    }
    (free_mb >= spec.memory_mb).then_some((evicted, lost_value))
}

/// Returns the value that is lost with one copy of a model, in servers.
fn copy_loss(input: &PlacementInput<'_>, copies: &CopyCounts, model: &Name) -> f64 {
    let known = demand_per_copy(input, copies, model);
    if input.demand_is_known { known } else { known.max(UNKNOWN_DEMAND_VALUE) }
}

/// Returns the cost of waiting for a model's requests to end before it is evicted, in servers.
fn drain_cost(server: &PlacementServer<'_>, model: &Name) -> f64 {
    f64::from(server.requests_by_model.get(model).copied().unwrap_or(0)) * DRAIN_COST_PER_REQUEST
}

fn may_evict(input: &PlacementInput<'_>, server: &PlacementServer<'_>, model: &Name) -> bool {
    let id = &server.server.id;
    let holders = input.holders.get(model).map(Vec::as_slice).unwrap_or_default();
    let has_other_holder = holders.iter().any(|holder| holder != id);
    let is_protected = protected_holder(model, holders) == Some(id);
    has_other_holder && !is_protected && is_old_enough(input, server, model)
}

fn is_old_enough(input: &PlacementInput<'_>, server: &PlacementServer<'_>, model: &Name) -> bool {
    let loaded_at = server.loaded_at.get(model);
    loaded_at.is_none_or(|at| input.now.saturating_duration_since(*at) >= MIN_COPY_AGE)
}

/// Returns whether a copy may be evicted although no other one might remain: nobody has used it for
/// a while.
fn may_evict_last_copy(
    input: &PlacementInput<'_>,
    server: &PlacementServer<'_>,
    model: &Name,
) -> bool {
    let is_idle = server
        .used_at
        .get(model)
        .is_some_and(|at| input.now.saturating_duration_since(*at) >= MIN_LAST_COPY_IDLE);
    let has_requests = server.requests_by_model.get(model).is_some_and(|requests| *requests > 0);
    input.demand_is_known && is_idle && !has_requests && is_old_enough(input, server, model)
}

/// Returns the domain that loads a model again when no server holds it, among the domains with
/// servers. Every node computes the same one, so that the model is not loaded in all domains at
/// once.
pub fn restoring_domain<'a>(
    model: &str,
    domains: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    restoring_domains(model, domains).first().copied()
}

/// Returns the domains in the order in which they are asked to load a model that no server holds.
/// Every node computes the same order; a domain that cannot load the model soon leaves it to the
/// next one.
pub fn restoring_domains<'a>(
    model: &str,
    domains: impl Iterator<Item = &'a Name>,
) -> SmallVec<[&'a Name; 8]> {
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    let mut ordered: SmallVec<[&Name; 8]> = domains.collect();
    ordered.sort_by_key(|domain| xxh3_64_with_seed(domain.as_bytes(), seed));
    ordered
}

/// Limits the loads of one domain to its part of the weight store's rate.
///
/// The store's rate bounds the loads that start within a time window, over all servers. Each domain
/// gets a part of it, so that domains need no messages to agree on a load. The parts differ by one
/// load where the bound is no multiple of the number of domains.
#[derive(Debug, Clone)]
pub struct LoadRateLimiter {
    window: Duration,
    max_loads: usize,
    started: Vec<Instant>,
}

/// The largest number of loads in a window that is counted; more is no limit at all.
const MAX_LOADS: f64 = 10_000.0;

impl LoadRateLimiter {
    /// Creates the limiter of the domain with this index among `domains` domains in order.
    pub fn new(loads_per_s: f64, window: Duration, index: usize, domains: usize) -> Self {
        let domains = domains.max(1);
        let total = (loads_per_s * window.as_secs_f64()).floor().clamp(1.0, MAX_LOADS) as usize;
        let max_loads = total / domains + usize::from(index < total % domains);
        Self { window, max_loads, started: Vec::new() }
    }

    /// Counts the current window as exhausted, since a former leader may have used it.
    pub fn assume_exhausted(&mut self, now: Instant) {
        self.started = vec![now; self.max_loads];
    }

    /// Returns whether a load may start.
    pub fn may_start_load(&mut self, now: Instant) -> bool {
        self.wait_for_load(0, now).is_some_and(|wait| wait.is_zero())
    }

    /// Returns the time until a load may start if `ahead` others start before it, or `None` if the
    /// domain may not load anything from the store.
    pub fn wait_for_load(&mut self, ahead: usize, now: Instant) -> Option<Duration> {
        let window = self.window;
        self.started.retain(|at| now.saturating_duration_since(*at) < window);
        if self.max_loads == 0 {
            return None;
        }
        let free = self.max_loads.saturating_sub(self.started.len());
        let Some(position) = ahead.checked_sub(free) else { return Some(Duration::ZERO) };
        let rounds = (position / self.max_loads) as u32;
        let start = self.started.get(position % self.max_loads).copied().unwrap_or(now);
        Some(window.saturating_sub(now.saturating_duration_since(start)) + window * rounds)
    }

    /// Counts a load that starts.
    pub fn record_load(&mut self, now: Instant) {
        self.started.push(now);
    }
}

/// A running average of the demand for each model, which rises faster than it falls.
#[derive(Debug, Clone, Default)]
pub struct DemandAverage {
    /// The averages with the time constants `RISE_TIME` and `FALL_TIME`, by model.
    models: HashMap<Name, (f64, f64)>,
    observed_at: Option<Instant>,
    /// When the first work was observed.
    first_work_at: Option<Instant>,
}

/// The time constant with which the average rises.
const RISE_TIME: Duration = Duration::from_millis(2_000);

/// The time constant with which the average falls.
const FALL_TIME: Duration = Duration::from_secs(3);

/// The demand, in servers, below which a model counts as not requested.
const MIN_DEMAND: f64 = 1e-4;

impl DemandAverage {
    /// Adds the work by model that arrived since the last observation, in milliseconds of server
    /// time.
    pub fn observe(&mut self, work_ms: &HashMap<Name, f64>, now: Instant) {
        let Some(interval) = self.observed_at.map(|at| now.saturating_duration_since(at)) else {
            self.observed_at = Some(now);
            return;
        };
        self.observed_at = Some(now);
        if !work_ms.is_empty() {
            self.first_work_at.get_or_insert(now);
        }
        let seconds = interval.as_secs_f64().max(1e-3);
        for model in work_ms.keys() {
            self.models.entry(model.clone()).or_default();
        }
        for (model, (fast, slow)) in &mut self.models {
            let rate = work_ms.get(model).copied().unwrap_or(0.0) / 1e3 / seconds;
            *fast += (rate - *fast) * (1.0 - (-seconds / RISE_TIME.as_secs_f64()).exp());
            *slow += (rate - *slow) * (1.0 - (-seconds / FALL_TIME.as_secs_f64()).exp());
        }
        self.models.retain(|_, (fast, slow)| fast.max(*slow) > MIN_DEMAND);
    }

    /// Returns whether work has been observed for so long that the averages have settled.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.first_work_at.is_some_and(|at| now.saturating_duration_since(at) >= FALL_TIME)
    }

    /// Returns the demand by model, in servers.
    pub fn demand(&self) -> HashMap<Name, f64> {
        self.models.iter().map(|(model, (fast, slow))| (model.clone(), fast.max(*slow))).collect()
    }
}
