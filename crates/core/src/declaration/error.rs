//! Faults of a declaration, each with its line.

use std::fmt;

use thiserror::Error;

/// One fault of a declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line number, from 1.
    pub line: u32,
    /// What is wrong and what is allowed.
    pub text: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.text)
    }
}

/// Why a declaration was not taken: every fault at once.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("The declaration has {} fault(s):\n{}", faults.len(), list(faults))]
pub struct DeclarationError {
    /// The faults in the order of their lines.
    pub faults: Vec<Fault>,
}

fn list(faults: &[Fault]) -> String {
    faults.iter().map(|f| format!("  {f}")).collect::<Vec<_>>().join("\n")
}
