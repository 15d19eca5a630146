//! `apply`: writes a declaration as a whole.

use std::path::Path;

use jasminestage_core::{
    config::{Root, split},
    world,
};
use jasminestage_store::{Client, StoreError, Versioned};
use serde::Serialize;

use super::read_world;
use crate::{CliError, Options, output};

/// Tries to resolve a write whose answer was lost.
const RESOLVE_TRIES: u32 = 5;

#[derive(Serialize)]
struct Applied {
    revision: u64,
    dry_run: bool,
}

/// Checks and writes a declaration.
pub async fn run(
    store: &Client,
    cfg: &Options,
    path: &Path,
    dry_run: bool,
    based: Option<u64>,
) -> Result<(), CliError> {
    let (text, _) = read_world(path)?;
    let held = store.root().await?.unwrap_or(Versioned { value: Root::default(), version: 0 });
    let found = held.value.revision;
    if let Some(based) = based.filter(|b| *b != found) {
        return Err(CliError::Conflict { found, based });
    }
    let mut revision = found;
    if !dry_run {
        revision = write(store, &held, &text).await?;
    }
    output::print(cfg.output, &Applied { revision, dry_run }, |a| match a.dry_run {
        true => format!("The declaration is valid; the store holds revision {}.", a.revision),
        false => format!("Revision {} is written.", a.revision),
    });
    Ok(())
}

/// Writes a declaration that was edited from the one in the store at revision `based`.
pub async fn run_text(
    store: &Client,
    cfg: &Options,
    text: &str,
    based: u64,
) -> Result<(), CliError> {
    world::parse(text).map_err(|source| CliError::Declaration {
        path: "the edited declaration".into(),
        source,
    })?;
    let held = store.root().await?.ok_or(CliError::NoDeclaration)?;
    if held.value.revision != based {
        return Err(CliError::Conflict { found: held.value.revision, based });
    }
    let revision = write(store, &held, text).await?;
    output::print(cfg.output, &Applied { revision, dry_run: false }, |a| {
        format!("Revision {} is written.", a.revision)
    });
    Ok(())
}

async fn write(store: &Client, held: &Versioned<Root>, text: &str) -> Result<u64, CliError> {
    let mut chunks = Vec::new();
    for body in split(text) {
        chunks.push(store.put_chunk(body).await?);
    }
    let write_id = format!("{:032x}", rand::random::<u128>());
    let next = held.value.with_chunks(chunks, &write_id);
    let swapped = match store.swap_root(held.version, &next).await {
        Ok(swapped) => swapped,
        Err(StoreError::Call { .. }) => was_written(store, &next).await?,
        Err(e) => return Err(e.into()),
    };
    if swapped {
        return Ok(next.revision);
    }
    let found = store.root().await?.map_or(0, |r| r.value.revision);
    Err(CliError::Conflict { found, based: held.value.revision })
}

/// Finds out whether a write whose answer was lost took effect, by reading the root back.
async fn was_written(store: &Client, next: &Root) -> Result<bool, CliError> {
    let mut last = None;
    for _ in 0..RESOLVE_TRIES {
        match store.root().await {
            Ok(found) => return Ok(found.is_some_and(|r| r.value.write_id == next.write_id)),
            Err(e) => last = Some(e),
        }
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    }
    Err(last.map_or(CliError::NoDeclaration, CliError::Store))
}
