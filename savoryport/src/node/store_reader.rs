//! Reads the platform's store: the configuration, the servers and the leaders of failure domains.
//!
//! Every open watch is billed, so only leaders read continuously; other nodes read only while they
//! get no answers from a leader. One watch covers all keys of the store.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use savoryport_adapter::config::{CONFIG_KEY, decode_deployment};
use savoryport_adapter::registry::{decode_server_entry, server_id};
use savoryport_adapter::store::{Change, Entry, Listing, Revision, StoreError};
use savoryport_core::Name;
use savoryport_core::node::registry::MISSING_GRACE;
use tokio::sync::watch;

use super::config_age::confirm_config;
use super::context::NodeContext;
use super::crash_archive;
use super::fleet::FleetState;
use super::stream_origins;
use super::view::{AcceptedConfig, DomainLeader};

/// Prefix of the keys in the store that name the leaders, one for each failure domain.
pub const LEADER_KEY_PREFIX: &str = "savoryport/duty/";

/// How long a node without a leader watches for one before it reads all keys again. Within this time
/// it does not learn of servers that leave.
const LEADER_WATCH: Duration = Duration::from_millis(1_500);

/// The store counts as unavailable when a call has failed and it has not answered for this long. If
/// no call has failed, twice that time.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Delay after the first failed call; doubled for each further failure up to [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Upper bound of the delay after failed calls of a leader.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Upper bound of the delay after failed calls of a node that leads nothing. After an outage the node
/// does not learn of servers that leave until its next call.
const MAX_IDLE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The number of nodes of a failure domain that retry within [`MAX_RETRY_DELAY`]. Where there are
/// more, each waits longer, so that an outage is not met by more calls the more nodes there are.
const RETRYING_NODES: u32 = 3;

/// Tracks when the store last answered and when its last outage ended.
#[derive(Debug, Default)]
pub struct StoreHealth(Mutex<HealthTimes>);

#[derive(Debug, Default, Clone, Copy)]
struct HealthTimes {
    last_answer: Option<Instant>,
    /// When the first call failed since the last answer.
    failing_since: Option<Instant>,
    outage_ended: Option<Instant>,
}

impl StoreHealth {
    /// Records an answer. If it ends an outage, returns how long calls had failed.
    pub fn record_answer(&self, now: Instant) -> Option<Duration> {
        let mut times = self.0.lock().expect("no thread panics while holding the lock");
        // Counted from the first failed call, since a follower that makes no calls observes no
        // outage.
        let failing = times.failing_since.take().map(|at| now.saturating_duration_since(at));
        let outage = failing.filter(|silence| *silence > UNAVAILABLE_AFTER);
        if outage.is_some() {
            times.outage_ended = Some(now);
        }
        times.last_answer = Some(now);
        outage
    }

    /// Records that the store was restored and may lack entries of running servers.
    pub fn record_return(&self, now: Instant) {
        self.0.lock().expect("no thread panics while holding the lock").outage_ended = Some(now);
    }

    /// Records a failed call.
    pub fn record_failure(&self, now: Instant) {
        self.0
            .lock()
            .expect("no thread panics while holding the lock")
            .failing_since
            .get_or_insert(now);
    }

    /// Returns whether the store has answered recently.
    pub fn is_available(&self, now: Instant) -> bool {
        let times = *self.0.lock().expect("no thread panics while holding the lock");
        let limit =
            if times.failing_since.is_some() { UNAVAILABLE_AFTER } else { UNAVAILABLE_AFTER * 2 };
        times.last_answer.is_some_and(|at| now.saturating_duration_since(at) <= limit)
    }

    /// Returns whether the last call that ended was answered.
    pub fn is_answering(&self) -> bool {
        let times = *self.0.lock().expect("no thread panics while holding the lock");
        times.last_answer.is_some() && times.failing_since.is_none()
    }

    /// Returns when the last outage ended, if that is so recent that entries of running servers may
    /// still be missing.
    pub fn recent_outage_end(&self, now: Instant) -> Option<Instant> {
        let ended = self.0.lock().expect("no thread panics while holding the lock").outage_ended;
        ended.filter(|at| now.saturating_duration_since(*at) < MISSING_GRACE)
    }
}

/// How far the changes in the store have been applied.
#[derive(Debug, Default, Clone, Copy)]
struct Position {
    /// The revision up to which all keys are known; `None` if they have to be listed.
    all: Option<Revision>,
    /// The revision up to which the leader of this node's failure domain is known.
    leader: Revision,
}

/// Reads the store while `active` is true, until the sender of `active` is dropped.
pub(super) async fn run(cx: Arc<NodeContext>, mut active: watch::Receiver<bool>) {
    let mut position = Position::default();
    let mut relayed_count = 0;
    let mut failures = 0_u32;
    loop {
        if active.wait_for(|active| *active).await.is_err() {
            return;
        }
        let count = cx.fleet.read(FleetState::relayed_count);
        if std::mem::replace(&mut relayed_count, count) != count {
            position.all = None;
        }
        let started = cx.now();
        // After failed calls the servers may have changed too.
        let waits_for_leader = position.all.is_some()
            && !cx.controllers.leads_any()
            && !is_elected(&cx)
            && failures == 0;
        let read = async {
            if waits_for_leader && read_leader(&cx, &mut position).await? {
                return Ok(());
            }
            read_all(&cx, &mut position).await
        };
        match read.await {
            Ok(()) => {
                failures = 0;
                // The first listing of a node without a leader is followed by the watch at once, so
                // that the node does not campaign while another one is elected.
                let period = Duration::from_millis(cx.settings.store_poll_ms);
                if cx.controllers.leads_any() || waits_for_leader {
                    tokio::time::sleep(period.saturating_sub(cx.now() - started)).await;
                }
            }
            Err(StoreError::Compacted) => position.all = None,
            Err(err) => {
                if failures == 0 {
                    log::warn!(err:% = err; "store lost");
                }
                cx.metrics.store_failures.inc();
                cx.store_health.record_failure(cx.now());
                failures += 1;
                let delay = retry_delay(failures, max_retry_delay(&cx), cx.random_unit());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Returns whether the store names this node as the leader of its failure domain. It may know that
/// from the store before it receives the answer to its election.
fn is_elected(cx: &NodeContext) -> bool {
    let leads = |leader: &DomainLeader| leader.vm == cx.settings.vm;
    cx.fleet.read(|state| state.leader(&cx.settings.failure_domain).is_some_and(leads))
}

/// Removes the servers that have not registered again after an outage.
pub(super) fn expire_servers(state: &mut FleetState, now: Instant) {
    for id in state.registry.expire(now) {
        log::info!(server = &*id; "server did not register again after the outage");
    }
}

/// Returns the delay after a number of failures, with jitter so that nodes do not retry at the same
/// time. `random` is uniform in 0..1.
fn retry_delay(failures: u32, max_delay: Duration, random: f64) -> Duration {
    let delay = FIRST_RETRY_DELAY * 2_u32.pow(failures.min(7) - 1);
    delay.min(max_delay).mul_f64(0.5 + random / 2.0)
}

fn max_retry_delay(cx: &NodeContext) -> Duration {
    if cx.controllers.leads_any() {
        return MAX_RETRY_DELAY;
    }
    let view = cx.fleet.view();
    let own = &cx.settings.failure_domain;
    let nodes = view.members.iter().filter(|member| member.failure_domain == *own).count() as u32;
    (MAX_RETRY_DELAY * nodes / RETRYING_NODES).clamp(MAX_RETRY_DELAY, MAX_IDLE_RETRY_DELAY)
}

/// Waits for a change of the leader of this node's failure domain; returns whether there was one.
/// Its servers and configuration may be older for that time: a watch of all keys would end with each
/// heartbeat of a server, at every node.
async fn read_leader(cx: &NodeContext, position: &mut Position) -> Result<bool, StoreError> {
    cx.metrics.store_calls.inc();
    let key = leader_key(&cx.settings.failure_domain);
    let changes = cx.store.watch(&key, position.leader, LEADER_WATCH).await?;
    record_answer(cx);
    let has_changes = !changes.changes.is_empty();
    apply_changes(cx, changes.changes);
    position.leader = changes.revision.max(position.leader);
    Ok(has_changes)
}

async fn read_all(cx: &NodeContext, position: &mut Position) -> Result<(), StoreError> {
    cx.metrics.store_calls.inc();
    let (started, asked_at) = (cx.now(), cx.lease_clock.now());
    let revision = match position.all {
        None => {
            let listing = cx.store.list("").await?;
            record_answer(cx);
            let former = position.leader;
            let went_back = former != Revision::default() && former.era != listing.revision.era;
            if went_back {
                log::warn!(
                    era = listing.revision.era, revision = listing.revision.number,
                    former_era = former.era, former_revision = former.number;
                    "store went back to a copy"
                );
                // Servers write the entries again that the copy lacks.
                cx.store_health.record_return(cx.now());
            }
            // Before the servers, so that no request reaches them that is known to crash them, or that
            // takes up a stream of other software.
            crash_archive::apply_listing(cx, &listing.entries);
            stream_origins::apply_listing(cx, &listing.entries);
            apply_listing(cx, listing, went_back)
        }
        Some(after) => {
            let wait = Duration::from_millis(cx.settings.store_poll_ms);
            let changes = cx.store.watch("", after, wait).await?;
            record_answer(cx);
            crash_archive::apply_changes(cx, &changes.changes);
            stream_origins::apply_changes(cx, &changes.changes);
            apply_changes(cx, changes.changes);
            changes.revision.max(after)
        }
    };
    confirm_config(cx, asked_at, revision.era);
    stream_origins::confirm_servers(cx, started);
    *position = Position { all: Some(revision), leader: revision };
    Ok(())
}

fn apply_changes(cx: &NodeContext, changes: Vec<Change>) {
    let outage_ended = cx.store_health.recent_outage_end(cx.now());
    cx.fleet.update(|state| {
        for change in changes {
            match change {
                Change::Put(entry) => apply_entry(state, &entry),
                Change::Removed { key } => apply_removal(state, &key, outage_ended),
            }
        }
    });
}

/// Records an answer of the store.
pub(super) fn record_answer(cx: &NodeContext) {
    if let Some(silence) = cx.store_health.record_answer(cx.now()) {
        log::info!(silent_ms = silence.as_millis() as u64; "store regained");
    }
}

/// Applies a listing; `went_back` tells whether the store has gone back to a copy since the last one.
fn apply_listing(cx: &NodeContext, listing: Listing, went_back: bool) -> Revision {
    let outage_ended = cx.store_health.recent_outage_end(cx.now());
    cx.fleet.update(|state| {
        let servers = listing.entries.iter().filter_map(|entry| {
            let id = server_id(&entry.key)?;
            decode_server_entry(id, &entry.value).ok()
        });
        let servers = servers.filter(|server| !(went_back && state.registry.is_outdated(server)));
        let servers = servers.collect();
        state.registry.replace(servers, outage_ended);
        let domains: Vec<Name> = state.leaders().keys().cloned().collect();
        for domain in domains {
            let key = leader_key(&domain);
            if !listing.entries.iter().any(|entry| entry.key == key) {
                state.set_leader(&domain, None);
            }
        }
        for entry in listing.entries.iter().filter(|entry| server_id(&entry.key).is_none()) {
            apply_entry(state, entry);
        }
    });
    listing.revision
}

fn apply_entry(state: &mut FleetState, entry: &Entry) {
    if let Some(id) = server_id(&entry.key) {
        match decode_server_entry(id, &entry.value) {
            Ok(server) => apply_server(state, server),
            Err(err) => {
                log::warn!(server = id, err:% = err; "unreadable server entry");
                state.registry.remove(id);
            }
        }
    } else if entry.key == CONFIG_KEY {
        accept_config(state, &entry.value, "store");
    } else if let Some(domain) = entry.key.strip_prefix(LEADER_KEY_PREFIX) {
        match serde_json::from_slice::<DomainLeader>(&entry.value) {
            Ok(leader) => state.set_leader(&domain.into(), Some(leader)),
            Err(err) => log::warn!(domain = domain, err:% = err; "cannot parse the leader's entry"),
        }
    }
}

fn apply_server(state: &mut FleetState, server: savoryport_core::node::registry::BackendServer) {
    let known = state.registry.servers().get(&server.id);
    let former = known.map(|known| (known.state.clone(), known.incarnation));
    let (id, software) = (server.id.clone(), server.software.clone());
    let present = (server.state.clone(), server.incarnation);
    if state.registry.put(server) && former.as_ref() != Some(&present) {
        log::info!(
            server = &*id, state:? = present.0, incarnation = present.1, software = &*software;
            "server state"
        );
    }
}

fn apply_removal(state: &mut FleetState, key: &str, outage_ended: Option<Instant>) {
    if let Some(id) = server_id(key) {
        if let Some(ended) = outage_ended {
            state.registry.mark_missing(id, ended);
        } else if state.registry.remove(id) {
            log::info!(server = id; "server gone");
        }
    } else if let Some(domain) = key.strip_prefix(LEADER_KEY_PREFIX) {
        state.set_leader(&domain.into(), None);
    }
}

/// Decodes a configuration and puts it in force if it is newer than the present one.
pub fn accept_config(state: &mut FleetState, raw: &[u8], source: &'static str) {
    match decode_deployment(raw) {
        Ok(decoded) => {
            let (version, routes) = (decoded.version, decoded.route_count());
            if version <= state.version() {
                return;
            }
            match AcceptedConfig::pack(decoded, raw) {
                Ok(config) => {
                    state.accept_config(config);
                    log::info!(version = version, routes = routes, source = source; "config in force");
                }
                Err(err) => log::error!(err:% = err; "cannot compress the config"),
            }
        }
        Err(err) => log::error!(err:% = err, source = source; "unreadable config"),
    }
}

/// Returns the key in the store that names the leader of a failure domain.
pub fn leader_key(failure_domain: &str) -> String {
    format!("{LEADER_KEY_PREFIX}{failure_domain}")
}
