//! Prints the tables of result codes and of log events as docs/ shows them; `--write` puts them
//! into the pages. Both keep the pages' text and their column "What to do".

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

/// The page with its table replaced by `rows`, each a number and the cells that follow it.
fn render(page: &str, rows: &[(u16, String)]) -> String {
    let mut advice: BTreeMap<u16, String> = BTreeMap::new();
    for line in page.lines() {
        let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
        if let (Some(Ok(number)), Some(text)) = (cells.first().map(|c| c.parse()), cells.last()) {
            advice.insert(number, (*text).to_owned());
        }
    }
    let is_kept = |line: &&str| !line.starts_with("| ") || line.starts_with("| Number");
    let mut out = String::new();
    for line in page.lines().filter(is_kept) {
        out.push_str(line);
        out.push('\n');
        if !line.starts_with("|-") {
            continue;
        }
        for (number, cells) in rows {
            let text: &str = advice.get(number).map_or("-", String::as_str);
            out.push_str(&format!("| {number} | {cells} | {text} |\n"));
        }
    }
    out
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
