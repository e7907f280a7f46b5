//! A node: one process a VM, which takes callers' requests and any duty that needs a holder.
//!
//! A request's way leads through `callers`, `receive`, `proxy`, `server_selection`, `server_response` and
//! `stream`; `store_reader`, `sync` and
//! `leadership` keep the node's beliefs and duties; `docs/DESIGN.md` says why.

mod callers;
mod clock;
mod context;
mod directory;
mod domain_controller;
mod engine;
pub mod event_splitter;
pub mod fleet;
mod in_flight;
mod leadership;
mod metrics;
mod peer_server;
mod peers;
mod planner;
pub mod prompt_log;
mod proxy;
mod receive;
mod response;
mod routing_state;
pub mod rpc;
mod server_response;
mod server_selection;
pub mod settings;
mod status;
pub mod store_reader;
mod stream;
mod sync;
pub mod view;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use savoryport_adapter::store::Store;
use savoryport_core::clock::SystemClock;
use savoryport_core::node::budget::RetryBound;
use savoryport_platform::connection::Pool;
use thiserror::Error;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xxhash_rust::xxh3::xxh3_64;

use self::clock::BootClock;
use self::context::NodeContext;
use self::domain_controller::DomainControllers;
use self::fleet::Fleet;
use self::metrics::NodeMetrics;
use self::peer_server::PeerReports;
use self::peers::Peers;
use self::routing_state::SharedRoutingState;
use self::settings::NodeSettings;
use self::store_reader::StoreHealth;
use self::view::Member;

/// A node that stops takes requests for this long: callers keep an address for up to three times the
/// time that the directory names.
const STALE_ADDRESSES: Duration = Duration::from_secs(3);

/// A stop ends this long before the time that it may take.
const STOP_MARGIN: Duration = Duration::from_millis(1_000);

/// The nodes that share the retry budget before any other node is known.
const ASSUMED_NODES: usize = 16;

/// Why a node cannot run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {err}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's words.
        err: io::Error,
    },
}

/// Runs a node until `stopping` is cancelled and what it serves has ended.
///
/// # Errors
///
/// Returns an error where an address cannot be listened on.
pub async fn run(settings: NodeSettings, stopping: CancellationToken) -> Result<(), NodeError> {
    let cx = Arc::new(context(settings, stopping));
    let callers = callers::listen(cx.settings.callers_listen).await?;
    let directory = callers::listen(cx.settings.directory_listen).await?;
    let readiness = callers::listen(cx.settings.readiness_listen).await?;
    peer_server::start(&cx).await?;
    let metrics_listen = SocketAddr::new(cx.settings.ip_address, cx.settings.metrics_port);
    let told = cx.clone();
    let status = move || status::status(&told);
    let page = crate::metrics::serve_page(
        &metrics_listen.to_string(),
        cx.metrics.registry(),
        status,
        cx.connection_shutdown.clone(),
    );
    if let Err(err) = page {
        log::warn!(err:% = err; "no metrics page");
    }
    let (reads, reading) = watch::channel(true);
    tokio::spawn(store_reader::run(cx.clone(), reading));
    tokio::spawn(sync::follow(cx.clone(), reads));
    tokio::spawn(sync::exchange(cx.clone()));
    tokio::spawn(directory::accept(cx.clone(), directory));
    tokio::spawn(directory::accept(cx.clone(), readiness));
    tokio::spawn(callers::accept(cx.clone(), callers));
    let duties = tokio::spawn(leadership::run(cx.clone()));
    log::info!(vm = &*cx.settings.vm, domain = &*cx.settings.failure_domain; "started");
    cx.stopping.cancelled().await;
    stop(&cx, duties).await;
    Ok(())
}

/// Serves what callers still send, then ends.
async fn stop(cx: &NodeContext, duties: tokio::task::JoinHandle<()>) {
    let ends = Duration::from_secs_f64(cx.settings.stop_within_s).saturating_sub(STOP_MARGIN);
    log::info!(within_ms = ends.as_millis() as u64; "stopping");
    let drain = async {
        tokio::time::sleep(STALE_ADDRESSES.min(ends / 2)).await;
        cx.connection_shutdown.cancel();
        cx.caller_tasks.close();
        cx.caller_tasks.wait().await;
    };
    if tokio::time::timeout(ends, drain).await.is_err() {
        log::warn!(open = cx.caller_tasks.len(); "stopped before everything was answered");
    }
    let _ = tokio::time::timeout(STOP_MARGIN / 2, duties).await;
    log::info!("stopped");
}

fn context(settings: NodeSettings, stopping: CancellationToken) -> NodeContext {
    let member = Member {
        vm: settings.vm.clone(),
        failure_domain: settings.failure_domain.clone(),
        callers: settings.callers_listen,
    };
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let tenure = xxh3_64(settings.vm.as_bytes()) ^ started.as_nanos() as u64;
    let bound = RetryBound { ratio: settings.retry_ratio, extra: settings.retry_extra };
    let store_timeout = Duration::from_millis(settings.store_timeout_ms);
    NodeContext {
        clock: Arc::new(SystemClock),
        lease_clock: Arc::new(BootClock::new()),
        store: Store::new(settings.store.clone(), store_timeout),
        request_pool: Pool::default(),
        order_pool: Pool::default(),
        fleet: Fleet::new(member.clone()),
        routing: SharedRoutingState::new(bound, ASSUMED_NODES, settings.selection_costs()),
        peer_reports: PeerReports::default(),
        store_health: StoreHealth::default(),
        tenure: tenure.max(1),
        member,
        peers: Peers::default(),
        controllers: DomainControllers::default(),
        metrics: NodeMetrics::default(),
        stopping,
        connection_shutdown: CancellationToken::new(),
        caller_tasks: TaskTracker::new(),
        rng: Mutex::new(SmallRng::seed_from_u64(tenure)),
        settings,
    }
}
