//! Chooses the server for a request by the expected time to its first token.
//!
//! Load pattern: bursts of long prompts with common prefixes. The choice weighs the prefill time
//! that is already queued at each server, by rank and over all nodes, against the time that a
//! cached prefix saves and the cost of a distant server.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::Name;
use crate::node::health::HealthTracker;
use crate::node::load::{LoadTracker, ServerLoad};
use crate::node::prefix::PrefixCacheIndex;
use crate::node::prefix_value::{
    PrefixRequest, PrefixValue, ServerMemory, memory_tokens, weigh_prefix,
};
use crate::node::registry::BackendServer;
use crate::node::request::{Generation, PrefixKeys};

/// The prefill time per token before any measurement: that of a mid-size model on a current
/// accelerator.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 0.02;

/// The service time of a service without model engines before any measurement.
const INITIAL_SERVICE_MS: f64 = 20.0;

/// The time from one token of a stream to the next before any measurement, in milliseconds: that of
/// a mid-size model in a moderate batch.
const INITIAL_DECODE_MS_PER_TOKEN: f64 = 6.0;

/// The share of a server's slots that generate at once when the server is well used. With fuller
/// batches each step takes longer, and streams pause.
const WELL_USED_SHARE: f64 = 0.75;

/// The weight of the newest sample in the running averages of speed.
const NEWEST_WEIGHT: f64 = 0.1;

/// The expected wait for each request that runs at a server, as each one lengthens every step of
/// the batch.
const MS_PER_RUNNING_REQUEST: f64 = 0.5;

/// The cost of a batch that fills all slots of a server, in milliseconds; that of a smaller batch
/// falls with its square. Each request of a large batch prolongs the pauses of all its streams.
const FULL_BATCH_COST_MS: f64 = 60.0;

/// The cost of a failure rate of 1, in milliseconds. Lower rates cost proportionally less. A
/// failing server thereby gets few requests.
const FAILURE_RATE_COST_MS: f64 = 3_000.0;

/// The expected time to the first token, in milliseconds, below which the measured time says
/// nothing about the speed.
const MIN_MEASURED_MS: f64 = 5.0;

/// The time that copying another server's cached prefix has to save, in milliseconds. A copy
/// occupies the links of two servers, which is not worth it for a short prefill.
const MIN_COPY_SAVING_MS: f64 = 50.0;

/// The costs of distance and missing adapters, which are added to the expected time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectionCosts {
    /// The cost of a server in another failure domain of the region, in milliseconds.
    pub other_domain_ms: f64,
    /// The cost of a server in another region, in milliseconds.
    pub other_region_ms: f64,
    /// The cost of each order that is needed before the adapter is loaded, in milliseconds.
    pub adapter_load_ms: f64,
    /// The cost of a server without an open connection, in milliseconds.
    pub new_connection_ms: f64,
}

impl Default for SelectionCosts {
    fn default() -> Self {
        Self {
            other_domain_ms: 8.0,
            other_region_ms: 90.0,
            adapter_load_ms: 20.0,
            new_connection_ms: 8.0,
        }
    }
}

/// The distance of a server from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    SameDomain,
    /// In another failure domain of the region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Running averages of the speed of models, servers and services.
#[derive(Debug, Clone, Default)]
pub struct SpeedEstimates {
    /// Prefill time per token in milliseconds, by model.
    prefill_ms_per_token: HashMap<Name, f64>,
    /// The time in which a stream generates, for each token that it may generate at most, in
    /// milliseconds by model. Streams that end early make it shorter than the time of a token.
    decode_ms_per_token: HashMap<Name, f64>,
    /// The factor by which a server is slower than the others, by server.
    slowness: HashMap<Name, f64>,
    /// Service time in milliseconds, by service without model engines.
    service_ms: HashMap<Name, f64>,
}

impl SpeedEstimates {
    /// Returns the expected prefill time of this many tokens, in milliseconds.
    pub fn prefill_ms(&self, model: &str, tokens: u32) -> f64 {
        let per_token =
            self.prefill_ms_per_token.get(model).copied().unwrap_or(INITIAL_PREFILL_MS_PER_TOKEN);
        per_token * f64::from(tokens)
    }

    /// Returns the part of the time of a server with `slots` slots that it takes to generate up to
    /// `tokens` tokens, in milliseconds. The requests of a batch share the server's time.
    pub fn decode_work_ms(&self, model: &str, tokens: u32, slots: u32) -> f64 {
        let per_token =
            self.decode_ms_per_token.get(model).copied().unwrap_or(INITIAL_DECODE_MS_PER_TOKEN);
        per_token * f64::from(tokens) / (f64::from(slots) * WELL_USED_SHARE).max(1.0)
    }

    /// Returns the time from the first token of a stream to its last one, where it is allowed `tokens`
    /// tokens.
    pub fn stream_time(&self, model: &str, tokens: u32) -> Duration {
        let per_token =
            self.decode_ms_per_token.get(model).copied().unwrap_or(INITIAL_DECODE_MS_PER_TOKEN);
        Duration::from_secs_f64((per_token * f64::from(tokens) / 1e3).max(0.0))
    }

    /// Updates the averages with the time that a stream took from its first token to its last one,
    /// where it was allowed `tokens` tokens.
    pub fn record_decode(&mut self, model: &Name, tokens: u32, took: Duration) {
        let sample = took.as_secs_f64() * 1e3 / f64::from(tokens.max(1));
        let average =
            self.decode_ms_per_token.entry(model.clone()).or_insert(INITIAL_DECODE_MS_PER_TOKEN);
        *average += (sample.min(*average * 4.0) - *average) * NEWEST_WEIGHT;
    }

    /// Returns the factor by which the server is slower than the others.
    pub fn slowness(&self, server: &str) -> f64 {
        self.slowness.get(server).copied().unwrap_or(1.0)
    }

    /// Returns the average service time of a service without model engines, in milliseconds.
    pub fn service_ms(&self, service: &str) -> f64 {
        self.service_ms.get(service).copied().unwrap_or(INITIAL_SERVICE_MS)
    }

    /// Updates the averages with the time to a first token, compared to the expected time.
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
        // What the slowness of the server explains says nothing about the model.
        let model_ratio = ratio / *slowness;
        *slowness += (ratio.max(1.0) - *slowness) * NEWEST_WEIGHT;
        let per_token =
            self.prefill_ms_per_token.entry(model.clone()).or_insert(INITIAL_PREFILL_MS_PER_TOKEN);
        *per_token *= 1.0 + (model_ratio.clamp(0.5, 2.0) - 1.0) * NEWEST_WEIGHT;
        *per_token = per_token.clamp(0.002, 1.0);
    }

    /// Updates the averages with the response time of a service without model engines.
    pub fn record_service_time(&mut self, server: &Name, service: &Name, took: Duration) {
        let took_ms = took.as_secs_f64() * 1e3;
        let average = self.service_ms.entry(service.clone()).or_insert(INITIAL_SERVICE_MS);
        let ratio = (took_ms / *average).clamp(0.2, 10.0);
        *average += (took_ms.min(*average * 4.0) - *average) * NEWEST_WEIGHT;
        let slowness = self.slowness.entry(server.clone()).or_insert(1.0);
        *slowness += (ratio.max(1.0) - *slowness) * NEWEST_WEIGHT;
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.slowness.retain(|server, _| keep(server));
    }
}

/// What is known of the servers when one is chosen.
#[derive(Debug, Clone, Copy)]
pub struct SelectionContext<'a> {
    /// The load of each server.
    pub loads: &'a LoadTracker,
    /// The prefixes that each server has probably cached.
    pub prefixes: &'a PrefixCacheIndex,
    /// The health of each server.
    pub health: &'a HealthTracker,
    /// The speed of models, servers and services.
    pub speeds: &'a SpeedEstimates,
    /// The costs of distance and missing adapters.
    pub costs: SelectionCosts,
    /// The current time.
    pub now: Instant,
}

/// The request that a server is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// The generation that is asked for, where the request is for a model.
    pub generation: Option<&'a Generation>,
    /// The keys of the prefixes of its prompt.
    pub keys: &'a PrefixKeys,
    /// The name of the service.
    pub service: &'a str,
    /// The rank of the request.
    pub rank: u8,
    /// The time to copy one cached token from another server, in milliseconds; `None` if
    /// the engines cannot copy.
    pub copy_ms_per_token: Option<f64>,
    /// The capacity of the KV cache of each server in tokens, where the retention of prefixes is
    /// weighed; `None` if each recorded prefix counts as cached.
    pub cache_tokens: Option<u64>,
}

/// A server that may be chosen for the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server's entry in the registry.
    pub server: &'a BackendServer,
    /// The distance of the server.
    pub distance: Distance,
    /// The number of orders that are needed before the adapter is loaded: none, a load, or an
    /// unload and a load.
    pub adapter_orders: u8,
    /// Whether this node has an open connection to the server that is not in use.
    pub is_connected: bool,
}

/// The parts of a candidate's cost besides those in [`PrefixValue`], in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CostParts {
    /// The prefill of the request itself with the copying of its prefix, or its service time.
    pub service_ms: f64,
    /// The wait behind other requests, for a slot and for memory.
    pub wait_ms: f64,
    /// The factor by which both are longer at this server.
    pub slowness: f64,
    /// The cost of the distance.
    pub distance_ms: f64,
    /// The cost of loading the adapter.
    pub adapter_ms: f64,
    /// The cost of the server's failures.
    pub failures_ms: f64,
    /// The cost of a larger batch.
    pub batch_ms: f64,
    /// The cost of a new connection.
    pub connection_ms: f64,
}

/// A candidate with its estimates.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The candidate that the estimates are for.
    pub candidate: Candidate<'a>,
    /// The prefill time of the request itself at the server, in milliseconds.
    pub prefill_ms: f32,
    /// The server from which the candidate first copies the cached prefix of the prompt.
    pub copy_from: Option<&'a BackendServer>,
    /// The expected time to the first token, or to the response of a service without model engines.
    pub expected_latency: Duration,
    /// The time that the cached prefix is expected to save at the server, in milliseconds.
    pub saving_ms: f32,
    /// What the prefix is worth at the server, and what its memory costs.
    pub prefix: PrefixValue,
    /// What the cost consists of.
    pub parts: CostParts,
    /// The expected time with all costs added, by which candidates are compared, in milliseconds.
    pub cost_ms: f64,
}

/// The longest prefix of the prompt that any candidate has cached.
#[derive(Debug, Clone, Copy)]
struct LongestCachedPrefix<'a> {
    server: &'a BackendServer,
    tokens: u32,
}

/// The longest cached prefix of each software version: what one has cached is of no use to another.
type LongestPrefixes<'a> = SmallVec<[LongestCachedPrefix<'a>; 2]>;

/// Returns the estimates for a candidate, which may copy the longest prefix that is cached at a server
/// with the same software.
fn estimate<'a>(
    candidate: Candidate<'a>,
    longest: &[LongestCachedPrefix<'a>],
    request: &SelectionRequest<'_>,
    cx: &SelectionContext<'_>,
) -> Choice<'a> {
    let server = candidate.server;
    let load = cx.loads.total(&server.id);
    let slowness = cx.speeds.slowness(&server.id);
    let mut copy_from = None;
    let prefix = prefix_value(server, &load, request, cx);
    let (service_ms, wait_ms) = match request.generation {
        Some(generation) => {
            let cached = prefix.held_tokens;
            let prefill = |cached| {
                let uncached = generation.prompt_tokens.saturating_sub(cached);
                cx.speeds.prefill_ms(&generation.model, uncached)
            };
            let mut prefill_ms = prefill(cached);
            let longest = longest.iter().find(|longest| longest.server.software == server.software);
            if let (Some(longest), Some(ms_per_token)) = (longest, request.copy_ms_per_token) {
                let copied = longest.tokens.saturating_sub(cached);
                let with_copy = prefill(longest.tokens) + ms_per_token * f64::from(copied);
                if prefill_ms - with_copy >= MIN_COPY_SAVING_MS {
                    prefill_ms = with_copy;
                    copy_from = Some(longest.server);
                }
            }
            let ahead_ms = f64::from(load.prefill_ahead_ms(request.rank));
            (
                prefill_ms,
                ahead_ms
                    + MS_PER_RUNNING_REQUEST * f64::from(load.running)
                    + slot_wait_ms(server, load.running)
                    + prefix.memory_wait_ms,
            )
        }
        None => {
            let service_ms = cx.speeds.service_ms(request.service);
            (service_ms, service_ms * f64::from(load.running) / f64::from(server.slots.max(1)))
        }
    };
    let expected_ms = (service_ms + wait_ms) * slowness;
    let distance_ms = match candidate.distance {
        Distance::SameDomain => 0.0,
        Distance::SameRegion => cx.costs.other_domain_ms,
        Distance::OtherRegion => cx.costs.other_region_ms,
    };
    let adapter_ms = cx.costs.adapter_load_ms * f64::from(candidate.adapter_orders);
    let failures_ms = cx.health.failure_rate(&server.id) * FAILURE_RATE_COST_MS;
    let total_ms = expected_ms + distance_ms + adapter_ms;
    let connection_ms = if candidate.is_connected { 0.0 } else { cx.costs.new_connection_ms };
    let batch_ms = request.generation.map_or(0.0, |_| batch_cost_ms(server, load.running));
    Choice {
        candidate,
        prefill_ms: (service_ms * slowness) as f32,
        copy_from,
        expected_latency: Duration::from_secs_f64(total_ms / 1e3),
        saving_ms: saving_ms(request, &prefix, slowness, cx),
        prefix,
        parts: CostParts {
            service_ms,
            wait_ms,
            slowness,
            distance_ms,
            adapter_ms,
            failures_ms,
            batch_ms,
            connection_ms,
        },
        cost_ms: total_ms
            + failures_ms
            + batch_ms
            + connection_ms
            + prefix.preemption_ms
            + prefix.displaced_ms,
    }
}

/// Returns what the prefix is worth at a server. Where its retention is not weighed, all that was
/// recorded counts as held, and memory costs nothing.
fn prefix_value(
    server: &BackendServer,
    load: &ServerLoad,
    request: &SelectionRequest<'_>,
    cx: &SelectionContext<'_>,
) -> PrefixValue {
    let (Some(generation), Some(cache_tokens)) = (request.generation, request.cache_tokens) else {
        let recorded = cx.prefixes.cached_tokens(&server.id, server.incarnation, request.keys);
        return PrefixValue {
            recorded_tokens: recorded,
            held_tokens: recorded,
            memory_tokens: request
                .generation
                .map_or(0, |generation| memory_tokens(generation, recorded)),
            ..PrefixValue::default()
        };
    };
    let request =
        PrefixRequest { generation, keys: request.keys, rank: request.rank, cache_tokens };
    weigh_prefix(server, load, &request, cx.prefixes, cx.speeds, cx.now)
}

/// Returns how many of the prompt's first tokens the server is expected to have cached.
fn held_tokens(
    server: &BackendServer,
    request: &SelectionRequest<'_>,
    cx: &SelectionContext<'_>,
) -> u32 {
    let Some(capacity) = request.cache_tokens else {
        return cx.prefixes.cached_tokens(&server.id, server.incarnation, request.keys);
    };
    let in_use = cx.loads.total(&server.id);
    let memory = ServerMemory { capacity, in_use, request_time: cx.prefixes.request_time() };
    let uses = cx.prefixes.part_uses(&server.id, server.incarnation, request.keys, cx.now);
    memory.held_tokens(&uses)
}

/// Returns the time that the held prefix saves at a server, in milliseconds.
fn saving_ms(
    request: &SelectionRequest<'_>,
    prefix: &PrefixValue,
    slowness: f64,
    cx: &SelectionContext<'_>,
) -> f32 {
    request.generation.map_or(0.0, |generation| {
        let saved = prefix.held_tokens.min(generation.prompt_tokens);
        (cx.speeds.prefill_ms(&generation.model, saved) * slowness) as f32
    })
}

/// Returns the candidate with the least cost; paused ones come after all others.
pub fn choose_server<'a>(
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    request: &SelectionRequest<'_>,
    cx: &SelectionContext<'_>,
) -> Option<Choice<'a>> {
    let longest = longest_cached_prefixes(candidates.clone(), request, cx);
    candidates
        .map(|candidate| estimate(candidate, &longest, request, cx))
        .min_by(|a, b| compare_choices(a, b, cx))
}

/// Returns all candidates in the order in which [`choose_server`] prefers them.
pub fn rank_candidates<'a>(
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    request: &SelectionRequest<'_>,
    cx: &SelectionContext<'_>,
) -> Vec<Choice<'a>> {
    let longest = longest_cached_prefixes(candidates.clone(), request, cx);
    let mut choices: Vec<Choice<'a>> =
        candidates.map(|candidate| estimate(candidate, &longest, request, cx)).collect();
    choices.sort_by(|a, b| compare_choices(a, b, cx));
    choices
}

fn compare_choices(a: &Choice<'_>, b: &Choice<'_>, cx: &SelectionContext<'_>) -> Ordering {
    let key = |choice: &Choice<'_>| {
        let paused = cx.health.is_paused(&choice.candidate.server.id, cx.now);
        (paused, choice.cost_ms)
    };
    key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal)
}

/// Returns the candidates with the longest cached prefix of the prompt, where engines can copy it.
fn longest_cached_prefixes<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    request: &SelectionRequest<'_>,
    cx: &SelectionContext<'_>,
) -> LongestPrefixes<'a> {
    let mut longest = LongestPrefixes::new();
    if request.copy_ms_per_token.is_none() {
        return longest;
    }
    for Candidate { server, .. } in candidates.filter(|candidate| candidate.adapter_orders == 0) {
        let prefix = LongestCachedPrefix { server, tokens: held_tokens(server, request, cx) };
        match longest.iter_mut().find(|known| known.server.software == server.software) {
            Some(known) if known.tokens <= prefix.tokens => *known = prefix,
            Some(_) => {}
            None => longest.push(prefix),
        }
    }
    longest
}

fn batch_cost_ms(server: &BackendServer, running: u32) -> f64 {
    let used = f64::from(running) / f64::from(server.slots.max(1));
    FULL_BATCH_COST_MS * used * used
}

/// Returns the expected wait for a free slot, in milliseconds. A server without a free slot starts
/// no request until another one ends.
fn slot_wait_ms(server: &BackendServer, running: u32) -> f64 {
    /// The time for a slot of a full batch to become free.
    const SLOT_WAIT_MS: f64 = 20.0;
    f64::from((running + 1).saturating_sub(server.slots)) * SLOT_WAIT_MS
}
