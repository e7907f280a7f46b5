//! A fake engine for the search tests, which use its own memory accounting as the check.

// Each search test uses only a part of this module.
#![allow(dead_code)]

use std::collections::BTreeMap;

use savoryport_core::Name;
use savoryport_core::ledger::{
    EngineItem, EngineState, ItemState, Order, OrderKind, OrderResponse,
};

/// An engine that accounts for its memory by itself.
pub struct FakeEngine {
    capacity_mib: u32,
    checks_fencing: bool,
    pub incarnation: u64,
    highest_fence: u64,
    /// The memory in MiB of each item, and whether it is loaded.
    pub items: BTreeMap<Name, (u32, bool)>,
    pub overcommitted: bool,
}

impl FakeEngine {
    /// Creates an engine with empty memory.
    pub fn new(capacity_mib: u32, checks_fencing: bool) -> Self {
        Self {
            capacity_mib,
            checks_fencing,
            incarnation: 1,
            highest_fence: 0,
            items: BTreeMap::new(),
            overcommitted: false,
        }
    }

    /// Completes every load in progress and returns their number.
    pub fn finish_loads(&mut self) -> u64 {
        let mut finished = 0;
        for (_, is_loaded) in self.items.values_mut() {
            finished += u64::from(!*is_loaded);
            *is_loaded = true;
        }
        finished
    }

    /// Replaces the engine process by a new one with empty memory.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.highest_fence = 0;
        self.items.clear();
    }

    /// Returns whether a model is loaded.
    pub fn is_loaded(&self, model: &str) -> bool {
        self.items.get(model).is_some_and(|(_, is_loaded)| *is_loaded)
    }

    /// Executes an order, or refuses it because of its fencing number.
    pub fn execute(&mut self, order: &Order) -> OrderResponse {
        if self.checks_fencing && order.fence < self.highest_fence {
            return OrderResponse::Refused(self.state());
        }
        self.highest_fence = order.fence;
        match order.kind {
            OrderKind::Load => {
                self.items.entry(order.item.clone()).or_insert((order.memory_mib, false));
            }
            OrderKind::Unload => drop(self.items.remove(&order.item)),
        }
        let used_mib: u32 = self.items.values().map(|(mib, _)| mib).sum();
        self.overcommitted |= used_mib > self.capacity_mib;
        OrderResponse::Accepted(self.state())
    }

    /// Returns the state that the engine reports.
    pub fn state(&self) -> EngineState {
        let item = |(name, (mib, is_loaded)): (&Name, &(u32, bool))| EngineItem {
            name: name.clone(),
            memory_mib: *mib,
            state: if *is_loaded { ItemState::Loaded } else { ItemState::Loading },
        };
        EngineState {
            incarnation: self.incarnation,
            highest_fence: if self.checks_fencing { self.highest_fence } else { 0 },
            items: self.items.iter().map(item).collect(),
            draining: false,
        }
    }
}
