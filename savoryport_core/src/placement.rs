//! Decides which models stand on which servers.
//!
//! The plan is made by one process at a time and agreed through the key-value service. It starts
//! from the plan in force, so that a steady demand moves nothing. A model and its adapters move
//! together.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::Name;
use crate::ledger::WantedItem;
use crate::rank::Rank;
use crate::table::{Row, RowKind, Table};

/// A new copy must promise this many times the gain of what it displaces.
const SWAP_GAIN_RATIO: f64 = 2.0;

/// Slots asked for below which a model's copies are worth nothing beyond the fewest.
const NEGLIGIBLE_RATE: f64 = 1e-3;

value! {
    /// Where every model stands.
    #[derive(Default)]
    pub struct Plan {
        /// Rises with every plan.
        pub version: u64,
        /// The models on each server; their adapters stand beside them.
        pub servers: BTreeMap<Name, Vec<Name>>,
        /// The server of each model that keeps its copy until the plan names another.
        pub homes: BTreeMap<Name, Name>,
    }

    /// A server as the planner sees it.
    pub struct ServerCapacity {
        /// Its name.
        pub name: Name,
        /// Its failure domain.
        pub failure_domain: Name,
        /// The memory in MiB that may be planned.
        pub capacity_mib: u32,
    }
}

/// What a plan is made from.
pub struct PlacementInput<'a> {
    /// The table in force.
    pub table: &'a Table,
    /// The servers that stay; leaving ones are left out.
    pub servers: &'a [ServerCapacity],
    /// Slots that requests of each model ask for, those of its adapters included.
    pub demand: &'a HashMap<Name, f64>,
    /// The plan in force.
    pub current: &'a Plan,
    /// The most copies that may displace others in this plan.
    pub move_budget: usize,
}

impl Plan {
    /// Lists what a server shall hold, each model before its adapters.
    pub fn wanted(&self, server: &str, table: &Table) -> Vec<WantedItem> {
        let models = self.servers.get(server).map(Vec::as_slice).unwrap_or_default();
        let mut wanted = Vec::new();
        for model in models {
            let belongs =
                |name: &Name, base: &Option<Name>| name == model || base.as_ref() == Some(model);
            let start = wanted.len();
            wanted.extend(table.items().filter(|row| belongs(&row.name, &row.base)).map(|row| {
                let (name, base) = (row.name.clone(), row.base.clone());
                WantedItem { name, base, memory_mib: row.memory_mib }
            }));
            wanted[start..].sort_by_key(|item| item.base.is_some());
        }
        wanted
    }

    /// Returns the server that keeps the copy of a model or adapter.
    pub fn home_of(&self, item: &str, table: &Table) -> Option<&Name> {
        let row = table.get(item)?;
        self.homes.get(row.base.as_ref().unwrap_or(&row.name))
    }
}

/// A model with its adapters.
struct Bundle {
    name: Name,
    memory_mib: u32,
    min_copies: usize,
    worth: f64,
    rate: f64,
}

/// A server while the plan is being made.
struct Slot<'a> {
    server: &'a ServerCapacity,
    free_mib: u32,
    bundles: Vec<usize>,
    load: f64,
}

struct Planner<'a> {
    bundles: Vec<Bundle>,
    slots: Vec<Slot<'a>>,
    /// The slots that hold a copy, by bundle.
    copies: Vec<Vec<usize>>,
}

/// Makes the next plan; returns the present one, version included, where nothing changes.
pub fn compute_plan(input: &PlacementInput<'_>) -> Plan {
    let mut planner = Planner::new(input);
    planner.keep_current(input.current);
    planner.place_fewest_copies();
    planner.fill_free_memory();
    for _ in 0..input.move_budget {
        if !planner.swap_one() {
            break;
        }
    }
    planner.finish(input.current)
}

/// The worth of a row's copies. Rank decides in the queues; a copy mostly is capacity, which rows of
/// every rank need by their load, so rank and weight count for less here.
fn worth(row: &Row) -> f64 {
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
        let slots = input.servers.iter().map(Slot::new).collect();
        let copies = vec![Vec::new(); bundles.len()];
        Self { bundles, slots, copies }
    }

    fn keep_current(&mut self, current: &Plan) {
        let by_name: HashMap<Name, usize> =
            self.bundles.iter().enumerate().map(|(at, b)| (b.name.clone(), at)).collect();
        for slot in 0..self.slots.len() {
            let names = current.servers.get(&self.slots[slot].server.name);
            for name in names.into_iter().flatten() {
                let Some(&bundle) = by_name.get(name) else { continue };
                if self.slots[slot].free_mib >= self.bundles[bundle].memory_mib {
                    self.add(bundle, slot);
                }
            }
        }
    }

    fn place_fewest_copies(&mut self) {
        for bundle in 0..self.bundles.len() {
            while self.copies[bundle].len() < self.bundles[bundle].min_copies {
                let slot = self.best_slot(bundle).or_else(|| self.make_room(bundle));
                let Some(slot) = slot else { break };
                self.add(bundle, slot);
            }
        }
    }

    fn fill_free_memory(&mut self) {
        let mut open: BTreeSet<usize> = (0..self.bundles.len()).collect();
        loop {
            let best = open
                .iter()
                .copied()
                .map(|bundle| (self.gain(bundle), bundle))
                .filter(|(gain, _)| *gain > 0.0)
                .max_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, bundle)) = best else { return };
            match self.best_slot(bundle) {
                Some(slot) => self.add(bundle, slot),
                None => drop(open.remove(&bundle)),
            }
        }
    }

    /// Replaces the least useful copies of one server by the most useful missing one.
    fn swap_one(&mut self) -> bool {
        let mut wanted: Vec<(f64, usize)> =
            (0..self.bundles.len()).map(|bundle| (self.gain(bundle), bundle)).collect();
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (gain, bundle) in wanted.into_iter().take(3) {
            if gain <= 0.0 {
                return false;
            }
            let limit = gain * f64::from(self.bundles[bundle].memory_mib) / SWAP_GAIN_RATIO;
            if let Some((slot, victims)) = self.cheapest_victims(bundle, limit) {
                for victim in victims {
                    self.remove(victim, slot);
                }
                self.add(bundle, slot);
                return true;
            }
        }
        false
    }

    /// What a further copy is worth for each MiB: the load that it takes off the present ones.
    fn gain(&self, bundle: usize) -> f64 {
        let Bundle { memory_mib, worth, rate, .. } = self.bundles[bundle];
        let copies = self.copies[bundle].len() as f64;
        if rate < NEGLIGIBLE_RATE {
            return 0.0;
        }
        let spread = self.spread_gain(bundle);
        (worth * rate / (copies.max(0.5) * (copies + 1.0)) + spread) / f64::from(memory_mib)
    }

    /// What the last copy is worth in all; the fewest copies are beyond price.
    fn loss(&self, bundle: usize) -> f64 {
        let Bundle { min_copies, worth, rate, .. } = self.bundles[bundle];
        let copies = self.copies[bundle].len();
        if copies <= min_copies {
            return f64::INFINITY;
        }
        let copies = copies as f64;
        worth * rate / (copies * (copies - 1.0))
    }

    /// A second failure domain is worth a tenth of the model's whole demand.
    fn spread_gain(&self, bundle: usize) -> f64 {
        if self.copies[bundle].len() == 1 {
            let Bundle { worth, rate, .. } = self.bundles[bundle];
            worth * rate * 0.1
        } else {
            0.0
        }
    }

    fn best_slot(&self, bundle: usize) -> Option<usize> {
        let needed = self.bundles[bundle].memory_mib;
        let domains = self.domains(bundle);
        let open = |at: &usize| {
            let slot = &self.slots[*at];
            slot.free_mib >= needed && !slot.bundles.contains(&bundle)
        };
        (0..self.slots.len()).filter(open).min_by(|a, b| {
            let known = |at: usize| domains.contains(&&self.slots[at].server.failure_domain);
            (known(*a).cmp(&known(*b)))
                .then(self.slots[*a].load.total_cmp(&self.slots[*b].load))
                .then(self.slots[*b].free_mib.cmp(&self.slots[*a].free_mib))
        })
    }

    fn domains(&self, bundle: usize) -> BTreeSet<&Name> {
        let copies = self.copies[bundle].iter();
        copies.map(|slot| &self.slots[*slot].server.failure_domain).collect()
    }

    fn make_room(&mut self, bundle: usize) -> Option<usize> {
        let (slot, victims) = self.cheapest_victims(bundle, f64::MAX)?;
        for victim in victims {
            self.remove(victim, slot);
        }
        Some(slot)
    }

    /// Finds the server where room for a bundle costs least, and what has to go there.
    fn cheapest_victims(&self, bundle: usize, limit: f64) -> Option<(usize, Vec<usize>)> {
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        for at in 0..self.slots.len() {
            if self.slots[at].bundles.contains(&bundle) {
                continue;
            }
            let Some((cost, victims)) = self.victims(bundle, at) else { continue };
            if cost <= limit && best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, at, victims));
            }
        }
        best.map(|(_, at, victims)| (at, victims))
    }

    fn victims(&self, bundle: usize, at: usize) -> Option<(f64, Vec<usize>)> {
        let slot = &self.slots[at];
        let mut candidates: Vec<(f64, usize)> =
            slot.bundles.iter().map(|other| (self.loss(*other), *other)).collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut free, mut cost, mut victims) = (slot.free_mib, 0.0, Vec::new());
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

    fn add(&mut self, bundle: usize, slot: usize) {
        self.change_load(bundle, -1.0);
        self.copies[bundle].push(slot);
        self.slots[slot].bundles.push(bundle);
        self.slots[slot].free_mib -= self.bundles[bundle].memory_mib;
        self.change_load(bundle, 1.0);
    }

    fn remove(&mut self, bundle: usize, slot: usize) {
        self.change_load(bundle, -1.0);
        self.copies[bundle].retain(|at| *at != slot);
        self.slots[slot].bundles.retain(|at| *at != bundle);
        self.slots[slot].free_mib += self.bundles[bundle].memory_mib;
        self.change_load(bundle, 1.0);
    }

    fn change_load(&mut self, bundle: usize, sign: f64) {
        let share = self.bundles[bundle].rate / self.copies[bundle].len().max(1) as f64;
        for slot in &self.copies[bundle] {
            self.slots[*slot].load += sign * share;
        }
    }

    fn finish(self, current: &Plan) -> Plan {
        let mut next = Plan { version: current.version, ..Plan::default() };
        for slot in &self.slots {
            let mut names: Vec<Name> =
                slot.bundles.iter().map(|bundle| self.bundles[*bundle].name.clone()).collect();
            names.sort();
            next.servers.insert(slot.server.name.clone(), names);
        }
        for (bundle, copies) in self.bundles.iter().zip(&self.copies) {
            let kept = current
                .homes
                .get(&bundle.name)
                .filter(|home| copies.iter().any(|slot| self.slots[*slot].server.name == **home));
            let first = copies.first().map(|slot| &self.slots[*slot].server.name);
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

impl<'a> Slot<'a> {
    fn new(server: &'a ServerCapacity) -> Self {
        Self { server, free_mib: server.capacity_mib, bundles: Vec::new(), load: 0.0 }
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
                worth: worth(row),
                rate: demand.get(&row.name).copied().unwrap_or(0.0),
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
        bundle.worth = bundle.worth.max(worth(row));
    }
    let mut bundles: Vec<Bundle> = bundles.into_values().collect();
    bundles.sort_by_key(|bundle| std::cmp::Reverse(bundle.memory_mib));
    bundles
}
