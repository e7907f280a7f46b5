//! What the two daemons have in common: arguments, settings, logs and signals.

use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::logging;
use crate::settings::Settings;

/// The exit status for bad arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Runs a daemon from its arguments until it stops.
pub fn main<F, E>(
    program: &'static str,
    run: impl FnOnce(Settings, CancellationToken) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let settings = match arguments(program) {
        Ok(Some(path)) => match Settings::read(&path) {
            Ok(checked) => {
                logging::start(program, &checked.settings.log_level);
                for key in checked.unknown_keys {
                    log::warn!(key = key.as_str(); "unknown key in the settings");
                }
                checked.settings
            }
            Err(err) => return fail(program, &format!("{}:\n{err}", path.display())),
        },
        Ok(None) => return ExitCode::SUCCESS,
        Err(err) => return fail(program, &err.to_string()),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(err) => return fail(program, &err.to_string()),
    };
    let ended = runtime.block_on(async {
        let cancel = CancellationToken::new();
        tokio::spawn(cancel_on_signal(cancel.clone()));
        run(settings, cancel).await
    });
    // Blocking calls of the platform may be under way; their answers no longer matter.
    runtime.shutdown_background();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!("{err}");
            eprintln!("{program}: {err}");
            ExitCode::FAILURE
        }
    }
}

fn arguments(program: &str) -> Result<Option<PathBuf>, lexopt::Error> {
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

fn fail(program: &str, problem: &str) -> ExitCode {
    eprintln!("{program}: {problem}");
    ExitCode::from(EXIT_USAGE)
}

/// Logs each request to reload. A platform may send one for any change of the settings file; what
/// it holds is fixed for the life of a process.
pub async fn log_reload_requests() {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    while hangups.recv().await.is_some() {
        log::info!("asked to reload; settings are read at the next start");
    }
}

/// Cancels the token when the process is asked to stop.
pub async fn cancel_on_signal(cancel: CancellationToken) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    log::info!("asked to stop");
    cancel.cancel();
}
