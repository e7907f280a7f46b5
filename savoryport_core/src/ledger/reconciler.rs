//! Drives one server's ledger and orders, one step at a time.
//!
//! The steward never has more than one step under way. Its owner carries a step out and reports
//! what came of it, or that nothing came; the steward then decides the next one.

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
        /// The model that an adapter belongs to.
        pub base: Option<Name>,
        /// Its memory in MiB.
        pub memory_mib: u32,
    }
}

/// What the steward works towards.
pub struct ReconcileInput<'a> {
    /// The version of the plan.
    pub plan_version: u64,
    /// What the plan wants on the server, a base before its adapters.
    pub items: &'a [WantedItem],
    /// Tells whether an item stays reachable without the copy on this server.
    pub may_unload: &'a dyn Fn(&str) -> bool,
    /// Tells whether a process is known to have ended.
    pub is_gone: &'a dyn Fn(&HolderId) -> bool,
    /// Whether the lease allows to act; without it the steward only settles what it left behind.
    pub may_act: bool,
    /// Whether the weight store has room for another load.
    pub may_load: bool,
}

/// What the steward's owner does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the server's record.
    Read,
    /// Write the record if its revision is still the given one.
    Write {
        /// The new record.
        record: ServerRecord,
        /// The revision that it was made from.
        revision: u64,
    },
    /// Send an order, again if need be.
    Send(Order),
    /// Ask the engine for its state.
    Query,
    /// Nothing is to be done.
    Idle,
}

/// What came of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The record stands, at this revision.
    Written(u64),
    /// Somebody else wrote first.
    Conflict,
    /// No answer came: the write may have taken effect, now or later.
    Unknown,
}

/// What the engine answered to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order was taken; the state follows it.
    Accepted(EngineState),
    /// The engine refused the order, for its fencing number or for lack of memory.
    Refused(EngineState),
}

/// Drives one server.
#[derive(Debug, Clone)]
pub struct Reconciler {
    me: HolderId,
    cached: Option<(ServerRecord, u64)>,
    engine: Option<EngineState>,
    /// Orders sent by this process, by fencing number, with the number of unanswered sendings.
    sent: BTreeMap<u64, u32>,
    refused: Option<u64>,
    /// The revision from which a write without an answer was made; while it stands, that write may
    /// still take effect.
    doubtful_base: Option<u64>,
}

impl Reconciler {
    /// Starts without any knowledge of the server.
    pub fn new(me: HolderId) -> Self {
        Self {
            me,
            cached: None,
            engine: None,
            sent: BTreeMap::new(),
            refused: None,
            doubtful_base: None,
        }
    }

    /// Returns the record as last read or written.
    pub fn record(&self) -> Option<&ServerRecord> {
        self.cached.as_ref().map(|(record, _)| record)
    }

    /// Drops what was read, so that the next step reads again.
    pub fn invalidate(&mut self) {
        self.cached = None;
        self.engine = None;
    }

    /// Drops the engine's state, so that the next step asks again.
    pub fn invalidate_engine_state(&mut self) {
        self.engine = None;
    }

    /// Returns whether an order is under way.
    pub fn has_pending_order(&self) -> bool {
        self.record().is_some_and(|record| record.pending.is_some())
    }

    /// Takes the record as read at a revision.
    pub fn on_read(&mut self, record: ServerRecord, revision: u64) {
        self.cached = Some((record, revision));
        // What the engine said before says nothing about what the record has meanwhile closed.
        self.engine = None;
    }

    /// Takes the answer to a write.
    pub fn on_write(&mut self, record: ServerRecord, answer: WriteResult) {
        let base = self.cached.take().map(|(_, revision)| revision);
        match answer {
            WriteResult::Written(revision) => self.cached = Some((record, revision)),
            WriteResult::Conflict => {}
            WriteResult::Unknown => self.doubtful_base = base,
        }
    }

    /// Notes that an order leaves now.
    pub fn on_order_sent(&mut self, order: &Order) {
        *self.sent.entry(order.fence).or_default() += 1;
    }

    /// Takes the answer to an order; without an answer nothing is reported, and it counts as stray.
    pub fn on_order_response(&mut self, order: &Order, answer: OrderResponse) {
        if let Some(unanswered) = self.sent.get_mut(&order.fence) {
            *unanswered = unanswered.saturating_sub(1);
        }
        match answer {
            OrderResponse::Accepted(state) => self.engine = Some(state),
            OrderResponse::Refused(state) => {
                self.refused = Some(order.fence);
                self.engine = Some(state);
            }
        }
    }

    /// Takes the engine's state, asked for after the last write.
    pub fn on_engine_state(&mut self, state: EngineState) {
        self.engine = Some(state);
    }

    /// Decides the next step.
    pub fn next_step(&mut self, wishes: &ReconcileInput<'_>) -> Step {
        let Some((record, revision)) = self.cached.clone() else { return Step::Read };
        if self.doubtful_base == Some(revision) && wishes.may_act {
            // Writing the record as it stands keeps the doubtful write from taking effect later,
            // when it would no longer tell of what was sent meanwhile.
            return Step::Write { record, revision };
        }
        if let Some(record) = self.give_up_own_strays(&record) {
            return Step::Write { record, revision };
        }
        if !wishes.may_act {
            return Step::Idle;
        }
        if record.holder.as_ref() != Some(&self.me) {
            return Step::Write { record: take_over(record, &self.me), revision };
        }
        let Some(engine) = self.engine.take() else { return Step::Query };
        let settled = self.settle(&record, &engine, wishes);
        if settled != record {
            return Step::Write { record: settled, revision };
        }
        if let Some(order) = &record.pending {
            return Step::Send(order.clone());
        }
        match next_order(&record, &engine, &self.me, wishes) {
            Some(record) => Step::Write { record, revision },
            None => Step::Idle,
        }
    }

    /// Marks what this process left behind when another took over: it will not send it any more.
    fn give_up_own_strays(&self, record: &ServerRecord) -> Option<ServerRecord> {
        let is_mine =
            |stray: &StrayOrder| stray.issuer == self.me && stray.reach == StrayReach::Open;
        let any = record.reservations.iter().flat_map(|r| &r.strays).any(is_mine);
        if !any {
            return None;
        }
        let mut record = record.clone();
        for reservation in &mut record.reservations {
            let is_void = |stray: &StrayOrder| is_mine(stray) && !self.is_unanswered(stray.fence);
            reservation.strays.retain(|stray| !is_void(stray));
            for stray in reservation.strays.iter_mut().filter(|stray| is_mine(stray)) {
                stray.reach = StrayReach::Closed;
            }
        }
        Some(record)
    }

    fn is_unanswered(&self, fence: u64) -> bool {
        self.sent.get(&fence).is_some_and(|unanswered| *unanswered > 0)
    }

    /// Brings the record in line with what the engine says.
    fn settle(
        &mut self,
        record: &ServerRecord,
        engine: &EngineState,
        wishes: &ReconcileInput<'_>,
    ) -> ServerRecord {
        let mut record = record.clone();
        bind_closed_strays(&mut record, engine.incarnation);
        close_strays_of_the_gone(&mut record, wishes.is_gone);
        if record.engine_incarnation != engine.incarnation {
            restart(&mut record, engine.incarnation);
        }
        self.settle_pending(&mut record, engine);
        raise_to_report(&mut record, engine);
        drop_fenced_strays(&mut record, engine);
        release_settled(&mut record);
        record.plan_version = record.plan_version.max(wishes.plan_version);
        record
    }

    fn settle_pending(&mut self, record: &mut ServerRecord, engine: &EngineState) {
        let Some(order) = record.pending.clone() else { return };
        let was_refused = self.refused.take() == Some(order.fence);
        let state = engine.get(&order.item).map(|item| item.state);
        let is_settled = match order.kind {
            OrderKind::Load => state == Some(ItemState::Loaded),
            OrderKind::Unload => state.is_none() && self.sent.contains_key(&order.fence),
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

/// Writes a new holder into the record; what the former one recorded may still arrive.
fn take_over(mut record: ServerRecord, me: &HolderId) -> ServerRecord {
    record.holder = Some(me.clone());
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

fn close_strays_of_the_gone(record: &mut ServerRecord, is_gone: &dyn Fn(&HolderId) -> bool) {
    for stray in record.reservations.iter_mut().flat_map(|r| &mut r.strays) {
        if stray.reach == StrayReach::Open && is_gone(&stray.issuer) {
            stray.reach = StrayReach::Closed;
        }
    }
}

/// Notes which engine process runs after a stray was closed. The state at hand was asked for after
/// the last write of the record, so whatever stood closed there was closed before.
fn bind_closed_strays(record: &mut ServerRecord, incarnation: u64) {
    for stray in record.reservations.iter_mut().flat_map(|r| &mut r.strays) {
        if stray.reach == StrayReach::Closed {
            stray.reach = StrayReach::UpTo(incarnation);
        }
    }
}

/// Notes that the engine is another process: its memory is empty, and bytes under way to the former
/// one cannot reach it.
fn restart(record: &mut ServerRecord, incarnation: u64) {
    record.engine_incarnation = incarnation;
    for reservation in &mut record.reservations {
        let is_past =
            |reach: &StrayReach| matches!(reach, StrayReach::UpTo(seen) if *seen != incarnation);
        reservation.strays.retain(|stray| !is_past(&stray.reach));
        reservation.state = match reservation.state {
            ReservationState::Retained => ReservationState::Retained,
            _ => ReservationState::Reserved,
        };
    }
}

/// A report that contradicts the record raises it, and never lowers it on its own.
fn raise_to_report(record: &mut ServerRecord, engine: &EngineState) {
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
        let is_lost = engine.get(&reservation.item).is_none();
        if is_lost && reservation.state == ReservationState::Loaded {
            reservation.state = ReservationState::Reserved;
        }
    }
}

/// An engine that checks fencing refuses what is older than the highest number that it has seen.
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

fn release_settled(record: &mut ServerRecord) {
    let is_free = |reservation: &Reservation| {
        reservation.state == ReservationState::Retained && reservation.strays.is_empty()
    };
    record.reservations.retain(|reservation| !is_free(reservation));
}

/// Records the next order, or returns `None` where the plan is carried out as far as it can be.
fn next_order(
    record: &ServerRecord,
    engine: &EngineState,
    me: &HolderId,
    wishes: &ReconcileInput<'_>,
) -> Option<ServerRecord> {
    next_unload(record, me, wishes)
        .or_else(|| next_load(record, me, wishes))
        .or_else(|| drop_unwanted_reservation(record, engine, wishes))
}

fn is_wanted(wishes: &ReconcileInput<'_>, item: &str) -> bool {
    wishes.items.iter().any(|wanted| &*wanted.name == item)
}

fn next_unload(
    record: &ServerRecord,
    me: &HolderId,
    wishes: &ReconcileInput<'_>,
) -> Option<ServerRecord> {
    let at = record.reservations.iter().position(|reservation| {
        reservation.state == ReservationState::Loaded
            && !is_wanted(wishes, &reservation.item)
            && (wishes.may_unload)(&reservation.item)
    })?;
    let mut record = record.clone();
    record.fence += 1;
    let fence = record.fence;
    let reservation = &mut record.reservations[at];
    reservation.state = ReservationState::Unloading;
    record.pending = Some(Order {
        fence,
        kind: OrderKind::Unload,
        item: reservation.item.clone(),
        base: None,
        memory_mib: reservation.memory_mib,
        issuer: me.clone(),
    });
    Some(record)
}

fn next_load(
    record: &ServerRecord,
    me: &HolderId,
    wishes: &ReconcileInput<'_>,
) -> Option<ServerRecord> {
    if !wishes.may_load {
        return None;
    }
    let wanted = wishes.items.iter().find(|wanted| {
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
        issuer: me.clone(),
    });
    Some(record)
}

fn fits(record: &ServerRecord, wanted: &WantedItem) -> bool {
    let own = record.get(&wanted.name).map_or(0, |reservation| reservation.memory_mib);
    let others = record.reserved_mib() - own;
    others.saturating_add(own.max(wanted.memory_mib)) <= record.capacity_mib
}

/// Gives back a reservation whose load the engine has lost and the plan no longer wants.
fn drop_unwanted_reservation(
    record: &ServerRecord,
    engine: &EngineState,
    wishes: &ReconcileInput<'_>,
) -> Option<ServerRecord> {
    let is_unwanted = |reservation: &Reservation| {
        reservation.state == ReservationState::Reserved
            && !is_wanted(wishes, &reservation.item)
            && engine.get(&reservation.item).is_none()
    };
    let at = record.reservations.iter().position(is_unwanted)?;
    let mut record = record.clone();
    record.reservations[at].state = ReservationState::Retained;
    release_settled(&mut record);
    Some(record)
}
