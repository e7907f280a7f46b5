//! Control of the model engines of the failure domains that this node leads.
//!
//! The leader of a failure domain decides which models and adapters the engines there hold, and
//! sends them the orders to load and unload.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use savoryport_adapter::store::{Entry, Lease, Revision};
use savoryport_core::Name;
use savoryport_core::node::leadership::Leadership;
use savoryport_core::node::orders::EngineContents;
use savoryport_core::node::placement::{Move, WeightSource, load_time, weight_source};
use savoryport_core::node::registry::BackendServer;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::context::NodeContext;
use super::engine::{EngineCommand, EngineHandle};
use super::planner::{Planner, run_planner};
use super::rpc::Availability;

/// How long a request waits for an adapter before it tries another server.
const ADAPTER_TIMEOUT: Duration = Duration::from_millis(400);

/// The controllers of this node, by failure domain.
#[derive(Debug, Default)]
pub struct DomainControllers(Mutex<HashMap<Name, Arc<DomainController>>>);

/// The leadership of one failure domain, with the state of its engines.
#[derive(Debug)]
pub struct DomainController {
    /// The failure domain that this node leads.
    pub domain: Name,
    /// Cancelled when the leadership is lost or released.
    pub cancel: CancellationToken,
    /// The store's lease that the leadership is bound to.
    lease: Mutex<Lease>,
    /// The revision at which the leadership was acquired.
    acquired: Revision,
    leadership: Mutex<Leadership>,
    led_since: Instant,
    engines: Mutex<HashMap<Name, EngineHandle>>,
    /// The state of the model placement.
    pub planner: Mutex<Planner>,
}

impl DomainControllers {
    /// Returns whether this node leads a failure domain.
    pub fn leads(&self, domain: &str) -> bool {
        self.0.lock().expect("no thread panics while holding the lock").contains_key(domain)
    }

    /// Returns whether this node leads any failure domain.
    pub fn leads_any(&self) -> bool {
        !self.0.lock().expect("no thread panics while holding the lock").is_empty()
    }

    /// Returns whether this node leads a failure domain and its lease on that has not run out.
    pub fn holds_lease(&self, cx: &NodeContext, domain: &str) -> bool {
        let controllers = self.0.lock().expect("no thread panics while holding the lock");
        controllers.get(domain).is_some_and(|controller| controller.holds_lease(cx))
    }

    /// Returns since when this node leads a failure domain.
    pub fn led_since(&self, domain: &str) -> Option<Instant> {
        let controllers = self.0.lock().expect("no thread panics while holding the lock");
        controllers.get(domain).map(|controller| controller.led_since)
    }

    /// Returns all controllers.
    pub fn all(&self) -> Vec<Arc<DomainController>> {
        self.0.lock().expect("no thread panics while holding the lock").values().cloned().collect()
    }

    /// Adds a controller and starts its placement task.
    pub fn open(
        &self,
        cx: &Arc<NodeContext>,
        controller: DomainController,
    ) -> Arc<DomainController> {
        let controller = Arc::new(controller);
        self.0
            .lock()
            .expect("no thread panics while holding the lock")
            .insert(controller.domain.clone(), controller.clone());
        let planner = run_planner(cx.clone(), controller.clone());
        tokio::spawn(controller.cancel.clone().run_until_cancelled_owned(planner));
        controller
    }

    /// Removes a controller and stops its tasks; it sends no more orders.
    pub fn close(&self, controller: &DomainController) {
        controller.cancel.cancel();
        controller.leadership.lock().expect("no thread panics while holding the lock").on_lost();
        self.0.lock().expect("no thread panics while holding the lock").remove(&controller.domain);
    }

    /// Loads an adapter at a server unless the server holds it, and returns once requests can use
    /// it or loading it has failed.
    pub async fn ensure_adapter(
        &self,
        cx: &Arc<NodeContext>,
        server: &Name,
        model: &Name,
        adapter: &Name,
    ) -> Availability {
        let domain = cx.fleet.view().servers.get(server).map(|known| known.failure_domain.clone());
        let controller = domain.and_then(|domain| {
            self.0.lock().expect("no thread panics while holding the lock").get(&domain).cloned()
        });
        let Some(controller) =
            controller.filter(|controller| controller.active_token(cx).is_some())
        else {
            return Availability::Unavailable;
        };
        let Some(engine) = controller.engine(server) else { return Availability::Unavailable };
        let (reply, answer) = oneshot::channel();
        let (model, adapter) = (model.clone(), adapter.clone());
        engine.send(EngineCommand::EnsureAdapter { model, adapter, reply });
        match tokio::time::timeout(ADAPTER_TIMEOUT, answer).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Availability::Unavailable,
        }
    }

    /// Returns the demand for each model in this node's failure domain, or nothing if this node
    /// does not lead it.
    pub fn demand(&self, cx: &NodeContext) -> Vec<(Name, f64)> {
        let controllers = self.0.lock().expect("no thread panics while holding the lock");
        let Some(controller) = controllers.get(&cx.settings.failure_domain) else {
            return Vec::new();
        };
        controller
            .planner
            .lock()
            .expect("no thread panics while holding the lock")
            .demand
            .demand()
            .into_iter()
            .collect()
    }

    /// Records that requests wait for a model, and returns how long a load of it takes.
    pub fn request_model(
        &self,
        cx: &NodeContext,
        service: &str,
        model: &Name,
        domain: &Name,
    ) -> Availability {
        let view = cx.fleet.view();
        let class =
            view.deployment().and_then(|known| known.services.get(service)?.engine.as_ref());
        let Some((class, spec)) =
            class.and_then(|class| class.models.get(model).map(|spec| (class, spec)))
        else {
            return Availability::Unavailable;
        };
        let controller =
            self.0.lock().expect("no thread panics while holding the lock").get(domain).cloned();
        let Some(controller) =
            controller.filter(|controller| controller.active_token(cx).is_some())
        else {
            return Availability::Unavailable;
        };
        let ready_servers = view.servers.values().filter(|server| {
            &*server.service == service && server.failure_domain == *domain && server.is_ready()
        });
        let sources = ready_servers.map(|server| weight_source(server, model));
        let source = sources.min().unwrap_or(WeightSource::Store);
        let load = load_time(spec, source);
        if controller.is_loading(model) {
            return Availability::Loading(load.as_millis() as u64);
        }
        let mut planner =
            controller.planner.lock().expect("no thread panics while holding the lock");
        match planner.request_load(cx, class, domain, model, source) {
            Some(wait) => Availability::Loading((wait + load).as_millis() as u64),
            None => Availability::Unavailable,
        }
    }
}

impl DomainController {
    /// Creates the controller of a failure domain whose leadership was acquired.
    pub fn new(
        domain: Name,
        lease: Lease,
        acquired: Revision,
        leadership: Leadership,
        now: Instant,
    ) -> Self {
        Self {
            domain,
            cancel: CancellationToken::new(),
            lease: Mutex::new(lease),
            acquired,
            leadership: Mutex::new(leadership),
            led_since: now,
            engines: Mutex::default(),
            planner: Mutex::default(),
        }
    }

    /// Returns the fencing token if this node may send orders now.
    pub fn active_token(&self, cx: &NodeContext) -> Option<u64> {
        if cx.stopping.is_cancelled() || self.cancel.is_cancelled() {
            return None;
        }
        self.leadership
            .lock()
            .expect("no thread panics while holding the lock")
            .active_token(cx.lease_clock.now())
    }

    fn holds_lease(&self, cx: &NodeContext) -> bool {
        let leadership = self.leadership.lock().expect("no thread panics while holding the lock");
        leadership.is_held() && !leadership.has_lapsed(cx.lease_clock.now())
    }

    /// Returns whether another node may have led the failure domain since the last renewal.
    pub fn may_have_been_succeeded(&self, cx: &NodeContext) -> bool {
        self.leadership
            .lock()
            .expect("no thread panics while holding the lock")
            .may_have_been_succeeded(cx.lease_clock.now())
    }

    /// Records a renewal of the lease; `sent_at` is the time of its request by the lease clock.
    pub fn record_renewal(&self, sent_at: Instant) {
        self.leadership
            .lock()
            .expect("no thread panics while holding the lock")
            .on_renewed(sent_at);
    }

    /// Returns the leadership's lease.
    pub fn lease(&self) -> Lease {
        *self.lease.lock().expect("no thread panics while holding the lock")
    }

    /// Takes over the lease of a key that the store has after it went back to a copy, if the key
    /// is still the one that was written when the leadership was acquired; returns whether it is.
    pub fn confirm(&self, entry: &Entry, value: &[u8]) -> bool {
        let mut lease = self.lease.lock().expect("no thread panics while holding the lock");
        let is_ours = entry.value == value
            && entry.revision.number == self.acquired.number
            && entry.lease == lease.id;
        if is_ours {
            lease.era = entry.revision.era;
        }
        is_ours
    }

    /// Returns the handle of an engine.
    pub fn engine(&self, server: &str) -> Option<EngineHandle> {
        self.engines.lock().expect("no thread panics while holding the lock").get(server).cloned()
    }

    /// Returns whether any engine is loading a model or is about to.
    pub fn is_loading(&self, model: &str) -> bool {
        let engines = self.engines();
        engines
            .values()
            .any(|engine| engine.current_move().is_some_and(|planned| &*planned.load == model))
    }

    /// Locks the handles of all engines.
    pub fn engines(&self) -> MutexGuard<'_, HashMap<Name, EngineHandle>> {
        self.engines.lock().expect("no thread panics while holding the lock")
    }

    /// Starts tasks for new engines, drops those of engines that are gone, and notifies the others
    /// when their server has restarted.
    pub fn update_engines(self: &Arc<Self>, cx: &Arc<NodeContext>, servers: &[Arc<BackendServer>]) {
        let mut engines = self.engines.lock().expect("no thread panics while holding the lock");
        engines.retain(|id, _| servers.iter().any(|server| server.id == *id));
        for server in servers {
            if !engines.contains_key(&server.id) {
                let handle = EngineHandle::start(cx, self, &server.id);
                engines.insert(server.id.clone(), handle);
            }
            let Some(engine) = engines.get(&server.id) else { continue };
            if engine.contents().is_other_incarnation(server.incarnation) {
                engine.send(EngineCommand::Restarted);
            }
        }
    }
}

impl DomainController {
    /// Returns the known contents and the move in progress of every engine, for the status page.
    pub fn engine_states(&self) -> Vec<(Name, EngineContents, Option<Move>)> {
        let engines = self.engines.lock().expect("no thread panics while holding the lock");
        let known = engines.iter();
        known
            .map(|(id, engine)| (id.clone(), engine.contents().clone(), engine.current_move()))
            .collect()
    }
}
