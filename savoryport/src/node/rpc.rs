//! The messages between nodes and the client side of their calls, over tarpc.
//!
//! A follower calls the leader of its failure domain, and leaders call each other. Messages are
//! encoded by position, so the order of fields and variants is part of the protocol.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::node::config_age::ConfigAgeReport;
use savoryport_core::node::load::ServerLoad;
use savoryport_core::node::quarantine::CrashReport;
use savoryport_core::node::registry::BackendServer;
use savoryport_core::node::request::PrefixKeys;
use savoryport_core::node::request_quarantine::RequestCrashReport;
use savoryport_core::node::server_limit::{LimitReport, Permit, PermitUse};
use savoryport_core::node::stream_origins::OriginReport;
use savoryport_core::node::team_quota::TeamUseReport;
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use thiserror::Error;

use super::view::{DomainLeader, Member};

/// Timeout for connecting to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum size of a message between nodes, in bytes: a whole configuration and a margin.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// The role of the calling node in a sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// A follower, which calls the leader of its failure domain.
    Follower,
    /// The leader of another failure domain.
    Holder,
}

/// How much of the called node's state the calling node already has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncPosition {
    /// The tenure of the called node that the other numbers belong to. It differs between starts of
    /// the process; a node with another tenure sends all servers and members.
    pub tenure: u64,
    /// The revision of the last change of servers, or [`NO_SERVERS_WANTED`].
    pub servers: u64,
    /// The revision of the last change of members or leaders.
    pub members: u64,
    /// The number of the last prompt record.
    pub prompts: u64,
    /// The version of the configuration in force.
    pub config: u64,
    /// The revision of the last change of a server's limit.
    pub limits: u64,
    /// The revision of the last change of a crash and the requests that were at it.
    pub request_crashes: u64,
}

/// The position of servers with which a node asks for none, since it reads them from the store.
pub const NO_SERVERS_WANTED: u64 = u64::MAX;

/// A prompt that was sent to a server, which probably caches its prefixes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PromptRecord {
    /// The id of the server.
    pub server: Name,
    /// The incarnation of the server, which changes when it restarts and loses its cache.
    pub incarnation: u64,
    /// The keys and lengths of the prompt's prefixes, shortest first.
    pub keys: PrefixKeys,
}

impl PromptRecord {
    /// Returns the keys of the prefixes that other prompts may share: all but the last, which is
    /// the whole prompt.
    pub fn shared_keys(&self) -> &[(u64, u32)] {
        self.keys.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// The use of a copy of a model, or of one of its adapters, by the requests of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyUse {
    /// The id of the server that holds the copy.
    pub server: Name,
    /// The model.
    pub model: Name,
    /// The adapter, if the requests name one.
    pub adapter: Option<Name>,
    /// The number of requests in progress.
    pub requests: u32,
}

/// The crashes of servers that a node knows of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashExchange {
    /// The hash of all that the sending node knows.
    pub digest: u64,
    /// The crashes; none if the other node is believed to know them all.
    pub reports: Vec<CrashReport>,
}

/// The report of the calling node, and the state that it already has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The calling node.
    pub member: Member,
    /// The role of the calling node.
    pub role: Role,
    /// Whether it is stopping and accepts no more callers.
    pub is_leaving: bool,
    /// The state of the called node that it already has.
    pub have: SyncPosition,
    /// The era of the store in which the calling node trusts the configuration; `None` if it has no
    /// teams.
    pub trusted_era: Option<u64>,
    /// The load that its own requests put on each server; from a leader, the load by its whole
    /// failure domain.
    pub loads: Vec<(Name, ServerLoad)>,
    /// Server time that requests asked for since the last call, by model, in milliseconds.
    pub work_ms: Vec<(Name, f64)>,
    /// The demand for each model, in servers; only sent by leaders to those in their own region.
    pub demand: Vec<(Name, f64)>,
    /// The copies that its own requests use; from a leader, those at the called node's failure
    /// domain that its whole failure domain uses.
    pub copies: Vec<CopyUse>,
    /// The prompts that it sent to servers since the last call.
    pub prompts: Vec<PromptRecord>,
    /// The crashes of servers that it knows of.
    pub crashes: CrashExchange,
    /// The limits of servers that it learned of since the last call.
    pub limits: Vec<LimitReport>,
    /// The crashes, with the requests that were at them, that changed since the last call.
    pub request_crashes: Vec<RequestCrashReport>,
    /// What its own requests used of teams' quotas; from a leader, those of its whole failure domain.
    /// `None` where no team has a quota.
    pub team_use: Option<TeamUseReport>,
    /// The streams that it began since the last call at services with several software versions; from a
    /// leader, those of its whole failure domain.
    pub origins: Vec<OriginReport>,
}

/// The nodes that callers may use, and the leaders by failure domain.
pub type Membership = (Vec<Member>, Vec<(Name, DomainLeader)>);

/// The state that the calling node lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The position of the calling node once it has applied this reply.
    pub position: SyncPosition,
    /// Whether the called node leads its failure domain and can reach the store.
    pub is_holder: bool,
    /// Whether `servers` lists all servers instead of the changed ones.
    pub is_full: bool,
    /// The servers that changed, or all servers.
    pub servers: Vec<BackendServer>,
    /// The ids of servers that were removed.
    pub removed: Vec<Name>,
    /// The members and leaders, if they changed.
    pub members: Option<Membership>,
    /// The age of the called node's knowledge that its configuration is the newest one; `None` if it
    /// does not know that, or has no teams.
    pub config_age: Option<ConfigAgeReport>,
    /// The load on each server: for a follower by all other nodes, for a leader by the called
    /// node's failure domain.
    pub loads: Vec<(Name, ServerLoad)>,
    /// The number of requests in flight at the nodes of the called node's failure domain.
    pub domain_in_flight: u32,
    /// Prompts that other nodes sent to servers.
    pub prompts: Vec<PromptRecord>,
    /// The crashes of servers that the called node knows of.
    pub crashes: CrashExchange,
    /// The limits of servers that changed.
    pub limits: Vec<LimitReport>,
    /// The crashes, with the requests that were at them, that changed.
    pub request_crashes: Vec<RequestCrashReport>,
    /// What was used of teams' quotas: for a follower by all other nodes, for a leader by the called
    /// node's failure domain. `None` where no team has a quota.
    pub team_use: Option<TeamUseReport>,
}

/// A leader's reply to a request for a model or an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// It can be used.
    Ready,
    /// It will be loaded; the number is the expected time in milliseconds.
    Loading(u64),
    /// It cannot be loaded now.
    Unavailable,
}

/// The calls that every node answers.
#[tarpc::service]
pub trait Peer {
    /// Takes the report of the calling node, and returns the state that it lacks.
    async fn sync(req: SyncRequest) -> SyncReply;
    /// Returns the configuration in force, compressed, if its version is higher than `have`.
    async fn config(have: u64) -> Option<Vec<u8>>;
    /// Takes the compressed configuration that the calling node has in force, if it is newer.
    async fn offer_config(packed: Vec<u8>);
    /// Has an adapter loaded at a server. The reply is sent once the adapter can be used or its
    /// loading has failed.
    async fn want_adapter(server: Name, model: Name, adapter: Name) -> Availability;
    /// Requests the loading of a model that no server holds, and returns at once.
    async fn want_model(service: Name, model: Name) -> Availability;
    /// Asks the owner of a server's allowance for a permit to send it a request. Returns `None` if
    /// the called node does not own it.
    async fn want_permit(report: LimitReport, usage: PermitUse) -> Option<Permit>;
    /// Takes all crashes that the calling node knows of with the requests that were at them, and
    /// returns those that the called node knows of.
    async fn swap_request_crashes(reports: Vec<RequestCrashReport>) -> Vec<RequestCrashReport>;
    /// Returns what the called node knows of these streams.
    async fn find_streams(streams: Vec<u64>) -> Vec<OriginReport>;
}

/// A failed call to another node.
#[derive(Debug, Error)]
#[error("node at {address}: {problem}")]
pub struct PeerError {
    /// The address of the node.
    pub address: SocketAddr,
    /// The error message of the RPC library or of this module.
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
    /// Returns an error if connecting fails or times out.
    pub async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        let connect_error = |problem: String| PeerError { address, problem };
        let mut connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        connecting.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| connect_error("connection timed out".to_owned()))?
            .map_err(|err| connect_error(err.to_string()))?;
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
    /// Returns an error if the call fails or times out.
    pub async fn sync(&self, req: SyncRequest, timeout: Duration) -> Result<SyncReply, PeerError> {
        self.client.sync(call_context(timeout), req).await.map_err(|err| self.call_error(&err))
    }

    /// Calls [`Peer::config`].
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out.
    pub async fn config(&self, have: u64, timeout: Duration) -> Result<Option<Vec<u8>>, PeerError> {
        self.client.config(call_context(timeout), have).await.map_err(|err| self.call_error(&err))
    }

    /// Calls [`Peer::offer_config`].
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out.
    pub async fn offer_config(&self, packed: Vec<u8>, timeout: Duration) -> Result<(), PeerError> {
        let reply = self.client.offer_config(call_context(timeout), packed).await;
        reply.map_err(|err| self.call_error(&err))
    }

    /// Calls [`Peer::want_adapter`].
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out.
    pub async fn want_adapter(
        &self,
        (server, model, adapter): (Name, Name, Name),
        timeout: Duration,
    ) -> Result<Availability, PeerError> {
        let reply = self.client.want_adapter(call_context(timeout), server, model, adapter).await;
        reply.map_err(|err| self.call_error(&err))
    }

    /// Calls [`Peer::want_model`].
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out.
    pub async fn want_model(
        &self,
        (service, model): (Name, Name),
        timeout: Duration,
    ) -> Result<Availability, PeerError> {
        let reply = self.client.want_model(call_context(timeout), service, model).await;
        reply.map_err(|err| self.call_error(&err))
    }

    /// Calls [`Peer::want_permit`].
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out.
    pub async fn want_permit(
        &self,
        report: LimitReport,
        usage: PermitUse,
        timeout: Duration,
    ) -> Result<Option<Permit>, PeerError> {
        let reply = self.client.want_permit(call_context(timeout), report, usage).await;
        reply.map_err(|err| self.call_error(&err))
    }

    /// Calls [`Peer::swap_request_crashes`].
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out.
    pub async fn swap_request_crashes(
        &self,
        reports: Vec<RequestCrashReport>,
        timeout: Duration,
    ) -> Result<Vec<RequestCrashReport>, PeerError> {
        let reply = self.client.swap_request_crashes(call_context(timeout), reports).await;
        reply.map_err(|err| self.call_error(&err))
    }

    /// Calls [`Peer::find_streams`].
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out.
    pub async fn find_streams(
        &self,
        streams: Vec<u64>,
        timeout: Duration,
    ) -> Result<Vec<OriginReport>, PeerError> {
        let reply = self.client.find_streams(call_context(timeout), streams).await;
        reply.map_err(|err| self.call_error(&err))
    }

    fn call_error(&self, err: &client::RpcError) -> PeerError {
        PeerError { address: self.address, problem: err.to_string() }
    }
}

fn call_context(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
