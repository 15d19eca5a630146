//! Root records of a store that was restored from a copy.

use jasminestage_core::{
    config::{AppliedDeclaration, Root},
    rollout::RolloutRecords,
};
use test_case::test_case;

/// Applies `count` changes to a record; the ids of the writes start with `writer`.
fn changed(root: &Root, writer: &str, count: u64) -> Root {
    let change = |root: Root, n: u64| {
        root.with_rollouts(RolloutRecords::default(), &format!("{writer}-{n}"))
    };
    (0..count).fold(root.clone(), change)
}

struct Case {
    /// Number of changes after the copy that the record in force includes.
    lost: u64,
    /// Number of changes that were made in the restored store.
    later: u64,
    /// Whether the record in force includes the one in the store.
    includes: Option<bool>,
}

/// Fails if a change that was made after a restore is taken for an earlier state of the record in force:
/// the hosts would write over it. Or if an earlier state is taken for a change.
#[test_case(&Case { lost: 0, later: 0, includes: Some(true) }; "the same record")]
#[test_case(&Case { lost: 3, later: 0, includes: Some(true) }; "the record of the copy")]
#[test_case(&Case { lost: 3, later: 1, includes: Some(false) }; "a change with a lower revision")]
#[test_case(&Case { lost: 3, later: 3, includes: Some(false) }; "a change with the same revision")]
#[test_case(&Case { lost: 90, later: 0, includes: None }; "a record from too long ago")]
#[test_case(&Case { lost: 90, later: 1, includes: None }; "a change of a record from too long ago")]
fn a_record_tells_from_which_ones_it_was_derived(case: &Case) {
    let copy = changed(&Root::default(), "copied", 5);
    let in_force = changed(&copy, "lost", case.lost);
    let stored = changed(&copy, "later", case.later);
    assert_eq!(in_force.includes(&stored), case.includes);
}

/// Fails if hosts ignore a change that was made in a restored store, or if its writer does not find it.
#[test]
fn a_raised_record_is_newer_than_the_lost_one_and_includes_the_change() {
    let copy = changed(&Root::default(), "copied", 5);
    let lost = changed(&copy, "lost", 3);
    let declared = AppliedDeclaration::default();
    let stored = copy.with_declaration(declared, true, "later").expect("the change is possible");
    let raised = stored.raised_above(&lost, "raise");
    assert_eq!(raised.revision, lost.revision + 1);
    assert_eq!(raised.declared, raised.revision, "an operator with an older base gets a conflict");
    assert_eq!(raised.includes(&stored), Some(true));
    assert_eq!(raised.find_write("later"), Some(stored.revision));
}
