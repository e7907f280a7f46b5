//! Decides whether a request that one server failed is sent to another.

use savoryport_core::Name;
use savoryport_core::request_lifecycle::RequestLifecycle;

use super::Context;
use crate::metrics::CauseLabels;

/// The most servers that one request is sent to.
const MAX_SERVERS: u32 = 4;

/// Returns whether a request may be sent to another server, and takes it from the budget if so.
///
/// The table in force is asked again, since an operator may have changed `repeatable` meanwhile.
pub(super) async fn may_retry(
    cx: &Context,
    attempt: &RequestLifecycle,
    item: &Name,
    servers_tried: u32,
    cause: &'static str,
) -> bool {
    let table = cx.fleet.borrow().table.clone();
    let repeatable_now = table.get(item).is_some_and(|row| row.repeatable);
    if servers_tried >= MAX_SERVERS || !attempt.may_retry(repeatable_now) {
        return false;
    }
    let allowed = cx.dispatcher.take_retry().await;
    if allowed {
        cx.metrics.retries.get_or_create(&CauseLabels { cause }).inc();
    }
    allowed
}
