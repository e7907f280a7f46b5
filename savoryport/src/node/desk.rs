//! The duty of giving orders to the servers of one failure domain.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::deployment::EngineClass;
use savoryport_core::node::duty::Duty;
use savoryport_core::node::orders::EngineLedger;
use savoryport_core::node::placement::{
    DemandAverage, LoadAllowance, Missing, Move, Neighbour, PlacementInput, PlacementServer,
    WeightSource, load_time, next_move, owner, weight_source,
};
use savoryport_core::node::registry::BackendServer;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::context::NodeContext;
use super::engine::{Command, EngineHandle};
use super::rpc::WishReply;
use super::view::View;

/// A wish for a model that nobody holds counts as demand for this long.
const WISH_LIFETIME: Duration = Duration::from_millis(1_500);

/// A model that nobody asks for is restored when it was missing for this long: servers that start
/// register within a heartbeat or two, and their models with them.
const RESTORE_AFTER: Duration = Duration::from_secs(3);

/// Loads that one look at the placement may begin.
const MAX_MOVES_PER_LOOK: usize = 4;

/// The time that an adapter may take before a request looks elsewhere.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(400);

/// The incarnation in a ledger before the first report.
const UNKNOWN_INCARNATION: u64 = 0;

/// The desks of this node, by failure domain.
#[derive(Debug, Default)]
pub struct Desks(Mutex<HashMap<Name, Arc<Desk>>>);

/// One duty that this node holds.
#[derive(Debug)]
pub struct Desk {
    /// The failure domain.
    pub domain: Name,
    /// Cancelled when the duty is lost or given up.
    pub cancel: CancellationToken,
    /// The store's lease of the duty.
    pub lease: AtomicU64,
    duty: Mutex<Duty>,
    engines: Mutex<HashMap<Name, EngineHandle>>,
    planner: Mutex<Planner>,
}

#[derive(Debug, Default)]
struct Planner {
    demand: DemandAverage,
    allowance: Option<LoadAllowance>,
    /// Models that no server holds, and since when.
    missing_since: HashMap<Name, Instant>,
    /// Models that requests wait for, and since when.
    wishes: HashMap<Name, Instant>,
    loaded_at: HashMap<Name, HashMap<Name, Instant>>,
}

impl Desks {
    /// Returns whether this node holds the duty of a failure domain.
    pub fn holds(&self, domain: &str) -> bool {
        self.0.lock().expect("no holder panics").contains_key(domain)
    }

    /// Returns whether this node holds any duty.
    pub fn holds_any(&self) -> bool {
        !self.0.lock().expect("no holder panics").is_empty()
    }

    /// Returns every desk.
    pub fn all(&self) -> Vec<Arc<Desk>> {
        self.0.lock().expect("no holder panics").values().cloned().collect()
    }

    /// Opens a desk and starts its work.
    pub fn open(&self, cx: &Arc<NodeContext>, desk: Desk) -> Arc<Desk> {
        let desk = Arc::new(desk);
        self.0.lock().expect("no holder panics").insert(desk.domain.clone(), desk.clone());
        let plan = plan(cx.clone(), desk.clone());
        tokio::spawn(desk.cancel.clone().run_until_cancelled_owned(plan));
        desk
    }

    /// Closes a desk: no order leaves it any more.
    pub fn close(&self, desk: &Desk) {
        desk.cancel.cancel();
        desk.duty.lock().expect("no holder panics").lost();
        self.0.lock().expect("no holder panics").remove(&desk.domain);
    }

    /// Brings an adapter to a server; returns when it can be used.
    pub async fn want_adapter(
        &self,
        cx: &Arc<NodeContext>,
        server: &Name,
        model: &Name,
        adapter: &Name,
    ) -> WishReply {
        let domain = cx.fleet.view().servers.get(server).map(|known| known.failure_domain.clone());
        let desk = domain
            .and_then(|domain| self.0.lock().expect("no holder panics").get(&domain).cloned());
        let Some(desk) = desk.filter(|desk| desk.may_order(cx).is_some()) else {
            return WishReply::Unavailable;
        };
        let Some(engine) = desk.engine(server) else { return WishReply::Unavailable };
        let (reply, answer) = oneshot::channel();
        let (model, adapter) = (model.clone(), adapter.clone());
        engine.send(Command::Adapter { model, adapter, reply });
        match tokio::time::timeout(ADAPTER_PATIENCE, answer).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => WishReply::Unavailable,
        }
    }

    /// Returns the demand of this node's failure domain, if this node decides for it.
    pub fn demand(&self, cx: &NodeContext) -> Vec<(Name, f64)> {
        let desks = self.0.lock().expect("no holder panics");
        let Some(desk) = desks.get(&cx.settings.failure_domain) else { return Vec::new() };
        desk.planner.lock().expect("no holder panics").demand.demand().into_iter().collect()
    }

    /// Notes that requests wait for a model, and tells how long it will take.
    pub fn want_model(
        &self,
        cx: &NodeContext,
        service: &str,
        model: &Name,
        domain: &Name,
    ) -> WishReply {
        let view = cx.fleet.view();
        let Some(spec) = view.deployment().and_then(|known| known.model(service, model)) else {
            return WishReply::Unavailable;
        };
        let desk = self.0.lock().expect("no holder panics").get(domain).cloned();
        let Some(desk) = desk.filter(|desk| desk.may_order(cx).is_some()) else {
            return WishReply::Unavailable;
        };
        desk.planner.lock().expect("no holder panics").wishes.insert(model.clone(), cx.now());
        let sources = view
            .servers
            .values()
            .filter(|server| server.failure_domain == *domain && server.is_ready())
            .map(|server| weight_source(server, model));
        let source = sources.min().unwrap_or(WeightSource::Store);
        WishReply::Loading(load_time(spec, source).as_millis() as u64)
    }
}

impl Desk {
    /// Makes a desk for a duty that was won.
    pub fn new(domain: Name, lease: u64, duty: Duty) -> Self {
        Self {
            domain,
            cancel: CancellationToken::new(),
            lease: AtomicU64::new(lease),
            duty: Mutex::new(duty),
            engines: Mutex::default(),
            planner: Mutex::default(),
        }
    }

    /// Returns the fencing token if an order may be given now.
    pub fn may_order(&self, cx: &NodeContext) -> Option<u64> {
        if cx.stopping.is_cancelled() || self.cancel.is_cancelled() {
            return None;
        }
        self.duty.lock().expect("no holder panics").may_order(cx.lease_clock.now())
    }

    /// Notes a renewal that was sent at this time of the lease clock.
    pub fn renewed(&self, asked_at: Instant) {
        self.duty.lock().expect("no holder panics").renewed(asked_at);
    }

    /// Returns the id of the store's lease.
    pub fn lease_id(&self) -> u64 {
        self.lease.load(Ordering::Relaxed)
    }

    fn engine(&self, server: &str) -> Option<EngineHandle> {
        self.engines.lock().expect("no holder panics").get(server).cloned()
    }

    /// Starts tasks for new engines and drops those of engines that are gone.
    fn follow_servers(self: &Arc<Self>, cx: &Arc<NodeContext>, servers: &[Arc<BackendServer>]) {
        let mut engines = self.engines.lock().expect("no holder panics");
        engines.retain(|id, _| servers.iter().any(|server| server.id == *id));
        for server in servers {
            if !engines.contains_key(&server.id) {
                let handle = EngineHandle::start(cx, self, &server.id);
                engines.insert(server.id.clone(), handle);
            }
            let Some(engine) = engines.get(&server.id) else { continue };
            let known = engine.ledger().incarnation();
            if known != UNKNOWN_INCARNATION && known != server.incarnation {
                engine.send(Command::Restarted);
            }
        }
    }
}

/// Looks at the placement of models from time to time.
async fn plan(cx: Arc<NodeContext>, desk: Arc<Desk>) {
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
                .filter(|server| server.failure_domain == desk.domain && server.is_ready())
                .cloned()
                .collect();
            desk.follow_servers(&cx, &servers);
            if desk.may_order(&cx).is_some() {
                note_copy_uses(&cx, &desk);
                look(&cx, &desk, &view, &service.name, class, &servers);
            }
        }
    }
}

fn note_copy_uses(cx: &NodeContext, desk: &Desk) {
    let engines = desk.engines.lock().expect("no holder panics");
    for engine in engines.values() {
        engine.ledger().clear_uses();
    }
    let own = cx.boards.lock().copies_in_use();
    for usage in cx.hub.copies_in_use().into_iter().chain(own) {
        if let Some(engine) = engines.get(&usage.server) {
            let mut ledger = engine.ledger();
            let adapter = usage.adapter.as_deref();
            ledger.note_use(&usage.model, adapter, usage.requests, cx.now());
        }
    }
}

fn look(
    cx: &NodeContext,
    desk: &Desk,
    view: &View,
    service: &Name,
    class: &EngineClass,
    servers: &[Arc<BackendServer>],
) {
    let now = cx.now();
    let mut planner = desk.planner.lock().expect("no holder panics");
    if desk.domain == cx.settings.failure_domain {
        let work = cx.hub.take_work();
        planner.demand.observe(&work, now);
    }
    planner.wishes.retain(|_, at| now.saturating_duration_since(*at) < WISH_LIFETIME);
    let holders = holders_by_model(view, service);
    let missing = planner.missing(view, service, class, &desk.domain, &holders, now);
    let demand = planner.demand_with_wishes();
    let neighbours = neighbours(cx, view, service, &desk.domain);
    let needs = Needs {
        class,
        servers,
        holders: &holders,
        missing: &missing,
        demand: &demand,
        neighbours: &neighbours,
    };
    for _ in 0..MAX_MOVES_PER_LOOK {
        let chosen = planner.choose(cx, desk, &needs);
        let Some(chosen) = chosen else { return };
        planner.note(&chosen, now);
        cx.metrics.loads.inc();
        log::info!(
            server = &*chosen.server, model = &*chosen.load, source:? = chosen.source,
            unload:? = chosen.unload, value = chosen.value; "move decided"
        );
        if let Some(engine) = desk.engine(&chosen.server) {
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
        view: &View,
        service: &Name,
        class: &EngineClass,
        domain: &str,
        holders: &HashMap<Name, Vec<Name>>,
        now: Instant,
    ) -> BTreeMap<Name, Missing> {
        let domains = engine_domains(view, service);
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

    fn choose(&mut self, cx: &NodeContext, desk: &Desk, needs: &Needs<'_>) -> Option<Move> {
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
                let engine = desk.engine(&server.id)?;
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
            domain: &desk.domain,
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
fn neighbours(cx: &NodeContext, view: &View, service: &Name, domain: &Name) -> Vec<Neighbour> {
    let region = cx.settings.region_of(domain);
    let others = engine_domains(view, service).into_iter().filter(|other| other != domain);
    let near = others.filter(|other| region.is_some() && cx.settings.region_of(other) == region);
    near.map(|other| {
        let servers = view.servers.values().filter(|server| {
            server.service == *service && server.failure_domain == other && server.is_ready()
        });
        let mut copies = HashMap::new();
        for model in servers.flat_map(|server| &server.models) {
            *copies.entry(model.name.clone()).or_default() += 1;
        }
        Neighbour { demand: cx.hub.demand_of(&other, cx.now()), domain: other, copies }
    })
    .collect()
}

/// Returns the ready servers that hold each model.
fn holders_by_model(view: &View, service: &str) -> HashMap<Name, Vec<Name>> {
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
pub fn engine_domains(view: &View, service: &str) -> BTreeSet<Name> {
    let servers = view.servers.values().filter(|server| &*server.service == service);
    let ready = servers.filter(|server| server.is_ready());
    ready.map(|server| server.failure_domain.clone()).collect()
}

impl Desk {
    /// Returns what the desk knows of its engines, for the status page.
    pub fn engines(&self) -> Vec<(Name, EngineLedger, Option<Move>)> {
        let engines = self.engines.lock().expect("no holder panics");
        let known = engines.iter();
        known.map(|(id, engine)| (id.clone(), engine.ledger().clone(), engine.moving())).collect()
    }
}
