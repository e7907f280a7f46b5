//! The memory ledger: what is, may be or may yet come to be in a server's memory.
//!
//! The record of a server in the key-value service is the only truth about its memory. Nothing is
//! ordered before its reservation stands there, and nothing is released while an order that could
//! still load it may arrive. `docs/DESIGN.md` gives the failures behind each rule.

mod reconciler;
mod record;

pub use self::reconciler::{
    OrderResponse, ReconcileInput, Reconciler, Step, WantedItem, WriteResult,
};
pub use self::record::{
    EngineItem, EngineState, HolderId, ItemState, Order, OrderKind, Reservation, ReservationState,
    ServerRecord, StrayOrder, StrayReach,
};
