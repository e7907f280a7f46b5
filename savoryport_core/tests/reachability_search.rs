//! Searches interleavings of model moves for one that leaves a model without a loaded copy.
//!
//! Each of several servers has its own holder, which sees plans and the ledgers of other servers
//! with a delay. Plans change at any time, responses are lost, late orders arrive and holders are
//! replaced. The check uses the fake engines' own memory.

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
    reconciler: Reconciler,
    incarnation: u64,
    replica: Replica,
    late_orders: Vec<Order>,
}

impl Server {
    fn step(&mut self, rng: &mut SmallRng) {
        let items = self.replica.plan.wanted(&self.name, &self.replica.table);
        let incarnation = self.incarnation;
        let step = self.reconciler.next_step(&ReconcileInput {
            plan_version: self.replica.plan.version,
            items: &items,
            may_unload: &|item| self.replica.may_unload(&self.name, item),
            is_gone: &|holder| holder.incarnation < incarnation,
            may_act: true,
            may_load: true,
        });
        match step {
            Step::Read => self.reconciler.on_read(self.record.clone(), self.revision),
            Step::Write { record, revision } => {
                assert_eq!(revision, self.revision, "only this server's holder writes its record");
                self.record = record.clone();
                self.revision += 1;
                let is_lost = rng.random_bool(0.1);
                let result = WriteResult::Written(self.revision);
                self.reconciler
                    .on_write(record, if is_lost { WriteResult::Unknown } else { result });
            }
            Step::Send(order) => {
                self.reconciler.on_order_sent(&order);
                let response = self.engine.execute(&order);
                match rng.random_range(0..10) {
                    0 => self.late_orders.push(order),
                    _ => self.reconciler.on_order_response(&order, response),
                }
            }
            Step::Query => self.reconciler.on_engine_state(self.engine.state()),
            Step::Idle => self.reconciler.invalidate_engine_state(),
        }
    }
}

struct Simulation {
    rng: SmallRng,
    table: Table,
    plan: Plan,
    servers: Vec<Server>,
    completed_loads: u64,
}

impl Simulation {
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
            team: None,
        };
        let rows = MODELS.iter().map(row).collect();
        let table = Table { version: 1, change_id: String::new(), rows };
        let server = |index: usize| Server {
            name: format!("s{index}").into(),
            record: ServerRecord::new(CAPACITY_MIB, true),
            revision: 1,
            engine: FakeEngine::new(CAPACITY_MIB, true),
            reconciler: Reconciler::new(HolderId {
                vm: format!("vm-{index}").into(),
                incarnation: 1,
            }),
            incarnation: 1,
            replica: Replica::default(),
            late_orders: Vec::new(),
        };
        let mut sim = Self {
            rng: SmallRng::seed_from_u64(seed),
            table,
            plan: Plan::default(),
            servers: (0..SERVERS).map(server).collect(),
            completed_loads: 0,
        };
        sim.change_plan();
        while !MODELS.iter().all(|(model, _)| sim.is_reachable(model)) {
            (0..SERVERS).for_each(|index| sim.deliver_update(index));
            (0..SERVERS).for_each(|index| sim.servers[index].step(&mut sim.rng));
            sim.finish_loads();
        }
        sim
    }

    fn is_reachable(&self, model: &str) -> bool {
        self.servers.iter().any(|server| server.engine.is_loaded(model))
    }

    fn step(&mut self) {
        let index = self.rng.random_range(0..SERVERS);
        match self.rng.random_range(0..100) {
            0..70 => self.servers[index].step(&mut self.rng),
            70..80 => self.finish_loads(),
            80..92 => self.deliver_update(index),
            92..96 => self.change_plan(),
            96..98 => self.deliver_late_order(index),
            _ => self.replace_holder(index),
        }
    }

    /// Gives one server's holder the state of a random server, and perhaps the current plan.
    fn deliver_update(&mut self, index: usize) {
        let other = &self.servers[self.rng.random_range(0..SERVERS)];
        let residency = Residency::from_record(&other.record, other.revision);
        let plan = self.rng.random_bool(0.5).then(|| self.plan.clone());
        let update = Update {
            table: Some(self.table.clone()),
            plan,
            residency: [(other.name.clone(), residency)].into(),
            ..Update::default()
        };
        self.servers[index].replica.merge(update);
    }

    /// Makes a new plan, in which any server may be left out as if it were draining.
    fn change_plan(&mut self) {
        let drained = self.rng.random_range(0..SERVERS * 2);
        let servers: Vec<ServerCapacity> = (0..SERVERS)
            .filter(|index| *index != drained)
            .map(|index| ServerCapacity {
                name: self.servers[index].name.clone(),
                failure_domain: format!("d{index}").into(),
                capacity_mib: CAPACITY_MIB,
            })
            .collect();
        let popular = MODELS[self.rng.random_range(0..MODELS.len())].0;
        let demand = HashMap::from([(Name::from(popular), 10.0)]);
        let (table, current) = (&self.table, &self.plan);
        let input =
            PlacementInput { table, servers: &servers, demand: &demand, current, move_budget: 2 };
        self.plan = compute_plan(&input);
    }

    fn finish_loads(&mut self) {
        for server in &mut self.servers {
            self.completed_loads += server.engine.finish_loads();
        }
    }

    fn deliver_late_order(&mut self, index: usize) {
        if let Some(order) = self.servers[index].late_orders.pop() {
            self.servers[index].engine.execute(&order);
        }
    }

    /// Replaces a holder by a new one that knows nothing yet.
    fn replace_holder(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.incarnation += 1;
        let id = HolderId { vm: format!("vm-{index}").into(), incarnation: server.incarnation };
        server.reconciler = Reconciler::new(id);
    }
}

#[test]
fn every_model_stays_loaded_somewhere_while_models_move() {
    let mut completed_loads = 0;
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed);
        sim.completed_loads = 0;
        for step in 0..STEPS {
            sim.step();
            for (model, _) in MODELS {
                assert!(sim.is_reachable(model), "seed {seed}, step {step}: no copy of {model}");
            }
        }
        completed_loads += sim.completed_loads;
    }
    // Without moves the search would not test anything.
    assert!(completed_loads > SEEDS, "only {completed_loads} loads in {SEEDS} interleavings");
    println!(
        "{SEEDS} interleavings, {completed_loads} loads, every model loaded somewhere throughout"
    );
}
