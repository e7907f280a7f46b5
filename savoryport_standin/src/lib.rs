//! Small stand-ins for the systems that savoryport connects to, and a fault-injecting proxy.
//!
//! They implement the published protocols, inject faults on demand, and count what savoryport's
//! guarantees limit: overcommitted memory and executions of a request. They share the project's
//! wire types but none of its logic, so that their counts are independent of it.

pub mod backend;
pub mod burst;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod kv;
pub mod metadata;
pub mod proxy;
pub mod raw_engine;
pub mod service;
pub mod vm_list;
pub mod weights;
