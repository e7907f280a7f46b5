//! The record of one server, as stored in the key-value service.

use smallvec::SmallVec;

use crate::Name;

key! {
    /// What an order tells the engine to do.
    #[serde(rename_all = "lowercase")]
    pub enum OrderKind {
        /// Load a model or adapter into memory.
        Load,
        /// Remove it from memory.
        Unload,
    }
}

key! {
    /// The state of a model or adapter in the engine's memory.
    #[serde(rename_all = "lowercase")]
    pub enum ItemState {
        /// Its memory is allocated, but it does not answer requests yet.
        Loading,
        /// It answers requests.
        Loaded,
    }
}

key! {
    /// The state of a reservation.
    #[serde(rename_all = "lowercase")]
    pub enum ReservationState {
        /// A load may be in progress.
        Reserved,
        /// The engine confirmed the load.
        Loaded,
        /// An unload may be in progress.
        Unloading,
        /// The item is not in memory, but an order that may still arrive could load it.
        Retained,
    }
}

value! {
    /// Identifies a control process; a restarted process has another identity.
    pub struct HolderId {
        /// The VM that the process runs on.
        pub vm: Name,
        /// Differs between the successive processes on that VM.
        pub incarnation: u64,
    }

    /// An order to an engine, written to the record before it is sent.
    pub struct Order {
        /// The fencing number, which increases with each order to a server.
        pub fence: u64,
        /// Whether to load or to unload.
        pub kind: OrderKind,
        /// The model or adapter.
        pub item: Name,
        /// The model that the adapter belongs to; `None` for a model and in an unload order.
        pub base: Option<Name>,
        /// The memory that the item needs, in MiB.
        pub memory_mib: u32,
        /// The process that recorded the order. No other process may send it.
        pub issuer: HolderId,
    }

    /// Which engine processes a stray order may still reach.
    pub enum StrayReach {
        /// Any of them: the issuer may still send the order, to whichever engine process is
        /// running.
        Open,
        /// Any that has been started so far: the issuer will not send the order again, but its
        /// bytes may still be in transit.
        Closed,
        /// The engine process of this incarnation and earlier ones, but no later one: this process
        /// was seen running after the issuer had sent the order for the last time.
        UpTo(u64),
    }

    /// A load order of which a copy may still reach the engine.
    pub struct StrayOrder {
        /// The fencing number of the order.
        pub fence: u64,
        /// The process that recorded the order.
        pub issuer: HolderId,
        /// Which engine processes it may still reach.
        pub reach: StrayReach,
    }

    /// Memory reserved for a model or adapter.
    pub struct Reservation {
        /// The model or adapter.
        pub item: Name,
        /// The reserved memory in MiB.
        pub memory_mib: u32,
        /// The state of the load or unload that the reservation is for.
        pub state: ReservationState,
        /// Load orders for the item that may still arrive.
        pub strays: SmallVec<[StrayOrder; 1]>,
    }

    /// The ledger of one server: its memory reservations and the order in progress.
    pub struct ServerRecord {
        /// The highest fencing number assigned so far.
        pub fence: u64,
        /// The control process that may record orders; a successor takes over by writing its own
        /// identity here.
        pub holder: Option<HolderId>,
        /// The version of the plan that the holder follows. Nothing is unloaded under an older
        /// plan.
        pub plan_version: u64,
        /// The memory that may be reserved, in MiB.
        pub capacity_mib: u32,
        /// Whether the engine refuses an order with an outdated fencing number.
        pub checks_fencing: bool,
        /// The incarnation of the engine process that confirmed the states below.
        pub engine_incarnation: u64,
        /// The models and adapters that are in memory or may still be loaded into it.
        pub reservations: Vec<Reservation>,
        /// The order in progress, of which there is at most one.
        pub pending: Option<Order>,
    }

    /// One model or adapter in the engine's memory, as the engine reports it.
    pub struct EngineItem {
        /// The model or adapter.
        pub name: Name,
        /// The memory that it occupies, in MiB.
        pub memory_mib: u32,
        /// Whether it is still loading.
        pub state: ItemState,
    }

    /// The engine's own report of its memory at the time of its response.
    pub struct EngineState {
        /// Differs for each engine process.
        pub incarnation: u64,
        /// The highest fencing number that the engine has seen, or 0 if it does not check fencing.
        pub highest_fence: u64,
        /// The models and adapters in memory.
        pub items: Vec<EngineItem>,
        /// Whether the engine is draining and takes no new work.
        #[serde(default)]
        pub draining: bool,
    }
}

impl ServerRecord {
    /// Creates a record without reservations.
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

    /// Returns the memory in MiB that is reserved only because of orders that may still arrive.
    pub fn retained_mib(&self) -> u32 {
        let is_retained =
            |reservation: &&Reservation| reservation.state == ReservationState::Retained;
        self.reservations.iter().filter(is_retained).map(|reservation| reservation.memory_mib).sum()
    }

    /// Returns the reservation of an item.
    pub fn get(&self, item: &str) -> Option<&Reservation> {
        self.reservations.iter().find(|reservation| &*reservation.item == item)
    }

    /// Returns whether the engine confirmed that the item is loaded.
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
