//! Takes and keeps leases on groups of servers.
//!
//! A group is a failure domain, or the right to make plans. Which leases are free is seen in the
//! marks that everybody has anyway, so only holders call the key-value service regularly.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::lease::Lease;
use savoryport_core::ledger::HolderId;
use savoryport_core::replica::Mark;
use savoryport_platform::kv::{LeaseId, PutAnswer};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Context;
use crate::keys;

/// How often leases are looked at.
const PERIOD: Duration = Duration::from_millis(500);

/// How long a lease must be free before a process of another failure domain takes it.
const FOREIGN_DELAY: Duration = Duration::from_secs(2);

/// How much the delays of different processes differ, so that not all try at once.
const JITTER: Duration = Duration::from_secs(1);

/// The groups held by this process, and until when it may act for them.
#[derive(Debug, Clone)]
pub(super) struct Held {
    groups: BTreeSet<Name>,
    id: Option<LeaseId>,
    lease: Lease,
}

/// What the other tasks see of it.
pub(super) type HeldReceiver = watch::Receiver<Arc<Held>>;

impl Held {
    /// Returns whether this process may act for a group now.
    pub(super) fn may_act(&self, group: &str, now: Instant) -> bool {
        self.groups.contains(group) && self.lease.may_act(now)
    }

    /// Returns the groups.
    pub(super) fn groups(&self) -> &BTreeSet<Name> {
        &self.groups
    }
}

/// Starts the task.
pub(super) fn start(cx: &Context, me: HolderId, cancel: CancellationToken) -> HeldReceiver {
    let lease = Lease::new(Duration::from_millis(cx.settings.lease_ttl_ms));
    let held = Held { groups: BTreeSet::new(), id: None, lease };
    let (tx, rx) = watch::channel(Arc::new(held.clone()));
    let task = LeaseTask { cx: cx.clone(), me, held, free_since: BTreeMap::new(), tx };
    tokio::spawn(cancel.run_until_cancelled_owned(task.run()));
    rx
}

/// Ends the lease at a stop, so that others need not wait for it to lapse.
pub(super) async fn release(cx: &Context, held: &HeldReceiver) {
    let id = held.borrow().id;
    if let Some(id) = id {
        let _ = cx.platform.revoke(id).await;
    }
}

struct LeaseTask {
    cx: Context,
    me: HolderId,
    held: Held,
    /// Since when a group's lease is seen free.
    free_since: BTreeMap<Name, Instant>,
    tx: watch::Sender<Arc<Held>>,
}

impl LeaseTask {
    async fn run(mut self) {
        let renewal = Duration::from_millis(self.cx.settings.lease_ttl_ms) / 3;
        let mut renewed_at = self.cx.clock.now();
        loop {
            let now = self.cx.clock.now();
            if self.held.id.is_some() && now - renewed_at >= renewal {
                renewed_at = now;
                self.renew(now).await;
            }
            for group in self.wanted(now) {
                self.acquire(&group).await;
            }
            self.publish();
            tokio::time::sleep(PERIOD).await;
        }
    }

    fn publish(&self) {
        self.cx.metrics.leases_held.set(self.held.groups.len() as i64);
        self.tx.send_replace(Arc::new(self.held.clone()));
    }

    async fn renew(&mut self, now: Instant) {
        let Some(id) = self.held.id else { return };
        match self.cx.platform.keep_alive(id).await {
            Ok(true) => self.held.lease.on_renewed(now),
            Ok(false) => {
                log::warn!(groups = self.held.groups.len(); "leases lapsed");
                self.held.lease.on_lost();
                self.held.groups.clear();
                self.held.id = None;
            }
            // The lease may stand; what is held is acted on until its own time is over.
            Err(_) => {}
        }
    }

    /// Returns the groups whose leases are free and should be taken now.
    fn wanted(&mut self, now: Instant) -> Vec<Name> {
        let replica = self.cx.hub.replica();
        let own = &self.cx.settings.failure_domain;
        let mut groups: BTreeSet<Name> =
            replica.vms.engines().map(|vm| vm.failure_domain.clone()).collect();
        if !groups.is_empty() {
            groups.insert(keys::PLANNER_GROUP.into());
        }
        let is_free = |group: &&Name| replica.mark(&keys::lease_mark(group)).is_none();
        let free: BTreeSet<Name> = groups
            .iter()
            .filter(is_free)
            .filter(|g| !self.held.groups.contains(*g))
            .cloned()
            .collect();
        self.free_since.retain(|group, _| free.contains(group));
        let mut wanted = Vec::new();
        for group in free {
            let delay = if group == *own { Duration::ZERO } else { self.foreign_delay() };
            let since = *self.free_since.entry(group.clone()).or_insert(now);
            if now - since >= delay {
                wanted.push(group);
            }
        }
        wanted
    }

    /// The more groups a process holds, the longer it leaves others to somebody else.
    fn foreign_delay(&self) -> Duration {
        let jitter = JITTER.mul_f64(rand::random());
        FOREIGN_DELAY * (1 + self.held.groups.len() as u32) + jitter
    }

    async fn acquire(&mut self, group: &Name) {
        let asked_at = self.cx.clock.now();
        let Some(id) = self.lease_id(asked_at).await else { return };
        let name = keys::lease_mark(group);
        let value = self.identity();
        // A write without an answer is settled by the marks: the key shows whose it is.
        match self
            .cx
            .platform
            .put_if(&keys::mark_key(&name), value.clone().into(), 0, Some(id))
            .await
        {
            Ok(PutAnswer::Written(revision)) => {
                log::info!(group = &**group; "lease taken");
                self.held.groups.insert(group.clone());
                let value = Some(value.into());
                self.cx.hub.add_mark(&name, Mark { revision, value });
            }
            Ok(PutAnswer::Conflict) => {
                self.free_since.remove(group);
                self.adopt(group).await;
            }
            Err(_) => drop(self.free_since.remove(group)),
        }
    }

    /// Recognises a lease whose write took effect although its answer was lost.
    async fn adopt(&mut self, group: &Name) {
        let name = keys::lease_mark(group);
        let Ok(Some(entry)) = self.cx.platform.get(&keys::mark_key(&name)).await else { return };
        let value = String::from_utf8_lossy(&entry.value).into_owned();
        if value == self.identity() {
            log::info!(group = &**group; "lease taken by a write whose answer was lost");
            self.held.groups.insert(group.clone());
        }
        self.cx.hub.add_mark(&name, Mark { revision: entry.revision, value: Some(value.into()) });
    }

    /// Names this process and its lease: a former process of this VM has another incarnation.
    fn identity(&self) -> String {
        let lease = self.held.id.unwrap_or_default();
        format!("{}~{}~{lease}", self.me.vm, self.me.incarnation)
    }

    async fn lease_id(&mut self, asked_at: Instant) -> Option<LeaseId> {
        if self.held.id.is_none() {
            let time_to_live = Duration::from_millis(self.cx.settings.lease_ttl_ms);
            self.held.lease.on_acquire_sent();
            match self.cx.platform.grant_lease(time_to_live).await {
                Ok(id) => {
                    self.held.lease.on_acquired(asked_at);
                    self.held.id = Some(id);
                }
                Err(_) => self.held.lease.on_lost(),
            }
        }
        self.held.id
    }
}
