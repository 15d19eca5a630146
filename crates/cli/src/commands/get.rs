//! `get`: prints the declaration in the store.

use jasminestage_core::config::chunk::read_index;
use jasminestage_store::Client;
use serde::Serialize;

use crate::{CliError, Options, output};

/// A declaration in the store.
#[derive(Serialize)]
pub struct StoredDeclaration {
    /// Revision of the root record.
    pub revision: u64,
    /// Text of the declaration.
    pub declaration: String,
}

/// Reads the declaration in the store.
pub async fn read_declaration(store: &Client) -> Result<StoredDeclaration, CliError> {
    let root = store.root().await?.ok_or(CliError::NoDeclaration)?.value;
    let mut declaration = String::new();
    for hash in &root.index {
        for listed in read_index(&store.chunk(*hash).await?.body) {
            declaration.push_str(&store.chunk(listed.hash).await?.body);
        }
    }
    Ok(StoredDeclaration { revision: root.revision, declaration })
}

/// Prints the declaration.
pub async fn run(store: &Client, cfg: &Options) -> Result<(), CliError> {
    let stored = read_declaration(store).await?;
    output::print_value(cfg.output, &stored, |d| d.declaration.trim_end().to_owned());
    Ok(())
}
