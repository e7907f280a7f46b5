//! Takes one request from its head to its answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use savoryport_adapter::servers::{
    AnswerKind, Dispatch, answer_kind, promises_not_run, set_dispatch,
};
use savoryport_core::Name;
use savoryport_core::node::deployment::{Deployment, RequestKind, Route};
use savoryport_core::node::health::ServerOutcome;
use savoryport_core::node::request::{PrefixKeys, RequestHead};
use savoryport_platform::connection::{Connection, SendError};

use super::context::NodeContext;
use super::in_flight::InFlightRequest;
use super::response::{Body, Refusal, RefusalCause, forward_response};
use super::server_selection::Picked;
use super::stream;

/// A non-idempotent request uses a kept connection only if it was in use this recently: on one that
/// the server closes at that moment its outcome would be unknown without need.
const FRESH_CONNECTION: Duration = Duration::from_millis(1_500);

/// Connections that one request may fail to open.
const MAX_UNREACHABLE: u32 = 4;

/// A repeatable request that got no answer within this many times what was expected goes elsewhere,
/// if its server is silent to this node.
const STALL_FACTOR: u32 = 4;

/// No answer is waited for shorter than this before a repeatable request goes elsewhere.
const MIN_STALL: Duration = Duration::from_millis(250);

/// The share of the target after which going elsewhere cannot be on time any more.
const STALL_TARGET_SHARE: f64 = 0.6;

/// The share of the time left that a repeatable request waits for its first server.
const LONG_PATIENCE_SHARE: f64 = 0.5;

/// One request on its way.
pub struct ProxyRequest {
    pub(super) cx: Arc<NodeContext>,
    pub(super) deployment: Arc<Deployment>,
    pub(super) route: Route,
    pub(super) service: Name,
    pub(super) head: RequestHead,
    pub(super) keys: PrefixKeys,
    pub(super) arrived: Instant,
    /// Since when some server could have taken it.
    pub(super) queued_since: Instant,
    /// When the last piece of a stream came.
    pub(super) last_piece: Option<Instant>,
    /// The longest pause between two pieces of a stream.
    pub(super) longest_gap: Duration,
    pub(super) ends: Instant,
    pub(super) method: Method,
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Servers that the request was sent to.
    pub(super) tried: Vec<Name>,
    /// Servers that could not be reached or refused, and are not asked again.
    pub(super) avoided: Vec<Name>,
    pub(super) unreachable: u32,
    /// Whether a server may have run the request.
    pub(super) in_doubt: bool,
    /// A server's own failure, which is passed on if nothing better comes.
    pub(super) failure: Option<(StatusCode, HeaderMap, Bytes)>,
    pub(super) last_server: Option<Name>,
    /// What was expected of the last server, for the log.
    pub(super) expected: Duration,
    /// Time from arrival to the first token, for the log.
    pub(super) first_token: Option<Duration>,
}

/// What came of sending the request to a server.
pub(super) enum Attempt {
    /// The caller's answer.
    Answer(Response<Body>),
    /// A stream that has begun.
    Stream(Box<Opened>, Picked),
    /// The next server may be tried.
    Next,
}

/// The head of a stream that has begun, with what is needed to go on.
pub(super) struct Opened {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    /// The first bytes of a stream.
    pub(super) first: Option<Bytes>,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) flight: InFlightRequest,
}

/// What a server answered.
enum Answered {
    Head(Box<Opened>, AnswerKind),
    Failed,
}

/// Serves one request of a caller.
pub async fn serve(cx: Arc<NodeContext>, req: Request<Incoming>) -> Response<Body> {
    let arrived = cx.now();
    match ProxyRequest::begin(cx.clone(), req, arrived).await {
        Ok(relay) => relay.run().await,
        Err(refusal) => {
            cx.metrics.note_refusal(refusal.cause);
            refusal.into_response()
        }
    }
}

impl ProxyRequest {
    async fn run(mut self) -> Response<Body> {
        self.note_work();
        loop {
            let picked = match self.pick().await {
                Ok(picked) => picked,
                Err(refusal) => return self.finish_without(refusal),
            };
            match self.attempt(picked).await {
                Attempt::Answer(answer) => return answer,
                Attempt::Stream(opened, picked) => return stream::forward(self, *opened, picked),
                Attempt::Next => {}
            }
            if let Some(cause) = self.obstacle_to_retry() {
                let refusal = self.refusal(cause);
                return self.finish_without(refusal);
            }
        }
    }

    /// Returns the time that is left for the answer.
    pub(super) fn left(&self) -> Duration {
        self.ends.saturating_duration_since(self.cx.now())
    }

    /// Returns whether the request may be sent to one more server, and takes it from the budget.
    pub(super) fn may_send(&self) -> bool {
        let sent = self.tried.len() as u32;
        let mut routing = self.cx.routing.lock();
        if sent == 0 {
            routing.retry_budget.earn(&self.service);
            return true;
        }
        sent < self.route.max_attempts && routing.retry_budget.take(&self.service)
    }

    fn obstacle_to_retry(&self) -> Option<RefusalCause> {
        if self.left().is_zero() {
            return Some(RefusalCause::TimedOut);
        }
        if self.in_doubt && !self.route.kind.is_repeatable() {
            return Some(RefusalCause::Broken);
        }
        let exhausted = self.tried.len() as u32 >= self.route.max_attempts
            || self.unreachable >= MAX_UNREACHABLE;
        exhausted.then_some(if self.in_doubt { RefusalCause::Broken } else { RefusalCause::NotRun })
    }

    /// Returns the refusal for a cause; a request that may have run is never said not to have.
    fn refusal(&self, cause: RefusalCause) -> Refusal {
        /// A caller that no server had room for may come back after this time.
        const COME_BACK: Duration = Duration::from_millis(250);
        let cause = match cause {
            cause if self.in_doubt && promises_not_run(cause.status()) => RefusalCause::Broken,
            cause => cause,
        };
        if promises_not_run(cause.status()) {
            Refusal::with_retry_after(cause, COME_BACK.mul_f64(1.0 + self.cx.random_unit()))
        } else {
            Refusal::new(cause)
        }
    }

    fn finish_without(mut self, refusal: Refusal) -> Response<Body> {
        if let Some((status, headers, body)) = self.failure.take() {
            self.log_end("failed", status.as_u16(), None);
            return forward_response(status, headers, body);
        }
        let refusal = match refusal.cause {
            cause if self.in_doubt => self.refusal(cause),
            _ => refusal,
        };
        self.cx.metrics.note_refusal(refusal.cause);
        self.log_end(refusal.cause.name(), refusal.cause.status().as_u16(), refusal.retry_after);
        refusal.into_response()
    }

    /// Writes the line that ends a request.
    pub(super) fn log_end(&self, outcome: &str, status: u16, retry_after: Option<Duration>) {
        let model = self.head.generation.as_ref().map_or("", |asked| &asked.model);
        let elapsed = self.cx.now() - self.arrived;
        self.cx.metrics.note_end(&self.route, outcome, elapsed);
        log::info!(
            request = &*self.head.id, route = &*self.route.name, rank = self.route.rank,
            model = model, server = self.last_server.as_deref().unwrap_or(""),
            attempts = self.tried.len(), outcome = outcome, status = status,
            elapsed_ms = elapsed.as_millis() as u64,
            expected_ms = self.expected.as_millis() as u64,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            first_token_ms = self.first_token.map_or(0, |took| took.as_millis() as u64),
            retry_after_ms = retry_after.map_or(0, |wait| wait.as_millis() as u64),
            config = self.deployment.version; "request ended"
        );
    }

    async fn attempt(&mut self, picked: Picked) -> Attempt {
        let (opened, kind) = match self.open(&picked, None).await {
            Answered::Head(opened, kind) => (opened, kind),
            Answered::Failed => return Attempt::Next,
        };
        match kind {
            AnswerKind::Success if self.route.kind.is_stream() => Attempt::Stream(opened, picked),
            AnswerKind::Success => self.whole_answer(*opened, &picked).await,
            AnswerKind::NotRun => {
                self.note_not_run(*opened, &picked).await;
                Attempt::Next
            }
            AnswerKind::Failure => self.server_failure(*opened, &picked).await,
            AnswerKind::Foreign => {
                self.in_doubt = true;
                self.note(&picked.server.id, ServerOutcome::Unreachable);
                Attempt::Next
            }
        }
    }

    /// Sends the request to a server and waits for the head of its answer.
    async fn open(&mut self, picked: &Picked, resume_after: Option<u64>) -> Answered {
        let server = &picked.server;
        self.last_server = Some(server.id.clone());
        self.expected = picked.expected;
        let max_idle = match self.route.kind {
            RequestKind::NonIdempotent => FRESH_CONNECTION,
            _ => Duration::MAX,
        };
        let address: Name = server.address.to_string().into();
        let connect = Duration::from_millis(self.cx.settings.connect_timeout_ms).min(self.left());
        let mut connection =
            match self.cx.request_pool.connect_within(&address, max_idle, connect).await {
                Ok(connection) => connection,
                Err(err) => return self.not_connected(picked, &err),
            };
        let flight = InFlightRequest::begin(self, picked);
        self.tried.push(server.id.clone());
        let sent_at = self.cx.now();
        let req = self.request(picked, resume_after);
        let send = async {
            let mut answer = connection.send(req).await?;
            let first = first_frame(&self.route, &mut answer).await;
            Ok::<_, SendError>((answer, first))
        };
        match self.with_patience(picked, sent_at, send).await {
            Some(Ok((_, First::Broken))) => self.broken(&server.id),
            Some(Ok((answer, first))) => {
                let (parts, body) = answer.into_parts();
                let kind = answer_kind(parts.status, &parts.headers, &self.head.id);
                let (status, headers) = (parts.status, parts.headers);
                self.cx.routing.lock().health.heard(&server.id, self.cx.now());
                let first = match first {
                    First::Data(data) => Some(data),
                    First::None | First::Broken => None,
                };
                let opened = Opened { status, headers, first, body, connection, flight };
                Answered::Head(Box::new(opened), kind)
            }
            Some(Err(err @ SendError::NotConnected { .. })) => {
                self.tried.pop();
                self.not_connected(picked, &err)
            }
            Some(Err(err)) => {
                log::info!(
                    request = &*self.head.id, server = &*server.id, err:% = err; "server broke off"
                );
                self.broken(&server.id)
            }
            None => {
                log::info!(
                    request = &*self.head.id, server = &*server.id,
                    waited_ms = (self.cx.now() - sent_at).as_millis() as u64; "server silent"
                );
                self.broken(&server.id)
            }
        }
    }

    /// Opens the stream again at another server, after the last event that was delivered.
    pub(super) async fn reopen(&mut self, picked: &Picked, after: Option<u64>) -> Option<Opened> {
        match self.open(picked, after).await {
            Answered::Head(opened, AnswerKind::Success) => Some(*opened),
            Answered::Head(opened, AnswerKind::NotRun) => {
                self.note_not_run(*opened, picked).await;
                None
            }
            Answered::Head(_, AnswerKind::Failure | AnswerKind::Foreign) => {
                self.note(&picked.server.id, ServerOutcome::Failed);
                None
            }
            Answered::Failed => None,
        }
    }

    fn not_connected(&mut self, picked: &Picked, err: &SendError) -> Answered {
        log::info!(request = &*self.head.id, err:% = err; "server unreachable");
        self.unreachable += 1;
        self.avoided.push(picked.server.id.clone());
        self.note(&picked.server.id, ServerOutcome::Unreachable);
        Answered::Failed
    }

    fn broken(&mut self, server: &Name) -> Answered {
        self.in_doubt = true;
        self.note(server, ServerOutcome::Unreachable);
        Answered::Failed
    }

    /// Waits for the beginning of an answer. A request that may go elsewhere does so soon if its server
    /// sends nothing to any request of this node; one at a server that is only slow waits longer, since
    /// a second prefill would make all others slower still. Nobody leaves for nowhere.
    async fn with_patience<T>(
        &self,
        picked: &Picked,
        sent_at: Instant,
        answer: impl Future<Output = T>,
    ) -> Option<T> {
        let mut answer = std::pin::pin!(answer);
        let can_go_elsewhere =
            self.route.kind.is_repeatable() && (self.tried.len() as u32) < self.route.max_attempts;
        if !can_go_elsewhere {
            return tokio::time::timeout(self.left(), answer).await.ok();
        }
        let stall = (picked.expected * STALL_FACTOR).max(MIN_STALL);
        if stall < self.route.target.mul_f64(STALL_TARGET_SHARE) {
            if let Ok(answer) = tokio::time::timeout(stall, answer.as_mut()).await {
                return Some(answer);
            }
            let heard = self.cx.routing.lock().health.was_heard_since(&picked.server.id, sent_at);
            if !heard && self.has_alternative() {
                return None;
            }
        }
        let patience = self.left().mul_f64(LONG_PATIENCE_SHARE);
        if let Ok(answer) = tokio::time::timeout(patience, answer.as_mut()).await {
            return Some(answer);
        }
        if self.has_alternative() {
            return None;
        }
        tokio::time::timeout(self.left(), answer).await.ok()
    }

    fn request(&self, picked: &Picked, resume_after: Option<u64>) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        if let Ok(target) = self.target.parse() {
            *req.uri_mut() = target;
        }
        *req.headers_mut() = self.headers.clone();
        let headers = req.headers_mut();
        if self.body.is_empty() && !self.headers.contains_key(CONTENT_LENGTH) {
            headers.remove(CONTENT_LENGTH);
        } else {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        let dispatch = Dispatch {
            server: &picked.server.id,
            left: self.left(),
            priority: picked.priority,
            resume_after,
            copy_from: picked.copy_from,
        };
        set_dispatch(headers, dispatch);
        req
    }

    /// Notes that the last server sent something.
    pub(super) fn note_heard(&self) {
        if let Some(server) = &self.last_server {
            self.cx.routing.lock().health.heard(server, self.cx.now());
        }
    }

    pub(super) fn note(&self, server: &Name, outcome: ServerOutcome) {
        let now = self.cx.now();
        self.cx.routing.lock().health.note(server, outcome, now);
    }
}

/// The beginning of an answer's body.
enum First {
    /// Not read, or the body is empty.
    None,
    Data(Bytes),
    Broken,
}

/// Waits for the first bytes of a stream. The head is passed on only with them: an answer that breaks
/// off before can still become another one.
async fn first_frame(route: &Route, answer: &mut Response<Incoming>) -> First {
    if !route.kind.is_stream() || !answer.status().is_success() {
        return First::None;
    }
    match answer.body_mut().frame().await {
        Some(Ok(frame)) => frame.into_data().map_or(First::None, First::Data),
        Some(Err(_)) => First::Broken,
        None => First::None,
    }
}
