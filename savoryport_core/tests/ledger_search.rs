//! Searches interleavings of faults for one that overcommits an accelerator's memory.
//!
//! The checker is the engine's own count of its memory, which shares no code with the ledger. Each
//! seed is one interleaving of pauses, take-overs, lost and late orders, lost answers of writes,
//! late writes, restarts of engines and of control processes. `SAVORYPORT_SEARCH_SEEDS` sets how
//! many seeds are tried, `SAVORYPORT_SEARCH_FIRST` the first.

mod fake_engine;

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::ledger::{
    EngineState, HolderId, Order, OrderResponse, ReconcileInput, Reconciler, ServerRecord, Step,
    WantedItem, WriteResult,
};

use fake_engine::FakeEngine;

/// Seeds tried for each kind of engine; the two together are above 100,000.
const DEFAULT_SEEDS: u64 = 60_000;

/// Steps of one interleaving.
const STEPS: usize = 500;

const CAPACITY_MIB: u32 = 100;

/// Models that fill the memory in pairs, so that a forgotten one overcommits it.
const MODELS: [(&str, u32); 4] = [("a", 60), ("b", 50), ("c", 40), ("d", 30)];

/// A control process, with the one step that it has under way.
struct Control {
    steward: Reconciler,
    /// A step that was decided and not yet carried out: a pause may come in between.
    decided: Option<Step>,
    answer: Option<Answer>,
    believes_in_lease: bool,
}

/// An answer of the engine on its way.
enum Answer {
    State(EngineState),
    Order(Order, OrderResponse),
}

impl Control {
    fn new(vm: usize, incarnation: u64) -> Self {
        let id = HolderId { vm: format!("vm-{vm}").into(), incarnation };
        let steward = Reconciler::new(id);
        Self { steward, decided: None, answer: None, believes_in_lease: false }
    }
}

/// An order on its way to one engine process, over a connection that its sender has given up.
struct LateOrder {
    order: Order,
    engine_incarnation: u64,
}

struct World {
    rng: SmallRng,
    record: ServerRecord,
    revision: u64,
    engine: FakeEngine,
    controls: Vec<Control>,
    /// The control process that has the lease.
    holder: usize,
    /// The latest incarnation of each control process; earlier ones have ended.
    incarnations: Vec<u64>,
    late_orders: Vec<LateOrder>,
    late_writes: Vec<(ServerRecord, u64)>,
    wanted: Vec<WantedItem>,
    plan_version: u64,
    loads_confirmed: u64,
}

impl World {
    fn new(seed: u64, checks_fencing: bool) -> Self {
        let engine = FakeEngine::new(CAPACITY_MIB, checks_fencing);
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            record: ServerRecord::new(CAPACITY_MIB, checks_fencing),
            revision: 1,
            engine,
            controls: (0..3).map(|vm| Control::new(vm, 1)).collect(),
            holder: 0,
            incarnations: vec![1; 3],
            late_orders: Vec::new(),
            late_writes: Vec::new(),
            wanted: Vec::new(),
            plan_version: 1,
            loads_confirmed: 0,
        };
        world.change_plan();
        world.move_lease();
        world
    }

    fn step(&mut self) {
        match self.rng.random_range(0..1_000) {
            0..770 => {
                let is_holder = self.rng.random_bool(0.7);
                let any = self.rng.random_range(0..self.controls.len());
                self.advance(if is_holder { self.holder } else { any });
            }
            770..880 => self.finish_load(),
            880..920 => self.change_plan(),
            920..960 => self.deliver_late_order(),
            960..970 => self.apply_late_write(),
            970..982 => self.move_lease(),
            982..990 => self.notice_lapse(),
            990..996 => self.restart_control(),
            _ => self.restart_engine(),
        }
    }

    fn advance(&mut self, at: usize) {
        if let Some(answer) = self.controls[at].answer.take() {
            // An answer that waited while its receiver was paused.
            return self.deliver(at, answer);
        }
        match self.controls[at].decided.take() {
            // A pause of any length may lie between the decision and this.
            Some(step) => self.carry_out(at, step),
            None => {
                let step = self.decide(at);
                self.controls[at].decided = (step != Step::Idle).then_some(step);
            }
        }
    }

    fn decide(&mut self, at: usize) -> Step {
        let incarnations = self.incarnations.clone();
        let is_gone = |holder: &HolderId| {
            let vm: usize = holder.vm.trim_start_matches("vm-").parse().unwrap();
            holder.incarnation < incarnations[vm]
        };
        let control = &mut self.controls[at];
        let step = control.steward.next_step(&ReconcileInput {
            plan_version: self.plan_version,
            items: &self.wanted,
            may_unload: &|_| true,
            is_gone: &is_gone,
            may_act: control.believes_in_lease,
            may_load: true,
        });
        if step == Step::Idle {
            if control.believes_in_lease {
                control.steward.invalidate_engine_state();
            } else {
                control.steward.invalidate();
            }
        }
        step
    }

    fn carry_out(&mut self, at: usize, step: Step) {
        match step {
            Step::Read => {
                let (record, revision) = (self.record.clone(), self.revision);
                self.controls[at].steward.on_read(record, revision);
            }
            Step::Write { record, revision } => self.write(at, record, revision),
            Step::Send(order) => self.send(at, &order),
            Step::Query => {
                if self.rng.random_bool(0.9) {
                    self.answer(at, Answer::State(self.engine.state()));
                }
            }
            Step::Idle => {}
        }
    }

    fn write(&mut self, at: usize, record: ServerRecord, revision: u64) {
        let fate = self.rng.random_range(0..10);
        if fate == 0 {
            // Not answered, and applied later or never.
            self.late_writes.push((record.clone(), revision));
            self.controls[at].steward.on_write(record, WriteResult::Unknown);
            return;
        }
        let answer = self.apply_write(&record, revision);
        // The answer may be lost after the write took effect.
        let answer = if fate == 1 { WriteResult::Unknown } else { answer };
        self.controls[at].steward.on_write(record, answer);
    }

    fn apply_write(&mut self, record: &ServerRecord, revision: u64) -> WriteResult {
        if revision != self.revision {
            return WriteResult::Conflict;
        }
        self.record = record.clone();
        self.revision += 1;
        WriteResult::Written(self.revision)
    }

    fn send(&mut self, at: usize, order: &Order) {
        self.controls[at].steward.on_order_sent(order);
        match self.rng.random_range(0..10) {
            // Lost or late: the connection was given up, its bytes may still arrive.
            0 | 1 => {
                let engine_incarnation = self.engine.incarnation;
                self.late_orders.push(LateOrder { order: order.clone(), engine_incarnation });
            }
            // Carried out, but the answer is lost; a copy may arrive once more.
            2 => {
                self.engine.carry_out(order);
                let engine_incarnation = self.engine.incarnation;
                self.late_orders.push(LateOrder { order: order.clone(), engine_incarnation });
            }
            _ => {
                let answer = self.engine.carry_out(order);
                self.answer(at, Answer::Order(order.clone(), answer));
            }
        }
    }

    /// An answer arrives at once, or after a pause of its receiver.
    fn answer(&mut self, at: usize, answer: Answer) {
        if self.rng.random_bool(0.3) {
            self.controls[at].answer = Some(answer);
        } else {
            self.deliver(at, answer);
        }
    }

    fn deliver(&mut self, at: usize, answer: Answer) {
        let steward = &mut self.controls[at].steward;
        match answer {
            Answer::State(state) => steward.on_engine_state(state),
            Answer::Order(order, answer) => steward.on_order_response(&order, answer),
        }
    }

    fn finish_load(&mut self) {
        self.loads_confirmed += self.engine.finish_loads();
    }

    fn change_plan(&mut self) {
        self.plan_version += 1;
        let mut free = CAPACITY_MIB;
        self.wanted.clear();
        let start = self.rng.random_range(0..MODELS.len());
        for (name, memory_mib) in MODELS.iter().cycle().skip(start).take(MODELS.len()) {
            if *memory_mib <= free && self.rng.random_bool(0.8) {
                free -= memory_mib;
                let (name, memory_mib) = (Arc::from(*name), *memory_mib);
                self.wanted.push(WantedItem { name, base: None, memory_mib });
            }
        }
    }

    fn deliver_late_order(&mut self) {
        if self.late_orders.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.late_orders.len());
        let is_kept = self.rng.random_bool(0.3);
        let late = &self.late_orders[at];
        // A connection leads to one engine process; a later one never sees its bytes.
        if late.engine_incarnation == self.engine.incarnation {
            let order = late.order.clone();
            self.engine.carry_out(&order);
        }
        if !is_kept {
            self.late_orders.swap_remove(at);
        }
    }

    fn apply_late_write(&mut self) {
        if !self.late_writes.is_empty() {
            let at = self.rng.random_range(0..self.late_writes.len());
            let (record, revision) = self.late_writes.swap_remove(at);
            self.apply_write(&record, revision);
        }
    }

    /// The lease moves; the former holder may believe in it a while longer.
    fn move_lease(&mut self) {
        if self.rng.random_bool(0.5) {
            self.controls[self.holder].believes_in_lease = false;
        }
        self.holder = self.rng.random_range(0..self.controls.len());
        self.controls[self.holder].believes_in_lease = true;
    }

    /// A process that was paused past its lease notices it.
    fn notice_lapse(&mut self) {
        let at = self.rng.random_range(0..self.controls.len());
        self.controls[at].believes_in_lease &= at == self.holder;
    }

    /// A control process ends, whatever it was doing, and another takes its place.
    fn restart_control(&mut self) {
        let at = self.rng.random_range(0..self.controls.len());
        self.incarnations[at] += 1;
        self.controls[at] = Control::new(at, self.incarnations[at]);
    }

    fn restart_engine(&mut self) {
        self.engine.restart();
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn search(checks_fencing: bool) {
    let first = setting("SAVORYPORT_SEARCH_FIRST", 0);
    let seeds = setting("SAVORYPORT_SEARCH_SEEDS", DEFAULT_SEEDS);
    let mut loads = 0;
    for seed in first..first + seeds {
        let mut world = World::new(seed, checks_fencing);
        for step in 0..STEPS {
            world.step();
            assert!(
                !world.engine.overcommitted,
                "seed {seed}, step {step}: engine holds {:?}, ledger {:#?}",
                world.engine.items, world.record
            );
        }
        loads += world.loads_confirmed;
    }
    // A search in which nothing is loaded proves nothing.
    assert!(loads > seeds, "only {loads} loads in {seeds} interleavings");
    println!("{seeds} interleavings from seed {first}, {loads} loads, no overcommitment");
}

#[test]
fn engines_that_check_fencing_are_never_overcommitted() {
    search(true);
}

#[test]
fn engines_that_ignore_fencing_are_never_overcommitted() {
    search(false);
}
