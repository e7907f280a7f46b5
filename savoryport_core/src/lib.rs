//! Every decision of savoryport, and nothing else.
//!
//! The crate has no sockets, threads, clock reads or global randomness: the time and a seeded
//! generator are passed in, events go in and actions come out. A foreign bench can therefore drive
//! it without a daemon. The reasons for each mechanism are in `docs/DESIGN.md`.

#[macro_use]
mod macros;

pub mod attempt;
pub mod chart;
pub mod clock;
pub mod demand;
pub mod dispatch;
pub mod entry_selection;
pub mod fleet;
pub mod grant;
pub mod hash;
pub mod lease;
pub mod ledger;
pub mod node;
pub mod placement;
pub mod rank;
pub mod replica;
pub mod replication_tree;
pub mod table;
pub mod ticket;

/// A shared, immutable name of a model, server, VM or failure domain.
pub type Name = std::sync::Arc<str>;
