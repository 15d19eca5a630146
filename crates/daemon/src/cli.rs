//! Arguments of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Authenticates, rate-limits and routes the requests of callers to backend servers.
#[derive(Clone, Debug, Parser)]
#[command(name = "jasminestaged", version)]
pub struct Args {
    /// Settings file in INI format.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}
