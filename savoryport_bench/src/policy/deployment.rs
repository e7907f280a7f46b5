//! The two deployments of the brief, at its sizes.

use std::time::Duration;

use savoryport_core::fleet::{Vm, VmList};
use savoryport_core::table::{Row, Table, parse_csv};

/// A fleet with its table.
pub struct Deployment {
    /// The name used in reports.
    pub name: &'static str,
    /// The engines.
    pub engines: Vec<Vm>,
    /// The entry VMs.
    pub entries: Vec<Vm>,
    /// The table in force.
    pub table: Table,
    /// Loads that the weight store begins each second.
    pub loads_per_second: f64,
    /// Loads at once at full speed.
    pub full_speed_loads: u32,
}

/// Requests that one engine has in its batch.
pub const SLOTS: u32 = 16;

/// The time that one load of a model takes at full speed.
pub const LOAD_TIME: Duration = Duration::from_secs(6);

impl Deployment {
    /// Returns both deployments.
    pub fn all() -> [Self; 2] {
        [Self::vilnas_kods(), Self::kivela()]
    }

    fn vilnas_kods() -> Self {
        let table = include_str!("../../../examples/vilnas-kods/table.csv");
        let vms = include_str!("../../../examples/vilnas-kods/vms.json");
        Self::parse("vilnas-kods", table, vms, 2.0, 8)
    }

    fn kivela() -> Self {
        let table = include_str!("../../../examples/kivela/table.csv");
        let vms = include_str!("../../../examples/kivela/vms.json");
        Self::parse("kivela", table, vms, 1.5, 7)
    }

    fn parse(
        name: &'static str,
        table: &str,
        vms: &str,
        loads_per_second: f64,
        full_speed_loads: u32,
    ) -> Self {
        let rows = parse_csv(table.as_bytes()).expect("the example table is good");
        let list: VmList = serde_json::from_str(vms).expect("the example list is good");
        Self {
            name,
            engines: list.engines().cloned().collect(),
            entries: list.entries().cloned().collect(),
            table: Table { version: 1, change_id: String::new(), rows },
            loads_per_second,
            full_speed_loads,
        }
    }

    /// Returns the rows that engines answer.
    pub fn items(&self) -> Vec<&Row> {
        self.table.items().collect()
    }
}
