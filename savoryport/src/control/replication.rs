//! Keeps this process up to date, from another control process or from the platform itself.
//!
//! The first live VM of a failure domain reads the platform; the others follow it in a tree. So a change costs
//! the key-value service one watch for each domain, not one for each node, and crosses the link
//! between regions once for each domain beyond it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use savoryport_core::Name;
use savoryport_core::fleet::Vm;
use savoryport_core::ledger::ServerRecord;
use savoryport_core::replica::{Mark, Residency, Update};
use savoryport_core::replication_tree;
use savoryport_platform::kv::{Entry, Event, KvError, PutAnswer, Revision};
use savoryport_platform::vms;

use super::Context;
use crate::keys;
use crate::rpc::{ControlClient, PullRequest};

/// The longest wait of one watch, and of one pull.
const WAIT: Duration = Duration::from_secs(3);

/// The time for an earlier VM of the domain to show that it is there.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// The pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How often the platform's list of VMs is read.
const VM_LIST_PERIOD: Duration = Duration::from_millis(500);

/// How often demand is told upstream, and the demand of the failure domain written.
const DEMAND_PERIOD: Duration = Duration::from_secs(5);

/// How often a reader looks whether an earlier VM of its domain is back.
const UPSTREAM_PERIOD: Duration = Duration::from_secs(5);

/// Runs until it is cancelled.
pub(super) async fn run(cx: Context) {
    loop {
        refresh_vms(&cx).await;
        let upstream = first_answering(&upstreams(&cx)).await;
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

/// Returns the control addresses of those that this process may follow, the best first.
fn upstreams(cx: &Context) -> Vec<String> {
    let replica = cx.state.replica();
    let settings = &cx.settings;
    let is_near = |vm: &&Vm| vm.failure_domain == settings.failure_domain && !vm.leaving;
    let mut domain: Vec<&Vm> = replica.vms.entries().filter(is_near).collect();
    domain.sort_by(|a, b| a.name.cmp(&b.name));
    let place = domain.iter().take_while(|vm| vm.name < settings.vm).count();
    let candidates = replication_tree::upstreams(place).into_iter().map(|place| domain[place]);
    candidates.filter_map(|vm| vm.control_address.as_ref()).map(ToString::to_string).collect()
}

/// Returns the first process that answers. A frozen one still takes connections, so each is asked.
async fn first_answering(addresses: &[String]) -> Option<ControlClient> {
    for address in addresses {
        let Ok(client) = ControlClient::connect(address).await else { continue };
        let asked = tokio::time::timeout(ANSWER_LIMIT, client.status()).await;
        if matches!(asked, Ok(Ok(_))) {
            return Some(client);
        }
    }
    None
}

/// Follows another process until it no longer answers.
async fn follow(cx: &Context, client: &ControlClient) {
    let mut tell_at = cx.clock.now();
    loop {
        let demand = (cx.clock.now() >= tell_at).then(|| {
            tell_at = cx.clock.now() + DEMAND_PERIOD;
            cx.state.total_demand(cx.clock.now())
        });
        match client.pull(PullRequest { demand, ..pull_request(cx) }).await {
            Ok(update) => {
                let is_news = (*cx.state.replica()).clone().merge(update.clone());
                let is_repeated = !is_news && !update.is_empty();
                cx.state.merge(update);
                if is_repeated {
                    // The other knows something beyond its own watermark; it will come level.
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
            Err(err) => {
                log::info!(err:%; "upstream lost");
                return;
            }
        }
    }
}

fn pull_request(cx: &Context) -> PullRequest {
    PullRequest {
        vm: cx.settings.vm.clone(),
        have: cx.state.replica().versions(),
        wait_ms: WAIT.as_millis() as u64,
        demand: None,
        entry: None,
    }
}

/// Reads the platform until it fails, or an earlier VM of the domain is back.
async fn read_platform(cx: &Context) {
    let (entries, mut revision) = match cx.kv.list(keys::PREFIX).await {
        Ok(listed) => listed,
        Err(_) => return ask_peers(cx).await,
    };
    let update = update_of(entries.into_iter().map(Event::Put));
    cx.state.merge(cx.state.replica().add_removed_marks(Update { seen: revision, ..update }));
    log::info!(revision; "reading the platform");
    let beside = tokio::spawn(read_beside(cx.clone()));
    let mut look_at = cx.clock.now() + UPSTREAM_PERIOD;
    loop {
        match cx.kv.watch(keys::PREFIX, revision, WAIT).await {
            Ok(events) => {
                revision = events.iter().map(event_revision).fold(revision, Revision::max);
                cx.state.merge(Update { seen: revision, ..update_of(events.into_iter()) });
            }
            Err(err) => {
                log::warn!(err:%; "platform lost; going on with what is known");
                break;
            }
        }
        if cx.clock.now() >= look_at {
            look_at = cx.clock.now() + UPSTREAM_PERIOD;
            if first_answering(&upstreams(cx)).await.is_some() {
                break;
            }
        }
    }
    beside.abort();
}

/// What a reader does beside its watch: the list of VMs, and the demand of the domain.
async fn read_beside(cx: Context) {
    let mut demand_at: Option<Instant> = None;
    loop {
        refresh_vms(&cx).await;
        let now = cx.clock.now();
        if demand_at.is_none_or(|at| now - at > DEMAND_PERIOD) {
            demand_at = Some(now);
            let _ = write_demand(&cx).await;
        }
        tokio::time::sleep(VM_LIST_PERIOD).await;
    }
}

async fn write_demand(cx: &Context) -> Result<PutAnswer, KvError> {
    let key = format!("{}{}", keys::DEMAND, cx.settings.failure_domain);
    let demand = cx.state.total_demand(cx.clock.now());
    let value = serde_json::to_vec(&demand).expect("plain values");
    let revision = cx.kv.get(&key).await?.map_or(0, |entry| entry.revision);
    cx.kv.put_if(&key, value, revision, None).await
}

/// Asks other processes once for what they know, while the platform cannot be asked.
async fn ask_peers(cx: &Context) {
    let replica = cx.state.replica();
    let listed = replica.vms.entries().filter_map(|vm| vm.control_address.as_ref());
    let own = &cx.settings.control_listen;
    let addresses = cx.settings.peers.iter().cloned().chain(listed.map(ToString::to_string));
    for address in addresses.filter(|address| address != own) {
        let Ok(client) = ControlClient::connect(&address).await else { continue };
        let req = PullRequest { wait_ms: 0, ..pull_request(cx) };
        if let Ok(update) = client.pull(req).await {
            cx.state.merge(update);
        }
    }
    tokio::time::sleep(RETRY_PAUSE).await;
}

fn event_revision(event: &Event) -> Revision {
    match event {
        Event::Put(entry) => entry.revision,
        Event::Delete { revision, .. } => *revision,
    }
}

/// Translates changes of keys; what cannot be read is passed over, since a later version may write
/// what this one does not know.
fn update_of(events: impl Iterator<Item = Event>) -> Update {
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

/// Returns the demand written by all failure domains, added up by model.
pub(super) async fn read_demand(cx: &Context) -> Result<BTreeMap<Name, f64>, KvError> {
    let (entries, _) = cx.kv.list(keys::DEMAND).await?;
    let mut total = BTreeMap::new();
    for entry in entries {
        let demand: Vec<(Name, f64)> = serde_json::from_slice(&entry.value).unwrap_or_default();
        for (model, rate) in demand {
            *total.entry(model).or_default() += rate;
        }
    }
    Ok(total)
}
