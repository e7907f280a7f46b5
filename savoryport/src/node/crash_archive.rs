//! Keeps the crashes of servers in the store, so that they outlast all nodes.
//!
//! `savoryport_core::node::crash_archive` decides what is written and when.

use std::sync::Arc;
use std::time::Duration;

use savoryport_adapter::store::{Change, CommitResult, Entry, StoreError, Transaction};
use savoryport_core::node::crash_archive::{CrashArchive, CrashRecord};

use super::context::NodeContext;
use super::quarantine::merge_crash_reports;
use super::request_quarantine::{merge_request_crashes, request_crashes_since};

/// The key in the store that has the crashes.
const CRASHES_KEY: &str = "savoryport/crashes";

/// Interval between checks for new crashes. A node that sees a crash tells its leader at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The number of checks after which the whole record is compared without new crashes too.
const CHECKS_PER_COMPARISON: u32 = 20;

/// Writes the crashes to the store while this node leads a failure domain.
pub async fn run(cx: Arc<NodeContext>) {
    let (mut known_revision, mut checks) = (0, 0);
    while !cx.stopping.is_cancelled() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let revision = cx.routing.lock().request_quarantine.revision();
        checks += 1;
        if revision == known_revision && checks < CHECKS_PER_COMPARISON {
            continue;
        }
        (known_revision, checks) = (revision, 0);
        let Some(deputies) = count_leaders_before(&cx) else { continue };
        if !cx.store_health.is_answering() {
            continue;
        }
        let crashes = known_crashes(&cx);
        if !lock(&cx).is_due(&crashes, deputies, cx.now()) {
            continue;
        }
        if let Err(err) = write(&cx, crashes).await {
            cx.metrics.crash_write_failures.inc();
            log::warn!(err:% = err; "crashes not written to the store");
        }
    }
}

/// Takes over what a listing of the store says of crashes.
pub(super) fn apply_listing(cx: &NodeContext, entries: &[Entry]) {
    match entries.iter().find(|entry| entry.key == CRASHES_KEY) {
        Some(entry) => apply_entry(cx, entry),
        None => lock(cx).record_stored(CrashRecord::default(), 0, cx.now()),
    }
}

/// Takes over what changes in the store say of crashes.
pub(super) fn apply_changes(cx: &NodeContext, changes: &[Change]) {
    for change in changes {
        match change {
            Change::Put(entry) if entry.key == CRASHES_KEY => apply_entry(cx, entry),
            Change::Removed { key } if key == CRASHES_KEY => {
                lock(cx).record_stored(CrashRecord::default(), 0, cx.now());
            }
            Change::Put(_) | Change::Removed { .. } => {}
        }
    }
}

fn apply_entry(cx: &NodeContext, entry: &Entry) {
    let revision = entry.revision.number;
    if lock(cx).revision() == revision {
        return;
    }
    let record = serde_json::from_slice::<CrashRecord>(&entry.value).unwrap_or_else(|err| {
        log::warn!(revision = revision, err:% = err; "cannot read the crashes in the store");
        CrashRecord::default()
    });
    merge_crash_reports(cx, &record.parts);
    merge_request_crashes(cx, &record.requests);
    lock(cx).record_stored(record, revision, cx.now());
}

/// Returns the number of leaders that write before this one, by the names of their failure domains;
/// `None` if it leads none.
pub(super) fn count_leaders_before(cx: &NodeContext) -> Option<u32> {
    let own = cx.controllers.all().into_iter().map(|controller| controller.domain.clone()).min()?;
    let is_before = |(domain, vm): (&_, &_)| *domain < own && *vm != cx.settings.vm;
    cx.fleet.read(|state| {
        let leaders = state.leaders().iter().map(|(domain, leader)| (domain, &leader.vm));
        Some(leaders.filter(|leader| is_before(*leader)).count() as u32)
    })
}

fn known_crashes(cx: &NodeContext) -> CrashRecord {
    let (_, requests) = request_crashes_since(cx, 0);
    let parts = cx.routing.lock().quarantine.reports(cx.now());
    CrashRecord::new(parts, requests)
}

async fn write(cx: &NodeContext, crashes: CrashRecord) -> Result<(), StoreError> {
    let revision = {
        let mut archive = lock(cx);
        archive.record_write(cx.now());
        archive.revision()
    };
    let expected = vec![(CRASHES_KEY.to_owned(), revision)];
    let transaction = if crashes.is_empty() {
        Transaction { expected, removes: vec![CRASHES_KEY.to_owned()], ..Transaction::default() }
    } else {
        let value = serde_json::to_vec(&crashes).expect("plain fields serialize");
        Transaction {
            expected,
            puts: vec![(CRASHES_KEY.to_owned(), value, 0)],
            ..Transaction::default()
        }
    };
    cx.metrics.store_calls.inc();
    match cx.store.commit(&transaction).await? {
        CommitResult::Committed(written) => {
            cx.metrics.crash_writes.inc();
            let count = crashes.parts.len() + crashes.requests.len();
            let revision = if crashes.is_empty() { 0 } else { written.number };
            log::info!(crashes = count, revision = revision; "crashes written to the store");
            lock(cx).record_stored(crashes, revision, cx.now());
        }
        CommitResult::Conflict => {
            cx.metrics.store_calls.inc();
            let entry = cx.store.get(CRASHES_KEY).await?;
            apply_listing(cx, entry.as_slice());
        }
    }
    Ok(())
}

fn lock(cx: &NodeContext) -> std::sync::MutexGuard<'_, CrashArchive> {
    cx.crash_archive.lock().expect("no thread panics while holding the lock")
}
