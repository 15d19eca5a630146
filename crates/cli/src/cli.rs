//! Arguments of the tool.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// Applies declarations to a fleet of jasminestage and shows what became of them.
#[derive(Clone, Debug, Parser)]
#[command(name = "jasminestage", version, after_help = crate::error::EXIT_CODES)]
pub struct Args {
    /// File with settings of the tool, in INI.
    #[arg(long, global = true, env = "JASMINESTAGE_CONFIG", value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// URL of the platform's store.
    #[arg(long, global = true, env = "JASMINESTAGE_STORE", value_name = "URL")]
    pub store: Option<String>,
    /// Operators' addresses of hosts, separated by commas.
    #[arg(
        long,
        global = true,
        env = "JASMINESTAGE_ADMIN",
        value_delimiter = ',',
        value_name = "ADDRESS"
    )]
    pub admin: Vec<SocketAddr>,
    /// Form of the output.
    #[arg(long, global = true, value_enum)]
    pub output: Option<OutputFormat>,
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
    Status,
    /// Wait until a revision is accepted: no host can act against it any more.
    Wait {
        /// The revision; the one in the store when it is not given.
        #[arg(long)]
        revision: Option<u64>,
        /// Wait only until it is in force on the hosts of --admin.
        #[arg(long)]
        in_force: bool,
        /// Longest wait in seconds.
        #[arg(long, default_value_t = 30)]
        timeout: u64,
    },
    /// List the hosts that are alive, as hosts see each other.
    Hosts,
    /// List the declared routes with their objectives and backend servers.
    Routes,
    /// List the workspaces with their rates, what they spend and what was refused.
    Workspaces,
    /// List the moves between versions with their steps, deadlines and verdicts.
    Moves,
    /// Make and withdraw callers' keys.
    #[command(subcommand)]
    Keys(KeysCommand),
    /// Declare that a backend server or a host leaves, or serves again.
    Drain {
        /// What leaves.
        #[arg(value_enum)]
        kind: Drainable,
        /// Its name.
        name: String,
        /// Declare that it serves again.
        #[arg(long)]
        undo: bool,
    },
    /// Show why a look-up or request goes where it goes, or why it is refused.
    Explain {
        /// Name of the route.
        #[arg(long)]
        route: String,
        /// Address of the client.
        #[arg(long)]
        client: Option<IpAddr>,
        /// Digest of the caller's key, as it stands in the declaration.
        #[arg(long)]
        key_digest: Option<String>,
    },
    /// Show what became of a request and why, by the logs of the hosts.
    Why {
        /// Id of the request.
        request: String,
        /// Log files of hosts; standard input when none is named.
        logs: Vec<PathBuf>,
    },
    /// Report how fast routes and workspaces burn their error budgets.
    Report {
        /// Write the report as one HTML page to this file.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Print a completion script for a shell.
    Completions {
        /// The shell.
        #[arg(value_enum)]
        shell: Shell,
    },
    /// Print the manual page.
    Man,
}

/// What can be done with callers' keys.
#[derive(Clone, Debug, Subcommand)]
pub enum KeysCommand {
    /// Make a key; it is shown once and only its digest is declared.
    Make,
    /// Remove the digest of a key from a workspace in the store.
    Withdraw {
        /// Name of the workspace.
        workspace: String,
        /// Digest of the key, as it stands in the declaration.
        digest: String,
    },
}

/// What can be declared as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Drainable {
    /// A backend server.
    Server,
    /// A host.
    Host,
}

impl Drainable {
    /// Kind of the section in the declaration.
    pub fn section(self) -> &'static str {
        match self {
            Drainable::Server => "server",
            Drainable::Host => "host",
        }
    }
}
