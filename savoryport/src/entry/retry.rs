//! Decides whether a request that failed on one server is sent to another.

use savoryport_core::Name;
use savoryport_core::request_lifecycle::RequestLifecycle;

use super::Context;
use crate::metrics::CauseLabels;

/// The maximum number of servers that one request is sent to.
const MAX_SERVERS: u32 = 4;

/// Returns whether a request may be sent to another server; if so, takes the retry from the budget.
///
/// Looks up `repeatable` in the current table, since an operator may have changed it since the
/// request arrived.
pub(super) async fn acquire_retry(
    cx: &Context,
    lifecycle: &RequestLifecycle,
    item: &Name,
    servers_tried: u32,
    cause: &'static str,
) -> bool {
    let table = cx.fleet.borrow().table.clone();
    let repeatable_now = table.get(item).is_some_and(|row| row.repeatable);
    if servers_tried >= MAX_SERVERS || !lifecycle.may_retry(repeatable_now) {
        return false;
    }
    let allowed = cx.dispatcher.try_take_retry().await;
    if allowed {
        cx.metrics.retries.get_or_create(&CauseLabels { cause }).inc();
    }
    allowed
}
