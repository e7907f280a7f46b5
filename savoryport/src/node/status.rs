//! What a node believes, as JSON for operators.

use serde_json::{Value, json};

use super::context::NodeContext;
use super::domain_controller::DomainController;

/// Returns the node's beliefs: the configuration, members, duties, servers and orders under way.
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
                "failure_domain": server.failure_domain, "ready": server.is_ready(),
                "models": models, "requests": load.running,
                "prefill_ms": load.prefill_ms.iter().sum::<f32>(),
                "failure_rate": routing.health.failure_rate(&server.id),
                "slowness": routing.speeds.slowness(&server.id),
            })
        })
        .collect();
    drop(routing);
    let members: Vec<&str> = view.members.iter().map(|member| &*member.vm).collect();
    json!({
        "vm": cx.settings.vm,
        "failure_domain": cx.settings.failure_domain,
        "config": view.version(),
        "store_answers": cx.store_health.is_available(cx.now()),
        "members": members,
        "holders": view.leaders,
        "servers": servers,
        "duties": cx.controllers.all().iter().map(|controller| duty(cx, controller)).collect::<Vec<_>>(),
    })
}

fn duty(cx: &NodeContext, controller: &DomainController) -> Value {
    let engines = controller.engine_states().into_iter().map(|(server, ledger, moving)| {
        json!({
            "server": server,
            "models": ledger.models().collect::<Vec<_>>(),
            "adapters": ledger.adapters().count(),
            "accepted_orders": ledger.expected_orders(),
            "loading": moving.map(|moving| moving.load),
        })
    });
    json!({
        "failure_domain": controller.domain,
        "may_order": controller.active_token(cx).is_some(),
        "engines": engines.collect::<Vec<_>>(),
    })
}
