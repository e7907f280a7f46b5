//! The record of one server, as it stands in the key-value service.

use smallvec::SmallVec;

use crate::Name;

key! {
    /// The direction of an order.
    #[serde(rename_all = "lowercase")]
    pub enum OrderKind {
        /// Bring a model or adapter into memory.
        Load,
        /// Take it out of memory.
        Unload,
    }
}

key! {
    /// How far an item has come in the engine's memory.
    #[serde(rename_all = "lowercase")]
    pub enum ItemState {
        /// Its memory is taken; it does not answer yet.
        Loading,
        /// It answers.
        Loaded,
    }
}

key! {
    /// How far a reservation has come.
    #[serde(rename_all = "lowercase")]
    pub enum ReservationState {
        /// A load may be under way.
        Reserved,
        /// The engine confirmed the load.
        Loaded,
        /// An unload may be under way.
        Unloading,
        /// Not in memory, but an order that may still arrive could load it.
        Retained,
    }
}

value! {
    /// One control process; a restart makes another.
    pub struct HolderId {
        /// The VM it runs on.
        pub vm: Name,
        /// Differs for each process on that VM.
        pub incarnation: u64,
    }

    /// An order to an engine, recorded before it is sent.
    pub struct Order {
        /// The fencing number; each order of a server has a higher one.
        pub fence: u64,
        /// The direction.
        pub kind: OrderKind,
        /// The model or adapter.
        pub item: Name,
        /// The model that an adapter belongs to.
        pub base: Option<Name>,
        /// Its memory in MiB.
        pub memory_mib: u32,
        /// The process that recorded the order, which alone may send it.
        pub issuer: HolderId,
    }

    /// How a stray order may still reach an engine.
    pub enum StrayReach {
        /// The issuer may still send it, to whatever engine process it finds.
        Open,
        /// The issuer will not send it again; bytes may be under way to any engine process so far.
        Closed,
        /// Bytes may be under way to this engine process or to an earlier one, and to no later one:
        /// it was seen running after the issuer's last sending.
        UpTo(u64),
    }

    /// A load order that may still reach the engine.
    pub struct StrayOrder {
        /// Its fencing number.
        pub fence: u64,
        /// The process that recorded it.
        pub issuer: HolderId,
        /// How it may still arrive.
        pub reach: StrayReach,
    }

    /// Memory set aside for a model or adapter.
    pub struct Reservation {
        /// The model or adapter.
        pub item: Name,
        /// Its memory in MiB.
        pub memory_mib: u32,
        /// How far it has come.
        pub state: ReservationState,
        /// Load orders that may still arrive.
        pub strays: SmallVec<[StrayOrder; 1]>,
    }

    /// The ledger of one server.
    pub struct ServerRecord {
        /// The highest fencing number given to an order.
        pub fence: u64,
        /// The process that may record orders; a later one takes over by writing its own name.
        pub holder: Option<HolderId>,
        /// The plan that the holder follows; it unloads nothing under an older one.
        pub plan_version: u64,
        /// The memory that may be reserved, in MiB.
        pub capacity_mib: u32,
        /// Whether the engine refuses an order with an old fencing number.
        pub checks_fencing: bool,
        /// The engine process that the states below were confirmed by.
        pub engine_incarnation: u64,
        /// What is, may be or may yet come to be in memory.
        pub reservations: Vec<Reservation>,
        /// The one order under way.
        pub pending: Option<Order>,
    }

    /// One model or adapter in the engine's memory, as the engine reports it.
    pub struct EngineItem {
        /// The model or adapter.
        pub name: Name,
        /// Its memory in MiB.
        pub memory_mib: u32,
        /// How far it has come.
        pub state: ItemState,
    }

    /// The engine's own word about its memory at the moment of the answer.
    pub struct EngineState {
        /// Differs for each engine process.
        pub incarnation: u64,
        /// The highest fencing number that the engine has seen; 0 where it does not check.
        pub highest_fence: u64,
        /// What is in memory.
        pub items: Vec<EngineItem>,
        /// Whether the engine takes no new work.
        #[serde(default)]
        pub draining: bool,
    }
}

impl ServerRecord {
    /// Returns an empty ledger.
    pub fn new(capacity_mib: u32, checks_fencing: bool) -> Self {
        Self {
            fence: 0,
            holder: None,
            plan_version: 0,
            capacity_mib,
            checks_fencing,
            engine_incarnation: 0,
            reservations: Vec::new(),
            pending: None,
        }
    }

    /// Returns the reserved memory in MiB.
    pub fn reserved_mib(&self) -> u32 {
        self.reservations.iter().map(|reservation| reservation.memory_mib).sum()
    }

    /// Returns the memory in MiB that is held back only for orders that may still arrive.
    pub fn retained_mib(&self) -> u32 {
        let retained = |reservation: &&Reservation| reservation.state == ReservationState::Retained;
        self.reservations.iter().filter(retained).map(|reservation| reservation.memory_mib).sum()
    }

    /// Returns the reservation of an item.
    pub fn get(&self, item: &str) -> Option<&Reservation> {
        self.reservations.iter().find(|reservation| &*reservation.item == item)
    }

    /// Returns whether the engine confirmed that the item answers.
    pub fn is_loaded(&self, item: &str) -> bool {
        self.get(item).is_some_and(|reservation| reservation.state == ReservationState::Loaded)
    }

    pub(super) fn get_mut(&mut self, item: &str) -> Option<&mut Reservation> {
        self.reservations.iter_mut().find(|reservation| &*reservation.item == item)
    }
}

impl EngineState {
    /// Returns the item of that name.
    pub fn get(&self, name: &str) -> Option<&EngineItem> {
        self.items.iter().find(|item| &*item.name == name)
    }
}
