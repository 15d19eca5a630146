//! `keys`: creates and revokes API keys of callers.

use jasminestage_store::Client;
use serde::Serialize;
use sha2::{Digest, Sha256};

use super::{apply, get};
use crate::{CliError, Options, cli::KeysCommand, edit, output};

/// Length of a key in random bytes, before its hexadecimal encoding.
const KEY_BYTES: usize = 32;

#[derive(Serialize)]
struct NewKey {
    key: String,
    digest: String,
}

/// Creates or revokes a key.
pub async fn run(store: &Client, cfg: &Options, command: &KeysCommand) -> Result<(), CliError> {
    match command {
        KeysCommand::Make => create(cfg),
        KeysCommand::Withdraw { workspace, digest } => {
            return revoke(store, cfg, workspace, digest).await;
        }
    }
    Ok(())
}

fn create(cfg: &Options) {
    let key = hex::encode(rand::random::<[u8; KEY_BYTES]>());
    let digest = format!("sha256:{}", hex::encode(Sha256::digest(&key)));
    output::print_value(cfg.output, &NewKey { key, digest }, |new_key| {
        format!(
            "Key, shown this once; give it to the caller over a secure channel:\n  {}\n\
             Digest, for 'keys =' of the workspace in the declaration:\n  {}",
            new_key.key, new_key.digest
        )
    });
}

async fn revoke(
    store: &Client,
    cfg: &Options,
    workspace: &str,
    digest: &str,
) -> Result<(), CliError> {
    let stored = get::read_declaration(store).await?;
    let section = ("workspace", workspace);
    let edited = edit::remove_item(&stored.declaration, section, "keys", digest);
    let edited = edited.ok_or_else(|| {
        CliError::NotFound(format!("The workspace '{workspace}' with the key digest '{digest}'"))
    })?;
    apply::run_edited(store, cfg, &edited, stored.revision).await
}
