//! The two sides of a streamed completion: events received from an engine and events sent to the
//! caller.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use futures::stream::BoxStream;
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::{Frame, Incoming};
use thiserror::Error;
use tokio::sync::mpsc;

use super::response::Body;

/// The data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// The number of chunks that are buffered for a caller that reads slowly.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The error for an engine's stream that fails before its last event.
#[derive(Debug, Error)]
pub(super) enum StreamError {
    /// The connection broke or an event could not be parsed.
    #[error("cannot read event: {0}")]
    Broken(String),
    /// No event arrived within the stall timeout.
    #[error("no event for {0:?}")]
    Stalled(Duration),
    /// The stream ended without its last event.
    #[error("stream ended early")]
    EndedEarly,
}

/// An event of an engine's stream.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum StreamEvent {
    /// The data of an event with one token.
    Token(String),
    /// The stream is complete.
    Done,
}

/// The events of an engine's response.
pub(super) struct EngineStream {
    events: BoxStream<'static, Result<String, String>>,
    stall_timeout: Duration,
}

impl EngineStream {
    /// Creates a stream from a response body; `stall_timeout` is the longest time without an event.
    pub(super) fn new(body: Incoming, stall_timeout: Duration) -> Self {
        let frames = BodyStream::new(body)
            .filter_map(async |frame| frame.map(|frame| frame.into_data().ok()).transpose());
        let events = frames
            .eventsource()
            .map(|event| event.map(|event| event.data).map_err(|err| err.to_string()))
            .boxed();
        Self { events, stall_timeout }
    }

    /// Waits for the next event.
    pub(super) async fn next(&mut self) -> Result<StreamEvent, StreamError> {
        match tokio::time::timeout(self.stall_timeout, self.events.next()).await {
            Err(_) => Err(StreamError::Stalled(self.stall_timeout)),
            Ok(None) => Err(StreamError::EndedEarly),
            Ok(Some(Err(err))) => Err(StreamError::Broken(err)),
            Ok(Some(Ok(data))) if data == DONE => Ok(StreamEvent::Done),
            Ok(Some(Ok(data))) => Ok(StreamEvent::Token(data)),
        }
    }
}

/// The sending side of a response that is streamed to a caller.
pub(super) struct CallerStream {
    tx: mpsc::Sender<Bytes>,
    stall_timeout: Duration,
}

/// The error for a caller that has disconnected or has stopped reading.
#[derive(Debug, Error)]
#[error("the caller has disconnected or stopped reading")]
pub(super) struct CallerLeft;

impl CallerStream {
    /// Creates the sending side and the body of a response; `stall_timeout` is the longest wait for
    /// the caller to read.
    pub(super) fn new(stall_timeout: Duration) -> (Self, Body) {
        let (tx, mut rx) = mpsc::channel::<Bytes>(MAX_BUFFERED_CHUNKS);
        let frames = futures::stream::poll_fn(move |cx| rx.poll_recv(cx))
            .map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
        (Self { tx, stall_timeout }, BodyExt::boxed(StreamBody::new(frames)))
    }

    /// Sends an event with one token.
    pub(super) async fn send_token(&self, data: &str) -> Result<(), CallerLeft> {
        self.send(format!("data: {data}\n\n")).await
    }

    /// Sends the events that end a complete stream.
    pub(super) async fn send_done(&self) -> Result<(), CallerLeft> {
        self.send_outcome(&serde_json::json!({ "outcome": "done" })).await?;
        self.send(format!("data: {DONE}\n\n")).await
    }

    /// Sends an event with the outcome of the request.
    pub(super) async fn send_outcome(&self, body: &serde_json::Value) -> Result<(), CallerLeft> {
        self.send(format!("event: outcome\ndata: {body}\n\n")).await
    }

    /// Waits until the caller disconnects.
    pub(super) async fn closed(&self) {
        self.tx.closed().await;
    }

    async fn send(&self, chunk: String) -> Result<(), CallerLeft> {
        let send = self.tx.send(Bytes::from(chunk));
        match tokio::time::timeout(self.stall_timeout, send).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(CallerLeft),
        }
    }
}
