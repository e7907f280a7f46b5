//! The task that sends orders to one model engine, one at a time.
//!
//! An engine reports its contents and the number of orders that it has accepted since its start.
//! Each order names the number that it expects, so that the engine refuses an order that was
//! decided from outdated contents.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use savoryport_adapter::engine;
use savoryport_core::Name;
use savoryport_core::node::deployment::EngineClass;
use savoryport_core::node::load_concurrency::LoadWatch;
use savoryport_core::node::orders::{EngineContents, Order, OrderAnswer, OrderError};
use savoryport_core::node::placement::{Move, WeightSource, load_time};
use savoryport_core::node::registry::{BackendServer, ResidentModel};
use tokio::sync::{mpsc, oneshot};

use super::context::NodeContext;
use super::domain_controller::DomainController;
use super::fleet::Residency;
use super::rpc::Availability;

/// Timeout for reading one report of an engine.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for the answer to an order. Servers answer at once. An order without an answer is sent
/// again, and the server executes only one of the two.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between reports while a server is busy or its contents are unknown. Reports lag by a
/// few hundred milliseconds, so polling more often returns nothing new.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Number of attempts to read a server's contents, or to get an order accepted, before giving up
/// for now.
const MAX_ATTEMPTS: usize = 20;

/// Number of attempts to load one adapter, each of which sends at most one order.
const MAX_ADAPTER_ATTEMPTS: usize = 4;

/// Minimum time from the withdrawal of a model to its unload. By then all followers know of the
/// withdrawal and send the model no new requests.
const WITHDRAWAL_DELAY: Duration = Duration::from_millis(300);

/// How long an unload waits for the requests that still use a withdrawn model.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between checks for requests that still use a withdrawn model.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time that an unload takes when no request uses the model. The engine refuses a load before that.
const UNLOAD_TIME: Duration = Duration::from_millis(40);

/// A load that takes longer than this multiple of its expected duration is considered failed, and
/// the contents of the server are read again.
const LOAD_TIMEOUT_FACTOR: u32 = 4;

/// A command to the task of an engine.
#[derive(Debug)]
pub enum EngineCommand {
    /// Load an adapter unless the engine holds it.
    EnsureAdapter {
        /// The base model of the adapter.
        model: Name,
        /// The adapter.
        adapter: Name,
        /// Receives the outcome.
        reply: oneshot::Sender<Availability>,
    },
    /// Unload some models, then load another one.
    Move(Move),
    /// Read the contents of the server again, because it has restarted.
    Restarted,
}

/// The controller's handle to the task of an engine.
#[derive(Debug, Clone)]
pub struct EngineHandle {
    commands: mpsc::UnboundedSender<EngineCommand>,
    contents: Arc<Mutex<EngineContents>>,
    /// The move in progress.
    current_move: Arc<Mutex<Option<Move>>>,
    /// The loads from the weight store that have ended or turned out to be slow.
    observed_loads: Arc<Mutex<Vec<ObservedLoad>>>,
}

/// A load from the weight store that has ended or turned out to be slow.
#[derive(Debug, Clone, Copy)]
pub struct ObservedLoad {
    /// The time that it has taken so far.
    pub elapsed: Duration,
    /// The time that it takes if few others are active.
    pub expected: Duration,
    /// Whether it has ended.
    pub is_done: bool,
}

impl EngineHandle {
    /// Starts the task of an engine.
    pub fn start(cx: &Arc<NodeContext>, controller: &Arc<DomainController>, server: &Name) -> Self {
        let (commands, rx) = mpsc::unbounded_channel();
        let handle = Self {
            commands,
            contents: Arc::default(),
            current_move: Arc::default(),
            observed_loads: Arc::default(),
        };
        let task = EngineTask {
            cx: cx.clone(),
            controller: controller.clone(),
            server: server.clone(),
            contents: handle.contents.clone(),
            current_move: handle.current_move.clone(),
            observed_loads: handle.observed_loads.clone(),
            draining: None,
            loading: None,
            withdrawn: Vec::new(),
            pending_adapters: HashMap::new(),
            restart_checked_at: None,
        };
        tokio::spawn(controller.cancel.clone().run_until_cancelled_owned(task.run(rx)));
        handle
    }

    /// Queues a command; it is dropped if the task has ended.
    pub fn send(&self, command: EngineCommand) {
        if let EngineCommand::Move(planned) = &command {
            *self.current_move.lock().expect("no thread panics while holding the lock") =
                Some(planned.clone());
        }
        if self.commands.send(command).is_err() {
            *self.current_move.lock().expect("no thread panics while holding the lock") = None;
        }
    }

    /// Returns the move in progress.
    pub fn current_move(&self) -> Option<Move> {
        self.current_move.lock().expect("no thread panics while holding the lock").clone()
    }

    /// Returns the loads from the weight store that were observed since the last call.
    pub fn take_observed_loads(&self) -> Vec<ObservedLoad> {
        let mut observed =
            self.observed_loads.lock().expect("no thread panics while holding the lock");
        std::mem::take(&mut observed)
    }

    /// Locks the known contents of the engine.
    pub fn contents(&self) -> MutexGuard<'_, EngineContents> {
        self.contents.lock().expect("no thread panics while holding the lock")
    }
}

/// A move that waits for the last requests of the models to unload.
#[derive(Debug)]
struct Draining {
    planned: Move,
    since: Instant,
}

/// A load of a model that the server has accepted.
#[derive(Debug)]
struct Loading {
    model: Name,
    source: WeightSource,
    since: Instant,
    watch: LoadWatch,
}

struct EngineTask {
    cx: Arc<NodeContext>,
    controller: Arc<DomainController>,
    server: Name,
    contents: Arc<Mutex<EngineContents>>,
    current_move: Arc<Mutex<Option<Move>>>,
    observed_loads: Arc<Mutex<Vec<ObservedLoad>>>,
    draining: Option<Draining>,
    loading: Option<Loading>,
    /// Models that get no new requests because they are about to be unloaded.
    withdrawn: Vec<Name>,
    /// Adapters whose load the server has accepted, by model and adapter, with the time from which
    /// they can be used.
    pending_adapters: HashMap<(Name, Name), Instant>,
    /// When the contents were last read because of a restart.
    restart_checked_at: Option<Instant>,
}

impl EngineTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<EngineCommand>) {
        self.fetch_contents().await;
        loop {
            let next_check = self.next_check();
            let check = async {
                match next_check {
                    Some(wait) => tokio::time::sleep(wait).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                command = rx.recv() => match command {
                    Some(EngineCommand::EnsureAdapter { model, adapter, reply }) => {
                        self.ensure_adapter(&model, &adapter, reply).await;
                    }
                    Some(EngineCommand::Move(planned)) => self.start_draining(planned),
                    Some(EngineCommand::Restarted) => self.reload_after_restart().await,
                    None => return,
                },
                () = check => self.check_progress().await,
            }
        }
    }

    fn contents(&self) -> MutexGuard<'_, EngineContents> {
        self.contents.lock().expect("no thread panics while holding the lock")
    }

    /// Returns the time until the next check of the move in progress, if there is one.
    fn next_check(&self) -> Option<Duration> {
        if self.draining.is_some() {
            return Some(DRAIN_CHECK_INTERVAL);
        }
        let loading = self.loading.as_ref()?;
        let left = loading.watch.expected.saturating_sub(self.cx.now() - loading.since);
        Some(left.max(REPORT_INTERVAL))
    }

    async fn check_progress(&mut self) {
        match self.draining.take() {
            Some(draining) if self.is_drained(&draining) => {
                self.execute_move(draining.planned).await
            }
            Some(draining) => self.draining = Some(draining),
            None => self.check_load().await,
        }
    }

    /// Withdraws the models that a move unloads, so that their requests end before the unload. An
    /// unload of a model in use would block all other orders to the server until its requests end.
    fn start_draining(&mut self, planned: Move) {
        self.withdrawn.extend(planned.unload.iter().cloned());
        self.draining = Some(Draining { planned, since: self.cx.now() });
        self.publish_residency();
    }

    fn is_drained(&self, draining: &Draining) -> bool {
        let unload = &draining.planned.unload;
        let elapsed = self.cx.now() - draining.since;
        let is_idle = || unload.iter().all(|model| self.contents().requests(model) == 0);
        unload.is_empty() || elapsed >= DRAIN_TIMEOUT || (elapsed >= WITHDRAWAL_DELAY && is_idle())
    }

    fn end_move(&self) {
        *self.current_move.lock().expect("no thread panics while holding the lock") = None;
    }

    /// Returns the server and the specification of its engine class, while both exist.
    fn target(&self) -> Option<(Arc<BackendServer>, EngineClass)> {
        let view = self.cx.fleet.view();
        let server = view.servers.get(&self.server)?.clone();
        let class = view.deployment()?.services.get(&server.service)?.engine.clone()?;
        Some((server, class))
    }

    /// Reads reports until the contents are known; returns whether they are.
    async fn fetch_contents(&mut self) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            if self.contents().expected_orders().is_some() {
                return true;
            }
            let Some((server, _)) = self.target() else { return false };
            match engine::fetch_report(&self.cx.order_pool, &server, REPORT_TIMEOUT).await {
                Ok(report) => {
                    self.cx.metrics.engine_reports.inc();
                    self.contents().apply_report(&report, self.cx.now());
                    self.publish_residency();
                }
                Err(err) => {
                    log::debug!(server = &*self.server, err:% = err; "cannot read the report")
                }
            }
            if self.contents().expected_orders().is_none() {
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        }
        false
    }

    /// Reads the contents of a restarted server. Without this, the models that it held before would
    /// still count as copies, and would not be loaded again.
    async fn reload_after_restart(&mut self) {
        let now = self.cx.now();
        let is_recent = self.restart_checked_at.is_some_and(|at| now - at < REPORT_INTERVAL);
        let Some((server, _)) = self.target() else { return };
        if is_recent || !self.contents().is_other_incarnation(server.incarnation) {
            return;
        }
        self.restart_checked_at = Some(now);
        match engine::fetch_report(&self.cx.order_pool, &server, REPORT_TIMEOUT).await {
            Ok(report) if report.incarnation == server.incarnation => {
                log::info!(
                    server = &*self.server, incarnation = report.incarnation;
                    "server restarted"
                );
                self.contents().apply_report(&report, self.cx.now());
                self.reset_progress();
                self.publish_residency();
            }
            Ok(_) => {}
            Err(err) => log::debug!(server = &*self.server, err:% = err; "cannot read the report"),
        }
    }

    fn reset_progress(&mut self) {
        self.draining = None;
        self.loading = None;
        self.withdrawn.clear();
        self.pending_adapters.clear();
        self.end_move();
    }

    /// Sends an order if this node is the active leader, and returns the server's answer.
    async fn send_order(
        &mut self,
        order: &Order,
        busy_for: Duration,
    ) -> Result<OrderAnswer, OrderError> {
        let (server, class) = self.target().ok_or(OrderError::Unknown)?;
        let token = self.controller.active_token(&self.cx).ok_or(OrderError::Unknown)?;
        let expected = {
            let contents = self.contents();
            contents.check(order, &class, self.cx.now())?;
            contents.expected_orders().ok_or(OrderError::Unknown)?
        };
        let fence = engine::OrderFence {
            leader: &self.cx.settings.vm,
            fencing_token: token,
            expected_orders: expected,
        };
        let answer =
            engine::send_order(&self.cx.order_pool, &server, order, fence, ORDER_TIMEOUT).await;
        self.contents().apply_answer(order, answer, busy_for, self.cx.now());
        self.cx.metrics.record_order(order.name(), answer);
        log::info!(
            server = &*self.server, order = order.name(), model = &**order.model(),
            expected_orders = expected, token = token, answer:? = answer; "order"
        );
        Ok(answer)
    }

    async fn ensure_adapter(
        &mut self,
        model: &Name,
        adapter: &Name,
        reply: oneshot::Sender<Availability>,
    ) {
        let outcome = self.load_adapter(model, adapter).await;
        let key = (model.clone(), adapter.clone());
        let ready_at = self.pending_adapters.get(&key).copied();
        let (cx, server, contents) = (self.cx.clone(), self.server.clone(), self.contents.clone());
        // The reply is sent once the adapter can be used; the next order does not wait for that.
        let wait = ready_at.map(|at| at.saturating_duration_since(cx.now()));
        if outcome != Availability::Ready || wait.is_none_or(|wait| wait.is_zero()) {
            self.publish_residency();
            let _ = reply.send(outcome);
            return;
        }
        tokio::spawn(async move {
            tokio::time::sleep(wait.unwrap_or_default()).await;
            add_adapter(&cx, &server, &contents, &key);
            let _ = reply.send(outcome);
        });
    }

    async fn load_adapter(&mut self, model: &Name, adapter: &Name) -> Availability {
        let order = Order::LoadAdapter { model: model.clone(), adapter: adapter.clone() };
        for _ in 0..MAX_ADAPTER_ATTEMPTS {
            if self.contents().holds_adapter(model, adapter) {
                return Availability::Ready;
            }
            if self.loading.is_some() || !self.fetch_contents().await {
                return Availability::Unavailable;
            }
            match self.send_order(&order, Duration::ZERO).await {
                Ok(OrderAnswer::Accepted) => {
                    let load = Duration::from_millis(self.cx.settings.adapter_load_ms);
                    let ready_at = self.cx.now() + load;
                    self.pending_adapters.insert((model.clone(), adapter.clone()), ready_at);
                    return Availability::Ready;
                }
                Ok(OrderAnswer::AlreadyHolds) => return Availability::Ready,
                Ok(OrderAnswer::Rejected) => return Availability::Unavailable,
                Ok(OrderAnswer::Conflict | OrderAnswer::Unanswered) => {}
                Err(OrderError::NoAdapterSlot) => {
                    let Some((model, adapter)) = self.contents().evictable_adapter(self.cx.now())
                    else {
                        return Availability::Unavailable;
                    };
                    if self.unload_adapter(&model, &adapter).await.is_err() {
                        return Availability::Unavailable;
                    }
                }
                Err(_) => return Availability::Unavailable,
            }
        }
        Availability::Unavailable
    }

    async fn unload_adapter(&mut self, model: &Name, adapter: &Name) -> Result<(), OrderError> {
        let order = Order::UnloadAdapter { model: model.clone(), adapter: adapter.clone() };
        self.pending_adapters.remove(&(model.clone(), adapter.clone()));
        self.send_order(&order, Duration::ZERO).await?;
        self.publish_residency();
        Ok(())
    }

    async fn execute_move(&mut self, planned: Move) {
        if let Err(problem) = self.try_move(&planned).await {
            log::info!(
                server = &*self.server, model = &*planned.load, problem:% = problem; "move failed"
            );
            self.end_move();
        }
        self.withdrawn.clear();
        self.publish_residency();
    }

    async fn try_move(&mut self, planned: &Move) -> Result<(), OrderError> {
        for model in &planned.unload {
            let order = Order::UnloadModel(model.clone());
            self.send_until_accepted(&order, Duration::ZERO).await?;
            tokio::time::sleep(UNLOAD_TIME).await;
        }
        let (_, class) = self.target().ok_or(OrderError::Unknown)?;
        let spec = class.models.get(&planned.load).ok_or(OrderError::ModelNotResident)?;
        let expected = load_time(spec, planned.source);
        let order = Order::LoadModel(planned.load.clone());
        if self.send_until_accepted(&order, expected * LOAD_TIMEOUT_FACTOR).await?
            == OrderAnswer::Accepted
        {
            let (model, source) = (planned.load.clone(), planned.source);
            let watch = LoadWatch::new(expected);
            self.loading = Some(Loading { model, source, since: self.cx.now(), watch });
        } else {
            self.end_move();
        }
        Ok(())
    }

    /// Sends an order until the server accepts it. Each attempt starts from the contents that the
    /// server then has.
    async fn send_until_accepted(
        &mut self,
        order: &Order,
        busy_for: Duration,
    ) -> Result<OrderAnswer, OrderError> {
        for _ in 0..MAX_ATTEMPTS {
            if !self.fetch_contents().await {
                return Err(OrderError::Unknown);
            }
            let answer = self.send_order(order, busy_for).await?;
            match answer {
                OrderAnswer::Accepted | OrderAnswer::AlreadyHolds => return Ok(answer),
                OrderAnswer::Rejected => return Err(OrderError::Unknown),
                OrderAnswer::Unanswered => {}
                // The contents stay known while the server only has an unload to complete.
                OrderAnswer::Conflict if self.contents().expected_orders().is_some() => {
                    tokio::time::sleep(UNLOAD_TIME).await;
                }
                OrderAnswer::Conflict => tokio::time::sleep(REPORT_INTERVAL).await,
            }
        }
        Err(OrderError::Busy)
    }

    /// Reports a load from the weight store to the planner, once.
    fn observe_load(&mut self, is_done: bool) {
        let Some(loading) = &mut self.loading else { return };
        let elapsed = self.cx.now() - loading.since;
        if loading.source == WeightSource::Store && loading.watch.is_evidence(elapsed, is_done) {
            let load = ObservedLoad { elapsed, expected: loading.watch.expected, is_done };
            let mut observed =
                self.observed_loads.lock().expect("no thread panics while holding the lock");
            observed.push(load);
        }
    }

    /// Checks whether the server has finished the load in progress.
    async fn check_load(&mut self) {
        let Some(loading) = &self.loading else { return };
        let (model, since) = (loading.model.clone(), loading.since);
        let overdue = self.cx.now() - since > loading.watch.expected * LOAD_TIMEOUT_FACTOR;
        let Some((server, _)) = self.target() else {
            self.loading = None;
            self.end_move();
            return;
        };
        let Ok(report) = engine::fetch_report(&self.cx.order_pool, &server, REPORT_TIMEOUT).await
        else {
            return;
        };
        self.cx.metrics.engine_reports.inc();
        let is_done = !report.is_busy && report.models.contains_key(&model);
        let restarted = report.incarnation != self.contents().incarnation();
        self.observe_load(is_done);
        if is_done || overdue || restarted {
            log::info!(
                server = &*self.server, model = &*model, done = is_done,
                took_ms = (self.cx.now() - since).as_millis() as u64; "load ended"
            );
            self.loading = None;
            self.end_move();
            let mut contents = self.contents();
            if is_done && !restarted {
                contents.clear_busy();
            } else {
                contents.invalidate();
            }
            drop(contents);
            self.publish_residency();
        }
    }

    /// Publishes the models and adapters that the server can serve now.
    fn publish_residency(&mut self) {
        let now = self.cx.now();
        self.pending_adapters.retain(|_, at| *at > now);
        let loading = self.loading.as_ref().map(|loading| &loading.model);
        let contents = self.contents();
        let mut models: Vec<ResidentModel> = contents
            .models()
            .filter(|model| Some(*model) != loading && !self.withdrawn.contains(model))
            .map(|model| ResidentModel { name: model.clone(), version: 0, adapters: Vec::new() })
            .collect();
        for (model, adapter) in contents.adapters() {
            let is_loaded = !self.pending_adapters.contains_key(&(model.clone(), adapter.clone()));
            if is_loaded && let Some(held) = models.iter_mut().find(|held| held.name == *model) {
                held.adapters.push(adapter.clone());
            }
        }
        let is_busy = self.loading.is_some();
        let residency = Residency { incarnation: contents.incarnation(), models, is_busy };
        drop(contents);
        self.cx.fleet.update(|state| state.set_residency(&self.server, residency));
    }
}

/// Publishes a loaded adapter, unless the server has dropped it meanwhile.
fn add_adapter(
    cx: &NodeContext,
    server: &Name,
    contents: &Mutex<EngineContents>,
    (model, adapter): &(Name, Name),
) {
    let held = contents
        .lock()
        .expect("no thread panics while holding the lock")
        .holds_adapter(model, adapter);
    if held {
        cx.fleet.update(|state| state.add_adapter(server, model, adapter));
    }
}
