//! Announces this control process in the key-value service before it acts.
//!
//! The incarnation of a control process is the key-value service's revision of its announcement, so
//! every node sees the successive processes of a VM in the same order. An announcement also shows
//! that earlier processes of the VM have ended, since the announcing process could bind the
//! listening address that they used.

use std::time::Duration;

use savoryport_core::ledger::HolderId;
use savoryport_core::replica::Replica;

use super::Context;
use crate::keys;

/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Announces this process as soon as the platform lists its VM, and returns its identity.
pub(super) async fn announce(cx: &Context) -> HolderId {
    let vm = cx.settings.vm.clone();
    let mark_name = keys::control_mark(&vm);
    loop {
        let vms = cx.state.replica().vms.clone();
        if vms.get(&vm).is_some() {
            // With the version of the list, `is_gone` can tell a VM that was removed from the list
            // from one that a node's older list does not contain yet.
            let list_version = vms.version.to_string();
            if let Ok(Some(incarnation)) =
                cx.kv.set_mark(&cx.state, &mark_name, &list_version).await
            {
                return HolderId { vm, incarnation };
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns whether a control process is known to have ended.
pub(super) fn is_gone(replica: &Replica, holder: &HolderId) -> bool {
    let Some(mark) = replica.marks.get(&*keys::control_mark(&holder.vm)) else { return false };
    if mark.revision > holder.incarnation {
        return true;
    }
    let announced_list_version = mark.value.as_ref().and_then(|value| value.parse::<u64>().ok());
    let has_newer_list =
        announced_list_version.is_some_and(|version| replica.vms.version > version);
    has_newer_list && replica.vms.get(&holder.vm).is_none()
}
