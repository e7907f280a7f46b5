//! The decision logic of savoryport, free of I/O.
//!
//! The crate uses no sockets, threads, clock reads or global randomness: callers pass in the time
//! and a seeded random generator, report events and carry out the returned actions. A benchmark
//! can therefore drive it without running a daemon. `docs/DESIGN.md` explains the reasons for each
//! mechanism.

#[macro_use]
mod macros;

pub mod clock;
pub mod demand;
pub mod dispatch;
pub mod entry_selection;
pub mod fleet;
pub mod hash;
pub mod lease;
pub mod ledger;
pub mod load_slots;
pub mod node;
pub mod placement;
pub mod rank;
pub mod replica;
pub mod replication_tree;
pub mod request_lifecycle;
pub mod state_chart;
pub mod table;
pub mod ticket;

/// A shared, immutable name of a model, server, VM or failure domain.
pub type Name = std::sync::Arc<str>;
