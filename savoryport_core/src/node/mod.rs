//! The decisions of a node that serves callers on a platform with a table of routes.
//!
//! Each module answers one load pattern and does no IO; `docs/DESIGN.md` describes how the node
//! carries the decisions out.

pub mod admission;
pub mod deployment;
pub mod health;
pub mod leadership;
pub mod load;
pub mod orders;
pub mod placement;
pub mod prefix;
pub mod registry;
pub mod request;
pub mod retry_budget;
pub mod selection;
