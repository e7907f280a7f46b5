//! What a node believes of the fleet, as one immutable snapshot.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use savoryport_core::Name;
use savoryport_core::node::deployment::Deployment;
use savoryport_core::node::registry::BackendServer;
use serde::{Deserialize, Serialize};

/// A node that takes callers' requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
}

/// The node that holds the duty for a failure domain's servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyHolder {
    /// The VM.
    pub vm: Name,
    /// Where it answers other nodes.
    pub peers: SocketAddr,
}

/// The operators' configuration with the bytes that it was decoded from, which are relayed.
#[derive(Debug, Clone)]
pub struct AcceptedConfig {
    /// The decoded configuration.
    pub deployment: Arc<Deployment>,
    /// The bytes as they lie in the store.
    pub raw: Arc<[u8]>,
}

/// One snapshot.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration in force, once one is known.
    pub config: Option<AcceptedConfig>,
    /// Backend servers by id.
    pub servers: BTreeMap<Name, Arc<BackendServer>>,
    /// Nodes that take callers' requests, this one included.
    pub members: Vec<Member>,
    /// Duty holders by failure domain.
    pub holders: BTreeMap<Name, DutyHolder>,
}

impl View {
    /// Returns the configuration in force.
    pub fn deployment(&self) -> Option<&Arc<Deployment>> {
        self.config.as_ref().map(|config| &config.deployment)
    }

    /// Returns the version in force, 0 if none is known.
    pub fn version(&self) -> u64 {
        self.deployment().map_or(0, |deployment| deployment.version)
    }
}
