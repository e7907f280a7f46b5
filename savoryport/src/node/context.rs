//! The state that the tasks of a node share.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, RngExt};
use savoryport_adapter::store::StoreClient;
use savoryport_core::clock::Clock;
use savoryport_core::node::config_age::ConfigAge;
use savoryport_core::node::crash_archive::CrashArchive;
use savoryport_core::node::entry_subset::EntrySubset;
use savoryport_core::node::stop_plan::StopPlan;
use savoryport_platform::connection::Pool;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::domain_controller::DomainControllers;
use super::fleet::Fleet;
use super::metrics::NodeMetrics;
use super::open_work::OpenWork;
use super::peer_connections::PeerConnections;
use super::peer_server::PeerReports;
use super::request_body::SharedCallerMemory;
use super::response_body::SharedResponseMemory;
use super::routing_state::SharedRoutingState;
use super::rpc::CopyUse;
use super::server_link::SharedServerLink;
use super::settings::NodeSettings;
use super::store_reader::StoreHealth;
use super::stream::StreamMemory;
use super::stream_origins::SharedStreamOrigins;
use super::team_quota::NodeQuotas;
use super::view::Member;
use crate::connection_limit::Connections;

/// The state shared by all tasks of a node.
pub struct NodeContext {
    /// The node's settings.
    pub settings: NodeSettings,
    /// The monotonic clock for everything but leases.
    pub clock: Arc<dyn Clock>,
    /// A monotonic clock that advances while the VM is suspended, for leases.
    pub lease_clock: Arc<dyn Clock>,
    /// The client of the platform's metadata store.
    pub store: StoreClient,
    /// Connections to backend servers for callers' requests.
    pub request_pool: Pool,
    /// Connections to model engines for load and unload orders and for reports.
    pub order_pool: Pool,
    /// What this node knows of the configuration, servers, members and domain leaders.
    pub fleet: Fleet,
    /// Measurements of the servers, by which requests are routed.
    pub routing: SharedRoutingState,
    /// What other nodes reported to this one.
    pub peer_reports: PeerReports,
    /// Whether the store answers, and when its last outage ended.
    pub store_health: StoreHealth,
    /// This node's entry in the member list.
    pub member: Member,
    /// A number that differs between starts of the process.
    pub tenure: u64,
    /// Connections to other nodes.
    pub peers: PeerConnections,
    /// The failure domains that this node leads.
    pub controllers: DomainControllers,
    /// What the store has of the crashes that this node knows.
    pub crash_archive: Mutex<CrashArchive>,
    /// Notified when this node sees a crash, which its leader should learn of at once.
    pub crash_seen: Notify,
    /// The software versions of servers and of the streams that began at them.
    pub stream_origins: SharedStreamOrigins,
    /// Whether this node reaches any server.
    pub server_link: SharedServerLink,
    /// Whether the leader of this node's failure domain no longer answers it.
    pub is_leader_lost: AtomicBool,
    /// The moment as of which the configuration is known to be the newest one.
    pub config_age: Mutex<ConfigAge>,
    /// What teams have left of their quotas.
    pub quotas: Mutex<NodeQuotas>,
    /// The node's counters and histograms.
    pub metrics: NodeMetrics,
    /// Cancelled when the node is asked to stop.
    pub stopping: CancellationToken,
    /// When the node ends its work, once it was asked to stop.
    pub stop_plan: OnceLock<StopPlan>,
    /// Cancelled when each request gets its final answer because the node stops.
    pub answer_now: CancellationToken,
    /// Cancelled when callers' connections are to be closed after the request in progress.
    pub connection_shutdown: CancellationToken,
    /// The tasks that serve callers' connections and streams.
    pub caller_tasks: TaskTracker,
    /// What is open for callers.
    pub open_work: OpenWork,
    /// The memory for servers' responses that are read to their end before they are forwarded.
    pub response_memory: SharedResponseMemory,
    /// The memory for chunks of streams that callers have not read yet.
    pub stream_memory: StreamMemory,
    /// The memory for callers' bodies.
    pub caller_memory: SharedCallerMemory,
    /// Callers' connections.
    pub caller_connections: Connections,
    /// The part of the nodes that callers are sent to.
    pub entry_subset: Mutex<EntrySubset>,
    /// The random number generator, seeded from the VM's name and the start time.
    pub rng: Mutex<SmallRng>,
}

impl NodeContext {
    /// Returns the current time of [`Self::clock`].
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time until a deadline, or until a stopping node gives its final answers.
    pub fn time_until(&self, deadline: Instant) -> Duration {
        let deadline = self.stop_plan.get().map_or(deadline, |plan| plan.answer_by.min(deadline));
        deadline.saturating_duration_since(self.now())
    }

    /// Locks the part of the nodes that callers are sent to.
    pub fn entry_subset(&self) -> MutexGuard<'_, EntrySubset> {
        self.entry_subset.lock().expect("no thread panics while holding the lock")
    }

    /// Returns the copies on a failure domain's servers that are used by requests of this node and
    /// its followers.
    pub fn copies_in_domain(&self, domain: &str) -> Vec<CopyUse> {
        let view = self.fleet.view();
        let mut uses = self.routing.lock().copies_in_use();
        uses.extend(self.peer_reports.follower_copies());
        uses.retain(|usage| {
            let server = view.servers.get(&usage.server);
            server.is_some_and(|server| &*server.failure_domain == domain)
        });
        uses
    }

    /// Returns a uniformly distributed number in 0..1.
    pub fn random_unit(&self) -> f64 {
        self.rng.lock().expect("no thread panics while holding the lock").random()
    }

    /// Returns a uniformly distributed number below 2^64.
    pub fn random_u64(&self) -> u64 {
        self.rng.lock().expect("no thread panics while holding the lock").next_u64()
    }
}
