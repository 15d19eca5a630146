//! The page of codes and events names what the code does, and nothing else.

use std::{collections::BTreeSet, fs, path::Path};

use jasminestage_core::steer::refusal::RefusalReason;

const PAGE: &str = include_str!("../../../docs/EDGE-CODES.md");

/// Numbers in the first column of the rows below a heading.
fn rows(heading: &str) -> Vec<(u16, &'static str)> {
    let section = PAGE.split("\n## ").find(|s| s.starts_with(heading)).expect(heading);
    let lines = section.lines().filter_map(|l| l.strip_prefix("| "));
    let row = |l: &'static str| {
        let (number, rest) = l.split_once(" | ")?;
        Some((number.parse().ok()?, rest))
    };
    lines.filter_map(row).collect()
}

fn sources(dir: &Path, found: &mut Vec<String>) {
    for entry in fs::read_dir(dir).expect("the sources are here") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(fs::read_to_string(path).expect("a source can be read"));
        }
    }
}

#[test]
fn every_code_has_its_row() {
    let expected: Vec<(u16, String)> = RefusalReason::ALL
        .iter()
        .map(|r| (r.number(), format!("{r:?} | {} | {}", r.status(), r.text())))
        .collect();
    let written = rows("Codes");
    assert_eq!(written.len(), expected.len());
    for ((number, row), (expected_number, start)) in written.iter().zip(&expected) {
        assert_eq!(number, expected_number);
        assert!(row.starts_with(start.as_str()), "{row} should start with {start}");
    }
}

#[test]
fn every_event_has_its_row() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut texts = Vec::new();
    sources(&root.join("src"), &mut texts);
    sources(&root.join("../../platform/src"), &mut texts);
    let used: BTreeSet<u16> = texts
        .iter()
        .flat_map(|text| text.split("event = ").skip(1))
        .filter_map(|rest| rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok())
        .collect();
    let written: Vec<u16> = rows("Events").into_iter().map(|(number, _)| number).collect();
    assert!(written.is_sorted());
    assert_eq!(written, used.into_iter().collect::<Vec<_>>());
}
