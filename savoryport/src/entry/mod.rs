//! The entry process, which accepts callers' requests, queues them by rank, routes them to backend
//! servers and streams the responses back.
//!
//! It depends on the control process only for updates of the fleet state. While the control process
//! or the key-value service is unreachable, the entry keeps serving with the last known state.

mod claim;
mod completion;
mod discovery;
mod dispatcher;
mod fleet;
mod response;
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
use crate::metrics::EntryMetrics;
use crate::metrics_server::{MetricsServerError, serve_metrics};
use crate::settings::Settings;

/// An error that prevents the entry from starting.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The address for callers cannot be bound.
    #[error("cannot listen on {address}: {err}")]
    Listen {
        /// The address from the settings.
        address: String,
        /// The error from the operating system.
        err: std::io::Error,
    },
    /// The metrics server cannot be started.
    #[error(transparent)]
    MetricsServer(#[from] MetricsServerError),
}

/// The state that all requests of the process share.
struct Context {
    settings: Settings,
    clock: Arc<dyn Clock>,
    /// A random number that distinguishes this process from earlier ones on the same VM.
    incarnation: u64,
    dispatcher: DispatcherHandle,
    fleet: watch::Receiver<Arc<Replica>>,
    /// The keys of the table's teams.
    team_keys: server::TeamKeyCache,
    pool: Pool,
    kv: Arc<EtcdClient>,
    claims: claim::Claims,
    metrics: EntryMetrics,
    /// Tracks the requests in progress.
    requests: TaskTracker,
    /// Tracks the open connections from callers.
    connections: TaskTracker,
    /// Cancelled once all requests have ended, to close the connections.
    connection_shutdown: CancellationToken,
    is_draining: AtomicBool,
}

impl Context {
    fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }
}

/// Runs the entry until the token is cancelled and its requests have ended or the drain timeout has
/// passed.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on.
pub async fn run(settings: Settings, cancel: CancellationToken) -> Result<(), EntryError> {
    let address = settings.entry_listen.clone();
    let listener = TcpListener::bind(&address)
        .await
        .map_err(|err| EntryError::Listen { address: address.clone(), err })?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let metrics = EntryMetrics::default();
    // Requests need the background tasks, so these run until draining is over.
    let stop_tasks = CancellationToken::new();
    let incarnation = rand::random::<u32>().into();
    let demand = fleet::Demand::default();
    let fleet = fleet::follow(&settings, demand.clone(), metrics.clone(), stop_tasks.clone());
    let dispatcher = dispatcher::start(
        &settings,
        incarnation,
        fleet.clone(),
        demand,
        clock.clone(),
        stop_tasks.clone(),
    );
    let timeout = Duration::from_millis(settings.platform_timeout_ms);
    let cx = Arc::new(Context {
        kv: Arc::new(EtcdClient::new(&settings.key_value, timeout)),
        claims: claim::Claims::default(),
        incarnation,
        dispatcher,
        fleet,
        clock,
        team_keys: server::TeamKeyCache::default(),
        pool: Pool::default(),
        metrics,
        requests: TaskTracker::new(),
        connections: TaskTracker::new(),
        connection_shutdown: CancellationToken::new(),
        is_draining: AtomicBool::new(false),
        settings,
    });
    serve_status(&cx, stop_tasks.clone())?;
    log::info!(address = address.as_str(); "serving callers");
    let accepting = tokio::spawn(server::accept(listener, cx.clone(), stop_tasks.clone()));
    cancel.cancelled().await;
    drain(&cx).await;
    stop_tasks.cancel();
    let _ = accepting.await;
    Ok(())
}

/// Refuses new requests and waits for those in progress, at most for the drain timeout of the
/// settings.
async fn drain(cx: &Context) {
    cx.is_draining.store(true, Ordering::Relaxed);
    let timeout = Duration::from_millis(cx.settings.drain_timeout_ms);
    log::info!(in_flight = cx.requests.len(); "draining");
    cx.requests.close();
    cx.connections.close();
    let all_ended = async {
        cx.requests.wait().await;
        // The last bytes of a response may still be in the buffer of a connection.
        cx.connection_shutdown.cancel();
        cx.connections.wait().await;
    };
    if tokio::time::timeout(timeout, all_ended).await.is_err() {
        log::warn!(in_flight = cx.requests.len(); "drain timed out; cutting off requests");
    } else {
        log::info!("drained");
    }
}

fn serve_status(cx: &Arc<Context>, cancel: CancellationToken) -> Result<(), MetricsServerError> {
    let registry = cx.metrics.registry();
    let status_cx = cx.clone();
    let status = move || {
        let cx = &status_cx;
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
