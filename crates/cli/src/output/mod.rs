//! Output of commands, as text or JSON.

pub mod table;

use serde::Serialize;

use crate::cli::OutputFormat;

/// Prints `value` as JSON or as the text that `render` returns.
pub fn print_value<T: Serialize>(
    format: OutputFormat,
    value: &T,
    render: impl FnOnce(&T) -> String,
) {
    match format {
        OutputFormat::Text => print_line(&render(value)),
        OutputFormat::Json => match serde_json::to_string_pretty(value) {
            Ok(json) => print_line(&json),
            Err(e) => eprintln!("jasminestage: The output cannot be written as JSON: {e}."),
        },
    }
}

/// Writes a line to standard output and ignores errors, so that a reader such as `head` may close
/// the pipe early.
pub fn print_line(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout().lock(), "{text}");
}
