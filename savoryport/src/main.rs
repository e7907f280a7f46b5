//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryport::cli::main()
}
