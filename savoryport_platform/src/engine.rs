//! A client of the administrative interface of model engines.

use std::time::Duration;

use savoryport_core::ledger::{EngineState, Order, OrderResponse};
use serde::de::DeserializeOwned;
use thiserror::Error;
use ureq::{Agent, Body};

use crate::wire::LoadReport;

/// The HTTP status by which an engine refuses an order.
const REFUSED_STATUS: u16 = 409;

/// Why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// No response arrived; an order may have been carried out, or may still be.
    #[error("no response from the engine at {address}: {problem}")]
    Unanswered {
        /// The engine's address.
        address: String,
        /// The cause, as the HTTP client reports it.
        problem: String,
    },
    /// The response does not follow the published format.
    #[error("malformed response from the engine at {address}: {problem}")]
    Malformed {
        /// The engine's address.
        address: String,
        /// The parser's error message.
        problem: String,
    },
}

/// A blocking client of one engine's administrative interface.
#[derive(Debug, Clone)]
pub struct EngineClient {
    address: String,
    agent: Agent,
}

impl EngineClient {
    /// Creates a client of the engine at `address`, an IP address and port. `timeout` applies to
    /// each call.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self { address: address.to_owned(), agent: crate::agent(timeout) }
    }

    /// Sends an order and returns whether the engine accepted it, with the engine's state.
    ///
    /// # Errors
    ///
    /// Returns an error if it is unknown whether the engine carries out the order.
    pub fn send_order(&self, order: &Order) -> Result<OrderResponse, EngineError> {
        let url = format!("http://{}/admin/orders", self.address);
        let response =
            self.agent.post(url).send_json(order).map_err(|err| self.unanswered(&err))?;
        let was_refused = response.status().as_u16() == REFUSED_STATUS;
        let state: EngineState = self.parse(response.into_body())?;
        Ok(if was_refused { OrderResponse::Refused(state) } else { OrderResponse::Accepted(state) })
    }

    /// Returns the present contents of the engine's memory.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives or it cannot be parsed.
    pub fn state(&self) -> Result<EngineState, EngineError> {
        self.get("/admin/state")
    }

    /// Returns the engine's latest load report, which lags behind the actual load.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives or it cannot be parsed.
    pub fn load_report(&self) -> Result<LoadReport, EngineError> {
        self.get("/admin/load")
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let url = format!("http://{}{path}", self.address);
        let response = self.agent.get(url).call().map_err(|err| self.unanswered(&err))?;
        self.parse(response.into_body())
    }

    fn parse<T: DeserializeOwned>(&self, mut body: Body) -> Result<T, EngineError> {
        let text = body.read_to_string().map_err(|err| self.unanswered(&err))?;
        serde_json::from_str(&text).map_err(|err| {
            let (address, problem) = (self.address.clone(), err.to_string());
            EngineError::Malformed { address, problem }
        })
    }

    fn unanswered(&self, err: &ureq::Error) -> EngineError {
        EngineError::Unanswered { address: self.address.clone(), problem: err.to_string() }
    }
}
