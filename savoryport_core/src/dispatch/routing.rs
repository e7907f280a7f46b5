//! Chooses among servers that have room.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::server::ServerView;
use super::{DispatchConfig, Request};

/// The most prefixes remembered; when it is reached, the older half is dropped.
const MAX_PREFIXES: usize = 20_000;

/// The share of a prompt that a remembered prefix is taken to cover.
const CACHED_SHARE: f64 = 0.7;

/// Remembers which server saw a prefix last.
#[derive(Debug, Default)]
pub(super) struct PrefixMap {
    recent: HashMap<u64, usize>,
    older: HashMap<u64, usize>,
}

impl PrefixMap {
    pub(super) fn note(&mut self, prefix: u64, server: usize) {
        if self.recent.len() >= MAX_PREFIXES / 2 {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(prefix, server);
    }

    fn get(&self, prefix: u64) -> Option<usize> {
        self.recent.get(&prefix).or_else(|| self.older.get(&prefix)).copied()
    }
}

/// Returns the server with the earliest expected first token.
pub(super) fn choose(
    cfg: &DispatchConfig,
    servers: &[ServerView],
    prefixes: &PrefixMap,
    req: &Request,
    open: &[usize],
    now: Instant,
) -> Option<usize> {
    let expected = |at: usize| {
        let server = &servers[at];
        server.expected_first_token(now) + unhindered(cfg, server, prefixes, req, at)
    };
    let is_local = |at: &&usize| servers[**at].info.region == cfg.region;
    let local = open.iter().filter(is_local).copied().min_by_key(|at| expected(*at));
    // The link between regions is slow and paid by the byte, so it serves only what would be late.
    let slack = req.deadline.saturating_duration_since(now);
    match local {
        Some(at) if expected(at) <= slack => Some(at),
        _ => open.iter().copied().min_by_key(|at| expected(*at)),
    }
}

/// Returns what the first token takes on a server that is idle, with the prefix that it has cached.
pub(super) fn unhindered(
    cfg: &DispatchConfig,
    server: &ServerView,
    prefixes: &PrefixMap,
    req: &Request,
    at: usize,
) -> Duration {
    let is_cached = prefixes.get(req.prefix_hash) == Some(at);
    let share = if is_cached { 1.0 - CACHED_SHARE } else { 1.0 };
    idle_first_token(cfg, server, (f64::from(req.prompt_tokens) * share) as u32)
}

/// Returns what the first token takes on a server that is idle and has nothing cached.
pub(super) fn idle_first_token(
    cfg: &DispatchConfig,
    server: &ServerView,
    prompt_tokens: u32,
) -> Duration {
    cfg.prefill_per_token * prompt_tokens + distance(cfg, server)
}

fn distance(cfg: &DispatchConfig, server: &ServerView) -> Duration {
    if server.info.region == cfg.region { Duration::ZERO } else { cfg.region_round_trip }
}
