//! The control process: holds leases on groups of servers, keeps the servers' memory ledgers, sends
//! load and unload orders to engines, and replicates the table and the state of the servers.
//!
//! No request waits for the control process. While the key-value service is unavailable, the
//! process serves the state that it has and starts no loads or unloads.

mod announce;
mod kv_client;
mod leases;
mod planner;
mod reconcile;
mod replication;
mod rpc_server;
mod shared_state;

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use savoryport_core::clock::{Clock, SystemClock};
use savoryport_platform::kv::EtcdClient;
use serde_json::json;
use thiserror::Error;
use tokio_util::sync::CancellationToken;

use self::kv_client::KvClient;
use self::shared_state::SharedState;
use crate::metrics::ControlMetrics;
use crate::metrics_server::{MetricsServerError, serve_metrics};
use crate::settings::Settings;

/// How often the gauges are updated.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

/// An error that prevents the control process from running.
#[derive(Debug, Error)]
pub enum ControlError {
    /// Listening on the address for other processes failed.
    #[error("cannot listen on {address}: {err}")]
    Listen {
        /// The address.
        address: String,
        /// The error of the operating system.
        err: std::io::Error,
    },
    /// The metrics server cannot be started.
    #[error(transparent)]
    MetricsServer(#[from] MetricsServerError),
}

/// The state that every task of the control process uses.
#[derive(Clone)]
struct Context {
    settings: Arc<Settings>,
    clock: Arc<dyn Clock>,
    kv: KvClient,
    state: SharedState,
    metrics: ControlMetrics,
}

/// Runs the control process until the token is cancelled.
///
/// # Errors
///
/// Returns an error if the process cannot listen on one of its addresses.
pub async fn run(settings: Settings, cancel: CancellationToken) -> Result<(), ControlError> {
    let timeout = Duration::from_millis(settings.platform_timeout_ms);
    let metrics = ControlMetrics::default();
    let etcd = Arc::new(EtcdClient::new(&settings.key_value, timeout));
    let cx = Context {
        clock: Arc::new(SystemClock),
        kv: KvClient::new(etcd, metrics.platform_errors.clone()),
        state: shared_state::start(cancel.clone()),
        metrics,
        settings: Arc::new(settings),
    };
    // The process binds its address first: success shows that the previous process of this VM has
    // ended.
    rpc_server::start(&cx, cancel.clone()).await?;
    let status_cx = cx.clone();
    let address = &cx.settings.control_metrics_listen;
    serve_metrics(address, cx.metrics.registry(), move || status(&status_cx), cancel.clone())?;
    let replicating =
        cancel.clone().run_until_cancelled_owned(replication::run(cx.clone())).map(drop);
    let gauges = cancel.clone().run_until_cancelled_owned(update_gauges(cx.clone())).map(drop);
    let mut tasks = vec![tokio::spawn(replicating), tokio::spawn(gauges)];
    let announced = cancel.run_until_cancelled(announce::announce(&cx)).await;
    let Some(own_id) = announced else { return Ok(()) };
    log::info!(incarnation = own_id.incarnation; "announced this process");
    let held_leases = leases::start(&cx, own_id.clone(), cancel.clone());
    let planning = planner::run(cx.clone(), held_leases.clone());
    let reconciling = reconcile::run(cx.clone(), own_id, held_leases.clone());
    tasks.push(tokio::spawn(cancel.clone().run_until_cancelled_owned(planning).map(drop)));
    tasks.push(tokio::spawn(cancel.clone().run_until_cancelled_owned(reconciling).map(drop)));
    cancel.cancelled().await;
    for task in tasks {
        let _ = task.await;
    }
    leases::release(&cx, &held_leases).await;
    log::info!("control process stopped");
    Ok(())
}

async fn update_gauges(cx: Context) {
    loop {
        let replica = cx.state.replica();
        let metrics = &cx.metrics;
        metrics.table_version.set(replica.table.version as i64);
        metrics.plan_version.set(replica.plan.version as i64);
        let retained = replica.residency.values().map(|r| i64::from(r.memory.retained_mib)).sum();
        metrics.retained_mib.set(retained);
        metrics.unreachable_models.set(unreachable_items(&replica).len() as i64);
        tokio::time::sleep(GAUGE_PERIOD).await;
    }
}

/// Returns the models and adapters of the table that no server has loaded.
fn unreachable_items(replica: &savoryport_core::replica::Replica) -> Vec<savoryport_core::Name> {
    let is_loaded = |name: &savoryport_core::Name| {
        replica.residency.values().any(|residency| residency.loaded.contains(name))
    };
    let items = replica.table.rows.iter().filter(|row| row.is_item());
    items.map(|row| row.name.clone()).filter(|name| !is_loaded(name)).collect()
}

fn status(cx: &Context) -> serde_json::Value {
    let replica = cx.state.replica();
    json!({
        "vm": cx.settings.vm,
        "reads_platform": cx.metrics.reading_platform.get() == 1,
        "table_version": replica.table.version,
        "plan_version": replica.plan.version,
        "marks": replica.marks,
        "residency": replica.residency,
        "unreachable": unreachable_items(&replica),
    })
}
