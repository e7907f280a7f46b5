//! The answers to callers, each of which names the outcome of its request.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use savoryport_core::request_lifecycle::Outcome;
use serde_json::{Value, json};

/// The header that names the outcome.
pub(super) const OUTCOME_HEADER: &str = "x-savoryport-outcome";

/// The header that says when to come back, in milliseconds; `retry-after` says it in seconds.
const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

pub(super) type Body = BoxBody<Bytes, Infallible>;
pub(super) type Answer = Response<Body>;

/// A request that ends without its answer.
#[derive(Debug, Clone)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) outcome: Outcome,
    pub(super) cause: &'static str,
    pub(super) message: String,
    pub(super) retry_after: Option<Duration>,
    /// The address of another entry that may serve the request.
    pub(super) elsewhere: Option<String>,
}

impl Refusal {
    /// The request is wrong and did not run.
    pub(super) fn bad(status: StatusCode, cause: &'static str, message: impl Into<String>) -> Self {
        let (outcome, message) = (Outcome::NotRun, message.into());
        Self { status, outcome, cause, message, retry_after: None, elsewhere: None }
    }

    /// The request did not run and may be sent again later.
    pub(super) fn later(cause: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            outcome: Outcome::NotRun,
            cause,
            message: "the request did not run; come back later".to_owned(),
            retry_after: Some(retry_after),
            elsewhere: None,
        }
    }

    /// The request may have run.
    pub(super) fn unknown(cause: &'static str) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            outcome: Outcome::Unknown,
            cause,
            message: "the request may have run; it will not be sent again".to_owned(),
            retry_after: None,
            elsewhere: None,
        }
    }

    /// Returns the body, which streams also end with.
    pub(super) fn body(&self) -> Value {
        json!({
            "outcome": self.outcome.name(),
            "error": { "type": self.cause, "message": self.message },
            "retry_after_ms": self.retry_after.map(|after| after.as_millis() as u64),
            "elsewhere": self.elsewhere,
        })
    }

    /// Returns the whole answer.
    pub(super) fn answer(&self) -> Answer {
        let mut answer = json_answer(self.status, &self.body());
        let headers = answer.headers_mut();
        headers.insert(OUTCOME_HEADER, self.outcome.name().parse().expect("plain ASCII"));
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(RETRY_AFTER, seconds.into());
            headers.insert(RETRY_AFTER_MS_HEADER, (after.as_millis() as u64).into());
        }
        answer
    }
}

/// Returns a body that is whole.
pub(super) fn whole(buf: impl Into<Bytes>) -> Body {
    Full::new(buf.into()).boxed()
}

/// Returns an answer in JSON.
pub(super) fn json_answer(status: StatusCode, body: &Value) -> Answer {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(whole(body.to_string()))
        .expect("plain headers")
}
