//! Records the requests at which servers crash, and exchanges the crashes with other nodes.
//!
//! `savoryport_core::node::request_quarantine` decides which requests reach no server because of
//! them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::node::request_quarantine::{RequestCrashReport, RequestQuarantineChange};

use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::quarantine::format_part;
use super::server_selection::SelectedServer;

/// Timeout for one exchange with a leader in another failure domain.
const SWAP_TIMEOUT: Duration = Duration::from_millis(300);

impl ProxyRequest {
    /// Returns whether the request is refused because it crashes servers.
    pub(super) fn is_blocked(&self) -> bool {
        let now = self.cx.now();
        let is_blocked = self.cx.routing.lock().request_quarantine.is_blocked(self.identity, now);
        if is_blocked {
            log::info!(
                request = &*self.head.id, content = &*format_part(self.identity.content);
                "request in quarantine"
            );
        }
        is_blocked
    }

    /// Records that the server crashed while it ran the request.
    pub(super) fn record_crash(&mut self, selected: &SelectedServer, sent_at: Instant) {
        let (server, incarnation) = (&selected.server.id, selected.server.incarnation);
        let now = self.cx.now();
        let mut routing = self.cx.routing.lock();
        let quarantine = &mut routing.request_quarantine;
        let changes = quarantine.record_crash((server, incarnation), (self.identity, sent_at), now);
        self.is_suspect |= quarantine.is_suspect(self.identity, server, incarnation);
        drop(routing);
        log::warn!(
            request = &*self.head.id, content = &*format_part(self.identity.content),
            server = &**server, incarnation = incarnation, suspect = self.is_suspect;
            "server crashed before it answered"
        );
        report_request_changes(&self.cx, &changes);
        self.cx.crash_seen.notify_one();
    }
}

/// Returns the crashes that have changed since a revision, and the current revision.
pub(super) fn request_crashes_since(
    cx: &NodeContext,
    revision: u64,
) -> (u64, Vec<RequestCrashReport>) {
    let routing = cx.routing.lock();
    let quarantine = &routing.request_quarantine;
    (quarantine.revision(), quarantine.reports_since(revision, cx.now()))
}

/// Takes over what another node knows.
pub(super) fn merge_request_crashes(cx: &NodeContext, reports: &[RequestCrashReport]) {
    let changes = cx.routing.lock().request_quarantine.merge(reports, cx.now());
    report_request_changes(cx, &changes);
}

/// Exchanges all crashes with the leader of another failure domain, drawn at random. A node does so
/// while its own domain has no leader.
pub(super) fn swap_with_another_domain(cx: &Arc<NodeContext>) {
    let own = &cx.settings.failure_domain;
    let leaders = cx.fleet.read(|state| state.leaders().clone());
    let others: Vec<_> = leaders.into_iter().filter(|(domain, _)| domain != own).collect();
    let Some((_, leader)) = others.get(cx.random_u64() as usize % others.len().max(1)) else {
        return;
    };
    let (cx, address) = (cx.clone(), leader.peers);
    tokio::spawn(async move {
        let (_, reports) = request_crashes_since(&cx, 0);
        let exchange = async {
            let connection = cx.peers.get_or_connect(address).await?;
            connection.swap_request_crashes(reports, SWAP_TIMEOUT).await
        };
        match tokio::time::timeout(SWAP_TIMEOUT, exchange).await {
            Ok(Ok(theirs)) => merge_request_crashes(&cx, &theirs),
            Ok(Err(_)) | Err(_) => cx.peers.remove(address),
        }
    });
}

/// Ends quarantines whose time is up and forgets old crashes.
pub(super) fn expire_request_crashes(cx: &NodeContext) {
    let changes = cx.routing.lock().request_quarantine.expire(cx.now());
    report_request_changes(cx, &changes);
}

/// Clears a request for an operator; returns whether it was in quarantine.
pub(super) fn clear_request(cx: &NodeContext, content: u64) -> bool {
    let changes = cx.routing.lock().request_quarantine.clear(content, cx.now());
    report_request_changes(cx, &changes);
    !changes.is_empty()
}

/// Logs what has changed, and updates the metric.
pub(super) fn report_request_changes(cx: &NodeContext, changes: &[RequestQuarantineChange]) {
    if changes.is_empty() {
        return;
    }
    let entries = cx.routing.lock().request_quarantine.entries().len();
    cx.metrics.quarantined_requests.set(entries as i64);
    for change in changes {
        let (blocked, event) = match change {
            RequestQuarantineChange::Began(blocked) => (blocked, "request quarantine began"),
            RequestQuarantineChange::Ended(blocked) => (blocked, "request quarantine ended"),
        };
        log::warn!(
            content = &*format_part(blocked.content), of_all_callers = blocked.caller.is_none(),
            crashes = blocked.servers.len(), servers = &*blocked.servers.join(",");
            "{event}"
        );
    }
}
