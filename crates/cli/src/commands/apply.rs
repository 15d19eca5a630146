//! `apply`: writes a declaration as a whole.

use std::{collections::BTreeSet, path::Path, time::Duration};

use jasminestage_core::{
    config::{Acceptance, AppliedDeclaration, ChunkHash, Root, accept, chunk, split},
    declaration::{self, Declaration},
    rate,
};
use jasminestage_store::{Client, StoreError, Versioned};
use serde::Serialize;

use super::read_declaration;
use crate::{CliError, Options, cli::OutputFormat, output};

/// Tries of a write that other writers of the root record come before.
const WRITE_TRIES: u32 = 50;
/// Tries of a write that waits until the last change of seats or limits is accepted.
const SETTLE_TRIES: u32 = 12;
/// Tries to write one chunk.
const CHUNK_TRIES: u32 = 4;
/// Tries to read the root record back after a write whose answer was lost.
const RESOLVE_TRIES: u32 = 20;
/// Time between two tries to read the root record back.
const RESOLVE_PERIOD: Duration = Duration::from_millis(500);

/// What an apply is to do.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// File with the declaration.
    pub path: &'a Path,
    /// Check only.
    pub dry_run: bool,
    /// The revision that the apply is based on.
    pub based: Option<u64>,
    /// Longest time to wait until the change is accepted.
    pub wait: Option<Duration>,
}

#[derive(Serialize)]
struct Applied {
    revision: u64,
    dry_run: bool,
    accepted: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    waited_ms: Option<u64>,
}

/// Checks and writes a declaration.
pub async fn run(store: &Client, cfg: &Options, order: &Order<'_>) -> Result<(), CliError> {
    let (text, declaration) = read_declaration(order.path)?;
    let held = read(store).await?;
    if let Some(based) = order.based {
        check_base(&held.value, based)?;
    }
    if order.dry_run {
        let revision = held.value.revision;
        let applied = Applied { revision, dry_run: true, accepted: false, waited_ms: None };
        output::print(cfg.output, &applied, |a| {
            format!("The declaration is valid; the store holds revision {}.", a.revision)
        });
        return Ok(());
    }
    let revision = write(store, held, &text, &declaration).await?;
    if cfg.output == OutputFormat::Text {
        println!("Revision {revision} is written.");
    }
    let waited = match order.wait {
        Some(limit) => Some(super::accept::wait(store, cfg, revision, limit).await?),
        None => None,
    };
    let waited_ms = waited.map(|w| w.as_millis() as u64);
    let applied = Applied { revision, dry_run: false, accepted: waited.is_some(), waited_ms };
    if cfg.output == OutputFormat::Json || waited.is_some() {
        output::print(cfg.output, &applied, |a| format!("Revision {} is accepted.", a.revision));
    }
    Ok(())
}

async fn read(store: &Client) -> Result<Versioned<Root>, StoreError> {
    let held = store.root().await?;
    Ok(held.unwrap_or(Versioned { value: Root::default(), version: 0 }))
}

/// Writes a declaration that was edited from the one in the store at revision `based`.
pub async fn run_text(
    store: &Client,
    cfg: &Options,
    text: &str,
    based: u64,
) -> Result<(), CliError> {
    let declaration = declaration::parse(text).map_err(|source| CliError::Declaration {
        path: "the edited declaration".into(),
        source,
    })?;
    let held = read(store).await?;
    check_base(&held.value, based)?;
    let revision = write(store, held, text, &declaration).await?;
    let applied = Applied { revision, dry_run: false, accepted: false, waited_ms: None };
    output::print(cfg.output, &applied, |a| format!("Revision {} is written.", a.revision));
    Ok(())
}

/// Checks that the declaration has not changed since revision `based`.
fn check_base(held: &Root, based: u64) -> Result<(), CliError> {
    if based < held.declared || based > held.revision {
        return Err(CliError::Conflict { found: held.revision, based });
    }
    Ok(())
}

/// Writes the root record. A writer that only changed seats does not make the apply fail; one that
/// changed the declaration does. A write whose answer was lost is found again by its id.
async fn write(
    store: &Client,
    mut held: Versioned<Root>,
    text: &str,
    declaration: &Declaration,
) -> Result<u64, CliError> {
    let base = held.value.clone();
    let declared = AppliedDeclaration {
        index: put_chunks(store, &base, text).await?,
        seat_counts: declaration.seat_counts(),
        authority: declaration.longest_authority(),
        limits: rate::digest(declaration),
    };
    let write_id = format!("{:032x}", rand::random::<u128>());
    let mut unsettled = 0;
    for _ in 0..WRITE_TRIES {
        let acks = store.acks().await?;
        let is_settled =
            accept::acceptance(&held.value, &acks, held.value.revision) == Acceptance::Accepted;
        let next = held.value.with_declaration(declared.clone(), is_settled, &write_id);
        let Some(next) = next else {
            unsettled += 1;
            if unsettled == SETTLE_TRIES {
                return Err(CliError::SeatsNotSettled { revision: held.value.revision });
            }
            tokio::time::sleep(RESOLVE_PERIOD).await;
            held = read_back(store).await?;
            continue;
        };
        match store.compare_and_swap_root(held.version, &next).await {
            Ok(true) => return Ok(next.revision),
            Ok(false) | Err(StoreError::Call { .. }) => {}
            Err(e) => return Err(e.into()),
        }
        held = read_back(store).await?;
        if let Some(revision) = held.value.find_write(&write_id) {
            return Ok(revision);
        }
        if held.value.declared != base.declared {
            break;
        }
    }
    Err(CliError::Conflict { found: held.value.revision, based: base.revision })
}

/// Reads the root record, also while the store does not answer for some seconds.
async fn read_back(store: &Client) -> Result<Versioned<Root>, CliError> {
    for _ in 1..RESOLVE_TRIES {
        match read(store).await {
            Err(StoreError::Call { .. }) => tokio::time::sleep(RESOLVE_PERIOD).await,
            other => return Ok(other?),
        }
    }
    Ok(read(store).await?)
}

/// Writes the chunks that the declaration in the store does not have; returns the index.
async fn put_chunks(store: &Client, held: &Root, text: &str) -> Result<Vec<ChunkHash>, CliError> {
    let mut stored: BTreeSet<ChunkHash> = held.index.iter().copied().collect();
    for hash in &held.index {
        let body = store.chunk(*hash).await?.body;
        stored.extend(chunk::read_index(&body).into_iter().map(|l| l.hash));
    }
    let chunks = split(text);
    let bodies = chunks.bodies.iter().copied();
    for body in bodies.chain(chunks.index.iter().map(String::as_str)) {
        if !stored.contains(&ChunkHash::of(body)) {
            put_chunk(store, body).await?;
        }
    }
    Ok(chunks.index.iter().map(|body| ChunkHash::of(body)).collect())
}

/// Writes a chunk. Its key is its content, so that it can be written again when the answer is lost.
async fn put_chunk(store: &Client, body: &str) -> Result<(), StoreError> {
    for _ in 1..CHUNK_TRIES {
        match store.put_chunk(body).await {
            Err(StoreError::Call { .. }) => tokio::time::sleep(RESOLVE_PERIOD).await,
            other => return other.map(|_| ()),
        }
    }
    store.put_chunk(body).await.map(|_| ())
}
