//! What the tasks of a node share.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use rand::rngs::SmallRng;
use rand::{Rng, RngExt};
use savoryport_adapter::store::Store;
use savoryport_core::clock::Clock;
use savoryport_platform::connection::Pool;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::domain_controller::DomainControllers;
use super::fleet::Fleet;
use super::metrics::NodeMetrics;
use super::peer_server::PeerReports;
use super::peers::Peers;
use super::routing_state::SharedRoutingState;
use super::rpc::CopyUse;
use super::settings::NodeSettings;
use super::store_reader::StoreHealth;
use super::view::Member;

/// Shared by all tasks of a node.
pub struct NodeContext {
    /// The settings.
    pub settings: NodeSettings,
    /// The steady clock.
    pub clock: Arc<dyn Clock>,
    /// A clock that goes on while the VM stands still, for leases.
    pub lease_clock: Arc<dyn Clock>,
    /// The platform's store.
    pub store: Store,
    /// Connections to backend servers, for requests.
    pub request_pool: Pool,
    /// Connections to model engines, for orders and reports.
    pub order_pool: Pool,
    /// Beliefs about the fleet.
    pub fleet: Fleet,
    /// What is counted while requests run.
    pub routing: SharedRoutingState,
    /// What other nodes told this one.
    pub peer_reports: PeerReports,
    /// When the store was last heard.
    pub store_health: StoreHealth,
    /// This node as others know it.
    pub member: Member,
    /// A number that differs between starts of the process.
    pub tenure: u64,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Duties that this node holds.
    pub controllers: DomainControllers,
    /// Counters and histograms.
    pub metrics: NodeMetrics,
    /// Cancelled when the node is asked to stop.
    pub stopping: CancellationToken,
    /// Cancelled when connections of callers are to close after their present request.
    pub connection_shutdown: CancellationToken,
    /// Tasks that serve callers.
    pub caller_tasks: TaskTracker,
    /// Random numbers, seeded from the VM's name and the time of the start.
    pub rng: Mutex<SmallRng>,
}

impl NodeContext {
    /// Returns the present instant.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the copies at servers of a failure domain that this domain's requests use.
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

    /// Returns a uniform number in 0..1.
    pub fn random_unit(&self) -> f64 {
        self.rng.lock().expect("no holder panics").random()
    }

    /// Returns a uniform number below 2^64.
    pub fn random_u64(&self) -> u64 {
        self.rng.lock().expect("no holder panics").next_u64()
    }
}
