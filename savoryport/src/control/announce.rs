//! Makes this process known before it acts.
//!
//! The incarnation of a control process is the key-value service's revision of its announcement, so
//! two processes of one VM have an order that everybody sees alike: where a later announcement
//! stands, the earlier process has ended, since the later one could take its address.

use std::time::Duration;

use savoryport_core::ledger::HolderId;
use savoryport_core::replica::Replica;

use super::Context;
use crate::keys;

/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Announces this process once the platform lists its VM, and returns its identity.
pub(super) async fn announce(cx: &Context) -> HolderId {
    let vm = cx.settings.vm.clone();
    let name = keys::control_mark(&vm);
    loop {
        let vms = cx.state.replica().vms.clone();
        if vms.get(&vm).is_some() {
            // The version of the list tells a VM that left it from one that had yet to enter.
            let value = vms.version.to_string();
            if let Ok(Some(incarnation)) = cx.kv.set_mark(&cx.state, &name, &value).await {
                return HolderId { vm, incarnation };
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Returns whether a process is known to have ended.
pub(super) fn is_gone(replica: &Replica, holder: &HolderId) -> bool {
    let Some(mark) = replica.marks.get(&*keys::control_mark(&holder.vm)) else { return false };
    if mark.revision > holder.incarnation {
        return true;
    }
    let listed_at = mark.value.as_ref().and_then(|value| value.parse::<u64>().ok());
    let is_later_list = listed_at.is_some_and(|version| replica.vms.version > version);
    is_later_list && replica.vms.get(&holder.vm).is_none()
}
