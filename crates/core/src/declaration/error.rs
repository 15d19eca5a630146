//! Errors of a declaration, each with its line.

use std::fmt;

use thiserror::Error;

/// One error of a declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Line number, from 1.
    pub line: u32,
    /// What is wrong and what is allowed.
    pub text: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.text)
    }
}

/// All errors of a rejected declaration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("The declaration has {} error(s):\n{}", errors.len(), list_errors(errors))]
pub struct DeclarationError {
    /// The errors in the order of their lines.
    pub errors: Vec<ValidationError>,
}

fn list_errors(errors: &[ValidationError]) -> String {
    errors.iter().map(|e| format!("  {e}")).collect::<Vec<_>>().join("\n")
}
