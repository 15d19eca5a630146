//! `moves`: lists the moves of traffic between versions with their steps, deadlines and results.

use jasminestage_core::{declaration::RolloutSpec, rollout::record::RolloutPhase};
use jasminestage_store::Client;
use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use super::read_stored_declaration;
use crate::{
    CliError, Options, output,
    output::table::{Severity, TextTable},
};

#[derive(Serialize)]
struct Row {
    name: String,
    route: String,
    from: String,
    to: String,
    cap_ppm: u32,
    finish_by_unix_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    record: Option<MoveRecord>,
}

/// State of a move in the root record.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct MoveRecord {
    step: u32,
    share: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    state: Option<RolloutPhase>,
    since: u64,
    evidence: String,
}

/// Prints the declared moves with their state.
pub async fn run(store: &Client, cfg: &Options) -> Result<(), CliError> {
    let (_, declaration) = read_stored_declaration(store).await?;
    let root = store.root().await?.ok_or(CliError::NoDeclaration)?.value;
    let root = serde_json::to_value(&root).unwrap_or_default();
    let records = &root["rollouts"]["moves"];
    let row = |m: &RolloutSpec| Row {
        name: m.name.clone(),
        route: declaration.routes[m.route].name.clone(),
        from: m.from.clone(),
        to: m.to.clone(),
        cap_ppm: m.cap,
        finish_by_unix_ms: m.finish_by,
        record: serde_json::from_value(records[&m.name].clone()).ok(),
    };
    let mut rows: Vec<_> = declaration.rollouts.values().map(row).collect();
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    output::print_value(cfg.output, &rows, |rows| format_table(rows));
    Ok(())
}

fn format_table(rows: &[Row]) -> String {
    if rows.is_empty() {
        return "No move is declared.".to_owned();
    }
    let headings = ["move", "route", "versions", "step", "share", "finish by", "evidence", "state"];
    let mut table = TextTable::new(&headings).align_right(&[3, 4]);
    for row in rows {
        let record = row.record.clone().unwrap_or_default();
        let share = f64::from(record.share) / 10_000.0;
        let cells = [
            row.name.clone(),
            row.route.clone(),
            format!("{} to {}", row.from, row.to),
            record.step.to_string(),
            format!("{share}%"),
            format_time(row.finish_by_unix_ms),
            record.evidence.clone(),
        ];
        let (state, severity) = describe_state(record.state);
        table.push_with_severity(cells, state, severity);
    }
    table.to_string()
}

/// Returns the text and the severity of a move's state; `None` if it has not begun.
pub fn describe_state(state: Option<RolloutPhase>) -> (&'static str, Severity) {
    match state {
        None => ("not begun", Severity::Neutral),
        Some(RolloutPhase::Running) => ("running", Severity::Neutral),
        Some(RolloutPhase::Done) => ("done", Severity::Good),
        Some(RolloutPhase::RolledBack) => ("taken back", Severity::Critical),
    }
}

/// Formats a time as date, hour and minute in UTC.
fn format_time(unix_ms: u64) -> String {
    let timestamp = i64::try_from(unix_ms).ok().and_then(|ms| Timestamp::from_millisecond(ms).ok());
    timestamp.map_or("-".to_owned(), |t| t.strftime("%F %H:%MZ").to_string())
}
