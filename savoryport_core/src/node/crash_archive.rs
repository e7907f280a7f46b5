//! Decides when the crashes that nodes know of are written to the store.
//!
//! Load pattern: all nodes lose power at once, and the request or the part of a prompt that crashes
//! servers comes again. No VM has a disk, so that the store alone outlasts the nodes. The leaders
//! exchange their crashes; one of them writes for all, and another one in its place if it does not.
//! Crashes come in floods, and the store's rate is that of all nodes: see docs/DESIGN.md.
//!
//! The record has ages and no times, since neither the clocks of processes nor those of VMs agree. A
//! node that reads it takes the time for which all nodes were away for none, so that a quarantine
//! ends later than it would have without that, and never earlier.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::quarantine::{CrashReport, Suspect};
use super::request_quarantine::{RequestCrashReport, SuspectRequest};
use crate::Name;

/// How long a leader waits for each one before it to write.
const DEPUTY_DELAY: Duration = Duration::from_millis(1_500);

/// How long what is cleared stays in the store. Callers' answers clear suspects one after another.
const CLEARED_DELAY: Duration = Duration::from_secs(5);

/// The interval at which the ages are written anew.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// The period in which a leader writes at most [`MAX_WRITES`] times.
const WRITE_PERIOD: Duration = Duration::from_secs(4);

/// The number of writes in that period. A request is at two or three crashes within a second.
const MAX_WRITES: usize = 4;

/// The number of suspects in the record, which bounds its size to some 100 KB.
const MAX_RECORDED_SUSPECTS: usize = 1_200;

/// The crashes that are not settled, with the suspects that are not cleared.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct CrashRecord {
    /// The crashes that parts of prompts may explain.
    pub parts: Vec<CrashReport>,
    /// The crashes that requests may explain.
    pub requests: Vec<RequestCrashReport>,
}

/// What the store has, and when this node wrote to it.
#[derive(Debug, Default)]
pub struct CrashArchive {
    stored: CrashRecord,
    /// The revision of the record in the store; 0 if there is none.
    revision: u64,
    stored_at: Option<Instant>,
    /// Since when the store lacks something.
    lacking_since: Option<Instant>,
    /// Since when the store has something that is cleared or settled.
    exceeding_since: Option<Instant>,
    writes: SmallVec<[Instant; MAX_WRITES]>,
}

type CrashKey<'a> = (&'a Name, u64);

impl CrashRecord {
    /// Creates the record of these crashes; the oldest ones are left out if there are too many
    /// suspects.
    pub fn new(parts: Vec<CrashReport>, requests: Vec<RequestCrashReport>) -> Self {
        let mut parts: Vec<CrashReport> = parts
            .into_iter()
            .map(|crash| {
                let is_open = |suspect: &Suspect| !suspect.is_cleared;
                let suspects = crash.suspects.into_iter().filter(is_open).collect();
                CrashReport { suspects, ..crash }
            })
            .filter(|crash| !crash.is_settled && !crash.suspects.is_empty())
            .collect();
        let mut requests: Vec<RequestCrashReport> = requests
            .into_iter()
            .map(|crash| {
                let is_open = |suspect: &SuspectRequest| !suspect.is_cleared;
                let suspects = crash.suspects.into_iter().filter(is_open).collect();
                RequestCrashReport { suspects, ..crash }
            })
            .filter(|crash| !crash.is_settled && !crash.suspects.is_empty())
            .collect();
        parts.sort_by_key(|crash| crash.age_ms);
        requests.sort_by_key(|crash| crash.age_ms);
        let mut room = MAX_RECORDED_SUSPECTS;
        let mut fits = |count: usize| {
            let fits = count <= room;
            room = room.saturating_sub(count);
            fits
        };
        requests.retain(|crash| fits(crash.suspects.len()));
        parts.retain(|crash| fits(crash.suspects.len()));
        Self { parts, requests }
    }

    /// Returns whether there are no crashes.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.requests.is_empty()
    }

    /// Returns whether another record has all of this too, whatever the ages. With `flags`, the
    /// contents must be cleared for other callers in both or in neither.
    fn is_within(&self, other: &Self, flags: bool) -> bool {
        is_within(&self.suspected_parts(), &other.suspected_parts())
            && is_within(&self.suspected_requests(flags), &other.suspected_requests(flags))
    }

    fn suspected_parts(&self) -> BTreeMap<CrashKey<'_>, Vec<u64>> {
        let crashes = self.parts.iter().map(|crash| {
            let parts = crash.suspects.iter().map(|suspect| suspect.part).collect();
            ((&crash.server, crash.incarnation), parts)
        });
        crashes.collect()
    }

    fn suspected_requests(&self, flags: bool) -> BTreeMap<CrashKey<'_>, Vec<(u64, u64, bool)>> {
        let crashes = self.requests.iter().map(|crash| {
            let requests = crash.suspects.iter().map(|suspect| {
                let identity = suspect.identity;
                (identity.content, identity.caller, flags && suspect.is_content_cleared)
            });
            ((&crash.server, crash.incarnation), requests.collect())
        });
        crashes.collect()
    }
}

fn is_within<T: PartialEq>(
    crashes: &BTreeMap<CrashKey<'_>, Vec<T>>,
    others: &BTreeMap<CrashKey<'_>, Vec<T>>,
) -> bool {
    crashes.iter().all(|(key, suspects)| {
        let known = others.get(key);
        known.is_some_and(|known| suspects.iter().all(|suspect| known.contains(suspect)))
    })
}

impl CrashArchive {
    /// Records what the store has at a revision; 0 if it has no record.
    pub fn record_stored(&mut self, record: CrashRecord, revision: u64, now: Instant) {
        (self.stored, self.revision, self.stored_at) = (record, revision, Some(now));
    }

    /// Returns the revision of the record in the store; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the node writes these crashes now. `deputies` is the number of leaders that
    /// come before it.
    pub fn is_due(&mut self, crashes: &CrashRecord, deputies: u32, now: Instant) -> bool {
        let is_refresh_due =
            !crashes.is_empty() && self.stored_at.is_none_or(|at| now >= at + REFRESH_INTERVAL);
        let lacks_any = !crashes.is_within(&self.stored, false);
        track(&mut self.lacking_since, lacks_any || is_refresh_due, now);
        track(&mut self.exceeding_since, !self.stored.is_within(crashes, true), now);
        let has_waited = |since: Option<Instant>, delay: Duration| {
            since.is_some_and(|since| now >= since + delay + DEPUTY_DELAY * deputies)
        };
        let is_due = has_waited(self.lacking_since, Duration::ZERO)
            || has_waited(self.exceeding_since, CLEARED_DELAY);
        self.writes.retain(|at| now < *at + WRITE_PERIOD);
        is_due && self.writes.len() < MAX_WRITES
    }

    /// Records that the node writes to the store.
    pub fn record_write(&mut self, now: Instant) {
        self.writes.push(now);
    }
}

fn track(since: &mut Option<Instant>, holds: bool, now: Instant) {
    *since = holds.then(|| since.unwrap_or(now));
}
