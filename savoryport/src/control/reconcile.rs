//! Brings the memory of engines in line with the plan, with one task for each server whose group's
//! lease this process holds or has held.

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
use savoryport_platform::kv::{PutResult, Revision};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::Context;
use super::announce::is_gone;
use super::leases::HeldLeasesReceiver;
use crate::keys;
use crate::metrics::CauseLabels;

/// How often the set of servers is updated.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// The delay before the reconciler is asked again after an engine responded to an order.
const ORDER_DELAY: Duration = Duration::from_millis(40);

/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long an engine may fail to respond before its server is marked as down.
const DOWN_AFTER: Duration = Duration::from_secs(3);

/// Starts a task for each server in the groups that this process holds, until it is cancelled.
pub(super) async fn run(cx: Context, own_id: HolderId, held_leases: HeldLeasesReceiver) {
    let mut tasks = tokio::task::JoinSet::new();
    let mut abort_handles: HashMap<Name, tokio::task::AbortHandle> = HashMap::new();
    let mut slots_by_group: BTreeMap<Name, Arc<Semaphore>> = BTreeMap::new();
    loop {
        let groups = held_leases.borrow().groups().clone();
        let replica = cx.state.replica();
        for vm in replica.vms.engines().filter(|vm| groups.contains(&vm.failure_domain)) {
            let group = vm.failure_domain.clone();
            let slots = slots_by_group
                .entry(group)
                .or_insert_with_key(|group| group_load_slots(&cx, &replica, group));
            abort_handles.entry(vm.name.clone()).or_insert_with(|| {
                let task = ReconcileTask::new(&cx, &own_id, &held_leases, vm, slots);
                tasks.spawn(task.run())
            });
        }
        // A server that the platform no longer lists has been removed, together with its memory.
        abort_handles.retain(|name, handle| {
            let is_listed = replica.vms.get(name).is_some();
            if !is_listed {
                handle.abort();
            }
            is_listed
        });
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

/// Returns the group's share of the parallel loads that the weight store allows.
fn group_load_slots(cx: &Context, replica: &Replica, group: &Name) -> Arc<Semaphore> {
    let mut groups: Vec<&Name> = replica.vms.engines().map(|vm| &vm.failure_domain).collect();
    groups.sort();
    groups.dedup();
    let index = groups.iter().position(|other| *other == group).unwrap_or(0);
    let share = load_slots::slots_for_group(cx.settings.weight_store_slots, groups.len(), index);
    // Every group gets at least one slot, even if this exceeds the weight store's limit and slows
    // loads down: a group without a slot could never load anything.
    Arc::new(Semaphore::new(share.max(1) as usize))
}

struct ReconcileTask {
    cx: Context,
    held_leases: HeldLeasesReceiver,
    vm: Vm,
    engine: EngineClient,
    reconciler: Reconciler,
    load_slots: Arc<Semaphore>,
    load_permit: Option<OwnedSemaphorePermit>,
    unresponsive_since: Option<Instant>,
    is_marked_down: bool,
}

impl ReconcileTask {
    fn new(
        cx: &Context,
        own_id: &HolderId,
        held_leases: &HeldLeasesReceiver,
        vm: &Vm,
        load_slots: &Arc<Semaphore>,
    ) -> Self {
        let timeout = Duration::from_millis(cx.settings.order_timeout_ms);
        Self {
            engine: EngineClient::new(&vm.address, timeout),
            reconciler: Reconciler::new(own_id.clone()),
            cx: cx.clone(),
            held_leases: held_leases.clone(),
            vm: vm.clone(),
            load_slots: load_slots.clone(),
            load_permit: None,
            unresponsive_since: None,
            is_marked_down: false,
        }
    }

    async fn run(mut self) {
        loop {
            let may_act = self.may_act();
            match self.next_step(may_act) {
                Step::Read => self.read_record().await,
                Step::Write { record, revision } => self.write_record(record, revision).await,
                Step::Send(order) => self.send_order(order).await,
                Step::Query => self.query_engine().await,
                Step::Idle => self.wait_while_idle(may_act).await,
            }
        }
    }

    fn may_act(&self) -> bool {
        let has_plan = self.cx.state.replica().plan.version > 0;
        let now = self.cx.clock.now();
        has_plan && self.held_leases.borrow().may_act(&self.vm.failure_domain, now)
    }

    fn next_step(&mut self, may_act: bool) -> Step {
        if self.load_permit.is_none() && !self.reconciler.has_pending_order() {
            self.load_permit = self.load_slots.clone().try_acquire_owned().ok();
        }
        let replica = self.cx.state.replica();
        let server = &self.vm.name;
        let items = replica.plan.wanted(server, &replica.table);
        let may_unload = |item: &str| replica.may_unload(server, item);
        let is_gone = |holder: &HolderId| is_gone(&replica, holder);
        let step = self.reconciler.next_step(&ReconcileInput {
            plan_version: replica.plan.version,
            items: &items,
            may_unload: &may_unload,
            is_gone: &is_gone,
            may_act,
            may_load: self.load_permit.is_some(),
        });
        let has_pending_load = |record: &ServerRecord| {
            record.pending.as_ref().is_some_and(|order| order.kind == OrderKind::Load)
        };
        let needs_permit = match &step {
            Step::Write { record, .. } => has_pending_load(record),
            _ => self.reconciler.record().is_some_and(has_pending_load),
        };
        if !needs_permit {
            self.load_permit = None;
        }
        step
    }

    async fn read_record(&mut self) {
        let key = keys::server_key(&self.vm.name);
        match self.cx.kv.get(&key).await {
            Ok(None) => {
                let record = ServerRecord::new(self.vm.memory_mib, self.vm.checks_fencing);
                self.reconciler.on_read(record, 0);
            }
            Ok(Some(entry)) => match serde_json::from_slice(&entry.value) {
                Ok(record) => self.reconciler.on_read(record, entry.revision),
                Err(err) => {
                    log::error!(server = &*self.vm.name, err:%; "cannot parse the ledger");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            },
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }

    async fn write_record(&mut self, record: ServerRecord, revision: Revision) {
        let key = keys::server_key(&self.vm.name);
        let value = serde_json::to_vec(&record).expect("a record can be serialized");
        let result = match self.cx.kv.put_if(&key, value, revision, None).await {
            Ok(PutResult::Written(revision)) => {
                self.cx
                    .state
                    .merge_residency(&self.vm.name, Residency::from_record(&record, revision));
                WriteResult::Written(revision)
            }
            Ok(PutResult::Conflict) => {
                self.cx.metrics.write_conflicts.inc();
                WriteResult::Conflict
            }
            Err(_) => {
                tokio::time::sleep(RETRY_DELAY).await;
                WriteResult::Unknown
            }
        };
        self.reconciler.on_write(record, result);
    }

    async fn send_order(&mut self, order: Order) {
        let cause = match order.kind {
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        };
        self.cx.metrics.orders.get_or_create(&CauseLabels { cause }).inc();
        self.reconciler.on_order_sent(&order);
        let (engine, sent_order) = (self.engine.clone(), order.clone());
        match tokio::task::spawn_blocking(move || engine.send_order(&sent_order)).await {
            Ok(Ok(response)) => {
                self.reconciler.on_order_response(&order, response);
                tokio::time::sleep(ORDER_DELAY).await;
            }
            _ => {
                self.cx.metrics.unanswered_orders.inc();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn query_engine(&mut self) {
        let engine = self.engine.clone();
        match tokio::task::spawn_blocking(move || engine.state()).await {
            Ok(Ok(state)) => {
                self.reconciler.on_engine_state(state);
                self.on_engine_response().await;
            }
            _ => {
                self.on_engine_failure().await;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn on_engine_response(&mut self) {
        self.unresponsive_since = None;
        if self.is_marked_down || self.cx.state.replica().mark(&self.down_mark()).is_some() {
            log::info!(server = &*self.vm.name; "server responds again");
            let result = self.cx.kv.set_mark(&self.cx.state, &self.down_mark(), "").await;
            self.is_marked_down = result.is_err();
        }
    }

    async fn on_engine_failure(&mut self) {
        let now = self.cx.clock.now();
        let unresponsive_since = *self.unresponsive_since.get_or_insert(now);
        if now - unresponsive_since < DOWN_AFTER || self.is_marked_down {
            return;
        }
        log::warn!(server = &*self.vm.name; "server does not respond; marking it as down");
        let (mark_name, own_vm) = (self.down_mark(), self.cx.settings.vm.clone());
        self.is_marked_down =
            self.cx.kv.set_mark(&self.cx.state, &mark_name, &own_vm).await.is_ok();
    }

    fn down_mark(&self) -> String {
        keys::down_mark(&self.vm.name)
    }

    /// Waits for a new plan, or until the engine is due to be queried again.
    async fn wait_while_idle(&mut self, may_act: bool) {
        self.load_permit = None;
        let mut replica_rx = self.cx.state.subscribe();
        let plan_version = self.cx.state.replica().plan.version;
        let period = Duration::from_millis(self.cx.settings.steward_period_ms);
        let new_plan = replica_rx.wait_for(|replica| replica.plan.version != plan_version);
        let _ = tokio::time::timeout(period, new_plan).await;
        if may_act {
            self.reconciler.invalidate_engine_state();
        } else {
            // Another process may hold the lease and have written the record, which also shows the
            // orders that this process left behind.
            self.reconciler.invalidate();
        }
    }
}
