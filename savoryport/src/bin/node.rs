//! The node process, which runs on each VM of a platform deployment.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use savoryport::node;
use savoryport::node::settings::NodeSettings;
use tokio_util::sync::CancellationToken;

const PROGRAM: &str = "savoryport-node";

/// The environment variable that names the settings file if no argument does.
const SETTINGS_VARIABLE: &str = "SAVORYPORT_BOOT";

/// The exit status for invalid arguments or settings and for a node that cannot run.
const EXIT_ERROR: u8 = 2;

const USAGE: &str = "\
Usage: savoryport-node [--settings FILE.json]

Without --settings the file that SAVORYPORT_BOOT names is read. See man savoryport-node.";

fn main() -> ExitCode {
    let path = match settings_path() {
        Ok(Some(path)) => path,
        Ok(None) => return ExitCode::SUCCESS,
        Err(err) => return exit_with_error(&err.to_string()),
    };
    let checked = match NodeSettings::read(&path) {
        Ok(checked) => checked,
        Err(err) => return exit_with_error(&err.to_string()),
    };
    savoryport::logging::start_json(&checked.settings.log_level);
    for key in checked.unknown_keys {
        log::warn!(key = key.as_str(); "unknown key in the settings");
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => return exit_with_error(&err.to_string()),
    };
    let result = runtime.block_on(async {
        let cancel = CancellationToken::new();
        tokio::spawn(savoryport::daemon::cancel_on_signal(cancel.clone()));
        tokio::spawn(savoryport::daemon::log_reload_requests());
        node::run(checked.settings, cancel).await
    });
    savoryport::logging::flush();
    // Does not wait for pages that are still being made for operators.
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => exit_with_error(&err.to_string()),
    }
}

/// Returns the path of the settings file, or `None` if the arguments only ask for help or the
/// version.
fn settings_path() -> Result<Option<PathBuf>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => path = Some(parser.value()?.into()),
            Long("help") => {
                println!("{USAGE}");
                return Ok(None);
            }
            Long("version") => {
                println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    let missing_settings = || "no settings: use --settings FILE.json or set SAVORYPORT_BOOT".into();
    path.map(Some).ok_or_else(missing_settings)
}

/// Prints a problem and returns the exit status for it.
fn exit_with_error(problem: &str) -> ExitCode {
    eprintln!("{PROGRAM}: {problem}");
    ExitCode::from(EXIT_ERROR)
}
