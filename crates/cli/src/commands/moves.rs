//! `moves`: moves between versions with their steps, deadlines and verdicts.

use jasminestage_core::declaration::RolloutSpec;
use jasminestage_store::Client;
use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use super::stored;
use crate::{
    CliError, Options, output,
    output::table::{Rows, Tone},
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
    record: Option<Record>,
}

/// What is recorded of a move.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct Record {
    step: u32,
    share: u32,
    state: String,
    since: u64,
    evidence: String,
}

/// Prints the moves.
pub async fn run(store: &Client, cfg: &Options) -> Result<(), CliError> {
    let (_, declaration) = stored(store).await?;
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
    output::print(cfg.output, &rows, |rows| text(rows));
    Ok(())
}

fn text(rows: &[Row]) -> String {
    if rows.is_empty() {
        return "No move is declared.".to_owned();
    }
    let headings = ["move", "route", "versions", "step", "share", "finish by", "evidence", "state"];
    let mut table = Rows::new(&headings).numbers(&[3, 4]);
    for row in rows {
        let record = row.record.clone().unwrap_or_default();
        let share = f64::from(record.share) / 10_000.0;
        let cells = [
            row.name.clone(),
            row.route.clone(),
            format!("{} to {}", row.from, row.to),
            record.step.to_string(),
            format!("{share}%"),
            date(row.finish_by_unix_ms),
            record.evidence.clone(),
        ];
        let (state, tone) = match record.state.as_str() {
            "" => ("not begun", Tone::Plain),
            "Done" => ("done", Tone::Good),
            "TakenBack" => ("taken back", Tone::Bad),
            "Running" => ("running", Tone::Plain),
            other => (other, Tone::Plain),
        };
        table.push_toned(cells, state, tone);
    }
    table.to_string()
}

/// A date and time in UTC.
fn date(unix_ms: u64) -> String {
    let timestamp = i64::try_from(unix_ms).ok().and_then(|ms| Timestamp::from_millisecond(ms).ok());
    timestamp.map_or("-".to_owned(), |t| t.strftime("%F %H:%MZ").to_string())
}
