//! A whole platform on loopback: stand-ins for a demonstration or a test.

use std::net::TcpListener;
use std::time::Duration;

use savoryport_core::fleet::{Vm, VmList, VmRole};
use serde_json::{Value, json};

use crate::engine::{EngineConfig, EngineStandin};
use crate::kv::KvStandin;
use crate::service::ServiceStandin;
use crate::vms::VmListStandin;

/// Stand-ins for a platform and its backend servers.
pub struct LocalFleet {
    /// The key-value service.
    pub kv: KvStandin,
    /// The list of VMs.
    pub vms: VmListStandin,
    /// The engines, in the order of the list.
    pub engines: Vec<EngineStandin>,
    /// The plain services, in the order of the list.
    pub services: Vec<ServiceStandin>,
    /// The list that the platform shows first, with addresses on loopback.
    pub list: VmList,
}

impl LocalFleet {
    /// Starts a stand-in for each VM of a list, and moves every address to a free loopback port.
    ///
    /// `engine` makes the configuration of an engine from its entry in the list.
    pub fn start(mut list: VmList, lag: Duration, engine: impl Fn(&Vm) -> EngineConfig) -> Self {
        let (mut engines, mut services) = (Vec::new(), Vec::new());
        for (incarnation, vm) in (1..).zip(&mut list.vms) {
            match vm.role {
                VmRole::Entry => {
                    vm.address = free_address().into();
                    vm.control_address = Some(free_address().into());
                }
                VmRole::Engine => {
                    let standin = EngineStandin::start("127.0.0.1:0", engine(vm), incarnation);
                    vm.address = standin.address().into();
                    engines.push(standin);
                }
                VmRole::Service => {
                    let standin = ServiceStandin::start("127.0.0.1:0");
                    vm.address = standin.address().into();
                    services.push(standin);
                }
            }
        }
        let kv = KvStandin::start("127.0.0.1:0");
        let vms = VmListStandin::start("127.0.0.1:0", list.clone(), lag);
        Self { kv, vms, engines, services, list }
    }

    /// Returns the entry VMs.
    pub fn entries(&self) -> Vec<&Vm> {
        self.list.entries().collect()
    }

    /// Returns the settings of an entry VM's daemons.
    pub fn settings(&self, vm: &Vm) -> Value {
        let controls = self.list.entries().filter_map(|vm| vm.control_address.as_ref());
        let peers: Vec<&str> = controls
            .filter(|address| Some(*address) != vm.control_address.as_ref())
            .map(|address| &**address)
            .collect();
        json!({
            "vm": vm.name,
            "failure_domain": vm.failure_domain,
            "region": vm.region,
            "entry_listen": vm.address,
            "entry_metrics_listen": free_address(),
            "control_listen": vm.control_address,
            "control_metrics_listen": free_address(),
            "key_value": self.kv.address(),
            "vm_list": self.vms.address(),
            "peers": peers,
            "log_level": "warn",
        })
    }
}

/// Returns a loopback address that nobody listened on a moment ago.
///
/// # Panics
///
/// Panics where the system has no free port.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound listener").to_string()
}
