//! The verdict of a host on a version that is rolled out, from its own responses and from the reports
//! of other hosts.

use std::{sync::Arc, time::Duration};

use jasminestage_core::steer::{
    digest::CanaryStats,
    rollout::{Rollout, RolloutOrder, Verdict, VersionComparison},
    server::{AttemptOutcome, ServerEntry},
    steering::{RequestHead, Steering},
    view::View,
};
use test_case::test_case;

use crate::common::{at, digest, entry, position, view};

const ORDER_REVISION: u64 = 5;

/// A host during a rollout, with a server of each version.
fn steering() -> Steering {
    let new = ServerEntry { version: "v2".to_owned(), ..entry("s2", "lookup", "a1") };
    let order = RolloutOrder {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(600),
        position: position(ORDER_REVISION),
    };
    let rollout = Rollout::new(order, at(0));
    let view = View {
        rollouts: Arc::new([("lookup".to_owned(), rollout)].into()),
        ..view(&[entry("s1", "lookup", "a1"), new])
    };
    let mut steering = Steering::new(Arc::new(View { servers: Arc::default(), ..view.clone() }));
    steering.install_view(at(0), Arc::new(view));
    steering.tick(at(0));
    steering
}

/// Sends requests until this many have run on the new version, which responds with `status`.
fn run_on_new_version(steering: &mut Steering, count: usize, status: u16) {
    let mut responses = 0;
    for n in 0..100_000 {
        let id = format!("r{n}");
        let head = RequestHead {
            id: &id,
            host: "example",
            path: "/read/x",
            key: Some("key-w"),
            object: None,
            caller_timeout: None,
        };
        let mut request = steering.admit(at(1000), &head).expect("the request is admitted");
        let dispatch = steering.choose_server(at(1000), &mut request).expect("a server");
        let is_new = dispatch.server.version == "v2";
        let status = if is_new { status } else { 200 };
        let outcome = AttemptOutcome::Answered { status, took: Duration::from_millis(20) };
        steering.finish_attempt(at(1000), &mut request, outcome, None);
        responses += usize::from(is_new);
        if responses == count || steering.rollout_verdict("lookup") == Verdict::Faulty {
            return;
        }
    }
}

/// Reports the counts of another host.
fn receive(steering: &mut Steering, millis: u64, counts: CanaryStats) {
    let (service, version) = ("lookup".to_owned(), "v2".to_owned());
    let canary = CanaryStats { service, version, order: position(ORDER_REVISION), ..counts };
    let mut report = digest(2, "a2");
    report.stats.canaries = vec![canary];
    steering.receive_digest(at(millis), report);
}

struct Case {
    /// What leads to the verdict.
    finds: fn(&mut Steering),
    /// What happens later.
    then: fn(&mut Steering),
}

fn nothing(_: &mut Steering) {}

fn fails(steering: &mut Steering) {
    run_on_new_version(steering, 20, 500);
}

fn is_reported(steering: &mut Steering) {
    receive(steering, 1000, CanaryStats { found_faulty: true, ..CanaryStats::default() });
}

fn failures_are_reported(steering: &mut Steering) {
    receive(steering, 1000, CanaryStats { responses: 10, failures: 6, ..CanaryStats::default() });
}

fn good_responses_are_reported(steering: &mut Steering) {
    receive(steering, 2000, CanaryStats { responses: 10_000, ..CanaryStats::default() });
}

fn reports_expire(steering: &mut Steering) {
    steering.tick(at(30_000));
}

/// Fails if a host uses a version again that it has found faulty: because good responses dilute the
/// failures, or because the host that reported them has ended.
#[test_case(&Case { finds: fails, then: nothing }; "own failures")]
#[test_case(&Case { finds: fails, then: good_responses_are_reported }; "own failures, diluted by good responses elsewhere")]
#[test_case(&Case { finds: failures_are_reported, then: good_responses_are_reported }; "failures of another host, diluted")]
#[test_case(&Case { finds: failures_are_reported, then: reports_expire }; "failures of a host that ends")]
#[test_case(&Case { finds: is_reported, then: good_responses_are_reported }; "the verdict of a host that restarts")]
#[test_case(&Case { finds: is_reported, then: reports_expire }; "the verdict of a host that ends")]
fn a_version_stays_faulty_until_the_next_order(case: &Case) {
    let mut steering = steering();
    (case.finds)(&mut steering);
    assert_eq!(steering.rollout_verdict("lookup"), Verdict::Faulty);
    (case.then)(&mut steering);
    assert_eq!(steering.rollout_verdict("lookup"), Verdict::Faulty);
}

struct ComparisonCase {
    /// Counts of all hosts in their order: responses and errors of the new version, then of the
    /// others.
    counts: &'static [[u32; 4]],
    is_worse: bool,
}

#[test_case(&ComparisonCase { counts: &[[114, 11, 2328, 21]], is_worse: true }; "a tenth fails under a small share")]
#[test_case(&ComparisonCase { counts: &[[600, 0, 3000, 20], [640, 20, 3020, 20]], is_worse: true }; "a fault after many good responses")]
#[test_case(&ComparisonCase { counts: &[[600, 0, 3000, 20], [300, 0, 1500, 10], [640, 20, 3020, 20]], is_worse: true }; "counts that are missing for a while")]
#[test_case(&ComparisonCase { counts: &[[100, 1, 2000, 20]], is_worse: false }; "as many failures as the others")]
#[test_case(&ComparisonCase { counts: &[[100, 0, 2000, 0], [104, 4, 2080, 10]], is_worse: false }; "the requests of a server that ends")]
#[test_case(&ComparisonCase { counts: &[[322, 60, 3056, 464]], is_worse: false }; "slightly more failures than the others under load")]
fn a_fault_shows_under_a_small_share(case: &ComparisonCase) {
    let mut comparison = VersionComparison::default();
    let mut is_worse = false;
    for [responses, errors, baseline_responses, baseline_errors] in case.counts {
        is_worse |= comparison.add(&CanaryStats {
            responses: *responses,
            errors: *errors,
            baseline_responses: *baseline_responses,
            baseline_errors: *baseline_errors,
            ..CanaryStats::default()
        });
    }
    assert_eq!(is_worse, case.is_worse);
}
