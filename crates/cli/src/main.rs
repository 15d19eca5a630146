//! Command-line tool for operators of jasminestage.

use std::process::ExitCode;

fn main() -> ExitCode {
    jasminestage_cli::run()
}
