//! Errors of the host process.

use std::{io, net::SocketAddr, path::PathBuf};

use thiserror::Error;

/// Errors that end the process.
#[derive(Debug, Error)]
pub enum EdgeError {
    /// The path of the settings file is missing.
    #[error("No settings file is given; pass --config FILE or set JASMINESTAGE_NODE_FILE.")]
    SettingsPathMissing,
    /// The settings file cannot be read.
    #[error("Cannot read the settings file '{path}': {source}; check its path and permissions.")]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        source: io::Error,
    },
    /// A setting is missing, unknown or not valid.
    #[error("Correct the setting '{key}' in [{section}]: {reason}.")]
    InvalidSetting {
        /// Section of the setting.
        section: String,
        /// Key of the setting.
        key: String,
        /// Why the setting is rejected and which values are allowed.
        reason: String,
    },
    /// The settings file is not valid INI.
    #[error("Correct line {line} of the settings file: {text}")]
    Syntax {
        /// Line number.
        line: u32,
        /// Description of the syntax error.
        text: String,
    },
    /// A socket cannot be bound to its address.
    #[error(
        "Cannot listen on {address}: {source}; check the address and whether the port is in use."
    )]
    Bind {
        /// Address of the socket.
        address: SocketAddr,
        /// Cause of the error.
        source: io::Error,
    },
    /// A thread, its runtime or a signal handler cannot be set up.
    #[error(
        "Cannot start a thread, its runtime or a signal handler: {0}; check the limits on \
         threads and descriptors."
    )]
    Thread(io::Error),
    /// The control thread panicked.
    #[error("The control thread panicked; report this with its message on standard error.")]
    ControlThread,
    /// Metrics cannot be set up.
    #[error("Cannot set up the metrics: {0}; report this.")]
    Metrics(String),
}
