//! Brings one server's memory in line with the plan, one step at a time.
//!
//! The reconciler never has more than one step in progress. Its caller carries out a step and
//! reports the result, or that there was none; the reconciler then decides on the next step.

use std::collections::BTreeMap;

use smallvec::smallvec;

use super::record::{
    EngineState, HolderId, ItemState, Order, OrderKind, Reservation, ReservationState,
    ServerRecord, StrayOrder, StrayReach,
};
use crate::Name;

value! {
    /// A model or adapter that the plan wants on the server.
    pub struct WantedItem {
        /// Its name.
        pub name: Name,
        /// The model that the adapter belongs to, or `None` for a model.
        pub base: Option<Name>,
        /// The memory that it needs, in MiB.
        pub memory_mib: u32,
    }
}

/// What the plan wants on the server, and what the reconciler is currently permitted to do.
pub struct ReconcileInput<'a> {
    /// The version of the plan.
    pub plan_version: u64,
    /// The models and adapters that the plan wants on the server, each model before its adapters.
    pub items: &'a [WantedItem],
    /// Returns whether an item stays reachable without the copy on this server.
    pub may_unload: &'a dyn Fn(&str) -> bool,
    /// Returns whether a control process is known to have ended.
    pub is_gone: &'a dyn Fn(&HolderId) -> bool,
    /// Whether this process may act under its lease. If not, the reconciler only closes the stray
    /// orders that it left behind.
    pub may_act: bool,
    /// Whether the limit on parallel loads from the weight store permits another load.
    pub may_load: bool,
}

/// What the caller of the reconciler does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the server's record.
    Read,
    /// Write the record if its revision is still the given one.
    Write {
        /// The new record.
        record: ServerRecord,
        /// The revision of the record that the new one is based on.
        revision: u64,
    },
    /// Send an order, or send it again.
    Send(Order),
    /// Ask the engine for its state.
    Query,
    /// There is nothing to do.
    Idle,
}

/// The result of a conditional write of the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The record was written, at this revision.
    Written(u64),
    /// Another process wrote the record first.
    Conflict,
    /// No response arrived: the write may have taken effect, or may still do so.
    Unknown,
}

/// The engine's response to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine accepted the order; its state includes the effect.
    Accepted(EngineState),
    /// The engine refused the order because of its fencing number or for lack of memory.
    Refused(EngineState),
}

/// Reconciles the memory of one server with the plan.
#[derive(Debug, Clone)]
pub struct Reconciler {
    own_id: HolderId,
    cached_record: Option<(ServerRecord, u64)>,
    engine_state: Option<EngineState>,
    /// The number of unanswered transmissions of each order that this process sent, by fencing
    /// number.
    sent_orders: BTreeMap<u64, u32>,
    refused_fence: Option<u64>,
    /// The revision that a write without a response was based on. While the record is still at
    /// this revision, that write may take effect.
    unknown_write_base: Option<u64>,
}

impl Reconciler {
    /// Creates a reconciler that knows nothing of the server yet.
    pub fn new(own_id: HolderId) -> Self {
        Self {
            own_id,
            cached_record: None,
            engine_state: None,
            sent_orders: BTreeMap::new(),
            refused_fence: None,
            unknown_write_base: None,
        }
    }

    /// Returns the record as last read or written.
    pub fn record(&self) -> Option<&ServerRecord> {
        self.cached_record.as_ref().map(|(record, _)| record)
    }

    /// Drops the cached record and engine state, so that the next step reads the record again.
    pub fn invalidate(&mut self) {
        self.cached_record = None;
        self.engine_state = None;
    }

    /// Drops the cached engine state, so that the next step queries the engine again.
    pub fn invalidate_engine_state(&mut self) {
        self.engine_state = None;
    }

    /// Returns whether an order is in progress.
    pub fn has_pending_order(&self) -> bool {
        self.record().is_some_and(|record| record.pending.is_some())
    }

    /// Handles a read of the record at a revision.
    pub fn on_read(&mut self, record: ServerRecord, revision: u64) {
        self.cached_record = Some((record, revision));
        // An engine state from before this read does not cover stray orders that the record has
        // closed since.
        self.engine_state = None;
    }

    /// Handles the result of a write.
    pub fn on_write(&mut self, record: ServerRecord, result: WriteResult) {
        let base = self.cached_record.take().map(|(_, revision)| revision);
        match result {
            WriteResult::Written(revision) => self.cached_record = Some((record, revision)),
            WriteResult::Conflict => {}
            WriteResult::Unknown => self.unknown_write_base = base,
        }
    }

    /// Records that an order is being sent.
    pub fn on_order_sent(&mut self, order: &Order) {
        *self.sent_orders.entry(order.fence).or_default() += 1;
    }

    /// Handles the response to an order. Without a response this is not called, and that
    /// transmission is considered stray.
    pub fn on_order_response(&mut self, order: &Order, response: OrderResponse) {
        if let Some(unanswered) = self.sent_orders.get_mut(&order.fence) {
            *unanswered = unanswered.saturating_sub(1);
        }
        match response {
            OrderResponse::Accepted(state) => self.engine_state = Some(state),
            OrderResponse::Refused(state) => {
                self.refused_fence = Some(order.fence);
                self.engine_state = Some(state);
            }
        }
    }

    /// Handles an engine state that was requested after the last write of the record.
    pub fn on_engine_state(&mut self, state: EngineState) {
        self.engine_state = Some(state);
    }

    /// Decides on the next step.
    pub fn next_step(&mut self, input: &ReconcileInput<'_>) -> Step {
        let Some((record, revision)) = self.cached_record.clone() else { return Step::Read };
        if self.unknown_write_base == Some(revision) && input.may_act {
            // Writing the record unchanged increases its revision, so that the write without a
            // response cannot take effect later: it would not contain what was sent since.
            return Step::Write { record, revision };
        }
        if let Some(record) = self.close_own_strays(&record) {
            return Step::Write { record, revision };
        }
        if !input.may_act {
            return Step::Idle;
        }
        if record.holder.as_ref() != Some(&self.own_id) {
            return Step::Write { record: take_over(record, &self.own_id), revision };
        }
        let Some(engine) = self.engine_state.take() else { return Step::Query };
        let settled = self.apply_engine_state(&record, &engine, input);
        if settled != record {
            return Step::Write { record: settled, revision };
        }
        if let Some(order) = &record.pending {
            return Step::Send(order.clone());
        }
        match record_next_order(&record, &engine, &self.own_id, input) {
            Some(record) => Step::Write { record, revision },
            None => Step::Idle,
        }
    }

    /// Closes the stray orders that this process left behind when another took over, since it will
    /// not send them again. Those without an unanswered transmission are removed.
    fn close_own_strays(&self, record: &ServerRecord) -> Option<ServerRecord> {
        let is_mine =
            |stray: &StrayOrder| stray.issuer == self.own_id && stray.reach == StrayReach::Open;
        let has_own_open_stray = record.reservations.iter().flat_map(|r| &r.strays).any(is_mine);
        if !has_own_open_stray {
            return None;
        }
        let mut record = record.clone();
        for reservation in &mut record.reservations {
            let is_answered =
                |stray: &StrayOrder| is_mine(stray) && !self.is_unanswered(stray.fence);
            reservation.strays.retain(|stray| !is_answered(stray));
            for stray in reservation.strays.iter_mut().filter(|stray| is_mine(stray)) {
                stray.reach = StrayReach::Closed;
            }
        }
        Some(record)
    }

    fn is_unanswered(&self, fence: u64) -> bool {
        self.sent_orders.get(&fence).is_some_and(|unanswered| *unanswered > 0)
    }

    /// Returns the record updated with the engine's state.
    fn apply_engine_state(
        &mut self,
        record: &ServerRecord,
        engine: &EngineState,
        input: &ReconcileInput<'_>,
    ) -> ServerRecord {
        let mut record = record.clone();
        bound_closed_strays(&mut record, engine.incarnation);
        close_strays_of_ended_issuers(&mut record, input.is_gone);
        if record.engine_incarnation != engine.incarnation {
            apply_engine_restart(&mut record, engine.incarnation);
        }
        self.resolve_pending_order(&mut record, engine);
        apply_reported_items(&mut record, engine);
        drop_fenced_strays(&mut record, engine);
        release_unneeded(&mut record);
        record.plan_version = record.plan_version.max(input.plan_version);
        record
    }

    fn resolve_pending_order(&mut self, record: &mut ServerRecord, engine: &EngineState) {
        let Some(order) = record.pending.clone() else { return };
        let was_refused = self.refused_fence.take() == Some(order.fence);
        let state = engine.get(&order.item).map(|item| item.state);
        let is_settled = match order.kind {
            OrderKind::Load => state == Some(ItemState::Loaded),
            OrderKind::Unload => state.is_none() && self.sent_orders.contains_key(&order.fence),
        };
        if !is_settled && !was_refused {
            return;
        }
        record.pending = None;
        let in_doubt = order.kind == OrderKind::Load && self.is_unanswered(order.fence);
        let Some(reservation) = record.get_mut(&order.item) else { return };
        if in_doubt {
            let (fence, issuer) = (order.fence, order.issuer.clone());
            reservation.strays.push(StrayOrder { fence, issuer, reach: StrayReach::Closed });
        }
        reservation.state = match state {
            Some(ItemState::Loaded) => ReservationState::Loaded,
            Some(ItemState::Loading) => ReservationState::Reserved,
            None => ReservationState::Retained,
        };
    }
}

/// Makes a process the holder of the record. A load order of the former holder may still arrive and
/// becomes a stray.
fn take_over(mut record: ServerRecord, own_id: &HolderId) -> ServerRecord {
    record.holder = Some(own_id.clone());
    record.fence += 1;
    let Some(order) = record.pending.take() else { return record };
    let Some(reservation) = record.get_mut(&order.item) else { return record };
    match order.kind {
        OrderKind::Load => {
            let stray =
                StrayOrder { fence: order.fence, issuer: order.issuer, reach: StrayReach::Open };
            reservation.strays.push(stray);
        }
        OrderKind::Unload => reservation.state = ReservationState::Loaded,
    }
    record
}

fn close_strays_of_ended_issuers(record: &mut ServerRecord, is_gone: &dyn Fn(&HolderId) -> bool) {
    for stray in record.reservations.iter_mut().flat_map(|r| &mut r.strays) {
        if stray.reach == StrayReach::Open && is_gone(&stray.issuer) {
            stray.reach = StrayReach::Closed;
        }
    }
}

/// Limits closed stray orders to the engine process that is running now and earlier ones.
///
/// The engine's state was requested after the last write of the record, so the orders that are
/// closed in the record were closed before that process reported.
fn bound_closed_strays(record: &mut ServerRecord, incarnation: u64) {
    for stray in record.reservations.iter_mut().flat_map(|r| &mut r.strays) {
        if stray.reach == StrayReach::Closed {
            stray.reach = StrayReach::UpTo(incarnation);
        }
    }
}

/// Updates the record for another engine process: its memory is empty, and bytes in transit to an
/// earlier process cannot reach it.
fn apply_engine_restart(record: &mut ServerRecord, incarnation: u64) {
    record.engine_incarnation = incarnation;
    for reservation in &mut record.reservations {
        let is_unreachable =
            |reach: &StrayReach| matches!(reach, StrayReach::UpTo(seen) if *seen != incarnation);
        reservation.strays.retain(|stray| !is_unreachable(&stray.reach));
        reservation.state = match reservation.state {
            ReservationState::Retained => ReservationState::Retained,
            _ => ReservationState::Reserved,
        };
    }
}

/// Updates the record with the items that the engine reports. A report alone never releases memory.
fn apply_reported_items(record: &mut ServerRecord, engine: &EngineState) {
    for item in &engine.items {
        let found = match item.state {
            ItemState::Loaded => ReservationState::Loaded,
            ItemState::Loading => ReservationState::Reserved,
        };
        match record.get_mut(&item.name) {
            Some(reservation) => {
                reservation.memory_mib = reservation.memory_mib.max(item.memory_mib);
                if reservation.state != ReservationState::Unloading {
                    reservation.state = found;
                }
            }
            None => record.reservations.push(Reservation {
                item: item.name.clone(),
                memory_mib: item.memory_mib,
                state: found,
                strays: smallvec![],
            }),
        }
    }
    for reservation in &mut record.reservations {
        let is_missing = engine.get(&reservation.item).is_none();
        if is_missing && reservation.state == ReservationState::Loaded {
            reservation.state = ReservationState::Reserved;
        }
    }
}

/// Removes stray orders that the engine will refuse: an engine that checks fencing refuses orders
/// below the highest number that it has seen.
fn drop_fenced_strays(record: &mut ServerRecord, engine: &EngineState) {
    if !record.checks_fencing {
        return;
    }
    let is_refused = |stray: &StrayOrder| {
        stray.reach == StrayReach::UpTo(engine.incarnation) && stray.fence < engine.highest_fence
    };
    for reservation in &mut record.reservations {
        reservation.strays.retain(|stray| !is_refused(stray));
    }
}

fn release_unneeded(record: &mut ServerRecord) {
    let is_unneeded = |reservation: &Reservation| {
        reservation.state == ReservationState::Retained && reservation.strays.is_empty()
    };
    record.reservations.retain(|reservation| !is_unneeded(reservation));
}

/// Returns the record with the next order or release, or `None` if the plan is carried out as far
/// as is possible now.
fn record_next_order(
    record: &ServerRecord,
    engine: &EngineState,
    own_id: &HolderId,
    input: &ReconcileInput<'_>,
) -> Option<ServerRecord> {
    record_next_unload(record, own_id, input)
        .or_else(|| record_next_load(record, own_id, input))
        .or_else(|| release_unwanted(record, engine, input))
}

fn is_wanted(input: &ReconcileInput<'_>, item: &str) -> bool {
    input.items.iter().any(|wanted| &*wanted.name == item)
}

fn record_next_unload(
    record: &ServerRecord,
    own_id: &HolderId,
    input: &ReconcileInput<'_>,
) -> Option<ServerRecord> {
    let index = record.reservations.iter().position(|reservation| {
        reservation.state == ReservationState::Loaded
            && !is_wanted(input, &reservation.item)
            && (input.may_unload)(&reservation.item)
    })?;
    let mut record = record.clone();
    record.fence += 1;
    let fence = record.fence;
    let reservation = &mut record.reservations[index];
    reservation.state = ReservationState::Unloading;
    record.pending = Some(Order {
        fence,
        kind: OrderKind::Unload,
        item: reservation.item.clone(),
        base: None,
        memory_mib: reservation.memory_mib,
        issuer: own_id.clone(),
    });
    Some(record)
}

fn record_next_load(
    record: &ServerRecord,
    own_id: &HolderId,
    input: &ReconcileInput<'_>,
) -> Option<ServerRecord> {
    if !input.may_load {
        return None;
    }
    let wanted = input.items.iter().find(|wanted| {
        let has_base = wanted.base.as_ref().is_none_or(|base| record.is_loaded(base));
        has_base && !record.is_loaded(&wanted.name) && fits(record, wanted)
    })?;
    let mut record = record.clone();
    record.fence += 1;
    let fence = record.fence;
    match record.get_mut(&wanted.name) {
        Some(reservation) => {
            reservation.state = ReservationState::Reserved;
            reservation.memory_mib = reservation.memory_mib.max(wanted.memory_mib);
        }
        None => record.reservations.push(Reservation {
            item: wanted.name.clone(),
            memory_mib: wanted.memory_mib,
            state: ReservationState::Reserved,
            strays: smallvec![],
        }),
    }
    record.pending = Some(Order {
        fence,
        kind: OrderKind::Load,
        item: wanted.name.clone(),
        base: wanted.base.clone(),
        memory_mib: wanted.memory_mib,
        issuer: own_id.clone(),
    });
    Some(record)
}

fn fits(record: &ServerRecord, wanted: &WantedItem) -> bool {
    let already_reserved = record.get(&wanted.name).map_or(0, |reservation| reservation.memory_mib);
    let others = record.reserved_mib() - already_reserved;
    others.saturating_add(already_reserved.max(wanted.memory_mib)) <= record.capacity_mib
}

/// Releases the reservation of an item that the engine does not have and the plan no longer wants.
/// It stays retained while a stray order could still load the item.
fn release_unwanted(
    record: &ServerRecord,
    engine: &EngineState,
    input: &ReconcileInput<'_>,
) -> Option<ServerRecord> {
    let is_unwanted = |reservation: &Reservation| {
        reservation.state == ReservationState::Reserved
            && !is_wanted(input, &reservation.item)
            && engine.get(&reservation.item).is_none()
    };
    let index = record.reservations.iter().position(is_unwanted)?;
    let mut record = record.clone();
    record.reservations[index].state = ReservationState::Retained;
    release_unneeded(&mut record);
    Some(record)
}
