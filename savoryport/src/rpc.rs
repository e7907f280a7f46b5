//! What the processes of savoryport say to each other, over tarpc.

use std::collections::BTreeMap;
use std::time::Duration;

use savoryport_core::Name;
use savoryport_core::replica::{Update, Versions};
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, context};
use thiserror::Error;

/// How much longer than the wait a caller allows for the answer.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// The time to connect to another process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What a process asks of the control process that it follows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PullRequest {
    /// The asking VM.
    pub vm: Name,
    /// What it has.
    pub have: Versions,
    /// The longest wait for news in milliseconds.
    pub wait_ms: u64,
    /// Slots in use or asked for by model, as seen by the asking process and those that follow it;
    /// `None` between two tellings.
    pub demand: Option<Vec<(Name, f64)>>,
    /// What the asking entry counted; control processes have none.
    pub entry: Option<EntryStatus>,
}

/// What an entry counted since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Counts by rank, the most urgent first.
    pub ranks: [RankCounts; 3],
    /// Refusals by cause.
    pub refusals: BTreeMap<String, u64>,
}

/// What an entry counted of one rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// First tokens within the target.
    pub on_time: u64,
    /// First tokens after it.
    pub late: u64,
    /// Requests whose whole answer was delivered.
    pub done: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
}

/// One VM as its control process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// The versions in force there.
    pub versions: Versions,
    /// What the entry beside it counted, once it has told.
    pub entry: Option<EntryStatus>,
}

/// The service of a control process.
#[tarpc::service]
pub trait ControlService {
    /// Waits for news and returns what the caller lacks, or nothing after the wait.
    async fn pull(req: PullRequest) -> Update;
    /// Returns what the VM knows of itself.
    async fn status() -> VmStatus;
}

/// Why another process gave no news.
#[derive(Debug, Error)]
pub enum RpcError {
    /// The address is none, or nobody listens there.
    #[error("cannot connect to control at {address}: {problem}")]
    NotConnected {
        /// The address.
        address: String,
        /// The operating system's words.
        problem: String,
    },
    /// The process did not answer in time, or the connection broke.
    #[error("control at {address} gave no answer: {problem}")]
    Unanswered {
        /// The address.
        address: String,
        /// The library's words.
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
    /// Returns an error where nobody listens at the address.
    pub async fn connect(address: &str) -> Result<Self, RpcError> {
        let failed = |problem: String| RpcError::NotConnected { address: address.into(), problem };
        let connecting = tarpc::serde_transport::tcp::connect(address, Json::default);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| failed(format!("no connection within {CONNECT_TIMEOUT:?}")))?
            .map_err(|err| failed(err.to_string()))?;
        let client = ControlServiceClient::new(client::Config::default(), transport).spawn();
        Ok(Self { address: address.to_owned(), client })
    }

    /// Waits for news.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came; the connection is then of no more use.
    pub async fn pull(&self, req: PullRequest) -> Result<Update, RpcError> {
        let mut cx = context::current();
        let wait = Duration::from_millis(req.wait_ms);
        cx.deadline = std::time::Instant::now() + wait + ANSWER_GRACE;
        self.client.pull(cx, req).await.map_err(|err| self.unanswered(&err))
    }

    /// Asks for the status of the VM.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came.
    pub async fn status(&self) -> Result<VmStatus, RpcError> {
        let mut cx = context::current();
        cx.deadline = std::time::Instant::now() + ANSWER_GRACE;
        self.client.status(cx).await.map_err(|err| self.unanswered(&err))
    }

    fn unanswered(&self, err: &client::RpcError) -> RpcError {
        let (address, problem) = (self.address.clone(), err.to_string());
        RpcError::Unanswered { address, problem }
    }
}
