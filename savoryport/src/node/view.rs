//! An immutable snapshot of what a node knows about the fleet.

use std::collections::BTreeMap;
use std::fmt::{self, Debug, Formatter};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use savoryport_core::Name;
use savoryport_core::node::deployment::Deployment;
use savoryport_core::node::entry_subset::NodeCapacity;
use savoryport_core::node::registry::BackendServer;
use serde::{Deserialize, Serialize};

/// A node that accepts callers' requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the node's VM.
    pub vm: Name,
    /// The failure domain of the VM.
    pub failure_domain: Name,
    /// The address for callers' requests.
    pub callers: SocketAddr,
    /// What the VM can bear.
    pub capacity: NodeCapacity,
    /// Whether it reaches no server. It passes requests on to other nodes then.
    pub is_cut_off: bool,
}

/// The leader of a failure domain: the node that may send orders to the servers there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainLeader {
    /// The name of the leader's VM.
    pub vm: Name,
    /// The address for calls of other nodes.
    pub peers: SocketAddr,
}

/// The operators' configuration with the bytes that it was decoded from, which are sent to
/// followers.
///
/// The bytes are kept compressed: with a few thousand routes they are half a megabyte, which takes
/// the link of a small VM one second for each follower.
#[derive(Clone)]
pub struct AcceptedConfig {
    /// The decoded configuration.
    pub deployment: Arc<Deployment>,
    /// The bytes of the store's value, compressed.
    packed: Arc<[u8]>,
}

/// Leaves out the bytes, which hold the teams' keys.
impl Debug for AcceptedConfig {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("AcceptedConfig")
            .field("deployment", &self.deployment)
            .field("packed_bytes", &self.packed.len())
            .finish()
    }
}

impl AcceptedConfig {
    /// Creates a configuration with the bytes that it was decoded from, and compresses these.
    ///
    /// # Errors
    ///
    /// Returns an error of the compression library, which only a lack of memory can cause.
    pub fn pack(deployment: Deployment, raw: &[u8]) -> io::Result<Self> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(raw)?;
        Ok(Self { deployment: Arc::new(deployment), packed: encoder.finish()?.into() })
    }

    /// Returns the compressed bytes.
    pub fn packed(&self) -> &[u8] {
        &self.packed
    }

    /// Decompresses the bytes of a configuration. Bytes beyond `MAX_CONFIG_BYTES` are cut off.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that [`Self::pack`] did not compress.
    pub fn unpack(packed: &[u8]) -> io::Result<Vec<u8>> {
        let mut raw = Vec::new();
        let decoder = DeflateDecoder::new(packed);
        decoder.take(MAX_CONFIG_BYTES).read_to_end(&mut raw)?;
        Ok(raw)
    }
}

/// Upper bound of a decompressed configuration, in bytes: several times the size limit of a value
/// in the store.
const MAX_CONFIG_BYTES: u64 = 8 * 1024 * 1024;

/// One snapshot of the fleet.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The configuration in force, once one is known.
    pub config: Option<AcceptedConfig>,
    /// Backend servers by id.
    pub servers: BTreeMap<Name, Arc<BackendServer>>,
    /// The servers that may not be used yet, since the store does not keep the versions of their software.
    pub withheld: BTreeMap<Name, Arc<BackendServer>>,
    /// Nodes that accept callers' requests, this one included.
    pub members: Vec<Member>,
    /// Leaders by failure domain.
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
