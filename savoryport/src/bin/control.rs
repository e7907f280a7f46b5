//! The control daemon, which holds leases, keeps the memory ledgers and sends orders to engines.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryport::daemon::main("savoryport-control", savoryport::control::run)
}
