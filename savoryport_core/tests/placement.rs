//! Plans: within memory, everything reachable, stable in steady demand, quick after a shift.

use std::collections::{BTreeSet, HashMap};

use proptest::prelude::*;
use savoryport_core::Name;
use savoryport_core::placement::{PlacementInput, Plan, ServerCapacity, compute_plan};
use savoryport_core::rank::Rank;
use savoryport_core::table::{Row, RowKind, Table};

fn model(name: &str, memory_mib: u32, min_copies: u32) -> Row {
    Row {
        kind: RowKind::Model,
        name: name.into(),
        base: None,
        memory_mib,
        weight: 1,
        rank: Rank::Normal,
        max_in_flight: 8,
        first_token_ms: 1_800,
        between_tokens_ms: 70,
        min_copies,
        repeatable: true,
    }
}

fn adapter(name: &str, base: &str, memory_mib: u32) -> Row {
    Row { kind: RowKind::Adapter, base: Some(base.into()), ..model(name, memory_mib, 1) }
}

fn servers(count: usize, capacity_mib: u32) -> Vec<ServerCapacity> {
    (0..count)
        .map(|at| ServerCapacity {
            name: format!("s{at}").into(),
            failure_domain: format!("d{}", at % 2).into(),
            capacity_mib,
        })
        .collect()
}

fn make(
    table: &Table,
    servers: &[ServerCapacity],
    demand: &HashMap<Name, f64>,
    current: &Plan,
) -> Plan {
    compute_plan(&PlacementInput { table, servers, demand, current, move_budget: 2 })
}

fn used_mib(plan: &Plan, server: &str, table: &Table) -> u32 {
    plan.wanted(server, table).iter().map(|item| item.memory_mib).sum()
}

fn copies(plan: &Plan, model: &str) -> usize {
    plan.servers.values().flatten().filter(|name| &***name == model).count()
}

#[test]
fn a_model_and_its_adapters_stand_together_the_base_first() {
    let rows = vec![adapter("x", "m", 5), model("m", 40, 1)];
    let table = Table { version: 1, rows, ..Table::default() };
    let plan = make(&table, &servers(1, 50), &HashMap::new(), &Plan::default());
    let names: Vec<String> =
        plan.wanted("s0", &table).iter().map(|item| item.name.to_string()).collect();
    assert_eq!(names, ["m", "x"]);
    assert_eq!(plan.home_of("x", &table).map(|home| &**home), Some("s0"));
}

#[test]
fn steady_demand_moves_nothing() {
    let rows = (0..12).map(|at| model(&format!("m{at}"), 30, 1)).collect();
    let table = Table { version: 1, rows, ..Table::default() };
    let fleet = servers(6, 100);
    let demand = (0..12).map(|at| (format!("m{at}").into(), 1.0 + f64::from(at))).collect();
    let mut current = Plan::default();
    for _ in 0..10 {
        current = make(&table, &fleet, &demand, &current);
    }
    for _ in 0..10 {
        let next = make(&table, &fleet, &demand, &current);
        assert_eq!(next.version, current.version);
    }
}

#[test]
fn demand_that_shifts_gets_copies_within_the_move_budget() {
    let rows = (0..12).map(|at| model(&format!("m{at}"), 30, 1)).collect();
    let table = Table { version: 1, rows, ..Table::default() };
    let fleet = servers(6, 100);
    let mut current = make(&table, &fleet, &HashMap::from([("m0".into(), 50.0)]), &Plan::default());
    let before = copies(&current, "m7");
    let demand = HashMap::from([("m7".into(), 50.0)]);
    for _ in 0..5 {
        current = make(&table, &fleet, &demand, &current);
    }
    assert!(copies(&current, "m7") > before, "{current:?}");
}

#[test]
fn a_lost_failure_domain_leaves_every_model_that_fits_reachable() {
    let rows = (0..8).map(|at| model(&format!("m{at}"), 30, 1)).collect();
    let table = Table { version: 1, rows, ..Table::default() };
    let fleet = servers(6, 100);
    let before = make(&table, &fleet, &HashMap::new(), &Plan::default());
    let left: Vec<ServerCapacity> =
        fleet.into_iter().filter(|server| &*server.failure_domain == "d0").collect();
    let after = make(&table, &left, &HashMap::new(), &before);
    assert!((0..8).all(|at| copies(&after, &format!("m{at}")) == 1));
}

proptest! {
    /// Whatever the demand and the fleet do, a plan stays within memory, keeps a home for every
    /// model that it places, and lists no server twice for one model.
    #[test]
    fn plans_stay_within_memory(
        sizes in prop::collection::vec(5..60_u32, 1..20),
        rounds in prop::collection::vec((1..8_usize, 0..20_usize, 0.0..50.0_f64), 1..12)
    ) {
        let rows: Vec<Row> =
            sizes.iter().enumerate().map(|(at, mib)| model(&format!("m{at}"), *mib, 1)).collect();
        let table = Table { version: 1, rows, ..Table::default() };
        let mut current = Plan::default();
        for (count, hot, rate) in rounds {
            let fleet = servers(count, 100);
            let demand = HashMap::from([(Name::from(format!("m{hot}")), rate)]);
            current = make(&table, &fleet, &demand, &current);
            for server in &fleet {
                prop_assert!(used_mib(&current, &server.name, &table) <= 100);
                let names = &current.servers[&server.name];
                prop_assert_eq!(names.iter().collect::<BTreeSet<_>>().len(), names.len());
            }
            for (model, home) in &current.homes {
                prop_assert!(current.servers[home].contains(model));
            }
            let total: u32 = sizes.iter().sum();
            // Half the memory always suffices for items of at most 60 of 100.
            if total <= 40 * count as u32 {
                prop_assert_eq!(current.homes.len(), table.rows.len());
            }
        }
    }
}
