//! The state that one entry keeps of one server.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::limit::ConcurrencyLimit;
use super::{DispatchConfig, Request};
use crate::Name;
use crate::rank::Rank;

/// The weight of a new sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The time constant with which the recorded slot usage of the ranks decays.
const USAGE_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// The multiple of the mean time to the first token within which most first tokens arrive.
const FIRST_TOKEN_MARGIN: f64 = 1.5;

/// The number of standard deviations of a more urgent rank's slot usage that is kept free for it on
/// top of the mean.
const RESERVE_DEVIATIONS: f64 = 1.5;

/// The longest wait in an engine's own queue at which the engine does not count as overloaded.
const MAX_ENGINE_WAIT: Duration = Duration::from_millis(60);

/// The age at which a load report is no longer taken into account.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// A backend server as listed in the replicated fleet state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerInfo {
    /// The name of the server.
    pub name: Name,
    /// The region of the server.
    pub region: Name,
    /// The models, adapters or services that the server can answer for.
    pub loaded: BTreeSet<Name>,
    /// Whether the server accepts no new requests because it is about to be removed or is marked as
    /// draining or down.
    pub leaving: bool,
}

/// The measurements of one request on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// The time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// The number of prompt tokens, from which the time to the first token on an idle engine is
    /// estimated.
    pub prompt_tokens: u32,
    /// The mean time between two tokens.
    pub between_tokens: Option<Duration>,
    /// The target for the time between two tokens.
    pub between_tokens_target: Duration,
    /// The time from sending the request to its end.
    pub total: Duration,
    /// How the request ended.
    pub end: RequestEnd,
}

/// How a request on a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// The request was not sent or the caller disconnected, which tells nothing about the server.
    Abandoned,
    /// The server answered in full.
    Completed,
    /// The server refused the request, broke off its answer or stopped responding.
    Failed,
}

impl Sample {
    /// Returns the sample of a request that was never sent, which tells nothing about the server.
    pub fn abandoned() -> Self {
        Self::in_progress(0, Duration::MAX)
    }

    /// Returns the sample of a request that has just started, to be filled in as it proceeds.
    pub fn in_progress(prompt_tokens: u32, between_tokens_target: Duration) -> Self {
        Self {
            first_token: None,
            prompt_tokens,
            between_tokens: None,
            between_tokens_target,
            total: Duration::ZERO,
            end: RequestEnd::Abandoned,
        }
    }
}

#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) info: ServerInfo,
    pub(super) limit: ConcurrencyLimit,
    pub(super) suspended_until: Option<Instant>,
    pub(super) is_listed: bool,
    in_flight: [u32; 3],
    in_flight_by_item: HashMap<Name, u32>,
    first_token_seconds: f64,
    total_seconds: [f64; 3],
    usage: Usage,
    load_report: Option<LoadReport>,
}

/// The recent slot usage of each rank in slot seconds, decaying exponentially with time.
#[derive(Debug)]
struct Usage {
    slot_seconds: [f64; 3],
    updated_at: Option<Instant>,
}

impl Usage {
    fn new() -> Self {
        Self { slot_seconds: [0.0; 3], updated_at: None }
    }

    /// Adds the usage since the last update, and decays what was recorded before.
    fn update(&mut self, in_flight: [u32; 3], now: Instant) {
        let last = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        let decay = (-elapsed / USAGE_TIME_CONSTANT.as_secs_f64()).exp();
        for (used, count) in self.slot_seconds.iter_mut().zip(in_flight) {
            *used = *used * decay + f64::from(count) * elapsed;
        }
    }

    /// Returns the mean number of slots that a rank has used recently.
    fn mean(&self, rank: Rank) -> f64 {
        self.slot_seconds[rank.index()] / USAGE_TIME_CONSTANT.as_secs_f64()
    }

    /// Returns the share of all recently used slots that a rank has used.
    fn share(&self, rank: Rank) -> f64 {
        let total: f64 = self.slot_seconds.iter().sum();
        if total > 0.0 { self.slot_seconds[rank.index()] / total } else { 0.0 }
    }
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    waiting: u32,
    running: u32,
    received_at: Instant,
}

impl ServerState {
    pub(super) fn new(info: ServerInfo, cfg: &DispatchConfig) -> Self {
        Self {
            info,
            limit: ConcurrencyLimit::new(cfg.initial_limit, cfg.max_limit),
            suspended_until: None,
            is_listed: true,
            in_flight: [0; 3],
            in_flight_by_item: HashMap::new(),
            first_token_seconds: 0.1,
            total_seconds: [0.5; 3],
            usage: Usage::new(),
            load_report: None,
        }
    }

    pub(super) fn update(&mut self, info: ServerInfo) {
        self.info = info;
        self.is_listed = true;
    }

    pub(super) fn accepts_requests(&self) -> bool {
        self.is_listed && !self.info.leaving
    }

    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.accepts_requests() && self.suspended_until.is_none_or(|until| until <= now)
    }

    pub(super) fn total_in_flight(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    /// Returns whether the table's `max_in_flight` of the item allows another request on this
    /// server.
    pub(super) fn is_below_item_limit(&self, req: &Request) -> bool {
        self.in_flight_by_item.get(&req.item).is_none_or(|count| *count < req.max_in_flight)
    }

    pub(super) fn start(&mut self, req: &Request, now: Instant) {
        self.usage.update(self.in_flight, now);
        self.in_flight[req.rank.index()] += 1;
        *self.in_flight_by_item.entry(req.item.clone()).or_default() += 1;
    }

    pub(super) fn record_load(&mut self, waiting: u32, running: u32, now: Instant) {
        self.load_report = Some(LoadReport { waiting, running, received_at: now });
    }

    /// Records the end of a request; `idle_first_token` is the time to its first token that is
    /// expected of an idle engine.
    pub(super) fn finish(
        &mut self,
        item: &Name,
        rank: Rank,
        sample: &Sample,
        idle_first_token: Duration,
        now: Instant,
    ) {
        if let Some(count) = self.in_flight_by_item.get_mut(item) {
            *count = count.saturating_sub(1);
        }
        self.usage.update(self.in_flight, now);
        let in_use = f64::from(self.total_in_flight()) >= self.limit.value() * 0.8;
        self.in_flight[rank.index()] = self.in_flight[rank.index()].saturating_sub(1);
        if let Some(first_token) = sample.first_token {
            update_average(&mut self.first_token_seconds, first_token);
        }
        if sample.end == RequestEnd::Completed {
            update_average(&mut self.total_seconds[rank.index()], sample.total);
        }
        if sample.end != RequestEnd::Abandoned {
            self.limit.on_sample(target_ratio(sample, idle_first_token), in_use);
        }
    }

    /// Returns the number of slots kept free for ranks more urgent than `rank`: their recent usage
    /// with a margin for its fluctuation, less the slots that they use now.
    fn reserved_slots(&self, rank: Rank) -> f64 {
        let more_urgent = Rank::ALL.into_iter().take_while(|other| *other < rank);
        let reserved_for = |other: Rank| {
            let mean = self.usage.mean(other);
            let expected_peak = mean + RESERVE_DEVIATIONS * mean.sqrt();
            (expected_peak - f64::from(self.in_flight[other.index()])).max(0.0)
        };
        more_urgent.map(reserved_for).sum()
    }

    /// Returns whether a rank uses less than its guaranteed share, now or over the recent past.
    ///
    /// With few slots a share may be less than one slot, which only shows over time.
    fn is_under_guarantee(&self, rank: Rank, shares: &[f64; 3]) -> bool {
        let guaranteed = shares[rank.index()] * self.limit.value();
        let in_flight = f64::from(self.in_flight[rank.index()]);
        in_flight + 1.0 <= guaranteed || self.usage.share(rank) < shares[rank.index()]
    }

    /// Returns whether a request of a rank may start at once, given the number of requests of each
    /// rank that are waiting already.
    pub(super) fn has_room_for(&self, rank: Rank, waiting: [u32; 3], shares: &[f64; 3]) -> bool {
        let mut waiting = waiting;
        waiting[rank.index()] += 1;
        self.next_rank(waiting, shares) == Some(rank) && waiting[rank.index()] == 1
    }

    /// Returns the rank of the next request to start, or `None` if no slot is free for any rank.
    ///
    /// Ranks below their guaranteed share come first, the most urgent of them before the others.
    /// Slots beyond those kept free for more urgent ranks are then lent to any rank, again the most
    /// urgent first.
    pub(super) fn next_rank(&self, waiting: [u32; 3], shares: &[f64; 3]) -> Option<Rank> {
        let free = self.limit.value() - f64::from(self.total_in_flight());
        if free <= 0.0 {
            return None;
        }
        let is_waiting = |rank: &Rank| waiting[rank.index()] > 0;
        let may_use_guarantee =
            |rank: &Rank| is_waiting(rank) && self.is_under_guarantee(*rank, shares);
        let may_borrow = |rank: &Rank| is_waiting(rank) && free > self.reserved_slots(*rank);
        let ranks = || Rank::ALL.into_iter();
        ranks().find(may_use_guarantee).or_else(|| ranks().find(may_borrow))
    }

    /// Estimates the time to the first token of a request started now.
    pub(super) fn expected_first_token(&self, now: Instant) -> Duration {
        let own = f64::from(self.total_in_flight());
        let others = self.load_of_other_entries(now, own);
        let utilization = (own + others) / self.limit.value();
        Duration::from_secs_f64(self.first_token_seconds * (0.5 + utilization))
    }

    /// Estimates the number of requests of other entries from the load report, whose weight
    /// decreases to zero as it ages.
    fn load_of_other_entries(&self, now: Instant, own: f64) -> f64 {
        let Some(report) = self.load_report else { return 0.0 };
        let age = now.saturating_duration_since(report.received_at);
        let report_weight = 1.0 - (age.as_secs_f64() / REPORT_LIFETIME.as_secs_f64()).min(1.0);
        let reported = f64::from(report.waiting * 2 + report.running);
        (reported - own).max(0.0) * report_weight
    }

    /// Estimates the number of slots that become free each second.
    fn slot_release_rate(&self) -> f64 {
        let free = (self.limit.value() - f64::from(self.total_in_flight())).max(0.0);
        let by_rank = self.in_flight.iter().zip(self.total_seconds);
        let ending: f64 =
            by_rank.map(|(count, seconds)| f64::from(*count) / seconds.max(1e-3)).sum();
        ending + free
    }

    /// Estimates the number of waiting requests of a rank that the server starts each second.
    ///
    /// A rank below its guaranteed share gets every slot that becomes free, any other rank only
    /// what it can sustain.
    pub(super) fn start_rate(&self, rank: Rank, shares: &[f64; 3]) -> f64 {
        let sustained = self.sustained_start_rate(rank, shares);
        if self.usage.share(rank) < shares[rank.index()] {
            self.slot_release_rate().max(sustained)
        } else {
            sustained
        }
    }

    fn sustained_start_rate(&self, rank: Rank, shares: &[f64; 3]) -> f64 {
        let limit = self.limit.value();
        let own = f64::from(self.in_flight[rank.index()]);
        let others = f64::from(self.total_in_flight()) - own;
        let used = self.usage.mean(rank);
        let guaranteed = shares[rank.index()] * limit;
        let slots = (limit - others).max(guaranteed).max(used).max(0.5);
        slots / self.total_seconds[rank.index()].max(1e-3)
    }

    /// Returns the time within which most recent requests received their first token.
    pub(super) fn typical_first_token(&self) -> Duration {
        Duration::from_secs_f64(self.first_token_seconds * FIRST_TOKEN_MARGIN)
    }
}

fn update_average(average: &mut f64, sample: Duration) {
    *average += (sample.as_secs_f64() - *average) * SAMPLE_WEIGHT;
}

/// Returns 1 if the server met its targets, 0 if it failed, and otherwise the allowed time divided
/// by the time that it took.
///
/// Requests should queue at the entry, which orders them by rank; a queue in the engine means that
/// it was sent too many requests.
fn target_ratio(sample: &Sample, idle_first_token: Duration) -> f64 {
    if sample.end == RequestEnd::Failed {
        return 0.0;
    }
    let allowed = idle_first_token.saturating_add(MAX_ENGINE_WAIT);
    let first_token = sample.first_token.map_or(1.0, |actual| capped_ratio(allowed, actual));
    let target = sample.between_tokens_target;
    let between_tokens = sample.between_tokens.map_or(1.0, |actual| capped_ratio(target, actual));
    first_token.min(between_tokens)
}

fn capped_ratio(allowed: Duration, actual: Duration) -> f64 {
    if actual <= allowed { 1.0 } else { allowed.as_secs_f64() / actual.as_secs_f64() }
}
