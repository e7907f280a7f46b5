//! The prompt prefixes that each server has probably cached, judging by the requests that were sent
//! to it.

use std::collections::HashMap;
use std::time::Instant;

use crate::Name;
use crate::node::request::PrefixKeys;

/// The share of a full cache that is evicted at once, so that eviction does not run for each
/// request.
const EVICTED_SHARE: f64 = 0.2;

/// The prefixes that are probably cached, by server.
#[derive(Debug, Clone, Default)]
pub struct PrefixCacheIndex {
    servers: HashMap<Name, ServerCache>,
}

#[derive(Debug, Clone, Default)]
struct ServerCache {
    incarnation: u64,
    tokens: u64,
    parts: HashMap<u64, CachedPart>,
}

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    last_used: Instant,
}

impl PrefixCacheIndex {
    /// Returns how many of the prompt's first tokens the server has probably cached.
    pub fn cached_tokens(&self, server: &str, incarnation: u64, keys: &PrefixKeys) -> u32 {
        let Some(cache) = self.servers.get(server) else { return 0 };
        if cache.incarnation != incarnation {
            return 0;
        }
        let cached = keys.iter().take_while(|(key, _)| cache.parts.contains_key(key));
        cached.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Records that a server has processed a prompt. Beyond `capacity` tokens, the parts that were
    /// least recently used are evicted.
    pub fn record(
        &mut self,
        server: &Name,
        incarnation: u64,
        keys: &PrefixKeys,
        capacity: u64,
        now: Instant,
    ) {
        let cache = self.servers.entry(server.clone()).or_default();
        if cache.incarnation != incarnation {
            *cache = ServerCache { incarnation, ..ServerCache::default() };
        }
        let mut preceding_tokens = 0;
        for (key, tokens) in keys {
            let part = CachedPart { tokens: tokens - preceding_tokens, last_used: now };
            if cache.parts.insert(*key, part).is_none() {
                cache.tokens += u64::from(part.tokens);
            }
            preceding_tokens = *tokens;
        }
        if cache.tokens > capacity {
            cache.evict(capacity);
        }
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }
}

impl ServerCache {
    fn evict(&mut self, capacity: u64) {
        let target_tokens = (capacity as f64 * (1.0 - EVICTED_SHARE)) as u64;
        let mut by_last_use: Vec<(Instant, u64)> =
            self.parts.iter().map(|(key, part)| (part.last_used, *key)).collect();
        by_last_use.sort_unstable();
        for (_, key) in by_last_use {
            if self.tokens <= target_tokens {
                return;
            }
            if let Some(part) = self.parts.remove(&key) {
                self.tokens -= u64::from(part.tokens);
            }
        }
    }
}
