//! Explains where a described request would go now, by the code that selects servers for requests.
//! Nothing is sent, counted or reserved.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use savoryport_adapter::callers::{RequestDescription, decode_request_description};
use savoryport_core::Name;
use savoryport_core::node::deployment::{Deployment, Route};
use savoryport_core::node::request_quarantine::RequestIdentity;
use savoryport_core::node::selection::{Choice, rank_candidates};
use serde_json::{Value, json};

use super::config_age::{config_age_ms, confirms_keys};
use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::receive::{find_route, refuse_if_stopping};
use super::response::{Refusal, RefusalCause};
use super::server_selection::Selection;

/// Explains the decision on the request that a query string describes.
pub fn explain_route(cx: &Arc<NodeContext>, query: &str) -> Value {
    let now = cx.now();
    let mut explained = json!({
        "vm": cx.settings.vm,
        "config": cx.fleet.view().version(),
        "weigh_prefix_retention": cx.settings.weigh_prefix_retention,
        "ages_ms": ages(cx, now),
        "services": [],
    });
    let description = match decode_request_description(query) {
        Ok(description) => description,
        Err(err) => {
            let refusal = Refusal::new(RefusalCause::BadHead);
            explained["decision"] = refusal_decision(&refusal);
            explained["decision"]["problem"] = err.to_string().into();
            return explained;
        }
    };
    match find_service_decisions(cx, description, now) {
        Ok((route, services)) => {
            explained["route"] = json!({ "name": route.name, "rank": route.rank });
            explained["services"] = services.into();
        }
        Err(refusal) => explained["decision"] = refusal_decision(&refusal),
    }
    explained
}

/// Returns the ages of what the node knows, in milliseconds. Its own counts have none.
fn ages(cx: &NodeContext, now: Instant) -> Value {
    let other_loads_at = cx.routing.lock().other_loads_at;
    let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
    json!({
        "loads_of_other_nodes": other_loads_at.map(age_ms),
        "config": config_age_ms(cx),
    })
}

/// Returns the decision for each service of the request's route.
fn find_service_decisions(
    cx: &Arc<NodeContext>,
    description: RequestDescription,
    now: Instant,
) -> Result<(Route, Vec<Value>), Refusal> {
    refuse_if_stopping(cx)?;
    let view = cx.fleet.view();
    let retry_after = Duration::from_millis(cx.settings.store_poll_ms);
    let deployment = view
        .deployment()
        .cloned()
        .ok_or(Refusal::with_retry_after(RefusalCause::NoConfig, retry_after))?;
    let mut route = find_route(&deployment, &description.host, &description.path)?.clone();
    if let Some(rank) = find_rank(cx, &deployment, &route, description.team.as_deref())? {
        route.rank = rank;
    }
    if route.services.is_empty() {
        return Err(Refusal::new(RefusalCause::NoRoute));
    }
    let services = route.services.iter().map(|(service, weight)| {
        let request = ProxyRequest::described(cx, &deployment, &route, service, &description, now);
        let mut explained = request.explain(now);
        explained["service"] = (&**service).into();
        explained["weight"] = (*weight).into();
        explained
    });
    let services = services.collect();
    Ok((route, services))
}

/// Returns the rank of the team, if the request has one with a rank.
fn find_rank(
    cx: &NodeContext,
    deployment: &Deployment,
    route: &Route,
    team: Option<&str>,
) -> Result<Option<u8>, Refusal> {
    let Some(teams) = &deployment.teams else { return Ok(None) };
    if !confirms_keys(cx) {
        let refusal = Refusal::new(RefusalCause::KeysUnconfirmed);
        return if route.is_public { Ok(None) } else { Err(refusal) };
    }
    match team.and_then(|team| teams.team(team)) {
        Some(team) => Ok(team.rank),
        None if route.is_public => Ok(None),
        None => Err(Refusal::new(RefusalCause::UnknownKey)),
    }
}

fn refusal_decision(refusal: &Refusal) -> Value {
    json!({
        "kind": "refuse",
        "cause": refusal.cause.name(),
        "status": refusal.cause.status().as_u16(),
        "retry_after_ms": refusal.retry_after.map(|wait| wait.as_millis() as u64),
    })
}

impl ProxyRequest {
    /// Creates a request that was described rather than received.
    fn described(
        cx: &Arc<NodeContext>,
        deployment: &Arc<Deployment>,
        route: &Route,
        service: &Name,
        description: &RequestDescription,
        now: Instant,
    ) -> Self {
        let head = description.head.clone();
        let generation = head.generation.as_ref();
        let prefix_keys = generation.map(|generation| generation.prefix_keys()).unwrap_or_default();
        Self {
            cx: cx.clone(),
            deployment: deployment.clone(),
            route: route.clone(),
            service: service.clone(),
            stream: None,
            software: None,
            head,
            identity: RequestIdentity { content: 0, caller: 0 },
            caller: cx.settings.ip_address,
            relay: None,
            key: None,
            prefix_keys,
            arrived_at: now,
            queued_since: now,
            last_chunk_at: None,
            longest_gap: Duration::ZERO,
            deadline: now + route.timeout,
            method: Method::POST,
            path_and_query: description.path.clone(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            quota_charge: None,
            attempted_servers: Vec::new(),
            excluded_servers: Vec::new(),
            unreachable_count: 0,
            is_answered: false,
            is_suspect: false,
            may_have_run: false,
            failure_response: None,
            last_server: None,
            expected_latency: Duration::ZERO,
            time_to_first_token: None,
            time_to_first_event: None,
        }
    }

    /// Returns the candidates with their costs, the other servers with the reason why they are none,
    /// and the decision.
    fn explain(&self, now: Instant) -> Value {
        let view = self.cx.fleet.view();
        let assessed = self.assess_servers(&view);
        let candidates: Vec<Value> = {
            let routing = self.cx.routing.lock();
            let candidates = assessed.iter().filter_map(|(_, assessed)| assessed.ok());
            let context = routing.selection_context(now);
            rank_candidates(candidates, &self.selection_request(), &context)
                .iter()
                .map(|choice| {
                    let load = routing.loads.total(&choice.candidate.server.id);
                    let mut explained = explain_choice(choice);
                    explained["queue_ms"] = load.prefill_ahead_ms(self.route.rank).into();
                    explained["running"] = load.running.into();
                    explained["memory_tokens_in_use"] = load.total_tokens().into();
                    explained
                })
                .collect()
        };
        let others: HashMap<&str, &str> = assessed
            .iter()
            .filter_map(|(server, assessed)| Some((&*server.id, assessed.err()?)))
            .collect();
        json!({ "candidates": candidates, "others": others, "decision": self.explain_decision() })
    }

    fn explain_decision(&self) -> Value {
        if let Some(cause) = self.quarantine_cause() {
            return refusal_decision(&Refusal::new(cause));
        }
        let refusal = match self.try_select(&[], true) {
            Selection::Selected(selected, needs_adapter) => {
                return json!({
                    "kind": "send",
                    "server": selected.server.id,
                    "priority": selected.priority,
                    "expected_ms": millis(selected.expected_latency),
                    "copy_from": selected.copy_from,
                    "loads_adapter": needs_adapter,
                    "needs_permit": selected.permit.is_some(),
                });
            }
            Selection::NoModel => return json!({ "kind": "wait", "for": "a load of the model" }),
            Selection::NoServer if self.may_wait_for_room() => {
                return json!({ "kind": "wait", "for": "room for the adapter" });
            }
            Selection::NoServer if self.names_adapter() => {
                self.retry_later(RefusalCause::NoAdapter)
            }
            Selection::NoServer => self.retry_later(RefusalCause::NoServer),
            Selection::Limited { retry_after } => {
                Refusal::with_retry_after(RefusalCause::Limited, retry_after)
            }
            // The turn that a caller would get is not booked.
            Selection::Overload { expected_latency, room_in } => {
                let refusal = Refusal::with_retry_after(RefusalCause::Overload, room_in);
                let mut decision = refusal_decision(&refusal);
                decision["expected_ms"] = millis(expected_latency).into();
                return decision;
            }
        };
        refusal_decision(&refusal)
    }
}

fn explain_choice(choice: &Choice<'_>) -> Value {
    let (parts, prefix) = (&choice.parts, &choice.prefix);
    json!({
        "server": choice.candidate.server.id,
        "failure_domain": choice.candidate.server.failure_domain,
        "expected_ms": millis(choice.expected_latency),
        "cost_ms": choice.cost_ms,
        "service_ms": parts.service_ms,
        "wait_ms": parts.wait_ms,
        "slowness": parts.slowness,
        "distance_ms": parts.distance_ms,
        "adapter_ms": parts.adapter_ms,
        "failures_ms": parts.failures_ms,
        "batch_ms": parts.batch_ms,
        "connection_ms": parts.connection_ms,
        "prefix": {
            "recorded_tokens": prefix.recorded_tokens,
            "held_tokens": prefix.held_tokens,
            "age_ms": prefix.age.map(millis),
            "saving_ms": choice.saving_ms,
            "copy_from": choice.copy_from.map(|source| &*source.id),
            "memory_wait_ms": prefix.memory_wait_ms,
            "preemption_ms": prefix.preemption_ms,
            "displaced_ms": prefix.displaced_ms,
        },
    })
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
