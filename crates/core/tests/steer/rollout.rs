//! Shares and verdicts of rollouts.

use std::time::Duration;

use jasminestage_core::steer::{
    digest::CanaryStats,
    rollout::{Rollout, RolloutOrder, RolloutState, is_faulty},
};
use test_case::test_case;

use crate::common::at;

fn running() -> Rollout {
    let order = RolloutOrder {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(16),
        revision: 5,
    };
    Rollout { order, state: RolloutState::Running, started: at(0) }
}

struct Verdict {
    /// Answers and failures of the version, then of the others.
    seen: [u32; 4],
    is_faulty: bool,
}

#[test_case(&Verdict { seen: [100, 0, 1000, 0], is_faulty: false }; "without faults")]
#[test_case(&Verdict { seen: [3, 3, 1000, 0], is_faulty: false }; "too few answers")]
#[test_case(&Verdict { seen: [10, 5, 1000, 1], is_faulty: true }; "half of the answers fail")]
#[test_case(&Verdict { seen: [40, 8, 1000, 200], is_faulty: false }; "the others fail as often")]
#[test_case(&Verdict { seen: [60, 20, 1000, 20], is_faulty: true }; "one route fails")]
#[test_case(&Verdict { seen: [322, 112, 3056, 464], is_faulty: true }; "a third fails while all are under load")]
#[test_case(&Verdict { seen: [118, 22, 2692, 370], is_faulty: false }; "little above the others under load")]
fn a_version_is_judged_against_the_others(case: &Verdict) {
    let [answers, failures, other_answers, other_failures] = case.seen;
    // Two hosts saw half of it each.
    let half = CanaryStats {
        responses: answers.div_ceil(2),
        failures: failures.div_ceil(2),
        baseline_responses: other_answers / 2,
        baseline_failures: other_failures / 2,
        ..CanaryStats::default()
    };
    let rest = CanaryStats { responses: answers / 2, failures: failures / 2, ..half.clone() };
    assert_eq!(is_faulty([&half, &rest].into_iter()), case.is_faulty);
}

#[test]
fn one_host_that_stopped_a_version_stops_it_everywhere() {
    let stopped = CanaryStats { found_faulty: true, ..CanaryStats::default() };
    assert!(is_faulty([&CanaryStats::default(), &stopped].into_iter()));
}

/// A bad version that shows its fault only under full load has had less than the permitted share.
#[test]
fn exposure_stays_under_the_bound_until_full_load() {
    let rollout = running();
    let (mut exposed, mut all) = (0.0, 0.0);
    for millis in 0..16_000u64 {
        let share = rollout.share(at(millis), false, 0.1);
        all += 1.0;
        if share < 0.6 {
            exposed += share;
        }
    }
    assert!(exposed / all <= 0.1, "{}", exposed / all);
}

struct Stage {
    millis: u64,
    is_faulty: bool,
    next: Option<RolloutState>,
}

#[test_case(&Stage { millis: 100, is_faulty: false, next: None }; "on trial")]
#[test_case(&Stage { millis: 15_000, is_faulty: false, next: Some(RolloutState::Succeeded) }; "done in time")]
#[test_case(&Stage { millis: 9000, is_faulty: true, next: Some(RolloutState::RolledBack) }; "faulty")]
fn the_next_state_follows_the_time_and_the_verdict(case: &Stage) {
    assert_eq!(running().next_state(at(case.millis), case.is_faulty), case.next);
}

#[test]
fn a_rollout_that_has_ended_does_not_run_again() {
    let mut rollout = running();
    assert!(rollout.advance(RolloutState::RolledBack));
    assert!(!rollout.advance(RolloutState::Succeeded));
    assert_eq!(rollout.share(at(15_900), false, 0.1), 0.0);
}
