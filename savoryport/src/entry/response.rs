//! Responses to callers, which state the outcome of the request.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use savoryport_core::request_lifecycle::Outcome;
use serde_json::{Value, json};

/// The response header with the outcome of the request.
pub(super) const OUTCOME_HEADER: &str = "x-savoryport-outcome";

/// The response header with the delay before a retry in milliseconds. The standard `retry-after`
/// holds it in whole seconds.
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

pub(super) type Body = BoxBody<Bytes, Infallible>;
pub(super) type CallerResponse = Response<Body>;

/// The error response to a request that does not complete.
#[derive(Debug, Clone)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) outcome: Outcome,
    pub(super) cause: &'static str,
    pub(super) message: String,
    pub(super) retry_after: Option<Duration>,
    /// The address of another entry that the caller may use instead.
    pub(super) other_entry: Option<String>,
}

impl Refusal {
    /// Creates the refusal of an invalid request, which did not run.
    pub(super) fn invalid(
        status: StatusCode,
        cause: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let (outcome, message) = (Outcome::NotRun, message.into());
        Self { status, outcome, cause, message, retry_after: None, other_entry: None }
    }

    /// Creates the refusal of a request that did not run and may be sent again later.
    pub(super) fn retry_later(cause: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: Outcome::NotRun,
            cause,
            message: "the request did not run; come back later".to_owned(),
            retry_after: Some(retry_after),
            other_entry: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub(super) fn outcome_unknown(cause: &'static str) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            outcome: Outcome::Unknown,
            cause,
            message: "the request may have run; it will not be sent again".to_owned(),
            retry_after: None,
            other_entry: None,
        }
    }

    /// Returns the body, which is also sent as the last event of a stream that fails.
    pub(super) fn body(&self) -> Value {
        json!({
            "outcome": self.outcome.name(),
            "error": { "type": self.cause, "message": self.message },
            "retry_after_ms": self.retry_after.map(|after| after.as_millis() as u64),
            "elsewhere": self.other_entry,
        })
    }

    /// Returns the complete response.
    pub(super) fn to_response(&self) -> CallerResponse {
        let mut res = json_response(self.status, &self.body());
        let headers = res.headers_mut();
        headers
            .insert(OUTCOME_HEADER, self.outcome.name().parse().expect("outcome names are ASCII"));
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(RETRY_AFTER, seconds.into());
            headers.insert(RETRY_AFTER_MS_HEADER, (after.as_millis() as u64).into());
        }
        res
    }
}

/// Returns a body with the given content.
pub(super) fn full_body(content: impl Into<Bytes>) -> Body {
    Full::new(content.into()).boxed()
}

/// Returns a response with a JSON body.
pub(super) fn json_response(status: StatusCode, body: &Value) -> CallerResponse {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(full_body(body.to_string()))
        .expect("the headers are valid")
}
