//! What servers announce in their answers: that they leave, or want no requests for a while.
//!
//! Load pattern, pauses: a server that is full refuses requests with the time for which it wants none.
//! Each request that it gets meanwhile is refused too, and has used up an attempt and a retry.
//!
//! Load pattern, leaving: a server announces in an answer that it leaves, before its entry in the
//! registry says so, or although the entry says otherwise again after an outage of the store. Requests
//! that it still gets are cut off when it goes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::Name;

/// The longest pause that a server gets. One that asks for more is tried again after this time.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// What each server has announced, for its current incarnation.
#[derive(Debug, Clone, Default)]
pub struct ServerNotices {
    servers: HashMap<Name, Notice>,
}

#[derive(Debug, Clone, Default)]
struct Notice {
    incarnation: u64,
    is_leaving: bool,
    paused_until: Option<Instant>,
    has_unreadable_pause: bool,
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
