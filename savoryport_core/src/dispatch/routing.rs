//! Chooses one of the servers that have a free slot for a request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::server::ServerState;
use super::{DispatchConfig, Request};

/// The maximum number of remembered prompt prefixes. When it is reached, the older half is dropped.
const MAX_PREFIXES: usize = 20_000;

/// The share of a prompt that a cached prefix is assumed to cover.
const CACHED_SHARE: f64 = 0.7;

/// The server that last received each prompt prefix, by the prefix's hash.
#[derive(Debug, Default)]
pub(super) struct PrefixMap {
    recent: HashMap<u64, usize>,
    older: HashMap<u64, usize>,
}

impl PrefixMap {
    pub(super) fn record(&mut self, prefix_hash: u64, server: usize) {
        if self.recent.len() >= MAX_PREFIXES / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(prefix_hash, server);
    }

    fn get(&self, prefix_hash: u64) -> Option<usize> {
        self.recent.get(&prefix_hash).or_else(|| self.older.get(&prefix_hash)).copied()
    }
}

/// Returns the candidate with the earliest expected first token, from this entry's region if one
/// there is expected to meet the request's deadline.
pub(super) fn choose_server(
    cfg: &DispatchConfig,
    servers: &[ServerState],
    prefixes: &PrefixMap,
    req: &Request,
    candidates: &[usize],
    now: Instant,
) -> Option<usize> {
    let expected_first_token = |index: usize| {
        let server = &servers[index];
        server.expected_first_token(now) + idle_first_token(cfg, server, prefixes, req, index)
    };
    let is_local = |index: &&usize| servers[**index].info.region == cfg.region;
    let local = candidates
        .iter()
        .filter(is_local)
        .copied()
        .min_by_key(|index| expected_first_token(*index));
    // The link between regions is slow and billed by the byte, so another region is only used if no
    // server of this region is expected to meet the deadline.
    let slack = req.deadline.saturating_duration_since(now);
    match local {
        Some(index) if expected_first_token(index) <= slack => Some(index),
        _ => candidates.iter().copied().min_by_key(|index| expected_first_token(*index)),
    }
}

/// Estimates the time to the first token on an idle server, allowing for a cached prefix.
pub(super) fn idle_first_token(
    cfg: &DispatchConfig,
    server: &ServerState,
    prefixes: &PrefixMap,
    req: &Request,
    index: usize,
) -> Duration {
    let is_cached = prefixes.get(req.prefix_hash) == Some(index);
    let uncached_share = if is_cached { 1.0 - CACHED_SHARE } else { 1.0 };
    uncached_idle_first_token(cfg, server, (f64::from(req.prompt_tokens) * uncached_share) as u32)
}

/// Estimates the time to the first token on an idle server that has nothing of the prompt cached.
pub(super) fn uncached_idle_first_token(
    cfg: &DispatchConfig,
    server: &ServerState,
    prompt_tokens: u32,
) -> Duration {
    cfg.prefill_per_token * prompt_tokens + network_delay(cfg, server)
}

fn network_delay(cfg: &DispatchConfig, server: &ServerState) -> Duration {
    if server.info.region == cfg.region { Duration::ZERO } else { cfg.region_round_trip }
}
