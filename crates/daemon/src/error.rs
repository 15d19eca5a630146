//! Errors that stop the daemon.

use std::{io, net::SocketAddr, path::PathBuf};

use thiserror::Error;

/// Why the daemon could not start or go on.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The settings file cannot be read.
    #[error("The settings file '{}' cannot be read: {source}.", path.display())]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// The settings are wrong.
    #[error("{}", setting_text(file, *line, section, key, value, allowed))]
    Setting {
        /// Name of the file.
        file: String,
        /// Line number, from 1.
        line: u32,
        /// Section of the setting.
        section: String,
        /// Key of the setting.
        key: String,
        /// The value given.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// An address cannot be bound.
    #[error("The address {address} cannot be bound: {source}.")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// A thread or runtime could not be started.
    #[error("A thread could not be started: {0}.")]
    Thread(io::Error),
    /// The metrics could not be set up.
    #[error("The metrics could not be set up: {0}.")]
    Metrics(String),
    /// The control thread panicked.
    #[error("The control thread has ended with a panic.")]
    ControlThread,
}

fn setting_text(
    file: &str,
    line: u32,
    section: &str,
    key: &str,
    value: &str,
    allowed: &str,
) -> String {
    match (section, key) {
        ("", _) => format!("{file}:{line}: {allowed}."),
        (_, "") => format!("{file}:{line}: [{section}]: {allowed}."),
        _ => format!("{file}:{line}: [{section}] {key} = '{value}': {allowed}."),
    }
}
