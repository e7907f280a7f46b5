//! Periodically plans the placement of models on the servers of a failure domain, and starts the
//! loads that are worth their cost.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::deployment::EngineClass;
use savoryport_core::node::load_concurrency::LoadConcurrencyLimiter;
use savoryport_core::node::placement::{
    DemandAverage, LoadRateLimiter, MissingModel, Move, NeighbourDomain, PlacementInput,
    PlacementServer, WeightSource, next_move, restoring_domain,
};
use savoryport_core::node::registry::BackendServer;
use smallvec::SmallVec;

use super::context::NodeContext;
use super::domain_controller::DomainController;
use super::engine::{EngineCommand, EngineHandle, ObservedLoad};
use super::view::FleetView;

/// How long a request for a model that no server holds counts as demand.
const REQUEST_LIFETIME: Duration = Duration::from_millis(2_000);

/// The longest time for which a load waits for its turn at the weight store. Another domain is asked
/// instead of waiting longer.
const MAX_LOAD_DELAY: Duration = Duration::from_millis(1_200);

/// How long a model without demand must be missing before it is loaded again. Servers that start
/// register themselves and their models within one or two heartbeats.
const RESTORE_AFTER: Duration = Duration::from_secs(3);

/// Number of moves that one planning round may start for a service.
const MAX_MOVES_PER_ROUND: usize = 4;

/// The state that the placement of a failure domain keeps between planning rounds.
#[derive(Debug, Default)]
pub struct Planner {
    /// The average demand of the domain's callers for each model.
    pub demand: DemandAverage,
    load_limiter: Option<LoadRateLimiter>,
    load_concurrency: LoadConcurrencyLimiter,
    /// Models that no server holds, with the time since when.
    missing_since: HashMap<Name, Instant>,
    /// Models that requests wait for, with the time of the latest request.
    pub wanted_models: HashMap<Name, Instant>,
    loaded_at: HashMap<Name, HashMap<Name, Instant>>,
}

/// Runs a planning round for every service with model engines at each placement period.
pub async fn run_planner(cx: Arc<NodeContext>, controller: Arc<DomainController>) {
    let period = Duration::from_millis(cx.settings.placement_period_ms);
    loop {
        tokio::time::sleep(period).await;
        let view = cx.fleet.view();
        let Some(deployment) = view.deployment() else { continue };
        for service in deployment.services.values() {
            let Some(class) = &service.engine else { continue };
            let servers: Vec<Arc<BackendServer>> = view
                .servers
                .values()
                .filter(|server| server.service == service.name)
                .filter(|server| server.failure_domain == controller.domain && server.is_ready())
                .cloned()
                .collect();
            controller.update_engines(&cx, &servers);
            if controller.active_token(&cx).is_some() {
                update_copy_uses(&cx, &controller);
                plan_service(&cx, &controller, &view, &service.name, class, &servers);
            }
        }
    }
}

fn update_copy_uses(cx: &NodeContext, controller: &DomainController) {
    let engines = controller.engines();
    for engine in engines.values() {
        engine.contents().clear_uses();
    }
    let own = cx.routing.lock().copies_in_use();
    for usage in cx.peer_reports.copies_in_use().into_iter().chain(own) {
        if let Some(engine) = engines.get(&usage.server) {
            let mut contents = engine.contents();
            let adapter = usage.adapter.as_deref();
            contents.add_use(&usage.model, adapter, usage.requests, cx.now());
        }
    }
}

fn plan_service(
    cx: &NodeContext,
    controller: &DomainController,
    view: &FleetView,
    service: &Name,
    class: &EngineClass,
    servers: &[Arc<BackendServer>],
) {
    let now = cx.now();
    let mut planner = controller.planner.lock().expect("no thread panics while holding the lock");
    if controller.domain == cx.settings.failure_domain {
        let work = cx.peer_reports.take_work();
        planner.demand.observe(&work, now);
    }
    planner.wanted_models.retain(|_, at| now.saturating_duration_since(*at) < REQUEST_LIFETIME);
    planner.record_observed_loads(controller);
    let holders = holders_by_model(view, service);
    let missing = planner.missing_models(view, service, class, &controller.domain, &holders, now);
    let demand = planner.demand_with_waiting();
    let neighbours = neighbours(cx, view, service, &controller.domain);
    let round = PlanningRound {
        class,
        servers,
        holders: &holders,
        missing: &missing,
        demand: &demand,
        neighbours: &neighbours,
    };
    for _ in 0..MAX_MOVES_PER_ROUND {
        let chosen = planner.choose_move(cx, controller, &round);
        let Some(chosen) = chosen else { return };
        planner.record_move(&chosen, now);
        cx.metrics.model_moves.inc();
        log::info!(
            server = &*chosen.server, model = &*chosen.load, source:? = chosen.source,
            unload:? = chosen.unload, value = chosen.value; "move decided"
        );
        if let Some(engine) = controller.engine(&chosen.server) {
            engine.send(EngineCommand::Move(chosen));
        }
    }
}

/// The input of one planning round.
#[derive(Debug, Clone, Copy)]
struct PlanningRound<'a> {
    class: &'a EngineClass,
    servers: &'a [Arc<BackendServer>],
    holders: &'a HashMap<Name, Vec<Name>>,
    missing: &'a BTreeMap<Name, MissingModel>,
    demand: &'a HashMap<Name, f64>,
    neighbours: &'a [NeighbourDomain],
}

impl Planner {
    /// Returns the models that no server holds and that this domain has to load.
    fn missing_models(
        &mut self,
        view: &FleetView,
        service: &Name,
        class: &EngineClass,
        domain: &str,
        holders: &HashMap<Name, Vec<Name>>,
        now: Instant,
    ) -> BTreeMap<Name, MissingModel> {
        let domains = domains_with_ready_servers(view, service);
        self.missing_since.retain(|model, _| !holders.contains_key(model));
        let mut missing = BTreeMap::new();
        for model in class.models.keys().filter(|model| !holders.contains_key(*model)) {
            let since = *self.missing_since.entry(model.clone()).or_insert(now);
            let restores_model = restoring_domain(model, domains.iter())
                .is_some_and(|restoring| &**restoring == domain);
            if self.wanted_models.contains_key(model) {
                missing.insert(model.clone(), MissingModel::Requested);
            } else if restores_model && now.saturating_duration_since(since) >= RESTORE_AFTER {
                missing.insert(model.clone(), MissingModel::NotRequested);
            }
        }
        missing
    }

    fn demand_with_waiting(&self) -> HashMap<Name, f64> {
        /// Minimum demand, in servers, of a model that requests wait for: enough for a first copy.
        const WAITING_DEMAND: f64 = 0.1;
        let mut demand = self.demand.demand();
        for model in self.wanted_models.keys() {
            let model_demand = demand.entry(model.clone()).or_default();
            *model_demand = model_demand.max(WAITING_DEMAND);
        }
        demand
    }

    fn load_limiter(
        &mut self,
        cx: &NodeContext,
        class: &EngineClass,
        domain: &str,
    ) -> &mut LoadRateLimiter {
        self.load_limiter.get_or_insert_with(|| {
            let domains = &cx.settings.failure_domains;
            let index = domains.keys().position(|known| &**known == domain).unwrap_or(0);
            let window = Duration::from_secs_f64(cx.settings.load_window_s);
            let mut limiter = LoadRateLimiter::new(class.loads_per_s, window, index, domains.len());
            if !cx.settings.first_start {
                limiter.assume_exhausted(cx.now());
            }
            limiter
        })
    }

    /// Records that requests wait for a model, and returns how long it takes until its load may
    /// start. At the weight store, the other models that requests wait for come before it. Returns
    /// `None`, and records nothing, if the domain cannot load it soon.
    pub fn request_load(
        &mut self,
        cx: &NodeContext,
        class: &EngineClass,
        domain: &str,
        model: &Name,
        source: WeightSource,
    ) -> Option<Duration> {
        let now = cx.now();
        let wait = if source == WeightSource::Store {
            let ahead = self.wanted_models.keys().filter(|wanted| *wanted != model).count();
            self.load_limiter(cx, class, domain).wait_for_load(ahead, now)?
        } else {
            Duration::ZERO
        };
        if wait > MAX_LOAD_DELAY {
            return None;
        }
        self.wanted_models.insert(model.clone(), now);
        Some(wait)
    }

    fn record_observed_loads(&mut self, controller: &DomainController) {
        let engines = controller.engines();
        let observed: Vec<ObservedLoad> =
            engines.values().flat_map(EngineHandle::take_observed_loads).collect();
        let ended = observed.iter().filter(|load| load.is_done).count();
        let active = ended + engines.values().filter_map(store_load_value).count();
        let former_limit = self.load_concurrency.limit();
        for load in &observed {
            self.load_concurrency.record_load(load.elapsed, load.expected, active);
        }
        if let Some(limit) = self.load_concurrency.limit()
            && former_limit != Some(limit)
        {
            log::info!(domain = &*controller.domain, limit = limit; "limit of loads at once");
        }
    }

    fn choose_move(
        &mut self,
        cx: &NodeContext,
        controller: &DomainController,
        round: &PlanningRound<'_>,
    ) -> Option<Move> {
        let PlanningRound { class, servers, holders, missing, demand, neighbours } = *round;
        let now = cx.now();
        let store_load_allowed =
            self.load_limiter(cx, class, &controller.domain).may_start_load(now);
        let active: SmallVec<[f64; 8]> =
            controller.engines().values().filter_map(store_load_value).collect();
        let least_store_value = self.load_concurrency.least_value(&active);
        let no_loads = HashMap::new();
        let options: Vec<PlacementServer<'_>> = servers
            .iter()
            .filter_map(|server| {
                let engine = controller.engine(&server.id)?;
                let capacity_share = cx.routing.lock().limits.capacity_share(server);
                let contents = engine.contents();
                let current_move = engine.current_move();
                let mut models: SmallVec<[Name; 4]> = contents.models().cloned().collect();
                if let Some(current_move) = &current_move {
                    // The result of a move counts at once, or the next round would plan it again.
                    models.retain(|model| !current_move.unload.contains(model));
                    if !models.contains(&current_move.load) {
                        models.push(current_move.load.clone());
                    }
                }
                let requests_by_model = contents.requests_by_model();
                let used_at = contents.used_at().clone();
                let accepts_orders = current_move.is_none()
                    && contents.expected_orders().is_some()
                    && !contents.is_busy(now);
                Some(PlacementServer {
                    server,
                    models,
                    requests_by_model,
                    used_at,
                    adapter_requests: contents.adapter_requests(),
                    free_mb: contents.free_mb(class),
                    accepts_orders,
                    capacity_share,
                    loaded_at: self.loaded_at.get(&server.id).unwrap_or(&no_loads),
                })
            })
            .collect();
        let input = PlacementInput {
            class,
            servers: &options,
            holders,
            missing,
            domain: &controller.domain,
            demand,
            demand_is_known: self.demand.is_settled(now),
            neighbours,
            store_load_allowed,
            least_store_value,
            now,
        };
        next_move(&input)
    }

    fn record_move(&mut self, chosen: &Move, now: Instant) {
        if chosen.source == WeightSource::Store
            && let Some(load_limiter) = &mut self.load_limiter
        {
            load_limiter.record_load(now);
        }
        self.wanted_models.remove(&chosen.load);
        let loaded = self.loaded_at.entry(chosen.server.clone()).or_default();
        loaded.insert(chosen.load.clone(), now);
    }
}

/// Returns the value of the engine's move if it loads from the weight store.
fn store_load_value(engine: &EngineHandle) -> Option<f64> {
    let planned = engine.current_move()?;
    (planned.source == WeightSource::Store).then_some(planned.value)
}

/// Returns the other failure domains in the same region, with their demand and copies.
fn neighbours(
    cx: &NodeContext,
    view: &FleetView,
    service: &Name,
    domain: &Name,
) -> Vec<NeighbourDomain> {
    let region = cx.settings.region_of(domain);
    let others =
        domains_with_ready_servers(view, service).into_iter().filter(|other| other != domain);
    let near = others.filter(|other| region.is_some() && cx.settings.region_of(other) == region);
    near.map(|other| {
        let servers = view.servers.values().filter(|server| {
            server.service == *service && server.failure_domain == other && server.is_ready()
        });
        let mut copies = HashMap::new();
        for server in servers {
            let share = cx.routing.lock().limits.capacity_share(server);
            for model in &server.models {
                *copies.entry(model.name.clone()).or_default() += share;
            }
        }
        NeighbourDomain {
            demand: cx.peer_reports.demand_of(&other, cx.now()),
            domain: other,
            copies,
        }
    })
    .collect()
}

/// Returns the ready servers that hold each model.
fn holders_by_model(view: &FleetView, service: &str) -> HashMap<Name, Vec<Name>> {
    let mut holders: HashMap<Name, Vec<Name>> = HashMap::new();
    let servers = view.servers.values().filter(|server| &*server.service == service);
    for server in servers.filter(|server| server.is_ready()) {
        for model in &server.models {
            holders.entry(model.name.clone()).or_default().push(server.id.clone());
        }
    }
    holders
}

/// Returns the failure domains that have ready servers of a service.
pub fn domains_with_ready_servers(view: &FleetView, service: &str) -> BTreeSet<Name> {
    let servers = view.servers.values().filter(|server| &*server.service == service);
    let ready = servers.filter(|server| server.is_ready());
    ready.map(|server| server.failure_domain.clone()).collect()
}
