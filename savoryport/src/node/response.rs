//! Answers to callers.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use savoryport_adapter::callers::set_retry_after;
use thiserror::Error;

/// The stream of an answer ends without being whole; the connection ends with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer broke off")]
pub struct BrokenOff;

/// The body of an answer.
pub type Body = BoxBody<Bytes, BrokenOff>;

/// Why a request gets no answer of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No configuration is known yet.
    NoConfig,
    /// No route fits.
    NoRoute,
    /// The head is malformed.
    BadHead,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The body did not come.
    BodyMissing,
    /// No server of the service takes work.
    NoServer,
    /// No server holds the model, and none will in time.
    NoModel,
    /// No server has a place for the adapter.
    NoAdapter,
    /// The first token would come too late.
    Overload,
    /// The servers that were asked did not run the request.
    NotRun,
    /// A server broke off, and the request may have run.
    Broken,
    /// The route's or the caller's time is up.
    TimedOut,
}

impl RefusalCause {
    /// Returns the word used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::NoRoute => "no-route",
            Self::BadHead => "bad-head",
            Self::BodyTooLong => "body-too-long",
            Self::BodyMissing => "body-missing",
            Self::NoServer => "no-server",
            Self::NoModel => "no-model",
            Self::NoAdapter => "no-adapter",
            Self::Overload => "overload",
            Self::NotRun => "not-run",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
        }
    }

    /// Returns the status for the caller. Those that promise that the request has not run are used
    /// only where nothing was handed to a server, or the server itself refused it.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::NoServer
            | Self::NoModel
            | Self::NoAdapter
            | Self::Overload
            | Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadHead => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyMissing => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A request that ends without an answer of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal without a time to come back.
    pub fn of(cause: RefusalCause) -> Self {
        Self { cause, retry_after: None }
    }

    /// Makes a refusal with a time to come back.
    pub fn retry(cause: RefusalCause, after: Duration) -> Self {
        Self { cause, retry_after: Some(after) }
    }

    /// Writes the answer.
    pub fn answer(self) -> Response<Body> {
        let text = format!("{{\"error\":\"{}\"}}", self.cause.name());
        let mut answer = Response::new(whole(text.into()));
        *answer.status_mut() = self.cause.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = self.retry_after {
            set_retry_after(headers, wait);
        }
        answer
    }
}

/// Makes a body that is known as a whole.
pub fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed()
}

/// Passes a server's whole answer on.
pub fn pass_on(status: StatusCode, mut headers: HeaderMap, body: Bytes) -> Response<Body> {
    headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    let mut answer = Response::new(whole(body));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
