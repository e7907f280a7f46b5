//! Keeps streams at the software version that began them: binds a request that takes up a stream to
//! its version, and exchanges the versions of streams with other nodes and the store.
//!
//! `savoryport_core::node::software_versions` decides whether versions mix, and
//! `savoryport_core::node::stream_origins` what is remembered and written to the store.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{self, Read, Write as _};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use savoryport_adapter::store::{Change, CommitResult, Entry, StoreError, Transaction};
use savoryport_core::Name;
use savoryport_core::node::deployment::{MAX_STREAM_LIFETIME, RequestKind};
use savoryport_core::node::registry::BackendServer;
use savoryport_core::node::software_versions::{SoftwareVersions, VersionRecord};
use savoryport_core::node::stream_origins::{
    OriginArchive, OriginReport, OriginSource, StreamOrigin, StreamOrigins, stream_id,
};
use thiserror::Error;

use super::context::NodeContext;
use super::crash_archive::count_leaders_before;
use super::fleet::{ServiceVersion, version_of};
use super::proxy::ProxyRequest;
use super::response::{Refusal, RefusalCause};
use super::view::FleetView;

/// The prefix of the keys in the store that have the versions of streams; the failure domain, the node
/// and a number follow.
const STREAMS_PREFIX: &str = "savoryport/streams/";

/// The key in the store that has the software versions of the services.
const VERSIONS_KEY: &str = "savoryport/versions";

/// Interval between checks for news to write.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a leader waits for each one before it to write the software versions.
const DEPUTY_DELAY: Duration = Duration::from_millis(1_500);

/// The longest interval between two syncs of a follower that knows of streams which its leader does
/// not know. The streams that it has not reported cannot be taken up if it dies.
pub(super) const MIXED_SYNC_PERIOD: Duration = Duration::from_millis(100);

/// How often others are asked for the version of a stream, and the pause between two times: the node
/// that began it may report it meanwhile.
const LOOKUPS: u32 = 4;

/// The pause between two lookups.
const LOOKUP_PAUSE: Duration = Duration::from_millis(120);

/// Timeout for asking the leader.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// The shortest time between two lookups in the store.
const STORE_LOOKUP_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for asking the store which software versions there are.
const VERSIONS_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the store is not asked again after it did not tell the versions, so that requests are refused at
/// once during an outage.
const FAILED_LOOKUP_PAUSE: Duration = Duration::from_secs(1);

/// How long servers of a software version are not used while the store does not take the version. Without
/// a bound, a release during an outage of the store would leave a service without servers.
const MAX_WITHHELD: Duration = Duration::from_secs(5);

/// The time after which a caller may try again whose stream nobody knows.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// The size limit of a decompressed key with streams, in bytes.
const MAX_KEY_BYTES: u64 = 4 * 1024 * 1024;

/// Why streams were not written to the store.
#[derive(Debug, Error)]
enum WriteError {
    /// The compression failed, which only a lack of memory can cause.
    #[error("cannot compress: {0}")]
    Encode(#[from] io::Error),
    /// The store did not take them.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// What a node knows of software versions and of streams.
#[derive(Debug, Default)]
pub struct SharedStreamOrigins {
    state: Mutex<State>,
    /// When the streams in the store were last read because one was not known.
    store_lookup: tokio::sync::Mutex<Option<Instant>>,
    /// The versions in the store when it was last asked for them because a stream was not known.
    versions_lookup: tokio::sync::Mutex<Option<VersionsLookup>>,
}

/// The software versions at which a stream may have begun.
enum Versions {
    One(Name),
    Several,
    /// The store did not tell.
    Unknown,
}

/// What the store answered when it was asked for the software versions.
#[derive(Debug)]
struct VersionsLookup {
    asked_at: Instant,
    /// `None` if it did not answer in time, or keeps none.
    record: Option<VersionRecord>,
}

#[derive(Debug, Default)]
struct State {
    versions: SoftwareVersions,
    origins: StreamOrigins,
    archive: OriginArchive,
    /// What the store keeps of versions, with the revision of its key; 0 if there is none.
    stored_versions: (VersionRecord, u64),
    /// Since when that has to be written.
    differs_since: Option<Instant>,
    /// The services that have, or had until lately, servers of several versions.
    mixed: BTreeSet<Name>,
    /// Since when servers of software versions that the store does not keep are not used.
    withheld_since: BTreeMap<ServiceVersion, Instant>,
    /// When the servers that this node knows were last asked for.
    confirmed_at: Option<Instant>,
    /// The incarnation and the software of each server.
    servers: HashMap<Name, (u64, Name)>,
    view: Option<Arc<FleetView>>,
    /// How long streams of each service may be taken up, by the configuration of this version.
    lifetimes: (u64, BTreeMap<Name, Duration>),
}

impl SharedStreamOrigins {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

impl State {
    /// Takes over the servers of a view, and finds out which services have several versions.
    fn refresh(&mut self, view: &Arc<FleetView>, now: Instant) {
        let is_known = self.view.as_ref().is_some_and(|known| Arc::ptr_eq(known, view));
        if !is_known {
            self.doubt_restarted(view, now);
            self.versions.update(view.servers.values().map(|server| &**server), now);
            let version = view.version();
            if let Some(deployment) = view.deployment().filter(|_| self.lifetimes.0 != version) {
                self.lifetimes = (version, deployment.stream_lifetimes());
            }
            self.view = Some(view.clone());
        }
        let services = self.versions.services();
        let mixed: BTreeSet<Name> = services
            .filter(|service| self.versions.is_mixed(service, self.lifetime(service), now))
            .cloned()
            .collect();
        if mixed != self.mixed {
            for service in mixed.difference(&self.mixed) {
                log::info!(service = &**service; "several software versions");
                self.origins.report_again(service);
            }
            for service in self.mixed.difference(&mixed) {
                log::info!(service = &**service; "one software version");
            }
            self.mixed = mixed;
        }
    }

    /// Puts streams in doubt whose servers started again with other software.
    fn doubt_restarted(&mut self, view: &FleetView, now: Instant) {
        let known_at = self.confirmed_at.unwrap_or(now);
        for server in view.servers.values().chain(view.withheld.values()) {
            let present = (server.incarnation, &server.software);
            match self.servers.get_mut(&server.id) {
                Some((incarnation, software)) if (*incarnation, &*software) != present => {
                    if *software != server.software {
                        self.origins.doubt(&server.id, *incarnation, known_at);
                    }
                    (*incarnation, *software) = (server.incarnation, server.software.clone());
                }
                Some(_) => {}
                None => {
                    let known = (server.incarnation, server.software.clone());
                    self.servers.insert(server.id.clone(), known);
                }
            }
        }
        if self.servers.len() > view.servers.len() + view.withheld.len() {
            let is_known =
                |id: &Name| view.servers.contains_key(id) || view.withheld.contains_key(id);
            self.servers.retain(|id, _| is_known(id));
        }
    }

    fn lifetime(&self, service: &str) -> Duration {
        self.lifetimes.1.get(service).copied().unwrap_or(MAX_STREAM_LIFETIME)
    }

    fn expire(&mut self, now: Instant) {
        let lifetimes = &self.lifetimes.1;
        self.versions
            .expire(|service| lifetimes.get(service).copied().unwrap_or(MAX_STREAM_LIFETIME), now);
        self.origins.expire(longest_lifetime(lifetimes), now);
    }

    /// Returns whether a node should neither begin nor resume a stream at this server because the
    /// server has meanwhile started again with other software.
    fn is_in_doubt(&self, server: &BackendServer) -> bool {
        let known = self.servers.get(&server.id);
        known.is_some_and(|(_, software)| *software != server.software)
    }
}

fn longest_lifetime(lifetimes: &BTreeMap<Name, Duration>) -> Duration {
    lifetimes.values().max().copied().unwrap_or(MAX_STREAM_LIFETIME)
}

impl ProxyRequest {
    /// Binds a request that takes up a stream to the software version that began it. If nobody knows
    /// the version while there are several, the request is refused: its caller may start anew.
    pub(super) async fn bind_to_origin(&mut self) -> Result<(), Refusal> {
        if self.head.last_event_id.is_none() || !self.route.kind.is_stream() {
            return Ok(());
        }
        let origin = match self.known_origin() {
            Some(origin) if origin.software.is_some() => Some(origin),
            known => match self.find_versions().await {
                Versions::One(software) => {
                    let service = self.service.clone();
                    Some(StreamOrigin { service, software: Some(software) })
                }
                // In doubt, which matters only while there are several versions.
                Versions::Several | Versions::Unknown if known.is_some() => known,
                Versions::Several => self.look_up_origin().await,
                Versions::Unknown => self.ask_leader_for_origin().await,
            },
        };
        match origin {
            Some(StreamOrigin { service, software: Some(software) }) => {
                self.service = service;
                self.software = Some(software);
                Ok(())
            }
            Some(_) | None => {
                self.cx.metrics.unknown_origins.inc();
                Err(Refusal::with_retry_after(
                    RefusalCause::VersionUnknown,
                    RETRY_AFTER.mul_f64(1.0 + self.cx.random_unit()),
                ))
            }
        }
    }

    /// Returns what this node knows of the stream, unless the route no longer leads to its service.
    fn known_origin(&self) -> Option<StreamOrigin> {
        let origin = self.cx.stream_origins.lock().origins.find(self.stream?)?.clone();
        self.route.services.iter().any(|(name, _)| *name == origin.service).then_some(origin)
    }

    /// Returns the software versions at which the stream may have begun.
    ///
    /// What this node knows may be older than the stream: it may have been stopped, or cut off. So the
    /// store is asked after the request has arrived. It keeps each version before any node uses a server
    /// of it.
    async fn find_versions(&self) -> Versions {
        let (view, now) = (self.cx.fleet.view(), self.cx.now());
        {
            let mut state = self.cx.stream_origins.lock();
            state.refresh(&view, now);
            if state.mixed.contains(&self.service) {
                return Versions::Several;
            }
        }
        let mut lookup = self.cx.stream_origins.versions_lookup.lock().await;
        // One answer serves all requests that had arrived before it was asked for.
        let known = lookup.take().filter(|lookup| {
            let is_recent = self.cx.now() < lookup.asked_at + FAILED_LOOKUP_PAUSE;
            lookup.asked_at > self.arrived_at || lookup.record.is_none() && is_recent
        });
        let lookup = lookup.insert(match known {
            Some(known) => known,
            None => ask_for_versions(&self.cx).await,
        });
        match lookup.record.as_ref().and_then(|record| record.services.get(&self.service)) {
            Some(versions) => match versions.as_slice() {
                [version] => Versions::One(version.clone()),
                _ => Versions::Several,
            },
            None => Versions::Unknown,
        }
    }

    /// Asks the leader once for the stream, while the store does not tell which versions there are.
    async fn ask_leader_for_origin(&self) -> Option<StreamOrigin> {
        ask_leader(&self.cx, self.stream?).await;
        self.known_origin()
    }

    async fn look_up_origin(&self) -> Option<StreamOrigin> {
        let stream = self.stream?;
        for lookup in 0..LOOKUPS {
            if lookup > 0 {
                tokio::time::sleep(LOOKUP_PAUSE.min(self.remaining_time())).await;
            }
            look_up(&self.cx, stream).await;
            if let Some(origin) = self.known_origin() {
                return Some(origin);
            }
        }
        None
    }

    /// Binds a stream to the software version of the server whose events are forwarded, and records
    /// that.
    pub(super) fn record_origin(&mut self, server: &BackendServer) {
        let software = self.software.get_or_insert_with(|| server.software.clone()).clone();
        let RequestKind::Stream { resumable: true } = self.route.kind else { return };
        let Some(stream) = self.stream else { return };
        let now = self.cx.now();
        let mut state = self.cx.stream_origins.lock();
        let software = Some(software).filter(|_| !state.is_in_doubt(server));
        let origin = StreamOrigin { service: self.service.clone(), software };
        state.origins.record(stream, origin, (&server.id, server.incarnation), now);
    }

    /// Returns whether a server's software can go on with the stream.
    pub(super) fn fits_software(&self, server: &BackendServer) -> bool {
        self.software.as_ref().is_none_or(|software| *software == server.software)
    }

    /// Returns whether the version that events were forwarded of is in doubt, since their server
    /// started again with other software.
    pub(super) fn is_origin_in_doubt(&self, server: &BackendServer) -> bool {
        let (view, now) = (self.cx.fleet.view(), self.cx.now());
        let mut state = self.cx.stream_origins.lock();
        state.refresh(&view, now);
        state.is_in_doubt(server)
    }
}

/// Returns the id of the stream that a request begins or takes up; `None` if it takes up one without
/// naming the attempt that began it.
pub(super) fn stream_of(
    head: &savoryport_core::node::request::RequestHead,
    team: Option<&str>,
) -> Option<u64> {
    match (&head.last_event_id, &head.resumes) {
        (None, _) => Some(stream_id(&head.id, team)),
        (Some(_), first) => first.as_ref().map(|first| stream_id(first, team)),
    }
}

/// Asks the leader for a stream; returns whether there is another node that leads and answers.
async fn ask_leader(cx: &NodeContext, stream: u64) -> bool {
    let leader = cx.fleet.read(|state| state.leader(&cx.settings.failure_domain).cloned());
    let leader = leader.filter(|leader| leader.vm != cx.settings.vm);
    let leader = leader.filter(|_| !cx.is_leader_lost.load(Ordering::Relaxed));
    let Some(leader) = leader else { return false };
    let ask = async {
        let connection = cx.peers.get_or_connect(leader.peers).await?;
        connection.find_streams(vec![stream], LOOKUP_TIMEOUT).await
    };
    let Ok(Ok(reports)) = tokio::time::timeout(LOOKUP_TIMEOUT, ask).await else { return false };
    merge_origins(cx, &reports, OriginSource::Elsewhere);
    true
}

/// Asks the leader for a stream, or reads the store if no leader answers or this node leads.
async fn look_up(cx: &NodeContext, stream: u64) {
    if ask_leader(cx, stream).await {
        return;
    }
    let asked_at = cx.now();
    let mut read_at = cx.stream_origins.store_lookup.lock().await;
    let is_fresh = |at: Instant| at + STORE_LOOKUP_INTERVAL > asked_at;
    if read_at.is_some_and(is_fresh) {
        return;
    }
    cx.metrics.store_calls.inc();
    match cx.store.list(STREAMS_PREFIX).await {
        Ok(listing) => apply_entries(cx, listing.entries.iter()),
        Err(err) => log::warn!(err:% = err; "cannot read the streams in the store"),
    }
    *read_at = Some(cx.now());
}

/// Asks the store for the software versions, and takes them over.
async fn ask_for_versions(cx: &NodeContext) -> VersionsLookup {
    let asked_at = cx.now();
    cx.metrics.store_calls.inc();
    cx.metrics.version_lookups.inc();
    let record = match tokio::time::timeout(VERSIONS_TIMEOUT, cx.store.get(VERSIONS_KEY)).await {
        Ok(Ok(Some(entry))) => apply_versions(cx, &entry),
        Ok(Ok(None)) => None,
        Ok(Err(err)) => {
            log::warn!(err:% = err; "cannot read the software versions in the store");
            None
        }
        Err(_) => {
            log::warn!("the store was silent when it was asked for the software versions");
            None
        }
    };
    VersionsLookup { asked_at, record }
}

/// Returns what this node knows of streams, for a node that asks.
pub(super) fn find_streams(cx: &NodeContext, streams: &[u64]) -> Vec<OriginReport> {
    cx.stream_origins.lock().origins.reports_of(streams)
}

/// Records that the servers of the present view were asked for at this time.
pub(super) fn confirm_servers(cx: &NodeContext, asked_at: Instant) {
    let (view, now) = (cx.fleet.view(), cx.now());
    let mut state = cx.stream_origins.lock();
    // What has changed since the last time is judged by that time.
    state.refresh(&view, now);
    state.confirmed_at = Some(asked_at);
}

/// Takes over what another node or the store knows of streams.
pub(super) fn merge_origins(cx: &NodeContext, reports: &[OriginReport], source: OriginSource) {
    if !reports.is_empty() {
        cx.stream_origins.lock().origins.merge(reports, source, cx.now());
    }
}

/// Returns the streams of services with several versions that have changed since a revision, and the
/// present revision.
pub(super) fn origins_since(
    cx: &NodeContext,
    revision: u64,
    source: OriginSource,
) -> (u64, Vec<OriginReport>) {
    let state = cx.stream_origins.lock();
    if state.mixed.is_empty() {
        return (state.origins.revision(), Vec::new());
    }
    let is_mixed = |service: &str| state.mixed.contains(service);
    (state.origins.revision(), state.origins.reports_since(revision, source, is_mixed))
}

/// Returns whether any service has several versions.
pub(super) fn versions_mix(cx: &NodeContext) -> bool {
    !cx.stream_origins.lock().mixed.is_empty()
}

/// Follows the software versions of the servers, and writes to the store: a leader, or a node without
/// one, the streams, and one leader the versions.
pub async fn run(cx: Arc<NodeContext>) {
    let mut era = 0;
    while !cx.stopping.is_cancelled() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let (view, now) = (cx.fleet.view(), cx.now());
        let store_era = cx.store.era();
        {
            let mut state = cx.stream_origins.lock();
            state.refresh(&view, now);
            state.expire(now);
            if std::mem::replace(&mut era, store_era) != store_era {
                state.archive.record_return();
            }
        }
        admit_withheld(&cx);
        if !cx.store_health.is_answering() {
            continue;
        }
        if let Err(err) = write_origins(&cx).await {
            log::warn!(err:% = err; "streams not written to the store");
        }
        if let Err(err) = write_versions(&cx).await {
            log::warn!(err:% = err; "software versions not written to the store");
        }
    }
}

async fn write_origins(cx: &NodeContext) -> Result<(), WriteError> {
    let domain = &cx.settings.failure_domain;
    let leads = cx.controllers.leads(domain);
    let has_leader = cx.fleet.read(|state| state.leader(domain).is_some())
        && !cx.is_leader_lost.load(Ordering::Relaxed);
    if has_leader && !leads {
        return Ok(());
    }
    let write = {
        let mut state = cx.stream_origins.lock();
        let State { origins, archive, mixed, lifetimes, .. } = &mut *state;
        let is_mixed = |service: &str| mixed.contains(service);
        let lifetime = longest_lifetime(&lifetimes.1);
        archive.next_write(origins, is_mixed, (leads, lifetime), cx.now())
    };
    let Some(write) = write else { return Ok(()) };
    let prefix = format!("{STREAMS_PREFIX}{domain}/{}-{:x}", cx.settings.vm, cx.tenure);
    let put = match write.key {
        Some(key) => Some((format!("{prefix}/{key}"), encode(&write.reports)?, 0)),
        None => None,
    };
    let transaction = Transaction {
        puts: put.into_iter().collect(),
        removes: write.removals.clone(),
        ..Transaction::default()
    };
    cx.metrics.store_calls.inc();
    cx.store.commit(&transaction).await?;
    cx.metrics.origin_writes.inc();
    cx.stream_origins.lock().archive.record_written(&write);
    Ok(())
}

/// Returns the versions of servers that are not used, since the store does not keep them yet.
fn withheld_versions(cx: &NodeContext) -> BTreeSet<ServiceVersion> {
    cx.fleet.view().withheld.values().map(|server| version_of(server)).collect()
}

/// Uses servers whose versions the store has not taken for too long.
fn admit_withheld(cx: &NodeContext) {
    let withheld = withheld_versions(cx);
    let now = cx.now();
    let overdue: Vec<ServiceVersion> = {
        let mut state = cx.stream_origins.lock();
        let since = &mut state.withheld_since;
        since.retain(|version, _| withheld.contains(version));
        for version in withheld {
            since.entry(version).or_insert(now);
        }
        let is_overdue = |since: &Instant| now.saturating_duration_since(*since) >= MAX_WITHHELD;
        since.iter().filter(|(_, at)| is_overdue(at)).map(|(version, _)| version.clone()).collect()
    };
    if overdue.is_empty() {
        return;
    }
    for (service, software) in &overdue {
        log::warn!(
            service = &**service, software = &**software;
            "servers used although the store does not keep their version"
        );
    }
    cx.fleet.update(|state| state.admit_versions(overdue));
}

async fn write_versions(cx: &NodeContext) -> Result<(), StoreError> {
    let Some(deputies) = count_leaders_before(cx) else { return Ok(()) };
    let withheld = withheld_versions(cx);
    let (record, revision) = {
        let mut state = cx.stream_origins.lock();
        let now = cx.now();
        let (stored, revision) = &state.stored_versions;
        let differs = state.versions.differ_from(stored) || !withheld.is_empty();
        let revision = *revision;
        let since = differs.then(|| state.differs_since.unwrap_or(now));
        state.differs_since = since;
        // Servers wait for the record, so that no leader waits for another one to write it.
        let delay = if withheld.is_empty() { DEPUTY_DELAY * deputies } else { Duration::ZERO };
        if since.is_none_or(|since| now < since + delay) {
            return Ok(());
        }
        let mut record = state.versions.record();
        for (service, software) in &withheld {
            record.add(service, software);
        }
        (record, revision)
    };
    let value = serde_json::to_vec(&record).expect("plain fields serialize");
    let transaction = Transaction {
        expected: vec![(VERSIONS_KEY.to_owned(), revision)],
        puts: vec![(VERSIONS_KEY.to_owned(), value, 0)],
        ..Transaction::default()
    };
    cx.metrics.store_calls.inc();
    match cx.store.commit(&transaction).await? {
        CommitResult::Committed(written) => {
            log::info!(revision = written.number; "software versions written to the store");
            take_over_versions(cx, record, written.number);
        }
        CommitResult::Conflict => {
            cx.metrics.store_calls.inc();
            match cx.store.get(VERSIONS_KEY).await? {
                Some(entry) => drop(apply_versions(cx, &entry)),
                None => cx.stream_origins.lock().stored_versions = Default::default(),
            }
        }
    }
    Ok(())
}

/// Takes over what a listing of the store says of versions and streams.
pub(super) fn apply_listing(cx: &NodeContext, entries: &[Entry]) {
    match entries.iter().find(|entry| entry.key == VERSIONS_KEY) {
        Some(entry) => drop(apply_versions(cx, entry)),
        None => cx.stream_origins.lock().stored_versions = Default::default(),
    }
    apply_entries(cx, entries.iter());
}

/// Takes over what changes in the store say of versions and streams.
pub(super) fn apply_changes(cx: &NodeContext, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Put(entry) if entry.key == VERSIONS_KEY => drop(apply_versions(cx, entry)),
            Change::Put(entry) => apply_entries(cx, std::iter::once(entry)),
            Change::Removed { key } if key == VERSIONS_KEY => {
                cx.stream_origins.lock().stored_versions = Default::default();
            }
            Change::Removed { key } => cx.stream_origins.lock().archive.record_removed(key),
        }
    }
}

/// Takes over the versions that the store keeps; returns them if they can be read.
fn apply_versions(cx: &NodeContext, entry: &Entry) -> Option<VersionRecord> {
    let revision = entry.revision.number;
    match serde_json::from_slice::<VersionRecord>(&entry.value) {
        Ok(record) => {
            take_over_versions(cx, record.clone(), revision);
            Some(record)
        }
        Err(err) => {
            log::warn!(revision = revision, err:% = err; "cannot read the versions in the store");
            cx.stream_origins.lock().stored_versions = (VersionRecord::default(), revision);
            None
        }
    }
}

fn take_over_versions(cx: &NodeContext, record: VersionRecord, revision: u64) {
    let recorded = record
        .services
        .iter()
        .flat_map(|(service, versions)| versions.iter().map(|name| (service.clone(), name.clone())))
        .collect();
    cx.fleet.update(|state| state.set_recorded_versions(recorded));
    let mut state = cx.stream_origins.lock();
    if state.stored_versions.1 != revision {
        state.versions.merge(&record, cx.now());
        state.stored_versions = (record, revision);
    }
}

fn apply_entries<'a>(cx: &NodeContext, entries: impl Iterator<Item = &'a Entry>) {
    let own_prefix = format!("{STREAMS_PREFIX}{}/", cx.settings.failure_domain);
    for entry in entries.filter(|entry| entry.key.starts_with(STREAMS_PREFIX)) {
        let now = cx.now();
        let mut state = cx.stream_origins.lock();
        if entry.key.starts_with(&own_prefix) {
            state.archive.record_stored(&entry.key, now);
        }
        match decode(&entry.value) {
            Ok(reports) => state.origins.merge(&reports, OriginSource::Elsewhere, now),
            Err(err) => {
                log::warn!(key = &*entry.key, err:% = err; "cannot read streams in the store");
            }
        }
    }
}

fn encode(reports: &[OriginReport]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(reports).expect("plain fields serialize"))?;
    encoder.finish()
}

fn decode(value: &[u8]) -> serde_json::Result<Vec<OriginReport>> {
    serde_json::from_reader(io::BufReader::new(DeflateDecoder::new(value).take(MAX_KEY_BYTES)))
}
