//! One task for each server whose group this process holds, or has held.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::fleet::Vm;
use savoryport_core::ledger::{
    HolderId, Order, OrderKind, ReconcileInput, Reconciler, ServerRecord, Step, WriteResult,
};
use savoryport_core::load_slots;
use savoryport_core::replica::{Replica, Residency};
use savoryport_platform::engine::EngineClient;
use savoryport_platform::kv::{PutAnswer, Revision};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::Context;
use super::announce::is_gone;
use super::leases::HeldReceiver;
use crate::keys;
use crate::metrics::CauseLabels;

/// How often the set of servers is looked at.
const PERIOD: Duration = Duration::from_millis(250);

/// The pause between two looks at an order that is under way.
const ORDER_PAUSE: Duration = Duration::from_millis(40);

/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long an engine may be silent before its server counts as down.
const DOWN_AFTER: Duration = Duration::from_secs(3);

/// Starts a task for each server of the groups held, until it is cancelled.
pub(super) async fn run(cx: Context, me: HolderId, held: HeldReceiver) {
    let mut tasks = tokio::task::JoinSet::new();
    let mut known: HashMap<Name, tokio::task::AbortHandle> = HashMap::new();
    let mut slots: BTreeMap<Name, Arc<Semaphore>> = BTreeMap::new();
    loop {
        let groups = held.borrow().groups().clone();
        let replica = cx.hub.replica();
        for vm in replica.vms.engines().filter(|vm| groups.contains(&vm.failure_domain)) {
            let group = vm.failure_domain.clone();
            let slots =
                slots.entry(group).or_insert_with_key(|group| load_slots(&cx, &replica, group));
            known.entry(vm.name.clone()).or_insert_with(|| {
                let task = StewardTask::new(&cx, &me, &held, vm, slots);
                tasks.spawn(task.run())
            });
        }
        // A server that the platform no longer lists is gone, and its memory with it.
        known.retain(|name, task| {
            let is_listed = replica.vms.get(name).is_some();
            if !is_listed {
                task.abort();
            }
            is_listed
        });
        tokio::time::sleep(PERIOD).await;
    }
}

/// Returns this group's share of the weight store's limit.
fn load_slots(cx: &Context, replica: &Replica, group: &Name) -> Arc<Semaphore> {
    let mut groups: Vec<&Name> = replica.vms.engines().map(|vm| &vm.failure_domain).collect();
    groups.sort();
    groups.dedup();
    let index = groups.iter().position(|other| *other == group).unwrap_or(0);
    let share = load_slots::slots_for_group(cx.settings.weight_store_slots, groups.len(), index);
    // A group without a slot could never load anything; better that loads take longer.
    Arc::new(Semaphore::new(share.max(1) as usize))
}

struct StewardTask {
    cx: Context,
    held: HeldReceiver,
    vm: Vm,
    engine: EngineClient,
    steward: Reconciler,
    slots: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
    silent_since: Option<Instant>,
    is_marked_down: bool,
}

impl StewardTask {
    fn new(
        cx: &Context,
        me: &HolderId,
        held: &HeldReceiver,
        vm: &Vm,
        slots: &Arc<Semaphore>,
    ) -> Self {
        let timeout = Duration::from_millis(cx.settings.order_timeout_ms);
        Self {
            engine: EngineClient::new(&vm.address, timeout),
            steward: Reconciler::new(me.clone()),
            cx: cx.clone(),
            held: held.clone(),
            vm: vm.clone(),
            slots: slots.clone(),
            permit: None,
            silent_since: None,
            is_marked_down: false,
        }
    }

    async fn run(mut self) {
        loop {
            let may_act = self.may_act();
            match self.decide(may_act) {
                Step::Read => self.read().await,
                Step::Write { record, revision } => self.write(record, revision).await,
                Step::Send(order) => self.send(order).await,
                Step::Query => self.query().await,
                Step::Idle => self.rest(may_act).await,
            }
        }
    }

    fn may_act(&self) -> bool {
        let has_plan = self.cx.hub.replica().plan.version > 0;
        let now = self.cx.clock.now();
        has_plan && self.held.borrow().may_act(&self.vm.failure_domain, now)
    }

    fn decide(&mut self, may_act: bool) -> Step {
        if self.permit.is_none() && !self.steward.has_pending_order() {
            self.permit = self.slots.clone().try_acquire_owned().ok();
        }
        let replica = self.cx.hub.replica();
        let server = &self.vm.name;
        let items = replica.plan.wanted(server, &replica.table);
        let may_unload = |item: &str| replica.may_unload(server, item);
        let is_gone = |holder: &HolderId| is_gone(&replica, holder);
        let step = self.steward.next_step(&ReconcileInput {
            plan_version: replica.plan.version,
            items: &items,
            may_unload: &may_unload,
            is_gone: &is_gone,
            may_act,
            may_load: self.permit.is_some(),
        });
        let is_load = |record: &ServerRecord| {
            record.pending.as_ref().is_some_and(|order| order.kind == OrderKind::Load)
        };
        let needs_slot = match &step {
            Step::Write { record, .. } => is_load(record),
            _ => self.steward.record().is_some_and(is_load),
        };
        if !needs_slot {
            self.permit = None;
        }
        step
    }

    async fn read(&mut self) {
        let key = keys::server_key(&self.vm.name);
        match self.cx.platform.get(&key).await {
            Ok(None) => {
                let record = ServerRecord::new(self.vm.memory_mib, self.vm.checks_fencing);
                self.steward.on_read(record, 0);
            }
            Ok(Some(entry)) => match serde_json::from_slice(&entry.value) {
                Ok(record) => self.steward.on_read(record, entry.revision),
                Err(err) => {
                    log::error!(server = &*self.vm.name, err:%; "ledger not readable");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            },
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }

    async fn write(&mut self, record: ServerRecord, revision: Revision) {
        let key = keys::server_key(&self.vm.name);
        let value = serde_json::to_vec(&record).expect("plain values");
        let answer = match self.cx.platform.put_if(&key, value, revision, None).await {
            Ok(PutAnswer::Written(revision)) => {
                self.cx.hub.add_residency(&self.vm.name, Residency::from_record(&record, revision));
                WriteResult::Written(revision)
            }
            Ok(PutAnswer::Conflict) => {
                self.cx.metrics.write_conflicts.inc();
                WriteResult::Conflict
            }
            Err(_) => {
                tokio::time::sleep(RETRY_PAUSE).await;
                WriteResult::Unknown
            }
        };
        self.steward.on_write(record, answer);
    }

    async fn send(&mut self, order: Order) {
        let cause = match order.kind {
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        };
        self.cx.metrics.orders.get_or_create(&CauseLabels { cause }).inc();
        self.steward.on_order_sent(&order);
        let (engine, sent) = (self.engine.clone(), order.clone());
        match tokio::task::spawn_blocking(move || engine.order(&sent)).await {
            Ok(Ok(answer)) => {
                self.steward.on_order_response(&order, answer);
                tokio::time::sleep(ORDER_PAUSE).await;
            }
            _ => {
                self.cx.metrics.unanswered_orders.inc();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn query(&mut self) {
        let engine = self.engine.clone();
        match tokio::task::spawn_blocking(move || engine.state()).await {
            Ok(Ok(state)) => {
                self.steward.on_engine_state(state);
                self.note_answer().await;
            }
            _ => {
                self.note_silence().await;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn note_answer(&mut self) {
        self.silent_since = None;
        if self.is_marked_down || self.cx.hub.replica().mark(&self.down_mark()).is_some() {
            log::info!(server = &*self.vm.name; "server answers again");
            let cleared = self.cx.platform.set_mark(&self.cx.hub, &self.down_mark(), "").await;
            self.is_marked_down = cleared.is_err();
        }
    }

    async fn note_silence(&mut self) {
        let now = self.cx.clock.now();
        let since = *self.silent_since.get_or_insert(now);
        if now - since < DOWN_AFTER || self.is_marked_down {
            return;
        }
        log::warn!(server = &*self.vm.name; "server does not answer");
        let (name, me) = (self.down_mark(), self.cx.settings.vm.clone());
        self.is_marked_down = self.cx.platform.set_mark(&self.cx.hub, &name, &me).await.is_ok();
    }

    fn down_mark(&self) -> String {
        keys::down_mark(&self.vm.name)
    }

    /// Waits for a change, or for the time to look at the engine again.
    async fn rest(&mut self, may_act: bool) {
        self.permit = None;
        let mut changes = self.cx.hub.subscribe();
        let plan_version = self.cx.hub.replica().plan.version;
        let period = Duration::from_millis(self.cx.settings.steward_period_ms);
        let changed = changes.wait_for(|replica| replica.plan.version != plan_version);
        let _ = tokio::time::timeout(period, changed).await;
        if may_act {
            self.steward.invalidate_engine_state();
        } else {
            // Somebody else may hold the lease: what was left behind is found in the record.
            self.steward.invalidate();
        }
    }
}
