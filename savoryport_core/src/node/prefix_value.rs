//! Weighs what a cached prompt prefix saves at a server against the memory that the request needs
//! there.
//!
//! Load pattern: sessions and common prompts return to servers whose memory is shared by running
//! streams and cached prefixes. A prefix that was recorded may be evicted by then: by the prompts
//! of a burst, by streams that grow, or by a restart. A request that follows it waits at a busy
//! server for nothing, and a request that does not fit beside what runs waits for memory, or the
//! engine preempts another one and reads it anew.

use std::time::{Duration, Instant};

use crate::node::load::{ServerLoad, rank_index};
use crate::node::prefix::{PartUse, PrefixCacheIndex};
use crate::node::registry::BackendServer;
use crate::node::request::{Generation, PrefixKeys};
use crate::node::selection::SpeedEstimates;

/// The uncertainty of the memory in use, as a share of the cache: a prefix counts as held up to
/// this much below the capacity, and as evicted this much above it.
const UNCERTAIN_SHARE: f64 = 0.15;

/// The largest share of the memory of running requests that is in the records, as their prompts.
/// The rest is generated output, which no record has.
const MAX_RECORDED_SHARE: f64 = 0.75;

/// The share of the expected tokens without a record that count as used. Leaders announce to other
/// failure domains only shared prefixes, so that records are incomplete.
const UNRECORDED_SHARE: f64 = 0.5;

/// The probability that a server has kept its cache after it could not be reached.
const KEPT_AFTER_UNREACHABLE: f64 = 0.5;

/// The share of the reading of a displaced prefix that counts as a cost. The prefix may also be
/// cached at another server.
const DISPLACED_SHARE: f64 = 0.5;

/// The shortest time for which a request counts to hold its memory, in milliseconds.
const MIN_REQUEST_MS: f64 = 200.0;

/// The least saving of which the first token shows whether it was there.
const MIN_JUDGED_SAVING: Duration = Duration::from_millis(50);

/// The least saving for that, as a share of the expected time to the first token.
const MIN_JUDGED_SHARE: f64 = 0.5;

/// The memory of a server's KV cache.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerMemory {
    /// The capacity, in tokens.
    pub capacity: u64,
    /// The tokens in use by running requests of all nodes, by rank.
    pub in_use: ServerLoad,
    /// The average time for which a running request holds its memory.
    pub request_time: Duration,
}

/// What a prefix is worth at one server, and what the request costs there.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefixValue {
    /// The number of the prompt's first tokens that were recorded for the server.
    pub recorded_tokens: u32,
    /// The number of these that the server is expected to hold.
    pub held_tokens: u32,
    /// The time since the last use of the longest recorded prefix.
    pub age: Option<Duration>,
    /// The tokens of memory that the request holds besides the prefix, at most the whole cache.
    pub memory_tokens: u32,
    /// The expected wait for memory, in milliseconds.
    pub memory_wait_ms: f64,
    /// The time in which the engine reads requests anew that it preempts for this one, in
    /// milliseconds.
    pub preemption_ms: f64,
    /// The time in which displaced prefixes are read anew, in milliseconds.
    pub displaced_ms: f64,
}

impl ServerMemory {
    /// Returns the capacity, where no request needs more: what callers state may be far too high.
    fn capacity_u32(&self) -> u32 {
        u32::try_from(self.capacity).unwrap_or(u32::MAX)
    }

    /// Returns the probability that the server still holds a part of a prompt.
    pub fn retention(&self, part: &PartUse) -> f64 {
        let probability = self.retention_with(part, 0.0);
        if part.may_be_lost { probability * KEPT_AFTER_UNREACHABLE } else { probability }
    }

    /// Returns how many tokens of these successive parts the server is expected to hold.
    pub fn held_tokens(&self, parts: &[PartUse]) -> u32 {
        let (mut held, mut probability) = (0.0, 1.0_f64);
        for part in parts {
            // A part is of use only behind all parts before it.
            probability = probability.min(self.retention(part));
            held += probability * f64::from(part.tokens);
        }
        held as u32
    }

    /// Returns the probability that the part is not evicted once this many further tokens are used.
    fn retention_with(&self, part: &PartUse, further_tokens: f64) -> f64 {
        let (in_use, capacity) = (self.in_use.total_tokens(), self.capacity as f64);
        let lifetimes = part.age.as_secs_f64() / self.request_time_ms() * 1e3;
        let expected_since = in_use * lifetimes;
        let recorded_since = part.tokens_since as f64;
        let since = recorded_since + (expected_since - recorded_since).max(0.0) * UNRECORDED_SHARE;
        // Requests that began after the last use are in the records already.
        let recorded_share = lifetimes.min(MAX_RECORDED_SHARE);
        let used = in_use.max(since + in_use * (1.0 - recorded_share));
        let needed = used + f64::from(part.tokens) + further_tokens;
        let spare_share = 1.0 - needed / capacity.max(1.0);
        ((spare_share + UNCERTAIN_SHARE) / (2.0 * UNCERTAIN_SHARE)).clamp(0.0, 1.0)
    }

    /// Returns the time until this many tokens are free for a request of this rank, in milliseconds.
    /// Less urgent requests do not count, since the engine preempts them.
    fn wait_ms(&self, needed_tokens: f64, rank: u8) -> f64 {
        let ahead = self.in_use.tokens_ahead(rank);
        let lacking = ahead + needed_tokens - self.capacity as f64;
        if lacking <= 0.0 || ahead <= 0.0 {
            return 0.0;
        }
        // The running requests end evenly spread over the time that one of them takes.
        self.request_time_ms() * (lacking / ahead).min(1.0)
    }

    /// Returns the tokens of less urgent requests that are preempted for this many tokens.
    fn preempted_tokens(&self, needed_tokens: f64, rank: u8) -> f64 {
        let total = self.in_use.total_tokens();
        let behind = total - self.in_use.tokens_ahead(rank);
        (total + needed_tokens - self.capacity as f64).clamp(0.0, behind.max(0.0))
    }

    fn request_time_ms(&self) -> f64 {
        (self.request_time.as_secs_f64() * 1e3).max(MIN_REQUEST_MS)
    }
}

/// Whether a server held a prefix of which a saving was expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PrefixOutcome {
    /// The first token came about when it was expected.
    Found,
    /// The first token came as late as if the whole prompt was read.
    Missed,
}

/// Judges by the time to the first token whether the server held the prefix. Returns `None` where
/// the saving is too small to be seen, or the delay too long to be explained by it.
pub fn judge_prefix(expected: Duration, saving: Duration, took: Duration) -> Option<PrefixOutcome> {
    if saving < MIN_JUDGED_SAVING || saving < expected.mul_f64(MIN_JUDGED_SHARE) {
        return None;
    }
    let late = took.saturating_sub(expected);
    if late <= saving / 2 {
        Some(PrefixOutcome::Found)
    } else {
        (late <= saving * 2).then_some(PrefixOutcome::Missed)
    }
}

/// Returns the tokens of memory that a request holds on average while it runs, besides the cached
/// prefix: the rest of its prompt, and half of what it may generate.
pub fn memory_tokens(generation: &Generation, cached_tokens: u32) -> u32 {
    let uncached = generation.prompt_tokens.saturating_sub(cached_tokens);
    uncached.saturating_add(generation.output_tokens / 2)
}

/// A request whose prefix is weighed.
#[derive(Debug, Clone, Copy)]
pub struct PrefixRequest<'a> {
    /// The generation that is asked for.
    pub generation: &'a Generation,
    /// The keys of the prefixes of its prompt.
    pub keys: &'a PrefixKeys,
    /// The rank of the request.
    pub rank: u8,
    /// The capacity of the KV cache of each server, in tokens.
    pub cache_tokens: u64,
}

/// Returns the expected value of the prefix at a server with this load.
pub fn weigh_prefix(
    server: &BackendServer,
    load: &ServerLoad,
    request: &PrefixRequest<'_>,
    index: &PrefixCacheIndex,
    speeds: &SpeedEstimates,
    now: Instant,
) -> PrefixValue {
    let generation = request.generation;
    let memory = ServerMemory {
        capacity: request.cache_tokens,
        in_use: *load,
        request_time: index.request_time(),
    };
    let uses = index.part_uses(&server.id, server.incarnation, request.keys, now);
    let held_tokens = memory.held_tokens(&uses).min(generation.prompt_tokens);
    let memory_tokens = memory_tokens(generation, held_tokens).min(memory.capacity_u32());
    let needed = f64::from(memory_tokens);
    let wait_ms = memory.wait_ms(needed, request.rank);
    let preempted = memory.preempted_tokens(needed, request.rank);
    let displaced = displaced_tokens(server, &memory, needed, index, now);
    PrefixValue {
        recorded_tokens: uses.iter().fold(0, |sum, part| u32::saturating_add(sum, part.tokens)),
        held_tokens,
        age: uses.last().map(|part| part.age),
        memory_tokens,
        memory_wait_ms: wait_ms,
        preemption_ms: speeds.prefill_ms(&generation.model, preempted as u32),
        displaced_ms: speeds.prefill_ms(&generation.model, (displaced * DISPLACED_SHARE) as u32),
    }
}

/// Returns the tokens of prefixes in use that are expected to be evicted when a request takes this
/// many tokens of memory, each weighted with the probability that it is used again.
fn displaced_tokens(
    server: &BackendServer,
    memory: &ServerMemory,
    needed_tokens: f64,
    index: &PrefixCacheIndex,
    now: Instant,
) -> f64 {
    let recorded = index.recorded_tokens(&server.id, server.incarnation) as f64;
    let used = recorded + memory.in_use.total_tokens() + needed_tokens;
    if used <= memory.capacity as f64 * (1.0 - UNCERTAIN_SHARE) {
        return 0.0;
    }
    let mut displaced = 0.0;
    for part in index.least_recent_uses(&server.id, server.incarnation, now) {
        let with_request = memory.retention_with(&part, needed_tokens);
        if with_request >= 1.0 {
            break;
        }
        let lost = memory.retention_with(&part, 0.0) - with_request;
        displaced += lost * part.reuse * f64::from(part.tokens);
    }
    displaced
}

impl ServerLoad {
    /// Returns the tokens in use by running requests of all ranks.
    pub fn total_tokens(&self) -> f64 {
        self.tokens.iter().map(|tokens| f64::from(*tokens)).sum()
    }

    /// Returns the tokens in use by running requests that are not less urgent than this rank.
    pub fn tokens_ahead(&self, rank: u8) -> f64 {
        self.tokens[..=rank_index(rank)].iter().map(|tokens| f64::from(*tokens)).sum()
    }
}
