//! Errors of the tool and their exit codes.

use std::{io, path::PathBuf};

use jasminestage_core::declaration::DeclarationError;
use jasminestage_store::StoreError;
use thiserror::Error;

/// Exit codes, shown at the end of the help.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  a file cannot be read or written, or a system call failed
  2  invalid arguments
  3  the declaration or the settings file is invalid
  4  another change was written first
  5  the store does not answer or holds no declaration
  6  a revision is not in force on all hosts in time
  7  a change is written but not accepted in time
  8  the seats or limits cannot be changed again yet
  9  no host answers
  10 the named item or request is not found";

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file cannot be read.
    #[error(
        "The file '{}' cannot be read: {source}. Check its path and permissions.",
        path.display()
    )]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// The declaration is invalid.
    #[error("'{}': {source}", path.display())]
    InvalidDeclaration {
        /// Path of the file.
        path: PathBuf,
        /// Errors in the declaration.
        source: DeclarationError,
    },
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Another change was written after the revision that this apply is based on.
    #[error(
        "Another change came first: the store holds revision {found}, this apply is based on \
         revision {base_revision}. Compare with 'diff' and apply again."
    )]
    RevisionConflict {
        /// Revision in the store.
        found: u64,
        /// Revision that the apply is based on.
        base_revision: u64,
    },
    /// The store holds no declaration.
    #[error("The store holds no declaration; write one with 'apply'.")]
    NoDeclaration,
    /// A revision is not in force on all hosts in time.
    #[error(
        "Revision {revision} is not in force after {seconds} s on: {pending}. Check these hosts \
         with 'status'."
    )]
    WaitTimeout {
        /// Revision that was waited for.
        revision: u64,
        /// Length of the wait in seconds.
        seconds: u64,
        /// Admin addresses of the hosts on which it is not in force.
        pending: String,
    },
    /// The seats or limits were changed again before their last change was accepted, while hosts
    /// may still use the values before it.
    #[error(
        "The seats or limits were changed by a revision that is not accepted yet; run \
         'wait --revision {revision}', then apply again."
    )]
    ChangePending {
        /// Revision in the store.
        revision: u64,
    },
    /// A change was not accepted in time.
    #[error(
        "Revision {revision} is written but not accepted after {seconds} s; {majority} of the \
         declared seats has it in force; outstanding: {outstanding}. Check these and \
         run 'wait --revision {revision}'."
    )]
    NotAccepted {
        /// Revision that was waited for.
        revision: u64,
        /// Length of the wait in seconds.
        seconds: u64,
        /// `a majority` or `no majority`, as it appears in the message.
        majority: &'static str,
        /// Failure domains that have not acknowledged it.
        outstanding: String,
    },
    /// No admin address of a host is given.
    #[error(
        "This command needs admin addresses of hosts: give them with --admin, in \
         JASMINESTAGE_ADMIN or as 'admin' in section [tool] of the file given with --config."
    )]
    NoAdminAddress,
    /// None of the hosts answers.
    #[error("No answer from {0}. Check the addresses and that the daemon runs there.")]
    NoHostAnswered(String),
    /// An item named in the arguments is not declared.
    #[error("{0} is not in the declaration in the store; print it with 'get'.")]
    NotFound(String),
    /// No log line contains the id of the request.
    #[error(
        "No log line contains the request id '{0}'. Give the logs of all hosts, and look for event \
         304, which counts omitted lines."
    )]
    RequestNotLogged(String),
    /// A host refused a query.
    #[error("The host refused the query: {0}")]
    Refused(String),
    /// The settings file of the tool is invalid.
    #[error("{}:{line}: {text}.", path.display())]
    InvalidSetting {
        /// Path of the file.
        path: PathBuf,
        /// Line number, from 1.
        line: u32,
        /// Description of the error.
        text: String,
    },
    /// A file cannot be written.
    #[error(
        "The file '{}' cannot be written: {source}. Check its path and permissions.",
        path.display()
    )]
    WriteFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// Standard output cannot be written.
    #[error("Standard output cannot be written: {0}.")]
    WriteOutput(io::Error),
    /// The async runtime cannot be started.
    #[error("The async runtime cannot be started: {0}.")]
    StartRuntime(io::Error),
}

impl CliError {
    /// Returns the exit code of the process, as described in [`EXIT_CODES`].
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::ReadFile { .. }
            | CliError::WriteFile { .. }
            | CliError::WriteOutput(_)
            | CliError::StartRuntime(_) => 1,
            CliError::NoAdminAddress => 2,
            CliError::InvalidDeclaration { .. } | CliError::InvalidSetting { .. } => 3,
            CliError::RevisionConflict { .. } => 4,
            CliError::Store(_) | CliError::NoDeclaration => 5,
            CliError::WaitTimeout { .. } => 6,
            CliError::NotAccepted { .. } => 7,
            CliError::ChangePending { .. } => 8,
            CliError::NoHostAnswered(_) => 9,
            CliError::NotFound(_) | CliError::RequestNotLogged(_) | CliError::Refused(_) => 10,
        }
    }
}
