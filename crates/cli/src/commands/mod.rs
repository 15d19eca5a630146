//! The commands, one file each.

mod accept;
mod apply;
mod diff;
mod get;
mod hosts;
mod status;
mod wait;

use std::{fs, path::Path, time::Duration};

use jasminestage_core::world::{self, World};
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
        Command::Status { admin } => status::run(&store, cfg, admin).await,
        Command::Wait { revision, admin, timeout } => {
            wait::run(&store, cfg, *revision, admin, *timeout).await
        }
    }
}

fn client(cfg: &Options) -> Client {
    Client::new(jasminestage_store::Options {
        url: cfg.store.clone(),
        ..jasminestage_store::Options::default()
    })
}

/// Reads and checks a declaration file.
fn read_world(path: &Path) -> Result<(String, World), CliError> {
    let text = fs::read_to_string(path)
        .map_err(|source| CliError::Read { path: path.to_owned(), source })?;
    match world::parse(&text) {
        Ok(world) => Ok((text, world)),
        Err(source) => Err(CliError::Declaration { path: path.to_owned(), source }),
    }
}
