//! Reading, checking and changing the table.
//!
//! A change is a compare-and-swap on the version that the operator started from. Where its answer is
//! lost, the same write is sent again: the key's revision lets only one of them take effect, and the
//! change id shows whose it was. So the command says accepted, refused or unknown, and never guesses.

use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use savoryport_core::table::{
    Row, RowChange, Table, TableDelta, TableError, check_memory_fit, merge_rows, parse_csv, to_csv,
};
use savoryport_platform::kv::{EtcdClient, KeyValueService, KvError, PutResult, Revision};
use savoryport_platform::vms;

use super::CliError;
pub use super::arguments::Options;
use crate::keys;

/// How long a change without an answer is pursued.
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Prints the table in force, or writes it with a note of its version beside it.
///
/// # Errors
///
/// Returns an error where the platform cannot be read or the file not be written.
pub fn get(options: &Options, path: Option<&Path>) -> Result<String, CliError> {
    let (table, _) = read(&options.kv())?;
    let Some(path) = path else { return Ok(to_csv(&table.rows)) };
    write_file(path, &to_csv(&table.rows))?;
    write_base(path, &table)?;
    let (rows, version) = (table.rows.len(), table.version);
    Ok(format!("{}: {rows} rows of version {version}", path.display()))
}

/// Checks a file, and with the list of VMs whether the fleet can hold it.
///
/// # Errors
///
/// Returns every wrong cell.
pub fn check(options: &Options, path: &Path) -> Result<String, CliError> {
    let rows = read_file(path)?;
    if options.vm_list.is_some() {
        check_against_fleet(options, path, &rows)?;
    }
    Ok(format!("{}: {} rows are good", path.display(), rows.len()))
}

/// Shows the rows of a file that differ from the table in force.
///
/// # Errors
///
/// Returns an error where the file is wrong or the platform cannot be read.
pub fn diff(options: &Options, path: &Path) -> Result<String, CliError> {
    let rows = read_file(path)?;
    let (table, _) = read(&options.kv())?;
    Ok(describe(&table, &rows))
}

/// Puts a file in force.
///
/// # Errors
///
/// Returns an error that tells whether anything changed.
pub fn apply(options: &Options, path: &Path) -> Result<String, CliError> {
    let mut rows = read_file(path)?;
    let mut base = read_base(options, path)?;
    let kv = options.kv();
    let change_id = format!("{:016x}", rand::random::<u64>());
    let deadline = Instant::now() + SETTLE_TIME;
    loop {
        let (current, revision) = read(&kv)?;
        if current.version != base.version {
            rows = resolve_conflict(options, &base, &rows, &current)?;
            base = current;
        }
        if options.fleet_check {
            check_against_fleet(options, path, &rows)?;
        }
        let (version, change_id) = (base.version + 1, change_id.clone());
        let next = Table { version, change_id, rows: rows.clone() };
        let value = next.encode().map_err(|err| refused(path, &err))?;
        match put(&kv, &value, &next, revision, deadline)? {
            Put::Accepted => {
                write_base(path, &next)?;
                return Ok(format!("accepted as version {}", next.version));
            }
            // Somebody else wrote first: look again at what stands there now.
            Put::Conflict => {}
        }
    }
}

enum Put {
    Accepted,
    Conflict,
}

/// Writes until it is known what became of the write.
fn put(
    kv: &EtcdClient,
    value: &[u8],
    next: &Table,
    revision: Revision,
    deadline: Instant,
) -> Result<Put, CliError> {
    let mut was_unanswered = false;
    loop {
        match kv.put_if(keys::TABLE, value, revision, None) {
            Ok(PutResult::Written(_)) => return Ok(Put::Accepted),
            Ok(PutResult::Conflict) if was_unanswered => return settle(kv, next),
            Ok(PutResult::Conflict) => return Ok(Put::Conflict),
            Err(err) if Instant::now() >= deadline => return Err(unsettled(was_unanswered, &err)),
            Err(KvError::NotReachable { .. } | KvError::Refused(_)) => {}
            Err(KvError::Unanswered(_) | KvError::Malformed(_)) => was_unanswered = true,
        }
        std::thread::sleep(RETRY_PAUSE);
    }
}

/// Finds out whether an earlier write of ours is what stands in the way.
fn settle(kv: &EtcdClient, next: &Table) -> Result<Put, CliError> {
    let (current, _) = read(kv)?;
    if current.change_id == next.change_id {
        Ok(Put::Accepted)
    } else if current.version <= next.version {
        Ok(Put::Conflict)
    } else {
        let message = format!(
            "unknown: version {} is in force; whether this change was in force before it is not \
             known. See 'savoryport table diff'.",
            current.version
        );
        Err(CliError::Unknown(message))
    }
}

fn unsettled(was_unanswered: bool, err: &KvError) -> CliError {
    if was_unanswered {
        CliError::Unknown(format!("unknown: the change may still take effect: {err}"))
    } else {
        CliError::NotReachable(format!("nothing changed: {err}"))
    }
}

fn resolve_conflict(
    options: &Options,
    base: &Table,
    ours: &[Row],
    current: &Table,
) -> Result<Vec<Row>, CliError> {
    if !options.merge {
        let message = format!(
            "refused: version {} is in force, the file was made from version {}.\n\
             Changed meanwhile:\n{}Get the table again, or keep both with --merge.",
            current.version,
            base.version,
            describe(base, &current.rows)
        );
        return Err(CliError::Refused(message));
    }
    merge_rows(&base.rows, ours, &current.rows)
        .map_err(|err| CliError::Refused(format!("refused: {err}")))
}

fn describe(old: &Table, rows: &[Row]) -> String {
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

fn read(kv: &EtcdClient) -> Result<(Table, Revision), CliError> {
    let entry = kv.get(keys::TABLE).map_err(|err| CliError::NotReachable(err.to_string()))?;
    let Some(entry) = entry else { return Ok((Table::default(), 0)) };
    let table = serde_json::from_slice(&entry.value)
        .map_err(|err| CliError::Refused(format!("table in the key-value service: {err}")))?;
    Ok((table, entry.revision))
}

fn check_against_fleet(options: &Options, path: &Path, rows: &[Row]) -> Result<(), CliError> {
    let Some(address) = &options.vm_list else {
        let message = "give --vm-list or --settings to check the fleet, or --no-fleet-check";
        return Err(CliError::Usage(message.to_owned()));
    };
    let list = vms::fetch(address, options.timeout)
        .map_err(|err| CliError::NotReachable(err.to_string()))?;
    let capacities: Vec<u32> =
        list.engines().filter(|vm| !vm.leaving).map(|vm| vm.memory_mib).collect();
    check_memory_fit(rows, &capacities).map_err(|err| refused(path, &err))
}

fn read_file(path: &Path) -> Result<Vec<Row>, CliError> {
    let buf =
        fs::read(path).map_err(|err| CliError::Refused(format!("{}: {err}", path.display())))?;
    let rows = parse_csv(&buf).map_err(|err| refused(path, &err))?;
    let table = Table { rows, ..Table::default() };
    table.encode().map_err(|err| refused(path, &err))?;
    Ok(table.rows)
}

fn refused(path: &Path, err: &TableError) -> CliError {
    CliError::Refused(format!("{}:\n{err}", path.display()))
}

/// Returns the file beside a table that holds the version it was made from.
fn base_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".base.json");
    name.into()
}

fn write_base(path: &Path, table: &Table) -> Result<(), CliError> {
    let text = serde_json::to_string(table).expect("plain values");
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
        let hint = "start from 'savoryport table get FILE.csv', or give --first";
        CliError::Refused(format!("{}: {err}\n{hint}", path.display()))
    })?;
    serde_json::from_str(&text)
        .map_err(|err| CliError::Refused(format!("{}: {err}", path.display())))
}
