//! Keeps to the request rates that servers in need name: learns them from answers, exchanges them
//! with other nodes, and asks for permits.
//!
//! `savoryport_core::node::server_limit` decides which limit is in force and who may send a request.

use std::time::{Duration, Instant};

use hyper::{HeaderMap, StatusCode};
use savoryport_adapter::servers::{ResponseKind, named_limit};
use savoryport_core::node::server_limit::{
    Denial, LimitChange, LimitReport, NamedLimit, Ownership, Permit, PermitUse, owning_domain,
};

use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::server_selection::SelectedServer;
use super::view::DomainLeader;

/// Timeout for asking another node for a permit. It covers the way to another region and back.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a granted permit holds beyond its wait. A node that was paused must not use it later.
const PERMIT_LIFETIME: Duration = Duration::from_millis(500);

/// The time after which a node asks again that got no answer from the owner of an allowance.
const OWNER_RETRY: Duration = Duration::from_millis(300);

impl ProxyRequest {
    /// Records what an answer says of its server's limit.
    pub(super) fn record_limit(
        &self,
        selected: &SelectedServer,
        (status, headers, kind): (StatusCode, &HeaderMap, ResponseKind),
        sent_at: Instant,
    ) {
        let named = named_limit(headers);
        // A server that took over the address, or bytes that may be nobody's answer, lift no limit.
        let shows_no_limit = kind == ResponseKind::Success;
        let is_evidence = kind != ResponseKind::Unverified
            && (named != NamedLimit::None || shows_no_limit)
            && !(named == NamedLimit::Unreadable && status == StatusCode::MISDIRECTED_REQUEST);
        if !is_evidence {
            return;
        }
        let cx = &self.cx;
        let server = &selected.server;
        let key = (&server.id, server.incarnation);
        let change = cx.routing.lock().limits.record_answer(key, named, sent_at, cx.now());
        match change {
            Some(LimitChange::Changed(report)) => log_changes(cx, &[report], "answer"),
            Some(LimitChange::Unreadable) => log::warn!(
                request = &*self.head.id, server = &*server.id; "unreadable limit of a server"
            ),
            None => {}
        }
    }

    /// Waits for a permit to send the request to a server with a limit; returns whether there is one
    /// and the server still takes requests.
    pub(super) async fn acquire_permit(&self, selected: &SelectedServer) -> bool {
        let Some(usage) = selected.permit else { return true };
        let (cx, server) = (&self.cx, &selected.server);
        let report = cx.routing.lock().limits.report_of(server).cloned();
        let Some(report) = report else { return true };
        if usage == PermitUse::Probe {
            cx.routing.lock().limits.record_probe(&server.id, cx.now());
        }
        let asked_at = cx.lease_clock.now();
        let permit = self.ask_for_permit(report, usage).await;
        let denial = match permit {
            Some(Permit::Granted { wait }) => {
                tokio::time::sleep(wait).await;
                let is_fresh = cx.lease_clock.now() - asked_at <= wait + PERMIT_LIFETIME;
                let view = cx.fleet.view();
                let known = view.servers.get(&server.id);
                return is_fresh
                    && known.is_some_and(|known| {
                        known.is_ready() && known.incarnation == server.incarnation
                    });
            }
            Some(Permit::Denied(denial)) => denial,
            None => Denial::for_any_wait(OWNER_RETRY),
        };
        cx.metrics.denied_permits.inc();
        if usage != PermitUse::Probe {
            cx.routing.lock().limits.record_denial(&server.id, denial, cx.now());
        }
        false
    }

    /// Asks the owner of the server's allowance; returns `None` if there is none or it does not
    /// answer.
    async fn ask_for_permit(&self, report: LimitReport, usage: PermitUse) -> Option<Permit> {
        let cx = &self.cx;
        let owner = allowance_owner(cx, &report)?;
        if owner.vm == cx.settings.vm {
            return decide_permit(cx, &report, usage);
        }
        let ask = async {
            let connection = cx.peers.get_or_connect(owner.peers).await?;
            connection.want_permit(report, usage, PERMIT_TIMEOUT).await
        };
        let timeout = PERMIT_TIMEOUT.min(self.remaining_time());
        tokio::time::timeout(timeout, ask).await.ok()?.ok()?
    }
}

/// Returns the node that owns the allowance of a server, as far as this node knows.
fn allowance_owner(cx: &NodeContext, report: &LimitReport) -> Option<DomainLeader> {
    let view = cx.fleet.view();
    let domain = &view.servers.get(&report.server)?.failure_domain;
    view.leaders.get(owning_domain(domain, view.leaders.keys())?).cloned()
}

/// Decides whether a node may send a request to a server, as the owner of its allowance; returns
/// `None` if this node does not own it.
pub(super) fn decide_permit(
    cx: &NodeContext,
    report: &LimitReport,
    usage: PermitUse,
) -> Option<Permit> {
    merge_limits(cx, std::slice::from_ref(report));
    let view = cx.fleet.view();
    let server = view.servers.get(&report.server)?;
    let domain = owning_domain(&server.failure_domain, view.leaders.keys())?;
    let is_owner = view.leaders.get(domain).is_some_and(|leader| leader.vm == cx.settings.vm);
    if !is_owner {
        return None;
    }
    let led_since = cx.controllers.led_since(domain);
    let ownership = Ownership {
        is_confirmed: cx.controllers.holds_lease(cx, domain),
        since: led_since.filter(|_| *domain == server.failure_domain),
    };
    let mut routing = cx.routing.lock();
    let Some(limit) = routing.limits.limit_of(server) else {
        return Some(Permit::Granted { wait: Duration::ZERO });
    };
    Some(routing.allowances.request(&server.id, limit, ownership, usage, cx.now()))
}

/// Takes over what another node knows of limits.
pub(super) fn merge_limits(cx: &NodeContext, reports: &[LimitReport]) {
    if reports.is_empty() {
        return;
    }
    let changes = cx.routing.lock().limits.merge(reports, cx.now());
    log_changes(cx, &changes, "node");
}

/// Returns what this node learned of limits since a revision of its knowledge, and the present
/// revision.
pub(super) fn limits_since(cx: &NodeContext, revision: u64) -> (u64, Vec<LimitReport>) {
    let routing = cx.routing.lock();
    (routing.limits.revision(), routing.limits.reports_since(revision))
}

fn log_changes(cx: &NodeContext, changes: &[LimitReport], source: &str) {
    if changes.is_empty() {
        return;
    }
    let limited = cx.routing.lock().limits.limits().count();
    cx.metrics.limited_servers.set(limited as i64);
    for report in changes {
        cx.metrics.limit_changes.inc();
        if !cx.routing.lock().limits.should_log(&report.server, cx.now()) {
            continue;
        }
        match report.limit {
            Some(limit) => log::warn!(
                server = &*report.server, incarnation = report.incarnation,
                version = report.version, per_second = limit.per_second(), source = source;
                "server limit"
            ),
            None => log::warn!(
                server = &*report.server, incarnation = report.incarnation,
                version = report.version, source = source; "server limit lifted"
            ),
        }
    }
}
