//! A node: the process that runs once on each VM, proxies callers' requests to backend servers and
//! can lead a failure domain.
//!
//! The leader of a failure domain is the one node that sends orders to the domain's engines. Stored
//! keys, messages and logs call the leadership a duty and the leader its holder.
//!
//! A request passes through `callers`, `receive`, `proxy`, `server_selection`, `model_requests`,
//! `server_limits`, `server_response` and `stream`, or goes to another node through `relay`.
//! `store_reader` and `sync` maintain the node's view of the fleet, and `leadership` the leases of the
//! failure domains that it leads. `docs/DESIGN.md` explains the design.

mod caller_stream;
mod callers;
mod clock;
mod config_age;
mod context;
mod crash_archive;
mod directory;
mod domain_controller;
mod engine;
pub mod event_relay;
pub mod event_splitter;
mod exchange;
mod explain_route;
pub mod fleet;
mod in_flight;
mod leadership;
mod message_stream;
mod metrics;
mod model_requests;
mod open_work;
mod peer_connections;
mod peer_server;
mod planner;
pub mod prompt_log;
mod proxy;
mod quarantine;
mod receive;
pub mod relay;
mod request_body;
mod request_quarantine;
mod response;
mod response_body;
mod routing_state;
pub mod rpc;
mod server_limits;
mod server_link;
mod server_response;
mod server_selection;
pub mod settings;
mod status;
pub mod store_reader;
mod stream;
mod stream_origins;
mod sync;
mod team_quota;
pub mod view;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use savoryport_adapter::store::StoreClient;
use savoryport_core::clock::{Clock as _, SystemClock};
use savoryport_core::node::entry_subset::EntrySubset;
use savoryport_core::node::retry_budget::RetryBound;
use savoryport_core::node::stop_plan::StopPlan;
use savoryport_platform::connection::Pool;
use thiserror::Error;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xxhash_rust::xxh3::xxh3_64;

use self::clock::BootClock;
use self::context::NodeContext;
use self::domain_controller::DomainControllers;
use self::fleet::Fleet;
use self::metrics::NodeMetrics;
use self::open_work::OpenWork;
use self::peer_connections::PeerConnections;
use self::peer_server::PeerReports;
use self::request_body::SharedCallerMemory;
use self::response_body::SharedResponseMemory;
use self::routing_state::SharedRoutingState;
use self::server_link::SharedServerLink;
use self::settings::NodeSettings;
use self::store_reader::StoreHealth;
use self::stream::StreamMemory;
use self::stream_origins::SharedStreamOrigins;
use self::team_quota::NodeQuotas;
use self::view::Member;
use crate::connection_limit::{ConnectionLimits, Connections};

/// The number of nodes that are assumed to share the retry budget before any other node is known.
const ASSUMED_NODES: usize = 16;

/// How long a stopping node waits for callers' requests before it logs what is open.
const FIRST_DELAY: Duration = Duration::from_millis(1_500);

/// The exit status of a node whose stop had to be forced.
const EXIT_OVERDUE: i32 = 3;

/// An error that keeps a node from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {err}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        err: io::Error,
    },
}

/// Runs a node until `stopping` is cancelled and either all requests have ended or the time for a
/// stop is over.
///
/// # Errors
///
/// Returns an error if listening on an address fails.
pub async fn run(settings: NodeSettings, stopping: CancellationToken) -> Result<(), NodeError> {
    let cx = Arc::new(new_context(settings, stopping));
    let callers = callers::listen(cx.settings.callers_listen).await?;
    let directory = callers::listen(cx.settings.directory_listen).await?;
    let readiness = callers::listen(cx.settings.readiness_listen).await?;
    peer_server::start(&cx).await?;
    let metrics_listen = SocketAddr::new(cx.settings.ip_address, cx.settings.metrics_port);
    let status_cx = cx.clone();
    let status = move || status::status(&status_cx);
    let command_cx = cx.clone();
    let command = move |target: &str| status::run_command(&command_cx, target);
    let served = crate::metrics_server::serve_metrics_and_commands(
        &metrics_listen.to_string(),
        cx.metrics.registry(),
        status,
        command,
        cx.metrics.closed_connections.clone(),
        cx.connection_shutdown.clone(),
    );
    if let Err(err) = served {
        log::warn!(err:% = err; "metrics page not served");
    }
    let (read_store_tx, read_store_rx) = watch::channel(true);
    tokio::spawn(store_reader::run(cx.clone(), read_store_rx));
    tokio::spawn(sync::follow(cx.clone(), read_store_tx));
    tokio::spawn(exchange::exchange(cx.clone()));
    tokio::spawn(crash_archive::run(cx.clone()));
    tokio::spawn(stream_origins::run(cx.clone()));
    tokio::spawn(server_link::run(cx.clone()));
    tokio::spawn(directory::accept(cx.clone(), directory, "directory"));
    tokio::spawn(directory::accept(cx.clone(), readiness, "readiness"));
    tokio::spawn(callers::accept(cx.clone(), callers));
    tokio::spawn(callers::watch(cx.clone()));
    let leadership_task = tokio::spawn(leadership::run(cx.clone()));
    log::info!(vm = &*cx.settings.vm, domain = &*cx.settings.failure_domain; "started");
    cx.stopping.cancelled().await;
    stop(&cx, leadership_task).await;
    Ok(())
}

/// Drains callers' requests and gives up leaderships, each with a time limit.
async fn stop(cx: &NodeContext, leadership_task: tokio::task::JoinHandle<()>) {
    let (within, now) = (Duration::from_secs_f64(cx.settings.stop_within_s), cx.now());
    let plan = *cx.stop_plan.get_or_init(|| StopPlan::new(now, within));
    log::info!(within_ms = (plan.close_by - now).as_millis() as u64; "stopping");
    let _guard = StopGuard::start(plan.exit_by - now);
    let late_ms = |planned: Instant| cx.now().saturating_duration_since(planned).as_millis() as u64;
    let drain = async {
        tokio::time::sleep(plan.refuse_from - now).await;
        cx.connection_shutdown.cancel();
        cx.caller_tasks.close();
        let first_wait = (plan.answer_by.saturating_duration_since(cx.now())).min(FIRST_DELAY);
        if tokio::time::timeout(first_wait, cx.caller_tasks.wait()).await.is_err() {
            cx.open_work.log_delay("wait for requests", late_ms(plan.refuse_from + FIRST_DELAY));
        }
        let until_answers = plan.answer_by.saturating_duration_since(cx.now());
        if tokio::time::timeout(until_answers, cx.caller_tasks.wait()).await.is_err() {
            cx.open_work.log_delay("end requests", late_ms(plan.answer_by));
            log::warn!(open = cx.caller_tasks.len(); "requests end because the node stops");
            cx.answer_now.cancel();
            cx.caller_tasks.wait().await;
        }
    };
    if tokio::time::timeout(plan.close_by - now, drain).await.is_err() {
        cx.open_work.log_delay("close connections", late_ms(plan.close_by));
        log::warn!(open = cx.caller_tasks.len(); "stopped before everything was answered");
    }
    let release_timeout = StopPlan::exit_margin(within) / 2;
    if tokio::time::timeout(release_timeout, leadership_task).await.is_err() {
        log::warn!(timeout_ms = release_timeout.as_millis() as u64; "duties not released in time");
    }
    log::info!(took_ms = (cx.now() - now).as_millis() as u64; "stopped");
}

/// Ends the process if the node has not stopped in time, from a thread of its own: a task that blocks
/// keeps the time limits of all others from running.
struct StopGuard(Arc<AtomicBool>);

impl StopGuard {
    fn start(within: Duration) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let guard = Self(is_stopped.clone());
        let watch = move || {
            std::thread::sleep(within);
            if !is_stopped.load(Ordering::Acquire) {
                log::error!("tasks do not run, stop forced");
                crate::logging::flush();
                std::process::exit(EXIT_OVERDUE);
            }
        };
        if let Err(err) = std::thread::Builder::new().name("stop-guard".to_owned()).spawn(watch) {
            log::warn!(err:% = err; "stop is not guarded");
        }
        guard
    }
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

fn new_context(settings: NodeSettings, stopping: CancellationToken) -> NodeContext {
    let member = Member {
        vm: settings.vm.clone(),
        failure_domain: settings.failure_domain.clone(),
        callers: settings.callers_listen,
        capacity: settings.capacity(),
        is_cut_off: false,
    };
    let start_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let tenure = xxh3_64(settings.vm.as_bytes()) ^ start_time.as_nanos() as u64;
    let retry_bound = RetryBound { ratio: settings.retry_ratio, extra: settings.retry_extra };
    let store_timeout = Duration::from_millis(settings.store_timeout_ms);
    let clock = Arc::new(SystemClock);
    let lease_clock = Arc::new(BootClock::new());
    let (metrics, memory) = (NodeMetrics::default(), settings.memory_shares());
    NodeContext {
        response_memory: SharedResponseMemory::new(memory.responses),
        stream_memory: StreamMemory::new(memory.streams),
        caller_memory: SharedCallerMemory::new(settings.caller_memory_limits()),
        caller_connections: Connections::new(
            ConnectionLimits {
                listener: "callers",
                connections: settings.max_caller_connections(),
                head_bytes: memory.heads,
                unread: Duration::from_millis(settings.caller_unread_ms),
            },
            metrics.closed_connections.clone(),
        ),
        entry_subset: Mutex::new(EntrySubset::new(clock.now())),
        clock,
        lease_clock: lease_clock.clone(),
        store: StoreClient::new(settings.store.clone(), store_timeout),
        request_pool: Pool::with_max_idle(settings.max_pooled_connections()),
        order_pool: Pool::default(),
        fleet: Fleet::new(member.clone()),
        routing: SharedRoutingState::new(
            retry_bound,
            ASSUMED_NODES,
            settings.selection_costs(),
            settings.prefix_index(),
        ),
        peer_reports: PeerReports::default(),
        store_health: StoreHealth::default(),
        tenure: tenure.max(1),
        member,
        peers: PeerConnections::default(),
        controllers: DomainControllers::default(),
        crash_archive: Mutex::default(),
        crash_seen: Notify::new(),
        stream_origins: SharedStreamOrigins::default(),
        server_link: SharedServerLink::default(),
        is_leader_lost: AtomicBool::new(false),
        config_age: Mutex::default(),
        quotas: Mutex::new(NodeQuotas::new(tenure.max(1), lease_clock.now())),
        metrics,
        stopping,
        stop_plan: OnceLock::new(),
        answer_now: CancellationToken::new(),
        connection_shutdown: CancellationToken::new(),
        caller_tasks: TaskTracker::new(),
        open_work: OpenWork::default(),
        rng: Mutex::new(SmallRng::seed_from_u64(tenure)),
        settings,
    }
}
