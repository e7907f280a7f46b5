//! Plans which models are placed on which servers.
//!
//! One process at a time computes the plan and stores it in the key-value service. A new plan
//! starts from the plan in force, so that nothing moves while demand is steady. A model and its
//! adapters are always placed together.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::Name;
use crate::ledger::WantedItem;
use crate::rank::Rank;
use crate::table::{Row, RowKind, Table};

/// The minimum ratio of a new copy's gain to the loss from the copies that it displaces.
const SWAP_GAIN_RATIO: f64 = 2.0;

/// The demand, in slots, below which a model gets no copies beyond its minimum.
const NEGLIGIBLE_DEMAND: f64 = 1e-3;

value! {
    /// The placement of all models.
    #[derive(Default)]
    pub struct Plan {
        /// The version, which increases with every plan.
        pub version: u64,
        /// The models on each server; their adapters are placed with them.
        pub servers: BTreeMap<Name, Vec<Name>>,
        /// The home server of each model, which keeps its copy until a plan names another home.
        pub homes: BTreeMap<Name, Name>,
    }

    /// A server that models can be placed on.
    pub struct ServerCapacity {
        /// The name of the server.
        pub name: Name,
        /// The failure domain of the server.
        pub failure_domain: Name,
        /// The memory in MiB that copies may take.
        pub capacity_mib: u32,
    }
}

/// The input of [`compute_plan`].
pub struct PlacementInput<'a> {
    /// The table in force.
    pub table: &'a Table,
    /// The servers to place models on, without those about to be removed.
    pub servers: &'a [ServerCapacity],
    /// The demand for each model, including that for its adapters, in slots: the mean number of
    /// requests in progress at once.
    pub demand: &'a HashMap<Name, f64>,
    /// The plan in force.
    pub current: &'a Plan,
    /// The maximum number of new copies that may displace others in this plan.
    pub move_budget: usize,
}

impl Plan {
    /// Returns the items that the plan places on a server, each model before its adapters.
    pub fn wanted(&self, server: &str, table: &Table) -> Vec<WantedItem> {
        let models = self.servers.get(server).map(Vec::as_slice).unwrap_or_default();
        let mut wanted = Vec::new();
        for model in models {
            let is_in_bundle =
                |name: &Name, base: &Option<Name>| name == model || base.as_ref() == Some(model);
            let start = wanted.len();
            wanted.extend(table.items().filter(|row| is_in_bundle(&row.name, &row.base)).map(
                |row| {
                    let (name, base) = (row.name.clone(), row.base.clone());
                    WantedItem { name, base, memory_mib: row.memory_mib }
                },
            ));
            wanted[start..].sort_by_key(|item| item.base.is_some());
        }
        wanted
    }

    /// Returns the home server of a model or adapter.
    pub fn home_of(&self, item: &str, table: &Table) -> Option<&Name> {
        let row = table.get(item)?;
        self.homes.get(row.base.as_ref().unwrap_or(&row.name))
    }
}

/// A model with its adapters, which are placed as a unit.
struct Bundle {
    name: Name,
    memory_mib: u32,
    min_copies: usize,
    worth: f64,
    demand: f64,
}

/// A server with the bundles that the unfinished plan places on it.
struct ServerDraft<'a> {
    capacity: &'a ServerCapacity,
    free_mib: u32,
    bundles: Vec<usize>,
    load: f64,
}

struct Planner<'a> {
    bundles: Vec<Bundle>,
    servers: Vec<ServerDraft<'a>>,
    /// The servers that hold a copy, by bundle.
    copies: Vec<Vec<usize>>,
}

/// Computes the next plan, or returns the current one with its version if nothing changes.
pub fn compute_plan(input: &PlacementInput<'_>) -> Plan {
    let mut planner = Planner::new(input);
    planner.keep_current_copies(input.current);
    planner.place_min_copies();
    planner.fill_free_memory();
    for _ in 0..input.move_budget {
        if !planner.swap_one() {
            break;
        }
    }
    planner.into_plan(input.current)
}

/// Returns the worth of a copy for each unit of demand for the row.
///
/// Rank takes effect in the queues. A copy mainly adds capacity, which rows of every rank need in
/// proportion to their load, so rank and weight have less influence here.
fn copy_worth(row: &Row) -> f64 {
    let rank = match row.rank {
        Rank::Urgent => 4.0,
        Rank::Normal => 2.0,
        Rank::Batch => 1.0,
    };
    rank * f64::from(row.weight).sqrt()
}

impl<'a> Planner<'a> {
    fn new(input: &'a PlacementInput<'a>) -> Self {
        let bundles = make_bundles(input.table, input.demand);
        let servers = input.servers.iter().map(ServerDraft::new).collect();
        let copies = vec![Vec::new(); bundles.len()];
        Self { bundles, servers, copies }
    }

    fn keep_current_copies(&mut self, current: &Plan) {
        let by_name: HashMap<Name, usize> = self
            .bundles
            .iter()
            .enumerate()
            .map(|(index, bundle)| (bundle.name.clone(), index))
            .collect();
        for server in 0..self.servers.len() {
            let names = current.servers.get(&self.servers[server].capacity.name);
            for name in names.into_iter().flatten() {
                let Some(&bundle) = by_name.get(name) else { continue };
                if self.servers[server].free_mib >= self.bundles[bundle].memory_mib {
                    self.add(bundle, server);
                }
            }
        }
    }

    fn place_min_copies(&mut self) {
        for bundle in 0..self.bundles.len() {
            while self.copies[bundle].len() < self.bundles[bundle].min_copies {
                let server = self.best_server(bundle).or_else(|| self.make_room(bundle));
                let Some(server) = server else { break };
                self.add(bundle, server);
            }
        }
    }

    fn fill_free_memory(&mut self) {
        let mut placeable: BTreeSet<usize> = (0..self.bundles.len()).collect();
        loop {
            let best = placeable
                .iter()
                .copied()
                .map(|bundle| (self.gain(bundle), bundle))
                .filter(|(gain, _)| *gain > 0.0)
                .max_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, bundle)) = best else { return };
            match self.best_server(bundle) {
                Some(server) => self.add(bundle, server),
                None => drop(placeable.remove(&bundle)),
            }
        }
    }

    /// Replaces the least valuable copies on one server by the most valuable additional copy, and
    /// returns whether a swap was worth it.
    fn swap_one(&mut self) -> bool {
        let mut by_gain: Vec<(f64, usize)> =
            (0..self.bundles.len()).map(|bundle| (self.gain(bundle), bundle)).collect();
        by_gain.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (gain, bundle) in by_gain.into_iter().take(3) {
            if gain <= 0.0 {
                return false;
            }
            let max_loss = gain * f64::from(self.bundles[bundle].memory_mib) / SWAP_GAIN_RATIO;
            if let Some((server, victims)) = self.cheapest_victims(bundle, max_loss) {
                for victim in victims {
                    self.remove(victim, server);
                }
                self.add(bundle, server);
                return true;
            }
        }
        false
    }

    /// Returns the gain of a further copy for each MiB, from the load that it takes off the
    /// existing ones.
    fn gain(&self, bundle: usize) -> f64 {
        let Bundle { memory_mib, worth, demand, .. } = self.bundles[bundle];
        let copies = self.copies[bundle].len() as f64;
        if demand < NEGLIGIBLE_DEMAND {
            return 0.0;
        }
        let spread = self.spread_gain(bundle);
        (worth * demand / (copies.max(0.5) * (copies + 1.0)) + spread) / f64::from(memory_mib)
    }

    /// Returns the total loss from removing one copy, which is infinite if only the minimum number
    /// of copies is left.
    fn loss(&self, bundle: usize) -> f64 {
        let Bundle { min_copies, worth, demand, .. } = self.bundles[bundle];
        let copies = self.copies[bundle].len();
        if copies <= min_copies {
            return f64::INFINITY;
        }
        let copies = copies as f64;
        worth * demand / (copies * (copies - 1.0))
    }

    /// Returns the additional gain of a second copy, which is placed in another failure domain if
    /// possible: a tenth of the model's worth at its whole demand.
    fn spread_gain(&self, bundle: usize) -> f64 {
        if self.copies[bundle].len() == 1 {
            let Bundle { worth, demand, .. } = self.bundles[bundle];
            worth * demand * 0.1
        } else {
            0.0
        }
    }

    fn best_server(&self, bundle: usize) -> Option<usize> {
        let needed = self.bundles[bundle].memory_mib;
        let domains = self.domains_with_copy(bundle);
        let fits = |index: &usize| {
            let server = &self.servers[*index];
            server.free_mib >= needed && !server.bundles.contains(&bundle)
        };
        (0..self.servers.len()).filter(fits).min_by(|a, b| {
            let has_copy_in_domain =
                |index: usize| domains.contains(&&self.servers[index].capacity.failure_domain);
            (has_copy_in_domain(*a).cmp(&has_copy_in_domain(*b)))
                .then(self.servers[*a].load.total_cmp(&self.servers[*b].load))
                .then(self.servers[*b].free_mib.cmp(&self.servers[*a].free_mib))
        })
    }

    fn domains_with_copy(&self, bundle: usize) -> BTreeSet<&Name> {
        let copies = self.copies[bundle].iter();
        copies.map(|server| &self.servers[*server].capacity.failure_domain).collect()
    }

    fn make_room(&mut self, bundle: usize) -> Option<usize> {
        let (server, victims) = self.cheapest_victims(bundle, f64::MAX)?;
        for victim in victims {
            self.remove(victim, server);
        }
        Some(server)
    }

    /// Returns the server where making room for a bundle costs least, and the bundles to remove
    /// there.
    fn cheapest_victims(&self, bundle: usize, max_loss: f64) -> Option<(usize, Vec<usize>)> {
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        for index in 0..self.servers.len() {
            if self.servers[index].bundles.contains(&bundle) {
                continue;
            }
            let Some((cost, victims)) = self.victims_on(bundle, index) else { continue };
            if cost <= max_loss && best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, index, victims));
            }
        }
        best.map(|(_, index, victims)| (index, victims))
    }

    fn victims_on(&self, bundle: usize, index: usize) -> Option<(f64, Vec<usize>)> {
        let server = &self.servers[index];
        let mut candidates: Vec<(f64, usize)> =
            server.bundles.iter().map(|other| (self.loss(*other), *other)).collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut free, mut cost, mut victims) = (server.free_mib, 0.0, Vec::new());
        for (loss, other) in candidates {
            if free >= self.bundles[bundle].memory_mib || loss.is_infinite() {
                break;
            }
            free += self.bundles[other].memory_mib;
            cost += loss;
            victims.push(other);
        }
        (free >= self.bundles[bundle].memory_mib).then_some((cost, victims))
    }

    fn add(&mut self, bundle: usize, server: usize) {
        self.change_load(bundle, -1.0);
        self.copies[bundle].push(server);
        self.servers[server].bundles.push(bundle);
        self.servers[server].free_mib -= self.bundles[bundle].memory_mib;
        self.change_load(bundle, 1.0);
    }

    fn remove(&mut self, bundle: usize, server: usize) {
        self.change_load(bundle, -1.0);
        self.copies[bundle].retain(|index| *index != server);
        self.servers[server].bundles.retain(|index| *index != bundle);
        self.servers[server].free_mib += self.bundles[bundle].memory_mib;
        self.change_load(bundle, 1.0);
    }

    fn change_load(&mut self, bundle: usize, sign: f64) {
        let share = self.bundles[bundle].demand / self.copies[bundle].len().max(1) as f64;
        for server in &self.copies[bundle] {
            self.servers[*server].load += sign * share;
        }
    }

    fn into_plan(self, current: &Plan) -> Plan {
        let mut next = Plan { version: current.version, ..Plan::default() };
        for server in &self.servers {
            let mut names: Vec<Name> =
                server.bundles.iter().map(|bundle| self.bundles[*bundle].name.clone()).collect();
            names.sort();
            next.servers.insert(server.capacity.name.clone(), names);
        }
        for (bundle, copies) in self.bundles.iter().zip(&self.copies) {
            let kept = current.homes.get(&bundle.name).filter(|home| {
                copies.iter().any(|server| self.servers[*server].capacity.name == **home)
            });
            let first = copies.first().map(|server| &self.servers[*server].capacity.name);
            if let Some(home) = kept.or(first) {
                next.homes.insert(bundle.name.clone(), home.clone());
            }
        }
        if next != *current {
            next.version += 1;
        }
        next
    }
}

impl<'a> ServerDraft<'a> {
    fn new(capacity: &'a ServerCapacity) -> Self {
        Self { capacity, free_mib: capacity.capacity_mib, bundles: Vec::new(), load: 0.0 }
    }
}

fn make_bundles(table: &Table, demand: &HashMap<Name, f64>) -> Vec<Bundle> {
    let mut bundles: BTreeMap<&Name, Bundle> = table
        .rows
        .iter()
        .filter(|row| row.kind == RowKind::Model)
        .map(|row| {
            let bundle = Bundle {
                name: row.name.clone(),
                memory_mib: row.memory_mib,
                min_copies: row.min_copies as usize,
                worth: copy_worth(row),
                demand: demand.get(&row.name).copied().unwrap_or(0.0),
            };
            (&row.name, bundle)
        })
        .collect();
    for row in table.rows.iter().filter(|row| row.kind == RowKind::Adapter) {
        let Some(bundle) = row.base.as_ref().and_then(|base| bundles.get_mut(base)) else {
            continue;
        };
        bundle.memory_mib += row.memory_mib;
        bundle.min_copies = bundle.min_copies.max(row.min_copies as usize);
        bundle.worth = bundle.worth.max(copy_worth(row));
    }
    let mut bundles: Vec<Bundle> = bundles.into_values().collect();
    bundles.sort_by_key(|bundle| std::cmp::Reverse(bundle.memory_mib));
    bundles
}
