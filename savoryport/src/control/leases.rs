//! Acquires and renews leases on groups.
//!
//! A group is either the servers of a failure domain or the planner, whose holder computes the
//! plan. A process finds free leases in its replicated marks, so only holders call the key-value
//! service regularly.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::lease::Lease;
use savoryport_core::ledger::HolderId;
use savoryport_core::replica::Mark;
use savoryport_platform::kv::{LeaseId, PutResult};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Context;
use crate::keys;

/// How often the task checks for free leases and due renewals.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// How long a lease must be free before a process of another failure domain that holds no group
/// acquires it.
const OTHER_DOMAIN_DELAY: Duration = Duration::from_secs(2);

/// The maximum random addition to the delay, so that not all processes try at the same time.
const MAX_JITTER: Duration = Duration::from_secs(1);

/// The groups whose leases this process holds, and the time until which it may act for them.
#[derive(Debug, Clone)]
pub(super) struct HeldLeases {
    groups: BTreeSet<Name>,
    /// The lease in the key-value service that the keys of all held groups are attached to.
    kv_lease_id: Option<LeaseId>,
    lease: Lease,
}

/// Gives the other tasks read access to the held leases.
pub(super) type HeldLeasesReceiver = watch::Receiver<Arc<HeldLeases>>;

impl HeldLeases {
    /// Returns whether this process may act for a group at the given time.
    pub(super) fn may_act(&self, group: &str, now: Instant) -> bool {
        self.groups.contains(group) && self.lease.may_act(now)
    }

    /// Returns the groups whose leases this process holds.
    pub(super) fn groups(&self) -> &BTreeSet<Name> {
        &self.groups
    }
}

/// Starts the task that acquires and renews leases.
pub(super) fn start(
    cx: &Context,
    own_id: HolderId,
    cancel: CancellationToken,
) -> HeldLeasesReceiver {
    let lease = Lease::new(Duration::from_millis(cx.settings.lease_ttl_ms));
    let held = HeldLeases { groups: BTreeSet::new(), kv_lease_id: None, lease };
    let (held_tx, rx) = watch::channel(Arc::new(held.clone()));
    let task = LeaseTask { cx: cx.clone(), own_id, held, free_since: BTreeMap::new(), held_tx };
    tokio::spawn(cancel.run_until_cancelled_owned(task.run()));
    rx
}

/// Revokes the lease at shutdown, so that other processes do not have to wait for it to expire.
pub(super) async fn release(cx: &Context, held_leases: &HeldLeasesReceiver) {
    let id = held_leases.borrow().kv_lease_id;
    if let Some(id) = id {
        let _ = cx.kv.revoke(id).await;
    }
}

struct LeaseTask {
    cx: Context,
    own_id: HolderId,
    held: HeldLeases,
    /// When this process first saw each free lease, by group.
    free_since: BTreeMap<Name, Instant>,
    held_tx: watch::Sender<Arc<HeldLeases>>,
}

impl LeaseTask {
    async fn run(mut self) {
        let renewal_period = Duration::from_millis(self.cx.settings.lease_ttl_ms) / 3;
        let mut renewed_at = self.cx.clock.now();
        loop {
            let now = self.cx.clock.now();
            if self.held.kv_lease_id.is_some() && now - renewed_at >= renewal_period {
                renewed_at = now;
                self.renew(now).await;
            }
            for group in self.groups_to_acquire(now) {
                self.acquire(&group).await;
            }
            self.publish();
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }

    fn publish(&self) {
        self.cx.metrics.leases_held.set(self.held.groups.len() as i64);
        self.held_tx.send_replace(Arc::new(self.held.clone()));
    }

    async fn renew(&mut self, now: Instant) {
        let Some(id) = self.held.kv_lease_id else { return };
        match self.cx.kv.keep_alive(id).await {
            Ok(true) => self.held.lease.on_renewed(now),
            Ok(false) => {
                log::warn!(groups = self.held.groups.len(); "leases expired");
                self.held.lease.on_lost();
                self.held.groups.clear();
                self.held.kv_lease_id = None;
            }
            // The lease may still exist, so this process may act until its local time limit.
            Err(_) => {}
        }
    }

    /// Returns the groups whose leases are free and should be acquired now.
    fn groups_to_acquire(&mut self, now: Instant) -> Vec<Name> {
        let replica = self.cx.state.replica();
        let own_domain = &self.cx.settings.failure_domain;
        let mut groups: BTreeSet<Name> =
            replica.vms.engines().map(|vm| vm.failure_domain.clone()).collect();
        if !groups.is_empty() {
            groups.insert(keys::PLANNER_GROUP.into());
        }
        let is_free = |group: &&Name| replica.mark(&keys::lease_mark(group)).is_none();
        let free: BTreeSet<Name> = groups
            .iter()
            .filter(is_free)
            .filter(|group| !self.held.groups.contains(*group))
            .cloned()
            .collect();
        self.free_since.retain(|group, _| free.contains(group));
        let mut due = Vec::new();
        for group in free {
            let delay =
                if group == *own_domain { Duration::ZERO } else { self.other_domain_delay() };
            let free_since = *self.free_since.entry(group.clone()).or_insert(now);
            if now - free_since >= delay {
                due.push(group);
            }
        }
        due
    }

    /// Returns the delay before acquiring a group of another failure domain. It increases with the
    /// number of held groups, so that processes with fewer groups come first.
    fn other_domain_delay(&self) -> Duration {
        let jitter = MAX_JITTER.mul_f64(rand::random());
        OTHER_DOMAIN_DELAY * (1 + self.held.groups.len() as u32) + jitter
    }

    async fn acquire(&mut self, group: &Name) {
        let sent_at = self.cx.clock.now();
        let Some(id) = self.ensure_lease(sent_at).await else { return };
        let mark_name = keys::lease_mark(group);
        let value = self.mark_value();
        // A write whose response is lost may still take effect; the key then has this process's own
        // value.
        match self
            .cx
            .kv
            .put_if(&keys::mark_key(&mark_name), value.clone().into(), 0, Some(id))
            .await
        {
            Ok(PutResult::Written(revision)) => {
                log::info!(group = &**group; "acquired the lease");
                self.held.groups.insert(group.clone());
                let value = Some(value.into());
                self.cx.state.merge_mark(&mark_name, Mark { revision, value });
            }
            Ok(PutResult::Conflict) => {
                self.free_since.remove(group);
                self.adopt_own_lease(group).await;
            }
            Err(_) => drop(self.free_since.remove(group)),
        }
    }

    /// Adds the group if the conflicting value is this process's own: an earlier write took effect
    /// although its response was lost.
    async fn adopt_own_lease(&mut self, group: &Name) {
        let mark_name = keys::lease_mark(group);
        let Ok(Some(entry)) = self.cx.kv.get(&keys::mark_key(&mark_name)).await else { return };
        let value = String::from_utf8_lossy(&entry.value).into_owned();
        if value == self.mark_value() {
            log::info!(group = &**group; "acquired the lease by a write whose response was lost");
            self.held.groups.insert(group.clone());
        }
        self.cx
            .state
            .merge_mark(&mark_name, Mark { revision: entry.revision, value: Some(value.into()) });
    }

    /// Returns the value that identifies this process and its lease in a lease's mark. It contains
    /// the incarnation, because an earlier process of this VM has the same VM name.
    fn mark_value(&self) -> String {
        let lease_id = self.held.kv_lease_id.unwrap_or_default();
        format!("{}~{}~{lease_id}", self.own_id.vm, self.own_id.incarnation)
    }

    /// Returns the id of the lease, which is granted first if there is none.
    async fn ensure_lease(&mut self, sent_at: Instant) -> Option<LeaseId> {
        if self.held.kv_lease_id.is_none() {
            let time_to_live = Duration::from_millis(self.cx.settings.lease_ttl_ms);
            self.held.lease.on_acquire_sent();
            match self.cx.kv.grant_lease(time_to_live).await {
                Ok(id) => {
                    self.held.lease.on_acquired(sent_at);
                    self.held.kv_lease_id = Some(id);
                }
                Err(_) => self.held.lease.on_lost(),
            }
        }
        self.held.kv_lease_id
    }
}
