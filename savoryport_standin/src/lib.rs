//! Small stand-ins for the systems that savoryport serves, and a fault-injecting proxy.
//!
//! They speak the published protocols, count independently what the promises are about (memory
//! overcommitted, executions of a request), and fail on command. They take the project's wire
//! types, not its logic.

pub mod backend;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod kv;
pub mod metadata;
pub mod proxy;
pub mod service;
pub mod vm_list;
pub mod weights;
