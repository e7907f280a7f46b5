//! Searches random interleavings of late, lost and repeated orders, changes of the leader and
//! restarts of the server for one that overcommits the server's memory or adapter slots.

mod node_support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use node_support::engine_class;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use savoryport_core::Name;
use savoryport_core::node::deployment::EngineClass;
use savoryport_core::node::orders::{EngineContents, EngineReport, Order, OrderAnswer};

/// The number of interleavings that a search tries.
const INTERLEAVINGS: u64 = 20_000;

/// The number of steps of one interleaving.
const STEPS: usize = 60;

/// A server that executes an order only if the order expects its count of accepted orders, as the
/// platform's documentation describes.
#[derive(Clone, Default)]
struct FakeServer {
    incarnation: u64,
    accepted: u64,
    busy: bool,
    models: BTreeMap<Name, Vec<Name>>,
}

impl FakeServer {
    fn execute(&mut self, order: &Order, expected_orders: u64) -> OrderAnswer {
        if self.busy || expected_orders != self.accepted {
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

/// Runs one random interleaving. Without `check_expected`, the server accepts orders whatever count
/// they expect.
fn run_interleaving(seed: u64, check_expected: bool) {
    let (mut rng, class) = (SmallRng::seed_from_u64(seed), engine_class());
    let mut server = FakeServer { incarnation: 1, ..FakeServer::default() };
    let mut reports = vec![server.report()];
    let mut delayed: Vec<(Order, u64, u64)> = Vec::new();
    let mut contents_by_leader = [EngineContents::default(), EngineContents::default()];
    let mut leader = 0;
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
                leader = 1 - leader;
                contents_by_leader[leader].invalidate();
            }
            3 if !delayed.is_empty() => {
                let (order, expected, incarnation) =
                    delayed.swap_remove(rng.random_range(0..delayed.len()));
                // An order names the incarnation that it is for, so that another one refuses it.
                if incarnation == server.incarnation {
                    let expected = if check_expected { expected } else { server.accepted };
                    server.execute(&order, expected);
                }
            }
            4 => {
                // Reports can be stale: an older one may arrive.
                let lag = rng.random_range(0..reports.len().min(3));
                let report = reports[reports.len() - 1 - lag].clone();
                contents_by_leader[leader].apply_report(&report, now);
            }
            _ => {
                let order = random_order(&mut rng);
                let contents = &mut contents_by_leader[leader];
                let Some(expected) = contents.expected_orders() else { continue };
                if contents.check(&order, &class, now).is_err() {
                    continue;
                }
                let incarnation = contents.incarnation();
                let answer = if rng.random_bool(0.2) {
                    delayed.push((order.clone(), expected, incarnation));
                    OrderAnswer::Unanswered
                } else if incarnation != server.incarnation {
                    OrderAnswer::Rejected
                } else {
                    let expected = if check_expected { expected } else { server.accepted };
                    let answer = server.execute(&order, expected);
                    if rng.random_bool(0.1) { OrderAnswer::Unanswered } else { answer }
                };
                contents.apply_answer(&order, answer, Duration::ZERO, now);
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
    for seed in 0..INTERLEAVINGS {
        run_interleaving(seed, true);
    }
}

#[test]
#[should_panic(expected = "ordered")]
fn the_search_detects_overcommitment_when_expected_counts_are_ignored() {
    for seed in 0..INTERLEAVINGS {
        run_interleaving(seed, false);
    }
}

#[test]
fn a_report_from_before_an_accepted_order_changes_nothing() {
    let (class, now) = (engine_class(), Instant::now());
    let mut server = FakeServer { incarnation: 1, ..FakeServer::default() };
    let mut contents = EngineContents::default();
    let old = server.report();
    assert!(contents.apply_report(&old, now));
    let order = Order::LoadModel("m0".into());
    assert_eq!(contents.check(&order, &class, now), Ok(()));
    let answer = server.execute(&order, 0);
    contents.apply_answer(&order, answer, Duration::ZERO, now);
    assert!(!contents.apply_report(&old, now));
    assert!(contents.holds("m0"));
}

#[test]
fn a_load_that_meets_an_unload_in_progress_is_sent_again_without_a_report() {
    let (class, now) = (engine_class(), Instant::now());
    let mut server = FakeServer { incarnation: 1, ..FakeServer::default() };
    server.models.insert("m0".into(), Vec::new());
    let mut contents = EngineContents::default();
    assert!(contents.apply_report(&server.report(), now));
    let unload = Order::UnloadModel("m0".into());
    let answer = server.execute(&unload, 0);
    contents.apply_answer(&unload, answer, Duration::ZERO, now);
    let load = Order::LoadModel("m1".into());
    let refused_at = now + Duration::from_millis(50);
    contents.apply_answer(&load, server.execute(&load, 1), Duration::ZERO, refused_at);
    assert_eq!(contents.expected_orders(), Some(1));
    assert_eq!(contents.check(&load, &class, refused_at), Ok(()));
    server.busy = false;
    assert_eq!(server.execute(&load, 1), OrderAnswer::Accepted);
    // A server that still refuses later has another count.
    let much_later = now + Duration::from_secs(1);
    contents.apply_answer(&load, OrderAnswer::Conflict, Duration::ZERO, much_later);
    assert_eq!(contents.expected_orders(), None);
}
