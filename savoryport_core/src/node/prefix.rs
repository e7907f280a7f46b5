//! The prompt prefixes that were recorded for each server, judging by the requests that were sent
//! to it, with what happened since their last use.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::Name;
use crate::node::request::PrefixKeys;

/// The share of a full cache that is evicted at once, so that eviction does not run for each
/// request.
const EVICTED_SHARE: f64 = 0.2;

/// The records that a weighing index keeps, as a share of the cache. It exceeds 1 as long as a
/// prefix beyond the capacity has a probability above 0.
const KEPT_SHARE: f64 = 1.2;

/// The share of the cache to which these records are reduced. Beyond it the probability is 0.
const MIN_KEPT_SHARE: f64 = 1.15;

/// The weight of the newest interval between two uses of a part.
const NEWEST_INTERVAL_WEIGHT: f32 = 0.3;

/// The time for which a request holds memory before any measurement, in seconds.
const INITIAL_REQUEST_S: f64 = 2.0;

/// The tokens that the initial time counts for in the average.
const INITIAL_REQUEST_TOKENS: f64 = 2_000.0;

/// The weight of the newest request in the average time that a token is in use.
const NEWEST_REQUEST_WEIGHT: f64 = 0.05;

/// The shortest interval between two uses that counts, in seconds. The uses of one burst say little
/// about the time to the next one.
const MIN_INTERVAL_S: f32 = 1.0;

/// A part counts as out of use after this many times the usual interval between its uses.
const OUT_OF_USE_INTERVALS: f32 = 4.0;

/// The prefixes that may be cached, by server.
#[derive(Debug, Clone)]
pub struct PrefixCacheIndex {
    servers: HashMap<Name, ServerCache>,
    /// Whether records beyond the capacity are kept, since their retention is weighed.
    is_weighing: bool,
    /// The running averages of the tokens of a request, and of these times the seconds in use.
    request_tokens: f64,
    request_token_s: f64,
}

impl Default for PrefixCacheIndex {
    fn default() -> Self {
        Self {
            servers: HashMap::new(),
            is_weighing: false,
            request_tokens: INITIAL_REQUEST_TOKENS,
            request_token_s: INITIAL_REQUEST_TOKENS * INITIAL_REQUEST_S,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct ServerCache {
    incarnation: u64,
    tokens: u64,
    /// The last use of each part, by key.
    last_uses: HashMap<u64, Instant>,
    /// The parts by last use and key.
    parts: BTreeMap<(Instant, u64), CachedPart>,
    /// When the server was last unreachable, after which it may have restarted.
    unreachable_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    /// The running average of the time between two uses in seconds; 0 before the second use.
    interval_s: f32,
}

/// The last use of a part of a prompt at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartUse {
    /// The length of the part, in tokens.
    pub tokens: u32,
    /// The tokens of the other parts that were used since, each counted once.
    pub tokens_since: u64,
    /// The time since the last use.
    pub age: Duration,
    /// Whether the server was unreachable since, and may have restarted.
    pub may_be_lost: bool,
    /// The probability that the part is used again, judging by the intervals between its uses.
    pub reuse: f64,
}

impl PrefixCacheIndex {
    /// Creates an index for estimates of the retention, which also keeps what is probably evicted.
    pub fn weighing() -> Self {
        Self { is_weighing: true, ..Self::default() }
    }

    /// Returns whether the index is for estimates of the retention.
    pub fn is_weighing(&self) -> bool {
        self.is_weighing
    }

    /// Returns how many of the prompt's first tokens were recorded for the server.
    pub fn cached_tokens(&self, server: &str, incarnation: u64, keys: &PrefixKeys) -> u32 {
        let Some(cache) = self.servers.get(server) else { return 0 };
        if cache.incarnation != incarnation {
            return 0;
        }
        let cached = keys.iter().take_while(|(key, _)| cache.last_uses.contains_key(key));
        cached.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Returns the last uses of the prompt's first parts, up to the first one without a record.
    pub fn part_uses(
        &self,
        server: &str,
        incarnation: u64,
        keys: &PrefixKeys,
        now: Instant,
    ) -> SmallVec<[PartUse; 4]> {
        let Some(cache) = self.cache_of(server, incarnation) else { return SmallVec::new() };
        let known = keys.iter().map_while(|(key, _)| cache.part(*key));
        known
            .map(|(last_used, part)| {
                let newer = cache.parts.range((last_used, u64::MAX)..);
                let newer_tokens = newer.map(|(_, part)| u64::from(part.tokens)).sum();
                cache.part_use(&part, last_used, newer_tokens, now)
            })
            .collect()
    }

    /// Returns the last uses of the parts of a server that are in use, least recently used first.
    pub fn least_recent_uses(
        &self,
        server: &str,
        incarnation: u64,
        now: Instant,
    ) -> impl Iterator<Item = PartUse> {
        self.cache_of(server, incarnation).into_iter().flat_map(move |cache| {
            let mut newer_tokens = cache.tokens;
            cache.parts.iter().filter_map(move |((last_used, _), part)| {
                newer_tokens = newer_tokens.saturating_sub(u64::from(part.tokens));
                let was_used_again = part.interval_s > 0.0;
                was_used_again.then(|| cache.part_use(part, *last_used, newer_tokens, now))
            })
        })
    }

    /// Updates the average time that a token of memory is in use with a request that held this many.
    pub fn record_request_end(&mut self, tokens: u32, took: Duration) {
        let tokens = f64::from(tokens);
        self.request_tokens += (tokens - self.request_tokens) * NEWEST_REQUEST_WEIGHT;
        self.request_token_s +=
            (tokens * took.as_secs_f64() - self.request_token_s) * NEWEST_REQUEST_WEIGHT;
    }

    /// Returns the average time that a token of memory is in use by a running request.
    pub fn request_time(&self) -> Duration {
        Duration::from_secs_f64(self.request_token_s / self.request_tokens.max(1.0))
    }

    /// Returns the sum of the tokens that are recorded for a server.
    pub fn recorded_tokens(&self, server: &str, incarnation: u64) -> u64 {
        self.cache_of(server, incarnation).map_or(0, |cache| cache.tokens)
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
        // No server can have cached it, and it would evict all other records.
        let stated_tokens = keys.last().map_or(0, |(_, tokens)| u64::from(*tokens));
        if self.is_weighing && stated_tokens > capacity {
            return;
        }
        let (kept_share, evicted_share) = if self.is_weighing {
            (KEPT_SHARE, KEPT_SHARE - MIN_KEPT_SHARE)
        } else {
            (1.0, EVICTED_SHARE)
        };
        let cache = self.servers.entry(server.clone()).or_default();
        // Another node may report late what it sent before a restart of the server.
        if self.is_weighing && incarnation < cache.incarnation {
            return;
        }
        if cache.incarnation != incarnation {
            *cache = ServerCache { incarnation, ..ServerCache::default() };
        }
        let mut preceding_tokens = 0;
        for (key, tokens) in keys {
            cache.record_part(*key, tokens - preceding_tokens, now);
            preceding_tokens = *tokens;
        }
        if cache.tokens > (capacity as f64 * kept_share) as u64 {
            cache.evict((capacity as f64 * (kept_share - evicted_share)) as u64);
        }
    }

    /// Removes the parts of a prompt that were first recorded at `recorded_at`, since the server refused
    /// the request and read none of it.
    pub fn forget(
        &mut self,
        server: &str,
        incarnation: u64,
        keys: &PrefixKeys,
        recorded_at: Instant,
    ) {
        let cache = self.servers.get_mut(server);
        let Some(cache) = cache.filter(|cache| cache.incarnation == incarnation) else { return };
        for (key, _) in keys {
            let part = cache.parts.get(&(recorded_at, *key)).copied();
            if let Some(part) = part.filter(|part| part.interval_s == 0.0) {
                cache.last_uses.remove(key);
                cache.parts.remove(&(recorded_at, *key));
                cache.tokens -= u64::from(part.tokens);
            }
        }
    }

    /// Records that a server could not be reached. It may have restarted, which the registry shows
    /// only with its next heartbeat.
    pub fn record_unreachable(&mut self, server: &str, now: Instant) {
        if let Some(cache) = self.servers.get_mut(server) {
            cache.unreachable_at = Some(now);
        }
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }

    fn cache_of(&self, server: &str, incarnation: u64) -> Option<&ServerCache> {
        self.servers.get(server).filter(|cache| cache.incarnation == incarnation)
    }
}

impl ServerCache {
    fn record_part(&mut self, key: u64, tokens: u32, now: Instant) {
        let mut part = CachedPart { tokens, interval_s: 0.0 };
        if let Some((last_used, former)) = self.part(key) {
            self.parts.remove(&(last_used, key));
            self.tokens -= u64::from(former.tokens);
            let interval = now.saturating_duration_since(last_used);
            let interval_s = interval.as_secs_f32().max(MIN_INTERVAL_S);
            part.interval_s = if former.interval_s > 0.0 {
                former.interval_s + (interval_s - former.interval_s) * NEWEST_INTERVAL_WEIGHT
            } else {
                interval_s
            };
        }
        self.last_uses.insert(key, now);
        self.parts.insert((now, key), part);
        self.tokens += u64::from(tokens);
    }

    /// Returns a part with its last use.
    fn part(&self, key: u64) -> Option<(Instant, CachedPart)> {
        let last_used = *self.last_uses.get(&key)?;
        Some((last_used, *self.parts.get(&(last_used, key))?))
    }

    fn part_use(
        &self,
        part: &CachedPart,
        last_used: Instant,
        tokens_since: u64,
        now: Instant,
    ) -> PartUse {
        let age = now.saturating_duration_since(last_used);
        let reuse = if part.interval_s > 0.0 {
            1.0 - age.as_secs_f32() / (part.interval_s * OUT_OF_USE_INTERVALS)
        } else {
            0.0
        };
        PartUse {
            tokens: part.tokens,
            tokens_since,
            age,
            may_be_lost: self.unreachable_at.is_some_and(|at| at >= last_used),
            reuse: f64::from(reuse.max(0.0)),
        }
    }

    fn evict(&mut self, target_tokens: u64) {
        while self.tokens > target_tokens {
            let Some(((_, key), part)) = self.parts.pop_first() else { return };
            self.last_uses.remove(&key);
            self.tokens -= u64::from(part.tokens);
        }
    }
}
