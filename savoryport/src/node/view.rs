//! What a node believes of the fleet, as one immutable snapshot.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
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
pub struct DomainLeader {
    /// The VM.
    pub vm: Name,
    /// Where it answers other nodes.
    pub peers: SocketAddr,
}

/// The operators' configuration with the bytes that it was decoded from, which are relayed.
///
/// They are kept compressed: with some thousand routes they are half a megabyte, which takes the link
/// of a small VM a second for each follower.
#[derive(Debug, Clone)]
pub struct AcceptedConfig {
    /// The decoded configuration.
    pub deployment: Arc<Deployment>,
    /// The bytes as they lie in the store, compressed.
    packed: Arc<[u8]>,
}

impl AcceptedConfig {
    /// Packs a configuration with the bytes that it was decoded from.
    ///
    /// # Errors
    ///
    /// Returns the library's error, which memory alone can cause.
    pub fn pack(deployment: Deployment, raw: &[u8]) -> io::Result<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(raw)?;
        Ok(Self { deployment: Arc::new(deployment), packed: encoder.finish()?.into() })
    }

    /// Returns the compressed bytes.
    pub fn packed(&self) -> &[u8] {
        &self.packed
    }

    /// Returns the bytes that were packed.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that were not packed like this, or that are too many.
    pub fn unpack(packed: &[u8]) -> io::Result<Vec<u8>> {
        let mut raw = Vec::new();
        let decoder = DeflateDecoder::new(packed);
        decoder.take(MAX_CONFIG_BYTES).read_to_end(&mut raw)?;
        Ok(raw)
    }
}

/// The longest configuration that is unpacked, in bytes: several times what a value of the store holds.
const MAX_CONFIG_BYTES: u64 = 8 * 1024 * 1024;

/// One snapshot.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The configuration in force, once one is known.
    pub config: Option<AcceptedConfig>,
    /// Backend servers by id.
    pub servers: BTreeMap<Name, Arc<BackendServer>>,
    /// Nodes that take callers' requests, this one included.
    pub members: Vec<Member>,
    /// Duty holders by failure domain.
    pub leaders: BTreeMap<Name, DomainLeader>,
}

impl FleetView {
    /// Returns the configuration in force.
    pub fn deployment(&self) -> Option<&Arc<Deployment>> {
        self.config.as_ref().map(|config| &config.deployment)
    }

    /// Returns the version in force, 0 if none is known.
    pub fn version(&self) -> u64 {
        self.deployment().map_or(0, |deployment| deployment.version)
    }
}
