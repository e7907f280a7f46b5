//! Finds out whether this node is cut off from all servers, and tells the other nodes.
//!
//! `savoryport_core::node::server_link` decides; `relay` passes requests on meanwhile.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::registry::BackendServer;
use savoryport_core::node::server_link::{LinkChange, ServerLink, choose_asked};
use savoryport_platform::connection::Liveness;

use super::context::NodeContext;

/// Interval between checks whether servers are asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for a connection to a server that is asked. It covers the way to another region and back,
/// with a packet lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// What this node knows of its links to the servers.
#[derive(Debug, Default)]
pub struct SharedServerLink {
    link: Mutex<ServerLink>,
    /// Held while servers are asked since one looks crashed, so that many requests at it ask once.
    crash_check: tokio::sync::Mutex<()>,
}

impl SharedServerLink {
    fn lock(&self) -> MutexGuard<'_, ServerLink> {
        self.link.lock().expect("no thread panics while holding the lock")
    }

    /// Returns whether the node reaches no server.
    pub fn is_cut(&self) -> bool {
        self.lock().is_cut()
    }
}

/// Records that a connection to a server failed or was not established.
pub(super) fn record_failure(cx: &NodeContext, server: &Name) {
    cx.server_link.lock().record_failure(server, cx.now());
}

/// Records that a server sent something.
pub(super) fn record_data(cx: &NodeContext) {
    cx.server_link.lock().record_data(cx.now());
}

/// Records that a server accepted a connection.
pub(super) fn record_accepted(cx: &NodeContext) {
    let change = cx.server_link.lock().record_accepted(cx.now());
    publish(cx, change);
}

/// Asks servers for connections while there is reason to.
pub async fn run(cx: Arc<NodeContext>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let busy = {
            let routing = cx.routing.lock();
            routing.loads.own().values().filter(|load| load.running > 0).count()
        };
        if begin_round(&cx, busy) {
            ask_servers(&cx).await;
        }
    }
}

/// Returns whether servers are asked now.
fn begin_round(cx: &NodeContext, busy_servers: usize) -> bool {
    let now = cx.now();
    let mut link = cx.server_link.lock();
    let is_due = link.is_round_due(busy_servers, now);
    if is_due {
        link.begin_round(now);
    }
    is_due
}

/// Returns whether another server than this one has accepted a connection after a time, so that the node
/// is not cut off. If none has, some are asked for one. True if no other server is known.
pub(super) async fn reaches_another(cx: &NodeContext, server: &Name, after: Instant) -> bool {
    let _check = cx.server_link.crash_check.lock().await;
    if cx.server_link.lock().is_reached_after(after) {
        return true;
    }
    let view = cx.fleet.view();
    let others = view.servers.values().filter(|other| other.id != *server);
    let distance = |server: &BackendServer| cx.settings.distance_to(&server.failure_domain);
    let asked = choose_asked(others.map(|server| &**server), distance, || cx.random_u64());
    if asked.is_empty() {
        return true;
    }
    let asks = asked.iter().map(|server| {
        Box::pin(async {
            let address: Name = server.address.to_string().into();
            match cx.request_pool.probe(&address, ASK_TIMEOUT).await {
                Liveness::Accepts => Ok(()),
                Liveness::Refuses | Liveness::Unknown => Err(()),
            }
        })
    });
    let is_reached = futures::future::select_ok(asks).await.is_ok();
    if is_reached {
        record_accepted(cx);
    }
    is_reached
}

async fn ask_servers(cx: &NodeContext) {
    let view = cx.fleet.view();
    let distance = |server: &BackendServer| cx.settings.distance_to(&server.failure_domain);
    let asked =
        choose_asked(view.servers.values().map(|server| &**server), distance, || cx.random_u64());
    let asks = asked.iter().map(|server| async {
        let address: Name = server.address.to_string().into();
        cx.request_pool.probe(&address, ASK_TIMEOUT).await
    });
    let answers = futures::future::join_all(asks).await;
    if answers.contains(&Liveness::Accepts) {
        return record_accepted(cx);
    }
    let change = cx.server_link.lock().record_lost_round(answers.len());
    publish(cx, change);
}

/// Logs a change, and tells the other nodes with the next sync.
fn publish(cx: &NodeContext, change: Option<LinkChange>) {
    let Some(change) = change else { return };
    let is_cut = change == LinkChange::Lost;
    if is_cut {
        cx.metrics.server_link_losses.inc();
        log::warn!("cut off from all servers");
    } else {
        log::warn!("servers reached again");
    }
    cx.fleet.update(|state| state.set_cut_off(is_cut));
}
