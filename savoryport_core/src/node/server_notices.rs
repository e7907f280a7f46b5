//! What servers announce in their answers: that they leave, or want no requests for a while.
//!
//! Load pattern, pauses: a server that is full refuses requests with the time for which it wants none.
//! Each request that it gets meanwhile is refused too, and has used up an attempt and a retry.
//!
//! Load pattern, leaving: a server announces in an answer that it leaves, before its entry in the
//! registry says so, or although the entry says otherwise again after an outage of the store. Requests
//! that it still gets are cut off when it goes.
//!
//! Load pattern, brittle servers: servers that are short of room say how many requests a second they can
//! turn away before they fall over. Each node that finds such a server full comes again at once, and
//! all of them together turn it over.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Name;

/// The longest pause that a server gets. One that asks for more is tried again after this time.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// The share of a brittle server's slots that may be taken before it gets no further requests. What other
/// nodes have sent meanwhile is not known yet.
const BRITTLE_SHARE: f64 = 0.85;

/// The share of the requests that a brittle server can turn away which all nodes together send in vain.
const REFUSED_SHARE: f64 = 0.5;

/// The time between two turns of a node with a brittle server that was full.
const BRITTLE_PAUSES: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(200)..=Duration::from_secs(120);

/// The place of this node among all, in the order in which they ask a brittle server that was full.
#[derive(Debug, Clone, Copy)]
pub struct Turn {
    /// How many nodes come before this one.
    pub position: usize,
    /// The number of nodes, this one included.
    pub nodes: usize,
}

/// What each server has announced, for its current incarnation.
#[derive(Debug, Clone, Default)]
pub struct ServerNotices {
    servers: HashMap<Name, Notice>,
    /// The requests a second that the servers of a service can turn away, as the last answer of any of
    /// them says. It counts for servers that have not answered yet, such as one that fell over and is back.
    brittle_services: HashMap<Name, f64>,
}

#[derive(Debug, Clone, Default)]
struct Notice {
    incarnation: u64,
    is_leaving: bool,
    paused_until: Option<Instant>,
    has_unreadable_pause: bool,
    /// The requests a second that the server can turn away, if it is brittle.
    bearable_refusals: Option<f64>,
    /// When this node may ask a brittle server again that was full.
    next_turn: Option<Instant>,
}

impl ServerNotices {
    /// Records that a server announced that it leaves; returns whether that is news.
    pub fn record_leaving(&mut self, server: &Name, incarnation: u64) -> bool {
        let notice = self.notice_mut(server, incarnation);
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Records that a server wants no requests from this node for a time. That ends no longer pause
    /// which it has asked for before.
    pub fn record_pause(&mut self, server: &Name, incarnation: u64, pause: Duration, now: Instant) {
        let until = now + pause.min(MAX_PAUSE);
        let notice = self.notice_mut(server, incarnation);
        notice.paused_until = notice.paused_until.max(Some(until));
    }

    /// Records that a server asked for a pause whose length can't be read; returns whether that is
    /// news.
    pub fn record_unreadable_pause(&mut self, server: &Name, incarnation: u64) -> bool {
        let notice = self.notice_mut(server, incarnation);
        !std::mem::replace(&mut notice.has_unreadable_pause, true)
    }

    /// Records how many requests a second a server can turn away before it falls over, as an answer says;
    /// `None` if it is not brittle. Returns whether that has changed.
    pub fn record_brittleness(
        &mut self,
        server: &Name,
        incarnation: u64,
        service: &Name,
        bearable_refusals: Option<f64>,
    ) -> bool {
        match bearable_refusals {
            Some(bearable) => self.brittle_services.insert(service.clone(), bearable),
            None => self.brittle_services.remove(service),
        };
        if bearable_refusals.is_none() && self.notice(server, incarnation).is_none() {
            return false;
        }
        let notice = self.notice_mut(server, incarnation);
        std::mem::replace(&mut notice.bearable_refusals, bearable_refusals) != bearable_refusals
    }

    /// Records that a server turned a request away for want of room. A brittle one gets none of this node
    /// until its next turn. Nodes that find the server full at the same time have turns one after the other,
    /// so that no second holds more requests than it can turn away.
    pub fn record_full(&mut self, server: &Name, incarnation: u64, turn: Turn, now: Instant) {
        let bearable = self.notice(server, incarnation).and_then(|notice| notice.bearable_refusals);
        let Some(bearable) = bearable else { return };
        let nodes = turn.nodes.max(1);
        let seconds = nodes as f64 / (bearable * REFUSED_SHARE).max(f64::MIN_POSITIVE);
        let period = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        let period = period.clamp(*BRITTLE_PAUSES.start(), *BRITTLE_PAUSES.end());
        let own_part = period.mul_f64(turn.position as f64 / nodes as f64);
        let notice = self.notice_mut(server, incarnation);
        let next = match notice.next_turn {
            // The request was on its way already when another was turned away.
            Some(at) if now < at => at,
            // A node that asks a little late keeps its place.
            Some(at) if now < at + period => at + period,
            Some(_) | None => now + period + own_part,
        };
        notice.next_turn = Some(next);
        self.record_pause(server, incarnation, next - now, now);
    }

    /// Returns whether a server of a service, with so many slots and requests in progress, has room, as far
    /// as it matters: only a brittle one must not be sent what it would turn away.
    pub fn has_room(
        &self,
        (server, incarnation): (&str, u64),
        service: &str,
        slots: u32,
        running: u32,
    ) -> bool {
        let own = self.notice(server, incarnation).and_then(|notice| notice.bearable_refusals);
        let is_brittle = own.is_some() || self.brittle_services.contains_key(service);
        !is_brittle || f64::from(running) < (f64::from(slots) * BRITTLE_SHARE).max(1.0)
    }

    /// Returns whether the server takes requests, as far as it has announced. A server that has
    /// started again has announced nothing yet.
    pub fn allow(&self, server: &str, incarnation: u64, now: Instant) -> bool {
        self.notice(server, incarnation).is_none_or(|notice| {
            !notice.is_leaving && notice.paused_until.is_none_or(|until| now >= until)
        })
    }

    /// Returns the time until the pause ends that the server asked for, if it is in one and does not
    /// leave.
    pub fn remaining_pause(
        &self,
        server: &str,
        incarnation: u64,
        now: Instant,
    ) -> Option<Duration> {
        let notice = self.notice(server, incarnation).filter(|notice| !notice.is_leaving)?;
        let remaining = notice.paused_until?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Removes the servers that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }

    fn notice(&self, server: &str, incarnation: u64) -> Option<&Notice> {
        self.servers.get(server).filter(|notice| notice.incarnation == incarnation)
    }

    fn notice_mut(&mut self, server: &Name, incarnation: u64) -> &mut Notice {
        let notice = self.servers.entry(server.clone()).or_default();
        if notice.incarnation != incarnation {
            *notice = Notice { incarnation, ..Notice::default() };
        }
        notice
    }
}
