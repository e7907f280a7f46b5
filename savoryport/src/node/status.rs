//! The status page of a node, as JSON for operators.

use std::sync::Arc;
use std::time::Duration;

use savoryport_core::node::quarantine::QuarantineEntry;
use savoryport_core::node::request_quarantine::BlockedRequest;
use savoryport_core::node::server_limit::RequestRate;
use serde_json::{Value, json};

use super::config_age::config_age_report;
use super::context::NodeContext;
use super::domain_controller::DomainController;
use super::explain_route::explain_route;
use super::quarantine::{clear_part, format_part};
use super::request_quarantine::clear_request;
use super::team_quota::team_status;

/// Returns the node's current view: the configuration, members, leaders and servers, and the
/// engines of the failure domains that it leads.
pub fn status(cx: &NodeContext) -> Value {
    let view = cx.fleet.view();
    let routing = cx.routing.lock();
    let servers: Vec<Value> = view
        .servers
        .values()
        .map(|server| {
            let models: Vec<String> = server
                .models
                .iter()
                .map(|model| format!("{} ({} adapters)", model.name, model.adapters.len()))
                .collect();
            let load = routing.loads.total(&server.id);
            json!({
                "server": server.id, "service": server.service,
                "failure_domain": server.failure_domain, "software": server.software,
                "ready": server.is_ready(),
                "models": models, "requests": load.running,
                "prefill_ms": load.prefill_ms.iter().sum::<f32>(),
                "failure_rate": routing.health.absolute_failure_rate(&server.id),
                "relative_failure_rate": routing.health.failure_rate(&server.id),
                "slowness": routing.speeds.slowness(&server.id),
                "limit_per_s": routing.limits.limit_of(server).map(RequestRate::per_second),
            })
        })
        .collect();
    let now = cx.now();
    let mut quarantine: Vec<Value> =
        routing.quarantine.entries().iter().map(entry_status).collect();
    quarantine.extend(
        routing
            .request_quarantine
            .entries()
            .map(|(blocked, until)| request_status(blocked, until.saturating_duration_since(now))),
    );
    let crashes = routing.request_quarantine.crash_count();
    drop(routing);
    let (teams, (heard, known)) = team_status(cx);
    let members: Vec<&str> = view.members.iter().map(|member| &*member.vm).collect();
    json!({
        "vm": cx.settings.vm,
        "failure_domain": cx.settings.failure_domain,
        "config": view.version(),
        "config_age_ms": config_age_report(cx).map(|report| report.age_ms),
        "store_answers": cx.store_health.is_available(cx.now()),
        "members": members,
        "holders": view.leaders,
        "servers": servers,
        "quarantine": quarantine,
        "crashes": crashes,
        "teams": teams,
        "quota_nodes_heard": heard,
        "quota_nodes_known": known,
        "duties": cx
            .controllers
            .all()
            .iter()
            .map(|controller| leadership_status(cx, controller))
            .collect::<Vec<_>>(),
    })
}

fn entry_status(entry: &QuarantineEntry) -> Value {
    let parts: Vec<String> = entry.parts.iter().map(|part| format_part(*part)).collect();
    json!({ "parts": parts, "servers": entry.servers })
}

fn request_status(blocked: &BlockedRequest, remaining: Duration) -> Value {
    json!({
        "request": format_part(blocked.content), "of_all_callers": blocked.caller.is_none(),
        "servers": blocked.servers, "ends_in_s": remaining.as_secs_f64(),
    })
}

/// Runs the operators' command that a path with a query names; returns `None` if there is no such
/// command.
pub fn run_command(cx: &Arc<NodeContext>, target: &str) -> Option<Value> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if path == "/explain-route" {
        return Some(explain_route(cx, query));
    }
    let part = path.strip_prefix("/quarantine/clear/")?;
    let id = u64::from_str_radix(part, 16).ok()?;
    let was_quarantined = clear_part(cx, id) | clear_request(cx, id);
    Some(json!({ "part": format_part(id), "was_quarantined": was_quarantined }))
}

fn leadership_status(cx: &NodeContext, controller: &DomainController) -> Value {
    let engines = controller.engine_states().into_iter().map(|(server, contents, current_move)| {
        json!({
            "server": server,
            "models": contents.models().collect::<Vec<_>>(),
            "adapters": contents.adapters().count(),
            "accepted_orders": contents.expected_orders(),
            "loading": current_move.map(|current_move| current_move.load),
        })
    });
    json!({
        "failure_domain": controller.domain,
        "may_order": controller.active_token(cx).is_some(),
        "engines": engines.collect::<Vec<_>>(),
    })
}
