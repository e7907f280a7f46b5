//! The arguments of the command-line tool.

use std::path::{Path, PathBuf};
use std::time::Duration;

use lexopt::prelude::*;
use savoryport_platform::kv::EtcdClient;

use super::explain_route::DescribedRequest;
use crate::settings::Settings;

/// The text that `--help` prints.
pub(super) const USAGE: &str = "\
Usage: savoryport [OPTIONS] COMMAND

Commands:
  table get [FILE.csv]     print the table in force, or write it to a file for editing
  table check FILE.csv     check a table offline, and with --vm-list against the fleet's memory
  table diff FILE.csv      show the rows that differ from the table in force
  table apply FILE.csv     put a table in force
  status                   show the fleet at a glance
  explain NAME             show where a model or adapter is, and why
  settings check FILE.json check the daemons' settings
  key new                  make a key for a team, and print it once with its digest for the table
  key digest               read a key from standard input and print its digest
  drain VM                 send a VM no new work, or with --undo send it work again
  quarantine list IP:PORT  list the requests and the parts of prompts that nodes refuse;
                           IP:PORT is the metrics address of any savoryport-node
  quarantine clear IP:PORT ID
                           serve a request, or those with a part, again

  explain-route IP:PORT HOST PATH
                           show where a node would send a request now, and why, without
                           sending it; IP:PORT is the metrics address of a savoryport-node

Options:
  --settings FILE.json     take the platform's addresses from the daemons' settings
  --key-value IP:PORT      the key-value service
  --vm-list IP:PORT        the platform's list of VMs
  --merge                  apply: keep other operators' changes to other rows
  --first                  apply: there is no table yet
  --no-fleet-check         apply: do not check the table against the fleet's memory
  --undo                   drain: end the drain
  --model MODEL[/ADAPTER]  explain-route: the model
  --token-counts P,O       explain-route: tokens of the prompt, and to generate at most
  --prompt-parts ID:N,...  explain-route: the parts of the prompt with their tokens
  --team NAME              explain-route: the team that sends the request
  --json                   explain-route: print JSON
  --help, --version

Exit status: 0 done, 1 refused and nothing changed, 2 wrong arguments,
3 platform not reachable and nothing changed, 4 not known whether it changed.";

/// A command with its arguments.
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
    ExplainRoute(String, DescribedRequest),
    SettingsCheck(PathBuf),
    KeyNew,
    KeyDigest,
    Drain(String),
    QuarantineList(String),
    QuarantineClear(String, String),
}

/// The options of all commands.
#[derive(Debug, Clone)]
pub struct Options {
    /// The IP address and port of the key-value service.
    pub key_value: String,
    /// The IP address and port of the platform's list of VMs, if given.
    pub vm_list: Option<String>,
    /// Whether `apply` keeps the changes that other operators made to other rows meanwhile.
    pub merge: bool,
    /// Whether `apply` writes the first table.
    pub first: bool,
    /// Whether `apply` checks that the table fits into the fleet's memory.
    pub fleet_check: bool,
    /// Whether `drain` ends a drain instead of starting it.
    pub undo: bool,
    /// Whether `explain-route` prints JSON.
    pub json: bool,
    /// Timeout for a call to the platform.
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
            json: false,
            timeout: Duration::from_millis(settings.platform_timeout_ms),
        }
    }
}

impl Options {
    /// Returns a new client of the key-value service.
    pub(super) fn kv_client(&self) -> EtcdClient {
        EtcdClient::new(&self.key_value, self.timeout)
    }
}

/// Parses the arguments of this process.
pub(super) fn parse() -> Result<(Command, Options), lexopt::Error> {
    let mut options = Options::default();
    let mut request = DescribedRequest::default();
    let mut positional: Vec<String> = Vec::new();
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => apply_settings_file(&mut options, Path::new(&parser.value()?))?,
            Long("key-value") => options.key_value = parser.value()?.string()?,
            Long("vm-list") => options.vm_list = Some(parser.value()?.string()?),
            Long("merge") => options.merge = true,
            Long("first") => options.first = true,
            Long("no-fleet-check") => options.fleet_check = false,
            Long("undo") => options.undo = true,
            Long("json") => options.json = true,
            Long("model") => request.model = Some(parser.value()?.string()?),
            Long("token-counts") => request.token_counts = Some(parser.value()?.string()?),
            Long("prompt-parts") => request.prompt_parts = Some(parser.value()?.string()?),
            Long("team") => request.team = Some(parser.value()?.string()?),
            Long("help") => return Ok((Command::Help, options)),
            Long("version") => return Ok((Command::Version, options)),
            Value(arg) => positional.push(arg.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok((parse_command(&positional, request)?, options))
}

/// Parses the arguments that are not options.
fn parse_command(
    positional: &[String],
    request: DescribedRequest,
) -> Result<Command, lexopt::Error> {
    let positional: Vec<&str> = positional.iter().map(String::as_str).collect();
    Ok(match positional.as_slice() {
        ["table", "get"] => Command::TableGet(None),
        ["table", "get", path] => Command::TableGet(Some(path.into())),
        ["table", "check", path] => Command::TableCheck(path.into()),
        ["table", "diff", path] => Command::TableDiff(path.into()),
        ["table", "apply", path] => Command::TableApply(path.into()),
        ["status"] => Command::Status,
        ["explain", name] => Command::Explain((*name).to_owned()),
        ["explain-route", node, host, path] => {
            let (host, path) = ((*host).to_owned(), (*path).to_owned());
            Command::ExplainRoute((*node).to_owned(), DescribedRequest { host, path, ..request })
        }
        ["key", "new"] => Command::KeyNew,
        ["key", "digest"] => Command::KeyDigest,
        ["settings", "check", path] => Command::SettingsCheck(path.into()),
        ["quarantine", "list", node] => Command::QuarantineList((*node).to_owned()),
        ["quarantine", "clear", node, part] => {
            Command::QuarantineClear((*node).to_owned(), (*part).to_owned())
        }
        ["drain", vm] => Command::Drain((*vm).to_owned()),
        [] => return Err("no command given".into()),
        words => return Err(format!("not a command: {}", words.join(" ")).into()),
    })
}

/// Takes the platform's addresses and timeout from a settings file of the daemons.
fn apply_settings_file(options: &mut Options, path: &Path) -> Result<(), lexopt::Error> {
    let checked = Settings::read(path).map_err(|err| format!("{}: {err}", path.display()))?;
    options.key_value = checked.settings.key_value;
    options.vm_list = Some(checked.settings.vm_list);
    options.timeout = Duration::from_millis(checked.settings.platform_timeout_ms);
    Ok(())
}
