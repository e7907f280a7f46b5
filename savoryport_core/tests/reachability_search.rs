//! Searches interleavings of moves for one that leaves a model without any copy that answers.
//!
//! Several servers have holders of their own, which see plans and each other's ledgers late. Plans
//! change at any time, answers are lost, late orders arrive, holders are replaced. The checker is the
//! engines' own memory.

mod fake_engine;

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::Name;
use savoryport_core::ledger::{
    HolderId, Order, ReconcileInput, Reconciler, ServerRecord, Step, WriteResult,
};
use savoryport_core::placement::{PlacementInput, Plan, ServerCapacity, compute_plan};
use savoryport_core::rank::Rank;
use savoryport_core::replica::{Replica, Residency, Update};
use savoryport_core::table::{Row, RowKind, Table};

use fake_engine::FakeEngine;

const SEEDS: u64 = 20_000;
const STEPS: usize = 400;
const SERVERS: usize = 3;
const CAPACITY_MIB: u32 = 100;
const MODELS: [(&str, u32); 5] = [("a", 45), ("b", 40), ("c", 35), ("d", 30), ("e", 25)];

struct Server {
    name: Name,
    record: ServerRecord,
    revision: u64,
    engine: FakeEngine,
    steward: Reconciler,
    incarnation: u64,
    view: Replica,
    late: Vec<Order>,
}

impl Server {
    fn step(&mut self, rng: &mut SmallRng) {
        let items = self.view.plan.wanted(&self.name, &self.view.table);
        let incarnation = self.incarnation;
        let step = self.steward.next_step(&ReconcileInput {
            plan_version: self.view.plan.version,
            items: &items,
            may_unload: &|item| self.view.may_unload(&self.name, item),
            is_gone: &|holder| holder.incarnation < incarnation,
            may_act: true,
            may_load: true,
        });
        match step {
            Step::Read => self.steward.on_read(self.record.clone(), self.revision),
            Step::Write { record, revision } => {
                assert_eq!(revision, self.revision, "nobody else writes this record");
                self.record = record.clone();
                self.revision += 1;
                let is_lost = rng.random_bool(0.1);
                let answer = WriteResult::Written(self.revision);
                self.steward.on_write(record, if is_lost { WriteResult::Unknown } else { answer });
            }
            Step::Send(order) => {
                self.steward.on_order_sent(&order);
                let answer = self.engine.carry_out(&order);
                match rng.random_range(0..10) {
                    0 => self.late.push(order),
                    _ => self.steward.on_order_response(&order, answer),
                }
            }
            Step::Query => self.steward.on_engine_state(self.engine.state()),
            Step::Idle => self.steward.invalidate_engine_state(),
        }
    }
}

struct World {
    rng: SmallRng,
    table: Table,
    plan: Plan,
    servers: Vec<Server>,
    moves: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let row = |(name, memory_mib): &(&str, u32)| Row {
            kind: RowKind::Model,
            name: (*name).into(),
            base: None,
            memory_mib: *memory_mib,
            weight: 1,
            rank: Rank::Normal,
            max_in_flight: 1,
            first_token_ms: 1,
            between_tokens_ms: 1,
            min_copies: 1,
            repeatable: true,
        };
        let rows = MODELS.iter().map(row).collect();
        let table = Table { version: 1, change_id: String::new(), rows };
        let server = |at: usize| Server {
            name: format!("s{at}").into(),
            record: ServerRecord::new(CAPACITY_MIB, true),
            revision: 1,
            engine: FakeEngine::new(CAPACITY_MIB, true),
            steward: Reconciler::new(HolderId { vm: format!("vm-{at}").into(), incarnation: 1 }),
            incarnation: 1,
            view: Replica::default(),
            late: Vec::new(),
        };
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            table,
            plan: Plan::default(),
            servers: (0..SERVERS).map(server).collect(),
            moves: 0,
        };
        world.change_plan();
        while !MODELS.iter().all(|(model, _)| world.is_reachable(model)) {
            (0..SERVERS).for_each(|at| world.see(at));
            (0..SERVERS).for_each(|at| world.servers[at].step(&mut world.rng));
            world.finish_loads();
        }
        world
    }

    fn is_reachable(&self, model: &str) -> bool {
        self.servers.iter().any(|server| server.engine.answers(model))
    }

    fn step(&mut self) {
        let at = self.rng.random_range(0..SERVERS);
        match self.rng.random_range(0..100) {
            0..70 => self.servers[at].step(&mut self.rng),
            70..80 => self.finish_loads(),
            80..92 => self.see(at),
            92..96 => self.change_plan(),
            96..98 => self.deliver_late(at),
            _ => self.replace_holder(at),
        }
    }

    /// Shows one server's holder some of what stands elsewhere, and perhaps the plan in force.
    fn see(&mut self, at: usize) {
        let other = &self.servers[self.rng.random_range(0..SERVERS)];
        let residency = Residency::from_record(&other.record, other.revision);
        let plan = self.rng.random_bool(0.5).then(|| self.plan.clone());
        let update = Update {
            table: Some(self.table.clone()),
            plan,
            residency: [(other.name.clone(), residency)].into(),
            ..Update::default()
        };
        self.servers[at].view.merge(update);
    }

    /// Moves models about: any server may be left out, as one that drains.
    fn change_plan(&mut self) {
        let left_out = self.rng.random_range(0..SERVERS * 2);
        let servers: Vec<ServerCapacity> = (0..SERVERS)
            .filter(|at| *at != left_out)
            .map(|at| ServerCapacity {
                name: self.servers[at].name.clone(),
                failure_domain: format!("d{at}").into(),
                capacity_mib: CAPACITY_MIB,
            })
            .collect();
        let hot = MODELS[self.rng.random_range(0..MODELS.len())].0;
        let demand = HashMap::from([(Name::from(hot), 10.0)]);
        let (table, current) = (&self.table, &self.plan);
        let input =
            PlacementInput { table, servers: &servers, demand: &demand, current, move_budget: 2 };
        self.plan = compute_plan(&input);
    }

    fn finish_loads(&mut self) {
        for server in &mut self.servers {
            self.moves += server.engine.finish_loads();
        }
    }

    fn deliver_late(&mut self, at: usize) {
        if let Some(order) = self.servers[at].late.pop() {
            self.servers[at].engine.carry_out(&order);
        }
    }

    /// A holder that knows nothing yet takes the place of another.
    fn replace_holder(&mut self, at: usize) {
        let server = &mut self.servers[at];
        server.incarnation += 1;
        let id = HolderId { vm: format!("vm-{at}").into(), incarnation: server.incarnation };
        server.steward = Reconciler::new(id);
    }
}

#[test]
fn every_model_answers_while_models_move() {
    let mut moves = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.moves = 0;
        for step in 0..STEPS {
            world.step();
            for (model, _) in MODELS {
                assert!(world.is_reachable(model), "seed {seed}, step {step}: no copy of {model}");
            }
        }
        moves += world.moves;
    }
    // A search in which nothing moves proves nothing.
    assert!(moves > SEEDS, "only {moves} moves in {SEEDS} interleavings");
    println!("{SEEDS} interleavings, {moves} moves, every model answered throughout");
}
