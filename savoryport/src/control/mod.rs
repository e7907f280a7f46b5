//! The control process: holds leases on groups of servers, keeps the memory ledgers, gives orders to
//! engines, and relays the table and what stands where.
//!
//! No request waits for it. Without the key-value service it serves what it knows and starts no
//! move.

mod announce;
mod hub;
mod leases;
mod planner;
mod platform;
mod reader;
mod relay;
mod stewards;

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use savoryport_core::clock::{Clock, SystemClock};
use savoryport_core::table::RowKind;
use savoryport_platform::kv::EtcdClient;
use serde_json::json;
use thiserror::Error;
use tokio_util::sync::CancellationToken;

use self::hub::Hub;
use self::platform::Platform;
use crate::metrics::{ControlMetrics, MetricsServerError, serve_metrics};
use crate::settings::Settings;

/// How often the gauges are brought up to date.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

/// Why the control process stops before it is asked to.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The address for other processes cannot be listened on.
    #[error("cannot listen on {address}: {err}")]
    Listen {
        /// The address.
        address: String,
        /// The operating system's words.
        err: std::io::Error,
    },
    /// The metrics page cannot be served.
    #[error(transparent)]
    Page(#[from] MetricsServerError),
}

/// What every task needs.
#[derive(Clone)]
struct Context {
    settings: Arc<Settings>,
    clock: Arc<dyn Clock>,
    platform: Platform,
    hub: Hub,
    metrics: ControlMetrics,
}

/// Runs the control process until the token is cancelled.
///
/// # Errors
///
/// Returns an error where an address cannot be listened on.
pub async fn run(settings: Settings, cancel: CancellationToken) -> Result<(), ControlError> {
    let timeout = Duration::from_millis(settings.platform_timeout_ms);
    let metrics = ControlMetrics::default();
    let kv = Arc::new(EtcdClient::new(&settings.key_value, timeout));
    let cx = Context {
        clock: Arc::new(SystemClock),
        platform: Platform::new(kv, metrics.platform_errors.clone()),
        hub: hub::start(cancel.clone()),
        metrics,
        settings: Arc::new(settings),
    };
    // The address is taken first: it shows that the former process of this VM is gone.
    relay::start(&cx, cancel.clone()).await?;
    let page_cx = cx.clone();
    let address = &cx.settings.control_metrics_listen;
    serve_metrics(address, cx.metrics.registry(), move || status(&page_cx), cancel.clone())?;
    let reading = cancel.clone().run_until_cancelled_owned(reader::run(cx.clone())).map(drop);
    let showing = cancel.clone().run_until_cancelled_owned(show_gauges(cx.clone())).map(drop);
    let mut tasks = vec![tokio::spawn(reading), tokio::spawn(showing)];
    let announced = cancel.run_until_cancelled(announce::announce(&cx)).await;
    let Some(me) = announced else { return Ok(()) };
    log::info!(incarnation = me.incarnation; "announced");
    let held = leases::start(&cx, me.clone(), cancel.clone());
    let planning = planner::run(cx.clone(), held.clone());
    let stewarding = stewards::run(cx.clone(), me, held.clone());
    tasks.push(tokio::spawn(cancel.clone().run_until_cancelled_owned(planning).map(drop)));
    tasks.push(tokio::spawn(cancel.clone().run_until_cancelled_owned(stewarding).map(drop)));
    cancel.cancelled().await;
    for task in tasks {
        let _ = task.await;
    }
    leases::release(&cx, &held).await;
    log::info!("control stopped");
    Ok(())
}

async fn show_gauges(cx: Context) {
    loop {
        let replica = cx.hub.replica();
        let metrics = &cx.metrics;
        metrics.table_version.set(replica.table.version as i64);
        metrics.plan_version.set(replica.plan.version as i64);
        let retained = replica.residency.values().map(|r| i64::from(r.memory.retained_mib)).sum();
        metrics.retained_mib.set(retained);
        metrics.unreachable_models.set(unreachable(&replica).len() as i64);
        tokio::time::sleep(GAUGE_PERIOD).await;
    }
}

/// Returns the models and adapters of the table that no server has in memory.
fn unreachable(replica: &savoryport_core::replica::Replica) -> Vec<savoryport_core::Name> {
    let is_loaded = |name: &savoryport_core::Name| {
        replica.residency.values().any(|residency| residency.loaded.contains(name))
    };
    let items = replica.table.rows.iter().filter(|row| row.kind != RowKind::Service);
    items.map(|row| row.name.clone()).filter(|name| !is_loaded(name)).collect()
}

fn status(cx: &Context) -> serde_json::Value {
    let replica = cx.hub.replica();
    json!({
        "vm": cx.settings.vm,
        "reads_platform": cx.metrics.reading_platform.get() == 1,
        "table_version": replica.table.version,
        "plan_version": replica.plan.version,
        "marks": replica.marks,
        "residency": replica.residency,
        "unreachable": unreachable(&replica),
    })
}
