//! Prints docs/RESULT-CODES.md and docs/LOG-EVENTS.md with the tables generated from the code;
//! `--write` writes them to the files. The other text of the pages and the column "What to do" stay
//! as they are.

use std::{collections::BTreeMap, fs, io};

use jasminestage_core::{
    event::{Kind, Level},
    result::{Code, Execution},
};

const CODES_PAGE: &str = include_str!("../../../docs/RESULT-CODES.md");
const EVENTS_PAGE: &str = include_str!("../../../docs/LOG-EVENTS.md");
const DOCS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");

fn main() -> io::Result<()> {
    let codes = render(CODES_PAGE, &code_rows());
    let events = render(EVENTS_PAGE, &event_rows());
    if std::env::args().any(|a| a == "--write") {
        fs::write(format!("{DOCS}/RESULT-CODES.md"), codes)?;
        return fs::write(format!("{DOCS}/LOG-EVENTS.md"), events);
    }
    print!("{codes}\n{events}");
    Ok(())
}

/// Replaces the table rows of `page`. A row of `rows` is a number and the cells that follow it; the
/// last cell is taken from the row of the page with the same number.
fn render(page: &str, rows: &[(u16, String)]) -> String {
    let mut actions: BTreeMap<u16, String> = BTreeMap::new();
    for line in page.lines() {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        if let (Some(Ok(number)), Some(action)) = (cells.first().map(|c| c.parse()), cells.last()) {
            actions.insert(number, (*action).to_owned());
        }
    }
    let is_outside_table = |line: &&str| !line.starts_with("| ") || line.starts_with("| Number");
    let mut updated_page = String::new();
    for line in page.lines().filter(is_outside_table) {
        updated_page.push_str(line);
        updated_page.push('\n');
        if !line.starts_with("|-") {
            continue;
        }
        for (number, cells) in rows {
            let action: &str = actions.get(number).map_or("-", String::as_str);
            updated_page.push_str(&format!("| {number} | {cells} | {action} |\n"));
        }
    }
    updated_page
}

fn code_rows() -> Vec<(u16, String)> {
    let row = |c: &Code| {
        let execution = match c.execution() {
            Execution::Done => "done",
            Execution::NotRun => "not run",
            Execution::Unknown => "unknown",
        };
        (c.number(), format!("{c:?} | {execution} | {} | {}", c.http_status(), c.text()))
    };
    Code::ALL.iter().map(row).collect()
}

fn event_rows() -> Vec<(u16, String)> {
    let row = |k: &Kind| {
        let level = match k.level() {
            Level::Error => "error",
            Level::Warn => "warn",
            Level::Info => "info",
        };
        (k.number(), format!("{k:?} | {level} | {}", k.text()))
    };
    Kind::ALL.iter().map(row).collect()
}
