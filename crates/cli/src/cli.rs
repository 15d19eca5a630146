//! Arguments of the tool.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Parser, Subcommand, ValueEnum};

/// Applies declarations to a fleet of jasminestage and shows what became of them.
#[derive(Clone, Debug, Parser)]
#[command(name = "jasminestage", version)]
pub struct Args {
    /// URL of the platform's store.
    #[arg(
        long,
        global = true,
        env = "JASMINESTAGE_STORE",
        default_value = "http://127.0.0.1:2379"
    )]
    pub store: String,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Text)]
    pub output: OutputFormat,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

/// What the tool can do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Apply a declaration as a whole.
    Apply {
        /// File with the declaration.
        world: PathBuf,
        /// Check only, change nothing.
        #[arg(long)]
        dry_run: bool,
        /// Apply only if this is still the revision in the store.
        #[arg(long)]
        revision: Option<u64>,
        /// Wait until no host can act against the change any more.
        #[arg(long)]
        wait: bool,
        /// Longest wait in seconds.
        #[arg(long, default_value_t = 30)]
        timeout: u64,
    },
    /// Print the declaration in the store.
    Get,
    /// Show how a declaration differs from the one in the store.
    Diff {
        /// File with the declaration.
        world: PathBuf,
    },
    /// Show the revision in the store and what hosts say of themselves.
    Status {
        /// Operators' addresses of the hosts.
        #[arg(long, value_delimiter = ',')]
        admin: Vec<SocketAddr>,
    },
    /// Wait until a revision is accepted, or until it is in force on the hosts that are named.
    Wait {
        /// The revision; the one in the store when it is not given.
        #[arg(long)]
        revision: Option<u64>,
        /// Operators' addresses of the hosts.
        #[arg(long, value_delimiter = ',')]
        admin: Vec<SocketAddr>,
        /// Longest wait in seconds.
        #[arg(long, default_value_t = 30)]
        timeout: u64,
    },
}
