//! Admission control: decides whether a request is served, and when a refused caller may retry.
//!
//! Load pattern: floods beyond the capacity of the servers. A queue longer than the target latency
//! makes every request late and serves no more of them. A request that would join such a queue is
//! therefore refused at once, while that costs nothing, and told when to retry. A request that will
//! be late gets a lower priority than those of its rank that can still be on time.
//!
//! Load pattern: refused callers of such a flood return. If they return together, most are refused
//! again, and between two such moments servers idle. Each therefore gets a time of its own, at the
//! pace at which room becomes free ([`ReturnSchedule`]). A caller that returns before its time takes
//! no room from those whose turn it is.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::Name;
use crate::node::load::{RANKS, rank_index};

/// Up to this share of the wait is added to it at random, so that refused callers do not retry at
/// the same time.
const RETRY_JITTER_SHARE: f64 = 0.5;

/// The shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The share of the remaining time that the first token may take; the rest is for the events of the
/// response.
const FIRST_TOKEN_SHARE: f64 = 0.85;

/// The lowest engine priority. Engines serve smaller numbers first.
const LOWEST_PRIORITY: u8 = 9;

/// Callers abandon a stream that has no first event after this many times the target latency.
const ABANDON_FACTOR: u32 = 4;

/// Callers wait at least this long for the first event.
const MIN_ABANDON_TIME: Duration = Duration::from_secs(2);

/// The share of the time until the caller abandons the stream that the first token may be expected
/// to take.
const ABANDON_TIME_SHARE: f64 = 0.75;

/// The longest queue, as a share of the target latency. It exceeds 1 because the expected latency
/// is uncertain, and a short burst is better served a little late than refused.
const MAX_QUEUE_SHARE: f64 = 1.25;

/// The longest queue of a team that uses more than its share.
const OVER_SHARE_QUEUE: f64 = 0.6;

/// Whether a request is served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// The request is sent to a server.
    Admit {
        /// The priority for the engine; 0 is served first.
        priority: u8,
    },
    /// The request cannot be answered in time.
    Refuse {
        /// The time after which the caller may retry.
        retry_after: Duration,
    },
}

/// What is known of a request when its admission is decided.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionInput {
    /// The rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// The expected time from now to the first token.
    pub expected_latency: Duration,
    /// The time that the caller has waited for the first event.
    pub elapsed: Duration,
    /// The part of `elapsed` in which servers could have taken the request.
    pub queue_time: Duration,
    /// The time from arrival to the first token that callers expect.
    pub target_latency: Duration,
    /// The time until the caller leaves or the route's timeout expires.
    pub time_left: Duration,
    /// Whether the request's team uses more than its share of the servers.
    pub is_over_share: bool,
}

/// Decides whether a request is served; `random` is uniform in 0..1.
pub fn decide_admission(input: &AdmissionInput, random: f64) -> AdmissionDecision {
    if input.expected_latency > max_useful_wait(input) {
        let excess = input.expected_latency.saturating_sub(input.target_latency / 2);
        return AdmissionDecision::Refuse { retry_after: retry_after(excess, random) };
    }
    let late = input.elapsed + input.expected_latency > input.target_latency;
    AdmissionDecision::Admit { priority: engine_priority(input.rank, late) }
}

/// Returns how long a request may wait before it is sent and still be on time. Where more requests
/// wait for a server than it takes, those that wait longest are all late, and no more are served.
pub fn spare_wait(input: &AdmissionInput) -> Duration {
    let until_late = input.target_latency.saturating_sub(input.elapsed);
    until_late.min(max_useful_wait(input)).saturating_sub(input.expected_latency)
}

/// Returns the longest useful time to the first token. Work for a caller that leaves before the
/// first token only delays the others, and a longer queue serves as many requests, all of them
/// late.
fn max_useful_wait(input: &AdmissionInput) -> Duration {
    let abandon_limit =
        (input.target_latency * ABANDON_FACTOR).max(MIN_ABANDON_TIME).mul_f64(ABANDON_TIME_SHARE);
    let queue_share = if input.is_over_share { OVER_SHARE_QUEUE } else { MAX_QUEUE_SHARE };
    let queue_limit = input.target_latency.mul_f64(queue_share).saturating_sub(input.queue_time);
    let deadline_limit = input.time_left.mul_f64(FIRST_TOKEN_SHARE);
    deadline_limit.min(abandon_limit.saturating_sub(input.elapsed)).min(queue_limit)
}

/// Returns the time after which a refused caller may retry; `wait` is the time until capacity is
/// expected, and `random` is uniform in 0..1.
pub fn retry_after(wait: Duration, random: f64) -> Duration {
    wait.max(MIN_RETRY_AFTER).mul_f64(1.0 + RETRY_JITTER_SHARE * random)
}

/// Returns the priority for the engine: by rank, and within a rank requests that can be on time
/// come before late ones.
fn engine_priority(rank: u8, late: bool) -> u8 {
    (rank.saturating_mul(3) + if late { 2 } else { 0 }).min(LOWEST_PRIORITY)
}

/// The time over which the pace of admissions is averaged.
const PACE_WINDOW: Duration = Duration::from_secs(2);

/// The least pace at which room is assumed to become free, in requests a second. Without any
/// admissions it is not known.
const MIN_PACE: f64 = 1.0;

/// The longest time after which a refused caller is told to return. The load that far ahead is not
/// known; what is booked beyond it is spread over its second half.
const MAX_RETURN: Duration = Duration::from_secs(10);

/// The share of the time until its caller leaves in which a turn is booked for a request. The rest is
/// for its answer.
const RETURN_TIME_SHARE: f64 = 0.8;

/// How long after its time a returning caller is expected. Callers are a connection and their own
/// timers late.
const RETURN_GRACE: Duration = Duration::from_millis(300);

/// The number of refused requests whose times are kept for one kind of request. Further ones are told
/// a time, too, and are not recognized when they return.
const MAX_BOOKINGS: usize = 2_048;

/// The times at which refused callers return to this node, by what they ask for: a model or a
/// service, and a rank.
#[derive(Debug, Clone, Default)]
pub struct ReturnSchedule {
    lanes: HashMap<Name, [Lane; RANKS]>,
}

/// The returns of one kind of request.
#[derive(Debug, Clone, Default)]
struct Lane {
    /// The admissions in a second, as of the last one.
    pace: f64,
    last_admission: Option<Instant>,
    /// The time of the next return that can be booked.
    next: Option<Instant>,
    /// The booked returns in their order, and their times by request.
    order: VecDeque<(Instant, u64)>,
    bookings: HashMap<u64, Instant>,
}

impl Lane {
    fn pace(&self, now: Instant) -> f64 {
        let age = self.last_admission.map(|at| now.saturating_duration_since(at));
        age.map_or(0.0, |age| self.pace * (-age.as_secs_f64() / PACE_WINDOW.as_secs_f64()).exp())
    }

    fn record_admission(&mut self, request: u64, now: Instant) {
        self.pace = self.pace(now) + 1.0 / PACE_WINDOW.as_secs_f64();
        self.last_admission = Some(now);
        self.bookings.remove(&request);
    }

    /// Sets the turn of a request.
    fn insert(&mut self, request: u64, due: Instant) {
        if self.bookings.len() < MAX_BOOKINGS || self.bookings.contains_key(&request) {
            self.bookings.insert(request, due);
            let index = self.order.partition_point(|(at, _)| *at <= due);
            self.order.insert(index, (due, request));
        }
    }

    /// Removes the returns whose callers did not come, or are no longer waited for.
    fn expire(&mut self, now: Instant) {
        while let Some((due, request)) = self.order.front().copied() {
            let booked = self.bookings.get(&request).copied();
            if booked == Some(due) && due + RETURN_GRACE > now {
                return;
            }
            self.order.pop_front();
            if booked == Some(due) {
                self.bookings.remove(&request);
            }
        }
    }
}

/// A refused request, for which a time to return is booked.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest {
    /// A number that the attempts of the request have in common.
    pub request: u64,
    /// The time until room is expected.
    pub room_in: Duration,
    /// The time until its caller leaves. A turn after that would be left unused.
    pub time_left: Duration,
}

/// Returns the time from one return of this rank to the next. Room for a rank is what it and less
/// urgent ones get now.
fn interval(lanes: &[Lane; RANKS], rank: u8, now: Instant) -> Duration {
    let pace: f64 = lanes[rank_index(rank)..].iter().map(|lane| lane.pace(now)).sum();
    Duration::from_secs_f64(1.0 / pace.max(MIN_PACE))
}

impl ReturnSchedule {
    /// Records that a request was admitted, by whose pace returns are spread.
    pub fn record_admission(&mut self, kind: &Name, rank: u8, request: u64, now: Instant) {
        let lanes = self.lanes.entry(kind.clone()).or_default();
        lanes[rank_index(rank)].record_admission(request, now);
    }

    /// Returns the time until its turn if a refused request returns before that, while others are
    /// still expected whose turn is earlier. `request` identifies it.
    pub fn time_until_turn(
        &mut self,
        kind: &str,
        rank: u8,
        request: u64,
        now: Instant,
    ) -> Option<Duration> {
        let lanes = self.lanes.get_mut(kind)?;
        let interval = interval(lanes, rank, now);
        let lane = &mut lanes[rank_index(rank)];
        lane.expire(now);
        let due = *lane.bookings.get(&request)?;
        let is_first = lane.order.front().is_none_or(|(_, first)| *first == request);
        if now >= due || is_first {
            return None;
        }
        // It goes to the end of the line, so that many tries are no better than one.
        let last = lane.next.unwrap_or(due).max(due + interval);
        let due = last.min(now + MAX_RETURN);
        lane.insert(request, due);
        Some(due - now)
    }

    /// Returns the time after which a refused request may return; `random` is uniform in 0..1.
    pub fn book(
        &mut self,
        kind: &Name,
        rank: u8,
        refused: &RefusedRequest,
        random: f64,
        now: Instant,
    ) -> Duration {
        let lanes = self.lanes.entry(kind.clone()).or_default();
        let interval = interval(lanes, rank, now);
        let RefusedRequest { request, room_in, time_left } = *refused;
        let lane = &mut lanes[rank_index(rank)];
        lane.expire(now);
        // A request that returned early keeps its turn, and those after it keep theirs. Requests that
        // are alike are spread all the same.
        if let Some(due) = lane.bookings.get(&request).filter(|due| **due > now) {
            return *due - now + interval.mul_f64(random);
        }
        let earliest = now + room_in.max(MIN_RETRY_AFTER);
        let due = lane.next.map_or(earliest, |next| next.max(earliest));
        let latest = MAX_RETURN.min(time_left.mul_f64(RETURN_TIME_SHARE)).max(MIN_RETRY_AFTER);
        if due > now + latest {
            // No turn is left for it. It may find room that others leave.
            return latest.mul_f64((1.0 + random) / 2.0);
        }
        lane.next = Some(due + interval);
        lane.insert(request, due);
        // Other nodes book the same times. The random part keeps their callers apart.
        due - now + interval.mul_f64(random)
    }

    /// Removes what has no returns and no recent admissions.
    pub fn expire(&mut self, now: Instant) {
        self.lanes.retain(|_, lanes| {
            lanes.iter_mut().any(|lane| {
                lane.expire(now);
                !lane.bookings.is_empty() || lane.pace(now) > MIN_PACE / 100.0
            })
        });
    }
}
