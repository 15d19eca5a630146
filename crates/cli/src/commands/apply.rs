//! `apply`: replaces the declaration in the store.

use std::{collections::BTreeSet, path::Path, time::Duration};

use jasminestage_core::{
    config::{Acceptance, AppliedDeclaration, ChunkHash, Root, accept, chunk, split},
    declaration::{self, Declaration},
    rate,
};
use jasminestage_store::{Client, StoreError, Versioned};
use serde::Serialize;

use super::read_declaration_file;
use crate::{CliError, Options, cli::OutputFormat, output};

/// Greatest number of attempts to write the root record, which other writers may change first.
const MAX_WRITE_ATTEMPTS: u32 = 50;
/// Greatest number of attempts while the last change of seats or limits is not accepted yet.
const MAX_PENDING_ATTEMPTS: u32 = 12;
/// Greatest number of attempts to write one chunk.
const MAX_CHUNK_ATTEMPTS: u32 = 4;
/// Greatest number of attempts to read the root record after a write that failed or lost its reply.
const MAX_REREAD_ATTEMPTS: u32 = 20;
/// Time between two attempts.
const RETRY_PERIOD: Duration = Duration::from_millis(500);

/// Arguments of `apply`.
#[derive(Clone, Copy, Debug)]
pub struct ApplyRequest<'a> {
    /// File with the declaration.
    pub path: &'a Path,
    /// Check the declaration without writing it.
    pub dry_run: bool,
    /// Revision that the apply is based on.
    pub base_revision: Option<u64>,
    /// Longest time to wait until the change is accepted; `None` does not wait.
    pub wait: Option<Duration>,
}

#[derive(Serialize)]
struct ApplyOutput {
    revision: u64,
    dry_run: bool,
    accepted: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    waited_ms: Option<u64>,
}

/// Checks a declaration and writes it, unless it is a dry run.
pub async fn run(
    store: &Client,
    cfg: &Options,
    request: &ApplyRequest<'_>,
) -> Result<(), CliError> {
    let (text, declaration) = read_declaration_file(request.path)?;
    let current = read_root(store).await?;
    if let Some(base_revision) = request.base_revision {
        check_base(&current.value, base_revision)?;
    }
    if request.dry_run {
        let revision = current.value.revision;
        let summary = ApplyOutput { revision, dry_run: true, accepted: false, waited_ms: None };
        output::print_value(cfg.output, &summary, |a| {
            format!("The declaration is valid; the store holds revision {}.", a.revision)
        });
        return Ok(());
    }
    let revision = write_root(store, current, &text, &declaration).await?;
    if cfg.output == OutputFormat::Text {
        println!("Revision {revision} is written.");
    }
    let waited = match request.wait {
        Some(limit) => Some(super::accept::wait(store, cfg, revision, limit).await?),
        None => None,
    };
    let waited_ms = waited.map(|w| w.as_millis() as u64);
    let summary = ApplyOutput { revision, dry_run: false, accepted: waited.is_some(), waited_ms };
    if cfg.output == OutputFormat::Json || waited.is_some() {
        output::print_value(cfg.output, &summary, |a| {
            format!("Revision {} is accepted.", a.revision)
        });
    }
    Ok(())
}

async fn read_root(store: &Client) -> Result<Versioned<Root>, StoreError> {
    let current = store.root().await?;
    Ok(current.unwrap_or(Versioned { value: Root::default(), version: 0, era: 0 }))
}

/// Writes an edited copy of the declaration in the store at revision `base_revision`.
pub async fn run_edited(
    store: &Client,
    cfg: &Options,
    text: &str,
    base_revision: u64,
) -> Result<(), CliError> {
    let declaration = declaration::parse(text).map_err(|source| CliError::InvalidDeclaration {
        path: "the edited declaration".into(),
        source,
    })?;
    let current = read_root(store).await?;
    check_base(&current.value, base_revision)?;
    let revision = write_root(store, current, text, &declaration).await?;
    let summary = ApplyOutput { revision, dry_run: false, accepted: false, waited_ms: None };
    output::print_value(cfg.output, &summary, |a| format!("Revision {} is written.", a.revision));
    Ok(())
}

/// Checks that the declaration has not changed since `base_revision`.
fn check_base(current: &Root, base_revision: u64) -> Result<(), CliError> {
    if base_revision < current.declared || base_revision > current.revision {
        return Err(CliError::RevisionConflict { found: current.revision, base_revision });
    }
    Ok(())
}

/// Writes the declaration and its root record, and returns the new revision. The write is retried
/// when another writer changed only seats, and fails when it changed the declaration. A write whose
/// reply was lost is recognised by its id.
async fn write_root(
    store: &Client,
    mut current: Versioned<Root>,
    text: &str,
    declaration: &Declaration,
) -> Result<u64, CliError> {
    let base = current.value.clone();
    let declared = AppliedDeclaration {
        index: put_chunks(store, &base, text).await?,
        seat_counts: declaration.seat_counts(),
        authority: declaration.longest_authority(),
        limits: rate::digest(declaration),
    };
    let write_id = format!("{:032x}", rand::random::<u128>());
    let mut pending_attempts = 0;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let acks = store.acks().await?;
        let is_accepted = accept::acceptance(&current.value, &acks, current.value.revision)
            == Acceptance::Accepted;
        let next = current.value.with_declaration(declared.clone(), is_accepted, &write_id);
        let Some(next) = next else {
            pending_attempts += 1;
            if pending_attempts == MAX_PENDING_ATTEMPTS {
                return Err(CliError::ChangePending { revision: current.value.revision });
            }
            tokio::time::sleep(RETRY_PERIOD).await;
            current = reread_root(store).await?;
            continue;
        };
        match store.compare_and_swap_root(current.version, &next).await {
            Ok(true) => return Ok(next.revision),
            Ok(false) | Err(StoreError::Call { .. }) => {}
            Err(e) => return Err(e.into()),
        }
        current = reread_root(store).await?;
        if let Some(revision) = current.value.find_write(&write_id) {
            return Ok(revision);
        }
        if current.value.declared != base.declared {
            break;
        }
    }
    Err(CliError::RevisionConflict { found: current.value.revision, base_revision: base.revision })
}

/// Reads the root record and retries failed calls, to outlast an outage of the store of some
/// seconds.
async fn reread_root(store: &Client) -> Result<Versioned<Root>, CliError> {
    for _ in 1..MAX_REREAD_ATTEMPTS {
        match read_root(store).await {
            Err(StoreError::Call { .. }) => tokio::time::sleep(RETRY_PERIOD).await,
            other => return Ok(other?),
        }
    }
    Ok(read_root(store).await?)
}

/// Writes the chunks that the declaration in the store does not contain and returns the hashes of
/// the index chunks.
async fn put_chunks(
    store: &Client,
    current: &Root,
    text: &str,
) -> Result<Vec<ChunkHash>, CliError> {
    let mut stored: BTreeSet<ChunkHash> = current.index.iter().copied().collect();
    for hash in &current.index {
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

/// Writes a chunk and retries failed calls. The key of a chunk is the hash of its content, so that
/// writing it twice is harmless.
async fn put_chunk(store: &Client, body: &str) -> Result<(), StoreError> {
    for _ in 1..MAX_CHUNK_ATTEMPTS {
        match store.put_chunk(body).await {
            Err(StoreError::Call { .. }) => tokio::time::sleep(RETRY_PERIOD).await,
            other => return other.map(|_| ()),
        }
    }
    store.put_chunk(body).await.map(|_| ())
}
