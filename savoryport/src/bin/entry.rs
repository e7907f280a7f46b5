//! The entry daemon, which serves callers' requests.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryport::daemon::main("savoryport-entry", savoryport::entry::run)
}
