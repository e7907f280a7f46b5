//! Simulates placement and routing policies in virtual time: the same seed always gives the same
//! results.
//!
//! The engines are small fakes. The decisions are made by `savoryport_core`, which is called as the
//! daemons call it. `docs/MEASURES.md` explains the results.

pub mod deployment;
pub mod engine;
pub mod policies;
pub mod report;
pub mod score;
pub mod sim;
pub mod upper_bound;
pub mod workload;
