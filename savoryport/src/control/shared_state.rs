//! State that the tasks of this process share: the replica of the fleet's state, the demand that
//! followers reported, and the status of this VM's entry.
//!
//! One task merges all updates into the replica and publishes it to the other tasks.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::replica::{Mark, Replica, Residency, Update};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::rpc::EntryStatus;

/// How long the demand that a follower reported stays valid.
const DEMAND_TTL: Duration = Duration::from_secs(15);

/// The time of a follower's last report, and the demand in slots by model.
type DemandReport = (Instant, Vec<(Name, f64)>);

/// A handle to the shared state.
#[derive(Clone)]
pub(super) struct SharedState {
    update_tx: mpsc::UnboundedSender<Update>,
    replica_rx: watch::Receiver<Arc<Replica>>,
    follower_demand: Arc<Mutex<HashMap<Name, DemandReport>>>,
    entry_status: Arc<Mutex<Option<EntryStatus>>>,
}

/// Starts the task that merges updates, and returns the handle.
pub(super) fn start(cancel: CancellationToken) -> SharedState {
    let (update_tx, mut update_rx) = mpsc::unbounded_channel::<Update>();
    let (replica_tx, replica_rx) = watch::channel(Arc::new(Replica::default()));
    tokio::spawn(cancel.run_until_cancelled_owned(async move {
        let mut replica = Replica::default();
        while let Some(update) = update_rx.recv().await {
            let mut changed = replica.merge(update);
            // Every follower copies its whole replica for each published change, so all waiting
            // updates are published together.
            while let Ok(update) = update_rx.try_recv() {
                changed |= replica.merge(update);
            }
            if changed {
                replica_tx.send_replace(Arc::new(replica.clone()));
            }
        }
    }));
    SharedState {
        update_tx,
        replica_rx,
        follower_demand: Arc::default(),
        entry_status: Arc::default(),
    }
}

impl SharedState {
    /// Returns the current replica.
    pub(super) fn replica(&self) -> Arc<Replica> {
        self.replica_rx.borrow().clone()
    }

    /// Returns a receiver that is notified of every change of the replica.
    pub(super) fn subscribe(&self) -> watch::Receiver<Arc<Replica>> {
        self.replica_rx.clone()
    }

    /// Merges an update into the replica; parts older than the replica's are ignored.
    pub(super) fn merge(&self, update: Update) {
        // Sending fails only after the task was cancelled at shutdown.
        let _ = self.update_tx.send(update);
    }

    /// Merges the state of one server.
    pub(super) fn merge_residency(&self, server: &Name, residency: Residency) {
        let residency = BTreeMap::from([(server.clone(), residency)]);
        self.merge(Update { residency, ..Update::default() });
    }

    /// Merges a mark.
    pub(super) fn merge_mark(&self, name: &str, mark: Mark) {
        let marks = BTreeMap::from([(name.into(), mark)]);
        self.merge(Update { marks, ..Update::default() });
    }

    /// Records the demand that a follower reported.
    pub(super) fn record_demand(&self, vm: &Name, demand: Vec<(Name, f64)>, now: Instant) {
        self.follower_demand
            .lock()
            .expect("no thread panics while holding the lock")
            .insert(vm.clone(), (now, demand));
    }

    /// Sets the status that the entry of this VM reported.
    pub(super) fn set_entry_status(&self, status: EntryStatus) {
        *self.entry_status.lock().expect("no thread panics while holding the lock") = Some(status);
    }

    /// Returns the last reported status of this VM's entry.
    pub(super) fn entry_status(&self) -> Option<EntryStatus> {
        self.entry_status.lock().expect("no thread panics while holding the lock").clone()
    }

    /// Returns the demand of all followers in slots, by model.
    pub(super) fn total_demand(&self, now: Instant) -> Vec<(Name, f64)> {
        let mut reports =
            self.follower_demand.lock().expect("no thread panics while holding the lock");
        reports
            .retain(|_, (reported_at, _)| now.saturating_duration_since(*reported_at) < DEMAND_TTL);
        let mut total: BTreeMap<Name, f64> = BTreeMap::new();
        for (model, slots) in reports.values().flat_map(|(_, demand)| demand) {
            *total.entry(model.clone()).or_default() += slots;
        }
        total.into_iter().collect()
    }
}
