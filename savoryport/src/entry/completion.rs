//! Completions: from the queue through an engine to the caller, again where an engine fails.

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
use savoryport_core::table::{Row, RowKind};
use savoryport_platform::connection::{Connection, SendError};
use savoryport_platform::wire::{CompletionRequest, DRAINING_HEADER};
use smallvec::SmallVec;

use super::Context;
use super::answer::{Answer, OUTCOME_HEADER, Refusal, whole};
use super::dispatcher::{InFlight, Verdict};
use super::retry::may_retry;
use super::server::{CallerRequest, RequestToken};
use super::stream::{CallerStream, EngineStream, Next};
use crate::metrics::{EntryMetrics, LATE, ON_TIME, OutcomeLabels};

/// The header by which a caller lowers the rank of its request.
const RANK_HEADER: &str = "x-savoryport-rank";

/// The header by which a caller sets the time to the first token, in milliseconds.
const DEADLINE_HEADER: &str = "x-savoryport-deadline-ms";

/// The most tokens that a caller may ask for.
const MAX_TOKENS: u32 = 32_768;

/// The cause of a retry, and of a refusal once there are no more.
const FAILED: &str = "engine-failed";

/// Characters for each token of a prompt, roughly.
const CHARS_PER_TOKEN: usize = 4;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A completion on its way.
struct Job {
    cx: Arc<Context>,
    completion: CompletionRequest,
    path: String,
    caller: String,
    row: Row,
    rank: Rank,
    arrived: Instant,
    deadline: Instant,
    attempt: RequestLifecycle,
    servers_tried: u32,
    avoid: SmallVec<[Name; 2]>,
    tokens_sent: u32,
    first_token_at: Option<Instant>,
    ended: bool,
}

/// An engine that has begun to answer.
struct Started {
    in_flight: InFlight,
    handed_at: Instant,
    connection: Connection,
    answer: Response<Incoming>,
}

/// Why one engine did not bring the request to its end.
enum Failure {
    /// The request may be tried elsewhere, if it may be tried again.
    Engine,
    /// The engine answers that the request is wrong.
    Rejected(Refusal),
}

/// Answers a completion.
pub(super) async fn answer(
    cx: &Arc<Context>,
    req: &CallerRequest,
    token: RequestToken,
) -> Result<Answer, Refusal> {
    let mut job = Job::new(cx, req)?;
    // The first engine's answer decides the head, so that a refusal still gets its own status.
    let started = job.start().await?;
    if job.completion.stream {
        let stall = Duration::from_millis(cx.settings.caller_stall_ms);
        let (caller, body) = CallerStream::new(stall);
        tokio::spawn(async move {
            job.stream(started, &caller).await;
            drop(token);
        });
        let answer = Response::builder().header(CONTENT_TYPE, "text/event-stream");
        return Ok(answer.body(body).expect("plain headers"));
    }
    job.answer_whole(started).await
}

impl Job {
    fn new(cx: &Arc<Context>, req: &CallerRequest) -> Result<Self, Refusal> {
        let bad = |message: String| Refusal::bad(StatusCode::BAD_REQUEST, "malformed", message);
        let completion: CompletionRequest =
            serde_json::from_slice(&req.body).map_err(|err| bad(err.to_string()))?;
        if !(1..=MAX_TOKENS).contains(&completion.max_tokens) {
            return Err(bad(format!("max_tokens: use 1 to {MAX_TOKENS}")));
        }
        if completion.text().is_empty() {
            return Err(bad("prompt or messages: must not be empty".to_owned()));
        }
        let table = cx.fleet.borrow().table.clone();
        let row = table.get(&completion.model).filter(|row| row.kind != RowKind::Service);
        let Some(row) = row.cloned() else {
            let message = format!("no model or adapter {:?}", completion.model);
            return Err(Refusal::bad(StatusCode::NOT_FOUND, "unknown-model", message));
        };
        let rank = requested_rank(req, row.rank)?;
        let patience = requested_deadline(req, &row)?;
        let arrived = cx.clock.now();
        Ok(Self {
            cx: cx.clone(),
            path: req.path.clone(),
            caller: req.caller.clone(),
            attempt: RequestLifecycle::new(row.repeatable),
            row,
            rank,
            arrived,
            deadline: arrived + patience,
            servers_tried: 0,
            avoid: SmallVec::new(),
            tokens_sent: completion.resume_from,
            first_token_at: None,
            ended: false,
            completion,
        })
    }

    /// Finds an engine that begins to answer.
    async fn start(&mut self) -> Result<Started, Refusal> {
        loop {
            let mut in_flight = self.queue().await?;
            match self.hand_over(&in_flight).await {
                Ok((connection, answer, handed_at)) => {
                    return Ok(Started { in_flight, handed_at, connection, answer });
                }
                Err(Failure::Rejected(refusal)) => return Err(refusal),
                Err(Failure::Engine) => {
                    in_flight.sample.end = RequestEnd::Failed;
                    self.may_go_on(&in_flight).await?;
                }
            }
        }
    }

    async fn queue(&mut self) -> Result<InFlight, Refusal> {
        let req = Request {
            id: NEXT_ID.fetch_add(1, Ordering::Relaxed),
            item: self.completion.model.clone(),
            rank: self.rank,
            deadline: self.deadline,
            prompt_tokens: (self.completion.text().len() / CHARS_PER_TOKEN) as u32,
            prefix_hash: prefix_hash(&self.completion.model, &self.completion.text()),
            failed_servers: self.avoid.clone(),
            max_in_flight: self.row.max_in_flight,
        };
        let between_tokens = Duration::from_millis(self.row.between_tokens_ms.into());
        let sample = Sample::in_progress(req.prompt_tokens, between_tokens);
        match self.cx.dispatcher.submit(req, sample).await {
            Ok(in_flight) => {
                self.fire(RequestEvent::Start);
                Ok(in_flight)
            }
            Err(Verdict::Refuse(cause, retry_after)) => Err(self.refuse(cause, retry_after)),
            Err(Verdict::Start(_)) => unreachable!("a start is no refusal"),
        }
    }

    fn refuse(&mut self, cause: RefusalCause, retry_after: Duration) -> Refusal {
        self.give_up(cause.name(), retry_after)
    }

    /// Ends the request; the chart knows whether it may have run.
    fn give_up(&mut self, cause: &'static str, retry_after: Duration) -> Refusal {
        self.fire(RequestEvent::GiveUp);
        let outcome = self.attempt.outcome().unwrap_or(Outcome::Unknown);
        self.note_end(outcome);
        if outcome == Outcome::NotRun {
            Refusal::later(cause, retry_after)
        } else {
            Refusal { retry_after: Some(retry_after), ..Refusal::unknown(cause) }
        }
    }

    /// Sends the request to one engine and waits for the head of its answer.
    async fn hand_over(
        &mut self,
        in_flight: &InFlight,
    ) -> Result<(Connection, Response<Incoming>, Instant), Failure> {
        let cx = self.cx.clone();
        let slot = &in_flight.slot;
        self.servers_tried += 1;
        let timeout = Duration::from_millis(cx.settings.connect_timeout_ms);
        let mut connection = match cx.pool.connect(&slot.address, true, timeout).await {
            Ok(connection) => connection,
            Err(_) => {
                self.fire(RequestEvent::ConnectFailed);
                cx.dispatcher.suspend(&slot.server);
                return Err(Failure::Engine);
            }
        };
        self.fire(RequestEvent::Connected);
        let handed_at = cx.clock.now();
        let sending = connection.send(self.engine_request(&slot.address));
        let answer = match tokio::time::timeout(self.head_patience(), sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::Broken { .. } | SendError::NotConnected { .. })) | Err(_) => {
                self.fire(RequestEvent::Broken);
                return Err(Failure::Engine);
            }
        };
        if answer.status().is_success() {
            return Ok((connection, answer, handed_at));
        }
        Err(self.on_rejection(&answer, in_flight))
    }

    /// An engine that answers with an error status has not begun the request.
    fn on_rejection(&mut self, answer: &Response<Incoming>, in_flight: &InFlight) -> Failure {
        self.fire(RequestEvent::Rejected);
        if answer.headers().contains_key(DRAINING_HEADER) {
            self.cx.dispatcher.suspend_draining(&in_flight.slot.server);
        }
        if answer.status() == StatusCode::BAD_REQUEST {
            self.fire(RequestEvent::GiveUp);
            self.note_end(self.attempt.outcome().unwrap_or(Outcome::Unknown));
            let message = "the engine refused the request as malformed";
            return Failure::Rejected(Refusal::bad(StatusCode::BAD_REQUEST, "malformed", message));
        }
        Failure::Engine
    }

    /// Decides whether the request is tried elsewhere.
    async fn may_go_on(&mut self, failed: &InFlight) -> Result<(), Refusal> {
        self.avoid.push(failed.slot.server.clone());
        let (attempt, item) = (&self.attempt, &self.row.name);
        if may_retry(&self.cx, attempt, item, self.servers_tried, FAILED).await {
            return Ok(());
        }
        Err(self.give_up(FAILED, Duration::from_secs(1)))
    }

    fn engine_request(&self, address: &Name) -> hyper::Request<Full<Bytes>> {
        let completion = CompletionRequest {
            priority: self.rank.index() as u32,
            resume_from: self.tokens_sent,
            ..self.completion.clone()
        };
        let body = serde_json::to_vec(&completion).expect("plain values");
        hyper::Request::builder()
            .method(Method::POST)
            .uri(&self.path)
            .header(HOST, &**address)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("plain headers")
    }

    /// How long the head of an answer may take: a whole answer comes with its last token.
    fn head_patience(&self) -> Duration {
        let stall = Duration::from_millis(self.cx.settings.stream_stall_ms);
        let first_token = Duration::from_millis(self.row.first_token_ms.into());
        if self.completion.stream {
            return stall.max(first_token);
        }
        let between_tokens = Duration::from_millis(self.row.between_tokens_ms.into());
        stall.max(first_token) + between_tokens * self.completion.max_tokens * 2
    }

    /// Passes the tokens on; a broken engine is replaced by another, which resumes.
    async fn stream(mut self, mut started: Started, caller: &CallerStream) {
        loop {
            if self.pass_tokens(started, caller).await.is_ok() {
                return;
            }
            match self.start().await {
                Ok(next) => started = next,
                Err(refusal) => {
                    let _ = caller.outcome(&refusal.body()).await;
                    return;
                }
            }
        }
    }

    /// Returns an error where the engine failed and another may go on.
    async fn pass_tokens(&mut self, started: Started, caller: &CallerStream) -> Result<(), ()> {
        let Started { mut in_flight, handed_at, connection, answer } = started;
        let stall = Duration::from_millis(self.cx.settings.stream_stall_ms);
        let mut engine = EngineStream::new(answer.into_body(), stall);
        loop {
            let next = tokio::select! {
                next = engine.next() => next,
                // Dropping the engine's connection cancels its stream.
                () = caller.closed() => return Ok(()),
            };
            match next {
                Ok(Next::Token(data)) => {
                    self.note_token(&mut in_flight, handed_at);
                    if caller.token(&data).await.is_err() {
                        return Ok(());
                    }
                }
                Ok(Next::Done) => {
                    self.finish(in_flight, handed_at);
                    self.cx.pool.give_back(connection);
                    let _ = caller.done().await;
                    return Ok(());
                }
                Err(err) => {
                    log::debug!(server = &*in_flight.slot.server, err:%; "stream failed");
                    in_flight.sample.end = RequestEnd::Failed;
                    self.fire(RequestEvent::Broken);
                    return match self.may_go_on(&in_flight).await {
                        Ok(()) => Err(()),
                        Err(refusal) => {
                            let _ = caller.outcome(&refusal.body()).await;
                            Ok(())
                        }
                    };
                }
            }
        }
    }

    async fn answer_whole(mut self, mut started: Started) -> Result<Answer, Refusal> {
        loop {
            let Started { mut in_flight, handed_at, connection, answer } = started;
            let body = Limited::new(answer.into_body(), self.cx.settings.max_answer_bytes);
            let stall = Duration::from_millis(self.cx.settings.stream_stall_ms);
            if let Ok(Ok(body)) = tokio::time::timeout(stall, body.collect()).await {
                self.note_token(&mut in_flight, handed_at);
                self.finish(in_flight, handed_at);
                self.cx.pool.give_back(connection);
                let answer = Response::builder()
                    .header(CONTENT_TYPE, "application/json")
                    .header(OUTCOME_HEADER, Outcome::Done.name());
                return Ok(answer.body(whole(body.to_bytes())).expect("plain headers"));
            }
            in_flight.sample.end = RequestEnd::Failed;
            self.fire(RequestEvent::Broken);
            self.may_go_on(&in_flight).await?;
            drop(in_flight);
            started = self.start().await?;
        }
    }

    fn note_token(&mut self, in_flight: &mut InFlight, handed_at: Instant) {
        let now = self.cx.clock.now();
        if in_flight.sample.first_token.is_none() {
            self.fire(RequestEvent::FirstByte);
            // A whole answer says nothing about its first token.
            if self.completion.stream {
                in_flight.sample.first_token = Some(now.saturating_duration_since(handed_at));
            }
        }
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            self.note_first_token(now);
        }
        self.tokens_sent += 1;
    }

    fn note_first_token(&self, now: Instant) {
        let metrics = &self.cx.metrics;
        let labels = EntryMetrics::request_labels(&self.caller, self.rank);
        let time = now.saturating_duration_since(self.arrived);
        metrics.time_to_first_token.get_or_create(&labels).observe(time.as_secs_f64());
        let outcome = if now <= self.deadline { ON_TIME } else { LATE };
        let labels = OutcomeLabels { rank: self.rank.name(), outcome };
        metrics.first_tokens.get_or_create(&labels).inc();
    }

    fn finish(&mut self, mut in_flight: InFlight, handed_at: Instant) {
        let now = self.cx.clock.now();
        let sample = &mut in_flight.sample;
        sample.total = now.saturating_duration_since(handed_at);
        sample.end = RequestEnd::Completed;
        if let Some(first) = sample.first_token {
            let gaps = self.tokens_sent.saturating_sub(self.completion.resume_from + 1).max(1);
            sample.between_tokens = Some(sample.total.saturating_sub(first) / gaps);
        }
        self.fire(RequestEvent::Finished);
        self.note_end(Outcome::Done);
    }

    fn note_end(&mut self, outcome: Outcome) {
        self.ended = true;
        let metrics = &self.cx.metrics;
        let labels = OutcomeLabels { rank: self.rank.name(), outcome: outcome.name() };
        metrics.requests.get_or_create(&labels).inc();
        let labels = EntryMetrics::request_labels(&self.caller, self.rank);
        let time = self.cx.clock.now().saturating_duration_since(self.arrived);
        metrics.duration.get_or_create(&labels).observe(time.as_secs_f64());
    }

    fn fire(&mut self, event: RequestEvent) {
        if let Err(err) = self.attempt.on_event(event) {
            log::error!(err:%; "request left its chart");
        }
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        if !self.ended {
            let labels = OutcomeLabels { rank: self.rank.name(), outcome: "caller-left" };
            self.cx.metrics.requests.get_or_create(&labels).inc();
        }
    }
}

fn requested_rank(req: &CallerRequest, row_rank: Rank) -> Result<Rank, Refusal> {
    let Some(text) = req.header(RANK_HEADER) else { return Ok(row_rank) };
    let rank: Rank = text.parse().map_err(|err: savoryport_core::rank::UnknownRank| {
        let message = format!("{RANK_HEADER}: {err}");
        Refusal::bad(StatusCode::BAD_REQUEST, "malformed", message)
    })?;
    // The table sets the highest rank; a caller may only step back.
    Ok(rank.max(row_rank))
}

fn requested_deadline(req: &CallerRequest, row: &Row) -> Result<Duration, Refusal> {
    let target = Duration::from_millis(row.first_token_ms.into());
    let Some(text) = req.header(DEADLINE_HEADER) else { return Ok(target) };
    match text.parse::<u32>() {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis.into())),
        _ => {
            let message = format!("{DEADLINE_HEADER}: use a whole number of milliseconds");
            Err(Refusal::bad(StatusCode::BAD_REQUEST, "malformed", message))
        }
    }
}
