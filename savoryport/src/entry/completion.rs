//! Handles completion requests: queues them, sends them to an engine, forwards the response to the
//! caller and retries on another engine after a failure.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Response, StatusCode};
use savoryport_core::Name;
use savoryport_core::dispatch::{RefusalCause, Request, RequestEnd, Sample};
use savoryport_core::hash::prefix_hash;
use savoryport_core::rank::Rank;
use savoryport_core::request_lifecycle::{Outcome, RequestEvent, RequestLifecycle};
use savoryport_core::table::Row;
use savoryport_platform::connection::{Connection, SendError};
use savoryport_platform::wire::{CompletionRequest, DRAINING_HEADER};
use smallvec::SmallVec;

use super::Context;
use super::dispatcher::{DispatchDecision, InFlight};
use super::response::{CallerResponse, OUTCOME_HEADER, Refusal, full_body};
use super::retry::acquire_retry;
use super::server::{CallerRequest, RequestToken};
use super::stream::{CallerStream, EngineStream, StreamEvent};
use crate::metrics::{EntryMetrics, LATE, ON_TIME, OutcomeLabels};

/// The request header by which a caller lowers the rank of its request.
const RANK_HEADER: &str = "x-savoryport-rank";

/// The request header by which a caller sets the deadline of the first token, in milliseconds after
/// the arrival of the request.
const DEADLINE_HEADER: &str = "x-savoryport-deadline-ms";

/// The maximum number of tokens that a caller may request.
const MAX_TOKENS: u32 = 32_768;

/// The cause that is reported for retries, and for the refusal if no further retry is allowed.
const ENGINE_FAILED: &str = "engine-failed";

/// The approximate number of characters in a prompt token.
const CHARS_PER_TOKEN: usize = 4;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A completion request in progress.
struct Job {
    cx: Arc<Context>,
    completion: CompletionRequest,
    path: String,
    /// The name of the caller, as in [`CallerRequest`].
    caller: String,
    /// The table row of the model or adapter.
    row: Row,
    rank: Rank,
    arrived_at: Instant,
    deadline: Instant,
    lifecycle: RequestLifecycle,
    servers_tried: u32,
    failed_servers: SmallVec<[Name; 2]>,
    /// The number of tokens that the caller has, including those that it already had when it sent
    /// the request.
    tokens_sent: u32,
    first_token_at: Option<Instant>,
    /// Whether the outcome has been counted in the metrics.
    end_recorded: bool,
}

/// An engine's response whose head has arrived.
struct StartedResponse {
    in_flight: InFlight,
    /// When the request was sent to the engine.
    sent_at: Instant,
    connection: Connection,
    response: Response<Incoming>,
}

/// The reason why an engine did not start a response.
enum EngineFailure {
    /// Another engine may succeed, provided that the request may be retried.
    Retryable,
    /// The engine refused the request as malformed.
    InvalidRequest(Refusal),
}

/// Handles a completion request.
pub(super) async fn handle(
    cx: &Arc<Context>,
    req: &CallerRequest,
    token: RequestToken,
) -> Result<CallerResponse, Refusal> {
    let mut job = Job::new(cx, req)?;
    // The response to the caller starts only after an engine has started its own, so that a refusal
    // can still set the status.
    let started = job.start_response().await?;
    if job.completion.stream {
        let stall_timeout = Duration::from_millis(cx.settings.caller_stall_ms);
        let (caller, body) = CallerStream::new(stall_timeout);
        tokio::spawn(async move {
            job.forward_stream(started, &caller).await;
            drop(token);
        });
        let response = Response::builder().header(CONTENT_TYPE, "text/event-stream");
        return Ok(response.body(body).expect("the headers are valid"));
    }
    job.respond_without_streaming(started).await
}

impl Job {
    fn new(cx: &Arc<Context>, req: &CallerRequest) -> Result<Self, Refusal> {
        let malformed =
            |message: String| Refusal::invalid(StatusCode::BAD_REQUEST, "malformed", message);
        let completion: CompletionRequest =
            serde_json::from_slice(&req.body).map_err(|err| malformed(err.to_string()))?;
        if !(1..=MAX_TOKENS).contains(&completion.max_tokens) {
            return Err(malformed(format!("max_tokens: use 1 to {MAX_TOKENS}")));
        }
        if completion.text().is_empty() {
            return Err(malformed("prompt or messages: must not be empty".to_owned()));
        }
        let table = cx.fleet.borrow().table.clone();
        let row = table.get(&completion.model).filter(|row| row.is_item());
        let Some(row) = row.cloned() else {
            let message = format!("no model or adapter {:?}", completion.model);
            return Err(Refusal::invalid(StatusCode::NOT_FOUND, "unknown-model", message));
        };
        let rank = requested_rank(req, req.team_rank.unwrap_or(row.rank))?;
        let time_to_deadline = requested_deadline(req, &row)?;
        let arrived_at = cx.clock.now();
        Ok(Self {
            cx: cx.clone(),
            path: req.path.clone(),
            caller: req.caller.clone(),
            lifecycle: RequestLifecycle::new(row.repeatable),
            row,
            rank,
            arrived_at,
            deadline: arrived_at + time_to_deadline,
            servers_tried: 0,
            failed_servers: SmallVec::new(),
            tokens_sent: completion.resume_from,
            first_token_at: None,
            end_recorded: false,
            completion,
        })
    }

    /// Sends the request to one engine after another until one starts a response.
    async fn start_response(&mut self) -> Result<StartedResponse, Refusal> {
        loop {
            let mut in_flight = self.wait_for_server().await?;
            match self.send_to_engine(&in_flight).await {
                Ok((connection, response, sent_at)) => {
                    return Ok(StartedResponse { in_flight, sent_at, connection, response });
                }
                Err(EngineFailure::InvalidRequest(refusal)) => return Err(refusal),
                Err(EngineFailure::Retryable) => {
                    in_flight.sample.end = RequestEnd::Failed;
                    self.check_retry(&in_flight).await?;
                }
            }
        }
    }

    /// Queues the request until the dispatcher assigns a server or refuses it.
    async fn wait_for_server(&mut self) -> Result<InFlight, Refusal> {
        let req = Request {
            id: NEXT_ID.fetch_add(1, Ordering::Relaxed),
            item: self.completion.model.clone(),
            rank: self.rank,
            deadline: self.deadline,
            prompt_tokens: (self.completion.text().len() / CHARS_PER_TOKEN) as u32,
            prefix_hash: prefix_hash(&self.completion.model, &self.completion.text()),
            failed_servers: self.failed_servers.clone(),
            max_in_flight: self.row.max_in_flight,
        };
        let between_tokens = Duration::from_millis(self.row.between_tokens_ms.into());
        let sample = Sample::in_progress(req.prompt_tokens, between_tokens);
        match self.cx.dispatcher.submit(req, sample).await {
            Ok(in_flight) => {
                self.on_event(RequestEvent::Start);
                Ok(in_flight)
            }
            Err(DispatchDecision::Refuse(cause, retry_after)) => {
                Err(self.refuse(cause, retry_after))
            }
            Err(DispatchDecision::Start(_)) => unreachable!("submit returns a start as Ok"),
        }
    }

    fn refuse(&mut self, cause: RefusalCause, retry_after: Duration) -> Refusal {
        self.give_up(cause.name(), retry_after)
    }

    /// Ends the request with a refusal that says whether it may have run, which the state chart
    /// tracks.
    fn give_up(&mut self, cause: &'static str, retry_after: Duration) -> Refusal {
        self.on_event(RequestEvent::GiveUp);
        let outcome = self.lifecycle.outcome().unwrap_or(Outcome::Unknown);
        self.record_end(outcome);
        if outcome == Outcome::NotRun {
            Refusal::retry_later(cause, retry_after)
        } else {
            Refusal { retry_after: Some(retry_after), ..Refusal::outcome_unknown(cause) }
        }
    }

    /// Sends the request to one engine and waits for the head of its response.
    async fn send_to_engine(
        &mut self,
        in_flight: &InFlight,
    ) -> Result<(Connection, Response<Incoming>, Instant), EngineFailure> {
        let cx = self.cx.clone();
        let server = &in_flight.server;
        self.servers_tried += 1;
        let timeout = Duration::from_millis(cx.settings.connect_timeout_ms);
        let mut connection = match cx.pool.connect(&server.address, true, timeout).await {
            Ok(connection) => connection,
            Err(_) => {
                self.on_event(RequestEvent::ConnectFailed);
                cx.dispatcher.suspend(&server.name);
                return Err(EngineFailure::Retryable);
            }
        };
        self.on_event(RequestEvent::Connected);
        let sent_at = cx.clock.now();
        let sending = connection.send(self.engine_request(&server.address));
        let response = match tokio::time::timeout(self.response_head_timeout(), sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::Broken { .. } | SendError::NotConnected { .. })) | Err(_) => {
                self.on_event(RequestEvent::Broken);
                return Err(EngineFailure::Retryable);
            }
        };
        if response.status().is_success() {
            return Ok((connection, response, sent_at));
        }
        Err(self.on_rejection(&response, in_flight))
    }

    /// Handles a response with an error status, by which an engine says that it did not start the
    /// request.
    fn on_rejection(
        &mut self,
        response: &Response<Incoming>,
        in_flight: &InFlight,
    ) -> EngineFailure {
        self.on_event(RequestEvent::Rejected);
        if response.headers().contains_key(DRAINING_HEADER) {
            self.cx.dispatcher.suspend_draining(&in_flight.server.name);
        }
        if response.status() == StatusCode::BAD_REQUEST {
            self.on_event(RequestEvent::GiveUp);
            self.record_end(self.lifecycle.outcome().unwrap_or(Outcome::Unknown));
            let message = "the engine refused the request as malformed";
            return EngineFailure::InvalidRequest(Refusal::invalid(
                StatusCode::BAD_REQUEST,
                "malformed",
                message,
            ));
        }
        EngineFailure::Retryable
    }

    /// Records the failed server and returns an error if the request must not be retried.
    async fn check_retry(&mut self, failed: &InFlight) -> Result<(), Refusal> {
        self.failed_servers.push(failed.server.name.clone());
        let (lifecycle, item) = (&self.lifecycle, &self.row.name);
        if acquire_retry(&self.cx, lifecycle, item, self.servers_tried, ENGINE_FAILED).await {
            return Ok(());
        }
        Err(self.give_up(ENGINE_FAILED, Duration::from_secs(1)))
    }

    fn engine_request(&self, address: &Name) -> hyper::Request<Full<Bytes>> {
        let completion = CompletionRequest {
            priority: self.rank.index() as u32,
            resume_from: self.tokens_sent,
            ..self.completion.clone()
        };
        let body = serde_json::to_vec(&completion).expect("a completion request can be serialized");
        hyper::Request::builder()
            .method(Method::POST)
            .uri(&self.path)
            .header(HOST, &**address)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("the headers are valid")
    }

    /// Returns how long to wait for the head of a response. Without streaming, the head arrives
    /// only once the last token is generated.
    fn response_head_timeout(&self) -> Duration {
        let stall_timeout = Duration::from_millis(self.cx.settings.stream_stall_ms);
        let first_token = Duration::from_millis(self.row.first_token_ms.into());
        if self.completion.stream {
            return stall_timeout.max(first_token);
        }
        let between_tokens = Duration::from_millis(self.row.between_tokens_ms.into());
        stall_timeout.max(first_token) + between_tokens * self.completion.max_tokens * 2
    }

    /// Forwards the tokens to the caller. If an engine fails, another one resumes the stream.
    async fn forward_stream(mut self, mut started: StartedResponse, caller: &CallerStream) {
        loop {
            if self.forward_tokens(started, caller).await.is_ok() {
                return;
            }
            match self.start_response().await {
                Ok(next) => started = next,
                Err(refusal) => {
                    let _ = caller.send_outcome(&refusal.body()).await;
                    return;
                }
            }
        }
    }

    /// Forwards the tokens of one engine. Returns an error if the engine failed and another may
    /// resume the stream.
    async fn forward_tokens(
        &mut self,
        started: StartedResponse,
        caller: &CallerStream,
    ) -> Result<(), ()> {
        let StartedResponse { mut in_flight, sent_at, connection, response } = started;
        let stall_timeout = Duration::from_millis(self.cx.settings.stream_stall_ms);
        let mut engine = EngineStream::new(response.into_body(), stall_timeout);
        loop {
            let next = tokio::select! {
                next = engine.next() => next,
                // Returning drops the connection to the engine, which cancels its stream.
                () = caller.closed() => return Ok(()),
            };
            match next {
                Ok(StreamEvent::Token(data)) => {
                    self.record_token(&mut in_flight, sent_at);
                    if caller.send_token(&data).await.is_err() {
                        return Ok(());
                    }
                }
                Ok(StreamEvent::Done) => {
                    self.record_completion(in_flight, sent_at);
                    self.cx.pool.release(connection);
                    let _ = caller.send_done().await;
                    return Ok(());
                }
                Err(err) => {
                    log::debug!(server = &*in_flight.server.name, err:%; "stream failed");
                    in_flight.sample.end = RequestEnd::Failed;
                    self.on_event(RequestEvent::Broken);
                    return match self.check_retry(&in_flight).await {
                        Ok(()) => Err(()),
                        Err(refusal) => {
                            let _ = caller.send_outcome(&refusal.body()).await;
                            Ok(())
                        }
                    };
                }
            }
        }
    }

    /// Returns the response to a request without streaming.
    async fn respond_without_streaming(
        mut self,
        mut started: StartedResponse,
    ) -> Result<CallerResponse, Refusal> {
        loop {
            let StartedResponse { mut in_flight, sent_at, connection, response } = started;
            let body = Limited::new(response.into_body(), self.cx.settings.max_answer_bytes);
            let stall_timeout = Duration::from_millis(self.cx.settings.stream_stall_ms);
            if let Ok(Ok(body)) = tokio::time::timeout(stall_timeout, body.collect()).await {
                self.record_token(&mut in_flight, sent_at);
                self.record_completion(in_flight, sent_at);
                self.cx.pool.release(connection);
                let response = Response::builder()
                    .header(CONTENT_TYPE, "application/json")
                    .header(OUTCOME_HEADER, Outcome::Done.name());
                return Ok(response
                    .body(full_body(body.to_bytes()))
                    .expect("the headers are valid"));
            }
            in_flight.sample.end = RequestEnd::Failed;
            self.on_event(RequestEvent::Broken);
            self.check_retry(&in_flight).await?;
            drop(in_flight);
            started = self.start_response().await?;
        }
    }

    fn record_token(&mut self, in_flight: &mut InFlight, sent_at: Instant) {
        let now = self.cx.clock.now();
        if in_flight.sample.first_token.is_none() {
            self.on_event(RequestEvent::FirstByte);
            // Without streaming, the time of the first token is unknown.
            if self.completion.stream {
                in_flight.sample.first_token = Some(now.saturating_duration_since(sent_at));
            }
        }
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            self.record_first_token(now);
        }
        self.tokens_sent += 1;
    }

    fn record_first_token(&self, now: Instant) {
        let metrics = &self.cx.metrics;
        let labels = EntryMetrics::request_labels(&self.caller, self.rank);
        let time = now.saturating_duration_since(self.arrived_at);
        metrics.time_to_first_token.get_or_create(&labels).observe(time.as_secs_f64());
        let outcome = if now <= self.deadline { ON_TIME } else { LATE };
        let labels = OutcomeLabels { rank: self.rank.name(), outcome };
        metrics.first_tokens.get_or_create(&labels).inc();
    }

    fn record_completion(&mut self, mut in_flight: InFlight, sent_at: Instant) {
        let now = self.cx.clock.now();
        let sample = &mut in_flight.sample;
        sample.total = now.saturating_duration_since(sent_at);
        sample.end = RequestEnd::Completed;
        if let Some(first) = sample.first_token {
            let token_gaps =
                self.tokens_sent.saturating_sub(self.completion.resume_from + 1).max(1);
            sample.between_tokens = Some(sample.total.saturating_sub(first) / token_gaps);
        }
        self.on_event(RequestEvent::Finished);
        self.record_end(Outcome::Done);
    }

    fn record_end(&mut self, outcome: Outcome) {
        self.end_recorded = true;
        let metrics = &self.cx.metrics;
        let labels = OutcomeLabels { rank: self.rank.name(), outcome: outcome.name() };
        metrics.requests.get_or_create(&labels).inc();
        let labels = EntryMetrics::request_labels(&self.caller, self.rank);
        let time = self.cx.clock.now().saturating_duration_since(self.arrived_at);
        metrics.duration.get_or_create(&labels).observe(time.as_secs_f64());
    }

    fn on_event(&mut self, event: RequestEvent) {
        if let Err(err) = self.lifecycle.on_event(event) {
            log::error!(err:%; "event is not allowed in the current state of the request");
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if !self.end_recorded {
            let labels = OutcomeLabels { rank: self.rank.name(), outcome: "caller-left" };
            self.cx.metrics.requests.get_or_create(&labels).inc();
        }
    }
}

fn requested_rank(req: &CallerRequest, row_rank: Rank) -> Result<Rank, Refusal> {
    let Some(text) = req.header(RANK_HEADER) else { return Ok(row_rank) };
    let rank: Rank = text.parse().map_err(|err: savoryport_core::rank::UnknownRank| {
        let message = format!("{RANK_HEADER}: {err}");
        Refusal::invalid(StatusCode::BAD_REQUEST, "malformed", message)
    })?;
    // The table sets the highest rank; a caller may only lower it.
    Ok(rank.max(row_rank))
}

/// Returns the time from the arrival of a request to the deadline of its first token.
fn requested_deadline(req: &CallerRequest, row: &Row) -> Result<Duration, Refusal> {
    let target = Duration::from_millis(row.first_token_ms.into());
    let Some(text) = req.header(DEADLINE_HEADER) else { return Ok(target) };
    match text.parse::<u32>() {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis.into())),
        _ => {
            let message = format!("{DEADLINE_HEADER}: use a whole number of milliseconds");
            Err(Refusal::invalid(StatusCode::BAD_REQUEST, "malformed", message))
        }
    }
}
