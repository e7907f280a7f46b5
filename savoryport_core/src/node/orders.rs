//! What a server's accelerator holds as its order giver knows it, exact to the order.
//!
//! A server counts the orders that it accepted, and an order names the count that it expects. So the
//! server compares and swaps: an order that arrives late, twice or from a former holder finds another
//! count and does nothing. What is needed here is to know the contents that belong to a count.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::Name;
use crate::node::deployment::EngineClass;

/// An adapter that was asked for this recently is not displaced.
const ADAPTER_KEEP: Duration = Duration::from_millis(300);

value! {
    /// What a server is told to do.
    pub enum Order {
        /// Bring a model into accelerator memory.
        LoadModel(Name),
        /// Drop a model and its adapters.
        UnloadModel(Name),
        /// Bring an adapter of a resident model into memory.
        LoadAdapter {
            /// The model.
            model: Name,
            /// The adapter.
            adapter: Name,
        },
        /// Drop an adapter.
        UnloadAdapter {
            /// The model.
            model: Name,
            /// The adapter.
            adapter: Name,
        },
    }
}

impl Order {
    /// Returns the model that the order is about.
    pub fn model(&self) -> &Name {
        match self {
            Self::LoadModel(model)
            | Self::UnloadModel(model)
            | Self::LoadAdapter { model, .. }
            | Self::UnloadAdapter { model, .. } => model,
        }
    }

    /// Returns the word used in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::LoadModel(_) => "load-model",
            Self::UnloadModel(_) => "unload-model",
            Self::LoadAdapter { .. } => "load-adapter",
            Self::UnloadAdapter { .. } => "unload-adapter",
        }
    }
}

/// What a server said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// What was ordered already holds.
    AlreadyHolds,
    /// Another order is in progress, or its count differs.
    Conflict,
    /// It refuses the order for good.
    Rejected,
    /// No answer came: the order may take effect now or later.
    Unanswered,
}

/// What a server reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The time of its start in Unix milliseconds.
    pub incarnation: u64,
    /// Orders that it accepted since its start.
    pub accepted_orders: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Models in memory, with their adapters.
    pub models: BTreeMap<Name, Vec<Name>>,
    /// Adapters on their way, with their models.
    pub pending_adapters: Vec<(Name, Name)>,
}

/// Why an order is not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The contents of the server are not known at present.
    #[error("the server's contents are not known")]
    Unknown,
    /// The server is carrying out a load or an unload of a model.
    #[error("another order is in progress")]
    Busy,
    /// The weights would not fit.
    #[error("no memory left")]
    NoMemory,
    /// Every place for adapters is taken.
    #[error("no place for another adapter")]
    NoAdapterSlot,
    /// The adapter's model is not there.
    #[error("the model is not resident")]
    ModelNotResident,
}

/// The incarnation before the first report.
const UNKNOWN_INCARNATION: u64 = 0;

/// The contents of one server at a known count of orders.
#[derive(Debug, Clone, Default)]
pub struct EngineContents {
    incarnation: u64,
    accepted_orders: Option<u64>,
    /// The server has accepted at least so many orders; a report with fewer is an old one.
    floor: u64,
    busy_until: Option<Instant>,
    models: BTreeMap<Name, BTreeMap<Name, AdapterUse>>,
    /// Requests under way by model.
    requests: BTreeMap<Name, u32>,
}

#[derive(Debug, Clone, Copy)]
struct AdapterUse {
    requests: u32,
    last_used: Instant,
}

impl EngineContents {
    /// Takes a report, which replaces everything; returns whether it did. Reports lag, so one from
    /// before an order that the server is known to have accepted tells nothing.
    pub fn apply_report(&mut self, report: &EngineReport, now: Instant) -> bool {
        let is_same_start = report.incarnation == self.incarnation;
        if is_same_start && report.accepted_orders < self.floor {
            return false;
        }
        let fresh = AdapterUse { requests: 0, last_used: now };
        let known = std::mem::take(&mut self.models);
        let use_of = |model: &Name, adapter: &Name| {
            known.get(model).and_then(|adapters| adapters.get(adapter)).copied().unwrap_or(fresh)
        };
        for (model, adapters) in &report.models {
            let held = adapters.iter().map(|name| (name.clone(), use_of(model, name))).collect();
            self.models.insert(model.clone(), held);
        }
        for (model, adapter) in &report.pending_adapters {
            let adapters = self.models.entry(model.clone()).or_default();
            adapters.insert(adapter.clone(), use_of(model, adapter));
        }
        self.incarnation = report.incarnation;
        self.accepted_orders = (!report.is_busy).then_some(report.accepted_orders);
        self.floor = report.accepted_orders;
        self.busy_until = None;
        true
    }

    /// Forgets what the count is; the next order needs a report first.
    pub fn invalidate(&mut self) {
        self.accepted_orders = None;
    }

    /// Returns the count that the next order expects, if the contents are known.
    pub fn expected_orders(&self) -> Option<u64> {
        self.accepted_orders
    }

    /// Returns the incarnation that the contents belong to.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether the contents are those of another start of the server than this one.
    pub fn is_other_incarnation(&self, incarnation: u64) -> bool {
        self.incarnation != UNKNOWN_INCARNATION && self.incarnation != incarnation
    }

    /// Returns whether the server carries out a load or an unload.
    pub fn is_busy(&self, now: Instant) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    /// Returns whether the model is, or is about to be, in memory.
    pub fn holds(&self, model: &str) -> bool {
        self.models.contains_key(model)
    }

    /// Returns whether the adapter is, or is about to be, in memory.
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        self.models.get(model).is_some_and(|adapters| adapters.contains_key(adapter))
    }

    /// Returns the models in memory.
    pub fn models(&self) -> impl Iterator<Item = &Name> {
        self.models.keys()
    }

    /// Returns the adapters in memory with their models.
    pub fn adapters(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.models.iter().flat_map(|(model, adapters)| adapters.keys().map(move |a| (model, a)))
    }

    /// Returns the memory that is left, in MB.
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

    /// Forgets how many requests use each copy, before the present uses are noted.
    pub fn clear_uses(&mut self) {
        self.requests.clear();
        for usage in self.models.values_mut().flat_map(BTreeMap::values_mut) {
            usage.requests = 0;
        }
    }

    /// Notes that a model, or an adapter of it, is used by so many more requests.
    pub fn add_use(&mut self, model: &Name, adapter: Option<&str>, requests: u32, now: Instant) {
        *self.requests.entry(model.clone()).or_default() += requests;
        let adapters = self.models.get_mut(model);
        let usage = adapter.and_then(|adapter| adapters?.get_mut(adapter));
        if let Some(usage) = usage {
            *usage = AdapterUse { requests: usage.requests + requests, last_used: now };
        }
    }

    /// Returns how many requests use a model, as far as nodes have told.
    pub fn requests(&self, model: &str) -> u32 {
        self.requests.get(model).copied().unwrap_or(0)
    }

    /// Returns how many requests use an adapter.
    pub fn adapter_requests(&self) -> u32 {
        self.models.values().flat_map(BTreeMap::values).map(|usage| usage.requests).sum()
    }

    /// Returns the requests under way by model.
    pub fn requests_by_model(&self) -> BTreeMap<Name, u32> {
        self.requests.clone()
    }

    /// Checks an order against the server's memory and places.
    ///
    /// # Errors
    ///
    /// Returns what is in the way.
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

    /// Returns the adapter that makes way for another: the one unused for longest.
    pub fn evictable_adapter(&self, now: Instant) -> Option<(Name, Name)> {
        let all = self.models.iter().flat_map(|(model, adapters)| {
            adapters.iter().map(move |(adapter, usage)| (model, adapter, usage))
        });
        all.filter(|(_, _, usage)| usage.requests == 0)
            .filter(|(_, _, usage)| now.saturating_duration_since(usage.last_used) > ADAPTER_KEEP)
            .min_by_key(|(_, _, usage)| usage.last_used)
            .map(|(model, adapter, _)| (model.clone(), adapter.clone()))
    }

    /// Takes the server's answer; `busy_for` is how long a load of a model is expected to take.
    pub fn apply_answer(
        &mut self,
        order: &Order,
        answer: OrderAnswer,
        busy_for: Duration,
        now: Instant,
    ) {
        match answer {
            OrderAnswer::Accepted => {
                self.count_order();
                if let Order::UnloadAdapter { model, adapter } = order {
                    // Requests still use it, so it keeps its place until they end.
                    self.add_use(model, Some(adapter), 1, now);
                    return;
                }
                self.take_effect(order, now);
                if matches!(order, Order::LoadModel(_) | Order::UnloadModel(_)) {
                    self.busy_until = Some(now + busy_for);
                }
            }
            OrderAnswer::AlreadyHolds => {
                // An unload that is done at once is answered like this and counts.
                if matches!(order, Order::UnloadModel(_) | Order::UnloadAdapter { .. }) {
                    self.count_order();
                }
                self.take_effect(order, now);
            }
            // The same order again settles it: only one of the two finds the expected count.
            OrderAnswer::Unanswered => {}
            OrderAnswer::Conflict | OrderAnswer::Rejected => self.invalidate(),
        }
    }

    /// Notes that the server is done with its load or unload.
    pub fn clear_busy(&mut self) {
        self.busy_until = None;
    }

    fn count_order(&mut self) {
        self.accepted_orders = self.accepted_orders.map(|count| count + 1);
        self.floor = self.accepted_orders.unwrap_or(self.floor);
    }

    fn take_effect(&mut self, order: &Order, now: Instant) {
        match order {
            Order::LoadModel(model) => {
                self.models.entry(model.clone()).or_default();
            }
            Order::UnloadModel(model) => {
                self.models.remove(model);
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
