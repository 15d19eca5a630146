//! The operators' tool: applies declarations and shows what became of them.

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
        Err(e) => return fail(&e),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&CliError::Runtime(e)),
    };
    match runtime.block_on(commands::run(&args.command, &cfg)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&e),
    }
}

fn fail(e: &CliError) -> ExitCode {
    eprintln!("jasminestage: {e}");
    ExitCode::from(e.exit_code())
}
