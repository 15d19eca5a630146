//! `get`: prints the declaration in the store.

use jasminestage_core::config::chunk::read_index;
use jasminestage_store::Client;
use serde::Serialize;

use crate::{CliError, Options, output};

/// The declaration in the store.
#[derive(Serialize)]
pub struct Stored {
    /// Its revision.
    pub revision: u64,
    /// Its text.
    pub declaration: String,
}

/// Reads the declaration in the store.
pub async fn read(store: &Client) -> Result<Stored, CliError> {
    let root = store.root().await?.ok_or(CliError::NoDeclaration)?.value;
    let mut declaration = String::new();
    for hash in &root.index {
        for listed in read_index(&store.chunk(*hash).await?.body) {
            declaration.push_str(&store.chunk(listed.hash).await?.body);
        }
    }
    Ok(Stored { revision: root.revision, declaration })
}

/// Prints it.
pub async fn run(store: &Client, cfg: &Options) -> Result<(), CliError> {
    let stored = read(store).await?;
    output::print(cfg.output, &stored, |s| s.declaration.trim_end().to_owned());
    Ok(())
}
