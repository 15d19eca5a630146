//! Errors of the tool and their exit codes.

use std::{io, path::PathBuf};

use jasminestage_core::declaration::DeclarationError;
use jasminestage_store::StoreError;
use thiserror::Error;

/// Exit codes, as the help shows them.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  a file or the system
  2  wrong arguments
  3  the declaration or the settings have faults
  4  another change came first
  5  the store does not answer or holds nothing
  6  a wait took too long
  7  a change is written but not accepted in time
  8  the seats cannot be changed yet
  9  no host answers
  10 what was named is not there";

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
    /// No address of a host was given.
    #[error(
        "This command asks hosts: give their operators' addresses with --admin, in \
         JASMINESTAGE_ADMIN or as 'admin' in section [tool] of the file of --config."
    )]
    NoHosts,
    /// No host answers.
    #[error("No answer from {0}. Check the addresses and whether the daemon runs there.")]
    NoAnswer(String),
    /// What was named is not declared.
    #[error("{0} is not in the declaration in the store; look at it with 'get'.")]
    NotFound(String),
    /// No log line names a request.
    #[error(
        "No line of the logs names request '{0}'. Look for event 304, which counts lines that were \
         left out, and give the logs of all hosts."
    )]
    NotLogged(String),
    /// A host refused a question.
    #[error("The host cannot answer: {0}")]
    Refused(String),
    /// The settings of the tool are wrong.
    #[error("{}:{line}: {text}.", path.display())]
    Setting {
        /// Path of the file.
        path: PathBuf,
        /// Line number, from 1.
        line: u32,
        /// What is wrong.
        text: String,
    },
    /// A file cannot be written.
    #[error("The file '{}' cannot be written: {source}.", path.display())]
    WriteFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// The output cannot be written.
    #[error("The output cannot be written: {0}.")]
    Write(io::Error),
    /// The runtime could not be started.
    #[error("The tool could not be started: {0}.")]
    Runtime(io::Error),
}

impl CliError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Read { .. }
            | CliError::WriteFile { .. }
            | CliError::Write(_)
            | CliError::Runtime(_) => 1,
            CliError::NoHosts => 2,
            CliError::Declaration { .. } | CliError::Setting { .. } => 3,
            CliError::Conflict { .. } => 4,
            CliError::Store(_) | CliError::NoDeclaration => 5,
            CliError::WaitTimeout { .. } => 6,
            CliError::NotAccepted { .. } => 7,
            CliError::SeatsNotSettled { .. } => 8,
            CliError::NoAnswer(_) => 9,
            CliError::NotFound(_) | CliError::NotLogged(_) | CliError::Refused(_) => 10,
        }
    }
}
