//! Places models on the simulated engines: by the plans, or as the baselines do.

use std::collections::{BTreeSet, HashMap};

use savoryport_core::Name;
use savoryport_core::dispatch::ServerInfo;
use savoryport_core::placement::{PlacementInput, Plan, ServerCapacity, compute_plan};
use savoryport_core::table::Row;

use super::{Event, LRU_COPY_THRESHOLD, MOVE_BUDGET, PLAN_PERIOD, Simulation, WARM_UP};
use crate::policy::deployment::LOAD_TIME;
use crate::policy::policies::{Placement, Routing};
use crate::policy::workload::TRACE_SECONDS;

impl Simulation<'_> {
    pub(super) fn place_initially(&mut self) {
        let demand = self.initial_demand();
        let current = Plan::default();
        self.plan = self.plan_for_demand(&demand, &current, usize::MAX);
        for (index, engine) in self.deployment.engines.iter().enumerate() {
            let models = self.plan.servers.get(&engine.name).into_iter().flatten();
            self.loaded[index] = models.map(|model| (model.clone(), true)).collect();
        }
        self.update_entries();
    }

    /// Returns the table's weights, which stand for the demand before any is observed.
    fn initial_demand(&self) -> HashMap<Name, f64> {
        let models = self.items.iter().filter(|row| row.base.is_none());
        models.map(|row| (row.name.clone(), f64::from(row.weight))).collect()
    }

    fn plan_for_demand(
        &self,
        demand: &HashMap<Name, f64>,
        current: &Plan,
        move_budget: usize,
    ) -> Plan {
        let servers: Vec<ServerCapacity> = self
            .deployment
            .engines
            .iter()
            .zip(&self.engines)
            .filter(|(_, engine)| !engine.is_lost)
            .map(|(vm, _)| ServerCapacity {
                name: vm.name.clone(),
                failure_domain: vm.failure_domain.clone(),
                capacity_mib: vm.memory_mib,
            })
            .collect();
        compute_plan(&PlacementInput {
            table: &self.deployment.table,
            servers: &servers,
            demand,
            current,
            move_budget: move_budget.min(1_000),
        })
    }

    pub(super) fn on_plan(&mut self) {
        let observed: HashMap<Name, f64> =
            self.demand.drain().map(|(model, work)| (model, work / PLAN_PERIOD)).collect();
        if self.policy.placement == Placement::Plan && !self.faults.platform_outage {
            let demand = self.estimator.observe(&observed, self.instant());
            let next = self.plan_for_demand(&demand, &self.plan, MOVE_BUDGET);
            if next.version > self.plan.version {
                self.plan = next;
                self.apply_plan();
            }
        }
        if self.now < TRACE_SECONDS {
            self.schedule(self.now + PLAN_PERIOD, Event::Plan);
        }
    }

    /// Loads the models that the plan wants on each engine, and unloads the others if they are loaded
    /// at their home server.
    fn apply_plan(&mut self) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].is_lost {
                continue;
            }
            let name = &self.deployment.engines[engine].name;
            let wanted: BTreeSet<Name> =
                self.plan.servers.get(name).into_iter().flatten().cloned().collect();
            let unwanted: Vec<Name> = self.loaded[engine]
                .keys()
                .filter(|model| !wanted.contains(*model))
                .cloned()
                .collect();
            for model in unwanted {
                if self.is_home_loaded(&model) {
                    self.loaded[engine].remove(&model);
                }
            }
            for model in wanted {
                if !self.loaded[engine].contains_key(&model) {
                    self.load(engine, model);
                }
            }
        }
        self.update_entries();
    }

    fn is_home_loaded(&self, model: &Name) -> bool {
        let Some(home) = self.plan.homes.get(model) else { return false };
        let engine = self.engine_index(home);
        self.loaded[engine].get(model).copied().unwrap_or(false)
    }

    fn load(&mut self, engine: usize, model: Name) {
        self.loaded[engine].insert(model.clone(), false);
        self.loads_waiting.push_back((engine, model));
        self.start_loads();
    }

    fn start_loads(&mut self) {
        while self.loads_in_progress < self.deployment.max_concurrent_loads
            && let Some((engine, model)) = self.loads_waiting.pop_front()
        {
            self.loads_in_progress += 1;
            let starts_at = self.next_load_at.max(self.now);
            self.next_load_at = starts_at + 1.0 / self.deployment.loads_per_second;
            let ends_at = starts_at + LOAD_TIME.as_secs_f64();
            self.schedule(ends_at, Event::Loaded { engine, model });
        }
    }

    pub(super) fn on_loaded(&mut self, engine: usize, model: &Name) {
        self.loads_in_progress -= 1;
        self.start_loads();
        if let Some(is_loaded) = self.loaded[engine].get_mut(model) {
            *is_loaded = true;
            if self.now > WARM_UP {
                self.score.moves += 1;
            }
            if self.now > TRACE_SECONDS / 2.0 {
                self.score.late_moves += 1;
            }
        }
        self.update_entries();
        if self.policy.placement == Placement::Plan {
            self.apply_plan();
        }
    }

    pub(super) fn add_copy_if_overloaded(&mut self, model: &Name, engine: usize) {
        if self.engines[engine].waiting.len() < LRU_COPY_THRESHOLD {
            return;
        }
        let size = |model: &Name| self.deployment.table.get(model).map_or(0, |row| row.memory_mib);
        let copies = |model: &Name| self.loaded.iter().filter(|l| l.contains_key(model)).count();
        let candidates = (0..self.engines.len()).filter(|index| {
            !self.engines[*index].is_lost && !self.loaded[*index].contains_key(model)
        });
        let Some(target) = candidates.min_by_key(|index| self.in_flight[*index]) else { return };
        let mut victims: Vec<(f64, Name)> = self.loaded[target]
            .iter()
            .filter(|(other, is_loaded)| **is_loaded && copies(other) > 1)
            .map(|(other, _)| {
                (self.last_used[target].get(other).copied().unwrap_or(0.0), other.clone())
            })
            .collect();
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        let used: u32 = self.loaded[target].keys().map(size).sum();
        let mut free = self.deployment.engines[target].memory_mib.saturating_sub(used);
        let mut chosen = Vec::new();
        for (_, victim) in victims {
            if free >= size(model) {
                break;
            }
            free += size(&victim);
            chosen.push(victim);
        }
        if free >= size(model) {
            for victim in chosen {
                self.loaded[target].remove(&victim);
            }
            self.load(target, model.clone());
        }
    }

    pub(super) fn update_entries(&mut self) {
        if self.policy.routing != Routing::Dispatch {
            return;
        }
        let infos: Vec<ServerInfo> = self
            .deployment
            .engines
            .iter()
            .enumerate()
            .map(|(index, vm)| ServerInfo {
                name: vm.name.clone(),
                region: vm.region.clone(),
                loaded: self.served_items(index),
                leaving: self.engines[index].is_lost,
            })
            .collect();
        for entry in &mut self.entries {
            entry.set_servers(infos.clone());
        }
    }

    fn served_items(&self, engine: usize) -> BTreeSet<Name> {
        let models = self.loaded[engine].iter().filter(|(_, is_loaded)| **is_loaded);
        let models: BTreeSet<&Name> = models.map(|(model, _)| model).collect();
        let belongs = |row: &&&Row| models.contains(row.base.as_ref().unwrap_or(&row.name));
        self.items.iter().filter(belongs).map(|row| row.name.clone()).collect()
    }
}
