//! Searches interleavings of faults for one that overcommits an accelerator's memory.
//!
//! The check uses the fake engine's own accounting of its memory, which shares no code with the
//! ledger. Each seed is one interleaving of paused processes, takeovers, lost and late orders, lost
//! write responses, late writes, and restarts of engines and control processes.
//! `SAVORYPORT_SEARCH_SEEDS` sets the number of seeds and `SAVORYPORT_SEARCH_FIRST` the first seed.

mod fake_engine;

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::ledger::{
    EngineState, HolderId, Order, OrderResponse, ReconcileInput, Reconciler, ServerRecord, Step,
    WantedItem, WriteResult,
};

use fake_engine::FakeEngine;

/// The number of seeds for each kind of engine. Both kinds together exceed 100,000.
const DEFAULT_SEEDS: u64 = 60_000;

/// The number of steps of one interleaving.
const STEPS: usize = 500;

const CAPACITY_MIB: u32 = 100;

/// Models of which any two need most of the memory, so that it is soon overcommitted if the ledger
/// lacks a loaded model.
const MODELS: [(&str, u32); 4] = [("a", 60), ("b", 50), ("c", 40), ("d", 30)];

/// A control process with at most one step in progress.
struct ControlProcess {
    reconciler: Reconciler,
    /// A step that was decided on but not carried out yet; a pause may lie in between.
    pending_step: Option<Step>,
    delayed_response: Option<EngineResponse>,
    assumes_lease: bool,
}

/// A response of the engine in transit.
enum EngineResponse {
    State(EngineState),
    Order(Order, OrderResponse),
}

impl ControlProcess {
    fn new(vm: usize, incarnation: u64) -> Self {
        let id = HolderId { vm: format!("vm-{vm}").into(), incarnation };
        let reconciler = Reconciler::new(id);
        Self { reconciler, pending_step: None, delayed_response: None, assumes_lease: false }
    }
}

/// An order in transit to one engine process, over a connection that its sender has abandoned.
struct LateOrder {
    order: Order,
    engine_incarnation: u64,
}

struct Simulation {
    rng: SmallRng,
    record: ServerRecord,
    revision: u64,
    engine: FakeEngine,
    processes: Vec<ControlProcess>,
    /// The control process that has the lease.
    lease_holder: usize,
    /// The latest incarnation of each control process; earlier ones have ended.
    incarnations: Vec<u64>,
    late_orders: Vec<LateOrder>,
    late_writes: Vec<(ServerRecord, u64)>,
    wanted_items: Vec<WantedItem>,
    plan_version: u64,
    completed_loads: u64,
}

impl Simulation {
    fn new(seed: u64, checks_fencing: bool) -> Self {
        let engine = FakeEngine::new(CAPACITY_MIB, checks_fencing);
        let mut sim = Self {
            rng: SmallRng::seed_from_u64(seed),
            record: ServerRecord::new(CAPACITY_MIB, checks_fencing),
            revision: 1,
            engine,
            processes: (0..3).map(|vm| ControlProcess::new(vm, 1)).collect(),
            lease_holder: 0,
            incarnations: vec![1; 3],
            late_orders: Vec::new(),
            late_writes: Vec::new(),
            wanted_items: Vec::new(),
            plan_version: 1,
            completed_loads: 0,
        };
        sim.change_plan();
        sim.transfer_lease();
        sim
    }

    fn step(&mut self) {
        match self.rng.random_range(0..1_000) {
            0..770 => {
                let pick_holder = self.rng.random_bool(0.7);
                let any = self.rng.random_range(0..self.processes.len());
                self.advance(if pick_holder { self.lease_holder } else { any });
            }
            770..880 => self.finish_load(),
            880..920 => self.change_plan(),
            920..960 => self.deliver_late_order(),
            960..970 => self.apply_late_write(),
            970..982 => self.transfer_lease(),
            982..990 => self.notice_lost_lease(),
            990..996 => self.restart_process(),
            _ => self.restart_engine(),
        }
    }

    fn advance(&mut self, index: usize) {
        if let Some(response) = self.processes[index].delayed_response.take() {
            // The response arrived while its receiver was paused.
            return self.deliver(index, response);
        }
        match self.processes[index].pending_step.take() {
            // A pause of any length may lie between the decision and its execution.
            Some(step) => self.execute_step(index, step),
            None => {
                let step = self.decide(index);
                self.processes[index].pending_step = (step != Step::Idle).then_some(step);
            }
        }
    }

    fn decide(&mut self, index: usize) -> Step {
        let incarnations = self.incarnations.clone();
        let is_gone = |holder: &HolderId| {
            let vm: usize = holder.vm.trim_start_matches("vm-").parse().unwrap();
            holder.incarnation < incarnations[vm]
        };
        let process = &mut self.processes[index];
        let step = process.reconciler.next_step(&ReconcileInput {
            plan_version: self.plan_version,
            items: &self.wanted_items,
            may_unload: &|_| true,
            is_gone: &is_gone,
            may_act: process.assumes_lease,
            may_load: true,
        });
        if step == Step::Idle {
            if process.assumes_lease {
                process.reconciler.invalidate_engine_state();
            } else {
                process.reconciler.invalidate();
            }
        }
        step
    }

    fn execute_step(&mut self, index: usize, step: Step) {
        match step {
            Step::Read => {
                let (record, revision) = (self.record.clone(), self.revision);
                self.processes[index].reconciler.on_read(record, revision);
            }
            Step::Write { record, revision } => self.write(index, record, revision),
            Step::Send(order) => self.send(index, &order),
            Step::Query => {
                if self.rng.random_bool(0.9) {
                    self.respond(index, EngineResponse::State(self.engine.state()));
                }
            }
            Step::Idle => {}
        }
    }

    fn write(&mut self, index: usize, record: ServerRecord, revision: u64) {
        let outcome = self.rng.random_range(0..10);
        if outcome == 0 {
            // The write gets no response, and is applied later or never.
            self.late_writes.push((record.clone(), revision));
            self.processes[index].reconciler.on_write(record, WriteResult::Unknown);
            return;
        }
        let result = self.apply_write(&record, revision);
        // The response may be lost after the write took effect.
        let result = if outcome == 1 { WriteResult::Unknown } else { result };
        self.processes[index].reconciler.on_write(record, result);
    }

    fn apply_write(&mut self, record: &ServerRecord, revision: u64) -> WriteResult {
        if revision != self.revision {
            return WriteResult::Conflict;
        }
        self.record = record.clone();
        self.revision += 1;
        WriteResult::Written(self.revision)
    }

    fn send(&mut self, index: usize, order: &Order) {
        self.processes[index].reconciler.on_order_sent(order);
        match self.rng.random_range(0..10) {
            // Lost or late: the sender abandoned the connection, but the bytes may still arrive.
            0 | 1 => {
                let engine_incarnation = self.engine.incarnation;
                self.late_orders.push(LateOrder { order: order.clone(), engine_incarnation });
            }
            // Executed, but the response is lost, and a copy of the order may arrive later.
            2 => {
                self.engine.execute(order);
                let engine_incarnation = self.engine.incarnation;
                self.late_orders.push(LateOrder { order: order.clone(), engine_incarnation });
            }
            _ => {
                let response = self.engine.execute(order);
                self.respond(index, EngineResponse::Order(order.clone(), response));
            }
        }
    }

    /// Delivers a response at once, or after a pause of its receiver.
    fn respond(&mut self, index: usize, response: EngineResponse) {
        if self.rng.random_bool(0.3) {
            self.processes[index].delayed_response = Some(response);
        } else {
            self.deliver(index, response);
        }
    }

    fn deliver(&mut self, index: usize, response: EngineResponse) {
        let reconciler = &mut self.processes[index].reconciler;
        match response {
            EngineResponse::State(state) => reconciler.on_engine_state(state),
            EngineResponse::Order(order, response) => {
                reconciler.on_order_response(&order, response)
            }
        }
    }

    fn finish_load(&mut self) {
        self.completed_loads += self.engine.finish_loads();
    }

    fn change_plan(&mut self) {
        self.plan_version += 1;
        let mut free = CAPACITY_MIB;
        self.wanted_items.clear();
        let start = self.rng.random_range(0..MODELS.len());
        for (name, memory_mib) in MODELS.iter().cycle().skip(start).take(MODELS.len()) {
            if *memory_mib <= free && self.rng.random_bool(0.8) {
                free -= memory_mib;
                let (name, memory_mib) = (Arc::from(*name), *memory_mib);
                self.wanted_items.push(WantedItem { name, base: None, memory_mib });
            }
        }
    }

    fn deliver_late_order(&mut self) {
        if self.late_orders.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.late_orders.len());
        let is_kept = self.rng.random_bool(0.3);
        let late = &self.late_orders[index];
        // A connection leads to one engine process; a later process never receives its bytes.
        if late.engine_incarnation == self.engine.incarnation {
            let order = late.order.clone();
            self.engine.execute(&order);
        }
        if !is_kept {
            self.late_orders.swap_remove(index);
        }
    }

    fn apply_late_write(&mut self) {
        if !self.late_writes.is_empty() {
            let index = self.rng.random_range(0..self.late_writes.len());
            let (record, revision) = self.late_writes.swap_remove(index);
            self.apply_write(&record, revision);
        }
    }

    /// Transfers the lease. The former holder may still assume for a while that it holds the lease.
    fn transfer_lease(&mut self) {
        if self.rng.random_bool(0.5) {
            self.processes[self.lease_holder].assumes_lease = false;
        }
        self.lease_holder = self.rng.random_range(0..self.processes.len());
        self.processes[self.lease_holder].assumes_lease = true;
    }

    /// Lets a process that was paused beyond the end of its lease notice that.
    fn notice_lost_lease(&mut self) {
        let index = self.rng.random_range(0..self.processes.len());
        self.processes[index].assumes_lease &= index == self.lease_holder;
    }

    /// Replaces a control process by a new one, whatever it was doing.
    fn restart_process(&mut self) {
        let index = self.rng.random_range(0..self.processes.len());
        self.incarnations[index] += 1;
        self.processes[index] = ControlProcess::new(index, self.incarnations[index]);
    }

    fn restart_engine(&mut self) {
        self.engine.restart();
    }
}

fn env_or_default(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn search(checks_fencing: bool) {
    let first = env_or_default("SAVORYPORT_SEARCH_FIRST", 0);
    let seeds = env_or_default("SAVORYPORT_SEARCH_SEEDS", DEFAULT_SEEDS);
    let mut loads = 0;
    for seed in first..first + seeds {
        let mut sim = Simulation::new(seed, checks_fencing);
        for step in 0..STEPS {
            sim.step();
            assert!(
                !sim.engine.overcommitted,
                "seed {seed}, step {step}: engine holds {:?}, ledger {:#?}",
                sim.engine.items, sim.record
            );
        }
        loads += sim.completed_loads;
    }
    // Without loads the search would not test anything.
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
