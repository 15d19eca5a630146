//! Parsers of declarations, settings, records and request ids: guards against panics and errors
//! without a location on damaged or hostile input.

use jasminestage_core::{
    config::Root,
    ini,
    once::{AnyId, IdSecret},
    world,
};
use proptest::prelude::*;

const SAMPLE: &str = include_str!("../../../samples/vaska.ini");

/// Valid and mistyped lines of a declaration.
fn declaration_line() -> impl Strategy<Value = String> {
    prop_oneof![
        "\\[(region|domain|route|workspace|server|host|move|clients|shop)? ?[a-z0-9-]{0,8}\\]?",
        "(keys|rate|burst|routes|region|seats|deadline|address|cap|state|x)? ?=? ?.{0,20}",
        "[0-9a-f.:]{0,12}(/[0-9]{0,3})? = [a-z]{0,8}",
        ".{0,30}",
    ]
}

/// The sample, truncated and with one character replaced.
fn damaged_sample() -> impl Strategy<Value = String> {
    let at = any::<prop::sample::Index>();
    (at, any::<prop::sample::Index>(), any::<char>()).prop_map(|(at, len, replacement)| {
        let mut chars: Vec<char> = SAMPLE.chars().collect();
        let at = at.index(chars.len());
        chars[at] = replacement;
        chars.truncate(at + len.index(2000));
        chars.into_iter().collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_declaration_is_parsed_or_its_faults_are_reported(
        lines in prop::collection::vec(declaration_line(), 0..40),
    ) {
        let text = lines.join("\n");
        if let Err(e) = world::parse(&text) {
            prop_assert!(!e.faults.is_empty());
            // A carriage return also ends a line.
            let last = text.matches(['\r', '\n']).count() as u32 + 1;
            prop_assert!(e.faults.iter().all(|f| f.line <= last && !f.text.is_empty()), "{e}");
        }
    }

    #[test]
    fn a_damaged_declaration_does_not_panic(text in damaged_sample()) {
        let _ = world::parse(&text);
        let _ = ini::parse(&text);
    }

    #[test]
    fn arbitrary_bytes_are_not_a_record(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(serde_json::from_slice::<Root>(&bytes).is_err());
    }

    #[test]
    fn a_damaged_record_does_not_panic(
        at in any::<prop::sample::Index>(), replacement in any::<u8>()
    ) {
        let mut bytes = serde_json::to_vec(&Root::default()).expect("a record can be serialized");
        let at = at.index(bytes.len());
        bytes[at] = replacement;
        let _ = serde_json::from_slice::<Root>(&bytes);
    }

    #[test]
    fn a_request_id_not_issued_by_a_host_is_refused(
        text in prop_oneof![".{0,200}", "([0-9a-f]{0,20}-){0,5}[0-9a-f]{0,40}"],
    ) {
        let read = AnyId::from_text(&text, &IdSecret::new([7; 32]), 0);
        prop_assert!(!matches!(read, Ok(AnyId::Issued(_))), "{read:?}");
    }
}

#[test]
fn a_deeply_nested_record_is_refused() {
    let deep = "[".repeat(100_000);
    assert!(serde_json::from_str::<Root>(&deep).is_err());
}
