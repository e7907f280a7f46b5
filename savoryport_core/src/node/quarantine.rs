//! Finds the parts of prompts that crash servers, and decides which requests reach no server.
//!
//! Load pattern: requests with one part in their prompts arrive at any node, a few a second, and
//! each crashes the server that answers it, before the first event or after any other. Every crash ends the other requests of that
//! server, from many nodes, and takes its models away. Each node sees only its own requests, so
//! crashes may be spread until no node has seen two.
//!
//! Evidence: a server that crashes may have crashed on any request that it had not answered completely,
//! and there on any part but the last, which belongs to that request alone. A part is cleared of a
//! crash if one server has answered a request with it from the first event to the end, shortly before
//! or at any time after, so that the part that all prompts of a route share is cleared soon. Several
//! servers that each answer a piece may each crash after it. Nodes exchange the crashes
//! and merge them as sets: the result depends on neither order nor repetition, and any node that
//! has them all decides alike. [`Quarantine::digest`] tells whether two nodes have the same.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use super::answered::AnsweredIds;
use crate::Name;

/// A part that was answered this recently before a crash is cleared of it.
const ANSWERED_LIFETIME: Duration = Duration::from_secs(30);

/// Crashes within this time of each other count as one: a rack or a failure domain fails at once.
const SAME_MOMENT: Duration = Duration::from_millis(200);

/// The time before the first crash of a part in which crashes that it does not explain raise the
/// number of crashes that it takes to quarantine it.
const UNEXPLAINED_WINDOW: Duration = Duration::from_secs(10);

/// A crash is forgotten this long after it, or after the last request that was refused because of
/// it. This ends a quarantine.
const CRASH_LIFETIME: Duration = Duration::from_secs(600);

/// A crash of which all suspects are cleared is settled after this time, in which all nodes have
/// reported their requests at the server.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The number of crashes that are kept. Parts that differ in each request would otherwise fill the
/// memory.
const MAX_CRASHES: usize = 64;

/// The number of suspected parts that are kept of one crash.
const MAX_SUSPECTS: usize = 64;

/// The parts of a prompt that other prompts may share: all but the last.
pub type SharedParts = SmallVec<[u64; 4]>;

value! {
    /// A part that a server may have crashed on.
    pub struct Suspect {
        /// The part's id.
        pub part: u64,
        /// Whether a complete answer to another request has shown that the part is sound.
        pub is_cleared: bool,
    }

    /// A crash, as nodes report it to each other.
    pub struct CrashReport {
        /// The server.
        pub server: Name,
        /// The incarnation of the server that crashed.
        pub incarnation: u64,
        /// The time since the crash, in milliseconds.
        pub age_ms: u64,
        /// The time since the crash or the last refusal because of it, in milliseconds.
        pub unused_ms: u64,
        /// Whether no part explains the crash. It has no suspects then.
        pub is_settled: bool,
        /// The parts of the requests that the server had not answered completely.
        pub suspects: Vec<Suspect>,
    }

    /// The parts that requests must all have to be refused. Several parts are listed if they
    /// occurred in the same crashes only, so that nothing tells which one is at fault.
    pub struct QuarantineEntry {
        /// The ids of the parts.
        pub parts: SmallVec<[u64; 2]>,
        /// The servers that crashed, one for each crash.
        pub servers: Vec<Name>,
    }
}

/// A change of the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Requests with these parts are refused from now on.
    Began(QuarantineEntry),
    /// They are no longer refused.
    Ended(QuarantineEntry),
}

/// The crashes of the last minutes, and the parts in quarantine because of them.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    crashes: BTreeMap<(Name, u64), Crash>,
    answered: AnsweredIds,
    entries: Vec<QuarantineEntry>,
}

#[derive(Debug, Clone)]
struct Crash {
    at: Instant,
    last_used: Instant,
    /// Whether no part explains the crash, so that it takes no further suspects.
    is_settled: bool,
    /// Whether each suspected part is cleared.
    suspects: BTreeMap<u64, bool>,
}

impl Quarantine {
    /// Records that a server crashed before it had answered a request with these parts completely.
    pub fn record_crash(
        &mut self,
        server: &Name,
        incarnation: u64,
        parts: &[u64],
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let suspects = parts.iter().map(|part| (*part, false)).collect();
        let crash = Crash { at: now, last_used: now, is_settled: false, suspects };
        self.add((server.clone(), incarnation), crash);
        self.reconsider()
    }

    /// Records that one server has answered a request with these parts from the first event to the end.
    pub fn record_answer(&mut self, parts: &[u64], now: Instant) -> Vec<QuarantineChange> {
        let mut has_cleared = false;
        for part in parts {
            self.answered.insert(*part, now);
            for crash in self.crashes.values_mut() {
                if let Some(is_cleared) = crash.suspects.get_mut(part) {
                    has_cleared |= !std::mem::replace(is_cleared, true);
                }
            }
        }
        if has_cleared { self.reconsider() } else { Vec::new() }
    }

    /// Clears a part, as an operator asks for. The crashes that it was suspected of are settled, so
    /// that no other part becomes their explanation.
    pub fn clear(&mut self, part: u64, now: Instant) -> Vec<QuarantineChange> {
        self.answered.insert(part, now);
        for crash in self.crashes.values_mut() {
            if crash.suspects.get(&part) == Some(&false) {
                crash.suspects.values_mut().for_each(|is_cleared| *is_cleared = true);
            }
        }
        self.reconsider()
    }

    /// Returns the server and incarnation of each crash that a part is suspected of.
    pub fn crashes_of(&self, part: u64) -> Vec<(Name, u64)> {
        let suspected =
            self.crashes.iter().filter(|(_, crash)| crash.suspects.get(&part) == Some(&false));
        suspected.map(|(key, _)| key.clone()).collect()
    }

    /// Adds the crashes that another node reports.
    pub fn merge(&mut self, reports: &[CrashReport], now: Instant) -> Vec<QuarantineChange> {
        let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
        for report in reports {
            let suspects = report.suspects.iter().map(|known| (known.part, known.is_cleared));
            let crash = Crash {
                at: ago(report.age_ms),
                last_used: ago(report.unused_ms),
                is_settled: report.is_settled,
                suspects: suspects.collect(),
            };
            self.add((report.server.clone(), report.incarnation), crash);
        }
        if reports.is_empty() { Vec::new() } else { self.reconsider() }
    }

    /// Settles crashes that no part explains, and forgets those that are too old.
    pub fn expire(&mut self, now: Instant) -> Vec<QuarantineChange> {
        for crash in self.crashes.values_mut() {
            let is_cleared = crash.suspects.values().all(|is_cleared| *is_cleared);
            if is_cleared && now.saturating_duration_since(crash.at) >= SETTLE_TIME {
                crash.settle();
            }
        }
        let count = self.crashes.len();
        self.crashes
            .retain(|_, crash| now.saturating_duration_since(crash.last_used) < CRASH_LIFETIME);
        if self.crashes.len() < count { self.reconsider() } else { Vec::new() }
    }

    /// Returns the quarantined part because of which a request with these parts is refused, if any.
    pub fn blocking_part(&mut self, parts: &[u64], now: Instant) -> Option<u64> {
        let blocks = |entry: &&QuarantineEntry| entry.parts.iter().all(|part| parts.contains(part));
        let part = *self.entries.iter().find(blocks)?.parts.first()?;
        for crash in self.crashes.values_mut() {
            if crash.suspects.get(&part) == Some(&false) {
                crash.last_used = now;
            }
        }
        Some(part)
    }

    /// Returns whether a server other than this one may have crashed on one of the parts.
    pub fn is_suspect(&self, parts: &[u64], server: &str, incarnation: u64) -> bool {
        let others = self.crashes.iter().filter(|((id, started), _)| {
            !(&**id == server && *started == incarnation) // The crash that the caller asks about.
        });
        others
            .flat_map(|(_, crash)| &crash.suspects)
            .any(|(part, is_cleared)| !is_cleared && parts.contains(part))
    }

    /// Returns the parts in quarantine.
    pub fn entries(&self) -> &[QuarantineEntry] {
        &self.entries
    }

    /// Returns the number of crashes that are known.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the known crashes for other nodes.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let reports = self.crashes.iter().map(|((server, incarnation), crash)| CrashReport {
            server: server.clone(),
            incarnation: *incarnation,
            age_ms: age_ms(crash.at),
            unused_ms: age_ms(crash.last_used),
            is_settled: crash.is_settled,
            suspects: crash
                .suspects
                .iter()
                .map(|(part, is_cleared)| Suspect { part: *part, is_cleared: *is_cleared })
                .collect(),
        });
        reports.collect()
    }

    /// Returns a hash of all that [`Self::reports`] returns apart from the times.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for ((server, incarnation), crash) in &self.crashes {
            hash.update(server.as_bytes());
            hash.update(&incarnation.to_le_bytes());
            hash.update(&[u8::from(crash.is_settled)]);
            for (part, is_cleared) in &crash.suspects {
                hash.update(&part.to_le_bytes());
                hash.update(&[u8::from(*is_cleared)]);
            }
        }
        hash.digest()
    }

    /// Adds a crash, or what another request or node knows of the same one.
    fn add(&mut self, key: (Name, u64), reported: Crash) {
        let incarnation = key.1;
        let crash = self.crashes.entry(key).or_insert(Crash {
            suspects: BTreeMap::new(),
            is_settled: false,
            ..reported
        });
        crash.at = crash.at.min(reported.at);
        crash.last_used = crash.last_used.max(reported.last_used);
        let cleared_after = crash.at.checked_sub(ANSWERED_LIFETIME).unwrap_or(crash.at);
        for (part, is_cleared) in reported.suspects {
            let was_answered = self.answered.get(part).is_some_and(|at| at > cleared_after);
            *crash.suspects.entry(part).or_default() |= is_cleared || was_answered;
        }
        if crash.is_settled || reported.is_settled {
            crash.settle();
        }
        // What exceeds the limits is dropped in an order that all nodes share, so that they still
        // agree.
        while crash.suspects.len() > MAX_SUSPECTS {
            let rank = |part: &u64| xxh3_64_with_seed(&part.to_le_bytes(), incarnation);
            let Some(last) = crash.suspects.keys().copied().max_by_key(rank) else { return };
            crash.suspects.remove(&last);
        }
        while self.crashes.len() > MAX_CRASHES {
            let rank = |(server, incarnation): &(Name, u64), crash: &Crash| {
                let is_cleared = crash.suspects.values().all(|is_cleared| *is_cleared);
                (is_cleared, xxh3_64_with_seed(server.as_bytes(), *incarnation))
            };
            let last = self.crashes.iter().max_by_key(|(key, crash)| rank(key, crash));
            let Some(last) = last.map(|(key, _)| key.clone()) else { return };
            self.crashes.remove(&last);
        }
    }

    /// Decides again which parts are in quarantine; returns what has changed.
    fn reconsider(&mut self) -> Vec<QuarantineChange> {
        let former = std::mem::replace(&mut self.entries, find_entries(&self.crashes));
        let parts = |entries: &[QuarantineEntry], entry: &QuarantineEntry| {
            entries.iter().any(|other| other.parts == entry.parts)
        };
        let ended = former.iter().filter(|entry| !parts(&self.entries, entry));
        let began = self.entries.iter().filter(|entry| !parts(&former, entry));
        ended
            .cloned()
            .map(QuarantineChange::Ended)
            .chain(began.cloned().map(QuarantineChange::Began))
            .collect()
    }
}

impl Crash {
    fn settle(&mut self) {
        self.is_settled = true;
        self.suspects.clear();
    }
}

/// Returns the parts that explain crashes: again and again the one that explains most of those that
/// no other part explains yet. A sound part that was in flight beside a deadly one thus explains
/// nothing.
fn find_entries(crashes: &BTreeMap<(Name, u64), Crash>) -> Vec<QuarantineEntry> {
    let mut unexplained: Vec<(&Name, &Crash)> =
        crashes.iter().map(|((server, _), crash)| (server, crash)).collect();
    unexplained.sort_by_key(|(_, crash)| crash.at);
    let mut entries = Vec::new();
    loop {
        let mut crashes_by_part: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (index, (_, crash)) in unexplained.iter().enumerate() {
            for (part, _) in crash.suspects.iter().filter(|(_, is_cleared)| !**is_cleared) {
                crashes_by_part.entry(*part).or_default().push(index);
            }
        }
        let proven = crashes_by_part.values().filter(|indexes| is_proof(indexes, &unexplained));
        let Some(indexes) = proven.max_by_key(|indexes| indexes.len()).cloned() else {
            return entries;
        };
        let same = crashes_by_part.iter().filter(|(_, others)| **others == indexes);
        entries.push(QuarantineEntry {
            parts: same.map(|(part, _)| *part).collect(),
            servers: indexes.iter().map(|index| unexplained[*index].0.clone()).collect(),
        });
        let mut index = 0..;
        unexplained.retain(|_| !indexes.contains(&index.next().unwrap_or_default()));
    }
}

/// Returns whether crashes that have a part in common prove that it crashes servers. Where many
/// servers crash for other reasons, a request is more often in flight at two of them by chance.
fn is_proof(indexes: &[usize], crashes: &[(&Name, &Crash)]) -> bool {
    /// Crashes of a single server may be the server's own fault.
    const MIN_OF_ONE_SERVER: usize = 3;
    let (Some(first), Some(last)) = (indexes.first(), indexes.last()) else { return false };
    let (first, last) = (crashes[*first].1.at, crashes[*last].1.at);
    let is_beside = |at: Instant| at + UNEXPLAINED_WINDOW >= first && at <= last + SAME_MOMENT;
    let others = (0..crashes.len()).filter(|index| !indexes.contains(index));
    let unexplained =
        count_moments(others.map(|index| crashes[index].1.at).filter(|at| is_beside(*at)));
    let required = match unexplained {
        0..=2 => 2,
        3..=6 => 3,
        _ => 4,
    };
    let moments = count_moments(indexes.iter().map(|index| crashes[*index].1.at));
    let is_one_server = indexes.iter().all(|index| crashes[*index].0 == crashes[indexes[0]].0);
    moments >= required && (!is_one_server || moments >= MIN_OF_ONE_SERVER)
}

/// Counts times in ascending order, of which those close together count as one.
fn count_moments(times: impl Iterator<Item = Instant>) -> usize {
    let mut count = 0;
    let mut began: Option<Instant> = None;
    for at in times {
        if began.is_none_or(|began| at.saturating_duration_since(began) >= SAME_MOMENT) {
            count += 1;
            began = Some(at);
        }
    }
    count
}
