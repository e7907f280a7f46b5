//! What nodes say to each other, over tarpc.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::load::ServerLoad;
use savoryport_core::node::registry::BackendServer;
use savoryport_core::node::request::PrefixKeys;
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use thiserror::Error;

use super::view::{DomainLeader, Member};

/// The time to connect to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest message between nodes in bytes: a whole configuration and some more.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// How the asking node takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It follows the duty holder of its failure domain.
    Follower,
    /// It holds the duty of another failure domain.
    Holder,
}

/// What the asking node has of the answering one's state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The tenure of the duty holder that the other numbers belong to.
    pub tenure: u64,
    /// The last change of servers.
    pub servers: u64,
    /// The last change of members or holders.
    pub members: u64,
    /// The last prompt record.
    pub prompts: u64,
    /// The version of the configuration.
    pub config: u64,
}

/// A prompt that a server has read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PromptRecord {
    /// The server.
    pub server: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// The keys of the prompt's beginnings.
    pub keys: PrefixKeys,
}

impl PromptRecord {
    /// Returns the keys of the beginnings that other prompts may share: all but the whole prompt.
    pub fn shared_keys(&self) -> &[(u64, u32)] {
        self.keys.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A copy of a model, or of one of its adapters, that requests of one node use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyUse {
    /// The server.
    pub server: Name,
    /// The model.
    pub model: Name,
    /// The adapter, where the requests name one.
    pub adapter: Option<Name>,
    /// Requests under way.
    pub requests: u32,
}

/// What a node tells, and what it has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The asking node.
    pub member: Member,
    /// How it takes part.
    pub role: Role,
    /// Whether it is stopping and takes no more callers.
    pub is_leaving: bool,
    /// What it has.
    pub have: Position,
    /// What it, or its whole failure domain, has under way by server.
    pub loads: Vec<(Name, ServerLoad)>,
    /// Milliseconds of work by model that arrived since the last call.
    pub work_ms: Vec<(Name, f64)>,
    /// The demand for each model in servers' worth, from holders of the same region.
    pub demand: Vec<(Name, f64)>,
    /// Copies in use.
    pub copies: Vec<CopyUse>,
    /// Prompts sent since the last call.
    pub prompts: Vec<PromptRecord>,
}

/// Nodes that take callers, and duty holders by failure domain.
pub type Membership = (Vec<Member>, Vec<(Name, DomainLeader)>);

/// What the asking node lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Where the asking node stands after this answer.
    pub position: Position,
    /// Whether the answering node holds the duty and hears from the store.
    pub is_holder: bool,
    /// Whether the servers are all there are, not changes.
    pub is_full: bool,
    /// Servers that changed.
    pub servers: Vec<BackendServer>,
    /// Servers that are gone.
    pub removed: Vec<Name>,
    /// Members and holders, if changed.
    pub members: Option<Membership>,
    /// What all others have under way by server.
    pub loads: Vec<(Name, ServerLoad)>,
    /// Prompts that others sent.
    pub prompts: Vec<PromptRecord>,
}

/// What a duty holder says to a wish.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WishReply {
    /// It is there.
    Ready,
    /// It is being loaded and will be there after so many milliseconds.
    Loading(u64),
    /// It cannot be loaded now.
    Unavailable,
}

/// The service of a node.
#[tarpc::service]
pub trait Peer {
    /// Tells what the asking node has under way, and returns what it lacks.
    async fn sync(req: SyncRequest) -> SyncReply;
    /// Returns the configuration in force, compressed, if it is newer than this version.
    async fn config(have: u64) -> Option<Vec<u8>>;
    /// Asks for an adapter at a server; the answer comes when it can be used.
    async fn want_adapter(server: Name, model: Name, adapter: Name) -> WishReply;
    /// Asks for a model that no server holds.
    async fn want_model(service: Name, model: Name) -> WishReply;
}

/// Why another node gave no answer.
#[derive(Debug, Error)]
#[error("node at {address}: {problem}")]
pub struct PeerError {
    /// Its address.
    pub address: SocketAddr,
    /// The library's words.
    pub problem: String,
}

/// A connection to another node.
#[derive(Debug, Clone)]
pub struct PeerConnection {
    address: SocketAddr,
    client: PeerClient,
}

impl PeerConnection {
    /// Connects to a node.
    ///
    /// # Errors
    ///
    /// Returns an error where nobody answers at the address.
    pub async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        let failed = |problem: String| PeerError { address, problem };
        let mut connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        connecting.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| failed("no connection in time".to_owned()))?
            .map_err(|err| failed(err.to_string()))?;
        let client = PeerClient::new(client::Config::default(), transport).spawn();
        Ok(Self { address, client })
    }

    /// Returns the address of the node.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls [`Peer::sync`].
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came in time.
    pub async fn sync(&self, req: SyncRequest, within: Duration) -> Result<SyncReply, PeerError> {
        self.client.sync(deadline(within), req).await.map_err(|err| self.failed(&err))
    }

    /// Calls [`Peer::config`].
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came in time.
    pub async fn config(&self, have: u64, within: Duration) -> Result<Option<Vec<u8>>, PeerError> {
        self.client.config(deadline(within), have).await.map_err(|err| self.failed(&err))
    }

    /// Calls [`Peer::want_adapter`].
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came in time.
    pub async fn want_adapter(
        &self,
        (server, model, adapter): (Name, Name, Name),
        within: Duration,
    ) -> Result<WishReply, PeerError> {
        let reply = self.client.want_adapter(deadline(within), server, model, adapter).await;
        reply.map_err(|err| self.failed(&err))
    }

    /// Calls [`Peer::want_model`].
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came in time.
    pub async fn want_model(
        &self,
        (service, model): (Name, Name),
        within: Duration,
    ) -> Result<WishReply, PeerError> {
        let reply = self.client.want_model(deadline(within), service, model).await;
        reply.map_err(|err| self.failed(&err))
    }

    fn failed(&self, err: &client::RpcError) -> PeerError {
        PeerError { address: self.address, problem: err.to_string() }
    }
}

fn deadline(within: Duration) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + within;
    cx
}
