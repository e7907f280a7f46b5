//! The two example deployments that are simulated, at their full sizes.

use std::time::Duration;

use savoryport_core::fleet::{Vm, VmList};
use savoryport_core::table::{Row, Table, parse_csv};

/// A fleet and its table.
pub struct Deployment {
    /// The name used in reports.
    pub name: &'static str,
    /// The engines.
    pub engines: Vec<Vm>,
    /// The entry VMs.
    pub entries: Vec<Vm>,
    /// The table in force.
    pub table: Table,
    /// The number of model loads that may start per second, which the weight store limits.
    pub loads_per_second: f64,
    /// The number of concurrent loads that the weight store serves at full speed.
    pub max_concurrent_loads: u32,
}

/// The largest number of requests in one engine's batch.
pub const SLOTS: u32 = 16;

/// The time that one model load takes at full speed.
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
        max_concurrent_loads: u32,
    ) -> Self {
        let rows = parse_csv(table.as_bytes()).expect("the example table is valid");
        let list: VmList = serde_json::from_str(vms).expect("the example VM list is valid");
        Self {
            name,
            engines: list.engines().cloned().collect(),
            entries: list.entries().cloned().collect(),
            table: Table { version: 1, change_id: String::new(), rows },
            loads_per_second,
            max_concurrent_loads,
        }
    }

    /// Returns the table rows that engines serve.
    pub fn items(&self) -> Vec<&Row> {
        self.table.items().collect()
    }
}
