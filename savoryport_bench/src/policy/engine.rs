//! A simulated inference engine with continuous batching up to a limit, priorities and a prefix
//! cache.

use std::collections::{BTreeSet, HashSet, VecDeque};

use super::deployment::SLOTS;

/// The time to process one prompt token that is not cached, in seconds.
const PREFILL_TOKEN_TIME: f64 = 0.000_15;

/// The time between tokens of a request that is alone in the batch, in seconds.
const TOKEN_TIME: f64 = 0.025;

/// The increase of the time between tokens in a full batch, as a share of [`TOKEN_TIME`].
const FULL_BATCH_SLOWDOWN: f64 = 0.6;

/// The share of a prompt that a cached prefix covers.
const CACHED_SHARE: f64 = 0.7;

/// The number of prefixes that one engine caches.
const PREFIX_CACHE_SIZE: usize = 48;

/// A request in an engine's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuedRequest {
    /// The priority; 0 is served first.
    pub priority: usize,
    /// The position in the order of arrival.
    pub arrival: u64,
    /// The index of the request in the trace.
    pub request: usize,
}

/// One simulated engine.
#[derive(Debug, Default)]
pub struct FakeEngine {
    /// The number of requests in the batch.
    pub running: u32,
    /// The requests that wait for a place in the batch.
    pub waiting: BTreeSet<QueuedRequest>,
    /// Whether the engine has failed for good.
    pub is_lost: bool,
    cached_prefixes: HashSet<u64>,
    prefix_order: VecDeque<u64>,
    arrival_count: u64,
}

/// Returns the time between tokens in a batch of `running` requests, in seconds.
pub fn token_time(running: u32) -> f64 {
    TOKEN_TIME
        * (1.0 + FULL_BATCH_SLOWDOWN * f64::from(running.saturating_sub(1)) / f64::from(SLOTS - 1))
}

/// Returns the time to process a prompt, in seconds.
pub fn prefill_time(prompt: u32, is_cached: bool) -> f64 {
    PREFILL_TOKEN_TIME * f64::from(prompt) * if is_cached { 1.0 - CACHED_SHARE } else { 1.0 }
}

/// Returns the time that a request occupies a slot, in seconds.
pub fn service_time(prompt: u32, tokens: u32, running: u32, is_cached: bool) -> f64 {
    prefill_time(prompt, is_cached) + f64::from(tokens) * token_time(running)
}

impl FakeEngine {
    /// Adds a request to the queue.
    pub fn enqueue(&mut self, request: usize, priority: usize) {
        self.arrival_count += 1;
        self.waiting.insert(QueuedRequest { priority, arrival: self.arrival_count, request });
    }

    /// Moves the next request from the queue to the batch if there is room, and returns it.
    pub fn start_next(&mut self) -> Option<usize> {
        if self.running >= SLOTS {
            return None;
        }
        let next = self.waiting.pop_first()?;
        self.running += 1;
        Some(next.request)
    }

    /// Returns whether a prefix is cached already, and caches it.
    pub fn use_prefix(&mut self, prefix: u64) -> bool {
        let is_cached = !self.cached_prefixes.insert(prefix);
        if !is_cached {
            self.prefix_order.push_back(prefix);
            if self.prefix_order.len() > PREFIX_CACHE_SIZE
                && let Some(oldest) = self.prefix_order.pop_front()
            {
                self.cached_prefixes.remove(&oldest);
            }
        }
        is_cached
    }
}
