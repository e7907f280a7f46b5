//! Remembers which software version began which stream, so that a stream that is taken up goes on
//! there.
//!
//! Load pattern: servers of several versions serve side by side, and a broken connection, a server or
//! a node that dies, or all nodes at once, make callers take up their streams at any node. A node
//! remembers the streams that it began. Only while versions mix, it tells the leader of its failure
//! domain; leaders tell each other and write batches to the store, from which nodes learn them that
//! have lost their memory. A stream whose version nobody knows is not taken up while versions mix: see
//! docs/DESIGN.md, "Streams stay at their software version".

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Name;

/// The number of streams that are remembered, some 10 MB. At the target of size, the leaders know the
/// streams of 15 s if all services have several versions at once.
const MAX_STREAMS: usize = 100_000;

/// How old the knowledge of servers may be that a node gets when it asks for them. Streams that it recorded
/// this long before it last asked may be from a server that had already started again.
const LATE_ENTRY: Duration = Duration::from_secs(4);

value! {
    /// The streams that one software version of a service began, as nodes report them to each other
    /// and as the store keeps them.
    pub struct OriginReport {
        /// The service.
        pub service: Name,
        /// The version; `None` if it is in doubt.
        pub software: Option<Name>,
        /// The streams, see [`stream_id`].
        pub streams: Vec<u64>,
    }
}

/// How a node knows of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OriginSource {
    /// It forwarded the stream itself.
    Own,
    /// A node that follows it did.
    Follower,
    /// Another leader reported it, or the store has it.
    Elsewhere,
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The service.
    pub service: Name,
    /// The software version; `None` if it is in doubt.
    pub software: Option<Name>,
}

#[derive(Debug, Clone)]
struct Entry {
    origin: StreamOrigin,
    source: OriginSource,
    /// The server that the node itself chose, with its incarnation.
    server: Option<(Name, u64)>,
    recorded_at: Instant,
    /// The value of [`StreamOrigins::revision`] when the entry last changed.
    revision: u64,
}

/// The streams of which the software version is known.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    streams: HashMap<u64, Entry>,
    /// The streams in the order in which they were recorded; some were recorded again since.
    recorded: VecDeque<(Instant, u64)>,
    revision: u64,
}

/// Returns what the attempts at one stream have in common: a hash of the attempt that brought its
/// first event, and of the team, so that nobody can name the attempt of another team.
pub fn stream_id(first_attempt: &str, team: Option<&str>) -> u64 {
    let seed = team.map_or(0, |team| xxh3_64(team.as_bytes()));
    xxh3_64_with_seed(first_attempt.as_bytes(), seed)
}

impl StreamOrigins {
    /// Returns a number that rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns where a stream began, if that is known.
    pub fn find(&self, stream: u64) -> Option<&StreamOrigin> {
        self.streams.get(&stream).map(|entry| &entry.origin)
    }

    /// Records that the node forwarded events of a stream from a server, given with its incarnation.
    pub fn record(
        &mut self,
        stream: u64,
        origin: StreamOrigin,
        server: (&Name, u64),
        now: Instant,
    ) {
        let server = Some((server.0.clone(), server.1));
        let source = OriginSource::Own;
        self.add(stream, Entry { origin, source, server, recorded_at: now, revision: 0 });
    }

    /// Takes over what another node or the store knows. Two records that contradict each other leave
    /// the version in doubt.
    pub fn merge(&mut self, reports: &[OriginReport], source: OriginSource, now: Instant) {
        for OriginReport { service, software, streams } in reports {
            let origin = StreamOrigin { service: service.clone(), software: software.clone() };
            for stream in streams {
                if self.streams.get(stream).is_some_and(|known| known.origin == origin) {
                    continue;
                }
                let origin = origin.clone();
                let entry = Entry { origin, source, server: None, recorded_at: now, revision: 0 };
                self.add(*stream, entry);
            }
        }
    }

    fn add(&mut self, stream: u64, mut entry: Entry) {
        let recorded_at = entry.recorded_at;
        if let Some(known) = self.streams.get(&stream) {
            if known.origin != entry.origin {
                entry.origin.software = None;
            }
            entry.source = entry.source.min(known.source);
            // Nothing that others would have to learn.
            if known.origin == entry.origin && known.source == entry.source {
                entry.revision = known.revision;
            }
        }
        if entry.revision == 0 {
            self.revision += 1;
            entry.revision = self.revision;
        }
        self.streams.insert(stream, entry);
        self.recorded.push_back((recorded_at, stream));
        while self.recorded.len() > MAX_STREAMS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((recorded_at, stream)) = self.recorded.pop_front() else { return };
        if self.streams.get(&stream).is_some_and(|entry| entry.recorded_at == recorded_at) {
            self.streams.remove(&stream);
        }
    }

    /// Puts the streams in doubt that the node forwarded from a server which has meanwhile started again
    /// with other software: some may have begun after that start. `known_at` is when the node last asked
    /// for the servers and still learned of the former incarnation.
    pub fn doubt(&mut self, server: &str, incarnation: u64, known_at: Instant) {
        for entry in self.streams.values_mut() {
            let is_from_server = entry
                .server
                .as_ref()
                .is_some_and(|(id, started)| **id == *server && *started == incarnation);
            let known_after = known_at.saturating_duration_since(entry.recorded_at);
            if is_from_server && known_after < LATE_ENTRY && entry.origin.software.take().is_some()
            {
                self.revision += 1;
                entry.revision = self.revision;
            }
        }
    }

    /// Makes all streams of a service count as changed, as others have to learn of them from now on.
    pub fn report_again(&mut self, service: &str) {
        for entry in self.streams.values_mut().filter(|entry| *entry.origin.service == *service) {
            self.revision += 1;
            entry.revision = self.revision;
        }
    }

    /// Returns the streams of some services that have changed since a revision, of those that the node
    /// knows from `source` or from nearer.
    pub fn reports_since(
        &self,
        revision: u64,
        source: OriginSource,
        is_wanted: impl Fn(&str) -> bool,
    ) -> Vec<OriginReport> {
        if revision == self.revision {
            return Vec::new();
        }
        let mut by_origin: BTreeMap<(&Name, Option<&Name>), Vec<u64>> = BTreeMap::new();
        for (stream, entry) in &self.streams {
            if entry.revision > revision && entry.source <= source {
                let StreamOrigin { service, software } = &entry.origin;
                by_origin.entry((service, software.as_ref())).or_default().push(*stream);
            }
        }
        let reports = by_origin.into_iter().filter(|((service, _), _)| is_wanted(service));
        let reports = reports.map(|((service, software), streams)| OriginReport {
            service: service.clone(),
            software: software.cloned(),
            streams,
        });
        reports.collect()
    }

    /// Returns what is known of these streams.
    pub fn reports_of(&self, streams: &[u64]) -> Vec<OriginReport> {
        let known = streams.iter().filter_map(|stream| {
            let StreamOrigin { service, software } = self.find(*stream)?.clone();
            Some(OriginReport { service, software, streams: vec![*stream] })
        });
        known.collect()
    }

    /// Forgets the streams that were recorded longer ago than `lifetime`.
    pub fn expire(&mut self, lifetime: Duration, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= lifetime;
        while self.recorded.front().is_some_and(|(at, _)| is_old(*at)) {
            self.forget_oldest();
        }
    }
}

/// The shortest time between two writes of one node.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// The time after which a node writes to its next key. Until then, each write repeats what the key
/// already has.
const KEY_PERIOD: Duration = Duration::from_secs(1);

/// The number of streams in one key, some 12 bytes each in the store.
const MAX_STREAMS_IN_KEY: usize = 20_000;

/// The number of keys that one write removes.
const MAX_REMOVALS: usize = 24;

/// Decides when a node writes streams to the store, and to which of its keys.
#[derive(Debug, Clone, Default)]
pub struct OriginArchive {
    /// The number of the key that is being written.
    key: u64,
    key_began: Option<Instant>,
    /// The revision that the keys before have.
    earlier_revision: u64,
    /// The revision that the store has.
    written_revision: u64,
    written_at: Option<Instant>,
    /// The keys of this failure domain in the store, with the time at which they were first seen.
    stored: BTreeMap<String, Instant>,
}

/// What a node writes to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginWrite {
    /// The number of the key; `None` if there is only something to remove.
    pub key: Option<u64>,
    /// The content of the key.
    pub reports: Vec<OriginReport>,
    /// The keys to remove.
    pub removals: Vec<String>,
    /// The revision of the content.
    pub revision: u64,
}

impl OriginArchive {
    /// Records that the store has a key of this failure domain.
    pub fn record_stored(&mut self, key: &str, now: Instant) {
        if !self.stored.contains_key(key) {
            self.stored.insert(key.to_owned(), now);
        }
    }

    /// Records that the store no longer has a key.
    pub fn record_removed(&mut self, key: &str) {
        self.stored.remove(key);
    }

    /// Records that the store has gone back to a copy: all is written again.
    pub fn record_return(&mut self) {
        (self.earlier_revision, self.written_revision) = (0, 0);
        self.key += 1;
        self.key_began = None;
    }

    /// Returns what the node writes now, if anything is due. `removes` tells whether it removes what
    /// has expired in its failure domain.
    pub fn next_write(
        &mut self,
        origins: &StreamOrigins,
        is_mixed: impl Fn(&str) -> bool,
        (removes, lifetime): (bool, Duration),
        now: Instant,
    ) -> Option<OriginWrite> {
        let is_early = |at: Instant| now.saturating_duration_since(at) < WRITE_INTERVAL;
        if self.written_at.is_some_and(is_early) {
            return None;
        }
        let source = OriginSource::Follower;
        let has_news = !origins.reports_since(self.written_revision, source, &is_mixed).is_empty();
        let mut reports = Vec::new();
        if has_news {
            let is_over = |at: Instant| now.saturating_duration_since(at) >= KEY_PERIOD;
            if self.key_began.is_some_and(is_over) {
                self.start_key();
            }
            reports = origins.reports_since(self.earlier_revision, source, &is_mixed);
            let count: usize = reports.iter().map(|report| report.streams.len()).sum();
            if count > MAX_STREAMS_IN_KEY && self.written_revision > self.earlier_revision {
                self.start_key();
                reports = origins.reports_since(self.earlier_revision, source, &is_mixed);
            }
            self.key_began.get_or_insert(now);
        }
        let is_expired = |at: &Instant| now.saturating_duration_since(*at) >= lifetime;
        let expired = self.stored.iter().filter(|(_, seen)| removes && is_expired(seen));
        let removals: Vec<String> =
            expired.take(MAX_REMOVALS).map(|(key, _)| key.clone()).collect();
        if !has_news && removals.is_empty() {
            return None;
        }
        self.written_at = Some(now);
        let key = has_news.then_some(self.key);
        Some(OriginWrite { key, reports, removals, revision: origins.revision() })
    }

    fn start_key(&mut self) {
        self.key += 1;
        self.key_began = None;
        self.earlier_revision = self.written_revision;
    }

    /// Records that a write took effect.
    pub fn record_written(&mut self, write: &OriginWrite) {
        if write.key.is_some() {
            self.written_revision = write.revision;
        }
        for key in &write.removals {
            self.stored.remove(key);
        }
    }
}
