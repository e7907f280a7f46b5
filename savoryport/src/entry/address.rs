//! Answers "which address?", which is how callers are spread over the entries.
//!
//! Callers of one model are sent to few entries, so that counts and prefix caches are good there;
//! `docs/DESIGN.md` weighs this against a random choice.

use std::time::Duration;

use hyper::StatusCode;
use savoryport_core::entry_selection::choose_entries;
use savoryport_core::fleet::Vm;
use serde_json::json;

use super::Context;
use super::answer::{Answer, Refusal, json_answer};
use super::server::CallerRequest;
use crate::keys;

/// When a caller of a stopping entry may come back elsewhere: at once, but for a breath.
const ELSEWHERE_AFTER: Duration = Duration::from_millis(100);

/// Answers `GET /v1/entry?item=NAME`.
pub(super) async fn answer(cx: &Context, req: &CallerRequest) -> Result<Answer, Refusal> {
    let item = req.query.get("item").map(String::as_str).unwrap_or_default();
    let table = cx.fleet.borrow().table.clone();
    if !item.is_empty() && table.get(item).is_none() {
        let message = format!("no model, adapter or service {item:?}");
        return Err(Refusal::bad(StatusCode::NOT_FOUND, "unknown-item", message));
    }
    let Some(ticket) = cx.dispatcher.issue_ticket().await else {
        return Err(refuse_draining(cx));
    };
    let needs_ticket = table.get(item).is_some_and(|row| !row.repeatable);
    let own = cx.settings.entry_listen.clone();
    // A ticket is good at its home alone, so the caller of such a service comes here.
    let addresses = if needs_ticket { vec![own] } else { entries_for(cx, item) };
    let body = json!({
        "address": addresses[0],
        "addresses": addresses,
        "valid_for_ms": cx.settings.address_lifetime_ms,
        "ticket": ticket.to_string(),
    });
    Ok(json_answer(StatusCode::OK, &body))
}

/// Refuses a request while this entry stops, and names another entry.
pub(super) fn refuse_draining(cx: &Context) -> Refusal {
    let own = cx.settings.entry_listen.as_str();
    let elsewhere = entries_for(cx, "").into_iter().find(|address| address != own);
    Refusal { elsewhere, ..Refusal::later("draining", ELSEWHERE_AFTER) }
}

/// Returns the addresses of the entries for callers of an item, the best first; never none.
fn entries_for(cx: &Context, item: &str) -> Vec<String> {
    let fleet = cx.fleet.borrow();
    let is_draining = |vm: &Vm| {
        let is_self = vm.name == cx.settings.vm;
        vm.leaving
            || fleet.mark(&keys::drain_mark(&vm.name)).is_some()
            || (is_self && cx.is_draining())
    };
    let live: Vec<&Vm> = fleet.vms.entries().filter(|vm| !is_draining(vm)).collect();
    let home = fleet.plan.home_of(item, &fleet.table).map_or(item, |home| home);
    let chosen = choose_entries(home, &cx.settings.region, &live);
    if chosen.is_empty() {
        return vec![cx.settings.entry_listen.clone()];
    }
    chosen.into_iter().map(|vm| vm.address.to_string()).collect()
}
