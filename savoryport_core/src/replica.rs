//! What a node knows of the fleet, and how it takes over what others know.
//!
//! Everything here only moves forward: a higher version replaces a lower one, whoever brings it,
//! and a lower one is ignored. A node that restarts during an outage therefore asks its peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Name;
use crate::fleet::VmList;
use crate::ledger::{ReservationState, ServerRecord};
use crate::placement::Plan;
use crate::table::{Table, TableDelta};

value! {
    /// What stands on one server, as its ledger says.
    pub struct Residency {
        /// Rises with every change of the ledger.
        pub revision: u64,
        /// The plan that the ledger's holder follows.
        pub plan_version: u64,
        /// Models and adapters that answer.
        pub loaded: Vec<Name>,
        /// The process that gives the orders.
        pub holder: Option<Name>,
        /// Memory in MiB by ledger: reserved, retained, capacity.
        pub memory: MemoryUse,
    }

    /// Memory of one server in MiB.
    pub struct MemoryUse {
        /// All reservations.
        pub reserved_mib: u32,
        /// Those held back for orders that may still arrive.
        pub retained_mib: u32,
        /// What may be reserved.
        pub capacity_mib: u32,
    }

    /// A short fact about the fleet, such as the holder of a lease or a drain that was ordered.
    pub struct Mark {
        /// The key-value service's revision of the change.
        pub revision: u64,
        /// The fact, or `None` once it no longer holds.
        pub value: Option<Name>,
    }

    /// The versions that a node has, so that others send only what is newer.
    #[derive(Default)]
    pub struct Versions {
        /// The table's version.
        pub table: u64,
        /// The plan's version.
        pub plan: u64,
        /// The version of the list of VMs.
        pub vms: u64,
        /// The revision up to which the node knows of every change of ledgers and marks. What it
        /// learned directly, such as its own writes, does not count.
        pub seen: u64,
    }

    /// What a node lacks.
    #[derive(Default)]
    pub struct Update {
        /// The whole table, for a node that is too far behind for rows.
        pub table: Option<Table>,
        /// The rows that differ.
        pub delta: Option<TableDelta>,
        /// The plan.
        pub plan: Option<Plan>,
        /// The list of VMs.
        pub vms: Option<VmList>,
        /// The servers whose ledgers changed.
        pub residency: BTreeMap<Name, Residency>,
        /// The marks that changed.
        pub marks: BTreeMap<Name, Mark>,
        /// The revision up to which the sender knows of every change, or 0 for single news.
        pub seen: u64,
    }
}

impl Residency {
    /// Returns what the entries need to know of a ledger.
    pub fn from_record(record: &ServerRecord, revision: u64) -> Self {
        let loaded = |state| state == ReservationState::Loaded;
        Self {
            revision,
            plan_version: record.plan_version,
            loaded: (record.reservations.iter())
                .filter(|reservation| loaded(reservation.state))
                .map(|reservation| reservation.item.clone())
                .collect(),
            holder: record.holder.as_ref().map(|holder| holder.vm.clone()),
            memory: MemoryUse {
                reserved_mib: record.reserved_mib(),
                retained_mib: record.retained_mib(),
                capacity_mib: record.capacity_mib,
            },
        }
    }
}

/// How many row deltas a node keeps for those that are behind.
const KEPT_DELTAS: usize = 64;

/// What a node knows.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// The table in force.
    pub table: Arc<Table>,
    /// The plan in force.
    pub plan: Arc<Plan>,
    /// The list of VMs.
    pub vms: Arc<VmList>,
    /// What stands on each server.
    pub residency: BTreeMap<Name, Residency>,
    /// Short facts by key.
    pub marks: BTreeMap<Name, Mark>,
    deltas: Vec<TableDelta>,
    seen: u64,
}

impl Replica {
    /// Returns the versions that the node has.
    pub fn versions(&self) -> Versions {
        Versions {
            table: self.table.version,
            plan: self.plan.version,
            vms: self.vms.version,
            seen: self.seen,
        }
    }

    /// Takes over what is newer and returns whether anything was, be it only the watermark.
    pub fn merge(&mut self, update: Update) -> bool {
        let before = self.versions();
        let table = update.table.or_else(|| update.delta.and_then(|d| d.apply(&self.table)));
        if let Some(table) = table {
            self.take_table(table);
        }
        if let Some(plan) = update.plan.filter(|plan| plan.version > self.plan.version) {
            self.plan = Arc::new(plan);
        }
        if let Some(vms) = update.vms.filter(|vms| vms.version > self.vms.version) {
            self.vms = Arc::new(vms);
        }
        let mut changed = false;
        for (server, residency) in update.residency {
            changed |= self.take_residency(server, residency);
        }
        for (key, mark) in update.marks {
            changed |= self.take_mark(key, mark);
        }
        self.seen = self.seen.max(update.seen);
        changed || before != self.versions()
    }

    /// Adds to a whole listing of the key-value service what must have been removed since: marks
    /// that this node knows and the listing lacks.
    pub fn add_removed_marks(&self, mut listing: Update) -> Update {
        let revision = listing.seen;
        for (key, mark) in &self.marks {
            if mark.revision <= revision && !listing.marks.contains_key(key) {
                listing.marks.insert(key.clone(), Mark { revision, value: None });
            }
        }
        listing
    }

    fn take_mark(&mut self, key: Name, mark: Mark) -> bool {
        let is_newer = mark.revision > self.marks.get(&key).map_or(0, |known| known.revision);
        if is_newer {
            self.marks.insert(key, mark);
        }
        is_newer
    }

    fn take_table(&mut self, table: Table) {
        if table.version <= self.table.version {
            return;
        }
        self.deltas.push(TableDelta::between(&self.table, &table));
        let excess = self.deltas.len().saturating_sub(KEPT_DELTAS);
        self.deltas.drain(..excess);
        self.table = Arc::new(table);
    }

    fn take_residency(&mut self, server: Name, residency: Residency) -> bool {
        let known = self.residency.get(&server).map_or(0, |known| known.revision);
        let is_newer = residency.revision > known;
        if is_newer {
            self.residency.insert(server, residency);
        }
        is_newer
    }

    /// Returns what a node with the given versions lacks.
    pub fn update_for(&self, have: &Versions) -> Update {
        let mut update = Update::default();
        if have.table < self.table.version {
            let delta = (have.table > 0).then(|| self.delta_from(have.table)).flatten();
            update.table = delta.is_none().then(|| (*self.table).clone());
            update.delta = delta;
        }
        update.plan = (have.plan < self.plan.version).then(|| (*self.plan).clone());
        update.vms = (have.vms < self.vms.version).then(|| (*self.vms).clone());
        update.residency = self
            .residency
            .iter()
            .filter(|(_, residency)| residency.revision > have.seen)
            .map(|(server, residency)| (server.clone(), residency.clone()))
            .collect();
        update.marks = self
            .marks
            .iter()
            .filter(|(_, mark)| mark.revision > have.seen)
            .map(|(key, mark)| (key.clone(), mark.clone()))
            .collect();
        update.seen = self.seen;
        update
    }

    /// Returns whether an item stays reachable without the copy on a server.
    ///
    /// It does where the plan's home of it is another server whose ledger follows this plan and has
    /// it loaded: that copy stays until a later plan names another home, and that one has it loaded.
    pub fn may_unload(&self, server: &str, item: &str) -> bool {
        let Some(home) = self.plan.home_of(item, &self.table) else {
            return self.table.get(item).is_none();
        };
        &**home != server
            && self.residency.get(home).is_some_and(|residency| {
                residency.plan_version >= self.plan.version
                    && residency.loaded.iter().any(|loaded| &**loaded == item)
            })
    }

    /// Returns the value of a mark that holds.
    pub fn mark(&self, key: &str) -> Option<&Name> {
        self.marks.get(key)?.value.as_ref()
    }

    fn delta_from(&self, version: u64) -> Option<TableDelta> {
        let start = self.deltas.iter().position(|delta| delta.from == version)?;
        let steps = &self.deltas[start..];
        let connected = steps.windows(2).all(|pair| pair[0].to == pair[1].from);
        let to = steps.last()?;
        let changes = steps.iter().flat_map(|delta| delta.changes.clone()).collect();
        let (from, change_id) = (version, to.change_id.clone());
        connected.then_some(TableDelta { from, to: to.to, change_id, changes })
    }
}

impl Update {
    /// Returns whether there is no news in it.
    pub fn is_empty(&self) -> bool {
        *self == Self { seen: self.seen, ..Self::default() }
    }
}
