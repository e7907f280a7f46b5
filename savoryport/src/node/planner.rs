//! Looks at the placement of models from time to time, and begins the loads that are worth it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::deployment::EngineClass;
use savoryport_core::node::placement::{
    DemandAverage, LoadAllowance, Missing, Move, Neighbour, PlacementInput, PlacementServer,
    WeightSource, next_move, owner,
};
use savoryport_core::node::registry::BackendServer;
use smallvec::SmallVec;

use super::context::NodeContext;
use super::domain_controller::DomainController;
use super::engine::Command;
use super::view::FleetView;

/// A wish for a model that nobody holds counts as demand for this long.
const WISH_LIFETIME: Duration = Duration::from_millis(1_500);

/// A model that nobody asks for is restored when it was missing for this long: servers that start
/// register within a heartbeat or two, and their models with them.
const RESTORE_AFTER: Duration = Duration::from_secs(3);

/// Loads that one look at the placement may begin.
const MAX_MOVES_PER_LOOK: usize = 4;

#[derive(Debug, Default)]
pub struct Planner {
    /// What callers of the domain ask for.
    pub demand: DemandAverage,
    allowance: Option<LoadAllowance>,
    /// Models that no server holds, and since when.
    missing_since: HashMap<Name, Instant>,
    /// Models that requests wait for, and since when.
    pub wishes: HashMap<Name, Instant>,
    loaded_at: HashMap<Name, HashMap<Name, Instant>>,
}

/// Looks at the placement of models from time to time.
pub async fn plan(cx: Arc<NodeContext>, controller: Arc<DomainController>) {
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
            controller.follow_servers(&cx, &servers);
            if controller.active_token(&cx).is_some() {
                note_copy_uses(&cx, &controller);
                look(&cx, &controller, &view, &service.name, class, &servers);
            }
        }
    }
}

fn note_copy_uses(cx: &NodeContext, controller: &DomainController) {
    let engines = controller.handles();
    for engine in engines.values() {
        engine.ledger().clear_uses();
    }
    let own = cx.routing.lock().copies_in_use();
    for usage in cx.peer_reports.copies_in_use().into_iter().chain(own) {
        if let Some(engine) = engines.get(&usage.server) {
            let mut ledger = engine.ledger();
            let adapter = usage.adapter.as_deref();
            ledger.note_use(&usage.model, adapter, usage.requests, cx.now());
        }
    }
}

fn look(
    cx: &NodeContext,
    controller: &DomainController,
    view: &FleetView,
    service: &Name,
    class: &EngineClass,
    servers: &[Arc<BackendServer>],
) {
    let now = cx.now();
    let mut planner = controller.planner.lock().expect("no holder panics");
    if controller.domain == cx.settings.failure_domain {
        let work = cx.peer_reports.take_work();
        planner.demand.observe(&work, now);
    }
    planner.wishes.retain(|_, at| now.saturating_duration_since(*at) < WISH_LIFETIME);
    let holders = holders_by_model(view, service);
    let missing = planner.missing(view, service, class, &controller.domain, &holders, now);
    let demand = planner.demand_with_wishes();
    let neighbours = neighbours(cx, view, service, &controller.domain);
    let needs = Needs {
        class,
        servers,
        holders: &holders,
        missing: &missing,
        demand: &demand,
        neighbours: &neighbours,
    };
    for _ in 0..MAX_MOVES_PER_LOOK {
        let chosen = planner.choose(cx, controller, &needs);
        let Some(chosen) = chosen else { return };
        planner.note(&chosen, now);
        cx.metrics.loads.inc();
        log::info!(
            server = &*chosen.server, model = &*chosen.load, source:? = chosen.source,
            unload:? = chosen.unload, value = chosen.value; "move decided"
        );
        if let Some(engine) = controller.engine(&chosen.server) {
            engine.send(Command::Move(chosen));
        }
    }
}

/// What the servers of a domain hold and are asked for at one look.
#[derive(Debug, Clone, Copy)]
struct Needs<'a> {
    class: &'a EngineClass,
    servers: &'a [Arc<BackendServer>],
    holders: &'a HashMap<Name, Vec<Name>>,
    missing: &'a BTreeMap<Name, Missing>,
    demand: &'a HashMap<Name, f64>,
    neighbours: &'a [Neighbour],
}

impl Planner {
    /// Returns the models that nobody holds and this domain is to bring back.
    fn missing(
        &mut self,
        view: &FleetView,
        service: &Name,
        class: &EngineClass,
        domain: &str,
        holders: &HashMap<Name, Vec<Name>>,
        now: Instant,
    ) -> BTreeMap<Name, Missing> {
        let domains = domains_with_ready_servers(view, service);
        self.missing_since.retain(|model, _| !holders.contains_key(model));
        let mut missing = BTreeMap::new();
        for model in class.models.keys().filter(|model| !holders.contains_key(*model)) {
            let since = *self.missing_since.entry(model.clone()).or_insert(now);
            let is_owned = owner(model, domains.iter()).is_some_and(|owner| &**owner == domain);
            if self.wishes.contains_key(model) {
                missing.insert(model.clone(), Missing::Awaited);
            } else if is_owned && now.saturating_duration_since(since) >= RESTORE_AFTER {
                missing.insert(model.clone(), Missing::Unasked);
            }
        }
        missing
    }

    fn demand_with_wishes(&self) -> HashMap<Name, f64> {
        /// The demand that a wish stands for, enough for a first copy.
        const WISH_DEMAND: f64 = 0.1;
        let mut demand = self.demand.demand();
        for model in self.wishes.keys() {
            let known = demand.entry(model.clone()).or_default();
            *known = known.max(WISH_DEMAND);
        }
        demand
    }

    fn choose(
        &mut self,
        cx: &NodeContext,
        controller: &DomainController,
        needs: &Needs<'_>,
    ) -> Option<Move> {
        let Needs { class, servers, holders, missing, demand, neighbours } = *needs;
        let now = cx.now();
        let window = Duration::from_secs_f64(cx.settings.load_window_s);
        let domains = cx.settings.failure_domains.len();
        let allowance = self.allowance.get_or_insert_with(|| {
            let mut allowance = LoadAllowance::new(class.loads_per_s, window, domains);
            if !cx.settings.first_start {
                allowance.assume_used(now);
            }
            allowance
        });
        let may_use_store = allowance.may_begin(now);
        let no_loads = HashMap::new();
        let options: Vec<PlacementServer<'_>> = servers
            .iter()
            .filter_map(|server| {
                let engine = controller.engine(&server.id)?;
                let ledger = engine.ledger();
                let moving = engine.moving();
                let mut models: SmallVec<[Name; 4]> = ledger.models().cloned().collect();
                if let Some(moving) = &moving {
                    // What a move will bring counts at once, or the next look would decide it again.
                    models.retain(|model| !moving.unload.contains(model));
                    if !models.contains(&moving.load) {
                        models.push(moving.load.clone());
                    }
                }
                let in_use = ledger.requests_by_model();
                let is_open =
                    moving.is_none() && ledger.expected_orders().is_some() && !ledger.is_busy(now);
                Some(PlacementServer {
                    server,
                    models,
                    in_use,
                    adapter_requests: ledger.adapter_requests(),
                    free_mb: ledger.free_mb(class),
                    is_open,
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
            neighbours,
            may_use_store,
            now,
        };
        next_move(&input)
    }

    fn note(&mut self, chosen: &Move, now: Instant) {
        if chosen.source == WeightSource::Store
            && let Some(allowance) = &mut self.allowance
        {
            allowance.begin(now);
        }
        let loaded = self.loaded_at.entry(chosen.server.clone()).or_default();
        loaded.insert(chosen.load.clone(), now);
    }
}

/// Returns the other failure domains in the region of one, with their demand and copies.
fn neighbours(cx: &NodeContext, view: &FleetView, service: &Name, domain: &Name) -> Vec<Neighbour> {
    let region = cx.settings.region_of(domain);
    let others =
        domains_with_ready_servers(view, service).into_iter().filter(|other| other != domain);
    let near = others.filter(|other| region.is_some() && cx.settings.region_of(other) == region);
    near.map(|other| {
        let servers = view.servers.values().filter(|server| {
            server.service == *service && server.failure_domain == other && server.is_ready()
        });
        let mut copies = HashMap::new();
        for model in servers.flat_map(|server| &server.models) {
            *copies.entry(model.name.clone()).or_default() += 1;
        }
        Neighbour { demand: cx.peer_reports.demand_of(&other, cx.now()), domain: other, copies }
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
