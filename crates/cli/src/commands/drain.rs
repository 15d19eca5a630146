//! `drain`: declares that a backend server or a host leaves, or serves again.

use jasminestage_store::Client;

use super::{apply, get};
use crate::{CliError, Options, cli::Drainable, edit};

/// Edits the declared state and applies the declaration.
pub async fn run(
    store: &Client,
    cfg: &Options,
    kind: Drainable,
    name: &str,
    undo: bool,
) -> Result<(), CliError> {
    let stored = get::read(store).await?;
    let state = if undo { "serving" } else { "leaving" };
    // A host that serves needs no section of its own, so that one is added for it.
    let adds = kind == Drainable::Host;
    let section = (kind.section(), name);
    let edited = edit::set(&stored.declaration, section, "state", state, adds);
    let edited =
        edited.ok_or_else(|| CliError::NotFound(format!("The {} '{name}'", kind.section())))?;
    apply::run_text(store, cfg, &edited, stored.revision).await
}
