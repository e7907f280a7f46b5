//! Accepts callers' connections, with limits on what an untrusted client can send.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::NodeError;
use super::context::NodeContext;
use super::proxy;
use super::response::{Body, IncompleteResponse};
use crate::connection_limit::{LimitedStream, RequestInProgress};

/// Timeout for receiving a request's headers and for an idle connection, before a configuration is
/// known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The maximum size of a request's headers in bytes, before a configuration is known.
const DEFAULT_MAX_HEADER_BYTES: usize = 64 * 1024;

/// The smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The delay after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The interval between two checks of callers' connections.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Binds a listener to an address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|err| NodeError::Listen { address, err })
}

/// Accepts callers' connections until [`NodeContext::connection_shutdown`] is cancelled. If there are
/// too many, one without a request gives way; without such a one the new connection is dropped.
pub async fn accept(cx: Arc<NodeContext>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cx.connection_shutdown.cancelled() => return,
        };
        let (stream, caller) = match accepted {
            Ok((stream, address)) => (stream, address.ip()),
            Err(err) => {
                log::warn!(err:% = err; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!(err:% = err; "cannot set TCP_NODELAY");
        }
        let Some(stream) = cx.caller_connections.admit(stream, caller).await else { continue };
        let cx = cx.clone();
        let caller_tasks = cx.caller_tasks.clone();
        caller_tasks.spawn(async move { serve_connection(&cx, stream, caller).await });
    }
}

/// Closes callers' connections whose heads take too long, and updates the gauges.
pub async fn watch(cx: Arc<NodeContext>) {
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        if let Some(deployment) = cx.fleet.view().deployment() {
            cx.caller_connections.close_overdue(deployment.limits.header_timeout);
        }
        let metrics = &cx.metrics;
        let (connections, head_bytes) = cx.caller_connections.usage();
        let (body_bytes, waiting) = cx.caller_memory.usage();
        metrics.caller_connections.set(connections as i64);
        metrics.caller_head_bytes.set(head_bytes as i64);
        metrics.caller_body_bytes.set(body_bytes as i64);
        metrics.caller_waiting_bodies.set(waiting as i64);
        metrics.response_bytes.set(cx.response_memory.used() as i64);
        metrics.stream_bytes.set(cx.stream_memory.used() as i64);
        metrics.pooled_connections.set(cx.request_pool.idle_count() as i64);
    }
}

async fn serve_connection(cx: &Arc<NodeContext>, stream: LimitedStream, caller: IpAddr) {
    let limits = cx.fleet.view().deployment().map(|deployment| deployment.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let max_header_bytes = limits
        .map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    let handle = stream.handle();
    let service = service_fn(|req| {
        let in_progress = handle.begin_request();
        let response = respond(cx.clone(), caller, req);
        async { response.await.map(|response| hold_until_sent(response, in_progress)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(max_header_bytes + MIN_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = cx.connection_shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = handle.closed.cancelled() => return,
    };
    if let Err(err) = result {
        log::debug!(err:% = err; "caller's connection failed");
    }
}

/// Keeps a connection from giving way until its answer is handed over to be sent.
fn hold_until_sent(response: Response<Body>, in_progress: RequestInProgress) -> Response<Body> {
    response.map(|body| Body::new(HeldBody { body, _in_progress: in_progress }))
}

/// The body of an answer to a request that is in progress until the body is dropped.
struct HeldBody {
    body: Body,
    _in_progress: RequestInProgress,
}

// The size has to be passed on, without which an answer of a known length would be sent in chunks.
impl hyper::body::Body for HeldBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

async fn respond(
    cx: Arc<NodeContext>,
    caller: IpAddr,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let mut response = proxy::serve(cx.clone(), caller, req).await;
    if cx.stopping.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
