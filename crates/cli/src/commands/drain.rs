//! `drain`: declares a backend server or a host as leaving, or as serving again.

use jasminestage_store::Client;

use super::{apply, get};
use crate::{CliError, Options, cli::DrainTarget, edit};

/// Sets the declared state and applies the declaration.
pub async fn run(
    store: &Client,
    cfg: &Options,
    kind: DrainTarget,
    name: &str,
    undo: bool,
) -> Result<(), CliError> {
    let stored = get::read_declaration(store).await?;
    let state = if undo { "serving" } else { "leaving" };
    // A host can serve without a section in the declaration, so that the section may be missing.
    let add_section = kind == DrainTarget::Host;
    let section = (kind.section_kind(), name);
    let edited = edit::set_key(&stored.declaration, section, "state", state, add_section);
    let edited = edited
        .ok_or_else(|| CliError::NotFound(format!("The {} '{name}'", kind.section_kind())))?;
    apply::run_edited(store, cfg, &edited, stored.revision).await
}
