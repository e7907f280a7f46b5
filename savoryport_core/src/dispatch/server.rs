//! What one entry knows of one server.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::limit::ConcurrencyLimit;
use super::{DispatchConfig, Request};
use crate::Name;
use crate::rank::Rank;

/// The weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The time constant of what is remembered of the ranks' use of a server.
const USAGE_MEMORY: Duration = Duration::from_secs(10);

/// How much longer than the mean most first tokens take at the most.
const FIRST_TOKEN_MARGIN: f64 = 1.5;

/// Standard deviations of a more urgent rank's use that are kept free for it.
const RESERVE_DEVIATIONS: f64 = 1.5;

/// The wait in an engine's own queue from which the engine counts as crowded.
const ENGINE_WAIT: Duration = Duration::from_millis(60);

/// How long a report of load is believed.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// A server as the replica lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerInfo {
    /// Its name.
    pub name: Name,
    /// Its region.
    pub region: Name,
    /// Models and adapters that answer there.
    pub loaded: BTreeSet<Name>,
    /// Whether it is about to go and takes no new work.
    pub leaving: bool,
}

/// What one finished request told about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// From the hand-over to the first token.
    pub first_token: Option<Duration>,
    /// Tokens of the prompt, by which the time on an idle engine is known.
    pub prompt_tokens: u32,
    /// The mean time between tokens.
    pub between_tokens: Option<Duration>,
    /// The target for that.
    pub between_tokens_target: Duration,
    /// From the hand-over to the end.
    pub total: Duration,
    /// How it ended.
    pub end: RequestEnd,
}

/// How a request on a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// Nothing was asked of the server, or the caller left.
    Abandoned,
    /// The server answered whole.
    Completed,
    /// The server refused, broke off or fell silent.
    Failed,
}

impl Sample {
    /// A slot that was given back before anything was sent: it tells nothing about the server.
    pub fn abandoned() -> Self {
        Self::in_progress(0, Duration::MAX)
    }

    /// A request that is under way.
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
pub(super) struct ServerView {
    pub(super) info: ServerInfo,
    pub(super) limit: ConcurrencyLimit,
    pub(super) suspended_until: Option<Instant>,
    pub(super) is_listed: bool,
    in_flight: [u32; 3],
    in_flight_by_item: HashMap<Name, u32>,
    first_token_seconds: f64,
    total_seconds: [f64; 3],
    usage: Usage,
    reported: Option<Report>,
}

/// How much of the server each rank has used lately, in slot seconds, fading with time.
#[derive(Debug)]
struct Usage {
    slot_seconds: [f64; 3],
    faded_at: Option<Instant>,
}

impl Usage {
    fn new() -> Self {
        Self { slot_seconds: [0.0; 3], faded_at: None }
    }

    /// Adds the time since the last change, and fades what lies further back.
    fn advance(&mut self, in_flight: [u32; 3], now: Instant) {
        let last = self.faded_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        let kept = (-elapsed / USAGE_MEMORY.as_secs_f64()).exp();
        for (used, count) in self.slot_seconds.iter_mut().zip(in_flight) {
            *used = *used * kept + f64::from(count) * elapsed;
        }
    }

    /// Returns the mean number of slots that a rank has used lately.
    fn mean(&self, rank: Rank) -> f64 {
        self.slot_seconds[rank.index()] / USAGE_MEMORY.as_secs_f64()
    }

    fn share(&self, rank: Rank) -> f64 {
        let total: f64 = self.slot_seconds.iter().sum();
        if total > 0.0 { self.slot_seconds[rank.index()] / total } else { 0.0 }
    }
}

#[derive(Debug, Clone, Copy)]
struct Report {
    waiting: u32,
    running: u32,
    at: Instant,
}

impl ServerView {
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
            reported: None,
        }
    }

    pub(super) fn update(&mut self, info: ServerInfo) {
        self.info = info;
        self.is_listed = true;
    }

    pub(super) fn takes_work(&self) -> bool {
        self.is_listed && !self.info.leaving
    }

    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.takes_work() && self.suspended_until.is_none_or(|until| until <= now)
    }

    pub(super) fn total(&self) -> u32 {
        self.in_flight.iter().sum()
    }

    /// Returns whether the table's limit for the model allows another request here.
    pub(super) fn may_take(&self, req: &Request) -> bool {
        self.in_flight_by_item.get(&req.item).is_none_or(|count| *count < req.max_in_flight)
    }

    pub(super) fn start(&mut self, req: &Request, now: Instant) {
        self.usage.advance(self.in_flight, now);
        self.in_flight[req.rank.index()] += 1;
        *self.in_flight_by_item.entry(req.item.clone()).or_default() += 1;
    }

    pub(super) fn report(&mut self, waiting: u32, running: u32, now: Instant) {
        self.reported = Some(Report { waiting, running, at: now });
    }

    /// Takes the end of a request; `idle` is the time to its first token on an idle engine.
    pub(super) fn finish(
        &mut self,
        item: &Name,
        rank: Rank,
        sample: &Sample,
        idle: Duration,
        now: Instant,
    ) {
        if let Some(count) = self.in_flight_by_item.get_mut(item) {
            *count = count.saturating_sub(1);
        }
        self.usage.advance(self.in_flight, now);
        let in_use = f64::from(self.total()) >= self.limit.value() * 0.8;
        self.in_flight[rank.index()] = self.in_flight[rank.index()].saturating_sub(1);
        if let Some(first_token) = sample.first_token {
            blend(&mut self.first_token_seconds, first_token);
        }
        if sample.end == RequestEnd::Completed {
            blend(&mut self.total_seconds[rank.index()], sample.total);
        }
        if sample.end != RequestEnd::Abandoned {
            self.limit.on_sample(pace(sample, idle), in_use);
        }
    }

    /// Returns the slots kept free for ranks more urgent than `rank`: what they used lately, with
    /// room for its fluctuation, less what they use now.
    fn reserve(&self, rank: Rank) -> f64 {
        let more_urgent = Rank::ALL.into_iter().take_while(|other| *other < rank);
        let free_for = |other: Rank| {
            let mean = self.usage.mean(other);
            let target = mean + RESERVE_DEVIATIONS * mean.sqrt();
            (target - f64::from(self.in_flight[other.index()])).max(0.0)
        };
        more_urgent.map(free_for).sum()
    }

    /// A rank is below its guarantee where it uses less now, or has used less lately: with few
    /// slots, a share below one of them is only seen over time.
    fn is_under_guarantee(&self, rank: Rank, shares: &[f64; 3]) -> bool {
        let guaranteed = shares[rank.index()] * self.limit.value();
        let in_flight = f64::from(self.in_flight[rank.index()]);
        in_flight + 1.0 <= guaranteed || self.usage.share(rank) < shares[rank.index()]
    }

    /// Returns whether a request of a rank may start although others wait, given by rank.
    pub(super) fn has_room_for(&self, rank: Rank, waiting: [u32; 3], shares: &[f64; 3]) -> bool {
        let mut waiting = waiting;
        waiting[rank.index()] += 1;
        self.next_rank(waiting, shares) == Some(rank) && waiting[rank.index()] == 1
    }

    /// Returns the rank whose turn it is: first those below their guaranteed share, the most
    /// urgent first; then what is unused is lent, again the most urgent first.
    pub(super) fn next_rank(&self, waiting: [u32; 3], shares: &[f64; 3]) -> Option<Rank> {
        let free = self.limit.value() - f64::from(self.total());
        if free <= 0.0 {
            return None;
        }
        let waits = |rank: &Rank| waiting[rank.index()] > 0;
        let guaranteed = |rank: &Rank| waits(rank) && self.is_under_guarantee(*rank, shares);
        let lent = |rank: &Rank| waits(rank) && free > self.reserve(*rank);
        let ranks = || Rank::ALL.into_iter();
        ranks().find(guaranteed).or_else(|| ranks().find(lent))
    }

    /// Estimates the time to the first token of a request started now.
    pub(super) fn expected_first_token(&self, now: Instant) -> Duration {
        let own = f64::from(self.total());
        let foreign = self.foreign_load(now, own);
        let crowding = (own + foreign) / self.limit.value();
        Duration::from_secs_f64(self.first_token_seconds * (0.5 + crowding))
    }

    /// Load by other entries, which fades as the report ages.
    fn foreign_load(&self, now: Instant, own: f64) -> f64 {
        let Some(report) = self.reported else { return 0.0 };
        let age = now.saturating_duration_since(report.at);
        let belief = 1.0 - (age.as_secs_f64() / REPORT_LIFETIME.as_secs_f64()).min(1.0);
        let reported = f64::from(report.waiting * 2 + report.running);
        (reported - own).max(0.0) * belief
    }

    /// Estimates how many slots come free each second.
    fn release_rate(&self) -> f64 {
        let free = (self.limit.value() - f64::from(self.total())).max(0.0);
        let ended = self.in_flight.iter().zip(self.total_seconds);
        let ending: f64 = ended.map(|(count, seconds)| f64::from(*count) / seconds.max(1e-3)).sum();
        ending + free
    }

    /// Estimates how many waiting requests of a rank the server starts each second: every slot that
    /// comes free while the rank has less than its share, and its share for long otherwise.
    pub(super) fn drain_rate(&self, rank: Rank, shares: &[f64; 3]) -> f64 {
        let for_long = self.lasting_rate(rank, shares);
        if self.usage.share(rank) < shares[rank.index()] {
            self.release_rate().max(for_long)
        } else {
            for_long
        }
    }

    fn lasting_rate(&self, rank: Rank, shares: &[f64; 3]) -> f64 {
        let limit = self.limit.value();
        let own = f64::from(self.in_flight[rank.index()]);
        let others = f64::from(self.total()) - own;
        let used = self.usage.mean(rank);
        let guaranteed = shares[rank.index()] * limit;
        let slots = (limit - others).max(guaranteed).max(used).max(0.5);
        slots / self.total_seconds[rank.index()].max(1e-3)
    }

    /// Estimates the time from the hand-over to the first token, as most of them lately needed.
    pub(super) fn usual_first_token(&self) -> Duration {
        Duration::from_secs_f64(self.first_token_seconds * FIRST_TOKEN_MARGIN)
    }
}

fn blend(average: &mut f64, sample: Duration) {
    *average += (sample.as_secs_f64() - *average) * SAMPLE_WEIGHT;
}

/// Returns 1 for a server that kept up, and less the slower it was.
///
/// Requests should wait at the entry, where rank decides: an engine with a queue of its own has been
/// sent too many.
fn pace(sample: &Sample, idle: Duration) -> f64 {
    if sample.end == RequestEnd::Failed {
        return 0.0;
    }
    let allowed = idle.saturating_add(ENGINE_WAIT);
    let first_token = sample.first_token.map_or(1.0, |needed| ratio(allowed, needed));
    let target = sample.between_tokens_target;
    let between_tokens = sample.between_tokens.map_or(1.0, |needed| ratio(target, needed));
    first_token.min(between_tokens)
}

fn ratio(allowed: Duration, needed: Duration) -> f64 {
    if needed <= allowed { 1.0 } else { allowed.as_secs_f64() / needed.as_secs_f64() }
}
