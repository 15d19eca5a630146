//! The tables of result codes and log events in docs/ match the code.

use jasminestage_core::{
    event::{Kind, Level},
    result::{Code, Execution},
};
use test_case::test_case;

const CODES: &str = include_str!("../../../docs/RESULT-CODES.md");
const EVENTS: &str = include_str!("../../../docs/LOG-EVENTS.md");

struct Case {
    page: &'static str,
    rows: fn() -> Vec<String>,
}

// Guards against pages that were not updated after a code or an event was added, removed or
// reworded.
#[test_case(&Case { page: CODES, rows: code_rows }; "result codes")]
#[test_case(&Case { page: EVENTS, rows: event_rows }; "log events")]
fn a_page_contains_exactly_the_rows_of_the_code(case: &Case) {
    let mut page_rows = Vec::new();
    for line in case.page.lines().filter(|l| l.starts_with("| ") && !l.starts_with("| Number")) {
        let inner = line.strip_prefix("| ").and_then(|l| l.strip_suffix(" |")).expect(line);
        let (cells, advice) = inner.rsplit_once(" | ").expect(line);
        assert!(!advice.trim().is_empty(), "the last column is empty: {line}");
        page_rows.push(cells.to_owned());
    }
    assert_eq!(page_rows, (case.rows)(), "run the example `tables` with --write");
}

// Guards against numbers that are reused or that a log event shares with a result code.
#[test]
fn numbers_are_unique_and_ascending() {
    let codes: Vec<_> = Code::ALL.iter().map(|c| c.number()).collect();
    let events: Vec<_> = Kind::ALL.iter().map(|k| k.number()).collect();
    assert!(codes.is_sorted_by(|a, b| a < b), "result codes: {codes:?}");
    assert!(events.is_sorted_by(|a, b| a < b), "log events: {events:?}");
    assert!(
        codes.iter().all(|c| !events.contains(c)),
        "a result code and a log event have the same number"
    );
}

// Guards against a success status on an answer without a result.
#[test]
fn a_code_of_a_request_that_was_not_executed_has_an_error_status() {
    for code in Code::ALL.iter().filter(|c| c.execution() != Execution::Done) {
        assert!((400..600).contains(&code.http_status()), "{code}");
    }
}

fn code_rows() -> Vec<String> {
    let row = |c: &Code| {
        let execution = match c.execution() {
            Execution::Done => "done",
            Execution::NotRun => "not run",
            Execution::Unknown => "unknown",
        };
        let (number, status, text) = (c.number(), c.http_status(), c.text());
        format!("{number} | {c:?} | {execution} | {status} | {text}")
    };
    Code::ALL.iter().map(row).collect()
}

fn event_rows() -> Vec<String> {
    let row = |k: &Kind| {
        let level = match k.level() {
            Level::Error => "error",
            Level::Warn => "warn",
            Level::Info => "info",
        };
        format!("{} | {k:?} | {level} | {}", k.number(), k.text())
    };
    Kind::ALL.iter().map(row).collect()
}
