//! Properties of plans: they fit into memory, keep every model reachable, stay stable under steady
//! demand and adapt quickly when demand shifts.

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
        team: None,
    }
}

fn adapter(name: &str, base: &str, memory_mib: u32) -> Row {
    Row { kind: RowKind::Adapter, base: Some(base.into()), ..model(name, memory_mib, 1) }
}

fn servers(count: usize, capacity_mib: u32) -> Vec<ServerCapacity> {
    (0..count)
        .map(|index| ServerCapacity {
            name: format!("s{index}").into(),
            failure_domain: format!("d{}", index % 2).into(),
            capacity_mib,
        })
        .collect()
}

fn next_plan(
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

fn copy_count(plan: &Plan, model: &str) -> usize {
    plan.servers.values().flatten().filter(|name| &***name == model).count()
}

#[test]
fn adapters_are_placed_with_their_model_and_listed_after_it() {
    let rows = vec![adapter("x", "m", 5), model("m", 40, 1)];
    let table = Table { version: 1, rows, ..Table::default() };
    let plan = next_plan(&table, &servers(1, 50), &HashMap::new(), &Plan::default());
    let names: Vec<String> =
        plan.wanted("s0", &table).iter().map(|item| item.name.to_string()).collect();
    assert_eq!(names, ["m", "x"]);
    assert_eq!(plan.home_of("x", &table).map(|home| &**home), Some("s0"));
}

#[test]
fn steady_demand_moves_nothing() {
    let rows = (0..12).map(|index| model(&format!("m{index}"), 30, 1)).collect();
    let table = Table { version: 1, rows, ..Table::default() };
    let fleet = servers(6, 100);
    let demand =
        (0..12).map(|index| (format!("m{index}").into(), 1.0 + f64::from(index))).collect();
    let mut current = Plan::default();
    for _ in 0..10 {
        current = next_plan(&table, &fleet, &demand, &current);
    }
    for _ in 0..10 {
        let next = next_plan(&table, &fleet, &demand, &current);
        assert_eq!(next.version, current.version);
    }
}

#[test]
fn a_model_with_rising_demand_gets_copies_within_the_move_budget() {
    let rows = (0..12).map(|index| model(&format!("m{index}"), 30, 1)).collect();
    let table = Table { version: 1, rows, ..Table::default() };
    let fleet = servers(6, 100);
    let mut current =
        next_plan(&table, &fleet, &HashMap::from([("m0".into(), 50.0)]), &Plan::default());
    let before = copy_count(&current, "m7");
    let demand = HashMap::from([("m7".into(), 50.0)]);
    for _ in 0..5 {
        current = next_plan(&table, &fleet, &demand, &current);
    }
    assert!(copy_count(&current, "m7") > before, "{current:?}");
}

#[test]
fn a_lost_failure_domain_leaves_every_model_that_fits_reachable() {
    let rows = (0..8).map(|index| model(&format!("m{index}"), 30, 1)).collect();
    let table = Table { version: 1, rows, ..Table::default() };
    let fleet = servers(6, 100);
    let before = next_plan(&table, &fleet, &HashMap::new(), &Plan::default());
    let remaining: Vec<ServerCapacity> =
        fleet.into_iter().filter(|server| &*server.failure_domain == "d0").collect();
    let after = next_plan(&table, &remaining, &HashMap::new(), &before);
    assert!((0..8).all(|index| copy_count(&after, &format!("m{index}")) == 1));
}

proptest! {
    /// For any changes of demand and fleet, a plan stays within each server's memory, places at
    /// most one copy of a model on a server, and gives models only homes that hold a copy.
    #[test]
    fn plans_stay_within_memory(
        sizes in prop::collection::vec(5..60_u32, 1..20),
        rounds in prop::collection::vec((1..8_usize, 0..20_usize, 0.0..50.0_f64), 1..12)
    ) {
        let rows: Vec<Row> = sizes
            .iter()
            .enumerate()
            .map(|(index, mib)| model(&format!("m{index}"), *mib, 1))
            .collect();
        let table = Table { version: 1, rows, ..Table::default() };
        let mut current = Plan::default();
        for (count, hot, rate) in rounds {
            let fleet = servers(count, 100);
            let demand = HashMap::from([(Name::from(format!("m{hot}")), rate)]);
            current = next_plan(&table, &fleet, &demand, &current);
            for server in &fleet {
                prop_assert!(used_mib(&current, &server.name, &table) <= 100);
                let names = &current.servers[&server.name];
                prop_assert_eq!(names.iter().collect::<BTreeSet<_>>().len(), names.len());
            }
            for (model, home) in &current.homes {
                prop_assert!(current.servers[home].contains(model));
            }
            let total: u32 = sizes.iter().sum();
            // While at most 40 of every 100 MiB are used, some server has room for any model, as
            // none takes more than 60 MiB.
            if total <= 40 * count as u32 {
                prop_assert_eq!(current.homes.len(), table.rows.len());
            }
        }
    }
}
