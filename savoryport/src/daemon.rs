//! The parts that the entry and control daemons share: arguments, settings, logs and signals. The
//! node uses only the signal handlers.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::logging;
use crate::settings::Settings;

/// The exit status for invalid arguments or settings, and for a daemon whose runtime cannot start.
const EXIT_USAGE: u8 = 2;

/// Parses the arguments, reads the settings and runs a daemon until it stops.
pub fn main<F, E>(
    program: &'static str,
    run: impl FnOnce(Settings, CancellationToken) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let settings = match parse_arguments(program) {
        Ok(Some(path)) => match Settings::read(&path) {
            Ok(checked) => {
                logging::start(program, &checked.settings.log_level);
                for key in checked.unknown_keys {
                    log::warn!(key = key.as_str(); "unknown key in the settings");
                }
                checked.settings
            }
            Err(err) => return exit_with_error(program, &format!("{}:\n{err}", path.display())),
        },
        Ok(None) => return ExitCode::SUCCESS,
        Err(err) => return exit_with_error(program, &err.to_string()),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => return exit_with_error(program, &err.to_string()),
    };
    let result = runtime.block_on(async {
        let cancel = CancellationToken::new();
        tokio::spawn(cancel_on_signal(cancel.clone()));
        run(settings, cancel).await
    });
    // Does not wait for blocking calls to the platform, whose results are no longer needed.
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("{err}");
            eprintln!("{program}: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the path of the settings file, or `None` if the arguments only ask for help or the
/// version.
fn parse_arguments(program: &str) -> Result<Option<PathBuf>, lexopt::Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut path = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => path = Some(PathBuf::from(parser.value()?)),
            Long("help") => {
                println!("Usage: {program} --settings FILE.json\n\nSee man {program}.");
                return Ok(None);
            }
            Long("version") => {
                println!("{program} {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            other => return Err(other.unexpected()),
        }
    }
    path.map(Some).ok_or_else(|| "missing --settings FILE.json".into())
}

/// Prints a problem and returns the exit status for it.
fn exit_with_error(program: &str, problem: &str) -> ExitCode {
    eprintln!("{program}: {problem}");
    ExitCode::from(EXIT_USAGE)
}

/// Logs each request to reload (SIGHUP). A platform may send one after any change to the settings
/// file, but the settings are fixed for the lifetime of the process.
pub async fn log_reload_requests() {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    while hangups.recv().await.is_some() {
        log::info!("reload requested; settings are only read at the next start");
    }
}

/// Cancels the token when the process receives SIGTERM or SIGINT.
pub async fn cancel_on_signal(cancel: CancellationToken) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    log::info!("stop requested by a signal");
    cancel.cancel();
}
