//! The memory ledger: everything that is in a server's memory, or may still be loaded into it.
//!
//! The server's record in the key-value service is authoritative for its memory. An order is sent
//! only after its reservation has been written there, and a reservation is released only once no
//! order that could still load its item can arrive. `docs/DESIGN.md` gives the failures behind each
//! rule.

mod reconciler;
mod record;

pub use self::reconciler::{
    OrderResponse, ReconcileInput, Reconciler, Step, WantedItem, WriteResult,
};
pub use self::record::{
    EngineItem, EngineState, HolderId, ItemState, Order, OrderKind, Reservation, ReservationState,
    ServerRecord, StrayOrder, StrayReach,
};
