//! The `status` command, which shows a summary of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use savoryport_core::Name;
use savoryport_core::fleet::{Vm, VmList};
use savoryport_core::ledger::ServerRecord;
use savoryport_core::placement::Plan;
use savoryport_core::rank::Rank;
use savoryport_core::table::Table;
use savoryport_platform::kv::{Entry, KeyValueService};
use savoryport_platform::vms;

use super::CliError;
use super::arguments::Options;
use crate::keys;
use crate::rpc::{ControlClient, RankCounts, VmStatus};

/// Describes the state in the key-value service, and the status that each control process reports.
pub(super) fn status(options: &Options) -> Result<String, CliError> {
    let listed = options.kv_client().list(keys::PREFIX);
    let mut text = String::new();
    match &listed {
        Ok((entries, _)) => describe_stored_state(&mut text, entries),
        Err(err) => {
            let _ = writeln!(text, "key-value service: {err}");
        }
    }
    let Some(address) = &options.vm_list else {
        let _ = writeln!(text, "VMs: use --vm-list or --settings to query them");
        return Ok(text);
    };
    let list = vms::fetch(address, options.timeout)
        .map_err(|err| CliError::NotReachable(err.to_string()))?;
    describe_vms(&mut text, &list, &query_vms(&list)?);
    Ok(text)
}

fn describe_stored_state(text: &mut String, entries: &[Entry]) {
    let read_value =
        |key: &str| entries.iter().find(|entry| entry.key == key).map(|e| e.value.as_slice());
    let table: Table = read_value(keys::TABLE)
        .and_then(|value| serde_json::from_slice(value).ok())
        .unwrap_or_default();
    let plan: Plan = read_value(keys::PLAN)
        .and_then(|value| serde_json::from_slice(value).ok())
        .unwrap_or_default();
    let _ = writeln!(text, "table: version {}, {} rows", table.version, table.rows.len());
    let _ = writeln!(text, "plan: version {}", plan.version);
    let mut loaded = BTreeSet::new();
    let _ = writeln!(
        text,
        "servers (MiB reserved, retained, capacity; items in memory; order in progress):"
    );
    for entry in entries {
        let Some(server) = entry.key.strip_prefix(keys::SERVERS) else { continue };
        let Ok(record) = serde_json::from_slice::<ServerRecord>(&entry.value) else { continue };
        describe_server(text, server, &record);
        let items = record.reservations.iter().map(|reservation| reservation.item.clone());
        loaded.extend(items.filter(|item| record.is_loaded(item)));
    }
    for row in table.items().filter(|row| !loaded.contains(&row.name)) {
        let _ = writeln!(text, "NOT REACHABLE: {}", row.name);
    }
    for entry in entries {
        let Some(mark) = entry.key.strip_prefix(keys::MARKS) else { continue };
        let value = String::from_utf8_lossy(&entry.value);
        if !value.is_empty() && !mark.starts_with("control/") {
            let _ = writeln!(text, "{mark}: {value}");
        }
    }
}

fn describe_server(text: &mut String, server: &str, record: &ServerRecord) {
    let loaded = record.reservations.iter().filter(|r| record.is_loaded(&r.item)).count();
    let pending = record.pending.as_ref().map_or_else(String::new, |order| {
        format!("; {:?} {}", order.kind, order.item).to_lowercase()
    });
    let _ = writeln!(
        text,
        "  {server}: {}, {}, {}; {loaded}{pending}",
        record.reserved_mib(),
        record.retained_mib(),
        record.capacity_mib
    );
}

/// Queries the control process of each VM, and returns `None` for those that do not respond.
fn query_vms(list: &VmList) -> Result<BTreeMap<Name, Option<VmStatus>>, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| CliError::NotReachable(err.to_string()))?;
    runtime.block_on(async {
        let queries = list.entries().map(|vm| async { (vm.name.clone(), query_vm(vm).await) });
        Ok(futures::future::join_all(queries).await.into_iter().collect())
    })
}

async fn query_vm(vm: &Vm) -> Option<VmStatus> {
    let client = ControlClient::connect(vm.control_address.as_ref()?).await.ok()?;
    client.status().await.ok()
}

fn describe_vms(text: &mut String, list: &VmList, statuses: &BTreeMap<Name, Option<VmStatus>>) {
    let mut versions: BTreeMap<&Name, BTreeSet<u64>> = BTreeMap::new();
    let mut ranks = [RankCounts::default(); 3];
    let mut refusals: BTreeMap<&str, u64> = BTreeMap::new();
    for vm in list.entries() {
        let Some(Some(status)) = statuses.get(&vm.name) else {
            let _ = writeln!(text, "{}: control process does not respond", vm.name);
            continue;
        };
        versions.entry(&vm.failure_domain).or_default().insert(status.versions.table);
        let Some(entry) = &status.entry else { continue };
        for (total, counts) in ranks.iter_mut().zip(&entry.ranks) {
            add_counts(total, counts);
        }
        for (cause, count) in &entry.refusals {
            *refusals.entry(cause).or_default() += count;
        }
    }
    for (domain, versions) in versions {
        let versions: Vec<String> = versions.iter().map(ToString::to_string).collect();
        let _ = writeln!(text, "table in force in {domain}: version {}", versions.join(", "));
    }
    let _ = writeln!(text, "ranks (first tokens on time, late; requests done, not run, unknown):");
    for rank in Rank::ALL {
        let counts = &ranks[rank.index()];
        let RankCounts { on_time, late, done, not_run, unknown } = counts;
        let _ = writeln!(text, "  {rank}: {on_time}, {late}; {done}, {not_run}, {unknown}");
    }
    for (cause, count) in refusals {
        let _ = writeln!(text, "refused, {cause}: {count}");
    }
}

fn add_counts(total: &mut RankCounts, counts: &RankCounts) {
    total.on_time += counts.on_time;
    total.late += counts.late;
    total.done += counts.done;
    total.not_run += counts.not_run;
    total.unknown += counts.unknown;
}
