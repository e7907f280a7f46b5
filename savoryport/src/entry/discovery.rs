//! Tells callers which entries to use, so that the load is distributed over the entries.
//!
//! Callers of one model are sent to only a few entries, so that these have accurate load
//! measurements and know which prefixes are cached; `docs/DESIGN.md` compares this to a random
//! choice.

use std::time::Duration;

use hyper::StatusCode;
use savoryport_core::entry_selection::choose_entries;
use savoryport_core::fleet::Vm;
use serde_json::json;

use super::Context;
use super::response::{CallerResponse, Refusal, json_response};
use super::server::CallerRequest;
use crate::keys;

/// The delay after which a caller refused by a draining entry may retry at another entry. It is
/// short because the other entry can accept the request at once.
const OTHER_ENTRY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Handles `GET /v1/entry?item=NAME`, where `item` is a model, adapter or service and may be left
/// out.
pub(super) async fn handle(cx: &Context, req: &CallerRequest) -> Result<CallerResponse, Refusal> {
    let item = req.query.get("item").map(String::as_str).unwrap_or_default();
    let table = cx.fleet.borrow().table.clone();
    if !item.is_empty() && table.get(item).is_none() {
        let message = format!("no model, adapter or service {item:?}");
        return Err(Refusal::invalid(StatusCode::NOT_FOUND, "unknown-item", message));
    }
    let Some(ticket) = cx.dispatcher.issue_ticket().await else {
        return Err(refuse_draining(cx));
    };
    let needs_ticket = table.get(item).is_some_and(|row| !row.repeatable);
    let own_address = cx.settings.entry_listen.clone();
    // Only the entry that issued a ticket accepts it, so the caller has to use this one.
    let addresses = if needs_ticket { vec![own_address] } else { entry_addresses(cx, item) };
    let body = json!({
        "address": addresses[0],
        "addresses": addresses,
        "valid_for_ms": cx.settings.address_lifetime_ms,
        "ticket": ticket.to_string(),
    });
    Ok(json_response(StatusCode::OK, &body))
}

/// Returns the refusal of a request while this entry is draining, with the address of another entry
/// if there is one.
pub(super) fn refuse_draining(cx: &Context) -> Refusal {
    let own_address = cx.settings.entry_listen.as_str();
    let other_entry = entry_addresses(cx, "").into_iter().find(|address| address != own_address);
    Refusal { other_entry, ..Refusal::retry_later("draining", OTHER_ENTRY_RETRY_AFTER) }
}

/// Returns the addresses of the entries that callers of an item should use, the best first. The
/// list is never empty: without any other choice it holds this entry.
fn entry_addresses(cx: &Context, item: &str) -> Vec<String> {
    let fleet = cx.fleet.borrow();
    let is_leaving = |vm: &Vm| {
        let is_self = vm.name == cx.settings.vm;
        vm.leaving
            || fleet.mark(&keys::drain_mark(&vm.name)).is_some()
            || (is_self && cx.is_draining())
    };
    let accepting: Vec<&Vm> = fleet.vms.entries().filter(|vm| !is_leaving(vm)).collect();
    let home_server = fleet.plan.home_of(item, &fleet.table).map_or(item, |home| home);
    let selected = choose_entries(home_server, &cx.settings.region, &accepting);
    if selected.is_empty() {
        return vec![cx.settings.entry_listen.clone()];
    }
    selected.into_iter().map(|vm| vm.address.to_string()).collect()
}
