//! Reads an engine's events and passes them on to the caller.

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

use super::answer::Body;

/// The data of the event that ends a whole stream.
const DONE: &str = "[DONE]";

/// Pieces that wait for a caller who reads slowly.
const CALLER_BUFFER: usize = 16;

/// The engine's stream ended before its last event.
#[derive(Debug, Error)]
pub(super) enum StreamError {
    /// The connection broke.
    #[error("stream broke: {0}")]
    Broken(String),
    /// Nothing came for too long.
    #[error("no event for {0:?}")]
    Silent(Duration),
    /// The engine ended the stream without its last event.
    #[error("stream ended early")]
    EndedEarly,
}

/// What came next.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// One token.
    Token(String),
    /// The whole answer is through.
    Done,
}

/// The events of an engine's answer.
pub(super) struct EngineStream {
    events: BoxStream<'static, Result<String, String>>,
    stall: Duration,
}

impl EngineStream {
    /// Reads a body; `stall` is the longest time without an event.
    pub(super) fn new(body: Incoming, stall: Duration) -> Self {
        let frames = BodyStream::new(body)
            .filter_map(async |frame| frame.map(|frame| frame.into_data().ok()).transpose());
        let events = frames
            .eventsource()
            .map(|event| event.map(|event| event.data).map_err(|err| err.to_string()))
            .boxed();
        Self { events, stall }
    }

    /// Waits for the next event.
    pub(super) async fn next(&mut self) -> Result<Next, StreamError> {
        match tokio::time::timeout(self.stall, self.events.next()).await {
            Err(_) => Err(StreamError::Silent(self.stall)),
            Ok(None) => Err(StreamError::EndedEarly),
            Ok(Some(Err(problem))) => Err(StreamError::Broken(problem)),
            Ok(Some(Ok(data))) if data == DONE => Ok(Next::Done),
            Ok(Some(Ok(data))) => Ok(Next::Token(data)),
        }
    }
}

/// The way to a caller who reads a stream.
pub(super) struct CallerStream {
    tx: mpsc::Sender<Bytes>,
    stall: Duration,
}

/// The caller left, or reads nothing.
#[derive(Debug, Error)]
#[error("the caller has left")]
pub(super) struct CallerLeft;

impl CallerStream {
    /// Makes the two ends of an answer; `stall` is the longest time for which nothing is read.
    pub(super) fn new(stall: Duration) -> (Self, Body) {
        let (tx, mut rx) = mpsc::channel::<Bytes>(CALLER_BUFFER);
        let frames = futures::stream::poll_fn(move |cx| rx.poll_recv(cx))
            .map(|piece| Ok::<_, Infallible>(Frame::data(piece)));
        (Self { tx, stall }, BodyExt::boxed(StreamBody::new(frames)))
    }

    /// Sends one event.
    pub(super) async fn token(&self, data: &str) -> Result<(), CallerLeft> {
        self.send(format!("data: {data}\n\n")).await
    }

    /// Sends the end of a whole answer.
    pub(super) async fn done(&self) -> Result<(), CallerLeft> {
        self.outcome(&serde_json::json!({ "outcome": "done" })).await?;
        self.send(format!("data: {DONE}\n\n")).await
    }

    /// Names the outcome of the request.
    pub(super) async fn outcome(&self, body: &serde_json::Value) -> Result<(), CallerLeft> {
        self.send(format!("event: outcome\ndata: {body}\n\n")).await
    }

    /// Waits until the caller leaves.
    pub(super) async fn closed(&self) {
        self.tx.closed().await;
    }

    async fn send(&self, piece: String) -> Result<(), CallerLeft> {
        let sending = self.tx.send(Bytes::from(piece));
        match tokio::time::timeout(self.stall, sending).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(CallerLeft),
        }
    }
}
