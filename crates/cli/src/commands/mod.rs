//! The commands, one file each.

mod accept;
mod apply;
mod diff;
mod drain;
mod explain;
mod generate;
mod get;
mod hosts;
mod keys;
mod moves;
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

/// Runs one command.
pub async fn run(command: &Command, cfg: &Options) -> Result<(), CliError> {
    let store = client(cfg);
    match command {
        Command::Apply { world, dry_run, revision, wait, timeout } => {
            let order = apply::Order {
                path: world,
                dry_run: *dry_run,
                based: *revision,
                wait: wait.then(|| Duration::from_secs(*timeout)),
            };
            apply::run(&store, cfg, &order).await
        }
        Command::Get => get::run(&store, cfg).await,
        Command::Diff { world } => diff::run(&store, cfg, world).await,
        Command::Status => status::run(&store, cfg, &cfg.admin).await,
        Command::Wait { revision, in_force, timeout } => {
            let hosts = if *in_force { cfg.hosts()? } else { &[] };
            wait::run(&store, cfg, *revision, hosts, *timeout).await
        }
        Command::Hosts => hosts::run(cfg).await,
        Command::Routes => routes::run(&store, cfg).await,
        Command::Workspaces => workspaces::run(&store, cfg).await,
        Command::Moves => moves::run(&store, cfg).await,
        Command::Keys(command) => keys::run(&store, cfg, command).await,
        Command::Drain { kind, name, undo } => drain::run(&store, cfg, *kind, name, *undo).await,
        Command::Explain { route, client, key_digest } => {
            let question = explain::Question { route, client: *client, key_digest };
            explain::run(cfg, &question).await
        }
        Command::Why { request, logs } => why::run(cfg, request, logs),
        Command::Report { html } => report::run(cfg, html.as_deref()).await,
        Command::Completions { shell } => generate::completions(*shell),
        Command::Man => generate::man(),
    }
}

fn client(cfg: &Options) -> Client {
    Client::new(jasminestage_store::ClientOptions {
        url: cfg.store.clone(),
        ..jasminestage_store::ClientOptions::default()
    })
}

/// Reads the declaration in the store and compiles it.
async fn stored(store: &Client) -> Result<(u64, Declaration), CliError> {
    let stored = get::read(store).await?;
    match declaration::parse(&stored.declaration) {
        Ok(declaration) => Ok((stored.revision, declaration)),
        Err(source) => Err(CliError::Declaration { path: "the store".into(), source }),
    }
}

/// Reads and checks a declaration file.
fn read_declaration(path: &Path) -> Result<(String, Declaration), CliError> {
    let text = fs::read_to_string(path)
        .map_err(|source| CliError::Read { path: path.to_owned(), source })?;
    match declaration::parse(&text) {
        Ok(declaration) => Ok((text, declaration)),
        Err(source) => Err(CliError::Declaration { path: path.to_owned(), source }),
    }
}
