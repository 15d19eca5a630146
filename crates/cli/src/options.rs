//! Options of the tool, resolved from its arguments.

use crate::cli::{Args, OutputFormat};

/// What every command needs.
#[derive(Clone, Debug)]
pub struct Options {
    /// URL of the platform's store.
    pub store: String,
    /// Form of the output.
    pub output: OutputFormat,
}

impl Default for Options {
    fn default() -> Self {
        Options { store: "http://127.0.0.1:2379".to_owned(), output: OutputFormat::Text }
    }
}

impl From<&Args> for Options {
    fn from(args: &Args) -> Self {
        Options { store: args.store.trim_end_matches('/').to_owned(), output: args.output }
    }
}
