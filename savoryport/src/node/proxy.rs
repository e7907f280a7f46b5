//! Proxies one request of a caller: receives it, sends it to servers and responds to the caller.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use savoryport_adapter::servers::{
    DispatchHeaders, ResponseKind, classify_response, promises_not_run, set_dispatch_headers,
};
use savoryport_core::Name;
use savoryport_core::node::deployment::{Deployment, RequestKind, Route};
use savoryport_core::node::health::ServerOutcome;
use savoryport_core::node::request::{PrefixKeys, RequestHead};
use savoryport_core::node::request_quarantine::RequestIdentity;
use savoryport_platform::connection::{Connection, SendError};

use super::context::NodeContext;
use super::in_flight::InFlightRequest;
use super::relay::RelayMark;
use super::response::{Body, Refusal, RefusalCause, forward_response};
use super::response_body::CompleteBody;
use super::server_link;
use super::server_selection::SelectedServer;
use super::stream;
use super::team_quota::QuotaCharge;

/// A non-idempotent request reuses a pooled connection only if it was in use this recently. If the
/// server closes an idle connection just as the request is sent, whether the request ran is
/// unknown, which a new connection avoids.
const MAX_IDLE_FOR_NON_IDEMPOTENT: Duration = Duration::from_millis(1_500);

/// The number of failed connection attempts after which a request is not sent to further servers.
const MAX_UNREACHABLE: u32 = 4;

/// A repeatable request without a response after this many times the expected latency is sent to
/// another server, if its server sends nothing to any request of this node.
const STALL_FACTOR: u32 = 4;

/// The minimum time to wait for a response before a repeatable request is sent to another server.
const MIN_STALL: Duration = Duration::from_millis(250);

/// The share of the target latency after which another server could no longer respond on time.
const STALL_TARGET_SHARE: f64 = 0.6;

/// The share of the remaining time for which a repeatable request waits for its server before it is
/// sent to another one.
const FIRST_SERVER_WAIT_SHARE: f64 = 0.5;

/// A request of a caller that is being proxied.
pub struct ProxyRequest {
    pub(super) cx: Arc<NodeContext>,
    pub(super) deployment: Arc<Deployment>,
    pub(super) route: Route,
    pub(super) service: Name,
    pub(super) head: RequestHead,
    /// What the attempts at a stream have in common; `None` if the attempt that began it is not named.
    pub(super) stream: Option<u64>,
    /// The software version that the stream is bound to, once events of it have reached the caller.
    pub(super) software: Option<Name>,
    pub(super) identity: RequestIdentity,
    /// The caller's IP address.
    pub(super) caller: IpAddr,
    /// What the node says that passed the request on to this one; `None` if it came from its caller.
    pub(super) relay: Option<RelayMark>,
    /// The caller's key, where teams have keys.
    pub(super) key: Option<HeaderValue>,
    /// What the request used of its team's quota, if it has a team.
    pub(super) quota_charge: Option<QuotaCharge>,
    pub(super) prefix_keys: PrefixKeys,
    pub(super) arrived_at: Instant,
    /// Since when some server could have taken the request: its arrival, or when its model was
    /// loaded.
    pub(super) queued_since: Instant,
    /// When the last chunk of a stream arrived.
    pub(super) last_chunk_at: Option<Instant>,
    /// The longest pause between two chunks of a stream.
    pub(super) longest_gap: Duration,
    pub(super) deadline: Instant,
    pub(super) method: Method,
    pub(super) path_and_query: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The servers that the request was sent to.
    pub(super) attempted_servers: Vec<Name>,
    /// The servers that were unreachable or refused the request, and are not tried again.
    pub(super) excluded_servers: Vec<Name>,
    /// The number of failed connection attempts.
    pub(super) unreachable_count: u32,
    /// Whether a server has sent a complete event or response.
    pub(super) is_answered: bool,
    /// Whether the request or a part of its prompt may have crashed another server than the last one.
    pub(super) is_suspect: bool,
    /// Whether a server may have run the request.
    pub(super) may_have_run: bool,
    /// A server's error response, which is forwarded if no other server responds.
    pub(super) failure_response: Option<(StatusCode, HeaderMap, CompleteBody)>,
    pub(super) last_server: Option<Name>,
    /// The latency expected of the last server, for the log.
    pub(super) expected_latency: Duration,
    /// The time from arrival to the first token, for the log.
    pub(super) time_to_first_token: Option<Duration>,
    /// The time from arrival until the first event was forwarded, for the log.
    pub(super) time_to_first_event: Option<Duration>,
}

/// The result of trying the request at one server.
pub(super) enum Attempt {
    /// The response to the caller.
    Respond(Response<Body>),
    /// A stream that has started, and its server.
    Stream(Box<OpenedResponse>, SelectedServer),
    /// There is no response for the caller yet; another server may be tried.
    TryNext,
}

/// The beginning of a server's response, and what is needed to read the rest.
pub(super) struct OpenedResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    /// The first bytes of a stream.
    pub(super) first_chunk: Option<Bytes>,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) in_flight: InFlightRequest,
}

/// The result of sending the request to a server.
enum SendResult {
    Response(Box<OpenedResponse>, ResponseKind),
    Failed,
}

/// Serves a caller's request.
pub async fn serve(cx: Arc<NodeContext>, caller: IpAddr, req: Request<Incoming>) -> Response<Body> {
    let arrived_at = cx.now();
    let receive = ProxyRequest::receive(cx.clone(), caller, req, arrived_at);
    let received = cx.answer_now.run_until_cancelled(receive).await;
    match received.unwrap_or_else(|| Err(Refusal::stopping(cx.random_unit()))) {
        Ok(request) => request.run().await,
        Err(refusal) => {
            cx.metrics.record_refusal(refusal.cause);
            refusal.into_response()
        }
    }
}

impl ProxyRequest {
    async fn run(mut self) -> Response<Body> {
        if let Some(cause) = self.quarantine_cause() {
            return self.finish_with_refusal(Refusal::new(cause));
        }
        if self.must_go_elsewhere() {
            return self.run_elsewhere().await;
        }
        self.record_demand();
        let answer_now = self.cx.answer_now.clone();
        match answer_now.run_until_cancelled(self.bind_to_origin()).await {
            Some(Ok(())) => {}
            Some(Err(refusal)) => return self.finish_with_refusal(refusal),
            None => return self.finish_because_of_stop(),
        }
        loop {
            let selected = match answer_now.run_until_cancelled(self.select_server()).await {
                Some(Ok(selected)) => selected,
                Some(Err(_)) if self.must_go_elsewhere() => return self.run_elsewhere().await,
                Some(Err(refusal)) => return self.finish_with_refusal(refusal),
                None => return self.finish_because_of_stop(),
            };
            let Some(attempt) = answer_now.run_until_cancelled(self.attempt(selected)).await else {
                self.may_have_run |= !self.attempted_servers.is_empty();
                return self.finish_because_of_stop();
            };
            match attempt {
                Attempt::Respond(response) => return response,
                Attempt::Stream(opened, selected) => {
                    return stream::forward(self, *opened, selected);
                }
                Attempt::TryNext => {}
            }
            if self.must_go_elsewhere() && !self.remaining_time().is_zero() {
                return self.run_elsewhere().await;
            }
            if let Some(cause) = self.reason_not_to_retry() {
                let refusal = self.refusal_for(cause);
                return self.finish_with_refusal(refusal);
            }
        }
    }

    /// Returns the time until the request's deadline, or until its final answer if the node stops
    /// before that.
    pub(super) fn remaining_time(&self) -> Duration {
        self.cx.time_until(self.deadline)
    }

    /// Returns how long a connection may have been idle that the request is sent on.
    pub(super) fn max_idle(&self) -> Duration {
        match self.route.kind {
            RequestKind::NonIdempotent => MAX_IDLE_FOR_NON_IDEMPOTENT,
            _ => Duration::MAX,
        }
    }

    /// Returns the number of servers that the request was sent to, by this node and the one that passed it
    /// on.
    pub(super) fn attempts(&self) -> u32 {
        let before = self.relay.map_or(0, |relay| relay.attempts);
        before.saturating_add(self.attempted_servers.len() as u32)
    }

    /// Returns whether the request may be sent to one more server; a retry is taken from the retry
    /// budget.
    pub(super) fn reserve_attempt(&self) -> bool {
        let now = self.cx.now();
        let is_retry =
            !self.attempted_servers.is_empty() || self.relay.is_some_and(|relay| relay.is_retry());
        if self.attempts() >= self.route.max_attempts.max(1) {
            return false;
        }
        let mut routing = self.cx.routing.lock();
        if is_retry {
            return routing.retry_budget.try_take(&self.service, now);
        }
        routing.retry_budget.on_request(&self.service, now);
        true
    }

    /// Returns why the request may not be sent to another server, or `None` if it may.
    fn reason_not_to_retry(&self) -> Option<RefusalCause> {
        if self.remaining_time().is_zero() {
            let is_stopping = self.cx.now() < self.deadline;
            return Some(if is_stopping { RefusalCause::Stopping } else { RefusalCause::TimedOut });
        }
        if self.may_have_run && (self.is_suspect || !self.route.kind.is_repeatable()) {
            return Some(RefusalCause::Broken);
        }
        let exhausted =
            self.attempts() >= self.route.max_attempts || self.unreachable_count >= MAX_UNREACHABLE;
        exhausted.then_some(if self.may_have_run {
            RefusalCause::Broken
        } else {
            RefusalCause::NotRun
        })
    }

    /// Returns the refusal for a cause. If the request may have run, its status never says that it
    /// did not.
    fn refusal_for(&self, cause: RefusalCause) -> Refusal {
        /// The time after which a caller may retry a request that did not run.
        const RETRY_AFTER: Duration = Duration::from_millis(250);
        let cause = match cause {
            RefusalCause::CrashesServers if self.may_have_run => RefusalCause::Broken,
            RefusalCause::Stopping if self.may_have_run => RefusalCause::TimedOut,
            cause if self.may_have_run && promises_not_run(cause.status()) => RefusalCause::Broken,
            cause => cause,
        };
        if promises_not_run(cause.status()) {
            Refusal::with_retry_after(cause, RETRY_AFTER.mul_f64(1.0 + self.cx.random_unit()))
        } else {
            Refusal::new(cause)
        }
    }

    /// Ends the request without a successful response from a server.
    pub(super) fn finish_with_refusal(mut self, refusal: Refusal) -> Response<Body> {
        if let Some((status, headers, body)) = self.failure_response.take() {
            self.log_end("failed", status.as_u16(), None);
            return forward_response(status, headers, body);
        }
        let refusal = match refusal.cause {
            cause if self.may_have_run => self.refusal_for(cause),
            RefusalCause::Stopping => Refusal::stopping(self.cx.random_unit()),
            _ => refusal,
        };
        self.cx.metrics.record_refusal(refusal.cause);
        if let Some(charge) = &self.quota_charge {
            charge.record_refusal(refusal.cause);
        }
        self.log_end(refusal.cause.name(), refusal.cause.status().as_u16(), refusal.retry_after);
        refusal.into_response()
    }

    /// Ends a request that no server answered before the node stops.
    fn finish_because_of_stop(self) -> Response<Body> {
        let refusal = Refusal::stopping(self.cx.random_unit());
        self.finish_with_refusal(refusal)
    }

    /// Logs the end of the request and counts it.
    pub(super) fn log_end(&self, outcome: &str, status: u16, retry_after: Option<Duration>) {
        let model = self.head.generation.as_ref().map_or("", |generation| &generation.model);
        let elapsed = self.cx.now() - self.arrived_at;
        self.cx.metrics.record_request_end(&self.route, outcome, elapsed);
        log::info!(
            request = &*self.head.id, route = &*self.route.name, rank = self.route.rank,
            resumes = self.head.resumes.as_deref().unwrap_or(""),
            software = self.software.as_deref().unwrap_or(""),
            model = model, server = self.last_server.as_deref().unwrap_or(""),
            attempts = self.attempted_servers.len(), outcome = outcome, status = status,
            elapsed_ms = elapsed.as_millis() as u64,
            expected_ms = self.expected_latency.as_millis() as u64,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            first_token_ms = self.time_to_first_token.map_or(0, |time| time.as_millis() as u64),
            first_event_ms = self.time_to_first_event.map_or(0, |time| time.as_millis() as u64),
            retry_after_ms = retry_after.map_or(0, |wait| wait.as_millis() as u64),
            config = self.deployment.version; "request ended"
        );
    }

    /// Tries the request at the selected server.
    async fn attempt(&mut self, selected: SelectedServer) -> Attempt {
        let (opened, kind) = match self.send_to(&selected, None).await {
            SendResult::Response(opened, kind) => (opened, kind),
            SendResult::Failed => return Attempt::TryNext,
        };
        match kind {
            ResponseKind::Success if self.route.kind.is_stream() => {
                Attempt::Stream(opened, selected)
            }
            ResponseKind::Success => self.on_complete_response(*opened, &selected).await,
            ResponseKind::NotRun => {
                self.on_not_run(*opened, &selected).await;
                Attempt::TryNext
            }
            ResponseKind::Failure => self.on_server_failure(*opened, &selected).await,
            ResponseKind::Unverified => {
                self.may_have_run = true;
                self.record_outcome(&selected.server.id, ServerOutcome::Unreachable);
                Attempt::TryNext
            }
        }
    }

    /// Sends the request to a server and waits for the start of its response.
    async fn send_to(
        &mut self,
        selected: &SelectedServer,
        resume_after: Option<u64>,
    ) -> SendResult {
        let server = &selected.server;
        self.last_server = Some(server.id.clone());
        self.expected_latency = selected.expected_latency;
        let max_idle = self.max_idle();
        let address: Name = server.address.to_string().into();
        let connect_timeout =
            Duration::from_millis(self.cx.settings.connect_timeout_ms).min(self.remaining_time());
        let mut connection = match self
            .cx
            .request_pool
            .connect_with_max_idle(&address, max_idle, connect_timeout)
            .await
        {
            Ok(connection) => connection,
            Err(err) => return self.on_connect_failure(selected, &err),
        };
        if !connection.is_reused() {
            server_link::record_accepted(&self.cx);
        }
        let in_flight = InFlightRequest::begin(self, selected);
        self.attempted_servers.push(server.id.clone());
        self.set_charged(true);
        let sent_at = self.cx.now();
        let req = self.build_request(selected, resume_after);
        let send = async {
            let mut response = connection.send(req).await?;
            // A stream that goes on after an event may have no further one.
            let may_be_empty = self.head.last_event_id.or(resume_after).is_some();
            let first_frame = read_first_frame(&self.route, &mut response, may_be_empty).await;
            Ok::<_, SendError>((response, first_frame))
        };
        match self.await_response_start(selected, sent_at, send).await {
            Some(Ok((_, FirstFrame::Broken))) => {
                log::info!(
                    request = &*self.head.id, server = &*server.id;
                    "server failed before the first event"
                );
                self.on_broken_answer(selected, sent_at).await;
                self.on_broken_connection(&server.id)
            }
            Some(Ok((response, first_frame))) => {
                let (parts, body) = response.into_parts();
                let is_reused = connection.is_reused();
                let kind =
                    classify_response(parts.status, &parts.headers, &self.head.id, is_reused);
                let (status, headers) = (parts.status, parts.headers);
                self.record_limit(selected, (status, &headers, kind), sent_at);
                self.record_notices(selected, (status, &headers, kind));
                self.cx.routing.lock().health.record_activity(&server.id, self.cx.now());
                server_link::record_data(&self.cx);
                let first_chunk = match first_frame {
                    FirstFrame::Data(data) => Some(data),
                    FirstFrame::NoData | FirstFrame::Broken => None,
                };
                let opened =
                    OpenedResponse { status, headers, first_chunk, body, connection, in_flight };
                SendResult::Response(Box::new(opened), kind)
            }
            Some(Err(err @ SendError::NotConnected { .. })) => {
                self.attempted_servers.pop();
                self.set_charged(false);
                self.on_connect_failure(selected, &err)
            }
            Some(Err(err)) => {
                log::info!(
                    request = &*self.head.id, server = &*server.id, err:% = err;
                    "server failed before responding"
                );
                self.on_broken_answer(selected, sent_at).await;
                self.on_broken_connection(&server.id)
            }
            None => {
                log::info!(
                    request = &*self.head.id, server = &*server.id,
                    waited_ms = (self.cx.now() - sent_at).as_millis() as u64; "server silent"
                );
                self.on_broken_connection(&server.id)
            }
        }
    }

    /// Resumes the stream at another server, after the last event that was forwarded.
    pub(super) async fn resume_at(
        &mut self,
        selected: &SelectedServer,
        after: Option<u64>,
    ) -> Option<OpenedResponse> {
        match self.send_to(selected, after).await {
            SendResult::Response(opened, ResponseKind::Success) => Some(*opened),
            SendResult::Response(opened, ResponseKind::NotRun) => {
                self.on_not_run(*opened, selected).await;
                None
            }
            SendResult::Response(_, ResponseKind::Failure | ResponseKind::Unverified) => {
                self.record_outcome(&selected.server.id, ServerOutcome::Failed);
                None
            }
            SendResult::Failed => None,
        }
    }

    /// Sets whether the request keeps what it used of its team's quota when it ends, since a server
    /// may run it. It does so in any case once one may have run it.
    pub(super) fn set_charged(&mut self, is_charged: bool) {
        let is_charged = is_charged || self.may_have_run || self.is_answered;
        if let Some(charge) = &mut self.quota_charge {
            charge.set_final(is_charged);
        }
    }

    fn on_connect_failure(&mut self, selected: &SelectedServer, err: &SendError) -> SendResult {
        log::info!(request = &*self.head.id, err:% = err; "server unreachable");
        self.unreachable_count += 1;
        server_link::record_failure(&self.cx, &selected.server.id);
        self.excluded_servers.push(selected.server.id.clone());
        self.record_outcome(&selected.server.id, ServerOutcome::Unreachable);
        SendResult::Failed
    }

    fn on_broken_connection(&mut self, server: &Name) -> SendResult {
        self.may_have_run = true;
        server_link::record_failure(&self.cx, server);
        self.record_outcome(server, ServerOutcome::Unreachable);
        SendResult::Failed
    }

    /// Waits for the start of a response; returns `None` if the time is up or the request should be
    /// sent to another server instead. A request that may be retried abandons its server early if
    /// the server sends nothing to any request of this node. It waits longer for a server that is
    /// only slow, since a second prefill would slow down all other requests further, and it keeps
    /// waiting if no other server would take it.
    async fn await_response_start<T>(
        &self,
        selected: &SelectedServer,
        sent_at: Instant,
        response: impl Future<Output = T>,
    ) -> Option<T> {
        let mut response = std::pin::pin!(response);
        let may_retry =
            self.route.kind.is_repeatable() && self.attempts() < self.route.max_attempts;
        if !may_retry {
            return tokio::time::timeout(self.remaining_time(), response).await.ok();
        }
        let stall_timeout = (selected.expected_latency * STALL_FACTOR).max(MIN_STALL);
        if stall_timeout < self.route.target_latency.mul_f64(STALL_TARGET_SHARE) {
            if let Ok(result) = tokio::time::timeout(stall_timeout, response.as_mut()).await {
                return Some(result);
            }
            let is_active =
                self.cx.routing.lock().health.was_active_since(&selected.server.id, sent_at);
            if !is_active && self.has_alternative() {
                return None;
            }
        }
        let first_server_timeout = self.remaining_time().mul_f64(FIRST_SERVER_WAIT_SHARE);
        if let Ok(result) = tokio::time::timeout(first_server_timeout, response.as_mut()).await {
            return Some(result);
        }
        if self.has_alternative() {
            return None;
        }
        tokio::time::timeout(self.remaining_time(), response).await.ok()
    }

    fn build_request(
        &self,
        selected: &SelectedServer,
        resume_after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        if let Ok(uri) = self.path_and_query.parse() {
            *req.uri_mut() = uri;
        }
        *req.headers_mut() = self.headers.clone();
        let headers = req.headers_mut();
        if self.body.is_empty() && !self.headers.contains_key(CONTENT_LENGTH) {
            headers.remove(CONTENT_LENGTH);
        } else {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        let dispatch = DispatchHeaders {
            server: &selected.server.id,
            time_left: self.remaining_time(),
            priority: selected.priority,
            resume_after,
            copy_from: selected.copy_from,
        };
        set_dispatch_headers(headers, dispatch);
        req
    }

    /// Records that the last server sent data.
    pub(super) fn record_server_activity(&self) {
        if let Some(server) = &self.last_server {
            self.cx.routing.lock().health.record_activity(server, self.cx.now());
            server_link::record_data(&self.cx);
        }
    }

    pub(super) fn record_outcome(&self, server: &Name, outcome: ServerOutcome) {
        let now = self.cx.now();
        let mut routing = self.cx.routing.lock();
        routing.health.record_outcome(server, outcome, now);
        if outcome == ServerOutcome::Unreachable {
            routing.prefixes.record_unreachable(server, now);
        }
    }
}

/// The beginning of a response body.
enum FirstFrame {
    /// Not read, or the body is empty.
    NoData,
    Data(Bytes),
    Broken,
}

/// Waits for the first bytes of a stream. The headers are not forwarded before them, since until
/// then the request can still be sent to another server if the stream breaks.
async fn read_first_frame(
    route: &Route,
    response: &mut Response<Incoming>,
    may_be_empty: bool,
) -> FirstFrame {
    if !route.kind.is_stream() || !response.status().is_success() {
        return FirstFrame::NoData;
    }
    match response.body_mut().frame().await {
        Some(Ok(frame)) => frame.into_data().map_or(FirstFrame::NoData, FirstFrame::Data),
        Some(Err(_)) => FirstFrame::Broken,
        None if may_be_empty => FirstFrame::NoData,
        None => FirstFrame::Broken,
    }
}
