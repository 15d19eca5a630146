//! Errors of the host process.

use std::{io, net::SocketAddr, path::PathBuf};

use thiserror::Error;

/// Why the process cannot start or go on.
#[derive(Debug, Error)]
pub enum EdgeError {
    /// No settings file was named.
    #[error("No settings file was named; pass --config FILE.")]
    NoSettings,
    /// The settings file cannot be read.
    #[error("The settings file '{path}' cannot be read: {source}.")]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A setting is missing or not valid.
    #[error("The setting '{key}' in [{section}] is not valid: {allowed}.")]
    Setting {
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// What is allowed.
        allowed: String,
    },
    /// The file is not INI.
    #[error("Line {line} of the settings is not valid: {text}")]
    Syntax {
        /// Line number.
        line: u32,
        /// What is wrong.
        text: String,
    },
    /// An address cannot be used.
    #[error("The address {address} cannot be used: {source}.")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A runtime or thread cannot be started.
    #[error("A thread cannot be started: {0}.")]
    Thread(io::Error),
    /// The control thread ended by a panic.
    #[error("The control thread ended unexpectedly.")]
    ControlThread,
    /// Metrics cannot be set up.
    #[error("Metrics cannot be set up: {0}.")]
    Metrics(String),
}
