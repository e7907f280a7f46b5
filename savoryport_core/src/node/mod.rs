//! The decisions of a node, which routes callers' requests to backend servers by a table of routes.
//!
//! Each module makes the decisions for one load pattern and performs no I/O; `docs/DESIGN.md`
//! describes how the node acts on them.

pub mod admission;
mod answered;
pub mod caller_connections;
pub mod caller_memory;
pub mod config_age;
pub mod crash_archive;
pub mod deployment;
pub mod entry_subset;
pub mod event_sequence;
pub mod first_event_numbers;
pub mod health;
pub mod leadership;
pub mod load;
pub mod load_concurrency;
pub mod orders;
pub mod placement;
pub mod prefix;
pub mod prefix_value;
pub mod quarantine;
pub mod registry;
pub mod request;
pub mod request_quarantine;
pub mod response_memory;
pub mod retry_budget;
pub mod selection;
pub mod server_limit;
pub mod server_link;
pub mod server_notices;
pub mod software_versions;
pub mod stop_plan;
pub mod stream_origins;
pub mod team;
pub mod team_quota;
pub mod team_share;
