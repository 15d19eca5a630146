//! Traffic share and fault detection of rollouts.

use std::time::Duration;

use jasminestage_core::steer::{
    digest::CanaryStats,
    rollout::{Exposure, Rollout, RolloutOrder, RolloutState, Verdict, verdict},
};
use test_case::test_case;

use crate::common::{at, position};

fn running() -> Rollout {
    let order = RolloutOrder {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(16),
        position: position(5),
    };
    Rollout::new(order, at(0))
}

fn exposure() -> Exposure {
    Exposure { permitted_share: 0.1, ..Exposure::default() }
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

struct ExposureCase {
    /// Requests for the service per second.
    rate: f64,
    duration_s: u64,
    /// Share of the requests from which the version fails.
    fails_from: f64,
}

/// Requests that a faulty version may get besides a tenth of all.
const EXTRA: f64 = 50.0;
/// Time until all hosts have stopped using a version after its first failed responses.
const DETECTION_MS: u64 = 800;

/// A version that fails only from a certain load on is found when it has that load. Until all hosts
/// have stopped using it, it must not have had more than the permitted requests.
#[test_case(&ExposureCase { rate: 0.5, duration_s: 14, fails_from: 1.0 }; "full load at 30 requests a minute")]
#[test_case(&ExposureCase { rate: 42.0, duration_s: 14, fails_from: 1.0 }; "full load at 42 requests a second")]
#[test_case(&ExposureCase { rate: 380.0, duration_s: 14, fails_from: 1.0 }; "full load at 380 requests a second")]
#[test_case(&ExposureCase { rate: 380.0, duration_s: 14, fails_from: 0.10 }; "a tenth of the load at 380 requests a second")]
#[test_case(&ExposureCase { rate: 380.0, duration_s: 14, fails_from: 0.25 }; "a quarter of the load at 380 requests a second")]
#[test_case(&ExposureCase { rate: 500.0, duration_s: 16, fails_from: 1.0 }; "full load at 500 requests a second")]
#[test_case(&ExposureCase { rate: 500.0, duration_s: 120, fails_from: 0.5 }; "half of the load in two minutes")]
fn exposure_of_a_version_that_fails_under_load_stays_within_the_bound(case: &ExposureCase) {
    let mut rollout = running();
    rollout.order.duration = Duration::from_secs(case.duration_s);
    let (mut exposed, mut total, mut stops_at) = (0.0, 0.0, None);
    for millis in 0..case.duration_s * 1000 {
        let exposure = Exposure {
            permitted_share: 0.1,
            permitted_extra: EXTRA,
            exposed,
            total,
            rate: case.rate,
        };
        let has_stopped = stops_at.is_some_and(|at| millis >= at);
        let verdict = if has_stopped { Verdict::Faulty } else { Verdict::Sound };
        let share = rollout.traffic_share(at(millis), verdict, &exposure);
        if share >= case.fails_from {
            stops_at.get_or_insert(millis + DETECTION_MS);
        }
        total += case.rate / 1000.0;
        exposed += case.rate / 1000.0 * share;
    }
    assert!(exposed <= 0.1 * total + EXTRA, "{exposed} of {total}");
}

/// A version without a fault gets all requests long enough before the decision that a fault under
/// full load would show.
#[test_case(0.5; "at 30 requests a minute")]
#[test_case(500.0; "at 500 requests a second")]
fn a_version_without_a_fault_has_full_load_before_it_succeeds(rate: f64) {
    let (mut exposure, rollout) = (exposure(), running());
    exposure.rate = rate;
    let decided_ms = (0..16_000)
        .find(|millis| rollout.next_state(at(*millis), Verdict::Sound).is_some())
        .expect("the rollout ends");
    let share = rollout.traffic_share(at(decided_ms - DETECTION_MS), Verdict::Sound, &exposure);
    assert!(share >= 1.0, "{share}");
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

/// The longest duration that an order can have must not end the process.
#[test]
fn a_rollout_of_the_longest_duration_has_a_share() {
    let mut rollout = running();
    rollout.order.duration = Duration::MAX;
    let exposure = Exposure { rate: 100.0, total: 50.0, ..exposure() };
    let share = rollout.traffic_share(at(1000), Verdict::Sound, &exposure);
    assert!((0.0..=0.05).contains(&share), "{share}");
}

#[test]
fn a_rollout_that_has_ended_does_not_run_again() {
    let mut rollout = running();
    assert!(rollout.advance(RolloutState::RolledBack));
    assert!(!rollout.advance(RolloutState::Succeeded));
    assert_eq!(rollout.traffic_share(at(15_900), Verdict::Sound, &exposure()), 0.0);
}

/// Under overload the responses of all versions fail alike, so a comparison finds no fault. The
/// version must not get a larger share for that.
#[test]
fn the_share_does_not_grow_while_versions_cannot_be_compared() {
    let rollout = running();
    let largest = (0..16_000u64)
        .map(|millis| rollout.traffic_share(at(millis), Verdict::Inconclusive, &exposure()))
        .fold(0.0, f64::max);
    assert!(largest <= 0.05, "{largest}");
}
