//! `keys`: makes and withdraws callers' keys.

use jasminestage_store::Client;
use serde::Serialize;
use sha2::{Digest, Sha256};

use super::{apply, get};
use crate::{CliError, Options, cli::KeysCommand, edit, output};

/// Random bytes of a key.
const KEY_BYTES: usize = 32;

#[derive(Serialize)]
struct Made {
    key: String,
    digest: String,
}

/// Makes or withdraws a key.
pub async fn run(store: &Client, cfg: &Options, command: &KeysCommand) -> Result<(), CliError> {
    match command {
        KeysCommand::Make => make(cfg),
        KeysCommand::Withdraw { workspace, digest } => {
            return withdraw(store, cfg, workspace, digest).await;
        }
    }
    Ok(())
}

fn make(cfg: &Options) {
    let key = hex::encode(rand::random::<[u8; KEY_BYTES]>());
    let digest = format!("sha256:{}", hex::encode(Sha256::digest(&key)));
    output::print(cfg.output, &Made { key, digest }, |m| {
        format!(
            "Key, shown this once; give it to the caller over a safe way:\n  {}\n\
             Digest, for 'keys =' of the workspace in the declaration:\n  {}",
            m.key, m.digest
        )
    });
}

async fn withdraw(
    store: &Client,
    cfg: &Options,
    workspace: &str,
    digest: &str,
) -> Result<(), CliError> {
    let stored = get::read(store).await?;
    let section = ("workspace", workspace);
    let edited = edit::remove_item(&stored.declaration, section, "keys", digest);
    let edited = edited.ok_or_else(|| {
        CliError::NotFound(format!("The workspace '{workspace}' with the key digest '{digest}'"))
    })?;
    apply::run_text(store, cfg, &edited, stored.revision).await
}
