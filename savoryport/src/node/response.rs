//! Responses to callers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use savoryport_adapter::callers::set_retry_after;
use thiserror::Error;

use super::relay::mark_refusal;
use super::response_body::CompleteBody;

/// Ends a response body that is incomplete: the connection to the caller is closed without the end
/// of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the response is incomplete")]
pub struct IncompleteResponse;

/// The body of a response to a caller.
pub type Body = BoxBody<Bytes, IncompleteResponse>;

/// Why a request gets no response from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches the host and path.
    NoRoute,
    /// The request names no key, or one of no team.
    UnknownKey,
    /// Keys may have been withdrawn that this node takes for valid.
    KeysUnconfirmed,
    /// The team has used up its quota.
    Quota,
    /// The request headers are malformed.
    BadHead,
    /// The request body exceeds the size limit.
    BodyTooLong,
    /// The request body was not received, or not in time.
    BodyMissing,
    /// There is no memory for the request body.
    NoMemory,
    /// The request body made no progress while others waited for memory.
    BodyStalled,
    /// No server of the service can take the request now.
    NoServer,
    /// No server has the model loaded, and none will have it in time.
    NoModel,
    /// No server has room for the adapter.
    NoAdapter,
    /// The request takes up a stream of which nobody knows the software version.
    VersionUnknown,
    /// No server of the software version that began the stream can go on with it.
    NoVersion,
    /// This node reaches no server, and no other node could take the request.
    CutOff,
    /// The first token is expected too late to be of use.
    Overload,
    /// The servers that could take the request name limits, which are used up.
    Limited,
    /// A part of the prompt crashes servers.
    Quarantined,
    /// The request crashes servers.
    CrashesServers,
    /// The node stops before a server could answer.
    Stopping,
    /// No server ran the request.
    NotRun,
    /// A server failed before its response was complete, so the request may have run.
    Broken,
    /// The route's timeout or the caller's deadline has passed.
    TimedOut,
}

impl RefusalCause {
    /// Returns the name used in logs, metrics and response bodies.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::KeysUnconfirmed => "keys-unconfirmed",
            Self::Quota => "quota",
            Self::BadHead => "bad-head",
            Self::BodyTooLong => "body-too-long",
            Self::BodyMissing => "body-missing",
            Self::NoMemory => "no-memory",
            Self::BodyStalled => "body-stalled",
            Self::NoServer => "no-server",
            Self::NoModel => "no-model",
            Self::NoAdapter => "no-adapter",
            Self::VersionUnknown => "version-unknown",
            Self::NoVersion => "no-version",
            Self::CutOff => "cut-off",
            Self::Overload => "overload",
            Self::Limited => "limited",
            Self::Quarantined => "quarantined",
            Self::CrashesServers => "crashes-servers",
            Self::Stopping => "stopping",
            Self::NotRun => "not-run",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
        }
    }

    /// Returns the status for the caller. A status that promises that the request did not run is
    /// used only if the request was sent to no server, or the server itself refused it.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::KeysUnconfirmed
            | Self::NoMemory
            | Self::BodyStalled
            | Self::NoServer
            | Self::NoModel
            | Self::NoAdapter
            | Self::VersionUnknown
            | Self::NoVersion
            | Self::CutOff
            | Self::Overload
            | Self::Limited
            | Self::Quarantined
            | Self::Stopping
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Quota => StatusCode::TOO_MANY_REQUESTS,
            // A caller repeats the request after any status that does not blame it.
            Self::BadHead | Self::CrashesServers => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyMissing => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A response that the node makes itself, because the request gets none from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why there is no response from a server.
    pub cause: RefusalCause,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a `Retry-After` time.
    pub fn new(cause: RefusalCause) -> Self {
        Self { cause, retry_after: None }
    }

    /// Creates a refusal that asks the caller to retry after this time.
    pub fn with_retry_after(cause: RefusalCause, after: Duration) -> Self {
        Self { cause, retry_after: Some(after) }
    }

    /// Creates the refusal of a node that stops; other nodes take the request at once. `random` is
    /// uniform in 0..1.
    pub fn stopping(random: f64) -> Self {
        /// The shortest time after which callers retry; it varies, so that they do not retry together.
        const RETRY_AFTER: Duration = Duration::from_millis(50);
        Self::with_retry_after(RefusalCause::Stopping, RETRY_AFTER.mul_f64(1.0 + random))
    }

    /// Builds the response to the caller.
    pub fn into_response(self) -> Response<Body> {
        let text = format!("{{\"error\":\"{}\"}}", self.cause.name());
        let mut response = Response::new(full_body(text.into()));
        *response.status_mut() = self.cause.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = self.retry_after {
            set_retry_after(headers, wait);
        }
        if self.cause == RefusalCause::CutOff {
            mark_refusal(headers);
        }
        response
    }
}

/// Creates a body from bytes that are in memory.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}

/// Builds a response to the caller from a server's complete response.
pub(super) fn forward_response(
    status: StatusCode,
    mut headers: HeaderMap,
    body: CompleteBody,
) -> Response<Body> {
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    let mut response = Response::new(body.into_body());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
