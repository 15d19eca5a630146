//! The command line.

use std::path::PathBuf;

use clap::Parser;

use crate::error::EdgeError;

/// Environment variable with the path of the settings file.
const SETTINGS_PATH_VARIABLE: &str = "JASMINESTAGE_NODE_FILE";

/// Routes requests of callers to backend servers.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Args {
    /// Path of the settings file; defaults to the value of JASMINESTAGE_NODE_FILE.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Checks the settings and exits.
    #[arg(long)]
    pub check: bool,
}

impl Args {
    /// Returns the path of the settings file from the command line or the environment.
    pub fn settings_path(&self) -> Result<PathBuf, EdgeError> {
        let argument = self.config.clone();
        argument
            .or_else(|| std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from))
            .ok_or(EdgeError::SettingsPathMissing)
    }
}
