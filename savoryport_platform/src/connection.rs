//! Connections to backend servers for callers' requests.
//!
//! A pooled HTTP client may repeat a request on its own when a connection turns out stale, and does
//! not tell whether anything was sent. This pool keeps both in the caller's hands: it never
//! repeats, and a connection is either open before the request is handed over or was never used.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use savoryport_core::Name;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// The most idle connections that are kept for each server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// A connection is given up this long before the server would close it.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// Sent bytes that stay unacknowledged for this long end the connection: a path that went silent is
/// not found out otherwise.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);

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
    /// Closes the socket when the connection is dropped, whatever is under way on it.
    _driver: AbortOnDropHandle<()>,
}

/// A connection in the pool.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    /// When the server closes it, if it said so.
    until: Option<Instant>,
}

/// Open connections by address.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<Name, Vec<Idle>>>>,
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
        let max_idle = if may_reuse { Duration::MAX } else { Duration::ZERO };
        self.connect_with_max_idle(address, max_idle, timeout).await
    }

    /// Returns a connection, one that was idle for no longer than `max_idle` if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotConnected`] where none came to stand in time.
    pub async fn connect_with_max_idle(
        &self,
        address: &Name,
        max_idle: Duration,
        timeout: Duration,
    ) -> Result<Connection, SendError> {
        if let Some(connection) = self.take_idle(address, max_idle) {
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
    pub fn release(&self, connection: Connection) {
        self.release_with_keep_alive(connection, None);
    }

    /// Takes back a connection that the server closes after `keep_alive` without a request.
    pub fn release_with_keep_alive(&self, connection: Connection, keep_alive: Option<Duration>) {
        let mut idle = self.idle.lock().expect("no holder panics");
        let connections = idle.entry(connection.address.clone()).or_default();
        if !connection.sender.is_closed() && connections.len() < MAX_IDLE_PER_SERVER {
            let since = Instant::now();
            let until = keep_alive.map(|time| since + time.saturating_sub(CLOSE_MARGIN));
            connections.push(Idle { connection, since, until });
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: &str) {
        self.idle.lock().expect("no holder panics").remove(address);
    }

    fn take_idle(&self, address: &Name, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no holder panics");
        let connections = idle.get_mut(address)?;
        let now = Instant::now();
        connections.retain(|idle| {
            !idle.connection.sender.is_closed() && idle.until.is_none_or(|until| now < until)
        });
        let position = connections.iter().rposition(|idle| {
            idle.connection.sender.is_ready() && now.duration_since(idle.since) < max_idle
        })?;
        Some(connections.remove(position).connection)
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
        self.sender.try_send_request(req).await.map_err(|mut err| {
            let (address, problem) = (self.address.clone(), err.error().to_string());
            // The library hands the request back where nothing of it was written.
            if err.take_message().is_some() {
                SendError::NotConnected { address, problem }
            } else {
                SendError::Broken { address, problem }
            }
        })
    }
}

async fn open(address: &Name) -> Result<Connection, String> {
    let stream = TcpStream::connect(&**address).await.map_err(|err| err.to_string())?;
    stream.set_nodelay(true).map_err(|err| err.to_string())?;
    let unacknowledged_ms = USER_TIMEOUT.as_millis() as u32;
    rustix::net::sockopt::set_tcp_user_timeout(&stream, unacknowledged_ms)
        .map_err(|err| err.to_string())?;
    let (sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
    // An error of the driver also reaches the request that is under way.
    let driver = tokio::spawn(async { drop(driver.await) });
    Ok(Connection { address: address.clone(), sender, _driver: AbortOnDropHandle::new(driver) })
}
