//! Tests of single sequences of steps of the reconciler, including failures found by
//! `ledger_search.rs`.

use savoryport_core::ledger::{
    EngineItem, EngineState, HolderId, ItemState, Order, OrderKind, OrderResponse, ReconcileInput,
    Reconciler, ServerRecord, Step, WantedItem, WriteResult,
};

const CAPACITY_MIB: u32 = 100;

fn own_id() -> HolderId {
    HolderId { vm: "vm-1".into(), incarnation: 1 }
}

fn wanted_item(name: &str, memory_mib: u32) -> WantedItem {
    WantedItem { name: name.into(), base: None, memory_mib }
}

fn next_step(reconciler: &mut Reconciler, items: &[WantedItem], may_unload: bool) -> Step {
    reconciler.next_step(&ReconcileInput {
        plan_version: 1,
        items,
        may_unload: &|_| may_unload,
        is_gone: &|_| false,
        may_act: true,
        may_load: true,
    })
}

fn engine_state(incarnation: u64, loaded: &[&str]) -> EngineState {
    let item =
        |name: &&str| EngineItem { name: (*name).into(), memory_mib: 60, state: ItemState::Loaded };
    let items = loaded.iter().map(item).collect();
    EngineState { incarnation, highest_fence: 0, items, draining: false }
}

/// A reconciler for one server whose engine ignores fencing, with the revision of its record.
struct Fixture {
    reconciler: Reconciler,
    revision: u64,
    may_unload: bool,
}

impl Fixture {
    fn new() -> Self {
        let mut reconciler = Reconciler::new(own_id());
        reconciler.on_read(ServerRecord::new(CAPACITY_MIB, false), 1);
        Self { reconciler, revision: 1, may_unload: true }
    }

    /// Carries out writes and queries, and returns the first other step.
    fn run_writes_and_queries(&mut self, items: &[WantedItem], state: &EngineState) -> Step {
        for _ in 0..20 {
            match next_step(&mut self.reconciler, items, self.may_unload) {
                Step::Write { record, revision } => {
                    assert_eq!(revision, self.revision);
                    self.revision += 1;
                    self.reconciler.on_write(record, WriteResult::Written(self.revision));
                }
                Step::Query => self.reconciler.on_engine_state(state.clone()),
                step => return step,
            }
        }
        panic!("the reconciler keeps writing and querying");
    }

    fn run_until_order(&mut self, items: &[WantedItem], state: &EngineState) -> Order {
        match self.run_writes_and_queries(items, state) {
            Step::Send(order) => order,
            step => panic!("expected an order, got {step:?}"),
        }
    }
}

#[test]
fn an_order_is_sent_only_after_its_reservation_is_written() {
    let mut fixture = Fixture::new();
    let order = fixture.run_until_order(&[wanted_item("a", 60)], &engine_state(1, &[]));
    assert_eq!((order.kind, &*order.item), (OrderKind::Load, "a"));
    let record = fixture.reconciler.record().unwrap();
    assert_eq!(record.reserved_mib(), 60);
    assert_eq!(record.pending.as_ref(), Some(&order));
}

#[test]
fn an_unanswered_order_keeps_its_reservation_after_an_engine_restart() {
    // Found by `ledger_search.rs` at seed 8010.
    let mut fixture = Fixture::new();
    let order = fixture.run_until_order(&[wanted_item("a", 60)], &engine_state(1, &[]));
    // The order gets no response, and the engine is restarted. The new engine process may still
    // receive that order late.
    fixture.reconciler.on_order_sent(&order);
    let resent = fixture.run_until_order(&[wanted_item("a", 60)], &engine_state(2, &[]));
    fixture.reconciler.on_order_sent(&resent);
    fixture.reconciler.on_order_response(&resent, OrderResponse::Accepted(engine_state(2, &["a"])));
    assert_eq!(
        fixture.run_writes_and_queries(&[wanted_item("a", 60)], &engine_state(2, &["a"])),
        Step::Idle
    );
    // The model is unloaded, but the late order may still load it again.
    let unload = fixture.run_until_order(&[], &engine_state(2, &["a"]));
    fixture.reconciler.on_order_sent(&unload);
    fixture.reconciler.on_order_response(&unload, OrderResponse::Accepted(engine_state(2, &[])));
    fixture.run_writes_and_queries(&[wanted_item("b", 60)], &engine_state(2, &[]));
    let record = fixture.reconciler.record().unwrap();
    assert_eq!(record.retained_mib(), 60);
    assert!(record.get("b").is_none(), "{record:?}");
}

#[test]
fn no_order_is_sent_while_an_unanswered_write_may_take_effect() {
    // Found by `ledger_search.rs` at seed 3420847: a late write took effect that marked the order
    // as settled, although the order had been sent again since.
    let mut fixture = Fixture::new();
    let items = [wanted_item("a", 60)];
    let order = fixture.run_until_order(&items, &engine_state(1, &[]));
    fixture.reconciler.on_order_sent(&order);
    fixture.reconciler.on_order_response(&order, OrderResponse::Accepted(engine_state(1, &["a"])));
    let (before, revision) = (fixture.reconciler.record().unwrap().clone(), fixture.revision);
    let Step::Write { record, .. } = next_step(&mut fixture.reconciler, &items, true) else {
        panic!("expected a write that settles the order");
    };
    fixture.reconciler.on_write(record, WriteResult::Unknown);
    assert_eq!(next_step(&mut fixture.reconciler, &items, true), Step::Read);
    fixture.reconciler.on_read(before.clone(), revision);
    // The record is written unchanged, so that the unanswered write cannot take effect later.
    assert_eq!(
        next_step(&mut fixture.reconciler, &items, true),
        Step::Write { record: before, revision }
    );
}

#[test]
fn a_copy_is_unloaded_only_if_another_one_stays() {
    let mut fixture = Fixture { may_unload: false, ..Fixture::new() };
    assert_eq!(fixture.run_writes_and_queries(&[], &engine_state(1, &["a"])), Step::Idle);
    fixture.may_unload = true;
    fixture.reconciler.invalidate_engine_state();
    assert_eq!(fixture.run_until_order(&[], &engine_state(1, &["a"])).kind, OrderKind::Unload);
}

#[test]
fn the_reconciler_is_idle_without_the_lease() {
    let mut reconciler = Reconciler::new(own_id());
    reconciler.on_read(ServerRecord::new(CAPACITY_MIB, true), 1);
    let items = [wanted_item("a", 60)];
    let step = reconciler.next_step(&ReconcileInput {
        plan_version: 1,
        items: &items,
        may_unload: &|_| true,
        is_gone: &|_| false,
        may_act: false,
        may_load: true,
    });
    assert_eq!(step, Step::Idle);
}
