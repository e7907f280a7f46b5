//! A fake engine: continuous batching with a limit, priorities, a prefix cache.

use std::collections::{BTreeSet, HashSet, VecDeque};

use super::deployment::SLOTS;

/// Seconds for one prompt token that is not cached.
const PREFILL: f64 = 0.000_15;

/// Seconds between tokens of a request that is alone.
const TOKEN: f64 = 0.025;

/// How much longer a token takes in a full batch.
const CROWDING: f64 = 0.6;

/// The share of a prompt that a cached prefix covers.
const CACHED: f64 = 0.7;

/// The prefixes that one engine caches.
const CACHED_PREFIXES: usize = 48;

/// A request in an engine's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Queued {
    /// 0 goes first.
    pub priority: usize,
    /// The order of arrival.
    pub arrival: u64,
    /// The request.
    pub request: usize,
}

/// One engine in virtual time.
#[derive(Debug, Default)]
pub struct FakeEngine {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: BTreeSet<Queued>,
    /// Whether the engine is lost.
    pub is_lost: bool,
    cached: HashSet<u64>,
    order: VecDeque<u64>,
    arrivals: u64,
}

/// Returns the seconds between tokens in a batch of a size.
pub fn token_time(running: u32) -> f64 {
    TOKEN * (1.0 + CROWDING * f64::from(running.saturating_sub(1)) / f64::from(SLOTS - 1))
}

/// Returns the seconds for a prompt.
pub fn prefill_time(prompt: u32, is_cached: bool) -> f64 {
    PREFILL * f64::from(prompt) * if is_cached { 1.0 - CACHED } else { 1.0 }
}

/// Returns the seconds that a request takes a slot.
pub fn service_time(prompt: u32, tokens: u32, running: u32, is_cached: bool) -> f64 {
    prefill_time(prompt, is_cached) + f64::from(tokens) * token_time(running)
}

impl FakeEngine {
    /// Adds a request to the queue.
    pub fn push(&mut self, request: usize, priority: usize) {
        self.arrivals += 1;
        self.waiting.insert(Queued { priority, arrival: self.arrivals, request });
    }

    /// Takes the next request into the batch, if there is room.
    pub fn start_next(&mut self) -> Option<usize> {
        if self.running >= SLOTS {
            return None;
        }
        let next = self.waiting.pop_first()?;
        self.running += 1;
        Some(next.request)
    }

    /// Returns whether a prefix is cached, and caches it.
    pub fn use_prefix(&mut self, prefix: u64) -> bool {
        let is_cached = !self.cached.insert(prefix);
        if !is_cached {
            self.order.push_back(prefix);
            if self.order.len() > CACHED_PREFIXES
                && let Some(oldest) = self.order.pop_front()
            {
                self.cached.remove(&oldest);
            }
        }
        is_cached
    }
}
