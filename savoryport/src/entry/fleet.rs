//! Follows the local control process, and keeps the last news while it is gone.

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

/// The longest wait for news; demand is told at least this often.
const PULL_WAIT: Duration = Duration::from_secs(2);

/// The pause before a control process that gave no answer is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The weight of the latest interval in the rates.
const RATE_WEIGHT: f64 = 0.3;

/// The weight of the latest request in the usual lengths.
const LENGTH_WEIGHT: f64 = 0.05;

/// Rates below this are forgotten, in slots.
const MIN_RATE: f64 = 1e-3;

/// The demand for models since it was last told, in seconds of a server's slot.
///
/// A refused request has no length of its own; it counts for what requests of its rank usually take,
/// so that a model without enough copies is not taken for one that nobody asks for.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    state: Arc<Mutex<DemandState>>,
}

#[derive(Debug, Default)]
struct DemandState {
    slot_seconds: HashMap<Name, f64>,
    usual_seconds: [f64; 3],
}

impl Demand {
    /// Counts a request when it arrives.
    pub(super) fn note_arrival(&self, model: &Name, rank: Rank) {
        let mut state = self.state.lock().expect("no holder panics");
        let seconds = state.usual_seconds[rank.index()];
        *state.slot_seconds.entry(model.clone()).or_default() += seconds;
    }

    /// Notes how long a request took a slot.
    pub(super) fn note_length(&self, rank: Rank, length: Duration) {
        let mut state = self.state.lock().expect("no holder panics");
        let usual = &mut state.usual_seconds[rank.index()];
        *usual += (length.as_secs_f64() - *usual) * LENGTH_WEIGHT;
    }

    fn take(&self) -> HashMap<Name, f64> {
        std::mem::take(&mut self.state.lock().expect("no holder panics").slot_seconds)
    }
}

/// Starts the task that follows the control process.
pub(super) fn follow(
    settings: &Settings,
    demand: Demand,
    metrics: EntryMetrics,
    cancel: CancellationToken,
) -> watch::Receiver<Arc<Replica>> {
    let (tx, rx) = watch::channel(Arc::new(Replica::default()));
    let vm = settings.vm.clone();
    // The local control first: it is as near as can be. Peers serve while it restarts.
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
    rates: HashMap<Name, f64>,
    tx: watch::Sender<Arc<Replica>>,
}

impl Follower {
    async fn run(mut self) {
        let mut next = 0;
        let mut was_cut_off = false;
        loop {
            let address = self.addresses[next % self.addresses.len()].clone();
            let is_local = next.is_multiple_of(self.addresses.len());
            let Err(err) = self.follow_one(&address, is_local).await else {
                // A peer answered for a while; the local control may be back.
                next = 0;
                continue;
            };
            if !was_cut_off {
                log::warn!(err:%; "control does not answer; going on with what is known");
            }
            was_cut_off = true;
            next += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Follows one control process until it fails; a peer only for one answer.
    async fn follow_one(&mut self, address: &str, is_local: bool) -> Result<(), RpcError> {
        let client = ControlClient::connect(address).await?;
        let mut asked_at = tokio::time::Instant::now();
        loop {
            let interval = asked_at.elapsed();
            asked_at = tokio::time::Instant::now();
            let have = self.tx.borrow().versions();
            let req = PullRequest {
                vm: self.vm.clone(),
                have,
                wait_ms: PULL_WAIT.as_millis() as u64,
                demand: Some(self.rates(interval)),
                entry: Some(self.metrics.status()),
            };
            let update = client.pull(req).await?;
            if !update.is_empty() {
                let mut replica = (**self.tx.borrow()).clone();
                if replica.merge(update) {
                    self.tx.send_replace(Arc::new(replica));
                } else {
                    // The other knows something beyond its own watermark; it will come level.
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            if !is_local {
                return Ok(());
            }
        }
    }

    fn rates(&mut self, interval: Duration) -> Vec<(Name, f64)> {
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
