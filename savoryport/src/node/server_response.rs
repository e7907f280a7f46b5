//! What a server's answer means for the request: it ends with it, or goes to the next server.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use savoryport_adapter::servers::{keep_alive, promises_not_run, strip_connection_headers};
use savoryport_core::Name;
use savoryport_core::node::health::ServerOutcome;

use super::proxy::{Attempt, Opened, ProxyRequest};
use super::response::forward_response;
use super::server_selection::Picked;

/// The rest of an answer that did not run is read for this long, to keep the connection.
const REST_TIMEOUT: Duration = Duration::from_millis(50);

/// The longest whole answer that is held in memory, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

impl ProxyRequest {
    pub(super) async fn whole_answer(&mut self, opened: Opened, picked: &Picked) -> Attempt {
        let Opened { status, mut headers, body, connection, mut flight, .. } = opened;
        match collect(body, self.left()).await {
            Some(body) => {
                flight.first_token();
                self.note(&picked.server.id, ServerOutcome::Answered);
                let took = self.cx.now() - flight.sent_at();
                let server = &picked.server.id;
                self.cx.routing.lock().speeds.note_service(server, &self.service, took);
                self.cx.request_pool.keep(connection, keep_alive(&headers));
                strip_connection_headers(&mut headers);
                self.log_end("answered", status.as_u16(), None);
                Attempt::Answer(forward_response(status, headers, body))
            }
            None => {
                self.in_doubt = true;
                self.note(&picked.server.id, ServerOutcome::Unreachable);
                Attempt::Next
            }
        }
    }

    pub(super) async fn note_not_run(&mut self, opened: Opened, picked: &Picked) {
        let Opened { status, headers, body, connection, flight, .. } = opened;
        drop(flight);
        log::info!(
            request = &*self.head.id, server = &*picked.server.id, status = status.as_u16(),
            expected_ms = picked.expected.as_millis() as u64; "server refused"
        );
        self.avoided.push(picked.server.id.clone());
        self.cx.metrics.not_run.inc();
        self.learn_from_refusal(status, picked);
        if collect(body, REST_TIMEOUT).await.is_some() {
            self.cx.request_pool.keep(connection, keep_alive(&headers));
        }
    }

    fn learn_from_refusal(&self, status: StatusCode, picked: &Picked) {
        let (server, now) = (&picked.server, self.cx.now());
        let mut routing = self.cx.routing.lock();
        match (status, self.copy_name()) {
            (StatusCode::MISDIRECTED_REQUEST, Some(copy)) => {
                routing.health.note_denial(&server.id, copy, server.incarnation, now);
            }
            (StatusCode::SERVICE_UNAVAILABLE, _) => {
                routing.health.note_full(&server.id, self.route.rank, now);
            }
            _ => {}
        }
    }

    /// Returns the model, or the model and adapter, that the request asks for.
    pub(super) fn copy_name(&self) -> Option<Name> {
        let asked = self.head.generation.as_ref()?;
        Some(match &asked.adapter {
            Some(adapter) => format!("{}/{adapter}", asked.model).into(),
            None => asked.model.clone(),
        })
    }

    pub(super) async fn server_failure(&mut self, opened: Opened, picked: &Picked) -> Attempt {
        let Opened { status, mut headers, body, connection, flight, .. } = opened;
        let body = collect(body, self.left()).await;
        drop(flight);
        self.in_doubt = true;
        self.note(&picked.server.id, ServerOutcome::Failed);
        let Some(body) = body else { return Attempt::Next };
        self.cx.request_pool.keep(connection, keep_alive(&headers));
        strip_connection_headers(&mut headers);
        // A status that promises "not run" without the server's word for it would be a lie.
        if promises_not_run(status) && !self.route.kind.is_repeatable() {
            return Attempt::Next;
        }
        let goes_on = status.is_server_error() && self.route.kind.is_repeatable();
        if goes_on {
            self.failure = Some((status, headers, body));
            return Attempt::Next;
        }
        self.log_end("failed", status.as_u16(), None);
        Attempt::Answer(forward_response(status, headers, body))
    }
}

/// Reads a body to its end; returns nothing if it broke off, was too long or took too long.
async fn collect(body: Incoming, within: Duration) -> Option<Bytes> {
    let limited = Limited::new(body, MAX_ANSWER_BYTES);
    let collected = tokio::time::timeout(within, limited.collect()).await.ok()?.ok()?;
    Some(collected.to_bytes())
}
