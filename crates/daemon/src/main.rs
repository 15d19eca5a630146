//! The daemon of jasminestage.

use std::process::ExitCode;

fn main() -> ExitCode {
    match jasminestage_daemon::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("jasminestaged: {e}");
            ExitCode::FAILURE
        }
    }
}
