//! The RPC interface of control processes, over tarpc.

use std::collections::BTreeMap;
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::replica::{Update, Versions};
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, context};
use thiserror::Error;

/// Timeout for the response to a call, in addition to the wait that the call asks for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for connecting to a control process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request for state changes from the control process that the sender follows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The VM of the sender.
    pub vm: Name,
    /// The versions that the sender has.
    pub have: Versions,
    /// The maximum time to wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// The demand for each model in slots (the mean number of requests in progress, including
    /// refused ones), as observed by the sender and the processes that follow it; `None` if no
    /// report is due.
    pub demand: Option<Vec<(Name, f64)>>,
    /// The counts of the sending entry; `None` from a control process.
    pub entry: Option<EntryStatus>,
}

/// The counts of an entry since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The counts by rank, the most urgent first.
    pub ranks: [RankCounts; 3],
    /// The number of refusals, by cause.
    pub refusals: BTreeMap<String, u64>,
}

/// The counts of an entry for one rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// First tokens that were sent by the request's deadline.
    pub on_time: u64,
    /// First tokens that were sent after the deadline.
    pub late: u64,
    /// Requests whose response was delivered completely.
    pub done: u64,
    /// Requests that were not executed.
    pub not_run: u64,
    /// Requests that may have been executed.
    pub unknown: u64,
}

/// The status of a VM, as its control process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The name of the VM.
    pub vm: Name,
    /// The failure domain of the VM.
    pub failure_domain: Name,
    /// The versions that the control process has.
    pub versions: Versions,
    /// The counts of the entry on the VM; `None` until it first reports them.
    pub entry: Option<EntryStatus>,
}

/// The RPC service of a control process.
#[tarpc::service]
pub trait ControlService {
    /// Waits for a change and returns the state that the caller lacks, which is empty after a
    /// timeout.
    async fn pull(req: PullRequest) -> Update;
    /// Returns the status of the VM.
    async fn status() -> VmStatus;
}

/// The reason why a call to a control process failed.
#[derive(Debug, Error)]
pub enum RpcError {
    /// The address is invalid, nothing listens on it, or the connection timed out.
    #[error("cannot connect to the control process at {address}: {problem}")]
    NotConnected {
        /// The address.
        address: String,
        /// The error message of the operating system, or the timeout.
        problem: String,
    },
    /// The process did not respond in time, or the connection broke.
    #[error("control process at {address} did not respond: {problem}")]
    Unanswered {
        /// The address.
        address: String,
        /// The error message of the RPC library.
        problem: String,
    },
}

/// A connection to a control process.
#[derive(Debug, Clone)]
pub struct ControlClient {
    address: String,
    client: ControlServiceClient,
}

impl ControlClient {
    /// Connects to a control process.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established within a second.
    pub async fn connect(address: &str) -> Result<Self, RpcError> {
        let connect_error =
            |problem: String| RpcError::NotConnected { address: address.into(), problem };
        let connecting = tarpc::serde_transport::tcp::connect(address, Json::default);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| connect_error(format!("no connection within {CONNECT_TIMEOUT:?}")))?
            .map_err(|err| connect_error(err.to_string()))?;
        let client = ControlServiceClient::new(client::Config::default(), transport).spawn();
        Ok(Self { address: address.to_owned(), client })
    }

    /// Waits for a change, at most for the time in the request, and returns the state that the
    /// sender lacks.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives. The client cannot be used any longer after that.
    pub async fn pull(&self, req: PullRequest) -> Result<Update, RpcError> {
        let mut cx = context::current();
        let wait = Duration::from_millis(req.wait_ms);
        cx.deadline = std::time::Instant::now() + wait + RESPONSE_TIMEOUT;
        self.client.pull(cx, req).await.map_err(|err| self.unanswered_error(&err))
    }

    /// Returns the status of the control process's VM.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives.
    pub async fn status(&self) -> Result<VmStatus, RpcError> {
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + RESPONSE_TIMEOUT;
        self.client.status(cx).await.map_err(|err| self.unanswered_error(&err))
    }

    fn unanswered_error(&self, err: &client::RpcError) -> RpcError {
        let (address, problem) = (self.address.clone(), err.to_string());
        RpcError::Unanswered { address, problem }
    }
}
