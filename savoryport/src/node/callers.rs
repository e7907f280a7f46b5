//! Accepts callers' connections, with limits on what an untrusted client can send.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Bytes, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::NodeError;
use super::caller_stream::CallerStream;
use super::context::NodeContext;
use super::open_work::OpenCount;
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

/// How long a connection without a request, and with nothing left to write, stays open once the
/// stopping node takes no more requests. A head that was sent before may still be on its way.
const IDLE_CLOSE_TIME: Duration = Duration::from_millis(1_000);

/// The number of checks within that time.
const IDLE_CLOSE_CHECKS: u32 = 4;

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
    let open_connections = cx.open_work.connections.clone();
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
        let open_connection = OpenCount::new(&open_connections);
        let cx = cx.clone();
        let caller_tasks = cx.caller_tasks.clone();
        caller_tasks.spawn(async move {
            serve_connection(&cx, stream, caller).await;
            drop(open_connection);
        });
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
    let own_requests = Arc::new(AtomicUsize::new(0));
    let is_write_blocked = Arc::new(AtomicBool::new(false));
    let stream = CallerStream::new(stream, is_write_blocked.clone());
    let service = service_fn(|req| {
        let in_progress = handle.begin_request();
        respond(cx.clone(), caller, own_requests.clone(), in_progress, req)
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
            let is_idle = || {
                own_requests.load(Ordering::Relaxed) == 0
                    && !is_write_blocked.load(Ordering::Relaxed)
            };
            match end_connection(connection, is_idle).await {
                Some(result) => result,
                None => return log::debug!(caller:% = caller; "connection without a request closed"),
            }
        }
        () = handle.closed.cancelled() => return,
    };
    if let Err(err) = result {
        log::debug!(err:% = err; "caller's connection failed");
    }
}

/// Waits for the end of a connection that is being shut down; returns `None` if it has been idle for
/// [`IDLE_CLOSE_TIME`]: no request is in progress, and no response is left to write.
async fn end_connection<T>(
    mut connection: impl Future<Output = T> + Unpin,
    is_idle: impl Fn() -> bool,
) -> Option<T> {
    let mut idle_checks = 0;
    while idle_checks < IDLE_CLOSE_CHECKS {
        let check_interval = IDLE_CLOSE_TIME / IDLE_CLOSE_CHECKS;
        if let Ok(result) = tokio::time::timeout(check_interval, &mut connection).await {
            return Some(result);
        }
        idle_checks = if is_idle() { idle_checks + 1 } else { 0 };
    }
    None
}

/// A response body whose request counts as open, and keeps its connection from giving way, until the
/// body is handed over for writing.
struct CountedBody {
    body: Body,
    _open: (OpenCount, OpenCount),
    _in_progress: RequestInProgress,
}

// The size has to be passed on, without which an answer of a known length would be sent in chunks.
impl hyper::body::Body for CountedBody {
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
    own_requests: Arc<AtomicUsize>,
    in_progress: RequestInProgress,
    req: Request<Incoming>,
) -> Result<Response<CountedBody>, Infallible> {
    let open = (OpenCount::new(&cx.open_work.requests), OpenCount::new(&own_requests));
    let response = proxy::serve(cx.clone(), caller, req).await;
    let mut response =
        response.map(|body| CountedBody { body, _open: open, _in_progress: in_progress });
    if cx.stopping.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
