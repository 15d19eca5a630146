//! `report`: how fast routes and workspaces burn their error budgets.

use std::{fs, path::Path};

use jasminestage_core::burn::{HostCounts, merge};
use jiff::Timestamp;

use super::hosts;
use crate::{CliError, Options, output, report};

/// Prints the report; with `html`, writes it as a page as well.
pub async fn run(cfg: &Options, html: Option<&Path>) -> Result<(), CliError> {
    let mut counts: Vec<HostCounts> = hosts::get_all(cfg, "burn").await?;
    counts.sort_by(|a, b| a.host.cmp(&b.host));
    let found = merge(&counts);
    if let Some(path) = html {
        let made = Timestamp::now().strftime("%F %H:%M UTC").to_string();
        let page = report::html::page(&found, &made);
        fs::write(path, page)
            .map_err(|source| CliError::WriteFile { path: path.to_owned(), source })?;
    }
    output::print(cfg.output, &found, report::text::text);
    Ok(())
}
