//! `report`: shows the burn rates of the error budgets of routes and workspaces.

use std::{fs, path::Path};

use jasminestage_core::burn::{HostCounts, merge};
use jiff::Timestamp;

use super::hosts;
use crate::{CliError, Options, output, report};

/// Prints the report and, with `html`, also writes it to that file as an HTML page.
pub async fn run(cfg: &Options, html: Option<&Path>) -> Result<(), CliError> {
    let mut counts: Vec<HostCounts> = hosts::get_json_from_all(cfg, "burn").await?;
    counts.sort_by(|a, b| a.host.cmp(&b.host));
    let burn_report = merge(&counts);
    if let Some(path) = html {
        let created = Timestamp::now().strftime("%F %H:%M UTC").to_string();
        let page = report::html::render_page(&burn_report, &created);
        fs::write(path, page)
            .map_err(|source| CliError::WriteFile { path: path.to_owned(), source })?;
    }
    output::print_value(cfg.output, &burn_report, report::text::format_table);
    Ok(())
}
