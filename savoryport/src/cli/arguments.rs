//! The arguments of the command line.

use std::path::{Path, PathBuf};
use std::time::Duration;

use lexopt::prelude::*;
use savoryport_platform::kv::EtcdClient;

use crate::settings::Settings;

/// What `--help` prints.
pub(super) const USAGE: &str = "\
Usage: savoryport [OPTIONS] COMMAND

Commands:
  table get [FILE.csv]     print the table in force, or write it to a file for editing
  table check FILE.csv     check a table without any service (with --vm-list also the fleet)
  table diff FILE.csv      show the rows that differ from the table in force
  table apply FILE.csv     put a table in force
  status                   show the fleet at a glance
  explain NAME             show where a model or adapter is, and why
  settings check FILE.json check the daemons' settings
  drain VM                 send a VM no new work; --undo takes it back

Options:
  --settings FILE.json     take the platform's addresses from the daemons' settings
  --key-value IP:PORT      the key-value service
  --vm-list IP:PORT        the platform's list of VMs
  --merge                  apply: keep others' changes of other rows
  --first                  apply: there is no table yet
  --no-fleet-check         apply: do not ask whether the fleet can hold the table
  --undo                   drain: take it back
  --help, --version

Exit status: 0 done, 1 refused and nothing changed, 2 wrong arguments,
3 platform not reachable and nothing changed, 4 not known whether it changed.";

/// What is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Command {
    Help,
    Version,
    TableGet(Option<PathBuf>),
    TableCheck(PathBuf),
    TableDiff(PathBuf),
    TableApply(PathBuf),
    Status,
    Explain(String),
    SettingsCheck(PathBuf),
    Drain(String),
}

/// How it is done.
#[derive(Debug, Clone)]
pub struct Options {
    /// IP address and port of the key-value service.
    pub key_value: String,
    /// IP address and port of the list of VMs, where one was given.
    pub vm_list: Option<String>,
    /// Whether others' changes of other rows are kept.
    pub merge: bool,
    /// Whether there is no table yet.
    pub first: bool,
    /// Whether the fleet's memory is checked.
    pub fleet_check: bool,
    /// Whether a drain is taken back.
    pub undo: bool,
    /// The time for one call of the platform.
    pub timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        let settings = Settings::default();
        Self {
            key_value: settings.key_value,
            vm_list: None,
            merge: false,
            first: false,
            fleet_check: true,
            undo: false,
            timeout: Duration::from_millis(settings.platform_timeout_ms),
        }
    }
}

impl Options {
    /// Makes a client of the key-value service.
    pub(super) fn kv(&self) -> EtcdClient {
        EtcdClient::new(&self.key_value, self.timeout)
    }
}

/// Reads the arguments of this process.
pub(super) fn parse() -> Result<(Command, Options), lexopt::Error> {
    let mut options = Options::default();
    let mut words: Vec<String> = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => read_settings(&mut options, Path::new(&parser.value()?))?,
            Long("key-value") => options.key_value = parser.value()?.string()?,
            Long("vm-list") => options.vm_list = Some(parser.value()?.string()?),
            Long("merge") => options.merge = true,
            Long("first") => options.first = true,
            Long("no-fleet-check") => options.fleet_check = false,
            Long("undo") => options.undo = true,
            Long("help") => return Ok((Command::Help, options)),
            Long("version") => return Ok((Command::Version, options)),
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok((command(&words)?, options))
}

fn command(words: &[String]) -> Result<Command, lexopt::Error> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Ok(match words.as_slice() {
        ["table", "get"] => Command::TableGet(None),
        ["table", "get", path] => Command::TableGet(Some(path.into())),
        ["table", "check", path] => Command::TableCheck(path.into()),
        ["table", "diff", path] => Command::TableDiff(path.into()),
        ["table", "apply", path] => Command::TableApply(path.into()),
        ["status"] => Command::Status,
        ["explain", name] => Command::Explain((*name).to_owned()),
        ["settings", "check", path] => Command::SettingsCheck(path.into()),
        ["drain", vm] => Command::Drain((*vm).to_owned()),
        [] => return Err("no command given".into()),
        words => return Err(format!("not a command: {}", words.join(" ")).into()),
    })
}

fn read_settings(options: &mut Options, path: &Path) -> Result<(), lexopt::Error> {
    let checked = Settings::read(path).map_err(|err| format!("{}: {err}", path.display()))?;
    options.key_value = checked.settings.key_value;
    options.vm_list = Some(checked.settings.vm_list);
    options.timeout = Duration::from_millis(checked.settings.platform_timeout_ms);
    Ok(())
}
