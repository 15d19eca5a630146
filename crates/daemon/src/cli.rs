//! Arguments of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Steers, authenticates, admits and routes the requests of callers.
#[derive(Clone, Debug, Parser)]
#[command(name = "jasminestaged", version)]
pub struct Args {
    /// File with the settings, in INI.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}
