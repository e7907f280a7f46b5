//! Decides what a server's response means for the request: it is forwarded to the caller, or the
//! request is tried at another server.

use std::time::Duration;

use hyper::{HeaderMap, StatusCode};
use savoryport_adapter::servers::{
    RequestedPause, ResponseKind, bearable_refusals, is_leaving, keep_alive_timeout,
    promises_not_run, requested_pause, strip_connection_headers,
};
use savoryport_core::Name;
use savoryport_core::node::health::ServerOutcome;
use savoryport_core::node::server_notices::Turn;

use super::proxy::{Attempt, OpenedResponse, ProxyRequest};
use super::response::forward_response;
use super::rpc::PromptRecord;
use super::server_selection::SelectedServer;

/// How long the rest of a response is read after the server did not run the request, so that the
/// connection can be reused.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

impl ProxyRequest {
    /// Handles a successful response that is not a stream.
    pub(super) async fn on_complete_response(
        &mut self,
        opened: OpenedResponse,
        selected: &SelectedServer,
    ) -> Attempt {
        let OpenedResponse { status, mut headers, body, connection, mut in_flight, .. } = opened;
        match self.cx.response_memory.read(body, self.remaining_time()).await {
            Some(body) => {
                in_flight.record_first_token();
                self.is_answered = true;
                self.record_whole_answer();
                self.record_outcome(&selected.server.id, ServerOutcome::Answered);
                let elapsed = self.cx.now() - in_flight.sent_at();
                let server = &selected.server.id;
                self.cx.routing.lock().speeds.record_service_time(server, &self.service, elapsed);
                self.cx
                    .request_pool
                    .release_with_keep_alive(connection, keep_alive_timeout(&headers));
                strip_connection_headers(&mut headers);
                self.log_end("answered", status.as_u16(), None);
                Attempt::Respond(forward_response(status, headers, body))
            }
            None => {
                self.on_broken_answer(selected, in_flight.sent_at()).await;
                self.may_have_run = true;
                self.record_outcome(&selected.server.id, ServerOutcome::Unreachable);
                Attempt::TryNext
            }
        }
    }

    /// Handles a response which states that the server did not run the request.
    pub(super) async fn on_not_run(&mut self, opened: OpenedResponse, selected: &SelectedServer) {
        let OpenedResponse { status, headers, body, connection, in_flight, .. } = opened;
        let record = PromptRecord {
            server: selected.server.id.clone(),
            incarnation: selected.server.incarnation,
            keys: self.prefix_keys.clone(),
        };
        self.cx.routing.lock().forget_prompt(&record, in_flight.sent_at());
        drop(in_flight);
        log::info!(
            request = &*self.head.id, server = &*selected.server.id, status = status.as_u16(),
            expected_ms = selected.expected_latency.as_millis() as u64; "server refused"
        );
        self.excluded_servers.push(selected.server.id.clone());
        self.set_charged(false);
        self.cx.metrics.not_run.inc();
        self.learn_from_refusal(status, selected);
        if self.cx.response_memory.read(body, DISCARD_TIMEOUT).await.is_some() {
            self.cx.request_pool.release_with_keep_alive(connection, keep_alive_timeout(&headers));
        }
    }

    /// Records what the server announces in an answer. Bytes that may be nobody's answer do not count.
    pub(super) fn record_notices(
        &self,
        selected: &SelectedServer,
        (status, headers, kind): (StatusCode, &HeaderMap, ResponseKind),
    ) {
        if kind == ResponseKind::Unverified {
            return;
        }
        let (server, now) = (&selected.server, self.cx.now());
        let (id, incarnation) = (&server.id, server.incarnation);
        let pause = requested_pause(status, headers);
        let mut routing = self.cx.routing.lock();
        let notices = &mut routing.notices;
        let is_news = is_leaving(headers) && notices.record_leaving(id, incarnation);
        let bearable = bearable_refusals(headers);
        // Only a server's own answer shows that it is no longer brittle.
        let is_known = bearable.is_some() || kind == ResponseKind::Success;
        let brittleness_changed =
            is_known && notices.record_brittleness(id, incarnation, &server.service, bearable);
        let warns = match pause {
            RequestedPause::None => false,
            RequestedPause::For(pause) => {
                notices.record_pause(id, incarnation, pause, now);
                false
            }
            RequestedPause::Unreadable => notices.record_unreadable_pause(id, incarnation),
        };
        drop(routing);
        let request = &*self.head.id;
        if brittleness_changed {
            log::info!(
                server = &**id, incarnation = incarnation, is_brittle = bearable.is_some(),
                bearable_per_s = bearable.unwrap_or_default(); "brittleness of a server"
            );
        }
        if is_news {
            log::info!(
                request = request, server = &**id, incarnation = incarnation;
                "server announces that it leaves"
            );
        }
        if let RequestedPause::For(pause) = pause {
            log::info!(
                request = request, server = &**id,
                pause_ms = pause.as_millis().min(u128::from(u64::MAX)) as u64;
                "server wants no requests"
            );
        }
        if warns {
            log::warn!(
                request = request, server = &**id, incarnation = incarnation;
                "unreadable time to wait of a server"
            );
        }
    }

    /// Records that the server does not hold the model or is full, so that requests avoid it for a
    /// while.
    fn learn_from_refusal(&self, status: StatusCode, selected: &SelectedServer) {
        let (server, now) = (&selected.server, self.cx.now());
        let turn = self.own_turn();
        let mut routing = self.cx.routing.lock();
        match (status, self.copy_name()) {
            (StatusCode::MISDIRECTED_REQUEST, Some(copy)) => {
                routing.health.record_not_resident(&server.id, copy, server.incarnation, now);
            }
            (StatusCode::SERVICE_UNAVAILABLE, _) => {
                routing.health.record_full(&server.id, self.route.rank, now);
                routing.notices.record_full(&server.id, server.incarnation, turn, now);
            }
            _ => {}
        }
    }

    /// Returns this node's place among all. Views list nodes in the same order.
    fn own_turn(&self) -> Turn {
        let view = self.cx.fleet.view();
        let position = view.members.iter().position(|member| member.vm == self.cx.settings.vm);
        Turn { position: position.unwrap_or_default(), nodes: view.members.len() }
    }

    /// Returns `model` or `model/adapter`, as the request asks for it.
    pub(super) fn copy_name(&self) -> Option<Name> {
        let generation = self.head.generation.as_ref()?;
        Some(match &generation.adapter {
            Some(adapter) => format!("{}/{adapter}", generation.model).into(),
            None => generation.model.clone(),
        })
    }

    /// Handles an error response of the server, after which the request may have run.
    pub(super) async fn on_server_failure(
        &mut self,
        opened: OpenedResponse,
        selected: &SelectedServer,
    ) -> Attempt {
        let OpenedResponse { status, mut headers, body, connection, in_flight, .. } = opened;
        let body = self.cx.response_memory.read(body, self.remaining_time()).await;
        drop(in_flight);
        self.may_have_run = true;
        self.record_outcome(&selected.server.id, ServerOutcome::Failed);
        let Some(body) = body else { return Attempt::TryNext };
        self.cx.request_pool.release_with_keep_alive(connection, keep_alive_timeout(&headers));
        strip_connection_headers(&mut headers);
        // The caller would take this status as a promise that the request did not run, which the
        // server did not state.
        if promises_not_run(status) && !self.route.kind.is_repeatable() {
            return Attempt::TryNext;
        }
        let may_retry = status.is_server_error() && self.route.kind.is_repeatable();
        if may_retry {
            self.failure_response = Some((status, headers, body));
            return Attempt::TryNext;
        }
        self.log_end("failed", status.as_u16(), None);
        Attempt::Respond(forward_response(status, headers, body))
    }
}
