//! Traffic share and fault detection of rollouts.

use std::time::Duration;

use jasminestage_core::steer::{
    digest::CanaryStats,
    rollout::{Rollout, RolloutOrder, RolloutState, Verdict, verdict},
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

struct FaultCase {
    /// Answers and failures of the new version, then of the other versions.
    counts: [u32; 4],
    verdict: Verdict,
}

#[test_case(&FaultCase { counts: [100, 0, 1000, 0], verdict: Verdict::Sound }; "without faults")]
#[test_case(&FaultCase { counts: [3, 3, 1000, 0], verdict: Verdict::Sound }; "too few answers")]
#[test_case(&FaultCase { counts: [10, 5, 1000, 1], verdict: Verdict::Faulty }; "half of the answers fail")]
#[test_case(&FaultCase { counts: [40, 8, 1000, 200], verdict: Verdict::Sound }; "the other versions fail as often")]
#[test_case(&FaultCase { counts: [60, 20, 1000, 20], verdict: Verdict::Faulty }; "one route fails")]
#[test_case(&FaultCase { counts: [322, 112, 3056, 464], verdict: Verdict::Faulty }; "a third fails while all versions are under load")]
#[test_case(&FaultCase { counts: [118, 22, 2692, 370], verdict: Verdict::Sound }; "slightly more failures than the others under load")]
#[test_case(&FaultCase { counts: [60, 24, 1000, 400], verdict: Verdict::Inconclusive }; "two fifths of all answers fail")]
#[test_case(&FaultCase { counts: [9, 1, 1000, 600], verdict: Verdict::Inconclusive }; "most answers of the other versions fail")]
#[test_case(&FaultCase { counts: [100, 40, 1000, 420], verdict: Verdict::Faulty }; "many failures while the other versions fail as often")]
#[test_case(&FaultCase { counts: [0, 0, 0, 0], verdict: Verdict::Sound }; "no answers")]
fn a_version_is_compared_with_the_other_versions(case: &FaultCase) {
    let [answers, failures, other_answers, other_failures] = case.counts;
    // Two hosts have received half of the answers each.
    let first_host = CanaryStats {
        responses: answers.div_ceil(2),
        failures: failures.div_ceil(2),
        baseline_responses: other_answers / 2,
        baseline_failures: other_failures / 2,
        ..CanaryStats::default()
    };
    let mut sum =
        CanaryStats { responses: answers / 2, failures: failures / 2, ..first_host.clone() };
    sum.add(&first_host);
    assert_eq!(verdict(&sum), case.verdict);
}

#[test]
fn a_version_that_one_host_found_faulty_is_faulty_everywhere() {
    let found_faulty = CanaryStats { found_faulty: true, ..CanaryStats::default() };
    let mut sum = CanaryStats { responses: 100, ..CanaryStats::default() };
    sum.add(&found_faulty);
    assert_eq!(verdict(&sum), Verdict::Faulty);
}

/// A fault that appears only under full load is detected late. Until then the faulty version must not
/// have had more than the permitted share of the requests.
#[test]
fn exposure_stays_under_the_bound_until_full_load() {
    let rollout = running();
    let (mut exposed, mut total) = (0.0, 0.0);
    for millis in 0..16_000u64 {
        let share = rollout.traffic_share(at(millis), Verdict::Sound, 0.1);
        total += 1.0;
        if share < 0.6 {
            exposed += share;
        }
    }
    assert!(exposed / total <= 0.1, "{}", exposed / total);
}

struct NextStateCase {
    elapsed_ms: u64,
    verdict: Verdict,
    next_state: Option<RolloutState>,
}

#[test_case(&NextStateCase { elapsed_ms: 100, verdict: Verdict::Sound, next_state: None }; "during the rollout")]
#[test_case(&NextStateCase { elapsed_ms: 15_000, verdict: Verdict::Sound, next_state: Some(RolloutState::Succeeded) }; "without a fault until the end")]
#[test_case(&NextStateCase { elapsed_ms: 9000, verdict: Verdict::Faulty, next_state: Some(RolloutState::RolledBack) }; "faulty")]
#[test_case(&NextStateCase { elapsed_ms: 14_000, verdict: Verdict::Inconclusive, next_state: None }; "inconclusive when a sound version has succeeded")]
#[test_case(&NextStateCase { elapsed_ms: 15_000, verdict: Verdict::Inconclusive, next_state: Some(RolloutState::RolledBack) }; "inconclusive until the end")]
fn the_next_state_depends_on_the_time_and_the_fault(case: &NextStateCase) {
    assert_eq!(running().next_state(at(case.elapsed_ms), case.verdict), case.next_state);
}

#[test]
fn a_rollout_that_has_ended_does_not_run_again() {
    let mut rollout = running();
    assert!(rollout.advance(RolloutState::RolledBack));
    assert!(!rollout.advance(RolloutState::Succeeded));
    assert_eq!(rollout.traffic_share(at(15_900), Verdict::Sound, 0.1), 0.0);
}

/// Under overload the responses of all versions fail alike, so a comparison finds no fault. The
/// version must not get a larger share for that.
#[test]
fn the_share_does_not_grow_while_versions_cannot_be_compared() {
    let rollout = running();
    let largest = (0..16_000u64)
        .map(|millis| rollout.traffic_share(at(millis), Verdict::Inconclusive, 0.1))
        .fold(0.0, f64::max);
    assert!(largest <= 0.05, "{largest}");
}
