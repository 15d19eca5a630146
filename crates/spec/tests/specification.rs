//! Exhaustive checks of the models, with all mechanisms and without each of them.
//!
//! With all mechanisms no invariant may be violated. Without one of them the checker must find the
//! expected violation, which guards against a mechanism that has no effect in the model.

use std::fmt::Debug;

use jasminestage_spec::{authority, checker::Exploration, once, rollout, tokens};

/// One model and the violation that the checker is expected to find in it, if any.
struct Case<M> {
    name: &'static str,
    model: M,
    expected_violation: Option<&'static str>,
}

fn check_models<M, S: Debug>(
    module: &str,
    cases: &[Case<M>],
    check: impl Fn(&M) -> Exploration<S>,
) {
    for case in cases {
        let explored = check(&case.model);
        let violation = explored.counterexample.as_ref().map(|(_, description)| *description);
        let steps = explored.counterexample.as_ref().map_or(0, |(path, _)| path.len() - 1);
        println!(
            "{module}: {}: {} states, {violation:?} after {steps} steps",
            case.name, explored.expanded_states
        );
        assert_eq!(
            violation, case.expected_violation,
            "{module}: {}: {:#?}",
            case.name, explored.counterexample
        );
    }
}

const OUTDATED: Option<&str> = Some("a host serves under a revision older than the accepted one");

#[test]
fn authority_ends_before_a_revision_is_accepted() {
    use authority::{A0, Model, ProofSource, check};
    let votes = Model { authority_ticks: 1, last_tick: 2, ..Model::default() };
    let reads = Model { proof_source: ProofSource::Reads, ..Model::default() };
    let cases = [
        Case { name: "reads, host that keeps its seat", model: reads, expected_violation: None },
        Case {
            name: "reads, host that loses its seat",
            model: Model { subject: A0, ..reads },
            expected_violation: None,
        },
        Case { name: "votes, host that keeps its seat", model: votes, expected_violation: None },
        Case {
            name: "votes, host that loses its seat",
            model: Model { subject: A0, ..votes },
            expected_violation: None,
        },
        Case {
            name: "a read is dated at its response",
            model: Model { proof_dated_at_read_start: false, ..reads },
            expected_violation: OUTDATED,
        },
        Case {
            name: "votes of an earlier round count",
            model: Model { votes_bound_to_round: false, ..votes },
            expected_violation: OUTDATED,
        },
        Case {
            name: "any host of a failure domain votes",
            model: Model { only_seat_holders_vote: false, ..votes },
            expected_violation: OUTDATED,
        },
        Case {
            name: "votes for a newer revision count",
            model: Model { newer_revision_votes_rejected: false, ..votes },
            expected_violation: OUTDATED,
        },
        Case {
            name: "acceptance without a majority",
            model: Model { acceptance_needs_majority: false, ..votes },
            expected_violation: OUTDATED,
        },
        Case {
            name: "acceptance before authority expires",
            model: Model { acceptance_waits_for_expiry: false, ..votes },
            expected_violation: OUTDATED,
        },
        Case {
            name: "new holders vote before acceptance",
            model: Model { new_holders_wait_for_acceptance: false, ..votes },
            expected_violation: OUTDATED,
        },
    ];
    check_models("authority", &cases, check);
}

#[test]
fn tokens_never_exceed_rate_and_burst() {
    use tokens::{Model, check};
    let all_mechanisms = Model::default();
    let surplus = Some("more tokens exist than burst and rate provide");
    let cases = [
        Case { name: "all mechanisms", model: all_mechanisms, expected_violation: None },
        Case {
            name: "tokens are not deducted",
            model: Model { deducted_before_sending: false, ..all_mechanisms },
            expected_violation: surplus,
        },
        Case {
            name: "responses count twice",
            model: Model { responses_count_once: false, ..all_mechanisms },
            expected_violation: surplus,
        },
        Case {
            name: "no capacity is reserved",
            model: Model { capacity_reserved: false, ..all_mechanisms },
            expected_violation: Some("the buckets hold and reserve more tokens than the burst"),
        },
        Case {
            name: "buckets are full after a restart",
            model: Model { restart_empty: false, ..all_mechanisms },
            expected_violation: surplus,
        },
    ];
    check_models("tokens", &cases, check);
}

#[test]
fn a_request_runs_at_most_once() {
    use once::{Model, check};
    let all_mechanisms = Model::default();
    let ran_twice = Some("the request ran twice");
    let cases = [
        Case { name: "all mechanisms", model: all_mechanisms, expected_violation: None },
        Case {
            name: "any incarnation runs the request",
            model: Model { owner_incarnation_checked: false, ..all_mechanisms },
            expected_violation: ran_twice,
        },
        Case {
            name: "ids are not recorded",
            model: Model { ids_recorded: false, ..all_mechanisms },
            expected_violation: ran_twice,
        },
        Case {
            name: "requests with expired ids are run",
            model: Model { expiry_checked: false, ..all_mechanisms },
            expected_violation: ran_twice,
        },
        Case {
            name: "'not run' after forwarding",
            model: Model { not_run_only_before_forwarding: false, ..all_mechanisms },
            expected_violation: Some("an attempt that ran was reported as 'not run'"),
        },
        Case {
            name: "the request is sent again",
            model: Model { never_resent: false, ..all_mechanisms },
            expected_violation: ran_twice,
        },
    ];
    check_models("once", &cases, check);
}

#[test]
fn a_stopped_rollout_stays_stopped() {
    use rollout::{Model, check};
    let all_mechanisms = Model::default();
    let cases = [
        Case { name: "all mechanisms", model: all_mechanisms, expected_violation: None },
        Case {
            name: "records are written without compare-and-swap",
            model: Model { compare_and_swap: false, ..all_mechanisms },
            expected_violation: Some("a rollout continues after its rollback"),
        },
        Case {
            name: "stale records are applied",
            model: Model { stale_records_ignored: false, ..all_mechanisms },
            expected_violation: Some("a delayed record undoes a rollback"),
        },
        Case {
            name: "no local stop",
            model: Model { local_stop: false, ..all_mechanisms },
            expected_violation: Some(
                "a host sends requests to a version after detecting its fault",
            ),
        },
        Case {
            name: "steps do not wait for hosts",
            model: Model { steps_wait_for_hosts: false, ..all_mechanisms },
            expected_violation: Some("the shares of two hosts differ by more than one step"),
        },
    ];
    check_models("rollout", &cases, check);
}
