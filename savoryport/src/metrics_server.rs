//! The HTTP server for metrics, status and operators' commands.
//!
//! It is built on hyper because tiny_http may leave one of several connections that arrive together
//! without an answer for as long as the others stay open.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::registry::Registry;
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::connection_limit::{Closings, ConnectionLimits, Connections, LimitedStream};

/// The delay before the next attempt after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a client may take to send the head of a request.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of connections, beyond which idle ones give way. Operators and their monitoring need a
/// few.
const MAX_CONNECTIONS: usize = 32;

/// The bytes of incomplete heads of all connections.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// The maximum size of one head, and of what is read ahead.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// The time after which a connection is closed whose other side reads nothing.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0";

/// An error that keeps the HTTP server for metrics from starting.
#[derive(Debug, Error)]
#[error("cannot listen on {address} for metrics: {err}")]
pub struct MetricsServerError {
    /// The address to listen on.
    pub address: String,
    /// The error of the operating system.
    pub err: io::Error,
}

/// What the server responds with.
struct Pages<S, C> {
    registry: Registry,
    status: S,
    command: C,
    closings: Closings,
}

/// Serves `/metrics`, `/healthz` and `/status` over HTTP until the token is cancelled.
///
/// These endpoints are for operators and listen on loopback or the control address; callers cannot
/// reach them. It must be called within a Tokio runtime.
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address.
pub fn serve_metrics(
    address: &str,
    registry: Registry,
    status: impl Fn() -> Value + Send + Sync + 'static,
    cancel: CancellationToken,
) -> Result<(), MetricsServerError> {
    serve_metrics_and_commands(address, registry, status, |_| None, Closings::default(), cancel)
}

/// Serves the pages of [`serve_metrics`], and operators' commands: `command` gets the path and the
/// query of a POST request, and returns the response body, or `None` if there is no such command.
/// `closings` counts the connections that are closed because there are too many.
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address.
pub fn serve_metrics_and_commands(
    address: &str,
    registry: Registry,
    status: impl Fn() -> Value + Send + Sync + 'static,
    command: impl Fn(&str) -> Option<Value> + Send + Sync + 'static,
    closings: Closings,
    cancel: CancellationToken,
) -> Result<(), MetricsServerError> {
    let listener =
        listen(address).map_err(|err| MetricsServerError { address: address.to_owned(), err })?;
    let pages = Arc::new(Pages { registry, status, command, closings });
    tokio::spawn(cancel.clone().run_until_cancelled_owned(accept(listener, pages, cancel)));
    Ok(())
}

fn listen(address: &str) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

async fn accept<S, C>(listener: TcpListener, pages: Arc<Pages<S, C>>, cancel: CancellationToken)
where
    S: Fn() -> Value + Send + Sync + 'static,
    C: Fn(&str) -> Option<Value> + Send + Sync + 'static,
{
    let limits = ConnectionLimits {
        listener: "metrics",
        connections: MAX_CONNECTIONS,
        head_bytes: MAX_HEAD_BYTES,
        unread: UNREAD_TIMEOUT,
    };
    let connections = Connections::new(limits, pages.closings.clone());
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let Some(stream) = connections.admit(stream, address.ip()).await else { continue };
                let serving = serve_connection(stream, pages.clone());
                tokio::spawn(cancel.clone().run_until_cancelled_owned(serving));
            }
            Err(err) => {
                log::warn!(err:% = err; "cannot accept a connection for metrics");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<S, C>(stream: LimitedStream, pages: Arc<Pages<S, C>>)
where
    S: Fn() -> Value + Send + Sync + 'static,
    C: Fn(&str) -> Option<Value> + Send + Sync + 'static,
{
    let handle = stream.handle();
    let service = service_fn(|req: Request<Incoming>| {
        let (pages, in_progress) = (pages.clone(), handle.begin_request());
        // Large pages take their time, which requests of callers must not wait for.
        let responding = tokio::task::spawn_blocking(move || pages.respond(&req));
        async move {
            let _in_progress = in_progress;
            Ok::<_, Infallible>(responding.await.unwrap_or_else(|_| server_error()))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Some(Err(err)) = handle.closed.run_until_cancelled(connection).await {
        log::debug!(err:% = err; "connection for metrics failed");
    }
}

impl<S: Fn() -> Value, C: Fn(&str) -> Option<Value>> Pages<S, C> {
    fn respond(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = req.uri().path();
        if *req.method() == Method::POST {
            let target = req.uri().path_and_query().map_or(path, |target| target.as_str());
            return match (self.command)(target) {
                Some(outcome) => json_response(&outcome),
                None => text_response(StatusCode::NOT_FOUND, "no such command\n"),
            };
        }
        match path {
            "/metrics" => {
                let mut text = String::new();
                let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
                response(StatusCode::OK, METRICS_TYPE, text)
            }
            "/status" => json_response(&(self.status)()),
            "/healthz" => text_response(StatusCode::OK, "ok\n"),
            _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }
}

fn json_response(body: &Value) -> Response<Full<Bytes>> {
    response(StatusCode::OK, "application/json", body.to_string())
}

fn text_response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    response(status, "text/plain", text.to_owned())
}

fn server_error() -> Response<Full<Bytes>> {
    text_response(StatusCode::INTERNAL_SERVER_ERROR, "the page could not be made\n")
}

fn response(status: StatusCode, content_type: &str, body: String) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .body(Full::new(Bytes::from(body)))
        .expect("the header is valid")
}
