//! Errors of the tool and their exit codes.

use std::{io, path::PathBuf};

use jasminestage_core::world::DeclarationError;
use jasminestage_store::StoreError;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error("The file '{}' cannot be read: {source}.", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// The declaration has faults.
    #[error("'{}': {source}", path.display())]
    Declaration {
        /// Path of the file.
        path: PathBuf,
        /// All faults.
        source: DeclarationError,
    },
    /// The store does not answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Another apply came first.
    #[error(
        "Another change came first: the store holds revision {found}, this apply was based on \
         revision {based}. Look at it with 'diff' and apply again."
    )]
    Conflict {
        /// Revision in the store.
        found: u64,
        /// Revision that the apply was based on.
        based: u64,
    },
    /// There is no declaration yet.
    #[error("The store holds no declaration yet; 'apply' writes one.")]
    NoDeclaration,
    /// A wait took too long.
    #[error("Revision {revision} is not in force after {seconds} s on: {waiting}.")]
    WaitTimeout {
        /// The revision.
        revision: u64,
        /// Length of the wait.
        seconds: u64,
        /// Who has not taken it.
        waiting: String,
    },
    /// The seats were changed twice while hosts may still count by the first table.
    #[error(
        "The seats of the failure domains were changed by a revision that is not accepted yet; \
         they can be changed again once 'wait' says that revision {revision} is accepted."
    )]
    SeatsNotSettled {
        /// Revision in the store.
        revision: u64,
    },
    /// A change was not accepted in time.
    #[error(
        "Revision {revision} is written but not accepted after {seconds} s; {majority} of the \
         declared seats has it in force; outstanding: {outstanding}."
    )]
    NotAccepted {
        /// The revision.
        revision: u64,
        /// Length of the wait.
        seconds: u64,
        /// Whether a majority has it in force.
        majority: &'static str,
        /// Failure domains that have not acknowledged it.
        outstanding: String,
    },
    /// The runtime could not be started.
    #[error("The tool could not be started: {0}.")]
    Runtime(io::Error),
}

impl CliError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Read { .. } | CliError::Runtime(_) => 1,
            CliError::Declaration { .. } => 3,
            CliError::Conflict { .. } => 4,
            CliError::Store(_) | CliError::NoDeclaration => 5,
            CliError::WaitTimeout { .. } => 6,
            CliError::NotAccepted { .. } => 7,
            CliError::SeatsNotSettled { .. } => 8,
        }
    }
}
