//! Connections to backend servers for callers' requests.
//!
//! A pooled HTTP client may repeat a request on its own when a connection turns out stale, and does
//! not tell whether anything was sent. This pool keeps both in the caller's hands: it never
//! repeats, and a connection is either open before the request is handed over or was never used.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use savoryport_core::Name;
use thiserror::Error;
use tokio::net::TcpStream;

/// The most idle connections that are kept for each server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// Why a request got no answer, apart by what the server may have seen of it.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection came to stand; nothing was sent.
    #[error("cannot connect to {address}: {problem}")]
    NotConnected {
        /// The server's address.
        address: Name,
        /// The operating system's words.
        problem: String,
    },
    /// The connection broke after the request was handed over.
    #[error("connection to {address} broke: {problem}")]
    Broken {
        /// The server's address.
        address: Name,
        /// The library's words.
        problem: String,
    },
}

/// An open connection that no request is using.
#[derive(Debug)]
pub struct Connection {
    address: Name,
    sender: SendRequest<Full<Bytes>>,
}

/// Open connections by address.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<Name, Vec<Connection>>>>,
}

impl Pool {
    /// Returns a connection, an idle one if `may_reuse`.
    ///
    /// A request that may not repeat takes a fresh one: on a connection that the other end has
    /// closed meanwhile its outcome would be unknown without need.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotConnected`] where none came to stand in time.
    pub async fn connect(
        &self,
        address: &Name,
        may_reuse: bool,
        timeout: Duration,
    ) -> Result<Connection, SendError> {
        if may_reuse && let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let not_connected = |problem: String| {
            let address = address.clone();
            SendError::NotConnected { address, problem }
        };
        match tokio::time::timeout(timeout, open(address)).await {
            Ok(opened) => opened.map_err(not_connected),
            Err(_) => Err(not_connected(format!("no connection within {timeout:?}"))),
        }
    }

    /// Takes back a connection whose answer was read to its end.
    pub fn give_back(&self, connection: Connection) {
        let mut idle = self.idle.lock().expect("no holder panics");
        let connections = idle.entry(connection.address.clone()).or_default();
        if !connection.sender.is_closed() && connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(connection);
        }
    }

    fn take_idle(&self, address: &Name) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }
}

impl Connection {
    /// Hands a request over and waits for the head of its answer.
    ///
    /// Dropping the future or the answer's body closes the connection, which cancels the request
    /// and keeps a late answer from reaching anybody.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Broken`]: the server may have seen the request.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.send_request(req).await.map_err(|err| {
            let (address, problem) = (self.address.clone(), err.to_string());
            SendError::Broken { address, problem }
        })
    }
}

async fn open(address: &Name) -> Result<Connection, String> {
    let stream = TcpStream::connect(&**address).await.map_err(|err| err.to_string())?;
    stream.set_nodelay(true).map_err(|err| err.to_string())?;
    let (sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
    // The driver owns the socket and ends with it.
    tokio::spawn(driver);
    Ok(Connection { address: address.clone(), sender })
}
