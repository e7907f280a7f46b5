//! A complete set of stand-ins on loopback addresses, for demonstrations and tests.

use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use savoryport_core::fleet::{Vm, VmList, VmRole};
use serde_json::{Value, json};

use crate::engine::{EngineConfig, EngineStandin};
use crate::kv::KvStandin;
use crate::service::ServiceStandin;
use crate::vm_list::VmListStandin;

/// The stand-ins for a platform and its backend servers.
pub struct LocalFleet {
    /// The key-value service.
    pub kv: KvStandin,
    /// The service that publishes the list of VMs.
    pub vm_list: VmListStandin,
    /// The engines, in the order of `initial_list`.
    pub engines: Vec<EngineStandin>,
    /// The plain services, in the order of `initial_list`.
    pub services: Vec<ServiceStandin>,
    /// The list of VMs that is published at the start, with the loopback addresses.
    pub initial_list: VmList,
}

impl LocalFleet {
    /// Starts a stand-in for each engine and service of a list, and replaces the addresses of all
    /// VMs with free loopback addresses.
    ///
    /// `lag` is the time after which a change of the VM list becomes visible. `engine_config`
    /// returns the configuration of an engine from its entry in the list.
    pub fn start(
        mut list: VmList,
        lag: Duration,
        engine_config: impl Fn(&Vm) -> EngineConfig,
    ) -> Self {
        let (mut engines, mut services) = (Vec::new(), Vec::new());
        for (incarnation, vm) in (1..).zip(&mut list.vms) {
            match vm.role {
                VmRole::Entry => {
                    vm.address = free_address().into();
                    vm.control_address = Some(free_address().into());
                }
                VmRole::Engine => {
                    let standin =
                        EngineStandin::start("127.0.0.1:0", engine_config(vm), incarnation);
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
        let vm_list = VmListStandin::start("127.0.0.1:0", list.clone(), lag);
        Self { kv, vm_list, engines, services, initial_list: list }
    }

    /// Returns the entry VMs.
    pub fn entries(&self) -> Vec<&Vm> {
        self.initial_list.entries().collect()
    }

    /// Returns the settings of the daemons on an entry VM.
    pub fn settings(&self, vm: &Vm) -> Value {
        let control_addresses =
            self.initial_list.entries().filter_map(|vm| vm.control_address.as_ref());
        let peers: Vec<&str> = control_addresses
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
            "vm_list": self.vm_list.address(),
            "peers": peers,
            "log_level": "warn",
        })
    }
}

/// Writes the settings file of a daemon, or replaces it as a whole, because another daemon that
/// uses the same file may be reading it.
///
/// # Panics
///
/// Panics if the file can't be written.
pub fn write_settings(path: &Path, settings: &Value) {
    let new_file = path.with_extension("new");
    std::fs::write(&new_file, settings.to_string()).expect("the directory is writable");
    std::fs::rename(&new_file, path).expect("the settings file can be replaced");
}

/// Returns a loopback address for a daemon to listen on.
///
/// A port that was found free on 127.0.0.1 may meanwhile be taken by an outgoing connection of any
/// process, because those use 127.0.0.1 as their source address. So each process returns ports on
/// its own loopback IP address, which is derived from the process id.
pub fn free_address() -> String {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(7_000);
    let pid = std::process::id();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    format!("127.{}.{}.1:{port}", 1 + pid / 250 % 250, 1 + pid % 250)
}
