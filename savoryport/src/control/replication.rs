//! Keeps this process's replica up to date, from another control process or directly from the
//! platform, which consists of the key-value service and the list of VMs.
//!
//! In each failure domain, the process on the first live VM reads the platform, and the others
//! follow it in a tree. The key-value service therefore serves one watch for each domain instead of
//! one for each node, and a change crosses the link between regions once for each domain on the
//! other side.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::fleet::Vm;
use savoryport_core::ledger::ServerRecord;
use savoryport_core::replica::{Mark, Residency, Update};
use savoryport_core::replication_tree;
use savoryport_platform::kv::{Entry, Event, KvError, PutResult, Revision};
use savoryport_platform::vms;

use super::Context;
use crate::keys;
use crate::rpc::{ControlClient, PullRequest};

/// The maximum wait for changes in one watch or pull.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// How long an earlier VM of the domain may take to respond to a status call.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// The delay after a failure, and after an update that contained nothing new.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How often the platform's list of VMs is read.
const VM_LIST_PERIOD: Duration = Duration::from_millis(500);

/// How often demand is reported upstream, and the demand of the failure domain is written to the
/// key-value service.
const DEMAND_REPORT_PERIOD: Duration = Duration::from_secs(5);

/// How often a process that reads the platform checks whether an earlier VM of its domain is back.
const UPSTREAM_CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Keeps the replica up to date until it is cancelled.
pub(super) async fn run(cx: Context) {
    loop {
        refresh_vms(&cx).await;
        let upstream = first_responsive(&upstream_addresses(&cx)).await;
        match upstream {
            Some(client) => follow(&cx, &client).await,
            None => {
                cx.metrics.reading_platform.set(1);
                read_platform(&cx).await;
                cx.metrics.reading_platform.set(0);
            }
        }
    }
}

async fn refresh_vms(cx: &Context) {
    let address = cx.settings.vm_list.clone();
    let timeout = Duration::from_millis(cx.settings.platform_timeout_ms);
    let fetched = tokio::task::spawn_blocking(move || vms::fetch(&address, timeout)).await;
    if let Ok(Ok(list)) = fetched {
        cx.state.merge(Update { vms: Some(list), ..Update::default() });
    }
}

/// Returns the control addresses of the processes that this one may follow, in order of preference.
fn upstream_addresses(cx: &Context) -> Vec<String> {
    let replica = cx.state.replica();
    let settings = &cx.settings;
    let is_candidate = |vm: &&Vm| vm.failure_domain == settings.failure_domain && !vm.leaving;
    let mut domain: Vec<&Vm> = replica.vms.entries().filter(is_candidate).collect();
    domain.sort_by(|a, b| a.name.cmp(&b.name));
    let position = domain.iter().take_while(|vm| vm.name < settings.vm).count();
    let candidates = replication_tree::upstreams(position).into_iter().map(|at| domain[at]);
    candidates.filter_map(|vm| vm.control_address.as_ref()).map(ToString::to_string).collect()
}

/// Connects to the first process that responds to a status call. A frozen process still accepts
/// connections, so connecting is not enough.
async fn first_responsive(addresses: &[String]) -> Option<ControlClient> {
    for address in addresses {
        let Ok(client) = ControlClient::connect(address).await else { continue };
        let response = tokio::time::timeout(STATUS_TIMEOUT, client.status()).await;
        if matches!(response, Ok(Ok(_))) {
            return Some(client);
        }
    }
    None
}

/// Follows another process until it no longer responds.
async fn follow(cx: &Context, client: &ControlClient) {
    let mut next_report_at = cx.clock.now();
    loop {
        let demand = (cx.clock.now() >= next_report_at).then(|| {
            next_report_at = cx.clock.now() + DEMAND_REPORT_PERIOD;
            cx.state.total_demand(cx.clock.now())
        });
        match client.pull(PullRequest { demand, ..pull_request(cx) }).await {
            Ok(update) => {
                let has_changes = (*cx.state.replica()).clone().merge(update.clone());
                let is_repeated = !has_changes && !update.is_empty();
                cx.state.merge(update);
                if is_repeated {
                    // The upstream has changes above its own watermark, and sends them again until
                    // its watermark has reached them.
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(err) => {
                log::info!(err:%; "the upstream control process stopped responding");
                return;
            }
        }
    }
}

fn pull_request(cx: &Context) -> PullRequest {
    PullRequest {
        vm: cx.settings.vm.clone(),
        have: cx.state.replica().versions(),
        wait_ms: MAX_WAIT.as_millis() as u64,
        demand: None,
        entry: None,
    }
}

/// Reads the platform until a call fails or an earlier VM of the domain is back.
async fn read_platform(cx: &Context) {
    let (entries, mut revision) = match cx.kv.list(keys::PREFIX).await {
        Ok(listed) => listed,
        Err(_) => return pull_from_peers(cx).await,
    };
    let update = update_from_events(entries.into_iter().map(Event::Put));
    cx.state.merge(cx.state.replica().add_removed_marks(Update { seen: revision, ..update }));
    log::info!(revision; "started reading the platform");
    let background = tokio::spawn(refresh_in_background(cx.clone()));
    let mut next_upstream_check_at = cx.clock.now() + UPSTREAM_CHECK_PERIOD;
    loop {
        match cx.kv.watch(keys::PREFIX, revision, MAX_WAIT).await {
            Ok(events) => {
                revision = events.iter().map(event_revision).fold(revision, Revision::max);
                cx.state.merge(Update { seen: revision, ..update_from_events(events.into_iter()) });
            }
            Err(err) => {
                log::warn!(err:%; "key-value service unavailable; continuing with the known state");
                break;
            }
        }
        if cx.clock.now() >= next_upstream_check_at {
            next_upstream_check_at = cx.clock.now() + UPSTREAM_CHECK_PERIOD;
            if first_responsive(&upstream_addresses(cx)).await.is_some() {
                break;
            }
        }
    }
    background.abort();
}

/// Refreshes the list of VMs and writes the demand of the domain, in parallel with the watch.
async fn refresh_in_background(cx: Context) {
    let mut demand_written_at: Option<Instant> = None;
    loop {
        refresh_vms(&cx).await;
        let now = cx.clock.now();
        if demand_written_at.is_none_or(|at| now - at > DEMAND_REPORT_PERIOD) {
            demand_written_at = Some(now);
            let _ = write_demand(&cx).await;
        }
        tokio::time::sleep(VM_LIST_PERIOD).await;
    }
}

async fn write_demand(cx: &Context) -> Result<PutResult, KvError> {
    let key = format!("{}{}", keys::DEMAND, cx.settings.failure_domain);
    let demand = cx.state.total_demand(cx.clock.now());
    let value = serde_json::to_vec(&demand).expect("demand can be serialized");
    let revision = cx.kv.get(&key).await?.map_or(0, |entry| entry.revision);
    cx.kv.put_if(&key, value, revision, None).await
}

/// Pulls once from every other known process while the key-value service is unavailable.
async fn pull_from_peers(cx: &Context) {
    let replica = cx.state.replica();
    let listed_addresses = replica.vms.entries().filter_map(|vm| vm.control_address.as_ref());
    let own_address = &cx.settings.control_listen;
    let addresses =
        cx.settings.peers.iter().cloned().chain(listed_addresses.map(ToString::to_string));
    for address in addresses.filter(|address| address != own_address) {
        let Ok(client) = ControlClient::connect(&address).await else { continue };
        let req = PullRequest { wait_ms: 0, ..pull_request(cx) };
        if let Ok(update) = client.pull(req).await {
            cx.state.merge(update);
        }
    }
    tokio::time::sleep(RETRY_DELAY).await;
}

fn event_revision(event: &Event) -> Revision {
    match event {
        Event::Put(entry) => entry.revision,
        Event::Delete { revision, .. } => *revision,
    }
}

/// Converts changed keys into an update. Values that cannot be parsed are ignored, since a later
/// version may write values that this one does not know.
fn update_from_events(events: impl Iterator<Item = Event>) -> Update {
    let mut update = Update::default();
    for event in events {
        match event {
            Event::Put(entry) => add_entry(&mut update, &entry),
            Event::Delete { key, revision } => {
                if let Some(name) = key.strip_prefix(keys::MARKS) {
                    update.marks.insert(name.into(), Mark { revision, value: None });
                }
            }
        }
    }
    update
}

fn add_entry(update: &mut Update, entry: &Entry) {
    let (key, value, revision) = (entry.key.as_str(), &entry.value, entry.revision);
    if key == keys::TABLE {
        update.table = serde_json::from_slice(value).ok().or(update.table.take());
    } else if key == keys::PLAN {
        update.plan = serde_json::from_slice(value).ok().or(update.plan.take());
    } else if let Some(server) = key.strip_prefix(keys::SERVERS) {
        if let Ok(record) = serde_json::from_slice::<ServerRecord>(value) {
            update.residency.insert(server.into(), Residency::from_record(&record, revision));
        }
    } else if let Some(name) = key.strip_prefix(keys::MARKS) {
        let text = String::from_utf8_lossy(value);
        let value = (!text.is_empty()).then(|| Name::from(&*text));
        update.marks.insert(name.into(), Mark { revision, value });
    }
}

/// Returns the total demand that all failure domains have written, in slots by model.
pub(super) async fn read_demand(cx: &Context) -> Result<BTreeMap<Name, f64>, KvError> {
    let (entries, _) = cx.kv.list(keys::DEMAND).await?;
    let mut total = BTreeMap::new();
    for entry in entries {
        let demand: Vec<(Name, f64)> = serde_json::from_slice(&entry.value).unwrap_or_default();
        for (model, slots) in demand {
            *total.entry(model).or_default() += slots;
        }
    }
    Ok(total)
}
