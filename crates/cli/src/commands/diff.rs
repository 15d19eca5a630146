//! `diff`: compares a declaration file with the declaration in the store, entry by entry.

use std::{collections::BTreeSet, path::Path};

use jasminestage_core::ini;
use jasminestage_store::Client;
use serde::Serialize;

use super::{get, read_declaration_file};
use crate::{CliError, Options, output};

#[derive(Serialize)]
struct Differences {
    revision: u64,
    removed: Vec<String>,
    added: Vec<String>,
}

/// Prints the entries that applying the file would remove and add.
pub async fn run(store: &Client, cfg: &Options, path: &Path) -> Result<(), CliError> {
    let (text, _) = read_declaration_file(path)?;
    let stored = get::read_declaration(store).await?;
    let (old, new) = (entry_lines(&stored.declaration), entry_lines(&text));
    let differences = Differences {
        revision: stored.revision,
        removed: old.difference(&new).cloned().collect(),
        added: new.difference(&old).cloned().collect(),
    };
    output::print_value(cfg.output, &differences, |d| {
        let removed = d.removed.iter().map(|l| format!("- {l}"));
        let added = d.added.iter().map(|l| format!("+ {l}"));
        let mut lines: Vec<_> = removed.chain(added).collect();
        lines.sort_by(|a, b| a[2..].cmp(&b[2..]));
        if lines.is_empty() {
            format!("No difference from revision {}.", d.revision)
        } else {
            lines.join("\n")
        }
    });
    Ok(())
}

/// Returns each section heading, and each entry with the heading before it.
fn entry_lines(text: &str) -> BTreeSet<String> {
    let (sections, _) = ini::parse(text);
    let lines = sections.iter().flat_map(|s| {
        let heading = format!("[{} {}]", s.kind, s.name).replace(" ]", "]");
        let entries = s.entries.iter().map(|e| format!("{heading} {} = {}", e.key, e.value));
        entries.chain([heading.clone()]).collect::<Vec<_>>()
    });
    lines.collect()
}
