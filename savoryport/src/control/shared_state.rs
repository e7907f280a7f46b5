//! The task that owns what this process knows, and tells the others when it changes.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::replica::{Mark, Replica, Residency, Update};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::rpc::EntryStatus;

/// How long the demand of a follower counts after it was last told.
const DEMAND_LIFETIME: Duration = Duration::from_secs(15);

/// What a follower told: when, and the demand in slots by model.
type Told = (Instant, Vec<(Name, f64)>);

/// The way to the task.
#[derive(Clone)]
pub(super) struct SharedState {
    tx: mpsc::UnboundedSender<Update>,
    rx: watch::Receiver<Arc<Replica>>,
    demand: Arc<Mutex<HashMap<Name, Told>>>,
    entry: Arc<Mutex<Option<EntryStatus>>>,
}

/// Starts the task.
pub(super) fn start(cancel: CancellationToken) -> SharedState {
    let (tx, mut updates) = mpsc::unbounded_channel::<Update>();
    let (publish, rx) = watch::channel(Arc::new(Replica::default()));
    tokio::spawn(cancel.run_until_cancelled_owned(async move {
        let mut replica = Replica::default();
        while let Some(update) = updates.recv().await {
            let mut changed = replica.merge(update);
            // Followers copy the whole replica, so what came together is published once.
            while let Ok(update) = updates.try_recv() {
                changed |= replica.merge(update);
            }
            if changed {
                publish.send_replace(Arc::new(replica.clone()));
            }
        }
    }));
    SharedState { tx, rx, demand: Arc::default(), entry: Arc::default() }
}

impl SharedState {
    /// Returns what is known now.
    pub(super) fn replica(&self) -> Arc<Replica> {
        self.rx.borrow().clone()
    }

    /// Returns a receiver that shows every change.
    pub(super) fn subscribe(&self) -> watch::Receiver<Arc<Replica>> {
        self.rx.clone()
    }

    /// Adds news; what is older than known is ignored.
    pub(super) fn merge(&self, update: Update) {
        // Only a stop ends the task.
        let _ = self.tx.send(update);
    }

    /// Adds the state of one server.
    pub(super) fn merge_residency(&self, server: &Name, residency: Residency) {
        let residency = BTreeMap::from([(server.clone(), residency)]);
        self.merge(Update { residency, ..Update::default() });
    }

    /// Adds a mark.
    pub(super) fn merge_mark(&self, name: &str, mark: Mark) {
        let marks = BTreeMap::from([(name.into(), mark)]);
        self.merge(Update { marks, ..Update::default() });
    }

    /// Notes the demand that a follower told.
    pub(super) fn record_demand(&self, vm: &Name, demand: Vec<(Name, f64)>, now: Instant) {
        self.demand.lock().expect("no holder panics").insert(vm.clone(), (now, demand));
    }

    /// Notes what the entry of this VM counted.
    pub(super) fn set_entry_status(&self, entry: EntryStatus) {
        *self.entry.lock().expect("no holder panics") = Some(entry);
    }

    /// Returns what the entry of this VM counted, as last told.
    pub(super) fn entry_status(&self) -> Option<EntryStatus> {
        self.entry.lock().expect("no holder panics").clone()
    }

    /// Returns the demand of all followers, by model.
    pub(super) fn total_demand(&self, now: Instant) -> Vec<(Name, f64)> {
        let mut told = self.demand.lock().expect("no holder panics");
        told.retain(|_, (at, _)| now.saturating_duration_since(*at) < DEMAND_LIFETIME);
        let mut total: BTreeMap<Name, f64> = BTreeMap::new();
        for (model, rate) in told.values().flat_map(|(_, demand)| demand) {
            *total.entry(model.clone()).or_default() += rate;
        }
        total.into_iter().collect()
    }
}
