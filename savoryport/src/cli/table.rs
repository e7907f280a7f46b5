//! The `table` commands, which print, check, compare and change the table.
//!
//! A change is a compare-and-swap on the version that the operator started from. If the response to
//! a write is lost, the same write is sent again. The key's revision ensures that only one of the
//! writes takes effect, and the change id shows whose change it was. The command can therefore
//! report reliably that a change was accepted, was refused, or has an unknown outcome.

use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use savoryport_core::table::{
    Row, RowChange, Table, TableDelta, TableError, check_key_digests, check_memory_fit, merge_rows,
    parse_csv, to_csv,
};
use savoryport_platform::kv::{EtcdClient, KeyValueService, KvError, PutResult, Revision};
use savoryport_platform::vms;

use super::CliError;
pub use super::arguments::Options;
use crate::keys;

/// The time after which `apply` stops retrying a write.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// The delay before a write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Returns the table in force as CSV. If a path is given, writes the table to that file instead,
/// and to a base file next to it that `apply` needs.
///
/// # Errors
///
/// Returns an error if the platform cannot be read or a file cannot be written.
pub fn get(options: &Options, path: Option<&Path>) -> Result<String, CliError> {
    let (table, _) = read_table(&options.kv_client())?;
    let Some(path) = path else { return Ok(to_csv(&table.rows)) };
    write_file(path, &to_csv(&table.rows))?;
    write_base(path, &table)?;
    let (rows, version) = (table.rows.len(), table.version);
    Ok(format!("{}: {rows} rows of version {version}", path.display()))
}

/// Checks a table file, and whether it fits into the fleet's memory if the list of VMs is given.
///
/// # Errors
///
/// Returns an error if the file cannot be read, has invalid cells (the error lists all of them), or
/// does not fit into the fleet's memory.
pub fn check(options: &Options, path: &Path) -> Result<String, CliError> {
    let rows = read_file(path)?;
    if options.vm_list.is_some() {
        check_against_fleet(options, path, &rows)?;
    }
    Ok(format!("{}: {} rows are good", path.display(), rows.len()))
}

/// Describes the rows of a file that differ from the table in force.
///
/// # Errors
///
/// Returns an error if the file is invalid or the platform cannot be read.
pub fn diff(options: &Options, path: &Path) -> Result<String, CliError> {
    let rows = read_file(path)?;
    let (table, _) = read_table(&options.kv_client())?;
    Ok(describe_changes(&table, &rows))
}

/// Writes the rows of a file as the new version of the table.
///
/// # Errors
///
/// Returns an error that says whether the table changed.
pub fn apply(options: &Options, path: &Path) -> Result<String, CliError> {
    let mut rows = read_file(path)?;
    let mut base = read_base(options, path)?;
    let kv = options.kv_client();
    let change_id = format!("{:016x}", rand::random::<u64>());
    let deadline = Instant::now() + APPLY_TIMEOUT;
    loop {
        let (current, revision) = read_table(&kv)?;
        if current.version != base.version {
            rows = resolve_conflict(options, &base, &rows, &current)?;
            base = current;
        }
        if options.fleet_check {
            check_against_fleet(options, path, &rows)?;
        }
        let (version, change_id) = (base.version + 1, change_id.clone());
        let new_table = Table { version, change_id, rows: rows.clone() };
        let value = new_table.encode().map_err(|err| table_error(path, &err))?;
        match put_table(&kv, &value, &new_table, revision, deadline)? {
            PutOutcome::Accepted => {
                write_base(path, &new_table)?;
                return Ok(format!("accepted as version {}", new_table.version));
            }
            // Another operator wrote first; retry from the table that is now in force.
            PutOutcome::Conflict => {}
        }
    }
}

/// The outcome of a write of the table.
enum PutOutcome {
    Accepted,
    Conflict,
}

/// Writes the table, and retries until the outcome is known or the deadline has passed.
fn put_table(
    kv: &EtcdClient,
    value: &[u8],
    new_table: &Table,
    revision: Revision,
    deadline: Instant,
) -> Result<PutOutcome, CliError> {
    let mut was_unanswered = false;
    loop {
        match kv.put_if(keys::TABLE, value, revision, None) {
            Ok(PutResult::Written(_)) => return Ok(PutOutcome::Accepted),
            Ok(PutResult::Conflict) if was_unanswered => {
                return outcome_after_conflict(kv, new_table);
            }
            Ok(PutResult::Conflict) => return Ok(PutOutcome::Conflict),
            Err(err) if Instant::now() >= deadline => {
                return Err(timeout_error(was_unanswered, &err));
            }
            Err(KvError::NotReachable { .. } | KvError::Refused(_)) => {}
            Err(KvError::Unanswered(_) | KvError::Malformed(_)) => was_unanswered = true,
        }
        std::thread::sleep(RETRY_DELAY);
    }
}

/// Returns the outcome of a write that failed with a conflict after an earlier attempt got no
/// response. That attempt may itself have caused the conflict.
fn outcome_after_conflict(kv: &EtcdClient, new_table: &Table) -> Result<PutOutcome, CliError> {
    let (current, _) = read_table(kv)?;
    if current.change_id == new_table.change_id {
        Ok(PutOutcome::Accepted)
    } else if current.version <= new_table.version {
        Ok(PutOutcome::Conflict)
    } else {
        let message = format!(
            "unknown: version {} is in force; whether this change was in force before it is not \
             known. See 'savoryport table diff'.",
            current.version
        );
        Err(CliError::OutcomeUnknown(message))
    }
}

fn timeout_error(was_unanswered: bool, err: &KvError) -> CliError {
    if was_unanswered {
        CliError::OutcomeUnknown(format!("unknown: the change may still take effect: {err}"))
    } else {
        CliError::NotReachable(format!("nothing changed: {err}"))
    }
}

/// Merges the rows with a table that was changed meanwhile, or refuses them without `--merge`.
fn resolve_conflict(
    options: &Options,
    base: &Table,
    rows: &[Row],
    current: &Table,
) -> Result<Vec<Row>, CliError> {
    if !options.merge {
        let message = format!(
            "refused: version {} is in force, the file was made from version {}.\n\
             Changed meanwhile:\n{}Get the table again, or keep both with --merge.",
            current.version,
            base.version,
            describe_changes(base, &current.rows)
        );
        return Err(CliError::Refused(message));
    }
    let refused = |err: &dyn std::fmt::Display| CliError::Refused(format!("refused: {err}"));
    let merged = merge_rows(&base.rows, rows, &current.rows).map_err(|err| refused(&err))?;
    check_key_digests(&merged).map_err(|err| refused(&err))?;
    Ok(merged)
}

/// Describes the rows that differ from a table, one per line: added with `+`, changed with `~` and
/// removed with `-`.
fn describe_changes(old: &Table, rows: &[Row]) -> String {
    let new = Table { rows: rows.to_vec(), ..old.clone() };
    let mut text = String::new();
    for change in TableDelta::between(old, &new).changes {
        match change {
            RowChange::Remove(name) => {
                let _ = writeln!(text, "- {name}");
            }
            RowChange::Set(row) => {
                let sign = if old.get(&row.name).is_some() { '~' } else { '+' };
                let csv = to_csv(std::slice::from_ref(&row));
                let _ = writeln!(text, "{sign} {}", csv.lines().nth(1).unwrap_or_default());
            }
        }
    }
    if text.is_empty() { "no row differs\n".to_owned() } else { text }
}

/// Returns the table in force and its revision, or an empty table and 0 if there is none.
fn read_table(kv: &EtcdClient) -> Result<(Table, Revision), CliError> {
    let entry = kv.get(keys::TABLE).map_err(|err| CliError::NotReachable(err.to_string()))?;
    let Some(entry) = entry else { return Ok((Table::default(), 0)) };
    let table = serde_json::from_slice(&entry.value)
        .map_err(|err| CliError::Refused(format!("table in the key-value service: {err}")))?;
    Ok((table, entry.revision))
}

fn check_against_fleet(options: &Options, path: &Path, rows: &[Row]) -> Result<(), CliError> {
    let Some(address) = &options.vm_list else {
        let message =
            "use --vm-list or --settings to check against the fleet's memory, or --no-fleet-check";
        return Err(CliError::Usage(message.to_owned()));
    };
    let list = vms::fetch(address, options.timeout)
        .map_err(|err| CliError::NotReachable(err.to_string()))?;
    let capacities: Vec<u32> =
        list.engines().filter(|vm| !vm.leaving).map(|vm| vm.memory_mib).collect();
    check_memory_fit(rows, &capacities).map_err(|err| table_error(path, &err))
}

fn read_file(path: &Path) -> Result<Vec<Row>, CliError> {
    let buf =
        fs::read(path).map_err(|err| CliError::Refused(format!("{}: {err}", path.display())))?;
    let rows = parse_csv(&buf).map_err(|err| table_error(path, &err))?;
    let table = Table { rows, ..Table::default() };
    table.encode().map_err(|err| table_error(path, &err))?;
    Ok(table.rows)
}

fn table_error(path: &Path, err: &TableError) -> CliError {
    CliError::Refused(format!("{}:\n{err}", path.display()))
}

/// Returns the path of the base file next to a table file. It holds the table, with its version,
/// that the file was made from.
fn base_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".base.json");
    name.into()
}

fn write_base(path: &Path, table: &Table) -> Result<(), CliError> {
    let text = serde_json::to_string(table).expect("plain fields serialize");
    write_file(&base_path(path), &text)
}

fn write_file(path: &Path, text: &str) -> Result<(), CliError> {
    fs::write(path, text).map_err(|err| CliError::Refused(format!("{}: {err}", path.display())))
}

fn read_base(options: &Options, path: &Path) -> Result<Table, CliError> {
    if options.first {
        return Ok(Table::default());
    }
    let path = base_path(path);
    let text = fs::read_to_string(&path).map_err(|err| {
        let hint = "start from 'savoryport table get FILE.csv', or use --first";
        CliError::Refused(format!("{}: {err}\n{hint}", path.display()))
    })?;
    serde_json::from_str(&text)
        .map_err(|err| CliError::Refused(format!("{}: {err}", path.display())))
}
