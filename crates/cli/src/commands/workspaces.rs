//! `workspaces`: lists the workspaces with their rate limits, their use and their refused requests.

use std::collections::HashMap;

use jasminestage_core::usage::{RATE_WINDOW, WorkspaceUsage};
use jasminestage_store::Client;
use serde::Serialize;

use super::{hosts, read_stored_declaration};
use crate::{
    CliError, Options, output,
    output::table::{Severity, TextTable},
};

#[derive(Serialize)]
struct Row {
    workspace: String,
    keys: usize,
    rate: u32,
    burst: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    spent: Option<UsageTotals>,
}

#[derive(Clone, Copy, Default, Serialize)]
struct UsageTotals {
    admitted_per_second: f64,
    refused_per_second: f64,
    admitted: u64,
    refused: u64,
}

/// Prints the declared workspaces, with their use when admin addresses of hosts are given.
pub async fn run(store: &Client, cfg: &Options) -> Result<(), CliError> {
    let (_, declaration) = read_stored_declaration(store).await?;
    let mut spent: HashMap<String, UsageTotals> = HashMap::new();
    if !cfg.admin.is_empty() {
        let answers: Vec<Vec<WorkspaceUsage>> = hosts::get_json_from_all(cfg, "usage").await?;
        for usage in answers.into_iter().flatten() {
            let totals = spent.entry(usage.workspace).or_default();
            totals.admitted_per_second += f64::from(usage.admitted) / RATE_WINDOW.as_secs_f64();
            totals.refused_per_second += f64::from(usage.refused) / RATE_WINDOW.as_secs_f64();
            totals.admitted += usage.admitted_ever;
            totals.refused += usage.refused_ever;
        }
    }
    let rows = declaration.workspaces.values().map(|w| Row {
        workspace: w.name.clone(),
        keys: w.keys.len(),
        rate: w.rate,
        burst: w.burst,
        spent: (!cfg.admin.is_empty()).then(|| spent.get(&w.name).copied().unwrap_or_default()),
    });
    let mut rows: Vec<_> = rows.collect();
    rows.sort_by(|a, b| a.workspace.cmp(&b.workspace));
    output::print_value(cfg.output, &rows, |rows| format_table(rows));
    Ok(())
}

fn format_table(rows: &[Row]) -> String {
    let headings =
        ["workspace", "keys", "rate/s", "burst", "spent/s", "refused/s", "refused in all", "state"];
    let mut table = TextTable::new(&headings).align_right(&[1, 2, 3, 4, 5, 6]);
    for row in rows {
        let declared_cells = [
            row.workspace.clone(),
            row.keys.to_string(),
            row.rate.to_string(),
            row.burst.to_string(),
        ];
        let (usage_cells, state, severity) = match row.spent {
            None => (["-".to_owned(), "-".to_owned(), "-".to_owned()], "-", Severity::Neutral),
            Some(s) => {
                let (state, severity) = classify_usage(row, &s);
                let per_second = |n: f64| format!("{n:.1}");
                let (spent, refused) = (s.admitted_per_second, s.refused_per_second);
                ([per_second(spent), per_second(refused), s.refused.to_string()], state, severity)
            }
        };
        table.push_with_severity(declared_cells.into_iter().chain(usage_cells), state, severity);
    }
    table.to_string()
}

fn classify_usage(row: &Row, totals: &UsageTotals) -> (&'static str, Severity) {
    let spent = totals.admitted_per_second;
    match totals.refused_per_second > 0.0 {
        false => ("within rate", Severity::Good),
        true if spent + totals.refused_per_second > f64::from(row.rate) => {
            ("over rate", Severity::Warning)
        }
        true => ("refused within rate", Severity::Critical),
    }
}
