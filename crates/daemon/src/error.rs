//! Errors that stop the daemon.

use std::{io, net::SocketAddr, path::PathBuf};

use thiserror::Error;

/// Why the daemon could not start or had to stop.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The settings file cannot be read.
    #[error(
        "The settings file '{}' cannot be read: {source}. Check its path and permissions.",
        path.display()
    )]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A setting is invalid.
    #[error("{}", setting_message(file, *line, section, key, value, allowed))]
    Setting {
        /// Name of the file.
        file: String,
        /// Line number, from 1.
        line: u32,
        /// Section of the setting.
        section: String,
        /// Key of the setting.
        key: String,
        /// Value in the file.
        value: String,
        /// What is allowed instead.
        allowed: String,
    },
    /// A listener cannot be bound to an address.
    #[error(
        "The address {address} cannot be bound: {source}. Check the setting and whether another \
         process uses the address."
    )]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread or runtime could not be started.
    #[error("A thread could not be started: {0}.")]
    Thread(io::Error),
    /// The metrics could not be initialised.
    #[error("The metrics could not be initialised: {0}.")]
    Metrics(String),
    /// The control thread panicked.
    #[error("The control thread panicked; its message is on standard error.")]
    ControlThread,
}

fn setting_message(
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
