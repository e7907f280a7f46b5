//! The `explain` command, which shows where a model or adapter is, and why.

use std::fmt::Write as _;

use savoryport_core::ledger::ServerRecord;
use savoryport_core::placement::Plan;
use savoryport_core::table::{Row, Table};
use savoryport_platform::kv::{Entry, KeyValueService};

use super::CliError;
use super::arguments::Options;
use crate::keys;

/// Describes a row of the table, its placement in the plan, and its copies on the servers.
pub(super) fn explain(options: &Options, name: &str) -> Result<String, CliError> {
    let (entries, _) = options
        .kv_client()
        .list(keys::PREFIX)
        .map_err(|err| CliError::NotReachable(err.to_string()))?;
    let table: Table = read_value(&entries, keys::TABLE).unwrap_or_default();
    let plan: Plan = read_value(&entries, keys::PLAN).unwrap_or_default();
    let Some(row) = table.get(name) else {
        let version = table.version;
        return Err(CliError::Refused(format!("{name}: not in the table (version {version})")));
    };
    let mut text = describe_row(row, &table, &plan);
    let mut is_on_any_server = false;
    for entry in &entries {
        let Some(server) = entry.key.strip_prefix(keys::SERVERS) else { continue };
        let Ok(record) = serde_json::from_slice::<ServerRecord>(&entry.value) else { continue };
        if let Some(line) = describe_copy(server, &record, name) {
            is_on_any_server = true;
            let _ = writeln!(text, "{line}");
        }
    }
    if !is_on_any_server {
        let _ = writeln!(text, "  on no server");
    }
    Ok(text)
}

fn describe_row(row: &Row, table: &Table, plan: &Plan) -> String {
    let model = row.base.as_ref().unwrap_or(&row.name);
    let planned: Vec<&str> = plan
        .servers
        .iter()
        .filter(|(_, models)| models.contains(model))
        .map(|(server, _)| &**server)
        .collect();
    let home = plan.home_of(&row.name, table).map_or("none", |home| home);
    format!(
        "{}: {:?} of rank {}, {} MiB, weight {}, at least {} copies\n  \
         planned (plan {}): {}\n  home server, which keeps its copy until another server has one: \
         {home}\n",
        row.name,
        row.kind,
        row.rank,
        row.memory_mib,
        row.weight,
        row.min_copies,
        plan.version,
        if planned.is_empty() { "nowhere".to_owned() } else { planned.join(", ") },
    )
}

fn describe_copy(server: &str, record: &ServerRecord, name: &str) -> Option<String> {
    let reservation = record.get(name)?;
    let mut line = format!("  on {server}: {:?}", reservation.state).to_lowercase();
    if let Some(order) = record.pending.as_ref().filter(|order| &*order.item == name) {
        let _ = write!(line, ", {:?} ordered by {}", order.kind, order.issuer.vm);
    }
    if !reservation.strays.is_empty() {
        let _ = write!(line, ", {} order(s) may still arrive", reservation.strays.len());
    }
    Some(line)
}

fn read_value<T: serde::de::DeserializeOwned>(entries: &[Entry], key: &str) -> Option<T> {
    let entry = entries.iter().find(|entry| entry.key == key)?;
    serde_json::from_slice(&entry.value).ok()
}
