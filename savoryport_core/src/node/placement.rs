//! Decides which model a failure domain loads next, and which copy makes way.
//!
//! Load pattern: demand that moves to models with a single copy, while the weight store serves only a
//! few loads a second. Copies follow the work that callers of the region ask for, in each domain by its
//! part; the last copy of a model is never dropped, so that every model stays reachable.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Name;
use crate::node::deployment::{EngineClass, ModelSpec};
use crate::node::registry::BackendServer;

/// The share of a server's time that one copy serves before another one is worth a load.
const FULL_COPY_SHARE: f64 = 0.45;

/// The work in servers' worth from which a domain without a copy gets one of its own. Single requests
/// stay below it.
const FIRST_COPY_SHARE: f64 = 0.12;

/// A copy makes way only for one that is worth this many times as much.
const GAIN_FACTOR: f64 = 1.5;

/// A copy that is younger than this stays, so that two models do not displace each other in turn.
const MIN_COPY_AGE: Duration = Duration::from_secs(4);

/// The value of a copy of a model that nobody holds and nobody asks for, in servers' worth. Overloaded
/// models go first: the load of the other one can follow when a request comes.
const MISSING_VALUE: f64 = 0.1;

/// The value of a copy of a model that nobody holds and requests wait for.
const AWAITED_VALUE: f64 = 0.4;

/// Where a server would take a model's weights from, the quickest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WeightSource {
    /// The server's host memory.
    Memory,
    /// The server's disk.
    Disk,
    /// The weight store, whose rate is limited.
    Store,
}

/// Returns where a server would take a model's weights from.
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

/// Returns how long a load from there takes.
pub fn load_time(spec: &ModelSpec, source: WeightSource) -> Duration {
    match source {
        WeightSource::Memory => spec.memory_load_time,
        WeightSource::Disk => spec.disk_load_time,
        WeightSource::Store => spec.store_load_time,
    }
}

/// One server of the domain that may be given an order now.
#[derive(Debug, Clone)]
pub struct PlacementServer<'a> {
    /// What it says of itself.
    pub server: &'a BackendServer,
    /// The models that it holds or is loading, by the ledger.
    pub models: SmallVec<[Name; 4]>,
    /// Requests under way by model.
    pub requests_by_model: BTreeMap<Name, u32>,
    /// Requests under way that use an adapter.
    pub adapter_requests: u32,
    /// Free accelerator memory in MB.
    pub free_mb: f64,
    /// Whether an order may be given now.
    pub accepts_orders: bool,
    /// When each copy was ordered, where this node ordered it.
    pub loaded_at: &'a HashMap<Name, Instant>,
}

/// How urgently a model that nobody holds is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingModel {
    /// Requests wait for it.
    Requested,
    /// Nobody asks for it.
    NotRequested,
}

/// What a domain's next load is decided from.
#[derive(Debug)]
pub struct PlacementInput<'a> {
    /// The engines of the service.
    pub class: &'a EngineClass,
    /// The servers of the domain.
    pub servers: &'a [PlacementServer<'a>],
    /// Ready servers of every domain that hold a model.
    pub holders: &'a HashMap<Name, Vec<Name>>,
    /// Models that nobody holds and this domain is to bring back.
    pub missing: &'a BTreeMap<Name, MissingModel>,
    /// This domain.
    pub domain: &'a Name,
    /// Work by model in servers' worth that callers of this domain ask for.
    pub demand: &'a HashMap<Name, f64>,
    /// The other domains of the region.
    pub neighbours: &'a [NeighbourDomain],
    /// Whether the weight store may be asked now.
    pub store_load_allowed: bool,
    /// The present time.
    pub now: Instant,
}

/// Another failure domain of the region, whose servers are nearly as good as this domain's.
#[derive(Debug, Clone, Default)]
pub struct NeighbourDomain {
    /// Its name.
    pub domain: Name,
    /// Work by model in servers' worth that its callers ask for.
    pub demand: HashMap<Name, f64>,
    /// Copies by model.
    pub copies: HashMap<Name, usize>,
}

/// A load, with the copies that make way for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The server.
    pub server: Name,
    /// The models to drop first.
    pub unload: SmallVec<[Name; 2]>,
    /// The model to load.
    pub load: Name,
    /// Where the weights come from.
    pub source: WeightSource,
    /// The worth of the new copy.
    pub value: f64,
}

/// Returns the copy of a model that stays whatever the demand, so that all domains, each on its own,
/// keep at least one.
pub fn protected_holder<'a>(model: &str, holders: &'a [Name]) -> Option<&'a Name> {
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    holders.iter().min_by_key(|server| xxh3_64_with_seed(server.as_bytes(), seed))
}

/// Returns the most valuable load, if any is worth it.
pub fn next_move(input: &PlacementInput<'_>) -> Option<Move> {
    let copies = RegionCopies::count(input);
    let mut wanted: Vec<(&Name, f64)> = input
        .class
        .models
        .keys()
        .map(|model| (model, copy_value(input, &copies, model)))
        .filter(|(_, value)| *value > 0.0)
        .collect();
    wanted.sort_by(|a, b| b.1.total_cmp(&a.1));
    wanted.into_iter().find_map(|(model, value)| best_server(input, &copies, model, value))
}

/// Copies by model: in this domain, and in the whole region.
#[derive(Debug, Default)]
struct RegionCopies {
    here: BTreeMap<Name, usize>,
    region: BTreeMap<Name, usize>,
}

impl RegionCopies {
    fn count(input: &PlacementInput<'_>) -> Self {
        let mut copies = Self::default();
        for model in input.servers.iter().flat_map(|server| &server.models) {
            *copies.here.entry(model.clone()).or_default() += 1;
        }
        copies.region.clone_from(&copies.here);
        for (model, count) in input.neighbours.iter().flat_map(|neighbour| &neighbour.copies) {
            *copies.region.entry(model.clone()).or_default() += count;
        }
        copies
    }

    fn here(&self, model: &str) -> usize {
        self.here.get(model).copied().unwrap_or(0)
    }

    fn region(&self, model: &str) -> usize {
        self.region.get(model).copied().unwrap_or(0)
    }
}

fn region_demand(input: &PlacementInput<'_>, model: &str) -> f64 {
    let neighbours = input.neighbours.iter().filter_map(|neighbour| neighbour.demand.get(model));
    input.demand.get(model).into_iter().chain(neighbours).sum()
}

/// Returns how many copies of a model this domain is to hold: its part of those that the region needs,
/// by its part of the demand. Every domain finds the same parts from the same demand, so that together
/// they bring as many as are needed.
fn copies_due(input: &PlacementInput<'_>, model: &str) -> usize {
    let demand = region_demand(input, model);
    if demand < FIRST_COPY_SHARE {
        return 0;
    }
    let needed = (demand / FULL_COPY_SHARE).ceil();
    let own = input.demand.get(model).copied().unwrap_or(0.0);
    let quota = |demand_there: f64| needed * demand_there / demand;
    let domains = input.neighbours.iter().map(|neighbour| {
        (&neighbour.domain, quota(neighbour.demand.get(model).copied().unwrap_or(0.0)))
    });
    let whole: f64 =
        domains.clone().map(|(_, quota)| quota.floor()).sum::<f64>() + quota(own).floor();
    let rest = quota(own).fract();
    let ahead = domains
        .filter(|(name, quota)| {
            quota.fract() > rest || (quota.fract() == rest && *name < input.domain)
        })
        .count();
    let left = (needed - whole).round() as usize;
    quota(own).floor() as usize + usize::from(ahead < left)
}

/// Returns what one more copy of the model is worth, 0 where none is needed.
fn copy_value(input: &PlacementInput<'_>, copies: &RegionCopies, model: &Name) -> f64 {
    let demand = region_demand(input, model);
    let (here, region) = (copies.here(model), copies.region(model));
    let anywhere = here > 0 || input.holders.get(model).is_some_and(|held| !held.is_empty());
    if !anywhere {
        return match input.missing.get(model) {
            Some(MissingModel::Requested) => AWAITED_VALUE + demand,
            Some(MissingModel::NotRequested) => MISSING_VALUE,
            None => 0.0,
        };
    }
    let is_full = region == 0 || demand / region as f64 > FULL_COPY_SHARE;
    if is_full && here < copies_due(input, model) { demand / (region + 1) as f64 } else { 0.0 }
}

fn best_server(
    input: &PlacementInput<'_>,
    copies: &RegionCopies,
    model: &Name,
    value: f64,
) -> Option<Move> {
    let spec = input.class.models.get(model)?;
    let options = input.servers.iter().filter(|server| server.accepts_orders);
    let options = options.filter(|server| !server.models.contains(model));
    let mut best: Option<(f64, Move)> = None;
    for server in options {
        let source = weight_source(server.server, model);
        if source == WeightSource::Store && !input.store_load_allowed {
            continue;
        }
        let Some((unload, lost)) = victims(input, copies, server, spec) else { continue };
        let is_used = |model: &Name| {
            server.requests_by_model.get(model).is_some_and(|requests| *requests > 0)
        };
        let drain = if unload.iter().any(is_used) { DRAIN_SECONDS } else { 0.0 };
        if lost * GAIN_FACTOR > value {
            continue;
        }
        let seconds = load_time(spec, source).as_secs_f64() + drain;
        let blocked = f64::from(server.adapter_requests) * BLOCKED_ADAPTER_COST;
        let cost =
            lost + seconds * (LOAD_SECOND_COST + blocked) + busy_share(input, copies, server);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let (id, load) = (server.server.id.clone(), model.clone());
            best = Some((cost, Move { server: id, unload, load, source, value }));
        }
    }
    best.map(|(_, chosen)| chosen)
}

/// What each request under way at a copy that makes way costs, in servers' worth.
const DRAIN_COST: f64 = 0.01;

/// Requests at a copy that makes way keep it for about this long, in seconds: a stream of some hundred
/// tokens on a busy server.
const DRAIN_SECONDS: f64 = 3.0;

/// What a second of loading costs in servers' worth when servers are compared.
const LOAD_SECOND_COST: f64 = 0.05;

/// What a second of loading costs for each request that uses an adapter there: a server that loads takes
/// no orders for adapters, and the next adapter of the same model has to wait or go elsewhere.
const BLOCKED_ADAPTER_COST: f64 = 0.03;

/// Returns the work that the server's other models bring it.
fn busy_share(
    input: &PlacementInput<'_>,
    copies: &RegionCopies,
    server: &PlacementServer<'_>,
) -> f64 {
    server.models.iter().map(|model| copy_worth(input, copies, model)).sum()
}

fn copy_worth(input: &PlacementInput<'_>, copies: &RegionCopies, model: &Name) -> f64 {
    region_demand(input, model) / copies.region(model).max(1) as f64
}

/// Returns the copies to drop for a model of this size, and what they are worth together.
fn victims(
    input: &PlacementInput<'_>,
    copies: &RegionCopies,
    server: &PlacementServer<'_>,
    spec: &ModelSpec,
) -> Option<(SmallVec<[Name; 2]>, f64)> {
    let mut free = server.free_mb;
    let mut droppable: Vec<(&Name, f64)> = server
        .models
        .iter()
        .filter(|model| may_drop(input, server, model))
        .map(|model| (model, copy_worth(input, copies, model) + drain_cost(server, model)))
        .collect();
    droppable.sort_by(|a, b| a.1.total_cmp(&b.1));
    let (mut dropped, mut lost) = (SmallVec::new(), 0.0);
    for (model, worth) in droppable {
        if free >= spec.memory_mb {
            break;
        }
        free += input.class.models.get(model).map_or(0.0, |spec| spec.memory_mb);
        lost += worth;
        dropped.push(model.clone());
    }
    (free >= spec.memory_mb).then_some((dropped, lost))
}

/// Returns what it costs that a model's requests have to end before it can be dropped.
fn drain_cost(server: &PlacementServer<'_>, model: &Name) -> f64 {
    f64::from(server.requests_by_model.get(model).copied().unwrap_or(0)) * DRAIN_COST
}

fn may_drop(input: &PlacementInput<'_>, server: &PlacementServer<'_>, model: &Name) -> bool {
    let id = &server.server.id;
    let holders = input.holders.get(model).map(Vec::as_slice).unwrap_or_default();
    let elsewhere = holders.iter().any(|holder| holder != id);
    let is_old = server
        .loaded_at
        .get(model)
        .is_none_or(|at| input.now.saturating_duration_since(*at) >= MIN_COPY_AGE);
    elsewhere && protected_holder(model, holders) != Some(id) && is_old
}

/// Returns the domain that brings a model back when nobody holds it, among the domains with servers.
/// Every node finds the same one, so that a model is not loaded in each domain at once.
pub fn restoring_domain<'a>(
    model: &str,
    domains: impl Iterator<Item = &'a Name>,
) -> Option<&'a Name> {
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    domains.min_by_key(|domain| xxh3_64_with_seed(domain.as_bytes(), seed))
}

/// A domain's part of the weight store's rate.
///
/// The bound counts the loads that begin within a window over all servers. Each domain takes an equal
/// part, so no message is needed for a load.
#[derive(Debug, Clone)]
pub struct LoadRateLimiter {
    window: Duration,
    most: usize,
    begun: Vec<Instant>,
}

impl LoadRateLimiter {
    /// Starts with the part of one of `domains` domains.
    pub fn new(loads_per_s: f64, window: Duration, domains: usize) -> Self {
        let total = loads_per_s * window.as_secs_f64();
        let most = (total / domains.max(1) as f64).floor().max(1.0) as usize;
        Self { window, most, begun: Vec::new() }
    }

    /// Counts the window as used up, since a former holder may have used it.
    pub fn assume_exhausted(&mut self, now: Instant) {
        self.begun = vec![now; self.most];
    }

    /// Returns whether a load may begin.
    pub fn may_start_load(&mut self, now: Instant) -> bool {
        let window = self.window;
        self.begun.retain(|at| now.saturating_duration_since(*at) < window);
        self.begun.len() < self.most
    }

    /// Counts a load.
    pub fn record_load(&mut self, now: Instant) {
        self.begun.push(now);
    }
}

/// The work asked of each model, quick to rise and slow to fall.
#[derive(Debug, Clone, Default)]
pub struct DemandAverage {
    models: HashMap<Name, (f64, f64)>,
    observed_at: Option<Instant>,
}

/// The time constant with which demand rises.
const RISE: Duration = Duration::from_millis(2_000);

/// The time constant with which demand falls.
const FALL: Duration = Duration::from_secs(3);

/// Below this a model counts as not asked for.
const NEGLIGIBLE: f64 = 1e-4;

impl DemandAverage {
    /// Takes the work in milliseconds that arrived since the last observation.
    pub fn observe(&mut self, work_ms: &HashMap<Name, f64>, now: Instant) {
        let Some(interval) = self.observed_at.map(|at| now.saturating_duration_since(at)) else {
            self.observed_at = Some(now);
            return;
        };
        self.observed_at = Some(now);
        let seconds = interval.as_secs_f64().max(1e-3);
        for model in work_ms.keys() {
            self.models.entry(model.clone()).or_default();
        }
        for (model, (fast, slow)) in &mut self.models {
            let rate = work_ms.get(model).copied().unwrap_or(0.0) / 1e3 / seconds;
            *fast += (rate - *fast) * (1.0 - (-seconds / RISE.as_secs_f64()).exp());
            *slow += (rate - *slow) * (1.0 - (-seconds / FALL.as_secs_f64()).exp());
        }
        self.models.retain(|_, (fast, slow)| fast.max(*slow) > NEGLIGIBLE);
    }

    /// Returns the demand by model in servers' worth.
    pub fn demand(&self) -> HashMap<Name, f64> {
        self.models.iter().map(|(model, (fast, slow))| (model.clone(), fast.max(*slow))).collect()
    }
}
