//! Compares the tables of codes and events in the documentation with the source.

use std::{collections::BTreeSet, fs, path::Path};

use jasminestage_core::steer::refusal::RefusalReason;

const PAGE: &str = include_str!("../../../docs/EDGE-CODES.md");

/// Returns the number in the first column and the rest of each row below a heading.
fn rows(heading: &str) -> Vec<(u16, &'static str)> {
    let section = PAGE.split("\n## ").find(|s| s.starts_with(heading)).expect(heading);
    let lines = section.lines().filter_map(|l| l.strip_prefix("| "));
    let row = |l: &'static str| {
        let (number, rest) = l.split_once(" | ")?;
        Some((number.parse().ok()?, rest))
    };
    lines.filter_map(row).collect()
}

/// Collects the texts of all Rust files below `dir`.
fn read_sources(dir: &Path, texts: &mut Vec<String>) {
    for entry in fs::read_dir(dir).expect("the source folder can be read") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_sources(&path, texts);
        } else if path.extension().is_some_and(|e| e == "rs") {
            texts.push(fs::read_to_string(path).expect("a source can be read"));
        }
    }
}

/// Fails if a code is added, removed or changed in the source and the table keeps the old name,
/// status or text.
#[test]
fn every_code_has_its_row() {
    let expected: Vec<(u16, String)> = RefusalReason::ALL
        .iter()
        .map(|r| (r.number(), format!("{r:?} | {} | {}", r.status(), r.text())))
        .collect();
    let documented = rows("Codes");
    assert_eq!(documented.len(), expected.len());
    for ((number, row), (expected_number, expected_start)) in documented.iter().zip(&expected) {
        assert_eq!(number, expected_number);
        assert!(
            row.starts_with(expected_start.as_str()),
            "{row} should start with {expected_start}"
        );
    }
}

/// Fails if a log line gets a new event number, or loses one, and the table is not updated.
#[test]
fn every_event_has_its_row() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut texts = Vec::new();
    read_sources(&root.join("src"), &mut texts);
    read_sources(&root.join("../../platform/src"), &mut texts);
    let used: BTreeSet<u16> = texts
        .iter()
        .flat_map(|text| text.split("event = ").skip(1))
        .filter_map(|rest| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok())
        .collect();
    let documented: Vec<u16> = rows("Events").into_iter().map(|(number, _)| number).collect();
    assert!(documented.is_sorted());
    assert_eq!(documented, used.into_iter().collect::<Vec<_>>());
}
