//! Reads the platform's store: the configuration, the servers and who holds which duty.
//!
//! Every waiting watch is paid, so only duty holders read all the time; other nodes read while they
//! hear from no holder. One watch covers everything that lies in the store.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use savoryport_adapter::config::{CONFIG_KEY, deployment};
use savoryport_adapter::registry::{backend_server, server_id};
use savoryport_adapter::store::{Change, Item, Listing, Revision, StoreError};
use savoryport_core::Name;
use tokio::sync::watch;

use super::context::NodeContext;
use super::fleet::FleetState;
use super::view::{AcceptedConfig, DomainLeader};

/// The store's prefix of the duties, one key for each failure domain.
pub const DUTY_PREFIX: &str = "savoryport/duty/";

/// The store counts as away when it has not answered for this long.
const AWAY_AFTER: Duration = Duration::from_millis(1_500);

/// The first pause after a failed call; doubled up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// How long after an outage a lapsed entry is taken for the outage's doing.
const DOUBT_AFTER_OUTAGE: Duration = Duration::from_millis(2_000);

/// When the store was last heard, and when it was last found away.
#[derive(Debug, Default)]
pub struct StoreHealth(Mutex<HealthTimes>);

#[derive(Debug, Default, Clone, Copy)]
struct HealthTimes {
    heard: Option<Instant>,
    /// When the first call failed since the store was last heard.
    failing_since: Option<Instant>,
    outage_ended: Option<Instant>,
}

impl StoreHealth {
    /// Notes an answer; returns for how long there was none if the store was away.
    pub fn record_answer(&self, now: Instant) -> Option<Duration> {
        let mut times = self.0.lock().expect("no holder panics");
        // A node that follows a holder does not call, which is no silence of the store's.
        let failing = times.failing_since.take().map(|at| now.saturating_duration_since(at));
        let outage = failing.filter(|silence| *silence > AWAY_AFTER);
        if outage.is_some() {
            times.outage_ended = Some(now);
        }
        times.heard = Some(now);
        outage
    }

    /// Notes a call without an answer.
    pub fn record_failure(&self, now: Instant) {
        self.0.lock().expect("no holder panics").failing_since.get_or_insert(now);
    }

    /// Returns whether the store answers.
    pub fn is_available(&self, now: Instant) -> bool {
        let heard = self.0.lock().expect("no holder panics").heard;
        heard.is_some_and(|at| now.saturating_duration_since(at) <= AWAY_AFTER)
    }

    /// Returns whether an outage ended a moment ago.
    pub fn is_recovering(&self, now: Instant) -> bool {
        let ended = self.0.lock().expect("no holder panics").outage_ended;
        ended.is_some_and(|at| now.saturating_duration_since(at) < DOUBT_AFTER_OUTAGE)
    }
}

/// Reads the store whenever `active` says so, until the node stops.
pub(super) async fn run(cx: Arc<NodeContext>, mut active: watch::Receiver<bool>) {
    let mut position: Option<Revision> = None;
    let mut hearsay = 0;
    let mut failures = 0_u32;
    loop {
        if active.wait_for(|active| *active).await.is_err() {
            return;
        }
        let heard = cx.fleet.read(FleetState::hearsay_count);
        if std::mem::replace(&mut hearsay, heard) != heard {
            position = None;
        }
        let started = cx.now();
        match read_once(&cx, position).await {
            Ok(next) => {
                position = Some(next);
                failures = 0;
                let period = Duration::from_millis(cx.settings.store_poll_ms);
                tokio::time::sleep(period.saturating_sub(cx.now() - started)).await;
            }
            Err(StoreError::Compacted) => position = None,
            Err(err) => {
                if failures == 0 {
                    log::warn!(err:% = err; "store lost");
                }
                cx.metrics.store_failures.inc();
                cx.store_health.record_failure(cx.now());
                failures += 1;
                tokio::time::sleep(pause(failures, cx.random_unit())).await;
            }
        }
        cx.fleet.update(|state| {
            for id in state.registry.expire(cx.now()) {
                log::info!(server = &*id; "entry did not return after the outage");
            }
        });
    }
}

/// Returns a pause that grows with failures, spread so that nodes do not call in step.
fn pause(failures: u32, draw: f64) -> Duration {
    let grown = FIRST_PAUSE * 2_u32.pow(failures.min(6) - 1);
    grown.min(MAX_PAUSE).mul_f64(0.5 + draw)
}

async fn read_once(cx: &NodeContext, position: Option<Revision>) -> Result<Revision, StoreError> {
    cx.metrics.store_calls.inc();
    let Some(after) = position else {
        let listing = cx.store.list("").await?;
        note_contact(cx);
        return Ok(apply_listing(cx, listing));
    };
    let wait = Duration::from_millis(cx.settings.store_poll_ms);
    let changes = cx.store.watch("", after, wait).await?;
    note_contact(cx);
    let recovering = cx.store_health.is_recovering(cx.now());
    cx.fleet.update(|state| {
        for change in changes.changes {
            match change {
                Change::Put(item) => apply_item(state, &item),
                Change::Removed { key } => apply_removal(state, &key, recovering, cx.now()),
            }
        }
    });
    Ok(changes.up_to.max(after))
}

fn note_contact(cx: &NodeContext) {
    if let Some(silence) = cx.store_health.record_answer(cx.now()) {
        log::info!(silent_ms = silence.as_millis() as u64; "store regained");
    }
}

fn apply_listing(cx: &NodeContext, listing: Listing) -> Revision {
    let recovering = cx.store_health.is_recovering(cx.now());
    cx.fleet.update(|state| {
        let servers = listing.items.iter().filter_map(|item| {
            let id = server_id(&item.key)?;
            backend_server(id, &item.value).ok()
        });
        state.registry.replace(servers.collect(), recovering, cx.now());
        let domains: Vec<Name> = state.leaders().keys().cloned().collect();
        for domain in domains {
            let key = duty_key(&domain);
            if !listing.items.iter().any(|item| item.key == key) {
                state.set_leader(&domain, None);
            }
        }
        for item in listing.items.iter().filter(|item| server_id(&item.key).is_none()) {
            apply_item(state, item);
        }
    });
    listing.at
}

fn apply_item(state: &mut FleetState, item: &Item) {
    if let Some(id) = server_id(&item.key) {
        match backend_server(id, &item.value) {
            Ok(server) => note_server(state, server),
            Err(err) => {
                log::warn!(server = id, err:% = err; "unreadable server entry");
                state.registry.remove(id);
            }
        }
    } else if item.key == CONFIG_KEY {
        accept_config(state, &item.value, "store");
    } else if let Some(domain) = item.key.strip_prefix(DUTY_PREFIX) {
        match serde_json::from_slice::<DomainLeader>(&item.value) {
            Ok(leader) => state.set_leader(&domain.into(), Some(leader)),
            Err(err) => log::warn!(domain = domain, err:% = err; "unreadable duty"),
        }
    }
}

fn note_server(state: &mut FleetState, server: savoryport_core::node::registry::BackendServer) {
    let known = state.registry.servers().get(&server.id);
    let was = known.map(|known| (known.state.clone(), known.incarnation));
    let (id, now_is) = (server.id.clone(), (server.state.clone(), server.incarnation));
    if state.registry.put(server) && was.as_ref() != Some(&now_is) {
        log::info!(server = &*id, state:? = now_is.0, incarnation = now_is.1; "server state");
    }
}

fn apply_removal(state: &mut FleetState, key: &str, recovering: bool, now: Instant) {
    if let Some(id) = server_id(key) {
        if recovering {
            state.registry.doubt(id, now);
        } else if state.registry.remove(id) {
            log::info!(server = id; "server gone");
        }
    } else if let Some(domain) = key.strip_prefix(DUTY_PREFIX) {
        state.set_leader(&domain.into(), None);
    }
}

/// Decodes and takes a configuration if it is newer.
pub fn accept_config(state: &mut FleetState, raw: &[u8], source: &'static str) {
    match deployment(raw) {
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
                Err(err) => log::error!(err:% = err; "config not packed"),
            }
        }
        Err(err) => log::error!(err:% = err, source = source; "unreadable config"),
    }
}

/// Returns the store's key of a failure domain's duty.
pub fn duty_key(failure_domain: &str) -> String {
    format!("{DUTY_PREFIX}{failure_domain}")
}
