//! The command line.

use std::path::PathBuf;

use clap::Parser;

use crate::error::EdgeError;

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "JASMINESTAGE_NODE_FILE";

/// Steers requests of callers to backend servers.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// Settings file; the variable JASMINESTAGE_NODE_FILE names it when this is absent.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Checks the settings and ends.
    #[arg(long)]
    pub check: bool,
}

impl Args {
    /// Path of the settings file.
    pub fn settings(&self) -> Result<PathBuf, EdgeError> {
        let given = self.config.clone();
        given
            .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
            .ok_or(EdgeError::NoSettings)
    }
}
