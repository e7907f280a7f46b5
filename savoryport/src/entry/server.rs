//! The HTTP server towards callers, with bounds on everything that a stranger can send.
//!
//! tiny_http keeps an endless request line in memory and has no read timeout, which is why hyper
//! stands here; the trial is in `docs/DESIGN.md`.

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
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::Context;
use super::answer::{Answer, Refusal, json_answer};
use super::{address, completion, service};

/// The longest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request whose head and body were read and checked.
pub(super) struct CallerRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: HashMap<String, String>,
    pub(super) headers: hyper::HeaderMap,
    pub(super) body: Bytes,
    pub(super) caller: String,
}

impl CallerRequest {
    /// Returns a header as text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Open connections by address.
type Connections = Arc<Mutex<HashMap<IpAddr, usize>>>;

/// Counts a connection as long as it is open.
struct Counted {
    connections: Connections,
    address: IpAddr,
}

impl Counted {
    fn try_new(connections: &Connections, address: IpAddr, cx: &Context) -> Option<Self> {
        let mut counts = connections.lock().expect("no holder panics");
        let total: usize = counts.values().sum();
        let own = counts.entry(address).or_default();
        let settings = &cx.settings;
        if total >= settings.max_connections || *own >= settings.max_connections_per_address {
            return None;
        }
        *own += 1;
        Some(Self { connections: connections.clone(), address })
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut counts = self.connections.lock().expect("no holder panics");
        if let Some(own) = counts.get_mut(&self.address) {
            *own -= 1;
            if *own == 0 {
                counts.remove(&self.address);
            }
        }
    }
}

/// Takes connections until the token is cancelled.
pub(super) async fn accept(listener: TcpListener, cx: Arc<Context>, cancel: CancellationToken) {
    let connections = Connections::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cancel.cancelled() => return,
        };
        let Ok((stream, peer)) = accepted else {
            // Out of descriptors, most likely: those in use will end.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(counted) = Counted::try_new(&connections, peer.ip(), &cx) else { continue };
        cx.connections.spawn(serve(stream, counted, cx.clone()));
    }
}

async fn serve(stream: TcpStream, counted: Counted, cx: Arc<Context>) {
    let closing = cx.closing.clone();
    let _ = stream.set_nodelay(true);
    let read_timeout = Duration::from_millis(cx.settings.read_timeout_ms);
    let service = service_fn(move |req| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(handle(&cx, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(read_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // A connection that ends badly has told its caller all there was to tell.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = closing.cancelled() => {
            // An answer that is written but not yet sent still leaves.
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    drop(counted);
}

async fn handle(cx: &Arc<Context>, req: Request<Incoming>) -> Answer {
    // The token keeps a graceful stop waiting until this request has its whole answer.
    let token = cx.requests.token();
    match route(cx, req, token).await {
        Ok(answer) => answer,
        Err(refusal) => {
            cx.metrics.count_refusal(refusal.cause);
            refusal.answer()
        }
    }
}

/// Keeps a graceful stop waiting while it exists.
pub(super) type RequestToken = tokio_util::task::task_tracker::TaskTrackerToken;

async fn route(
    cx: &Arc<Context>,
    req: Request<Incoming>,
    token: RequestToken,
) -> Result<Answer, Refusal> {
    let path = req.uri().path().to_owned();
    if path == "/healthz" {
        return Ok(health(cx));
    }
    if cx.is_draining() {
        return Err(address::refuse_draining(cx));
    }
    let req = read(cx, req).await?;
    match (&req.method, path.as_str()) {
        (&Method::GET, "/v1/entry") => address::answer(cx, &req).await,
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            completion::answer(cx, &req, token).await
        }
        (_, path) if path.starts_with("/services/") => service::answer(cx, req, token).await,
        (_, "/v1/entry" | "/v1/completions" | "/v1/chat/completions") => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            Err(Refusal::bad(status, "method-not-allowed", "this path takes another method"))
        }
        _ => Err(Refusal::bad(StatusCode::NOT_FOUND, "not-found", "no such path")),
    }
}

fn health(cx: &Context) -> Answer {
    let has_table = cx.fleet.borrow().table.version > 0;
    let (status, word) = match (cx.is_draining(), has_table) {
        (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "draining"),
        (false, false) => (StatusCode::SERVICE_UNAVAILABLE, "no table yet"),
        (false, true) => (StatusCode::OK, "ok"),
    };
    json_answer(status, &serde_json::json!({ "status": word }))
}

async fn read(cx: &Context, req: Request<Incoming>) -> Result<CallerRequest, Refusal> {
    let (head, body) = req.into_parts();
    if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
        // Two readers of one connection may disagree about where such a request ends.
        let message = "give content-length or transfer-encoding, not both";
        return Err(Refusal::bad(StatusCode::BAD_REQUEST, "ambiguous-length", message));
    }
    let caller = authorize(cx, &head.headers)?;
    let reading = Limited::new(body, cx.settings.max_body_bytes).collect();
    let read_timeout = Duration::from_millis(cx.settings.read_timeout_ms);
    let body = match tokio::time::timeout(read_timeout, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            let message = format!("the body may have {} bytes", cx.settings.max_body_bytes);
            return Err(Refusal::bad(StatusCode::PAYLOAD_TOO_LARGE, "too-large", message));
        }
        Err(_) => {
            let message = format!("the body did not come within {read_timeout:?}");
            return Err(Refusal::bad(StatusCode::REQUEST_TIMEOUT, "too-slow", message));
        }
    };
    Ok(CallerRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: parse_query(head.uri.query().unwrap_or_default()),
        headers: head.headers,
        body,
        caller,
    })
}

fn authorize(cx: &Context, headers: &hyper::HeaderMap) -> Result<String, Refusal> {
    let callers = &cx.settings.callers;
    if callers.is_empty() {
        return Ok("anonymous".to_owned());
    }
    let key = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    callers
        .iter()
        .find(|caller| Some(caller.key.as_str()) == key)
        .map(|caller| caller.name.to_string())
        .ok_or_else(|| {
            let message = "give a known key as bearer token";
            Refusal::bad(StatusCode::UNAUTHORIZED, "unauthorized", message)
        })
}

/// Splits a query of plain names; nothing that is asked for needs escapes.
fn parse_query(query: &str) -> HashMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}
