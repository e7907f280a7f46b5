//! Takes callers' connections, with bounds on what a stranger can send.

use std::convert::Infallible;
use std::net::SocketAddr;
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

/// The time for a head before a configuration gives one, and for an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest head before a configuration gives one, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The shortest buffer that the library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// The pause after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The part of the descriptors that callers may use; the rest is for servers, nodes and the store.
const CALLERS_SHARE: f64 = 0.5;

/// Listens at an address.
///
/// # Errors
///
/// Returns an error where the address cannot be listened on.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address).await.map_err(|err| NodeError::Listen { address, err })
}

/// Takes callers' connections until the node closes.
pub async fn accept(cx: Arc<NodeContext>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    let most = (cx.settings.file_descriptors as f64 * CALLERS_SHARE) as usize;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cx.connection_shutdown.cancelled() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) if open.load(Ordering::Relaxed) < most => stream,
            Ok(_) => continue,
            Err(err) => {
                log::warn!(err:% = err; "no connection taken");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        open.fetch_add(1, Ordering::Relaxed);
        let (cx, open) = (cx.clone(), open.clone());
        let serving = cx.caller_tasks.clone();
        serving.spawn(async move {
            serve(&cx, stream).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(cx: &Arc<NodeContext>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(err:% = err; "no delay option");
    }
    let limits = cx.fleet.view().deployment().map(|deployment| deployment.limits);
    let idle = limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let head = limits.map_or(MAX_HEAD_BYTES, |limits| limits.header_bytes.max(MIN_HEAD_BYTES));
    let service = service_fn(|req| answer(cx.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head + MIN_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = cx.connection_shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!(err:% = err; "caller's connection ended");
    }
}

async fn answer(
    cx: Arc<NodeContext>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let mut answer = proxy::serve(cx.clone(), req).await;
    if cx.stopping.is_cancelled() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}
