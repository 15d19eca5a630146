//! The request path: admission, the choice of a server, and the action after an attempt.

use std::{collections::HashSet, sync::Arc, time::Duration};

use jasminestage_core::{
    steer::{
        refusal::RefusalReason,
        rollout::{Rollout, RolloutOrder, Verdict},
        server::{AttemptOutcome, LoadReport, ServerEntry, ServerReport},
        steering::{NextAction, PendingRequest, RequestHead, Steering},
        view::View,
    },
    time::Instant,
};
use test_case::test_case;

use crate::common::{at, entry, peer, position, view};

fn steering_with(view: View) -> Steering {
    let mut steering = Steering::new(Arc::new(View { servers: Arc::default(), ..view.clone() }));
    steering.install_view(at(0), Arc::new(view));
    steering
}

fn head<'a>(id: &'a str, path: &'a str) -> RequestHead<'a> {
    RequestHead {
        id,
        host: "example",
        path,
        key: Some("key-w"),
        object: None,
        caller_timeout: Some(Duration::from_secs(3)),
    }
}

fn lookups(count: usize) -> Vec<ServerEntry> {
    (0..count).map(|n| entry(&format!("s{n}"), "lookup", "a1")).collect()
}

fn admitted(steering: &mut Steering, path: &str) -> PendingRequest {
    steering.admit(at(1000), &head("r1", path)).expect("the request is admitted")
}

struct Admission {
    host: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    reason: Option<RefusalReason>,
}

#[test_case(&Admission { host: "example", path: "/read/x", key: Some("key-w"), reason: None }; "allowed")]
#[test_case(&Admission { host: "example", path: "/read", key: Some("key-w"), reason: Some(RefusalReason::NoRoute) }; "no slash after the prefix")]
#[test_case(&Admission { host: "other", path: "/read/x", key: Some("key-w"), reason: Some(RefusalReason::NoRoute) }; "another host name")]
#[test_case(&Admission { host: "example", path: "/read/x", key: Some("key-x"), reason: Some(RefusalReason::BadKey) }; "an unknown key")]
#[test_case(&Admission { host: "example", path: "/read/x", key: None, reason: Some(RefusalReason::BadKey) }; "no key")]
fn requests_are_admitted_by_the_configuration(case: &Admission) {
    let mut steering = steering_with(view(&lookups(1)));
    let request_head = RequestHead { host: case.host, key: case.key, ..head("r1", case.path) };
    let reason = steering.admit(at(1000), &request_head).err().map(|r| r.reason);
    assert_eq!(reason, case.reason);
}

#[test]
fn a_host_without_configuration_refuses_with_503() {
    let mut unconfigured = view(&[]);
    unconfigured.catalog = Arc::default();
    let reason =
        steering_with(unconfigured).admit(at(0), &head("r1", "/read/x")).err().map(|r| r.reason);
    assert_eq!(reason, Some(RefusalReason::NoConfiguration));
    assert_eq!(RefusalReason::NoConfiguration.status(), 503);
}

/// The expected action after a first attempt.
#[derive(Debug, PartialEq)]
enum ExpectedAction {
    Deliver,
    Retry,
    /// Refusal with this HTTP status.
    Refuse(u16),
}

struct FirstAttempt {
    path: &'static str,
    outcome: AttemptOutcome,
    action: ExpectedAction,
}

const fn answered(status: u16) -> AttemptOutcome {
    AttemptOutcome::Answered { status, took: Duration::from_millis(100) }
}

#[test_case(&FirstAttempt { path: "/read/x", outcome: answered(200), action: ExpectedAction::Deliver }; "answered")]
#[test_case(&FirstAttempt { path: "/read/x", outcome: answered(500), action: ExpectedAction::Retry }; "idempotent and failed")]
#[test_case(&FirstAttempt { path: "/read/x", outcome: AttemptOutcome::Lost, action: ExpectedAction::Retry }; "idempotent and lost")]
#[test_case(&FirstAttempt { path: "/read/x", outcome: AttemptOutcome::BadAnswer, action: ExpectedAction::Retry }; "idempotent and garbled")]
#[test_case(&FirstAttempt { path: "/read/x", outcome: AttemptOutcome::Shed, action: ExpectedAction::Retry }; "idempotent and shed")]
#[test_case(&FirstAttempt { path: "/book/x", outcome: answered(500), action: ExpectedAction::Deliver }; "at most once and failed")]
#[test_case(&FirstAttempt { path: "/book/x", outcome: AttemptOutcome::Lost, action: ExpectedAction::Refuse(502) }; "at most once and lost")]
#[test_case(&FirstAttempt { path: "/book/x", outcome: AttemptOutcome::BadAnswer, action: ExpectedAction::Refuse(502) }; "at most once and garbled")]
#[test_case(&FirstAttempt { path: "/book/x", outcome: AttemptOutcome::TimedOut, action: ExpectedAction::Refuse(504) }; "at most once and late")]
#[test_case(&FirstAttempt { path: "/book/x", outcome: AttemptOutcome::Shed, action: ExpectedAction::Retry }; "at most once and shed")]
#[test_case(&FirstAttempt { path: "/book/x", outcome: AttemptOutcome::WrongServer, action: ExpectedAction::Retry }; "at most once at another server")]
#[test_case(&FirstAttempt { path: "/book/x", outcome: AttemptOutcome::NotSent, action: ExpectedAction::Retry }; "at most once and not sent")]
fn only_requests_that_may_run_again_are_retried(case: &FirstAttempt) {
    let mut all = lookups(2);
    all.extend([entry("b1", "booking", "a1"), entry("b2", "booking", "a1")]);
    let mut steering = steering_with(view(&all));
    // Earlier requests fill the retry budget.
    for n in 0..50 {
        let warm_up = format!("w{n}");
        steering.admit(at(900), &head(&warm_up, case.path)).expect("the request is admitted");
    }
    let mut request = admitted(&mut steering, case.path);
    steering.choose_server(at(1000), &mut request).expect("a server is available");
    let action = match steering.finish_attempt(at(1100), &mut request, case.outcome, None) {
        NextAction::Deliver => ExpectedAction::Deliver,
        NextAction::Retry => ExpectedAction::Retry,
        NextAction::Refuse(refusal) => ExpectedAction::Refuse(refusal.reason.status()),
    };
    assert_eq!(action, case.action);
}

/// The first attempt may have run and the second has not. The refusal must not be one of those which
/// guarantee that no server has run the request.
#[test]
fn a_refusal_after_a_lost_attempt_does_not_claim_that_nothing_ran() {
    let mut steering = steering_with(view(&lookups(2)));
    for n in 0..50 {
        steering
            .admit(at(900), &head(&format!("w{n}"), "/read/x"))
            .expect("the request is admitted");
    }
    let mut request = admitted(&mut steering, "/read/x");
    steering.choose_server(at(1000), &mut request).expect("a server is available");
    assert_eq!(
        steering.finish_attempt(at(1100), &mut request, AttemptOutcome::Lost, None),
        NextAction::Retry
    );
    steering.choose_server(at(1100), &mut request).expect("another server is available");
    let action = steering.finish_attempt(at(1200), &mut request, AttemptOutcome::Shed, None);
    let NextAction::Refuse(refusal) = action else { panic!("{action:?}") };
    assert_eq!(refusal.reason.status(), 502);
}

struct ServerState {
    change: fn(&mut View),
    /// Whether the only server gets the request.
    is_usable: bool,
}

fn change_entry(view: &mut View, change: fn(&mut ServerEntry)) {
    for entry in Arc::make_mut(&mut view.servers).values_mut() {
        change(Arc::make_mut(entry));
    }
}

#[test_case(&ServerState { change: |_| (), is_usable: true }; "ready")]
#[test_case(&ServerState { change: |v| change_entry(v, |e| e.draining = true), is_usable: false }; "draining")]
#[test_case(&ServerState { change: |v| v.evacuated_zones = Arc::new(HashSet::from(["a1".to_owned()])), is_usable: false }; "evacuated")]
#[test_case(&ServerState { change: |v| change_entry(v, |e| e.service = "other".to_owned()), is_usable: false }; "another service")]
#[test_case(&ServerState { change: |v| v.regular_versions = Arc::new([("lookup".to_owned(), HashSet::from(["v0".to_owned()]))].into()), is_usable: false }; "a version without a rollout order")]
fn only_servers_in_service_are_used(case: &ServerState) {
    let mut view = view(&lookups(1));
    (case.change)(&mut view);
    let mut steering = steering_with(view);
    let mut request = admitted(&mut steering, "/read/x");
    assert_eq!(steering.choose_server(at(1000), &mut request).is_ok(), case.is_usable);
}

#[test]
fn requests_stay_in_the_regions_of_their_route() {
    let mut view = view(&[entry("s1", "lookup", "a1"), entry("s2", "lookup", "b1")]);
    let mut catalog = (*view.catalog).clone();
    let mut region_b_only =
        crate::common::route("read", "lookup", jasminestage_core::declaration::Repeat::Idempotent);
    region_b_only.allowed_regions = vec!["b".to_owned()];
    catalog = jasminestage_core::steer::catalog::Catalog::new(
        2,
        vec![region_b_only],
        catalog.services.into_values().collect(),
        vec![crate::common::workspace("w", 0.0)],
        catalog.limits,
    );
    view.catalog = Arc::new(catalog);
    let mut steering = steering_with(view);
    for n in 0..20 {
        let id = format!("r{n}");
        let mut request =
            steering.admit(at(1000), &head(&id, "/read/x")).expect("the request is admitted");
        let dispatch =
            steering.choose_server(at(1000), &mut request).expect("a server is available");
        assert_eq!(dispatch.server.id, "s2");
        steering.finish_attempt(at(1001), &mut request, answered(200), None);
    }
}

/// A cold server must not get more requests than it sustains, neither when the hosts reach each other
/// nor when a host reaches no other host and therefore counts as the responsible one.
#[test]
fn a_cold_server_gets_requests_at_a_low_rate() {
    let mut cold_server = entry("s1", "lookup", "a1");
    cold_server.cold_duration = Duration::from_secs(3);
    let mut sent = 0;
    for is_cut_off in [false, true] {
        let mut view = view(&[cold_server.clone()]);
        view.peers = Arc::new(if is_cut_off { vec![] } else { vec![peer(2, "a1"), peer(3, "a1")] });
        let mut steering = steering_with(view);
        for millis in 0..1000u64 {
            let id = format!("r{millis}");
            let now: Instant = at(1000 + millis);
            let mut request =
                steering.admit(now, &head(&id, "/read/x")).expect("the request is admitted");
            if steering.choose_server(now, &mut request).is_ok() {
                sent += 1;
                steering.finish_attempt(now, &mut request, answered(200), None);
            }
        }
    }
    assert!((1..=12).contains(&sent), "{sent} requests in a second");
}

/// Without a limit, requests to slow servers would move to further servers and multiply the load. An
/// overdue request moves only while the retry budget has a token.
#[test]
fn an_overdue_request_moves_only_with_a_retry_token() {
    let mut steering = steering_with(view(&lookups(2)));
    let mut moved = 0;
    loop {
        let mut request = admitted(&mut steering, "/read/x");
        steering.choose_server(at(1000), &mut request).expect("a server is available");
        if !steering.may_switch_server(at(1500), &mut request) {
            let action =
                steering.finish_attempt(at(1600), &mut request, AttemptOutcome::TimedOut, None);
            assert!(matches!(action, NextAction::Refuse(_)));
            break;
        }
        let action =
            steering.finish_attempt(at(1500), &mut request, AttemptOutcome::Abandoned, None);
        assert!(matches!(action, NextAction::Refuse(_)));
        moved += 1;
        assert!(moved < 100, "the retry budget is not limited");
    }
    assert!(moved > 0);
}

/// A faulty version that was rolled back still has running servers. It must not get requests as an
/// old version when a later rollout starts.
#[test]
fn a_rolled_back_version_gets_no_requests_in_a_later_rollout() {
    let mut rolled_back = entry("s2", "lookup", "a1");
    rolled_back.version = "v2".to_owned();
    let mut view = view(&[entry("s1", "lookup", "a1"), rolled_back]);
    let regular = HashSet::from(["v1".to_owned()]);
    view.regular_versions = Arc::new([("lookup".to_owned(), regular)].into());
    let order = RolloutOrder {
        service: "lookup".to_owned(),
        version: "v3".to_owned(),
        duration: Duration::from_secs(16),
        position: position(9),
    };
    let rollout = Rollout::new(order, at(900));
    view.rollouts = Arc::new([("lookup".to_owned(), rollout)].into());
    let mut steering = steering_with(view);
    for n in 0..40 {
        let id = format!("r{n}");
        let mut request =
            steering.admit(at(1000), &head(&id, "/read/x")).expect("the request is admitted");
        let dispatch =
            steering.choose_server(at(1000), &mut request).expect("a server is available");
        assert_eq!(dispatch.server.id, "s1");
        steering.finish_attempt(at(1001), &mut request, answered(200), None);
    }
}

/// When all answers are slow, the latency that counts as a failure during a rollout may exceed the
/// timeout. Attempts that time out must count as failures all the same.
#[test]
fn a_version_that_runs_into_the_timeout_is_faulty() {
    let new = ServerEntry { version: "v2".to_owned(), ..entry("s1", "lookup", "a1") };
    let mut view = view(&[new]);
    let order = RolloutOrder {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(16),
        position: position(9),
    };
    let rollout = Rollout::new(order, at(0));
    view.rollouts = Arc::new([("lookup".to_owned(), rollout)].into());
    let mut steering = steering_with(view);
    let mut run_attempt = |n: u64, outcome: AttemptOutcome, took_ms: u64| {
        let (id, now) = (format!("r{n}"), 13_000 + n * 4000);
        let mut request =
            steering.admit(at(now), &head(&id, "/read/x")).expect("the request is admitted");
        steering.choose_server(at(now), &mut request).expect("the server is available");
        steering.finish_attempt(at(now + took_ms), &mut request, outcome, None);
        steering.rollout_verdict("lookup") == Verdict::Faulty
    };
    for n in 0..40 {
        let in_time = AttemptOutcome::Answered { status: 200, took: Duration::from_millis(350) };
        assert!(!run_attempt(n, in_time, 350), "answers in time are not failures");
    }
    let is_faulty = (40..80).any(|n| run_attempt(n, AttemptOutcome::TimedOut, 1200));
    assert!(is_faulty, "forty attempts in a row have timed out");
}

/// An operator may order the same version again after its first rollout was rolled back. The
/// failures of the first rollout must not end the second one.
#[test]
fn a_second_order_of_the_same_version_starts_with_new_counts() {
    let rollout = |revision: u64, started: Instant| {
        let order = RolloutOrder {
            service: "lookup".to_owned(),
            version: "v2".to_owned(),
            duration: Duration::from_secs(16),
            position: position(revision),
        };
        Arc::new([("lookup".to_owned(), Rollout::new(order, started))].into())
    };
    let new = ServerEntry { version: "v2".to_owned(), ..entry("s1", "lookup", "a1") };
    let mut view = view(&[new]);
    view.rollouts = rollout(9, at(0));
    let mut steering = steering_with(view.clone());
    for n in 0..20 {
        let id = format!("r{n}");
        let mut request =
            steering.admit(at(13_000), &head(&id, "/read/x")).expect("the request is admitted");
        // The version gets no requests once it has been found faulty.
        if steering.choose_server(at(13_000), &mut request).is_ok() {
            steering.finish_attempt(at(13_001), &mut request, answered(500), None);
        }
    }
    assert_eq!(steering.rollout_verdict("lookup"), Verdict::Faulty);
    view.rollouts = rollout(12, at(14_000));
    steering.install_view(at(14_000), Arc::new(view));
    assert_eq!(steering.rollout_verdict("lookup"), Verdict::Sound);
}

struct ShedCase {
    /// Requests that run and wait at the server that shed the request, of three slots.
    load: Option<(u32, u32)>,
    /// Bounds of the wait in milliseconds.
    wait_ms: (u128, u128),
}

// A server with room that sheds a share of its requests is tried again at once; with the wait for a full
// one, requests with an objective of 400 ms came back too late to meet it.
#[test_case(&ShedCase { load: Some((1, 0)), wait_ms: (20, 60) }; "a server with room")]
#[test_case(&ShedCase { load: Some((3, 0)), wait_ms: (300, 300) }; "all slots are busy")]
#[test_case(&ShedCase { load: Some((2, 4)), wait_ms: (300, 300) }; "requests wait")]
#[test_case(&ShedCase { load: None, wait_ms: (300, 300) }; "the server states no load")]
fn the_wait_after_a_shed_follows_the_room(case: &ShedCase) {
    let mut steering = steering_with(view(&lookups(1)));
    let load = case.load.map(|(running, waiting)| LoadReport { running, waiting, slots: 3 });
    let report = ServerReport { load, ..ServerReport::default() };
    let mut shed = || {
        let mut request = admitted(&mut steering, "/read/x");
        steering.choose_server(at(1000), &mut request).expect("a server is available");
        match steering.finish_attempt(at(1010), &mut request, AttemptOutcome::Shed, Some(report)) {
            NextAction::Refuse(refusal) => Some(refusal),
            _ => None,
        }
    };
    // The first requests may be tried again at once, until the retry budget is used up.
    let refusal = (0..100).find_map(|_| shed()).expect("the budget ends");
    let wait_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis());
    assert!((case.wait_ms.0..=case.wait_ms.1).contains(&wait_ms), "{wait_ms} ms");
}
