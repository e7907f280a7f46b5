//! The platform's list of VMs, including the backend servers.

use crate::Name;

value! {
    /// The kind of process that a VM runs.
    #[serde(rename_all = "lowercase")]
    pub enum VmRole {
        /// Runs the two daemons of savoryport, entry and control.
        Entry,
        /// Runs a model engine.
        Engine,
        /// Runs a service that is not a model engine.
        Service,
    }

    /// One VM of the platform's list, which lags behind the VM's actual state.
    pub struct Vm {
        /// The name of the VM, unique in the fleet.
        pub name: Name,
        /// The kind of process that the VM runs.
        pub role: VmRole,
        /// IP address and port that serve requests.
        pub address: Name,
        /// IP address and port of the control process, which only entry VMs have.
        #[serde(default)]
        pub control_address: Option<Name>,
        /// The failure domain of the VM.
        pub failure_domain: Name,
        /// The region of the failure domain.
        pub region: Name,
        /// Whether the platform has announced the removal of the VM.
        #[serde(default)]
        pub leaving: bool,
        /// Accelerator memory in MiB; 0 on VMs that run no engine.
        #[serde(default)]
        pub memory_mib: u32,
        /// Whether the engine rejects orders with an outdated fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
        /// The services that the VM runs.
        #[serde(default)]
        pub services: Vec<Name>,
    }

    /// A snapshot of the platform's list of VMs.
    #[derive(Default)]
    pub struct VmList {
        /// The version of the list, which increases with each change.
        pub version: u64,
        /// The VMs, in any order.
        pub vms: Vec<Vm>,
    }
}

impl VmList {
    /// Returns the VMs that run a model engine, including those about to be removed.
    pub fn engines(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.role == VmRole::Engine)
    }

    /// Returns the entry VMs, including those about to be removed.
    pub fn entries(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.role == VmRole::Entry)
    }

    /// Returns the VM with the given name.
    pub fn get(&self, name: &str) -> Option<&Vm> {
        self.vms.iter().find(|vm| &*vm.name == name)
    }
}
