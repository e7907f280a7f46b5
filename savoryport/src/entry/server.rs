//! The HTTP server for callers, with limits on everything that an untrusted client can send.
//!
//! It is built on hyper because tiny_http buffers an endless request line in memory and has no read
//! timeout; the comparison is in `docs/DESIGN.md`.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use savoryport_core::rank::Rank;
use savoryport_core::table::{Table, TeamKeys};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::Context;
use super::response::{CallerResponse, Refusal, json_response};
use super::{completion, discovery, service};

/// The maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The delay before the next attempt after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An authorized request whose body has been received.
pub(super) struct CallerRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: HashMap<String, String>,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The name of the caller in the settings or of the team in the table, or `anonymous` if there are
    /// neither.
    pub(super) caller: String,
    /// The rank of the caller's team, which takes precedence over that of the row.
    pub(super) team_rank: Option<Rank>,
}

impl CallerRequest {
    /// Returns the value of a header, or `None` if it is missing or is not visible ASCII.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The number of open connections by client address.
type ConnectionCounts = Arc<Mutex<HashMap<IpAddr, usize>>>;

/// A permit for an open connection, which counts against the limits until it is dropped.
struct ConnectionPermit {
    counts: ConnectionCounts,
    address: IpAddr,
}

impl ConnectionPermit {
    /// Returns `None` if the total or the address has reached its limit.
    fn try_new(
        connection_counts: &ConnectionCounts,
        address: IpAddr,
        cx: &Context,
    ) -> Option<Self> {
        let mut counts = connection_counts.lock().expect("no thread panics while holding the lock");
        let total: usize = counts.values().sum();
        let from_address = counts.entry(address).or_default();
        let settings = &cx.settings;
        if total >= settings.max_connections
            || *from_address >= settings.max_connections_per_address
        {
            return None;
        }
        *from_address += 1;
        Some(Self { counts: connection_counts.clone(), address })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut counts = self.counts.lock().expect("no thread panics while holding the lock");
        if let Some(from_address) = counts.get_mut(&self.address) {
            *from_address -= 1;
            if *from_address == 0 {
                counts.remove(&self.address);
            }
        }
    }
}

/// Accepts connections until the token is cancelled.
pub(super) async fn accept(listener: TcpListener, cx: Arc<Context>, cancel: CancellationToken) {
    let connection_counts = ConnectionCounts::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cancel.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            // Most likely the process is out of file descriptors; wait until connections close.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(permit) = ConnectionPermit::try_new(&connection_counts, peer.ip(), &cx) else {
            continue;
        };
        cx.connections.spawn(serve_connection(stream, permit, cx.clone()));
    }
}

async fn serve_connection(stream: TcpStream, permit: ConnectionPermit, cx: Arc<Context>) {
    let shutdown = cx.connection_shutdown.clone();
    let _ = stream.set_nodelay(true);
    let read_timeout = Duration::from_millis(cx.settings.read_timeout_ms);
    let service = service_fn(move |req| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(handle_request(&cx, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(read_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Errors of a connection are ignored: nothing more can be sent to the caller.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = shutdown.cancelled() => {
            // Responses that are written but not yet sent are still delivered.
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    drop(permit);
}

async fn handle_request(cx: &Arc<Context>, req: Request<Incoming>) -> CallerResponse {
    // Makes a graceful shutdown wait until the response to this request is complete.
    let token = cx.requests.token();
    match route(cx, req, token).await {
        Ok(res) => res,
        Err(refusal) => {
            cx.metrics.count_refusal(refusal.cause);
            refusal.to_response()
        }
    }
}

/// A token that makes a graceful shutdown wait until it is dropped.
pub(super) type RequestToken = tokio_util::task::task_tracker::TaskTrackerToken;

async fn route(
    cx: &Arc<Context>,
    req: Request<Incoming>,
    token: RequestToken,
) -> Result<CallerResponse, Refusal> {
    let path = req.uri().path().to_owned();
    if path == "/healthz" {
        return Ok(health(cx));
    }
    if cx.is_draining() {
        return Err(discovery::refuse_draining(cx));
    }
    let req = read_request(cx, req).await?;
    match (&req.method, path.as_str()) {
        (&Method::GET, "/v1/entry") => discovery::handle(cx, &req).await,
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            completion::handle(cx, &req, token).await
        }
        (_, path) if path.starts_with("/services/") => service::handle(cx, req, token).await,
        (_, "/v1/entry" | "/v1/completions" | "/v1/chat/completions") => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            Err(Refusal::invalid(status, "method-not-allowed", "this path takes another method"))
        }
        _ => Err(Refusal::invalid(StatusCode::NOT_FOUND, "not-found", "no such path")),
    }
}

fn health(cx: &Context) -> CallerResponse {
    let has_table = cx.fleet.borrow().table.version > 0;
    let (status, text) = match (cx.is_draining(), has_table) {
        (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
        (false, false) => (StatusCode::SERVICE_UNAVAILABLE, "no table yet"),
        (false, true) => (StatusCode::OK, "ok"),
    };
    json_response(status, &serde_json::json!({ "status": text }))
}

async fn read_request(cx: &Context, req: Request<Incoming>) -> Result<CallerRequest, Refusal> {
    let (head, body) = req.into_parts();
    if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
        // HTTP parsers disagree about where such a request ends, which permits request smuggling.
        let message = "give content-length or transfer-encoding, not both";
        return Err(Refusal::invalid(StatusCode::BAD_REQUEST, "ambiguous-length", message));
    }
    let (caller, team_rank) = authorize(cx, &head.headers)?;
    let read_body = Limited::new(body, cx.settings.max_body_bytes).collect();
    let read_timeout = Duration::from_millis(cx.settings.read_timeout_ms);
    let body = match tokio::time::timeout(read_timeout, read_body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            let message = format!("the body may have {} bytes", cx.settings.max_body_bytes);
            return Err(Refusal::invalid(StatusCode::PAYLOAD_TOO_LARGE, "too-large", message));
        }
        Err(_) => {
            let message = format!("the body did not come within {read_timeout:?}");
            return Err(Refusal::invalid(StatusCode::REQUEST_TIMEOUT, "too-slow", message));
        }
    };
    Ok(CallerRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: parse_query(head.uri.query().unwrap_or_default()),
        headers: head.headers,
        body,
        caller,
        team_rank,
    })
}

/// Returns the name of the caller whose key a request carries, and the rank of its team if it is one
/// of the table's.
fn authorize(cx: &Context, headers: &HeaderMap) -> Result<(String, Option<Rank>), Refusal> {
    let callers = &cx.settings.callers;
    let table = cx.fleet.borrow().table.clone();
    let teams = cx.team_keys.of(&table);
    if callers.is_empty() && !teams.has_teams() {
        return Ok(("anonymous".to_owned(), None));
    }
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    if let Some((name, rank)) = key.and_then(|key| teams.team_of(key)) {
        return Ok((name.to_string(), Some(*rank)));
    }
    callers
        .iter()
        .find(|caller| Some(caller.key.as_str()) == key)
        .map(|caller| (caller.name.to_string(), None))
        .ok_or_else(|| {
            let message = "give a known key as bearer token";
            Refusal::invalid(StatusCode::UNAUTHORIZED, "unauthorized", message)
        })
}

/// The teams of the table in force by key, built anew for each version of the table.
#[derive(Default)]
pub(super) struct TeamKeyCache(Mutex<(Arc<Table>, Arc<TeamKeys>)>);

impl TeamKeyCache {
    fn of(&self, table: &Arc<Table>) -> Arc<TeamKeys> {
        let mut cached = self.0.lock().expect("no thread panics while holding the lock");
        if !Arc::ptr_eq(&cached.0, table) {
            *cached = (table.clone(), Arc::new(TeamKeys::new(&table.rows)));
        }
        cached.1.clone()
    }
}

/// Parses a query string without decoding escapes, which no valid item name needs.
fn parse_query(query: &str) -> HashMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}
