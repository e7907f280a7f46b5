//! Gives orders to one model engine, one after the other.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use savoryport_adapter::engine;
use savoryport_core::Name;
use savoryport_core::node::deployment::EngineClass;
use savoryport_core::node::orders::{EngineLedger, Order, OrderAnswer, OrderObstacle};
use savoryport_core::node::placement::{Move, load_time};
use savoryport_core::node::registry::{BackendServer, ResidentModel};
use tokio::sync::{mpsc, oneshot};

use super::context::NodeContext;
use super::domain_controller::DomainController;
use super::fleet::Residency;
use super::rpc::WishReply;

/// The time for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// The time for the answer to an order. Servers answer at once; an order without an answer is given
/// again, and the server carries out only one of the two.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// The pause between reports while a server is busy or its contents are unknown. Reports lag by some
/// hundred milliseconds, so asking more often tells nothing new.
const REPORT_PAUSE: Duration = Duration::from_millis(150);

/// Reports after which a server whose contents stay unknown is left alone for now.
const MAX_REPORTS: usize = 20;

/// Tries for one adapter, each with an order.
const MAX_ADAPTER_TRIES: usize = 4;

/// Followers have heard of a withdrawn model after this time, so that its unload meets no request.
const WITHDRAWAL_NOTICE: Duration = Duration::from_millis(300);

/// Requests at a withdrawn model are waited for this long.
const MAX_DRAIN: Duration = Duration::from_secs(5);

/// The pause between two looks at the requests of a withdrawn model.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);

/// An unload that meets no requests is done after this time; a load before that is refused.
const UNLOAD_PAUSE: Duration = Duration::from_millis(40);

/// A load that is not done after this many times its expected duration is looked up again.
const MAX_LOAD_FACTOR: u32 = 4;

/// What an engine's task is asked to do.
#[derive(Debug)]
pub enum Command {
    /// Bring an adapter into memory.
    Adapter {
        /// Its model.
        model: Name,
        /// The adapter.
        adapter: Name,
        /// Where the outcome goes.
        reply: oneshot::Sender<WishReply>,
    },
    /// Drop some models and load another.
    Move(Move),
    /// Look what the server holds since it started anew.
    Restarted,
}

/// An engine as its desk sees it.
#[derive(Debug, Clone)]
pub struct EngineHandle {
    commands: mpsc::UnboundedSender<Command>,
    ledger: Arc<Mutex<EngineLedger>>,
    /// The move under way.
    moving: Arc<Mutex<Option<Move>>>,
}

impl EngineHandle {
    /// Starts the task of an engine.
    pub fn start(cx: &Arc<NodeContext>, controller: &Arc<DomainController>, server: &Name) -> Self {
        let (commands, rx) = mpsc::unbounded_channel();
        let handle = Self { commands, ledger: Arc::default(), moving: Arc::default() };
        let task = EngineTask {
            cx: cx.clone(),
            controller: controller.clone(),
            server: server.clone(),
            ledger: handle.ledger.clone(),
            moving: handle.moving.clone(),
            draining: None,
            loading: None,
            withdrawn: Vec::new(),
            arriving: HashMap::new(),
            checked_at: None,
        };
        tokio::spawn(controller.cancel.clone().run_until_cancelled_owned(task.run(rx)));
        handle
    }

    /// Hands a command over; one for an engine that is gone is dropped.
    pub fn send(&self, command: Command) {
        if let Command::Move(wanted) = &command {
            *self.moving.lock().expect("no holder panics") = Some(wanted.clone());
        }
        if self.commands.send(command).is_err() {
            *self.moving.lock().expect("no holder panics") = None;
        }
    }

    /// Returns the move under way.
    pub fn moving(&self) -> Option<Move> {
        self.moving.lock().expect("no holder panics").clone()
    }

    /// Locks the ledger for a moment.
    pub fn ledger(&self) -> MutexGuard<'_, EngineLedger> {
        self.ledger.lock().expect("no holder panics")
    }
}

/// A move whose displaced models still serve requests.
#[derive(Debug)]
struct Draining {
    wanted: Move,
    since: Instant,
}

/// A load that the server accepted.
#[derive(Debug)]
struct Loading {
    model: Name,
    since: Instant,
    expected: Duration,
}

struct EngineTask {
    cx: Arc<NodeContext>,
    controller: Arc<DomainController>,
    server: Name,
    ledger: Arc<Mutex<EngineLedger>>,
    moving: Arc<Mutex<Option<Move>>>,
    draining: Option<Draining>,
    loading: Option<Loading>,
    /// Models that are about to be dropped.
    withdrawn: Vec<Name>,
    /// Adapters that the server accepted, and when they can be used.
    arriving: HashMap<(Name, Name), Instant>,
    /// When the contents were last looked at after a restart.
    checked_at: Option<Instant>,
}

impl EngineTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Command>) {
        self.learn_contents().await;
        loop {
            let next_look = self.next_look();
            let look = async {
                match next_look {
                    Some(wait) => tokio::time::sleep(wait).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                command = rx.recv() => match command {
                    Some(Command::Adapter { model, adapter, reply }) => {
                        self.bring_adapter(&model, &adapter, reply).await;
                    }
                    Some(Command::Move(wanted)) => self.withdraw(wanted),
                    Some(Command::Restarted) => self.look_after_restart().await,
                    None => return,
                },
                () = look => self.look().await,
            }
        }
    }

    fn ledger(&self) -> MutexGuard<'_, EngineLedger> {
        self.ledger.lock().expect("no holder panics")
    }

    /// Returns when a move under way is to be looked at again.
    fn next_look(&self) -> Option<Duration> {
        if self.draining.is_some() {
            return Some(DRAIN_PAUSE);
        }
        let loading = self.loading.as_ref()?;
        let left = loading.expected.saturating_sub(self.cx.now() - loading.since);
        Some(left.max(REPORT_PAUSE))
    }

    async fn look(&mut self) {
        match self.draining.take() {
            Some(draining) if self.is_drained(&draining) => self.carry_out(draining.wanted).await,
            Some(draining) => self.draining = Some(draining),
            None => self.look_at_load().await,
        }
    }

    /// Tells that models are about to be dropped; their requests end meanwhile. An unload that meets
    /// requests would keep the server from all other orders until they end.
    fn withdraw(&mut self, wanted: Move) {
        self.withdrawn.extend(wanted.unload.iter().cloned());
        self.draining = Some(Draining { wanted, since: self.cx.now() });
        self.publish();
    }

    fn is_drained(&self, draining: &Draining) -> bool {
        let unload = &draining.wanted.unload;
        let elapsed = self.cx.now() - draining.since;
        let is_idle = || unload.iter().all(|model| self.ledger().requests(model) == 0);
        unload.is_empty() || elapsed >= MAX_DRAIN || (elapsed >= WITHDRAWAL_NOTICE && is_idle())
    }

    fn end_move(&self) {
        *self.moving.lock().expect("no holder panics") = None;
    }

    /// Returns the server and the specification of its engines, while both exist.
    fn target(&self) -> Option<(Arc<BackendServer>, EngineClass)> {
        let view = self.cx.fleet.view();
        let server = view.servers.get(&self.server)?.clone();
        let class = view.deployment()?.services.get(&server.service)?.engine.clone()?;
        Some((server, class))
    }

    /// Reads reports until the contents are known; returns whether they are.
    async fn learn_contents(&mut self) -> bool {
        for _ in 0..MAX_REPORTS {
            if self.ledger().expected_orders().is_some() {
                return true;
            }
            let Some((server, _)) = self.target() else { return false };
            match engine::report(&self.cx.order_pool, &server, REPORT_TIMEOUT).await {
                Ok(report) => {
                    self.cx.metrics.reports.inc();
                    self.ledger().reset(&report, self.cx.now());
                    self.publish();
                }
                Err(err) => log::debug!(server = &*self.server, err:% = err; "no report"),
            }
            if self.ledger().expected_orders().is_none() {
                tokio::time::sleep(REPORT_PAUSE).await;
            }
        }
        false
    }

    /// Replaces what is known of a server by what it holds since its restart. Until then its former
    /// copies would count as copies, and nobody would bring them back.
    async fn look_after_restart(&mut self) {
        let now = self.cx.now();
        let is_recent = self.checked_at.is_some_and(|at| now - at < REPORT_PAUSE);
        let Some((server, _)) = self.target() else { return };
        if is_recent || !self.ledger().is_of_other_start(server.incarnation) {
            return;
        }
        self.checked_at = Some(now);
        match engine::report(&self.cx.order_pool, &server, REPORT_TIMEOUT).await {
            Ok(report) if report.incarnation == server.incarnation => {
                log::info!(
                    server = &*self.server, incarnation = report.incarnation;
                    "server restarted"
                );
                self.ledger().reset(&report, self.cx.now());
                self.forget_moves();
                self.publish();
            }
            Ok(_) => {}
            Err(err) => log::debug!(server = &*self.server, err:% = err; "no report"),
        }
    }

    fn forget_moves(&mut self) {
        self.draining = None;
        self.loading = None;
        self.withdrawn.clear();
        self.arriving.clear();
        self.end_move();
    }

    /// Gives an order if this node may; returns the server's answer.
    async fn give(
        &mut self,
        order: &Order,
        busy_for: Duration,
    ) -> Result<OrderAnswer, OrderObstacle> {
        let (server, class) = self.target().ok_or(OrderObstacle::Unknown)?;
        let token = self.controller.active_token(&self.cx).ok_or(OrderObstacle::Unknown)?;
        let expected = {
            let ledger = self.ledger();
            ledger.check(order, &class, self.cx.now())?;
            ledger.expected_orders().ok_or(OrderObstacle::Unknown)?
        };
        let authority = engine::Authority {
            holder: &self.cx.settings.vm,
            fencing_token: token,
            expected_orders: expected,
        };
        let answer =
            engine::order(&self.cx.order_pool, &server, order, authority, ORDER_TIMEOUT).await;
        self.ledger().apply(order, answer, busy_for, self.cx.now());
        self.cx.metrics.note_order(order.name(), answer);
        log::info!(
            server = &*self.server, order = order.name(), model = &**order.model(),
            expected_orders = expected, token = token, answer:? = answer; "order"
        );
        Ok(answer)
    }

    async fn bring_adapter(
        &mut self,
        model: &Name,
        adapter: &Name,
        reply: oneshot::Sender<WishReply>,
    ) {
        let outcome = self.try_adapter(model, adapter).await;
        let key = (model.clone(), adapter.clone());
        let ready_at = self.arriving.get(&key).copied();
        let (cx, server, ledger) = (self.cx.clone(), self.server.clone(), self.ledger.clone());
        // The answer waits for the adapter, the next order does not.
        let wait = ready_at.map(|at| at.saturating_duration_since(cx.now()));
        if outcome != WishReply::Ready || wait.is_none_or(|wait| wait.is_zero()) {
            self.publish();
            let _ = reply.send(outcome);
            return;
        }
        tokio::spawn(async move {
            tokio::time::sleep(wait.unwrap_or_default()).await;
            add_adapter(&cx, &server, &ledger, &key);
            let _ = reply.send(outcome);
        });
    }

    async fn try_adapter(&mut self, model: &Name, adapter: &Name) -> WishReply {
        let order = Order::LoadAdapter { model: model.clone(), adapter: adapter.clone() };
        for _ in 0..MAX_ADAPTER_TRIES {
            if self.ledger().holds_adapter(model, adapter) {
                return WishReply::Ready;
            }
            if self.loading.is_some() || !self.learn_contents().await {
                return WishReply::Unavailable;
            }
            match self.give(&order, Duration::ZERO).await {
                Ok(OrderAnswer::Accepted) => {
                    let load = Duration::from_millis(self.cx.settings.adapter_load_ms);
                    let ready_at = self.cx.now() + load;
                    self.arriving.insert((model.clone(), adapter.clone()), ready_at);
                    return WishReply::Ready;
                }
                Ok(OrderAnswer::AlreadyHolds) => return WishReply::Ready,
                Ok(OrderAnswer::Rejected) => return WishReply::Unavailable,
                Ok(OrderAnswer::Conflict | OrderAnswer::Unanswered) => {}
                Err(OrderObstacle::NoPlace) => {
                    let Some((model, adapter)) = self.ledger().adapter_victim(self.cx.now()) else {
                        return WishReply::Unavailable;
                    };
                    if self.drop_adapter(&model, &adapter).await.is_err() {
                        return WishReply::Unavailable;
                    }
                }
                Err(_) => return WishReply::Unavailable,
            }
        }
        WishReply::Unavailable
    }

    async fn drop_adapter(&mut self, model: &Name, adapter: &Name) -> Result<(), OrderObstacle> {
        let order = Order::UnloadAdapter { model: model.clone(), adapter: adapter.clone() };
        self.arriving.remove(&(model.clone(), adapter.clone()));
        self.give(&order, Duration::ZERO).await?;
        self.publish();
        Ok(())
    }

    async fn carry_out(&mut self, wanted: Move) {
        if let Err(problem) = self.try_move(&wanted).await {
            log::info!(
                server = &*self.server, model = &*wanted.load, problem:% = problem; "move given up"
            );
            self.end_move();
        }
        self.withdrawn.clear();
        self.publish();
    }

    async fn try_move(&mut self, wanted: &Move) -> Result<(), OrderObstacle> {
        for model in &wanted.unload {
            let order = Order::UnloadModel(model.clone());
            self.insist(&order, Duration::ZERO).await?;
            tokio::time::sleep(UNLOAD_PAUSE).await;
        }
        let (_, class) = self.target().ok_or(OrderObstacle::Unknown)?;
        let spec = class.models.get(&wanted.load).ok_or(OrderObstacle::NoModel)?;
        let expected = load_time(spec, wanted.source);
        let order = Order::LoadModel(wanted.load.clone());
        if self.insist(&order, expected * MAX_LOAD_FACTOR).await? == OrderAnswer::Accepted {
            let model = wanted.load.clone();
            self.loading = Some(Loading { model, since: self.cx.now(), expected });
        } else {
            self.end_move();
        }
        Ok(())
    }

    /// Gives an order until the server takes it; each try starts from what the server then holds.
    async fn insist(
        &mut self,
        order: &Order,
        busy_for: Duration,
    ) -> Result<OrderAnswer, OrderObstacle> {
        for _ in 0..MAX_REPORTS {
            if !self.learn_contents().await {
                return Err(OrderObstacle::Unknown);
            }
            let answer = self.give(order, busy_for).await?;
            match answer {
                OrderAnswer::Accepted | OrderAnswer::AlreadyHolds => return Ok(answer),
                OrderAnswer::Rejected => return Err(OrderObstacle::Unknown),
                OrderAnswer::Unanswered => {}
                OrderAnswer::Conflict => tokio::time::sleep(REPORT_PAUSE).await,
            }
        }
        Err(OrderObstacle::Busy)
    }

    /// Asks a server that is loading whether it is done.
    async fn look_at_load(&mut self) {
        let Some(loading) = &self.loading else { return };
        let (model, since) = (loading.model.clone(), loading.since);
        let overdue = self.cx.now() - since > loading.expected * MAX_LOAD_FACTOR;
        let Some((server, _)) = self.target() else {
            self.loading = None;
            self.end_move();
            return;
        };
        let Ok(report) = engine::report(&self.cx.order_pool, &server, REPORT_TIMEOUT).await else {
            return;
        };
        self.cx.metrics.reports.inc();
        let is_done = !report.is_busy && report.models.contains_key(&model);
        let restarted = report.incarnation != self.ledger().incarnation();
        if is_done || overdue || restarted {
            log::info!(
                server = &*self.server, model = &*model, done = is_done,
                took_ms = (self.cx.now() - since).as_millis() as u64; "load ended"
            );
            self.loading = None;
            self.end_move();
            let mut ledger = self.ledger();
            if is_done && !restarted {
                ledger.settled();
            } else {
                ledger.doubt();
            }
            drop(ledger);
            self.publish();
        }
    }

    /// Tells what the server can serve now.
    fn publish(&mut self) {
        let now = self.cx.now();
        self.arriving.retain(|_, at| *at > now);
        let loading = self.loading.as_ref().map(|loading| &loading.model);
        let ledger = self.ledger();
        let mut models: Vec<ResidentModel> = ledger
            .models()
            .filter(|model| Some(*model) != loading && !self.withdrawn.contains(model))
            .map(|model| ResidentModel { name: model.clone(), version: 0, adapters: Vec::new() })
            .collect();
        for (model, adapter) in ledger.adapters() {
            let is_there = !self.arriving.contains_key(&(model.clone(), adapter.clone()));
            if is_there && let Some(held) = models.iter_mut().find(|held| held.name == *model) {
                held.adapters.push(adapter.clone());
            }
        }
        let is_busy = self.loading.is_some();
        let residency = Residency { incarnation: ledger.incarnation(), models, is_busy };
        drop(ledger);
        self.cx.fleet.update(|state| state.set_residency(&self.server, residency));
    }
}

/// Adds an adapter that has arrived to what the server can serve.
fn add_adapter(
    cx: &NodeContext,
    server: &Name,
    ledger: &Mutex<EngineLedger>,
    (model, adapter): &(Name, Name),
) {
    let held = ledger.lock().expect("no holder panics").holds_adapter(model, adapter);
    if held {
        cx.fleet.update(|state| state.add_adapter(server, model, adapter));
    }
}
