//! Finds out whether a server has crashed on a request, and exchanges with other nodes the crashes
//! that parts of prompts explain.
//!
//! `savoryport_core::node::quarantine` decides which parts reach no server because of them.

use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::quarantine::{CrashReport, QuarantineChange, SharedParts};
use savoryport_platform::connection::Liveness;

use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::request_quarantine::report_request_changes;
use super::response::RefusalCause;
use super::rpc::CrashExchange;
use super::server_link::reaches_another;
use super::server_selection::SelectedServer;

/// The time that a server has to accept or refuse a connection after it has broken one. The VM of a
/// crashed server refuses at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

impl ProxyRequest {
    /// Returns the parts of the prompt that other prompts may share. The last part is the request's
    /// own.
    fn shared_parts(&self) -> SharedParts {
        let Some(generation) = &self.head.generation else { return SharedParts::new() };
        let shared = generation.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }

    /// Returns why the request reaches no server, if it or a part of its prompt crashes servers. A
    /// stream that has begun is not resumed either.
    pub(super) fn quarantine_cause(&self) -> Option<RefusalCause> {
        let (parts, now) = (self.shared_parts(), self.cx.now());
        let part = self.cx.routing.lock().quarantine.blocking_part(&parts, now);
        if let Some(part) = part {
            log::info!(
                request = &*self.head.id, part = &*format_part(part); "prompt part in quarantine"
            );
            return Some(RefusalCause::Quarantined);
        }
        self.is_blocked().then_some(RefusalCause::CrashesServers)
    }

    /// Records that one server has answered the request from its first event to its end, which shows
    /// that neither it nor its prompt crashes servers.
    pub(super) fn record_whole_answer(&self) {
        let (parts, now) = (self.shared_parts(), self.cx.now());
        let mut routing = self.cx.routing.lock();
        let changes = routing.quarantine.record_answer(&parts, now);
        let request_changes = routing.request_quarantine.record_answer(self.identity, now);
        drop(routing);
        report_changes(&self.cx, &changes);
        report_request_changes(&self.cx, &request_changes);
    }

    /// Handles a connection that broke before the server had answered completely. If the server has
    /// crashed, the request and the parts of its prompt become suspect. If one of them already is
    /// because of another crash, the request is not sent to a further server.
    pub(super) async fn on_broken_answer(&mut self, selected: &SelectedServer, sent_at: Instant) {
        if !self.has_crashed(selected).await {
            return;
        }
        self.cx.metrics.server_crashes.inc();
        self.record_crash(selected, sent_at);
        let parts = self.shared_parts();
        if parts.is_empty() {
            return;
        }
        let (server, incarnation) = (&selected.server.id, selected.server.incarnation);
        let mut routing = self.cx.routing.lock();
        let changes = routing.quarantine.record_crash(server, incarnation, &parts, self.cx.now());
        self.is_suspect |= routing.quarantine.is_suspect(&parts, server, incarnation);
        drop(routing);
        report_changes(&self.cx, &changes);
    }

    /// Returns whether the server has crashed. One that breaks single connections still accepts new
    /// ones, one that stops as planned is not registered as ready any more, and to a node that is cut
    /// off all servers look like crashed ones.
    async fn has_crashed(&self, selected: &SelectedServer) -> bool {
        let (server, broken_at) = (&selected.server, self.cx.now());
        let view = self.cx.fleet.view();
        let Some(known) = view.servers.get(&server.id) else { return false };
        if !known.is_ready() {
            return false;
        }
        if known.incarnation != server.incarnation {
            return true;
        }
        let address: Name = server.address.to_string().into();
        self.cx.request_pool.probe(&address, PROBE_TIMEOUT).await == Liveness::Refuses
            && reaches_another(&self.cx, &server.id, broken_at).await
    }
}

/// Returns what another node needs to learn, of which the last known digest is `their_digest`.
pub(super) fn crash_exchange(cx: &NodeContext, their_digest: Option<u64>) -> CrashExchange {
    let routing = cx.routing.lock();
    let digest = routing.quarantine.digest();
    let reports = if their_digest == Some(digest) {
        Vec::new()
    } else {
        routing.quarantine.reports(cx.now())
    };
    CrashExchange { digest, reports }
}

/// Takes over what another node knows; returns its digest.
pub(super) fn merge_crashes(cx: &NodeContext, theirs: &CrashExchange) -> u64 {
    merge_crash_reports(cx, &theirs.reports);
    theirs.digest
}

/// Takes over crashes that were reported or read.
pub(super) fn merge_crash_reports(cx: &NodeContext, reports: &[CrashReport]) {
    let changes = cx.routing.lock().quarantine.merge(reports, cx.now());
    report_changes(cx, &changes);
}

/// Forgets old crashes.
pub(super) fn expire_crashes(cx: &NodeContext) {
    let changes = cx.routing.lock().quarantine.expire(cx.now());
    report_changes(cx, &changes);
}

/// Clears a part for an operator; returns whether it was in quarantine.
pub(super) fn clear_part(cx: &NodeContext, part: u64) -> bool {
    log::warn!(part = &*format_part(part); "prompt part cleared by an operator");
    let now = cx.now();
    let mut routing = cx.routing.lock();
    // Requests with the part are not to be refused one by one instead.
    let crashes = routing.quarantine.crashes_of(part);
    let request_changes = routing.request_quarantine.settle(&crashes, now);
    let changes = routing.quarantine.clear(part, now);
    drop(routing);
    report_request_changes(cx, &request_changes);
    report_changes(cx, &changes);
    !changes.is_empty()
}

/// Formats the id of a part as callers write it.
pub(super) fn format_part(part: u64) -> String {
    format!("{part:x}")
}

fn report_changes(cx: &NodeContext, changes: &[QuarantineChange]) {
    if changes.is_empty() {
        return;
    }
    let entries = cx.routing.lock().quarantine.entries().len();
    cx.metrics.quarantined_parts.set(entries as i64);
    for change in changes {
        let (entry, event) = match change {
            QuarantineChange::Began(entry) => (entry, "quarantine began"),
            QuarantineChange::Ended(entry) => (entry, "quarantine ended"),
        };
        let parts: Vec<String> = entry.parts.iter().map(|part| format_part(*part)).collect();
        log::warn!(
            parts = &*parts.join(","), crashes = entry.servers.len(),
            servers = &*entry.servers.join(","); "{event}"
        );
    }
}
