//! Chooses the server for a request by the expected time to its first token.
//!
//! Load pattern: bursts of long prompts that share their beginnings. The choice weighs the prefill
//! that is already under way, by rank and over all nodes, against what a cached prefix saves and
//! what a distant server costs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Name;
use crate::node::health::HealthTracker;
use crate::node::load::LoadTracker;
use crate::node::prefix::PrefixCacheIndex;
use crate::node::registry::BackendServer;
use crate::node::request::{Generation, PrefixKeys};

/// Prefill time a token before anything was measured; a mid-size model on a current accelerator.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.02;

/// Service time of a plain service before anything was measured.
const INITIAL_SERVICE_MS: f64 = 20.0;

/// The weight of the newest sample in running averages of speed.
const NEWEST_WEIGHT: f64 = 0.1;

/// Added for each request that runs at a server: each one lengthens every step of the batch.
const MS_PER_RUNNING: f64 = 0.5;

/// Added for the whole failure rate of a server, so that a failing one gets little work.
const MS_PER_FAILURE_RATE: f64 = 3_000.0;

/// The share of the full prefill below which a first token says nothing about the speed.
const MIN_MEASURED_MS: f64 = 5.0;

/// Prefill that a copy of another server's cache has to save, in milliseconds. A copy occupies the
/// links of two servers, which a short prefill is not worth.
const MIN_SAVED_BY_COPY_MS: f64 = 50.0;

/// What distance and missing adapters add to the expected time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectionCosts {
    /// Added for a server in another failure domain of the region, in milliseconds.
    pub other_domain_ms: f64,
    /// Added for a server in another region, in milliseconds.
    pub other_region_ms: f64,
    /// Added where the adapter has to be loaded first, in milliseconds.
    pub adapter_load_ms: f64,
}

impl Default for SelectionCosts {
    fn default() -> Self {
        Self { other_domain_ms: 8.0, other_region_ms: 90.0, adapter_load_ms: 20.0 }
    }
}

/// How far a server is from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Running averages of how fast models and servers work.
#[derive(Debug, Clone, Default)]
pub struct SpeedEstimates {
    models: HashMap<Name, f64>,
    slowness: HashMap<Name, f64>,
    services: HashMap<Name, f64>,
}

impl SpeedEstimates {
    /// Returns the expected prefill time of this many tokens in milliseconds.
    pub fn prefill_ms(&self, model: &str, tokens: u32) -> f64 {
        let per_token = self.models.get(model).copied().unwrap_or(INITIAL_PREFILL_MS_PER_TOKEN);
        per_token * f64::from(tokens)
    }

    /// Returns by how much the server is slower than the others.
    pub fn slowness(&self, server: &str) -> f64 {
        self.slowness.get(server).copied().unwrap_or(1.0)
    }

    /// Returns the running service time of a plain service in milliseconds.
    pub fn service_ms(&self, service: &str) -> f64 {
        self.services.get(service).copied().unwrap_or(INITIAL_SERVICE_MS)
    }

    /// Takes the time to a first token, against the prefill that was expected to precede it.
    pub fn record_first_token(
        &mut self,
        server: &Name,
        model: &Name,
        expected_ms: f64,
        took: Duration,
    ) {
        if expected_ms < MIN_MEASURED_MS {
            return;
        }
        let ratio = (took.as_secs_f64() * 1e3 / expected_ms).clamp(0.1, 10.0);
        let slowness = self.slowness.entry(server.clone()).or_insert(1.0);
        // Where the server is slow as a whole, the model is not to blame.
        let model_ratio = ratio / *slowness;
        *slowness += (ratio.max(1.0) - *slowness) * NEWEST_WEIGHT;
        let per_token = self.models.entry(model.clone()).or_insert(INITIAL_PREFILL_MS_PER_TOKEN);
        *per_token *= 1.0 + (model_ratio.clamp(0.5, 2.0) - 1.0) * NEWEST_WEIGHT;
        *per_token = per_token.clamp(0.002, 1.0);
    }

    /// Takes the time of an answer of a plain service.
    pub fn record_service_time(&mut self, server: &Name, service: &Name, took: Duration) {
        let took_ms = took.as_secs_f64() * 1e3;
        let average = self.services.entry(service.clone()).or_insert(INITIAL_SERVICE_MS);
        let ratio = (took_ms / *average).clamp(0.2, 10.0);
        *average += (took_ms.min(*average * 4.0) - *average) * NEWEST_WEIGHT;
        let slowness = self.slowness.entry(server.clone()).or_insert(1.0);
        *slowness += (ratio.max(1.0) - *slowness) * NEWEST_WEIGHT;
    }

    /// Forgets the servers that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.slowness.retain(|server, _| keep(server));
    }
}

/// What is known when a server is chosen.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// What runs where.
    pub loads: &'a LoadTracker,
    /// Which prefixes are cached where.
    pub prefixes: &'a PrefixCacheIndex,
    /// How far each server is trusted.
    pub health: &'a HealthTracker,
    /// How fast models and servers are.
    pub speeds: &'a SpeedEstimates,
    /// What distance costs.
    pub costs: SelectionCosts,
    /// The present time.
    pub now: Instant,
}

/// What a choice was made for.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// The model request, if one is asked.
    pub generation: Option<&'a Generation>,
    /// The keys of its prompt.
    pub keys: &'a PrefixKeys,
    /// The service.
    pub service: &'a str,
    /// The rank of the request.
    pub rank: u8,
    /// Milliseconds that engines take to copy one cached token from another, where they can.
    pub copy_ms_per_token: Option<f64>,
}

/// A server that may take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a BackendServer,
    /// How far it is.
    pub distance: Distance,
    /// Orders that it takes until the adapter is there: none, a load, or an unload and a load.
    pub adapter_orders: u8,
}

/// A candidate with what is expected of it.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The candidate.
    pub candidate: Candidate<'a>,
    /// Milliseconds of prefill that the request itself needs there.
    pub prefill_ms: f32,
    /// The server from which the candidate copies the beginning of the prompt first.
    pub copy_from: Option<&'a BackendServer>,
    /// The expected time to the first token, or to the answer.
    pub expected_latency: Duration,
    /// Expected time with the costs of distance, by which candidates are compared.
    pub cost_ms: f64,
}

/// The most that a server has cached of a prompt.
#[derive(Debug, Clone, Copy)]
struct LongestCache<'a> {
    server: &'a BackendServer,
    tokens: u32,
}

/// Returns what is expected of a candidate, which may copy from the longest cache.
fn assess<'a>(
    candidate: Candidate<'a>,
    longest: Option<LongestCache<'a>>,
    demanded: &SelectionRequest<'_>,
    cx: &SelectionContext<'_>,
) -> Choice<'a> {
    let server = candidate.server;
    let load = cx.loads.total(&server.id);
    let slowness = cx.speeds.slowness(&server.id);
    let mut copy_from = None;
    let (own_ms, wait_ms) = match demanded.generation {
        Some(generation) => {
            let cached = cx.prefixes.cached_tokens(&server.id, server.incarnation, demanded.keys);
            let prefill = |cached| {
                let uncached = generation.prompt_tokens.saturating_sub(cached);
                cx.speeds.prefill_ms(&generation.model, uncached)
            };
            let mut own = prefill(cached);
            if let (Some(longest), Some(ms_per_token)) = (longest, demanded.copy_ms_per_token) {
                let copied = longest.tokens.saturating_sub(cached);
                let with_copy = prefill(longest.tokens) + ms_per_token * f64::from(copied);
                if own - with_copy >= MIN_SAVED_BY_COPY_MS {
                    own = with_copy;
                    copy_from = Some(longest.server);
                }
            }
            let ahead = f64::from(load.prefill_ahead_ms(demanded.rank));
            (
                own,
                ahead + MS_PER_RUNNING * f64::from(load.running) + full_wait(server, load.running),
            )
        }
        None => {
            let own = cx.speeds.service_ms(demanded.service);
            (own, own * f64::from(load.running) / f64::from(server.slots.max(1)))
        }
    };
    let expected_ms = (own_ms + wait_ms) * slowness;
    let distance_ms = match candidate.distance {
        Distance::SameDomain => 0.0,
        Distance::SameRegion => cx.costs.other_domain_ms,
        Distance::OtherRegion => cx.costs.other_region_ms,
    };
    let adapter_ms = cx.costs.adapter_load_ms * f64::from(candidate.adapter_orders);
    let failures_ms = cx.health.failure_rate(&server.id) * MS_PER_FAILURE_RATE;
    let total_ms = expected_ms + distance_ms + adapter_ms;
    Choice {
        candidate,
        prefill_ms: (own_ms * slowness) as f32,
        copy_from,
        expected_latency: Duration::from_secs_f64(total_ms / 1e3),
        cost_ms: total_ms + failures_ms,
    }
}

/// Returns the best candidate; one that is paused comes last.
pub fn choose_server<'a>(
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    demanded: &SelectionRequest<'_>,
    cx: &SelectionContext<'_>,
) -> Option<Choice<'a>> {
    let key = |choice: &Choice<'_>| {
        let paused = cx.health.is_paused(&choice.candidate.server.id, cx.now);
        (paused, choice.cost_ms)
    };
    let longest = longest_cache(candidates.clone(), demanded, cx);
    candidates
        .map(|candidate| assess(candidate, longest, demanded, cx))
        .min_by(|a, b| key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal))
}

/// Returns the candidate with the most of the prompt in its cache, where caches can be copied.
fn longest_cache<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    demanded: &SelectionRequest<'_>,
    cx: &SelectionContext<'_>,
) -> Option<LongestCache<'a>> {
    demanded.copy_ms_per_token?;
    candidates
        .filter(|candidate| candidate.adapter_orders == 0)
        .map(|Candidate { server, .. }| LongestCache {
            server,
            tokens: cx.prefixes.cached_tokens(&server.id, server.incarnation, demanded.keys),
        })
        .max_by_key(|cache| cache.tokens)
}

/// A server whose slots are all taken starts nothing until one of them ends.
fn full_wait(server: &BackendServer, running: u32) -> f64 {
    /// Time for a slot of a full batch to become free.
    const SLOT_WAIT_MS: f64 = 20.0;
    f64::from((running + 1).saturating_sub(server.slots)) * SLOT_WAIT_MS
}
