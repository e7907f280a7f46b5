//! Searches interleavings of orders that are late, lost and repeated, of holders that take over, and of
//! servers that restart, for memory or places overcommitted.

mod node_support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use node_support::class;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::Name;
use savoryport_core::node::deployment::EngineClass;
use savoryport_core::node::orders::{EngineContents, EngineReport, Order, OrderAnswer};

/// Interleavings that one run tries.
const RUNS: u64 = 20_000;

/// Steps of one interleaving.
const STEPS: usize = 60;

/// A server that compares and swaps by its count of orders, as the platform's pages describe.
#[derive(Clone, Default)]
struct FakeServer {
    incarnation: u64,
    accepted: u64,
    busy: bool,
    models: BTreeMap<Name, Vec<Name>>,
}

impl FakeServer {
    fn take(&mut self, order: &Order, expected: u64) -> OrderAnswer {
        if self.busy || expected != self.accepted {
            return OrderAnswer::Conflict;
        }
        if self.already_holds(order) {
            if matches!(order, Order::UnloadModel(_) | Order::UnloadAdapter { .. }) {
                self.accepted += 1;
            }
            return OrderAnswer::AlreadyHolds;
        }
        self.accepted += 1;
        match order {
            Order::LoadModel(model) => {
                self.models.insert(model.clone(), Vec::new());
                self.busy = true;
            }
            Order::UnloadModel(model) => {
                self.models.remove(model);
                self.busy = true;
            }
            Order::LoadAdapter { model, adapter } => {
                self.models.entry(model.clone()).or_default().push(adapter.clone());
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(held) = self.models.get_mut(model) {
                    held.retain(|name| name != adapter);
                }
                return OrderAnswer::AlreadyHolds;
            }
        }
        OrderAnswer::Accepted
    }

    fn already_holds(&self, order: &Order) -> bool {
        match order {
            Order::LoadModel(model) => self.models.contains_key(model),
            Order::UnloadModel(model) => !self.models.contains_key(model),
            Order::LoadAdapter { model, adapter } => {
                self.models.get(model).is_some_and(|held| held.contains(adapter))
            }
            Order::UnloadAdapter { model, adapter } => {
                !self.models.get(model).is_some_and(|held| held.contains(adapter))
            }
        }
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            accepted_orders: self.accepted,
            is_busy: self.busy,
            models: self.models.clone(),
            pending_adapters: Vec::new(),
        }
    }

    fn assert_fits(&self, class: &EngineClass, seed: u64) {
        let adapters: usize = self.models.values().map(Vec::len).sum();
        let memory: f64 = self.models.keys().map(|model| class.models[model].memory_mb).sum();
        let memory = memory + 100.0 * adapters as f64;
        assert!(memory <= class.memory_mb, "seed {seed}: {memory} MB ordered");
        assert!(adapters <= class.adapter_capacity, "seed {seed}: {adapters} adapters ordered");
    }
}

/// Plays one interleaving; `precondition` false sends orders without the expected count.
fn play(seed: u64, precondition: bool) {
    let (mut rng, class) = (SmallRng::seed_from_u64(seed), class());
    let mut server = FakeServer { incarnation: 1, ..FakeServer::default() };
    let mut reports = vec![server.report()];
    let mut late: Vec<(Order, u64, u64)> = Vec::new();
    let mut ledgers = [EngineContents::default(), EngineContents::default()];
    let mut holder = 0;
    let mut now = Instant::now();
    for _ in 0..STEPS {
        now += Duration::from_millis(rng.random_range(1..200));
        match rng.random_range(0..10) {
            0 => server.busy = false,
            1 if rng.random_bool(0.2) => {
                let incarnation = server.incarnation + 1;
                server = FakeServer { incarnation, ..FakeServer::default() };
            }
            2 => {
                holder = 1 - holder;
                ledgers[holder].invalidate();
            }
            3 if !late.is_empty() => {
                let (order, expected, incarnation) =
                    late.swap_remove(rng.random_range(0..late.len()));
                // An order names the server that it is for, so that another start refuses it.
                if incarnation == server.incarnation {
                    let expected = if precondition { expected } else { server.accepted };
                    server.take(&order, expected);
                }
            }
            4 => {
                // Reports lag: an older one may come.
                let lag = rng.random_range(0..reports.len().min(3));
                let report = reports[reports.len() - 1 - lag].clone();
                ledgers[holder].apply_report(&report, now);
            }
            _ => {
                let order = random_order(&mut rng);
                let ledger = &mut ledgers[holder];
                let Some(expected) = ledger.expected_orders() else { continue };
                if ledger.check(&order, &class, now).is_err() {
                    continue;
                }
                let incarnation = ledger.incarnation();
                let answer = if rng.random_bool(0.2) {
                    late.push((order.clone(), expected, incarnation));
                    OrderAnswer::Unanswered
                } else if incarnation != server.incarnation {
                    OrderAnswer::Rejected
                } else {
                    let expected = if precondition { expected } else { server.accepted };
                    let answer = server.take(&order, expected);
                    if rng.random_bool(0.1) { OrderAnswer::Unanswered } else { answer }
                };
                ledger.apply_answer(&order, answer, Duration::ZERO, now);
            }
        }
        server.assert_fits(&class, seed);
        reports.push(server.report());
    }
}

fn random_order(rng: &mut SmallRng) -> Order {
    let model: Name = format!("m{}", rng.random_range(0..5)).into();
    let adapter: Name = format!("a{}", rng.random_range(0..6)).into();
    match rng.random_range(0..6) {
        0 | 1 => Order::LoadModel(model),
        2 => Order::UnloadModel(model),
        3 | 4 => Order::LoadAdapter { model, adapter },
        _ => Order::UnloadAdapter { model, adapter },
    }
}

#[test]
fn no_interleaving_of_orders_overcommits_a_server() {
    for seed in 0..RUNS {
        play(seed, true);
    }
}

#[test]
#[should_panic(expected = "ordered")]
fn the_search_finds_orders_without_the_expected_count() {
    for seed in 0..RUNS {
        play(seed, false);
    }
}

#[test]
fn a_report_from_before_an_accepted_order_changes_nothing() {
    let (class, now) = (class(), Instant::now());
    let mut server = FakeServer { incarnation: 1, ..FakeServer::default() };
    let mut ledger = EngineContents::default();
    let old = server.report();
    assert!(ledger.apply_report(&old, now));
    let order = Order::LoadModel("m0".into());
    assert_eq!(ledger.check(&order, &class, now), Ok(()));
    let answer = server.take(&order, 0);
    ledger.apply_answer(&order, answer, Duration::ZERO, now);
    assert!(!ledger.apply_report(&old, now));
    assert!(ledger.holds("m0"));
}
