//! A node's replica of the fleet's state, and the updates by which nodes synchronize it.
//!
//! All state is versioned and only moves forward: a higher version replaces a lower one, whichever
//! node sends it, and a lower one is ignored. A node that restarts while the key-value service is
//! unreachable can therefore get the state from its peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Name;
use crate::fleet::VmList;
use crate::ledger::{ReservationState, ServerRecord};
use crate::placement::Plan;
use crate::table::{Table, TableDelta};

value! {
    /// What one server has in memory, according to its ledger.
    pub struct Residency {
        /// The revision of the ledger, which increases with every change.
        pub revision: u64,
        /// The version of the plan that the ledger's holder follows.
        pub plan_version: u64,
        /// The models and adapters that are loaded and can answer requests.
        pub loaded: Vec<Name>,
        /// The VM of the control process that may send orders to the server.
        pub holder: Option<Name>,
        /// The server's memory according to its ledger.
        pub memory: MemoryUse,
    }

    /// The use of one server's memory, in MiB.
    pub struct MemoryUse {
        /// The memory of all reservations, in MiB.
        pub reserved_mib: u32,
        /// The part of it that is kept reserved for load orders that may still arrive, in MiB.
        pub retained_mib: u32,
        /// The memory that may be reserved, in MiB.
        pub capacity_mib: u32,
    }

    /// The value of a small key in the key-value service, such as the holder of a lease or an order
    /// to drain a VM.
    pub struct Mark {
        /// The key-value service's revision of the latest change.
        pub revision: u64,
        /// The value, or `None` after the mark was removed.
        pub value: Option<Name>,
    }

    /// The versions that a node has, which it sends to others to receive only what is newer.
    #[derive(Default)]
    pub struct Versions {
        /// The version of the table.
        pub table: u64,
        /// The version of the plan.
        pub plan: u64,
        /// The version of the list of VMs.
        pub vms: u64,
        /// The watermark: the revision up to which the node has received every change of ledgers
        /// and marks. Changes that it learned individually, such as its own writes, do not raise
        /// it.
        pub seen: u64,
    }

    /// The state that one node sends to another that lacks it.
    #[derive(Default)]
    pub struct Update {
        /// The whole table, for a node whose version is too old for a delta.
        pub table: Option<Table>,
        /// The changed rows of the table.
        pub delta: Option<TableDelta>,
        /// The plan, if it is newer.
        pub plan: Option<Plan>,
        /// The list of VMs, if it is newer.
        pub vms: Option<VmList>,
        /// The servers whose ledgers changed, by name.
        pub residency: BTreeMap<Name, Residency>,
        /// The marks that changed, by key.
        pub marks: BTreeMap<Name, Mark>,
        /// The sender's watermark, or 0 for an update with individual changes.
        pub seen: u64,
    }
}

impl Residency {
    /// Extracts from a ledger what entries need to know.
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

/// The number of table deltas that a node keeps for others with an older version.
const MAX_KEPT_DELTAS: usize = 64;

/// A node's copy of the fleet's state.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// The table in force.
    pub table: Arc<Table>,
    /// The plan in force.
    pub plan: Arc<Plan>,
    /// The list of VMs.
    pub vms: Arc<VmList>,
    /// The contents of each server, by server name.
    pub residency: BTreeMap<Name, Residency>,
    /// The marks by key.
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

    /// Merges the newer parts of an update and returns whether there were any, including a higher
    /// watermark.
    pub fn merge(&mut self, update: Update) -> bool {
        let before = self.versions();
        let table = update.table.or_else(|| update.delta.and_then(|d| d.apply(&self.table)));
        if let Some(table) = table {
            self.merge_table(table);
        }
        if let Some(plan) = update.plan.filter(|plan| plan.version > self.plan.version) {
            self.plan = Arc::new(plan);
        }
        if let Some(vms) = update.vms.filter(|vms| vms.version > self.vms.version) {
            self.vms = Arc::new(vms);
        }
        let mut changed = false;
        for (server, residency) in update.residency {
            changed |= self.merge_residency(server, residency);
        }
        for (key, mark) in update.marks {
            changed |= self.merge_mark(key, mark);
        }
        self.seen = self.seen.max(update.seen);
        changed || before != self.versions()
    }

    /// Adds a removal to a full listing of the key-value service for each mark that this node knows
    /// but the listing lacks, since such a mark must have been deleted.
    pub fn add_removed_marks(&self, mut listing: Update) -> Update {
        let revision = listing.seen;
        for (key, mark) in &self.marks {
            if mark.revision <= revision && !listing.marks.contains_key(key) {
                listing.marks.insert(key.clone(), Mark { revision, value: None });
            }
        }
        listing
    }

    fn merge_mark(&mut self, key: Name, mark: Mark) -> bool {
        let is_newer = mark.revision > self.marks.get(&key).map_or(0, |known| known.revision);
        if is_newer {
            self.marks.insert(key, mark);
        }
        is_newer
    }

    fn merge_table(&mut self, table: Table) {
        if table.version <= self.table.version {
            return;
        }
        self.deltas.push(TableDelta::between(&self.table, &table));
        let excess = self.deltas.len().saturating_sub(MAX_KEPT_DELTAS);
        self.deltas.drain(..excess);
        self.table = Arc::new(table);
    }

    fn merge_residency(&mut self, server: Name, residency: Residency) -> bool {
        let known_revision = self.residency.get(&server).map_or(0, |known| known.revision);
        let is_newer = residency.revision > known_revision;
        if is_newer {
            self.residency.insert(server, residency);
        }
        is_newer
    }

    /// Returns the state that a node with the given versions lacks.
    pub fn update_for(&self, have: &Versions) -> Update {
        let mut update = Update::default();
        if have.table < self.table.version {
            let delta = (have.table > 0).then(|| self.combined_delta(have.table)).flatten();
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

    /// Returns whether an item stays reachable without its copy on a server.
    ///
    /// This holds if the plan's home for the item is another server whose ledger follows this plan
    /// and has the item loaded: that copy stays until a later plan names another home and the new
    /// home has the item loaded.
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

    /// Returns the value of a mark, or `None` if it is unknown or was removed.
    pub fn mark(&self, key: &str) -> Option<&Name> {
        self.marks.get(key)?.value.as_ref()
    }

    /// Returns the kept deltas from `version` on, combined into one.
    fn combined_delta(&self, version: u64) -> Option<TableDelta> {
        let start = self.deltas.iter().position(|delta| delta.from == version)?;
        let deltas = &self.deltas[start..];
        let is_contiguous = deltas.windows(2).all(|pair| pair[0].to == pair[1].from);
        let last = deltas.last()?;
        let changes = deltas.iter().flat_map(|delta| delta.changes.clone()).collect();
        let (from, change_id) = (version, last.change_id.clone());
        is_contiguous.then_some(TableDelta { from, to: last.to, change_id, changes })
    }
}

impl Update {
    /// Returns whether the update contains nothing but the watermark.
    pub fn is_empty(&self) -> bool {
        *self == Self { seen: self.seen, ..Self::default() }
    }
}
