//! The host process of jasminestage on the target platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    match jasminestage_edge::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("jasminestage-edge: {e}");
            ExitCode::FAILURE
        }
    }
}
