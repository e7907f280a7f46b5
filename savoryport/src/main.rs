//! The command-line tool for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    savoryport::cli::main()
}
