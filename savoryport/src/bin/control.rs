//! The daemon that holds leases, keeps the memory ledgers and gives orders to engines.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryport::daemon::main("savoryport-control", savoryport::control::run)
}
