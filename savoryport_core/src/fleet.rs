//! The VMs and backend servers that the platform's list names.

use crate::Name;

value! {
    /// What a VM is there for.
    #[serde(rename_all = "lowercase")]
    pub enum VmRole {
        /// Runs the two daemons of savoryport.
        Entry,
        /// Runs a model engine.
        Engine,
        /// Runs a plain service.
        Service,
    }

    /// One VM of the platform's list, which lags behind the truth.
    pub struct Vm {
        /// The name of the VM, unique in the fleet.
        pub name: Name,
        /// What the VM is there for.
        pub role: VmRole,
        /// IP address and port at which it serves.
        pub address: Name,
        /// IP address and port of the control process; only entry VMs have one.
        #[serde(default)]
        pub control_address: Option<Name>,
        /// The failure domain that the VM stands in.
        pub failure_domain: Name,
        /// The region of that failure domain.
        pub region: Name,
        /// Whether the platform has announced that the VM goes away.
        #[serde(default)]
        pub leaving: bool,
        /// Accelerator memory in MiB; 0 for VMs that are no engines.
        #[serde(default)]
        pub memory_mib: u32,
        /// Whether the engine refuses an order with an old fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
        /// The plain services that the VM runs.
        #[serde(default)]
        pub services: Vec<Name>,
    }

    /// The platform's list of VMs as it was at some moment.
    #[derive(Default)]
    pub struct VmList {
        /// Rises with each change of the list.
        pub version: u64,
        /// The VMs, in any order.
        pub vms: Vec<Vm>,
    }
}

impl VmList {
    /// Returns the model engines, leaving ones included.
    pub fn engines(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.role == VmRole::Engine)
    }

    /// Returns the entry VMs, leaving ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().filter(|vm| vm.role == VmRole::Entry)
    }

    /// Returns the VM of that name.
    pub fn get(&self, name: &str) -> Option<&Vm> {
        self.vms.iter().find(|vm| &*vm.name == name)
    }
}
