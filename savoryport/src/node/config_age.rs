//! Keeps track of how old a node's knowledge of the configuration is, by which it decides whether it
//! may accept keys. `savoryport_core::node::config_age` decides.

use std::sync::MutexGuard;
use std::time::{Duration, Instant};

use savoryport_core::node::config_age::{ConfigAge, ConfigAgeReport, StoreReading};

use super::context::NodeContext;

/// Records that the store, asked at a moment of [`NodeContext::lease_clock`], had no configuration
/// that is not in force by now. `era` is the number of the store's history.
pub(super) fn confirm_config(cx: &NodeContext, asked_at: Instant, era: u64) {
    let version = cx.fleet.view().version();
    let is_leader = cx.controllers.leads_any();
    lock(cx).confirm_by_store(StoreReading { asked_at, version, era, is_leader });
}

/// Takes over what another node knows, which was asked at `asked_at` and had this version in force.
pub(super) fn confirm_config_of_peer(
    cx: &NodeContext,
    version: u64,
    report: Option<ConfigAgeReport>,
    asked_at: Instant,
) {
    let own_version = cx.fleet.view().version();
    lock(cx).confirm_by_peer(own_version, version, report, asked_at);
}

/// Takes over the version that a calling node has, and the era of the store that it trusts.
pub(super) fn record_caller(cx: &NodeContext, version: u64, era: Option<u64>) {
    let own_version = cx.fleet.view().version();
    lock(cx).record_caller(own_version, version, era);
}

/// Returns the era of the store that this node trusts, for the nodes that it calls.
pub(super) fn trusted_era(cx: &NodeContext) -> Option<u64> {
    needs_age(cx).then(|| lock(cx).trusted_era()).flatten()
}

/// Returns the age of this node's knowledge, for other nodes; none where nobody asks for it.
pub(super) fn config_age_report(cx: &NodeContext) -> Option<ConfigAgeReport> {
    needs_age(cx).then(|| lock(cx).report(cx.lease_clock.now())).flatten()
}

/// Returns the time since the configuration in force was known to be the newest one, in
/// milliseconds.
pub(super) fn config_age_ms(cx: &NodeContext) -> Option<u64> {
    lock(cx).age(cx.lease_clock.now()).map(|age| age.as_millis() as u64)
}

/// Returns whether the age of the configuration matters: other deployments exchange none.
fn needs_age(cx: &NodeContext) -> bool {
    cx.settings.key_withdrawal_ms != 0 && has_teams(cx)
}

/// Returns whether the configuration in force names teams.
pub(super) fn has_teams(cx: &NodeContext) -> bool {
    cx.fleet.view().deployment().is_some_and(|deployment| deployment.teams.is_some())
}

/// Returns whether keys may be accepted: none of them can have been withdrawn for longer than the
/// operators allow. The answer holds for the configuration in force at the call and later ones, so
/// the call comes before the configuration is read.
pub(super) fn confirms_keys(cx: &NodeContext) -> bool {
    let limit = Duration::from_millis(cx.settings.key_withdrawal_ms);
    limit.is_zero() || lock(cx).allows_keys(limit, cx.lease_clock.now())
}

fn lock(cx: &NodeContext) -> MutexGuard<'_, ConfigAge> {
    cx.config_age.lock().expect("no thread panics while holding the lock")
}
