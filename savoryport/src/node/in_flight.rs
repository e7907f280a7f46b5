//! Accounts for a request in the routing state while a server handles it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use savoryport_core::Name;

use super::context::NodeContext;
use super::proxy::ProxyRequest;
use super::routing_state::CopyKey;
use super::rpc::PromptRecord;
use super::server_selection::SelectedServer;

/// A request that was sent to a server, and counts towards its load until this value is dropped.
pub struct InFlightRequest {
    cx: Arc<NodeContext>,
    server: Name,
    rank: u8,
    prefill_ms: f32,
    /// The time that the cached prefix was expected to save.
    saving: Duration,
    memory_tokens: u32,
    /// The expected time to the first token when the request was sent.
    expected_latency: Duration,
    model: Option<Name>,
    copy_key: Option<CopyKey>,
    sent_at: Instant,
    has_first_token: bool,
}

impl InFlightRequest {
    /// Starts to account for a request that is about to be sent to the selected server.
    pub(super) fn begin(request: &ProxyRequest, selected: &SelectedServer) -> Self {
        let cx = request.cx.clone();
        let now = cx.now();
        let server = &selected.server;
        let generation = request.head.generation.as_ref();
        let copy_key = generation.map(|generation| {
            (server.id.clone(), generation.model.clone(), generation.adapter.clone())
        });
        let cache_tokens = request.engine_class().map(|class| class.cache_tokens);
        let mut routing = cx.routing.lock();
        routing.loads.start_request(&server.id, request.route.rank, selected.prefill_ms);
        routing.loads.hold_tokens(&server.id, request.route.rank, selected.memory_tokens);
        if let Some(key) = &copy_key {
            *routing.requests_by_copy.entry(key.clone()).or_default() += 1;
        }
        if let Some(cache_tokens) = cache_tokens.filter(|_| !request.prefix_keys.is_empty()) {
            let record = PromptRecord {
                server: server.id.clone(),
                incarnation: server.incarnation,
                keys: request.prefix_keys.clone(),
            };
            routing.record_prompt(record, cache_tokens, now);
        }
        drop(routing);
        Self {
            server: server.id.clone(),
            rank: request.route.rank,
            prefill_ms: selected.prefill_ms,
            saving: Duration::from_secs_f32(selected.saving_ms.max(0.0) / 1e3),
            memory_tokens: selected.memory_tokens,
            expected_latency: selected.expected_latency,
            model: generation.map(|generation| generation.model.clone()),
            copy_key,
            sent_at: now,
            has_first_token: false,
            cx,
        }
    }

    /// Returns the id of the server.
    pub fn server(&self) -> &str {
        &self.server
    }

    /// Returns when the request was sent.
    pub fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Records that the first token arrived, or the complete response of a service that is not an
    /// engine.
    pub fn record_first_token(&mut self) {
        if std::mem::replace(&mut self.has_first_token, true) {
            return;
        }
        let elapsed = self.cx.now() - self.sent_at;
        let mut routing = self.cx.routing.lock();
        routing.loads.record_first_token(&self.server, self.rank, self.prefill_ms);
        if let Some(model) = &self.model {
            let expected_ms = self.expected_latency.as_secs_f64() * 1e3;
            routing.speeds.record_first_token(&self.server, model, expected_ms, elapsed);
        }
        drop(routing);
        self.cx.metrics.record_prefix(self.expected_latency, self.saving, elapsed);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let elapsed = self.cx.now() - self.sent_at;
        let mut routing = self.cx.routing.lock();
        // A request that got no token may never have held memory.
        if self.has_first_token && self.memory_tokens > 0 {
            routing.prefixes.record_request_end(self.memory_tokens, elapsed);
        }
        if !self.has_first_token {
            routing.loads.record_first_token(&self.server, self.rank, self.prefill_ms);
        }
        routing.loads.release_tokens(&self.server, self.rank, self.memory_tokens);
        routing.loads.end_request(&self.server);
        if let Some(key) = &self.copy_key
            && let Some(requests) = routing.requests_by_copy.get_mut(key)
        {
            *requests -= 1;
            if *requests == 0 {
                routing.requests_by_copy.remove(key);
            }
        }
    }
}
