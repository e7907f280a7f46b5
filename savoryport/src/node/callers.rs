//! Accepts callers' connections, with limits on what an untrusted client can send.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::NodeError;
use super::context::NodeContext;
use super::proxy;
use super::response::Body;

/// Timeout for receiving a request's headers and for an idle connection, before a configuration is
/// known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The maximum size of a request's headers in bytes, before a configuration is known.
const DEFAULT_MAX_HEADER_BYTES: usize = 64 * 1024;

/// The smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The delay after accepting a connection failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The share of the file descriptors that callers' connections may use; the others are for
/// connections to servers, nodes and the store.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.5;

/// Binds a listener to an address.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|err| NodeError::Listen { address, err })
}

/// Accepts callers' connections until [`NodeContext::connection_shutdown`] is cancelled. A
/// connection beyond the limit is dropped.
pub async fn accept(cx: Arc<NodeContext>, listener: TcpListener) {
    let open_connections = Arc::new(AtomicUsize::new(0));
    let max_connections = (cx.settings.file_descriptors as f64 * CALLER_DESCRIPTOR_SHARE) as usize;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cx.connection_shutdown.cancelled() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) if open_connections.load(Ordering::Relaxed) < max_connections => stream,
            Ok(_) => continue,
            Err(err) => {
                log::warn!(err:% = err; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        open_connections.fetch_add(1, Ordering::Relaxed);
        let (cx, open_connections) = (cx.clone(), open_connections.clone());
        let caller_tasks = cx.caller_tasks.clone();
        caller_tasks.spawn(async move {
            serve_connection(&cx, stream).await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection(cx: &Arc<NodeContext>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(err:% = err; "cannot set TCP_NODELAY");
    }
    let limits = cx.fleet.view().deployment().map(|deployment| deployment.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let max_header_bytes = limits
        .map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    let caller = match stream.peer_addr() {
        Ok(address) => address.ip(),
        Err(err) => {
            log::debug!(err:% = err; "caller's connection failed");
            return;
        }
    };
    let service = service_fn(|req| respond(cx.clone(), caller, req));
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
    };
    if let Err(err) = result {
        log::debug!(err:% = err; "caller's connection failed");
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
