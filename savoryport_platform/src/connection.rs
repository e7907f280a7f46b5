//! A pool of HTTP/1 connections to backend servers.
//!
//! Common pooled HTTP clients may resend a request on their own when a connection turns out to be
//! stale, and don't report whether anything was sent. This pool leaves both to its user: it never
//! resends a request, and it connects before it accepts a request, so a failure to connect means
//! that nothing was sent.

use std::collections::HashMap;
use std::io::ErrorKind;
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

/// The largest number of idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 64;

/// How long before the server's idle timeout the pool stops using a connection.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// The largest head of a response, and the most bytes that are read ahead of the receiver of a body. A
/// server in trouble may send heads without end on each connection.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// The value of `TCP_USER_TIMEOUT`: the connection is closed when sent data stays unacknowledged
/// for this long. A network path that drops packets silently would not be detected otherwise. Sound
/// servers may fall silent for a second or so, and what they run meanwhile must not be lost.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a request got no response; the variants differ in whether the server may have received it.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection was established or the request was not written; nothing was sent.
    #[error("cannot connect to {address}: {problem}")]
    NotConnected {
        /// The server's address.
        address: Name,
        /// The cause, as the operating system or the HTTP library reports it.
        problem: String,
    },
    /// The connection failed after sending began; the server may have received the request.
    #[error("connection to {address} failed: {problem}")]
    Broken {
        /// The server's address.
        address: Name,
        /// The cause, as the HTTP library reports it.
        problem: String,
    },
}

/// Whether a server accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It accepted one.
    Accepts,
    /// Its VM refused the connection: nothing listens on the port.
    Refuses,
    /// No answer came, or the connection failed in another way.
    Unknown,
}

/// An open connection, for one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: Name,
    sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before this one.
    is_reused: bool,
    /// The task that drives the connection; dropping it closes the socket, even during a request.
    _driver: AbortOnDropHandle<()>,
}

/// An idle connection in the pool.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// The time after which it is no longer used, if the server announced an idle timeout.
    expires_at: Option<Instant>,
}

/// A pool of idle connections, by server address. Clones share the connections.
#[derive(Debug, Clone)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<Name, Vec<IdleConnection>>>>,
    max_idle: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_max_idle(usize::MAX)
    }
}

impl Pool {
    /// Creates a pool that keeps so many idle connections, over all servers.
    pub fn with_max_idle(max_idle: usize) -> Self {
        Self { idle: Arc::default(), max_idle }
    }

    /// Returns an idle connection if `may_reuse` is set and there is one, and otherwise a new one.
    ///
    /// A request that must not run twice should use a new connection: the server may close an idle
    /// one at any time, and the outcome of a request sent on it would be needlessly unknown.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotConnected`] if no connection is established within `timeout`.
    pub async fn connect(
        &self,
        address: &Name,
        may_reuse: bool,
        timeout: Duration,
    ) -> Result<Connection, SendError> {
        let max_idle = if may_reuse { Duration::MAX } else { Duration::ZERO };
        self.connect_with_max_idle(address, max_idle, timeout).await
    }

    /// Returns a connection that was idle for less than `max_idle` if there is one, and otherwise a
    /// new one.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotConnected`] if no connection is established within `timeout`.
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

    /// Checks whether the server accepts a new connection, which is kept for the next request.
    pub async fn probe(&self, address: &Name, timeout: Duration) -> Liveness {
        match tokio::time::timeout(timeout, TcpStream::connect(&**address)).await {
            Ok(Ok(stream)) => {
                if let Ok(connection) = from_stream(address, stream).await {
                    self.release(connection);
                }
                Liveness::Accepts
            }
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Liveness::Refuses,
            Ok(Err(_)) | Err(_) => Liveness::Unknown,
        }
    }

    /// Puts a connection back into the pool; its last response must have been read to the end.
    pub fn release(&self, connection: Connection) {
        self.release_with_keep_alive(connection, None);
    }

    /// Puts a connection back into the pool; the server closes it after it was idle for
    /// `keep_alive`, if that is known.
    pub fn release_with_keep_alive(&self, connection: Connection, keep_alive: Option<Duration>) {
        let mut idle = self.idle.lock().expect("no thread panics while holding the lock");
        let connections = idle.entry(connection.address.clone()).or_default();
        if !connection.sender.is_closed() && connections.len() < MAX_IDLE_PER_SERVER {
            let idle_since = Instant::now();
            // A time beyond the clock's range is no time.
            let expires_at = keep_alive
                .and_then(|time| idle_since.checked_add(time.saturating_sub(CLOSE_MARGIN)));
            connections.push(IdleConnection { connection, idle_since, expires_at });
        }
        if idle.values().map(Vec::len).sum::<usize>() > self.max_idle {
            close_longest_idle(&mut idle);
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        let idle = self.idle.lock().expect("no thread panics while holding the lock");
        idle.values().map(Vec::len).sum()
    }

    /// Returns whether an open connection to the address has been idle for less than `max_idle`.
    pub fn has_idle(&self, address: &str, max_idle: Duration) -> bool {
        let idle = self.idle.lock().expect("no thread panics while holding the lock");
        let now = Instant::now();
        idle.get(address).is_some_and(|connections| {
            connections.iter().any(|idle| idle.is_reusable(max_idle, now))
        })
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: &str) {
        self.idle.lock().expect("no thread panics while holding the lock").remove(address);
    }

    fn take_idle(&self, address: &Name, max_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no thread panics while holding the lock");
        let connections = idle.get_mut(address)?;
        let now = Instant::now();
        connections.retain(|idle| {
            !idle.connection.sender.is_closed()
                && idle.expires_at.is_none_or(|expires_at| now < expires_at)
        });
        let position = connections.iter().rposition(|idle| idle.is_reusable(max_idle, now))?;
        Some(Connection { is_reused: true, ..connections.remove(position).connection })
    }
}

/// Closes the connection that has been idle for longest.
fn close_longest_idle(idle: &mut HashMap<Name, Vec<IdleConnection>>) {
    // Those of one server are in the order in which they became idle.
    let longest = idle
        .iter()
        .filter_map(|(address, connections)| Some((connections.first()?.idle_since, address)))
        .min_by_key(|(since, _)| *since);
    if let Some((_, address)) = longest {
        let address = address.clone();
        if let Some(connections) = idle.get_mut(&address) {
            connections.remove(0);
        }
    }
}

impl IdleConnection {
    fn is_reusable(&self, max_idle: Duration, now: Instant) -> bool {
        self.connection.sender.is_ready()
            && self.expires_at.is_none_or(|expires_at| now < expires_at)
            && now.duration_since(self.idle_since) < max_idle
    }
}

impl Connection {
    /// Returns whether the connection has carried an earlier request, of which the server may still
    /// send something.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future or the response body closes the connection, which cancels the request
    /// and discards a late response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Broken`] if the server may have received the request, and
    /// [`SendError::NotConnected`] if nothing of it was written.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(req).await.map_err(|mut err| {
            let (address, problem) = (self.address.clone(), err.error().to_string());
            // hyper returns the request if nothing of it was written.
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
    from_stream(address, stream).await
}

async fn from_stream(address: &Name, stream: TcpStream) -> Result<Connection, String> {
    stream.set_nodelay(true).map_err(|err| err.to_string())?;
    let unacknowledged_ms = TCP_USER_TIMEOUT.as_millis() as u32;
    rustix::net::sockopt::set_tcp_user_timeout(&stream, unacknowledged_ms)
        .map_err(|err| err.to_string())?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let (sender, driver) =
        builder.handshake(TokioIo::new(stream)).await.map_err(|err| err.to_string())?;
    // The driver's error is dropped because the request in progress reports it too.
    let driver = tokio::spawn(async { drop(driver.await) });
    Ok(Connection {
        address: address.clone(),
        sender,
        is_reused: false,
        _driver: AbortOnDropHandle::new(driver),
    })
}
