//! Finds requests that crash each server that runs them, and decides which reach no server.
//!
//! Load pattern: one request crashes the server that begins to run it, and comes again at any node.
//! A service of a few servers is down within seconds, again and again. Each crash breaks all other
//! requests of that server, whose callers send them again as well, so that a sound request may have
//! been at two crashes too.
//!
//! Evidence: the requests that a server had not answered when it crashed. One that is answered later
//! is cleared, and one that was answered shortly before is not suspected. Requests are compared by
//! what servers receive of them, and by their caller as long as nothing speaks against that: see
//! docs/DESIGN.md. Two crashes are a proof if only one request was at both and if it was sent to
//! the second server after the first one had crashed, which servers that fail together do not
//! explain. Three such crashes are a proof in any case.
//!
//! A quarantine ends by itself some time after the last crash, so that a sound request that was at
//! three crashes by chance is served again. The next crash brings it back for longer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::answered::AnsweredIds;
use crate::Name;

/// A request that was answered this recently before a crash is not suspected of it.
const ANSWERED_LIFETIME: Duration = Duration::from_secs(10);

/// How much earlier than a crash, as this node knows its time, the next attempt of the same request
/// may have been sent. The report of a crash takes this long from another region.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Crashes within this time of each other are taken for one fault, such as the loss of a rack.
const SAME_MOMENT: Duration = Duration::from_millis(200);

/// The time before and after the crashes of a request in which other crashes make it more likely
/// that it was at them by chance.
const UNEXPLAINED_WINDOW: Duration = Duration::from_secs(10);

/// The number of other faults in that time up to which two crashes are a proof.
const MAX_UNEXPLAINED: usize = 2;

/// The crashes that are a proof in any case.
const PROVEN_IN_ANY_CASE: u32 = 3;

/// The quarantine after two crashes.
const FIRST_QUARANTINE: Duration = Duration::from_secs(15);

/// The quarantine after three crashes. Each further one doubles it.
const PROVEN_QUARANTINE: Duration = Duration::from_secs(60);

/// The longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(600);

/// How long a crash is kept. It outlasts the longest quarantine, so that a request which crashes a
/// server after that is known at once.
const CRASH_LIFETIME: Duration = Duration::from_secs(1_200);

/// A crash of which all suspects are cleared takes no further ones after this time.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The number of crashes that are kept.
const MAX_CRASHES: usize = 64;

/// The number of suspects that are kept of one crash.
const MAX_SUSPECTS: usize = 96;

/// Nodes notice the same crash within this time of each other. One that is reported with a later time
/// was read from the store, where ages stand still while all nodes are away.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(1_500);

key! {
    /// What the attempts of one request have in common.
    pub struct RequestIdentity {
        /// The hash of what a server receives of each attempt.
        pub content: u64,
        /// The hash of the caller's address.
        pub caller: u64,
    }
}

impl RequestIdentity {
    fn id(self) -> u64 {
        xxh3_64_with_seed(&self.content.to_le_bytes(), self.caller)
    }

    fn rank(self, incarnation: u64) -> u64 {
        xxh3_64_with_seed(&self.id().to_le_bytes(), incarnation)
    }
}

value! {
    /// A request that a server may have crashed on.
    pub struct SuspectRequest {
        /// The request.
        pub identity: RequestIdentity,
        /// The time since it was sent to the server, in milliseconds.
        pub sent_ago_ms: u64,
        /// Whether a server has answered it for this caller.
        pub is_cleared: bool,
        /// Whether a server has answered it for any caller.
        pub is_content_cleared: bool,
    }

    /// A crash, as nodes report it to each other.
    pub struct RequestCrashReport {
        /// The server.
        pub server: Name,
        /// The incarnation of the server that crashed.
        pub incarnation: u64,
        /// The time since the crash, in milliseconds.
        pub age_ms: u64,
        /// Whether no request explains the crash. It has no suspects then.
        pub is_settled: bool,
        /// The requests that the server had not answered.
        pub suspects: Vec<SuspectRequest>,
    }

    /// A request in quarantine.
    pub struct BlockedRequest {
        /// The hash of what servers receive of it.
        pub content: u64,
        /// The hash of the caller's address; `None` if it is refused whoever sends it.
        pub caller: Option<u64>,
        /// The servers that crashed, one for each crash.
        pub servers: Vec<Name>,
    }
}

/// A change of the quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestQuarantineChange {
    /// The request is refused from now on.
    Began(BlockedRequest),
    /// It is no longer refused.
    Ended(BlockedRequest),
}

/// The crashes of the last minutes, and the requests in quarantine because of them.
#[derive(Debug, Clone, Default)]
pub struct RequestQuarantine {
    crashes: BTreeMap<(Name, u64), Crash>,
    answered: AnsweredIds,
    entries: Vec<Entry>,
    revision: u64,
}

#[derive(Debug, Clone)]
struct Crash {
    at: Instant,
    is_settled: bool,
    suspects: BTreeMap<RequestIdentity, Suspicion>,
    /// The value of [`RequestQuarantine::revision`] when the crash last changed.
    revision: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Suspicion {
    sent_at: Instant,
    is_cleared: bool,
    is_content_cleared: bool,
}

#[derive(Debug, Clone)]
struct Entry {
    blocked: BlockedRequest,
    until: Instant,
}

impl RequestQuarantine {
    /// Records that a server crashed before it had answered a request.
    pub fn record_crash(
        &mut self,
        (server, incarnation): (&Name, u64),
        (identity, sent_at): (RequestIdentity, Instant),
        now: Instant,
    ) -> Vec<RequestQuarantineChange> {
        let suspicion = Suspicion { sent_at, is_cleared: false, is_content_cleared: false };
        let suspects = BTreeMap::from([(identity, suspicion)]);
        let crash = Crash { at: now, is_settled: false, suspects, revision: 0 };
        self.add((server.clone(), incarnation), crash);
        self.reconsider(now)
    }

    /// Records that a server answered a request completely.
    pub fn record_answer(
        &mut self,
        identity: RequestIdentity,
        now: Instant,
    ) -> Vec<RequestQuarantineChange> {
        self.answered.insert(identity.id(), now);
        self.answered.insert(identity.content, now);
        let is_changed = self.clear_suspects(identity.content, |caller| caller == identity.caller);
        if is_changed { self.reconsider(now) } else { Vec::new() }
    }

    /// Clears a request for all callers, as an operator asks for.
    pub fn clear(&mut self, content: u64, now: Instant) -> Vec<RequestQuarantineChange> {
        self.clear_suspects(content, |_| true);
        self.reconsider(now)
    }

    /// Settles crashes, so that no request is refused because of them.
    pub fn settle(
        &mut self,
        crashes: &[(Name, u64)],
        now: Instant,
    ) -> Vec<RequestQuarantineChange> {
        for key in crashes {
            if let Some(crash) = self.crashes.get_mut(key) {
                crash.settle();
                self.revision += 1;
                crash.revision = self.revision;
            }
        }
        self.reconsider(now)
    }

    /// Adds the crashes that another node reports.
    pub fn merge(
        &mut self,
        reports: &[RequestCrashReport],
        now: Instant,
    ) -> Vec<RequestQuarantineChange> {
        let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms)).unwrap_or(now);
        for report in reports {
            let suspects = report.suspects.iter().map(|suspect| {
                let suspicion = Suspicion {
                    sent_at: ago(suspect.sent_ago_ms),
                    is_cleared: suspect.is_cleared,
                    is_content_cleared: suspect.is_content_cleared,
                };
                (suspect.identity, suspicion)
            });
            let crash = Crash {
                at: ago(report.age_ms),
                is_settled: report.is_settled,
                suspects: suspects.collect(),
                revision: 0,
            };
            self.add((report.server.clone(), report.incarnation), crash);
        }
        if reports.is_empty() { Vec::new() } else { self.reconsider(now) }
    }

    /// Ends quarantines whose time is up, settles crashes that no request explains and forgets old
    /// ones.
    pub fn expire(&mut self, now: Instant) -> Vec<RequestQuarantineChange> {
        for crash in self.crashes.values_mut() {
            let is_cleared = crash.suspects.values().all(|suspicion| suspicion.is_cleared);
            if is_cleared && now.saturating_duration_since(crash.at) >= SETTLE_TIME {
                crash.settle();
            }
        }
        self.crashes.retain(|_, crash| now.saturating_duration_since(crash.at) < CRASH_LIFETIME);
        self.reconsider(now)
    }

    /// Returns whether a request is refused.
    pub fn is_blocked(&self, identity: RequestIdentity, now: Instant) -> bool {
        self.entries.iter().any(|Entry { blocked, until }| {
            now < *until
                && blocked.content == identity.content
                && blocked.caller.is_none_or(|caller| caller == identity.caller)
        })
    }

    /// Returns whether a server other than this one may have crashed on the request.
    pub fn is_suspect(&self, identity: RequestIdentity, server: &str, incarnation: u64) -> bool {
        self.crashes.iter().any(|((id, started), crash)| {
            let is_other = **id != *server || *started != incarnation;
            is_other && crash.suspects.get(&identity).is_some_and(|known| !known.is_cleared)
        })
    }

    /// Returns the requests in quarantine, and when each one ends without a further crash.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = (&BlockedRequest, Instant)> {
        self.entries.iter().map(|entry| (&entry.blocked, entry.until))
    }

    /// Returns the number of crashes that are known.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns a number that rises with each change of the known crashes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the crashes that have changed since a revision, for other nodes.
    pub fn reports_since(&self, revision: u64, now: Instant) -> Vec<RequestCrashReport> {
        let ms_since = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let newer = self.crashes.iter().filter(|(_, crash)| crash.revision > revision);
        let reports = newer.map(|((server, incarnation), crash)| RequestCrashReport {
            server: server.clone(),
            incarnation: *incarnation,
            age_ms: ms_since(crash.at),
            is_settled: crash.is_settled,
            suspects: crash
                .suspects
                .iter()
                .map(|(identity, suspicion)| SuspectRequest {
                    identity: *identity,
                    sent_ago_ms: ms_since(suspicion.sent_at),
                    is_cleared: suspicion.is_cleared,
                    is_content_cleared: suspicion.is_content_cleared,
                })
                .collect(),
        });
        reports.collect()
    }

    /// Clears the suspects with this content, each also for its caller if `is_caller` says so.
    /// Returns whether that changed any.
    fn clear_suspects(&mut self, content: u64, is_caller: impl Fn(u64) -> bool) -> bool {
        let first = RequestIdentity { content, caller: 0 };
        let last = RequestIdentity { content, caller: u64::MAX };
        let mut is_changed = false;
        for crash in self.crashes.values_mut() {
            let mut is_crash_changed = false;
            for (identity, suspicion) in crash.suspects.range_mut(first..=last) {
                let cleared = Suspicion {
                    is_cleared: suspicion.is_cleared || is_caller(identity.caller),
                    is_content_cleared: true,
                    ..*suspicion
                };
                is_crash_changed |= std::mem::replace(suspicion, cleared) != cleared;
            }
            if is_crash_changed {
                self.revision += 1;
                crash.revision = self.revision;
                is_changed = true;
            }
        }
        is_changed
    }

    /// Adds a crash, or what another request or node knows of the same one.
    fn add(&mut self, key: (Name, u64), reported: Crash) {
        let (incarnation, is_new) = (key.1, !self.crashes.contains_key(&key));
        let crash = self.crashes.entry(key).or_insert(Crash {
            suspects: BTreeMap::new(),
            is_settled: false,
            ..reported
        });
        let is_changed = crash.merge(reported, &self.answered);
        crash.drop_excess_suspects(incarnation);
        if is_new || is_changed {
            self.revision += 1;
            crash.revision = self.revision;
        }
        self.drop_excess_crashes();
    }

    /// Drops what exceeds the limit, in an order that all nodes share.
    fn drop_excess_crashes(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let rank = |(server, incarnation): &(Name, u64), crash: &Crash| {
                let is_cleared = crash.suspects.values().all(|suspicion| suspicion.is_cleared);
                (is_cleared, xxh3_64_with_seed(server.as_bytes(), *incarnation))
            };
            let last = self.crashes.iter().max_by_key(|(key, crash)| rank(key, crash));
            let Some(last) = last.map(|(key, _)| key.clone()) else { return };
            self.crashes.remove(&last);
        }
    }

    /// Decides again which requests are in quarantine; returns what has changed.
    fn reconsider(&mut self, now: Instant) -> Vec<RequestQuarantineChange> {
        let mut entries = find_entries(&self.crashes);
        entries.retain(|entry| now < entry.until);
        let former = std::mem::replace(&mut self.entries, entries);
        let contains = |entries: &[Entry], Entry { blocked, .. }: &Entry| {
            entries.iter().any(|Entry { blocked: other, .. }| {
                (other.content, other.caller) == (blocked.content, blocked.caller)
            })
        };
        let ended = former.iter().filter(|entry| !contains(&self.entries, entry));
        let began = self.entries.iter().filter(|entry| !contains(&former, entry));
        ended
            .map(|entry| RequestQuarantineChange::Ended(entry.blocked.clone()))
            .chain(began.map(|entry| RequestQuarantineChange::Began(entry.blocked.clone())))
            .collect()
    }
}

impl Crash {
    /// Adds what another request or node knows of the same crash; returns whether that is news.
    fn merge(&mut self, reported: Self, answered: &AnsweredIds) -> bool {
        let mut is_changed = reported.is_settled && !self.is_settled;
        // Times before the crash are kept relative to it.
        let late_by = reported.at.saturating_duration_since(self.at);
        let was_late_by = self.at.saturating_duration_since(reported.at);
        let shift =
            |late_by: Duration| if late_by > MAX_NOTICE_DELAY { late_by } else { Duration::ZERO };
        let earlier = |at: Instant, by: Duration| at.checked_sub(by).unwrap_or(at);
        for suspicion in self.suspects.values_mut() {
            suspicion.sent_at = earlier(suspicion.sent_at, shift(was_late_by));
        }
        self.at = self.at.min(reported.at);
        let cleared_after = self.at.checked_sub(ANSWERED_LIFETIME).unwrap_or(self.at);
        let was_answered = |id: u64| answered.get(id).is_some_and(|at| at > cleared_after);
        if reported.is_settled {
            self.settle();
        }
        if self.is_settled {
            return is_changed;
        }
        for (identity, news) in reported.suspects {
            let sent_at = earlier(news.sent_at, shift(late_by));
            let known = self.suspects.get(&identity).copied();
            let merged = Suspicion {
                // The last one of several attempts at once counts.
                sent_at: known.map_or(sent_at, |known| known.sent_at.max(sent_at)),
                is_cleared: news.is_cleared
                    || known.is_some_and(|known| known.is_cleared)
                    || was_answered(identity.id()),
                is_content_cleared: news.is_content_cleared
                    || known.is_some_and(|known| known.is_content_cleared)
                    || was_answered(identity.content),
            };
            let flags = |suspicion: Suspicion| (suspicion.is_cleared, suspicion.is_content_cleared);
            is_changed |= known.map(flags) != Some(flags(merged));
            self.suspects.insert(identity, merged);
        }
        is_changed
    }

    /// Drops what exceeds the limit, in an order that all nodes share.
    fn drop_excess_suspects(&mut self, incarnation: u64) {
        while self.suspects.len() > MAX_SUSPECTS {
            let last = self
                .suspects
                .iter()
                .max_by_key(|(identity, known)| (known.is_cleared, identity.rank(incarnation)));
            let Some(last) = last.map(|(identity, _)| *identity) else { return };
            self.suspects.remove(&last);
        }
    }

    fn settle(&mut self) {
        self.is_settled = true;
        self.suspects.clear();
    }
}

/// The crashes at which a request was, oldest first.
#[derive(Debug, Clone)]
struct Evidence {
    content: u64,
    caller: Option<u64>,
    /// The index of each crash, and when the request was sent to its server.
    crashes: Vec<(usize, Instant)>,
}

type KnownCrash<'a> = (&'a Name, &'a Crash);

impl Evidence {
    fn indexes(&self) -> impl Iterator<Item = usize> {
        self.crashes.iter().map(|(index, _)| *index)
    }

    /// Counts the crashes, of which those at one time count as one: a request that came to a server
    /// after another one had crashed shows that they did not just fail together.
    fn count(&self, crashes: &[KnownCrash<'_>]) -> u32 {
        // Several callers may send the same at the same time.
        let slack = if self.caller.is_some() { REPORT_DELAY } else { Duration::ZERO };
        let mut count = 0;
        let mut last: Option<Instant> = None;
        for (index, sent_at) in &self.crashes {
            if last.is_none_or(|last| *sent_at + slack >= last) {
                count += 1;
                last = Some(crashes[*index].1.at);
            }
        }
        count
    }

    /// Returns whether the crashes prove that the request is the cause, provided that no other
    /// request was at them too unless `is_only` says otherwise.
    fn is_proof(&self, crashes: &[KnownCrash<'_>], is_only: bool) -> bool {
        let count = self.count(crashes);
        if count >= PROVEN_IN_ANY_CASE {
            return true;
        }
        // Crashes of a single server may be its own fault.
        let servers: BTreeSet<&Name> = self.indexes().map(|index| crashes[index].0).collect();
        is_only
            && count == 2
            && servers.len() > 1
            && self.count_unexplained(crashes) <= MAX_UNEXPLAINED
    }

    /// Counts the other faults about the time of the crashes.
    fn count_unexplained(&self, crashes: &[KnownCrash<'_>]) -> usize {
        let times = || self.indexes().map(|index| crashes[index].1.at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else { return 0 };
        let mut count = 0;
        let mut began: Option<Instant> = None;
        for (index, (_, crash)) in crashes.iter().enumerate() {
            let is_beside =
                crash.at + UNEXPLAINED_WINDOW >= first && crash.at <= last + UNEXPLAINED_WINDOW;
            if is_beside
                && !self.indexes().any(|own| own == index)
                && began.is_none_or(|began| crash.at >= began + SAME_MOMENT)
            {
                count += 1;
                began = Some(crash.at);
            }
        }
        count
    }

    /// Returns the quarantine that follows from the crashes.
    fn entry(&self, crashes: &[KnownCrash<'_>]) -> Option<Entry> {
        let last = self.indexes().map(|index| crashes[index].1.at).max()?;
        Some(Entry {
            blocked: BlockedRequest {
                content: self.content,
                caller: self.caller,
                servers: self.indexes().map(|index| crashes[index].0.clone()).collect(),
            },
            until: last + quarantine_time(self.count(crashes)),
        })
    }
}

/// Returns the requests that the crashes prove to be their cause.
fn find_entries(crashes: &BTreeMap<(Name, u64), Crash>) -> Vec<Entry> {
    let mut crashes: Vec<KnownCrash<'_>> =
        crashes.iter().map(|((server, _), crash)| (server, crash)).collect();
    crashes.sort_by_key(|(server, crash)| (crash.at, *server));
    let repeated = collect_repeated(&crashes);
    let mut proven: Vec<&Evidence> = Vec::new();
    let mut explained = BTreeSet::new();
    for evidence in &repeated {
        if evidence.is_proof(&crashes, false) {
            explained.extend(evidence.indexes());
            proven.push(evidence);
        }
    }
    let is_open =
        |evidence: &&Evidence| evidence.indexes().all(|index| !explained.contains(&index));
    let open: Vec<&Evidence> = repeated.iter().filter(is_open).collect();
    for evidence in &open {
        let shares_a_crash = |other: &&&Evidence| {
            other.indexes().any(|index| evidence.indexes().any(|own| own == index))
        };
        let is_only = open.iter().filter(shares_a_crash).count() == 1;
        if evidence.is_proof(&crashes, is_only) {
            proven.push(evidence);
        }
    }
    proven.into_iter().filter_map(|evidence| evidence.entry(&crashes)).collect()
}

/// Returns the requests that were at more than one crash. One that was at the same crashes whoever
/// sent it as with one of its callers is listed for that caller alone.
fn collect_repeated(crashes: &[KnownCrash<'_>]) -> Vec<Evidence> {
    let mut by_caller: BTreeMap<RequestIdentity, Vec<(usize, Instant)>> = BTreeMap::new();
    let mut by_content: BTreeMap<u64, BTreeMap<usize, Instant>> = BTreeMap::new();
    let repeated = contents_of_several_crashes(crashes);
    for (index, (_, crash)) in crashes.iter().enumerate() {
        for (identity, suspicion) in &crash.suspects {
            if repeated.binary_search(&identity.content).is_err() {
                continue;
            }
            if !suspicion.is_cleared {
                by_caller.entry(*identity).or_default().push((index, suspicion.sent_at));
            }
            if !suspicion.is_content_cleared {
                let sent = by_content.entry(identity.content).or_default();
                let sent_at = sent.entry(index).or_insert(suspicion.sent_at);
                *sent_at = (*sent_at).max(suspicion.sent_at);
            }
        }
    }
    by_caller.retain(|_, crashes| crashes.len() > 1);
    by_content.retain(|content, crashes| {
        let first = RequestIdentity { content: *content, caller: 0 };
        let last = RequestIdentity { content: *content, caller: u64::MAX };
        let is_of_one_caller =
            by_caller.range(first..=last).any(|(_, others)| others.len() == crashes.len());
        crashes.len() > 1 && !is_of_one_caller
    });
    let of_callers = by_caller.into_iter().map(|(identity, crashes)| Evidence {
        content: identity.content,
        caller: Some(identity.caller),
        crashes,
    });
    let of_contents = by_content.into_iter().map(|(content, crashes)| Evidence {
        content,
        caller: None,
        crashes: crashes.into_iter().collect(),
    });
    of_callers.chain(of_contents).collect()
}

/// Returns the contents that were at more than one crash, in ascending order. After the loss of many
/// servers they are few among thousands of suspects.
fn contents_of_several_crashes(crashes: &[KnownCrash<'_>]) -> Vec<u64> {
    let mut contents: Vec<u64> = Vec::new();
    for (_, crash) in crashes {
        let mut own: Vec<u64> = crash.suspects.keys().map(|identity| identity.content).collect();
        own.dedup();
        contents.append(&mut own);
    }
    contents.sort_unstable();
    let repeated =
        contents.chunk_by(|first, second| first == second).filter(|chunk| chunk.len() > 1);
    repeated.map(|chunk| chunk[0]).collect()
}

/// Returns how long a request is refused after the last of so many crashes.
fn quarantine_time(crashes: u32) -> Duration {
    match crashes.checked_sub(PROVEN_IN_ANY_CASE) {
        None => FIRST_QUARANTINE,
        Some(further) => {
            (PROVEN_QUARANTINE * 2_u32.saturating_pow(further.min(8))).min(MAX_QUARANTINE)
        }
    }
}

/// Returns the hash of a request's content: of its method, host, path with query, and body.
pub fn hash_content(parts: &[&[u8]]) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest()
}

/// Returns the hash of a caller's address.
pub fn hash_caller(address: &[u8]) -> u64 {
    xxh3_64(address)
}
