//! A request's place in the counts while it is at a server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::Name;

use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::routing_state::CopyKey;
use super::rpc::PromptRecord;
use super::server_selection::Picked;

/// Counts a request at its server until it is dropped.
pub struct InFlightRequest {
    cx: Arc<NodeContext>,
    server: Name,
    rank: u8,
    prefill_ms: f32,
    /// The time that was expected until the first token.
    expected: Duration,
    model: Option<Name>,
    copy: Option<CopyKey>,
    sent_at: Instant,
    has_first_token: bool,
}

impl InFlightRequest {
    /// Counts a request that leaves for the picked server.
    pub(super) fn begin(relay: &ProxyRequest, picked: &Picked) -> Self {
        let cx = relay.cx.clone();
        let now = cx.now();
        let server = &picked.server;
        let asked = relay.head.generation.as_ref();
        let copy =
            asked.map(|asked| (server.id.clone(), asked.model.clone(), asked.adapter.clone()));
        let cache_tokens = relay.engine_class().map(|class| class.cache_tokens);
        let mut routing = cx.routing.lock();
        routing.loads.begin(&server.id, relay.route.rank, picked.prefill_ms);
        if let Some(key) = &copy {
            *routing.requests_by_copy.entry(key.clone()).or_default() += 1;
        }
        if let Some(cache_tokens) = cache_tokens.filter(|_| !relay.keys.is_empty()) {
            let record = PromptRecord {
                server: server.id.clone(),
                incarnation: server.incarnation,
                keys: relay.keys.clone(),
            };
            routing.record_prompt(record, cache_tokens, now);
        }
        drop(routing);
        Self {
            server: server.id.clone(),
            rank: relay.route.rank,
            prefill_ms: picked.prefill_ms,
            expected: picked.expected,
            model: asked.map(|asked| asked.model.clone()),
            copy,
            sent_at: now,
            has_first_token: false,
            cx,
        }
    }

    /// Returns the server's id.
    pub fn server(&self) -> &str {
        &self.server
    }

    /// Returns when the request left.
    pub fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Notes the first token, or the whole answer of a plain service.
    pub fn first_token(&mut self) {
        if std::mem::replace(&mut self.has_first_token, true) {
            return;
        }
        let took = self.cx.now() - self.sent_at;
        let mut routing = self.cx.routing.lock();
        routing.loads.first_token(&self.server, self.rank, self.prefill_ms);
        if let Some(model) = &self.model {
            let expected_ms = self.expected.as_secs_f64() * 1e3;
            routing.speeds.note_first_token(&self.server, model, expected_ms, took);
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut routing = self.cx.routing.lock();
        if !self.has_first_token {
            routing.loads.first_token(&self.server, self.rank, self.prefill_ms);
        }
        routing.loads.end(&self.server);
        if let Some(key) = &self.copy
            && let Some(requests) = routing.requests_by_copy.get_mut(key)
        {
            *requests -= 1;
            if *requests == 0 {
                routing.requests_by_copy.remove(key);
            }
        }
    }
}
