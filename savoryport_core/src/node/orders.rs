//! Orders to load and unload models and adapters, and the contents of a server's accelerator memory
//! that result from them.
//!
//! A server counts the orders that it accepted, and each order names the count that it expects, as
//! in a compare-and-swap: an order that arrives late, twice or from a former leader meets a
//! different count and has no effect. The leader therefore tracks which contents belong to which
//! count.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::Name;
use crate::node::deployment::EngineClass;

/// An adapter that was requested more recently than this is not evicted.
const MIN_ADAPTER_IDLE: Duration = Duration::from_millis(300);

/// For this long after a server has accepted an unload, a refused order shows no more than that the
/// unload is still in progress. Reading the contents anew would take longer.
const MAX_UNLOAD_TIME: Duration = Duration::from_millis(400);

value! {
    /// An instruction to a server to load or unload a model or an adapter.
    pub enum Order {
        /// Loads a model into accelerator memory.
        LoadModel(Name),
        /// Unloads a model and its adapters.
        UnloadModel(Name),
        /// Loads an adapter of a resident model.
        LoadAdapter {
            /// The model that the adapter belongs to.
            model: Name,
            /// The adapter's name.
            adapter: Name,
        },
        /// Unloads an adapter.
        UnloadAdapter {
            /// The model that the adapter belongs to.
            model: Name,
            /// The adapter's name.
            adapter: Name,
        },
    }
}

impl Order {
    /// Returns the model that is loaded or unloaded, or that the adapter belongs to.
    pub fn model(&self) -> &Name {
        match self {
            Self::LoadModel(model)
            | Self::UnloadModel(model)
            | Self::LoadAdapter { model, .. }
            | Self::UnloadAdapter { model, .. } => model,
        }
    }

    /// Returns the name of the operation in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::LoadModel(_) => "load-model",
            Self::UnloadModel(_) => "unload-model",
            Self::LoadAdapter { .. } => "load-adapter",
            Self::UnloadAdapter { .. } => "unload-adapter",
        }
    }
}

/// A server's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The server executes the order.
    Accepted,
    /// The server is already in the state that the order asks for.
    AlreadyHolds,
    /// Another order is in progress, or the server's count differs from the expected one.
    Conflict,
    /// The server refuses the order, and would refuse it again.
    Rejected,
    /// No answer arrived: the order may have taken effect or may still do so.
    Unanswered,
}

/// A server's report of its contents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The time of the server's start, in Unix milliseconds.
    pub incarnation: u64,
    /// The number of orders that the server accepted since its start.
    pub accepted_orders: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// The models in accelerator memory, with their adapters.
    pub models: BTreeMap<Name, Vec<Name>>,
    /// The adapters that are being loaded, each after its model.
    pub pending_adapters: Vec<(Name, Name)>,
}

/// The reason why an order cannot be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The contents of the server are unknown at present.
    #[error("the contents of the server are unknown")]
    Unknown,
    /// The server is loading or unloading a model.
    #[error("another order is in progress")]
    Busy,
    /// The weights do not fit into the free accelerator memory.
    #[error("not enough free accelerator memory")]
    NoMemory,
    /// The server holds as many adapters as it can.
    #[error("no free adapter slot")]
    NoAdapterSlot,
    /// The model that the order needs is not in accelerator memory or not configured.
    #[error("the model is not resident")]
    ModelNotResident,
}

/// The incarnation before the first report.
const UNKNOWN_INCARNATION: u64 = 0;

/// The contents of one server's accelerator memory, and the count of orders that they belong to.
#[derive(Debug, Clone, Default)]
pub struct EngineContents {
    incarnation: u64,
    /// The count that the contents belong to, if known.
    accepted_orders: Option<u64>,
    /// The number of orders that the server has accepted at least; a report with fewer is stale.
    min_accepted_orders: u64,
    busy_until: Option<Instant>,
    /// When the last unload was accepted, if no report has shown its effect.
    unloading_since: Option<Instant>,
    models: BTreeMap<Name, BTreeMap<Name, AdapterUse>>,
    /// The number of requests in flight, by model.
    requests: BTreeMap<Name, u32>,
    /// When each model was last known to be in use, or when it was first reported.
    used_at: BTreeMap<Name, Instant>,
}

#[derive(Debug, Clone, Copy)]
struct AdapterUse {
    requests: u32,
    last_used: Instant,
}

impl EngineContents {
    /// Replaces the contents by those of a report; returns whether it did. Reports can be stale:
    /// one from before an order that the server is known to have accepted is ignored.
    pub fn apply_report(&mut self, report: &EngineReport, now: Instant) -> bool {
        let is_same_incarnation = report.incarnation == self.incarnation;
        if is_same_incarnation && report.accepted_orders < self.min_accepted_orders {
            return false;
        }
        let unused = AdapterUse { requests: 0, last_used: now };
        let previous = std::mem::take(&mut self.models);
        let usage_of = |model: &Name, adapter: &Name| {
            previous
                .get(model)
                .and_then(|adapters| adapters.get(adapter))
                .copied()
                .unwrap_or(unused)
        };
        for (model, adapters) in &report.models {
            let resident =
                adapters.iter().map(|name| (name.clone(), usage_of(model, name))).collect();
            self.models.insert(model.clone(), resident);
        }
        for (model, adapter) in &report.pending_adapters {
            let adapters = self.models.entry(model.clone()).or_default();
            adapters.insert(adapter.clone(), usage_of(model, adapter));
        }
        let models = &self.models;
        self.used_at.retain(|model, _| models.contains_key(model));
        for model in self.models.keys() {
            self.used_at.entry(model.clone()).or_insert(now);
        }
        self.incarnation = report.incarnation;
        self.accepted_orders = (!report.is_busy).then_some(report.accepted_orders);
        self.min_accepted_orders = report.accepted_orders;
        self.busy_until = None;
        self.unloading_since = None;
        true
    }

    /// Marks the count as unknown; the next order needs a report first.
    pub fn invalidate(&mut self) {
        self.accepted_orders = None;
    }

    /// Returns the count that the next order expects, if it is known.
    pub fn expected_orders(&self) -> Option<u64> {
        self.accepted_orders
    }

    /// Returns the server's incarnation that the contents belong to.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether the contents belong to a known incarnation other than this one.
    pub fn is_other_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation != UNKNOWN_INCARNATION && self.incarnation != incarnation
    }

    /// Returns whether the server is expected to be loading or unloading a model.
    pub fn is_busy(&self, now: Instant) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    /// Returns whether the model is resident or being loaded.
    pub fn holds(&self, model: &str) -> bool {
        self.models.contains_key(model)
    }

    /// Returns whether the adapter is resident or being loaded.
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        self.models.get(model).is_some_and(|adapters| adapters.contains_key(adapter))
    }

    /// Returns the models that are resident or being loaded.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        self.models.keys()
    }

    /// Returns the adapters that are resident or being loaded, each after its model.
    pub fn adapters(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.models.iter().flat_map(|(model, adapters)| adapters.keys().map(move |a| (model, a)))
    }

    /// Returns the free accelerator memory, in MB.
    pub fn free_mb(&self, class: &EngineClass) -> f64 {
        let used: f64 = self
            .models
            .iter()
            .filter_map(|(model, adapters)| {
                let spec = class.models.get(model)?;
                Some(spec.memory_mb + spec.adapter_mb * adapters.len() as f64)
            })
            .sum();
        class.memory_mb - used
    }

    /// Resets the counts of requests to zero, before the current ones are added.
    pub fn clear_uses(&mut self) {
        self.requests.clear();
        for usage in self.models.values_mut().flat_map(BTreeMap::values_mut) {
            usage.requests = 0;
        }
    }

    /// Adds requests that use a model, or an adapter of it.
    pub fn add_use(&mut self, model: &Name, adapter: Option<&str>, requests: u32, now: Instant) {
        *self.requests.entry(model.clone()).or_default() += requests;
        if let Some(used_at) = self.used_at.get_mut(model) {
            *used_at = now;
        }
        let adapters = self.models.get_mut(model);
        let usage = adapter.and_then(|adapter| adapters?.get_mut(adapter));
        if let Some(usage) = usage {
            *usage = AdapterUse { requests: usage.requests + requests, last_used: now };
        }
    }

    /// Returns the number of requests that use a model, as far as nodes have reported them.
    pub fn requests(&self, model: &str) -> u32 {
        self.requests.get(model).copied().unwrap_or(0)
    }

    /// Returns when each model was last in use.
    pub fn used_at(&self) -> &BTreeMap<Name, Instant> {
        &self.used_at
    }

    /// Returns the number of requests that use any adapter.
    pub fn adapter_requests(&self) -> u32 {
        self.models.values().flat_map(BTreeMap::values).map(|usage| usage.requests).sum()
    }

    /// Returns the number of requests in flight, by model.
    pub fn requests_by_model(&self) -> BTreeMap<Name, u32> {
        self.requests.clone()
    }

    /// Checks whether an order can be given: the contents are known, the server is not busy, and a
    /// load fits into its memory and adapter capacity.
    ///
    /// # Errors
    ///
    /// Returns the reason why the order cannot be given.
    pub fn check(
        &self,
        order: &Order,
        class: &EngineClass,
        now: Instant,
    ) -> Result<(), OrderError> {
        if self.accepted_orders.is_none() {
            return Err(OrderError::Unknown);
        }
        if self.is_busy(now) {
            return Err(OrderError::Busy);
        }
        let spec = class.models.get(order.model());
        match order {
            Order::LoadModel(_) => {
                let fits = spec.is_some_and(|spec| spec.memory_mb <= self.free_mb(class));
                if fits { Ok(()) } else { Err(OrderError::NoMemory) }
            }
            Order::LoadAdapter { model, .. } => {
                if !self.holds(model) {
                    Err(OrderError::ModelNotResident)
                } else if self.adapters().count() >= class.adapter_capacity {
                    Err(OrderError::NoAdapterSlot)
                } else if spec.is_some_and(|spec| spec.adapter_mb <= self.free_mb(class)) {
                    Ok(())
                } else {
                    Err(OrderError::NoMemory)
                }
            }
            Order::UnloadModel(_) | Order::UnloadAdapter { .. } => Ok(()),
        }
    }

    /// Returns the adapter to evict for another one, after its model: the least recently used of
    /// those that no request uses.
    pub fn evictable_adapter(&self, now: Instant) -> Option<(Name, Name)> {
        let adapters = self.models.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(move |(adapter, usage)| (model, adapter, usage))
        });
        adapters
            .filter(|(_, _, usage)| usage.requests == 0)
            .filter(|(_, _, usage)| {
                now.saturating_duration_since(usage.last_used) > MIN_ADAPTER_IDLE
            })
            .min_by_key(|(_, _, usage)| usage.last_used)
            .map(|(model, adapter, _)| (model.clone(), adapter.clone()))
    }

    /// Applies the server's answer to an order; `busy_for` is the time for which a model's load or
    /// unload keeps the server busy.
    pub fn apply_answer(
        &mut self,
        order: &Order,
        answer: OrderAnswer,
        busy_for: Duration,
        now: Instant,
    ) {
        match answer {
            OrderAnswer::Accepted => {
                self.count_accepted_order();
                if let Order::UnloadAdapter { model, adapter } = order {
                    // Requests still use the adapter, so the server keeps it until they end.
                    self.add_use(model, Some(adapter), 1, now);
                    return;
                }
                self.update_contents(order, now);
                if matches!(order, Order::LoadModel(_) | Order::UnloadModel(_)) {
                    self.busy_until = Some(now + busy_for);
                }
                self.unloading_since = matches!(order, Order::UnloadModel(_)).then_some(now);
            }
            OrderAnswer::AlreadyHolds => {
                // The server answers an unload that it completes at once in this way, and counts
                // it.
                if matches!(order, Order::UnloadModel(_) | Order::UnloadAdapter { .. }) {
                    self.count_accepted_order();
                }
                self.update_contents(order, now);
            }
            // Sending the same order again is safe: only one of the two meets the expected count.
            OrderAnswer::Unanswered => {}
            OrderAnswer::Conflict if self.is_unloading(now) => {}
            OrderAnswer::Conflict | OrderAnswer::Rejected => self.invalidate(),
        }
    }

    /// Returns whether the server may still be carrying out an unload, and refuses orders for that
    /// reason only.
    fn is_unloading(&self, now: Instant) -> bool {
        self.unloading_since
            .is_some_and(|since| now.saturating_duration_since(since) < MAX_UNLOAD_TIME)
    }

    /// Records that the server has completed its load or unload.
    pub fn clear_busy(&mut self) {
        self.busy_until = None;
    }

    fn count_accepted_order(&mut self) {
        self.accepted_orders = self.accepted_orders.map(|count| count + 1);
        self.min_accepted_orders = self.accepted_orders.unwrap_or(self.min_accepted_orders);
    }

    fn update_contents(&mut self, order: &Order, now: Instant) {
        match order {
            Order::LoadModel(model) => {
                self.models.entry(model.clone()).or_default();
                self.used_at.insert(model.clone(), now);
            }
            Order::UnloadModel(model) => {
                self.models.remove(model);
                self.used_at.remove(model);
            }
            Order::LoadAdapter { model, adapter } => {
                let usage = AdapterUse { requests: 0, last_used: now };
                self.models.entry(model.clone()).or_default().insert(adapter.clone(), usage);
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(adapters) = self.models.get_mut(model) {
                    adapters.remove(adapter);
                }
            }
        }
    }
}
