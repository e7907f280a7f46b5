//! Orders to model engines, and what they report.

use std::time::Duration;

use savoryport_core::ledger::{EngineState, Order, OrderResponse};
use serde::de::DeserializeOwned;
use thiserror::Error;
use ureq::{Agent, Body};

use crate::wire::LoadReport;

/// The status with which an engine refuses an order.
const CONFLICT: u16 = 409;

/// Why an engine gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// No answer came; an order may still be carried out, now or later.
    #[error("engine at {address} gave no answer: {problem}")]
    Unanswered {
        /// Its address.
        address: String,
        /// The client's words.
        problem: String,
    },
    /// The answer is not in the published form.
    #[error("engine at {address} gave a malformed answer: {problem}")]
    Malformed {
        /// Its address.
        address: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// A client of one engine's administrative interface.
#[derive(Debug, Clone)]
pub struct EngineClient {
    address: String,
    agent: Agent,
}

impl EngineClient {
    /// Makes a client of the engine at an IP address and port.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self { address: address.to_owned(), agent: crate::agent(timeout) }
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an error where the order's fate is unknown.
    pub fn send_order(&self, order: &Order) -> Result<OrderResponse, EngineError> {
        let url = format!("http://{}/admin/orders", self.address);
        let answer = self.agent.post(url).send_json(order).map_err(|err| self.unanswered(&err))?;
        let was_refused = answer.status().as_u16() == CONFLICT;
        let state: EngineState = self.read(answer.into_body())?;
        Ok(if was_refused { OrderResponse::Refused(state) } else { OrderResponse::Accepted(state) })
    }

    /// Asks what is in memory now.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came.
    pub fn state(&self) -> Result<EngineState, EngineError> {
        self.get("/admin/state")
    }

    /// Asks for the latest report of load, which lags.
    ///
    /// # Errors
    ///
    /// Returns an error where no answer came.
    pub fn load_report(&self) -> Result<LoadReport, EngineError> {
        self.get("/admin/load")
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let url = format!("http://{}{path}", self.address);
        let answer = self.agent.get(url).call().map_err(|err| self.unanswered(&err))?;
        self.read(answer.into_body())
    }

    fn read<T: DeserializeOwned>(&self, mut body: Body) -> Result<T, EngineError> {
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
