//! The commands, one module each.

mod accept;
mod apply;
mod diff;
mod drain;
mod explain;
mod generate;
mod get;
mod hosts;
mod keys;
pub mod moves;
mod report;
mod routes;
mod status;
mod wait;
mod why;
mod workspaces;

use std::{fs, path::Path, time::Duration};

use jasminestage_core::declaration::{self, Declaration};
use jasminestage_store::Client;

use crate::{CliError, Options, cli::Command};

/// Runs a command.
pub async fn run(command: &Command, cfg: &Options) -> Result<(), CliError> {
    let store = store_client(cfg);
    match command {
        Command::Apply { world, dry_run, revision, wait, timeout } => {
            let request = apply::ApplyRequest {
                path: world,
                dry_run: *dry_run,
                base_revision: *revision,
                wait: wait.then(|| Duration::from_secs(*timeout)),
            };
            apply::run(&store, cfg, &request).await
        }
        Command::Get => get::run(&store, cfg).await,
        Command::Diff { world } => diff::run(&store, cfg, world).await,
        Command::Status => status::run(&store, cfg, &cfg.admin).await,
        Command::Wait { revision, in_force, timeout } => {
            let addresses = if *in_force { cfg.admin_addresses()? } else { &[] };
            wait::run(&store, cfg, *revision, addresses, *timeout).await
        }
        Command::Hosts => hosts::run(cfg).await,
        Command::Routes => routes::run(&store, cfg).await,
        Command::Workspaces => workspaces::run(&store, cfg).await,
        Command::Moves => moves::run(&store, cfg).await,
        Command::Keys(command) => keys::run(&store, cfg, command).await,
        Command::Drain { kind, name, undo } => drain::run(&store, cfg, *kind, name, *undo).await,
        Command::Explain { route, client, key_digest } => {
            let query = explain::ExplainQuery { route, client: *client, key_digest };
            explain::run(cfg, &query).await
        }
        Command::Why { request, logs } => why::run(cfg, request, logs),
        Command::Report { html } => report::run(cfg, html.as_deref()).await,
        Command::Completions { shell } => generate::completions(*shell),
        Command::Man => generate::man(),
    }
}

fn store_client(cfg: &Options) -> Client {
    Client::new(jasminestage_store::ClientOptions {
        url: cfg.store.clone(),
        ..jasminestage_store::ClientOptions::default()
    })
}

/// Reads the declaration in the store and parses it.
async fn read_stored_declaration(store: &Client) -> Result<(u64, Declaration), CliError> {
    let stored = get::read_declaration(store).await?;
    match declaration::parse(&stored.declaration) {
        Ok(declaration) => Ok((stored.revision, declaration)),
        Err(source) => Err(CliError::InvalidDeclaration { path: "the store".into(), source }),
    }
}

/// Reads a declaration from a file and parses it.
fn read_declaration_file(path: &Path) -> Result<(String, Declaration), CliError> {
    let text = fs::read_to_string(path)
        .map_err(|source| CliError::ReadFile { path: path.to_owned(), source })?;
    match declaration::parse(&text) {
        Ok(declaration) => Ok((text, declaration)),
        Err(source) => Err(CliError::InvalidDeclaration { path: path.to_owned(), source }),
    }
}
