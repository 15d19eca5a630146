//! Command-line tool for operators: applies declarations and shows the state of the fleet.

pub mod cli;
pub mod commands;
pub mod edit;
pub mod error;
pub mod options;
pub mod output;
pub mod report;
pub mod why;

use std::process::ExitCode;

use clap::Parser;

pub use self::{error::CliError, options::Options};

/// Runs the tool with the arguments of the process.
pub fn run() -> ExitCode {
    let args = cli::Args::parse();
    let cfg = match Options::resolve(&args) {
        Ok(cfg) => cfg,
        Err(e) => return report_error(&e),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return report_error(&CliError::StartRuntime(e)),
    };
    match runtime.block_on(commands::run(&args.command, &cfg)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_error(&e),
    }
}

fn report_error(e: &CliError) -> ExitCode {
    eprintln!("jasminestage: {e}");
    ExitCode::from(e.exit_code())
}
