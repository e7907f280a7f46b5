//! The duty of giving orders to the servers of one failure domain.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::duty::Duty;
use savoryport_core::node::orders::EngineLedger;
use savoryport_core::node::placement::{Move, WeightSource, load_time, weight_source};
use savoryport_core::node::registry::BackendServer;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::context::NodeContext;
use super::engine::{Command, EngineHandle};
use super::planner::{Planner, plan};
use super::rpc::WishReply;

/// The time that an adapter may take before a request looks elsewhere.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(400);

/// The controllers of this node, by failure domain.
#[derive(Debug, Default)]
pub struct DomainControllers(Mutex<HashMap<Name, Arc<DomainController>>>);

/// One duty that this node holds.
#[derive(Debug)]
pub struct DomainController {
    /// The failure domain.
    pub domain: Name,
    /// Cancelled when the duty is lost or given up.
    pub cancel: CancellationToken,
    /// The store's lease of the duty.
    pub lease: AtomicU64,
    duty: Mutex<Duty>,
    engines: Mutex<HashMap<Name, EngineHandle>>,
    /// What its placement remembers.
    pub planner: Mutex<Planner>,
}

impl DomainControllers {
    /// Returns whether this node holds the duty of a failure domain.
    pub fn leads(&self, domain: &str) -> bool {
        self.0.lock().expect("no holder panics").contains_key(domain)
    }

    /// Returns whether this node holds any duty.
    pub fn leads_any(&self) -> bool {
        !self.0.lock().expect("no holder panics").is_empty()
    }

    /// Returns every desk.
    pub fn all(&self) -> Vec<Arc<DomainController>> {
        self.0.lock().expect("no holder panics").values().cloned().collect()
    }

    /// Opens a desk and starts its work.
    pub fn open(
        &self,
        cx: &Arc<NodeContext>,
        controller: DomainController,
    ) -> Arc<DomainController> {
        let controller = Arc::new(controller);
        self.0
            .lock()
            .expect("no holder panics")
            .insert(controller.domain.clone(), controller.clone());
        let plan = plan(cx.clone(), controller.clone());
        tokio::spawn(controller.cancel.clone().run_until_cancelled_owned(plan));
        controller
    }

    /// Closes a desk: no order leaves it any more.
    pub fn close(&self, controller: &DomainController) {
        controller.cancel.cancel();
        controller.duty.lock().expect("no holder panics").lost();
        self.0.lock().expect("no holder panics").remove(&controller.domain);
    }

    /// Brings an adapter to a server; returns when it can be used.
    pub async fn ensure_adapter(
        &self,
        cx: &Arc<NodeContext>,
        server: &Name,
        model: &Name,
        adapter: &Name,
    ) -> WishReply {
        let domain = cx.fleet.view().servers.get(server).map(|known| known.failure_domain.clone());
        let controller = domain
            .and_then(|domain| self.0.lock().expect("no holder panics").get(&domain).cloned());
        let Some(controller) =
            controller.filter(|controller| controller.active_token(cx).is_some())
        else {
            return WishReply::Unavailable;
        };
        let Some(engine) = controller.engine(server) else { return WishReply::Unavailable };
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
        let controllers = self.0.lock().expect("no holder panics");
        let Some(controller) = controllers.get(&cx.settings.failure_domain) else {
            return Vec::new();
        };
        controller.planner.lock().expect("no holder panics").demand.demand().into_iter().collect()
    }

    /// Notes that requests wait for a model, and tells how long it will take.
    pub fn request_model(
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
        let controller = self.0.lock().expect("no holder panics").get(domain).cloned();
        let Some(controller) =
            controller.filter(|controller| controller.active_token(cx).is_some())
        else {
            return WishReply::Unavailable;
        };
        controller.planner.lock().expect("no holder panics").wishes.insert(model.clone(), cx.now());
        let sources = view
            .servers
            .values()
            .filter(|server| server.failure_domain == *domain && server.is_ready())
            .map(|server| weight_source(server, model));
        let source = sources.min().unwrap_or(WeightSource::Store);
        WishReply::Loading(load_time(spec, source).as_millis() as u64)
    }
}

impl DomainController {
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
    pub fn active_token(&self, cx: &NodeContext) -> Option<u64> {
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

    /// Returns the handle of an engine.
    pub fn engine(&self, server: &str) -> Option<EngineHandle> {
        self.engines.lock().expect("no holder panics").get(server).cloned()
    }

    /// Returns the handles of all engines.
    pub fn handles(&self) -> MutexGuard<'_, HashMap<Name, EngineHandle>> {
        self.engines.lock().expect("no holder panics")
    }

    /// Starts tasks for new engines and drops those of engines that are gone.
    pub fn follow_servers(self: &Arc<Self>, cx: &Arc<NodeContext>, servers: &[Arc<BackendServer>]) {
        let mut engines = self.engines.lock().expect("no holder panics");
        engines.retain(|id, _| servers.iter().any(|server| server.id == *id));
        for server in servers {
            if !engines.contains_key(&server.id) {
                let handle = EngineHandle::start(cx, self, &server.id);
                engines.insert(server.id.clone(), handle);
            }
            let Some(engine) = engines.get(&server.id) else { continue };
            if engine.ledger().is_of_other_start(server.incarnation) {
                engine.send(Command::Restarted);
            }
        }
    }
}

impl DomainController {
    /// Returns what the desk knows of its engines, for the status page.
    pub fn engine_states(&self) -> Vec<(Name, EngineLedger, Option<Move>)> {
        let engines = self.engines.lock().expect("no holder panics");
        let known = engines.iter();
        known.map(|(id, engine)| (id.clone(), engine.ledger().clone(), engine.moving())).collect()
    }
}
