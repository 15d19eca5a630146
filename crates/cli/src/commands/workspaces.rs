//! `workspaces`: rates, what is spent of them, and what was refused.

use std::collections::HashMap;

use jasminestage_core::usage::{RATE_WINDOW, WorkspaceUsage};
use jasminestage_store::Client;
use serde::Serialize;

use super::{hosts, stored};
use crate::{
    CliError, Options, output,
    output::table::{Rows, Tone},
};

#[derive(Serialize)]
struct Row {
    workspace: String,
    keys: usize,
    rate: u32,
    burst: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    spent: Option<Sum>,
}

#[derive(Clone, Copy, Default, Serialize)]
struct Sum {
    admitted_per_second: f64,
    refused_per_second: f64,
    admitted: u64,
    refused: u64,
}

/// Prints the workspaces; what they spend comes from the hosts of `--admin`, when there are any.
pub async fn run(store: &Client, cfg: &Options) -> Result<(), CliError> {
    let (_, declaration) = stored(store).await?;
    let mut spent: HashMap<String, Sum> = HashMap::new();
    if !cfg.admin.is_empty() {
        let answers: Vec<Vec<WorkspaceUsage>> = hosts::get_all(cfg, "usage").await?;
        for one in answers.into_iter().flatten() {
            let sum = spent.entry(one.workspace).or_default();
            sum.admitted_per_second += f64::from(one.admitted) / RATE_WINDOW.as_secs_f64();
            sum.refused_per_second += f64::from(one.refused) / RATE_WINDOW.as_secs_f64();
            sum.admitted += one.admitted_ever;
            sum.refused += one.refused_ever;
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
    output::print(cfg.output, &rows, |rows| text(rows));
    Ok(())
}

fn text(rows: &[Row]) -> String {
    let headings =
        ["workspace", "keys", "rate/s", "burst", "spent/s", "refused/s", "refused in all", "state"];
    let mut table = Rows::new(&headings).numbers(&[1, 2, 3, 4, 5, 6]);
    for row in rows {
        let fixed = [
            row.workspace.clone(),
            row.keys.to_string(),
            row.rate.to_string(),
            row.burst.to_string(),
        ];
        let (counted, state, tone) = match row.spent {
            None => (["-".to_owned(), "-".to_owned(), "-".to_owned()], "-", Tone::Plain),
            Some(s) => {
                let (state, tone) = state(row, &s);
                let per_second = |n: f64| format!("{n:.1}");
                let (spent, refused) = (s.admitted_per_second, s.refused_per_second);
                ([per_second(spent), per_second(refused), s.refused.to_string()], state, tone)
            }
        };
        table.push_toned(fixed.into_iter().chain(counted), state, tone);
    }
    table.to_string()
}

fn state(row: &Row, sum: &Sum) -> (&'static str, Tone) {
    let spent = sum.admitted_per_second;
    match sum.refused_per_second > 0.0 {
        false => ("within rate", Tone::Good),
        true if spent + sum.refused_per_second > f64::from(row.rate) => ("over rate", Tone::Warn),
        true => ("refused within rate", Tone::Bad),
    }
}
