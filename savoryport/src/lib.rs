//! The processes of savoryport: the entry and control daemons, the node, and the command-line tool.
//!
//! All decisions are made in `savoryport_core`; this crate owns the sockets and tasks, and carries
//! the decisions out. `docs/DESIGN.md` explains why there are two daemons.

pub mod cli;
pub mod connection_limit;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod keys;
pub mod logging;
pub mod metrics;
pub mod metrics_server;
pub mod node;
pub mod rpc;
pub mod settings;
