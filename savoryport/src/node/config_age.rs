//! Keeps track of how old a node's knowledge of the configuration is, by which it decides whether it
//! may accept keys. `savoryport_core::node::config_age` decides.

use std::sync::MutexGuard;
use std::time::{Duration, Instant};

use savoryport_core::node::config_age::ConfigAge;

use super::context::NodeContext;

/// Records that the store had no newer configuration than the one in force at a moment of
/// [`NodeContext::lease_clock`].
pub(super) fn confirm_config(cx: &NodeContext, current_at: Instant) {
    lock(cx).confirm(current_at);
}

/// Takes over what another node knows, which was asked at `asked_at` and had this version in force.
/// It says nothing of an older version that this node still has.
pub(super) fn confirm_config_of_peer(
    cx: &NodeContext,
    version: u64,
    age_ms: Option<u64>,
    asked_at: Instant,
) {
    let Some(age) = age_ms.map(Duration::from_millis) else { return };
    if cx.fleet.view().version() >= version
        && let Some(current_at) = asked_at.checked_sub(age)
    {
        confirm_config(cx, current_at);
    }
}

/// Returns the age of this node's knowledge, for other nodes.
pub(super) fn config_age_ms(cx: &NodeContext) -> Option<u64> {
    // Rounded up, so that the other node does not take it for more recent than it is.
    lock(cx).age(cx.lease_clock.now()).map(|age| age.as_millis() as u64 + 1)
}

/// Returns whether keys may be accepted: none of them can have been withdrawn for longer than the
/// operators allow.
pub(super) fn confirms_keys(cx: &NodeContext) -> bool {
    let limit = Duration::from_millis(cx.settings.key_withdrawal_ms);
    limit.is_zero() || lock(cx).allows_keys(limit, cx.lease_clock.now())
}

fn lock(cx: &NodeContext) -> MutexGuard<'_, ConfigAge> {
    cx.config_age.lock().expect("no thread panics while holding the lock")
}
