//! The runtime of savoryport: settings, logs, metrics, and the two daemons as functions.
//!
//! Every decision is made in `savoryport_core`; what is here owns sockets and tasks and carries the
//! decisions out. `docs/DESIGN.md` says why there are two daemons.

pub mod cli;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod keys;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod rpc;
pub mod settings;
