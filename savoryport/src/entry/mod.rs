//! The entry: takes callers' requests, queues them by rank, routes them and streams the answers.
//!
//! It needs the control process only for news. While that is gone, or the key-value service is, the
//! entry goes on with what it knows.

mod address;
mod answer;
mod claim;
mod completion;
mod dispatcher;
mod fleet;
mod retry;
mod server;
mod service;
mod stream;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use savoryport_core::clock::{Clock, SystemClock};
use savoryport_core::replica::Replica;
use savoryport_platform::connection::Pool;
use savoryport_platform::kv::EtcdClient;
use serde_json::json;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::dispatcher::DispatcherHandle;
use crate::metrics::{EntryMetrics, MetricsServerError, serve_metrics};
use crate::settings::Settings;

/// Why the entry stops before it is asked to.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The callers' address cannot be listened on.
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

/// What every request needs.
struct Context {
    settings: Settings,
    clock: Arc<dyn Clock>,
    incarnation: u64,
    dispatcher: DispatcherHandle,
    fleet: watch::Receiver<Arc<Replica>>,
    pool: Pool,
    kv: Arc<EtcdClient>,
    claims: claim::Claims,
    metrics: EntryMetrics,
    requests: TaskTracker,
    connections: TaskTracker,
    /// Cancelled once the requests have ended, to close the connections.
    closing: CancellationToken,
    is_draining: AtomicBool,
}

impl Context {
    fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }
}

/// Runs the entry until the token is cancelled and its requests have ended.
///
/// # Errors
///
/// Returns an error where an address cannot be listened on.
pub async fn run(settings: Settings, cancel: CancellationToken) -> Result<(), EntryError> {
    let address = settings.entry_listen.clone();
    let listener = TcpListener::bind(&address)
        .await
        .map_err(|err| EntryError::Listen { address: address.clone(), err })?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let metrics = EntryMetrics::default();
    // The tasks end after the last request, not when the stop begins.
    let stopped = CancellationToken::new();
    let incarnation = rand::random::<u32>().into();
    let demand = fleet::Demand::default();
    let fleet = fleet::follow(&settings, demand.clone(), metrics.clone(), stopped.clone());
    let dispatcher = dispatcher::start(
        &settings,
        incarnation,
        fleet.clone(),
        demand,
        clock.clone(),
        stopped.clone(),
    );
    let timeout = Duration::from_millis(settings.platform_timeout_ms);
    let cx = Arc::new(Context {
        kv: Arc::new(EtcdClient::new(&settings.key_value, timeout)),
        claims: claim::Claims::default(),
        incarnation,
        dispatcher,
        fleet,
        clock,
        pool: Pool::default(),
        metrics,
        requests: TaskTracker::new(),
        connections: TaskTracker::new(),
        closing: CancellationToken::new(),
        is_draining: AtomicBool::new(false),
        settings,
    });
    serve_status(&cx, stopped.clone())?;
    log::info!(address = address.as_str(); "serving callers");
    let accepting = tokio::spawn(server::accept(listener, cx.clone(), stopped.clone()));
    cancel.cancelled().await;
    drain(&cx).await;
    stopped.cancel();
    let _ = accepting.await;
    Ok(())
}

/// Refuses what is new and waits for what is under way, within the time that the settings name.
async fn drain(cx: &Context) {
    cx.is_draining.store(true, Ordering::Relaxed);
    let limit = Duration::from_millis(cx.settings.drain_timeout_ms);
    log::info!(in_flight = cx.requests.len(); "draining");
    cx.requests.close();
    cx.connections.close();
    let ended = async {
        cx.requests.wait().await;
        // The last bytes of an answer may still be in a connection's buffer.
        cx.closing.cancel();
        cx.connections.wait().await;
    };
    if tokio::time::timeout(limit, ended).await.is_err() {
        log::warn!(in_flight = cx.requests.len(); "stopping although requests are under way");
    } else {
        log::info!("drained");
    }
}

fn serve_status(cx: &Arc<Context>, cancel: CancellationToken) -> Result<(), MetricsServerError> {
    let registry = cx.metrics.registry();
    let page_cx = cx.clone();
    let status = move || {
        let cx = &page_cx;
        let fleet = cx.fleet.borrow();
        json!({
            "vm": cx.settings.vm,
            "table_version": fleet.table.version,
            "plan_version": fleet.plan.version,
            "in_flight": cx.requests.len(),
            "draining": cx.is_draining(),
        })
    };
    serve_metrics(&cx.settings.entry_metrics_listen, registry, status, cancel)
}
