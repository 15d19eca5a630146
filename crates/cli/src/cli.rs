//! Command-line arguments.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// Applies declarations to a jasminestage fleet and shows its state.
#[derive(Clone, Debug, Parser)]
#[command(name = "jasminestage", version, after_help = crate::error::EXIT_CODES)]
pub struct Args {
    /// Settings file of the tool, in INI format.
    #[arg(long, global = true, env = "JASMINESTAGE_CONFIG", value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// URL of the platform's store.
    #[arg(long, global = true, env = "JASMINESTAGE_STORE", value_name = "URL")]
    pub store: Option<String>,
    /// Admin addresses of hosts, separated by commas.
    #[arg(
        long,
        global = true,
        env = "JASMINESTAGE_ADMIN",
        value_delimiter = ',',
        value_name = "ADDRESS"
    )]
    pub admin: Vec<SocketAddr>,
    /// Output format.
    #[arg(long, global = true, value_enum)]
    pub output: Option<OutputFormat>,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// JSON for scripts.
    Json,
}

/// Commands of the tool.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Replace the declaration in the store.
    Apply {
        /// File with the declaration.
        world: PathBuf,
        /// Check the declaration without writing it.
        #[arg(long)]
        dry_run: bool,
        /// Apply only if the declaration in the store has not changed since this revision.
        #[arg(long)]
        revision: Option<u64>,
        /// Wait until the change is accepted: no host can act on an older revision.
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
    /// Show the revision in the store and the status of hosts.
    Status,
    /// Wait until a revision is accepted: no host can act on an older one.
    Wait {
        /// Revision to wait for; by default the one in the store.
        #[arg(long)]
        revision: Option<u64>,
        /// Wait only until the revision is in force on the hosts given with --admin.
        #[arg(long)]
        in_force: bool,
        /// Longest wait in seconds.
        #[arg(long, default_value_t = 30)]
        timeout: u64,
    },
    /// List the live hosts, as reported by the hosts given with --admin.
    Hosts,
    /// List the declared routes with their objectives and backend servers.
    Routes,
    /// List the workspaces with their rate limits, their use and their refused requests.
    Workspaces,
    /// List the moves of traffic between versions with their steps, deadlines and results.
    Moves,
    /// Create and revoke API keys of callers.
    #[command(subcommand)]
    Keys(KeysCommand),
    /// Declare a backend server or a host as leaving, or as serving again.
    Drain {
        /// What to drain.
        #[arg(value_enum)]
        kind: DrainTarget,
        /// Name of the backend server or host.
        name: String,
        /// Declare it as serving again.
        #[arg(long)]
        undo: bool,
    },
    /// Show which server a look-up or request is sent to or why it is refused, step by step.
    Explain {
        /// Name of the route.
        #[arg(long)]
        route: String,
        /// Address of the client.
        #[arg(long)]
        client: Option<IpAddr>,
        /// Digest of the caller's API key, as written in the declaration.
        #[arg(long)]
        key_digest: Option<String>,
    },
    /// Show the outcome of a request and its cause, from the logs of the hosts.
    Why {
        /// Id of the request.
        request: String,
        /// Log files of hosts; by default standard input.
        logs: Vec<PathBuf>,
    },
    /// Report how fast routes and workspaces burn their error budgets.
    Report {
        /// Also write the report to this file, as an HTML page.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Print a completion script for a shell.
    Completions {
        /// Shell to print the script for.
        #[arg(value_enum)]
        shell: Shell,
    },
    /// Print the manual page.
    Man,
}

/// Commands for the API keys of callers.
#[derive(Clone, Debug, Subcommand)]
pub enum KeysCommand {
    /// Create an API key and print it with its digest; only the digest goes into the declaration.
    Make,
    /// Remove the digest of an API key from a workspace in the stored declaration.
    Withdraw {
        /// Name of the workspace.
        workspace: String,
        /// Digest of the API key, as written in the declaration.
        digest: String,
    },
}

/// Kinds of sections that can be declared as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum DrainTarget {
    /// A backend server.
    Server,
    /// A host.
    Host,
}

impl DrainTarget {
    /// Returns the kind of the section in the declaration.
    pub fn section_kind(self) -> &'static str {
        match self {
            DrainTarget::Server => "server",
            DrainTarget::Host => "host",
        }
    }
}
