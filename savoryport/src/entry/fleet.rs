//! Keeps a replica of the fleet state up to date by pulling updates from the local control process.
//!
//! While the local control process does not answer, the entry pulls from its peers in turn and
//! keeps the last state that it received.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::rank::Rank;
use savoryport_core::replica::Replica;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::metrics::EntryMetrics;
use crate::rpc::{ControlClient, PullRequest, RpcError};
use crate::settings::Settings;

/// The longest time that one pull waits for an update. Each pull also reports the demand, so this
/// is also the longest interval between two reports.
const PULL_WAIT: Duration = Duration::from_secs(2);

/// The delay before the next pull after one that failed or brought nothing usable.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The weight of an interval of [`PULL_WAIT`] in the moving averages of the demand.
const RATE_WEIGHT: f64 = 0.3;

/// The weight of the latest request in the moving averages of the request duration.
const DURATION_WEIGHT: f64 = 0.05;

/// Demand below this number of slots is dropped.
const MIN_RATE: f64 = 1e-3;

/// The demand for models since the last report, in slot-seconds: the time for which requests occupy
/// a slot of a server.
///
/// Each request counts as the mean duration of its rank when it arrives. Refused requests, which
/// have no duration of their own, count as well, so that a model with too few copies does not
/// appear to be unused.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    state: Arc<Mutex<DemandState>>,
}

#[derive(Debug, Default)]
struct DemandState {
    slot_seconds: HashMap<Name, f64>,
    /// The mean duration of requests in seconds, by the index of the rank.
    mean_seconds: [f64; 3],
}

impl Demand {
    /// Records the arrival of a request.
    pub(super) fn record_arrival(&self, model: &Name, rank: Rank) {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        let seconds = state.mean_seconds[rank.index()];
        *state.slot_seconds.entry(model.clone()).or_default() += seconds;
    }

    /// Records for how long a completed request occupied a slot.
    pub(super) fn record_duration(&self, rank: Rank, duration: Duration) {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        let mean = &mut state.mean_seconds[rank.index()];
        *mean += (duration.as_secs_f64() - *mean) * DURATION_WEIGHT;
    }

    /// Returns the demand in slot-seconds since the last call, by model.
    fn take(&self) -> HashMap<Name, f64> {
        std::mem::take(
            &mut self.state.lock().expect("no thread panics while holding the lock").slot_seconds,
        )
    }
}

/// Starts the task that keeps the replica up to date, and returns a receiver for its latest state.
pub(super) fn follow(
    settings: &Settings,
    demand: Demand,
    metrics: EntryMetrics,
    cancel: CancellationToken,
) -> watch::Receiver<Arc<Replica>> {
    let (tx, rx) = watch::channel(Arc::new(Replica::default()));
    let vm = settings.vm.clone();
    // The local control process comes first because it is the nearest; the peers are used while it
    // restarts.
    let addresses: Vec<String> = std::iter::once(settings.control_listen.clone())
        .chain(settings.peers.iter().cloned())
        .collect();
    let follower = Follower { vm, addresses, demand, metrics, rates: HashMap::new(), tx };
    tokio::spawn(cancel.run_until_cancelled_owned(follower.run()));
    rx
}

struct Follower {
    vm: Name,
    addresses: Vec<String>,
    demand: Demand,
    metrics: EntryMetrics,
    /// The moving average of the demand in slots, by model.
    rates: HashMap<Name, f64>,
    tx: watch::Sender<Arc<Replica>>,
}

impl Follower {
    async fn run(mut self) {
        let mut address_index = 0;
        let mut has_warned = false;
        loop {
            let address = self.addresses[address_index % self.addresses.len()].clone();
            let is_local = address_index.is_multiple_of(self.addresses.len());
            let Err(err) = self.pull_from(&address, is_local).await else {
                // A peer has answered; the local control process may be back by now.
                address_index = 0;
                continue;
            };
            if !has_warned {
                log::warn!(err:%; "control process does not answer; keeping the last known state");
            }
            has_warned = true;
            address_index += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Pulls updates from a control process: from the local one until it fails, from a peer once.
    async fn pull_from(&mut self, address: &str, is_local: bool) -> Result<(), RpcError> {
        let client = ControlClient::connect(address).await?;
        let mut pulled_at = tokio::time::Instant::now();
        loop {
            let interval = pulled_at.elapsed();
            pulled_at = tokio::time::Instant::now();
            let have = self.tx.borrow().versions();
            let req = PullRequest {
                vm: self.vm.clone(),
                have,
                wait_ms: PULL_WAIT.as_millis() as u64,
                demand: Some(self.update_rates(interval)),
                entry: Some(self.metrics.status()),
            };
            let update = client.pull(req).await?;
            if !update.is_empty() {
                let mut replica = (**self.tx.borrow()).clone();
                if replica.merge(update) {
                    self.tx.send_replace(Arc::new(replica));
                } else {
                    // The update held nothing new: the sender has changes beyond its own watermark
                    // and repeats them until the watermark catches up.
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            if !is_local {
                return Ok(());
            }
        }
    }

    /// Adds the demand since the last call to the moving averages and returns these, in slots.
    fn update_rates(&mut self, interval: Duration) -> Vec<(Name, f64)> {
        let seconds = interval.as_secs_f64().max(0.1);
        let weight = (RATE_WEIGHT * seconds / PULL_WAIT.as_secs_f64()).min(1.0);
        for rate in self.rates.values_mut() {
            *rate *= 1.0 - weight;
        }
        for (model, slot_seconds) in self.demand.take() {
            *self.rates.entry(model).or_default() += weight * slot_seconds / seconds;
        }
        self.rates.retain(|_, rate| *rate > MIN_RATE);
        self.rates.iter().map(|(model, rate)| (model.clone(), *rate)).collect()
    }
}
