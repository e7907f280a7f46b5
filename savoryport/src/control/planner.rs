//! Computes the placement plan while this process holds the planner lease.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::demand::DemandEstimator;
use savoryport_core::fleet::Vm;
use savoryport_core::placement::{PlacementInput, Plan, ServerCapacity, compute_plan};
use savoryport_core::replica::{Replica, Update};
use savoryport_platform::kv::{KvError, PutResult, Revision};

use super::Context;
use super::leases::HeldLeasesReceiver;
use super::replication::read_demand;
use crate::keys;

/// Computes and stores plans periodically until it is cancelled.
pub(super) async fn run(cx: Context, held_leases: HeldLeasesReceiver) {
    let period = Duration::from_millis(cx.settings.plan_period_ms);
    let mut estimator = DemandEstimator::default();
    loop {
        let may_act = held_leases.borrow().may_act(keys::PLANNER_GROUP, cx.clock.now());
        if may_act && let Err(err) = update_plan(&cx, &mut estimator).await {
            log::debug!(err:%; "cannot update the plan");
        }
        tokio::time::sleep(period).await;
    }
}

async fn update_plan(cx: &Context, estimator: &mut DemandEstimator) -> Result<(), KvError> {
    let replica = cx.state.replica();
    if replica.table.version == 0 {
        return Ok(());
    }
    let observed_demand: HashMap<Name, f64> = read_demand(cx).await?.into_iter().collect();
    let estimated_demand = estimator.observe(&observed_demand, cx.clock.now());
    let (current, revision) = read_plan(cx).await?;
    let servers = available_servers(&replica);
    let move_budget = cx.settings.move_budget;
    let table = replica.table.clone();
    let new_plan = tokio::task::spawn_blocking(move || {
        let input = PlacementInput {
            table: &table,
            servers: &servers,
            demand: &estimated_demand,
            current: &current,
            move_budget,
        };
        let new_plan = compute_plan(&input);
        (new_plan.version > current.version).then_some(new_plan)
    })
    .await;
    let Ok(Some(new_plan)) = new_plan else { return Ok(()) };
    let value = serde_json::to_vec(&new_plan).expect("a plan can be serialized");
    if let PutResult::Written(_) = cx.kv.put_if(keys::PLAN, value, revision, None).await? {
        log::info!(version = new_plan.version; "stored a new plan");
        cx.state.merge(Update { plan: Some(new_plan), ..Update::default() });
    }
    Ok(())
}

async fn read_plan(cx: &Context) -> Result<(Arc<Plan>, Revision), KvError> {
    let Some(entry) = cx.kv.get(keys::PLAN).await? else { return Ok((Arc::default(), 0)) };
    let plan: Plan = serde_json::from_slice(&entry.value)
        .map_err(|err| KvError::Malformed(format!("plan: {err}")))?;
    Ok((Arc::new(plan), entry.revision))
}

/// Returns the servers that models may be placed on: those that are not being removed or drained
/// and whose engine responds. Memory that is retained for orders that may still arrive is left out
/// of their capacity.
fn available_servers(replica: &Replica) -> Vec<ServerCapacity> {
    let is_unavailable = |vm: &Vm| {
        vm.leaving
            || replica.mark(&keys::drain_mark(&vm.name)).is_some()
            || replica.mark(&keys::down_mark(&vm.name)).is_some()
    };
    replica
        .vms
        .engines()
        .filter(|vm| !is_unavailable(vm))
        .map(|vm| {
            let retained = replica.residency.get(&vm.name).map_or(0, |r| r.memory.retained_mib);
            ServerCapacity {
                name: vm.name.clone(),
                failure_domain: vm.failure_domain.clone(),
                capacity_mib: vm.memory_mib.saturating_sub(retained),
            }
        })
        .collect()
}
