//! Exhaustive checks of the specification, with and without each of its mechanisms.

use std::fmt::Debug;

use jasminestage_spec::{authority, checker::Explored, once, rollout, tokens};

/// One exploration and the invariant that it is expected to break, if any.
struct Case<R> {
    name: &'static str,
    rules: R,
    breaks: Option<&'static str>,
}

fn run<R, S: Debug>(part: &str, cases: &[Case<R>], check: impl Fn(&R) -> Explored<S>) {
    for case in cases {
        let explored = check(&case.rules);
        let found = explored.counterexample.as_ref().map(|(_, name)| *name);
        let steps = explored.counterexample.as_ref().map_or(0, |(path, _)| path.len() - 1);
        println!(
            "{part}: {}: {} states, {found:?} after {steps} steps",
            case.name, explored.states
        );
        assert_eq!(found, case.breaks, "{part}: {}: {:#?}", case.name, explored.counterexample);
    }
}

const OLD: Option<&str> = Some("a host serves under a revision older than the accepted");

#[test]
fn authority_ends_before_a_revision_is_accepted() {
    use authority::{A0, Rules, Source, check};
    let votes = Rules { authority: 1, end: 2, ..Rules::default() };
    let reads = Rules { source: Source::Reads, ..Rules::default() };
    let cases = [
        Case { name: "reads of a lasting holder", rules: reads, breaks: None },
        Case {
            name: "reads of a leaving holder",
            rules: Rules { subject: A0, ..reads },
            breaks: None,
        },
        Case { name: "votes for a lasting holder", rules: votes, breaks: None },
        Case {
            name: "votes for a leaving holder",
            rules: Rules { subject: A0, ..votes },
            breaks: None,
        },
        Case {
            name: "a read proves the moment of its answer",
            rules: Rules { read_proves_its_start: false, ..reads },
            breaks: OLD,
        },
        Case {
            name: "votes for an earlier stamp count",
            rules: Rules { votes_answer_a_stamp: false, ..votes },
            breaks: OLD,
        },
        Case {
            name: "any host of a domain votes",
            rules: Rules { one_voter_per_seat: false, ..votes },
            breaks: OLD,
        },
        Case {
            name: "votes that know more do not refuse",
            rules: Rules { newer_votes_refuse: false, ..votes },
            breaks: OLD,
        },
        Case {
            name: "acceptance without a majority",
            rules: Rules { acceptance_needs_majority: false, ..votes },
            breaks: OLD,
        },
        Case {
            name: "acceptance without waiting",
            rules: Rules { acceptance_waits: false, ..votes },
            breaks: OLD,
        },
        Case {
            name: "new holders vote at once",
            rules: Rules { new_holders_wait: false, ..votes },
            breaks: OLD,
        },
    ];
    run("authority", &cases, check);
}

#[test]
fn tokens_never_exceed_rate_and_burst() {
    use tokens::{Rules, check};
    let sound = Rules::default();
    let spent = Some("tokens were made from nothing");
    let cases = [
        Case { name: "sound", rules: sound, breaks: None },
        Case {
            name: "tokens are not deducted",
            rules: Rules { deduct_first: false, ..sound },
            breaks: spent,
        },
        Case {
            name: "answers count twice",
            rules: Rules { answers_count_once: false, ..sound },
            breaks: spent,
        },
        Case {
            name: "no room is reserved",
            rules: Rules { room_reserved: false, ..sound },
            breaks: Some("more tokens are held than the burst"),
        },
        Case {
            name: "a new life starts full",
            rules: Rules { start_empty: false, ..sound },
            breaks: spent,
        },
    ];
    run("tokens", &cases, check);
}

#[test]
fn a_request_runs_at_most_once() {
    use once::{Rules, check};
    let sound = Rules::default();
    let twice = Some("the request ran twice");
    let cases = [
        Case { name: "sound", rules: sound, breaks: None },
        Case {
            name: "any life runs it",
            rules: Rules { owner_life_checked: false, ..sound },
            breaks: twice,
        },
        Case {
            name: "ids are forgotten",
            rules: Rules { ids_remembered: false, ..sound },
            breaks: twice,
        },
        Case {
            name: "ids have no end",
            rules: Rules { end_checked: false, ..sound },
            breaks: twice,
        },
        Case {
            name: "'not run' after it was passed on",
            rules: Rules { not_run_only_before_sending: false, ..sound },
            breaks: Some("'not run' was said of a try that ran"),
        },
        Case {
            name: "it is sent again",
            rules: Rules { never_sent_again: false, ..sound },
            breaks: twice,
        },
    ];
    run("once", &cases, check);
}

#[test]
fn a_stopped_rollout_stays_stopped() {
    use rollout::{Rules, check};
    let sound = Rules::default();
    let cases = [
        Case { name: "sound", rules: sound, breaks: None },
        Case {
            name: "records are written blindly",
            rules: Rules { compare_and_swap: false, ..sound },
            breaks: Some("a move that was taken back goes on"),
        },
        Case {
            name: "old records count",
            rules: Rules { old_records_ignored: false, ..sound },
            breaks: Some("a slower message undoes a stop"),
        },
        Case {
            name: "hosts wait for the record",
            rules: Rules { local_stop: false, ..sound },
            breaks: Some("a host gives work to a version whose fault it saw"),
        },
        Case {
            name: "steps do not wait",
            rules: Rules { steps_wait_for_hosts: false, ..sound },
            breaks: Some("hosts are further apart than the cap"),
        },
    ];
    run("rollout", &cases, check);
}
