//! Output of commands, for people or for scripts.

use serde::Serialize;

use crate::cli::OutputFormat;

/// Prints `value` as JSON, or what `text` makes of it.
pub fn print<T: Serialize>(format: OutputFormat, value: &T, text: impl FnOnce(&T) -> String) {
    match format {
        OutputFormat::Text => println!("{}", text(value)),
        OutputFormat::Json => match serde_json::to_string_pretty(value) {
            Ok(json) => println!("{json}"),
            Err(e) => eprintln!("jasminestage: The output cannot be written as JSON: {e}."),
        },
    }
}
