//! States of moves as the tool shows them.

use jasminestage_cli::{commands::moves::describe_state, output::table::Severity};
use jasminestage_core::rollout::record::RolloutPhase;
use test_case::test_case;

struct Case {
    /// State as it stands in the root record.
    recorded: &'static str,
    text: &'static str,
    severity: Severity,
}

/// Fails if the tool does not recognize a state by its name in the record, so that it has no colour.
#[test_case(&Case { recorded: "running", text: "running", severity: Severity::Neutral }; "running")]
#[test_case(&Case { recorded: "done", text: "done", severity: Severity::Good }; "done")]
#[test_case(&Case { recorded: "taken-back", text: "taken back", severity: Severity::Critical }; "rolled back")]
fn recorded_states_are_recognized(case: &Case) {
    let recorded = format!("\"{}\"", case.recorded);
    let phase: RolloutPhase = serde_json::from_str(&recorded).expect("a state of the record");
    assert_eq!(describe_state(Some(phase)), (case.text, case.severity));
}

#[test]
fn a_move_without_a_record_has_not_begun() {
    assert_eq!(describe_state(None), ("not begun", Severity::Neutral));
}
