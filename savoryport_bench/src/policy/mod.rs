//! Experiments on the policy, in virtual time: the same seed gives the same figures every time.
//!
//! Small fakes stand at the engines' interface; the decisions are those of `savoryport_core`, called
//! as the daemons call them. `docs/MEASURES.md` explains the figures.

pub mod bound;
pub mod deployment;
pub mod engine;
pub mod report;
pub mod rules;
pub mod score;
pub mod sim;
pub mod workload;
