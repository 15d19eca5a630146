//! Output of commands, for people or for scripts.

pub mod table;

use serde::Serialize;

use crate::cli::OutputFormat;

/// Prints `value` as JSON, or what `text` makes of it.
pub fn print<T: Serialize>(format: OutputFormat, value: &T, text: impl FnOnce(&T) -> String) {
    match format {
        OutputFormat::Text => line(&text(value)),
        OutputFormat::Json => match serde_json::to_string_pretty(value) {
            Ok(json) => line(&json),
            Err(e) => eprintln!("jasminestage: The output cannot be written as JSON: {e}."),
        },
    }
}

/// Writes to standard output; a reader that has gone away, such as `head`, is no error.
pub fn line(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}
