//! The request path: admission, tries and what follows after them.

use std::{collections::HashSet, sync::Arc, time::Duration};

use jasminestage_core::{
    steer::{
        refusal::Reason,
        rollout::{Rollout, RolloutOrder, RolloutState},
        server::{Outcome, ServerEntry},
        steering::{Arrival, Flight, Next, Steering},
        view::View,
    },
    time::Instant,
};
use test_case::test_case;

use crate::common::{at, entry, peer, view};

fn host(view: View) -> Steering {
    let mut steering = Steering::new(Arc::new(View { servers: Arc::default(), ..view.clone() }));
    steering.install(at(0), Arc::new(view));
    steering
}

fn arrival<'a>(id: &'a str, path: &'a str) -> Arrival<'a> {
    Arrival {
        id,
        host: "example",
        path,
        key: Some("key-w"),
        object: None,
        patience: Some(Duration::from_secs(3)),
    }
}

fn lookups(count: usize) -> Vec<ServerEntry> {
    (0..count).map(|n| entry(&format!("s{n}"), "lookup", "a1")).collect()
}

fn flight(steering: &mut Steering, path: &str) -> Flight {
    steering.admit(at(1000), &arrival("r1", path)).expect("the request is allowed")
}

struct Admission {
    host: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    reason: Option<Reason>,
}

#[test_case(&Admission { host: "example", path: "/read/x", key: Some("key-w"), reason: None }; "allowed")]
#[test_case(&Admission { host: "example", path: "/read", key: Some("key-w"), reason: Some(Reason::NoRoute) }; "no slash after the prefix")]
#[test_case(&Admission { host: "other", path: "/read/x", key: Some("key-w"), reason: Some(Reason::NoRoute) }; "another host name")]
#[test_case(&Admission { host: "example", path: "/read/x", key: Some("key-x"), reason: Some(Reason::BadKey) }; "an unknown key")]
#[test_case(&Admission { host: "example", path: "/read/x", key: None, reason: Some(Reason::BadKey) }; "no key")]
fn requests_are_admitted_by_the_configuration(case: &Admission) {
    let mut steering = host(view(&lookups(1)));
    let req = Arrival { host: case.host, key: case.key, ..arrival("r1", case.path) };
    let refused = steering.admit(at(1000), &req).err().map(|r| r.reason);
    assert_eq!(refused, case.reason);
}

#[test]
fn a_host_without_configuration_refuses_for_now() {
    let mut bare = view(&[]);
    bare.catalog = Arc::default();
    let refused = host(bare).admit(at(0), &arrival("r1", "/read/x")).err().map(|r| r.reason);
    assert_eq!(refused, Some(Reason::NoConfiguration));
    assert_eq!(Reason::NoConfiguration.status(), 503);
}

/// What follows after a first try.
#[derive(Debug, PartialEq)]
enum After {
    Deliver,
    Again,
    Refuse(u16),
}

struct Tried {
    path: &'static str,
    outcome: Outcome,
    after: After,
}

const fn answered(status: u16) -> Outcome {
    Outcome::Answered { status, took: Duration::from_millis(100) }
}

#[test_case(&Tried { path: "/read/x", outcome: answered(200), after: After::Deliver }; "answered")]
#[test_case(&Tried { path: "/read/x", outcome: answered(500), after: After::Again }; "idempotent and failed")]
#[test_case(&Tried { path: "/read/x", outcome: Outcome::Lost, after: After::Again }; "idempotent and lost")]
#[test_case(&Tried { path: "/read/x", outcome: Outcome::BadAnswer, after: After::Again }; "idempotent and garbled")]
#[test_case(&Tried { path: "/read/x", outcome: Outcome::Shed, after: After::Again }; "idempotent and shed")]
#[test_case(&Tried { path: "/book/x", outcome: answered(500), after: After::Deliver }; "at most once and failed")]
#[test_case(&Tried { path: "/book/x", outcome: Outcome::Lost, after: After::Refuse(502) }; "at most once and lost")]
#[test_case(&Tried { path: "/book/x", outcome: Outcome::BadAnswer, after: After::Refuse(502) }; "at most once and garbled")]
#[test_case(&Tried { path: "/book/x", outcome: Outcome::TimedOut, after: After::Refuse(504) }; "at most once and late")]
#[test_case(&Tried { path: "/book/x", outcome: Outcome::Shed, after: After::Again }; "at most once and shed")]
#[test_case(&Tried { path: "/book/x", outcome: Outcome::WrongServer, after: After::Again }; "at most once at another server")]
#[test_case(&Tried { path: "/book/x", outcome: Outcome::NotSent, after: After::Again }; "at most once and not sent")]
fn only_what_may_run_again_is_sent_again(case: &Tried) {
    let mut all = lookups(2);
    all.extend([entry("b1", "booking", "a1"), entry("b2", "booking", "a1")]);
    let mut steering = host(view(&all));
    // Requests before it have filled the budget.
    for n in 0..50 {
        let warm_up = format!("w{n}");
        steering.admit(at(900), &arrival(&warm_up, case.path)).expect("allowed");
    }
    let mut flight = flight(&mut steering, case.path);
    steering.choose(at(1000), &mut flight).expect("a server is free");
    let after = match steering.finish(at(1100), &mut flight, case.outcome, None) {
        Next::Deliver => After::Deliver,
        Next::Again => After::Again,
        Next::Refuse(refusal) => After::Refuse(refusal.reason.status()),
    };
    assert_eq!(after, case.after);
}

/// A request that may have run is never refused as one that has not.
#[test]
fn a_refusal_after_a_run_promises_nothing() {
    let mut steering = host(view(&lookups(2)));
    for n in 0..50 {
        steering.admit(at(900), &arrival(&format!("w{n}"), "/read/x")).expect("allowed");
    }
    let mut flight = flight(&mut steering, "/read/x");
    steering.choose(at(1000), &mut flight).expect("a server is free");
    assert_eq!(steering.finish(at(1100), &mut flight, Outcome::Lost, None), Next::Again);
    steering.choose(at(1100), &mut flight).expect("another server is free");
    let next = steering.finish(at(1200), &mut flight, Outcome::Shed, None);
    let Next::Refuse(refusal) = next else { panic!("{next:?}") };
    assert_eq!(refusal.reason.status(), 502);
}

struct Usable {
    change: fn(&mut View),
    /// Whether the only server may be used.
    is_usable: bool,
}

fn change_entry(view: &mut View, change: fn(&mut ServerEntry)) {
    for entry in Arc::make_mut(&mut view.servers).values_mut() {
        change(Arc::make_mut(entry));
    }
}

#[test_case(&Usable { change: |_| (), is_usable: true }; "ready")]
#[test_case(&Usable { change: |v| change_entry(v, |e| e.draining = true), is_usable: false }; "draining")]
#[test_case(&Usable { change: |v| v.evacuated = Arc::new(HashSet::from(["a1".to_owned()])), is_usable: false }; "evacuated")]
#[test_case(&Usable { change: |v| change_entry(v, |e| e.service = "other".to_owned()), is_usable: false }; "another service")]
#[test_case(&Usable { change: |v| v.versions = Arc::new([("lookup".to_owned(), HashSet::from(["v0".to_owned()]))].into()), is_usable: false }; "a version without an order")]
fn only_servers_in_service_are_used(case: &Usable) {
    let mut view = view(&lookups(1));
    (case.change)(&mut view);
    let mut steering = host(view);
    let mut flight = flight(&mut steering, "/read/x");
    assert_eq!(steering.choose(at(1000), &mut flight).is_ok(), case.is_usable);
}

#[test]
fn requests_stay_in_the_regions_of_their_route() {
    let mut view = view(&[entry("s1", "lookup", "a1"), entry("s2", "lookup", "b1")]);
    let mut catalog = (*view.catalog).clone();
    let mut only_b =
        crate::common::route("read", "lookup", jasminestage_core::declaration::Repeat::Idempotent);
    only_b.regions = vec!["b".to_owned()];
    catalog = jasminestage_core::steer::catalog::Catalog::new(
        2,
        vec![only_b],
        catalog.services.into_values().collect(),
        vec![crate::common::workspace("w", 0.0)],
        catalog.limits,
    );
    view.catalog = Arc::new(catalog);
    let mut steering = host(view);
    for n in 0..20 {
        let id = format!("r{n}");
        let mut flight = steering.admit(at(1000), &arrival(&id, "/read/x")).expect("allowed");
        let send = steering.choose(at(1000), &mut flight).expect("a server is free");
        assert_eq!(send.server.id, "s2");
        steering.finish(at(1001), &mut flight, answered(200), None);
    }
}

/// Cold servers get no more than they bear from all hosts together, also when each host believes to
/// be alone.
#[test]
fn a_cold_server_is_fed_slowly() {
    let mut cold = entry("s1", "lookup", "a1");
    cold.cold_for = Duration::from_secs(3);
    let mut sent = 0;
    for cut in [false, true] {
        let mut view = view(&[cold.clone()]);
        view.peers = Arc::new(if cut { vec![] } else { vec![peer(2, "a1"), peer(3, "a1")] });
        let mut steering = host(view);
        for millis in 0..1000u64 {
            let id = format!("r{millis}");
            let now: Instant = at(1000 + millis);
            let mut flight = steering.admit(now, &arrival(&id, "/read/x")).expect("allowed");
            if steering.choose(now, &mut flight).is_ok() {
                sent += 1;
                steering.finish(now, &mut flight, answered(200), None);
            }
        }
    }
    assert!((1..=12).contains(&sent), "{sent} requests in a second");
}

/// An overdue try is given up only while the budget has a token, which then pays for the next try.
#[test]
fn a_request_that_is_overdue_moves_only_with_a_token() {
    let mut steering = host(view(&lookups(2)));
    let mut moved = 0;
    loop {
        let mut flight = flight(&mut steering, "/read/x");
        steering.choose(at(1000), &mut flight).expect("a server is free");
        if !steering.may_switch(at(1500), &mut flight) {
            let next = steering.finish(at(1600), &mut flight, Outcome::TimedOut, None);
            assert!(matches!(next, Next::Refuse(_)));
            break;
        }
        let next = steering.finish(at(1500), &mut flight, Outcome::Abandoned, None);
        assert!(matches!(next, Next::Refuse(_)));
        moved += 1;
        assert!(moved < 100, "the budget has no end");
    }
    assert!(moved > 0);
}

/// While a further version is on trial, one that was taken back before gets nothing.
#[test]
fn a_version_that_was_taken_back_stays_out_of_a_later_rollout() {
    let mut taken_back = entry("s2", "lookup", "a1");
    taken_back.version = "v2".to_owned();
    let mut view = view(&[entry("s1", "lookup", "a1"), taken_back]);
    let regular = HashSet::from(["v1".to_owned()]);
    view.versions = Arc::new([("lookup".to_owned(), regular)].into());
    let order = RolloutOrder {
        service: "lookup".to_owned(),
        version: "v3".to_owned(),
        duration: Duration::from_secs(16),
        revision: 9,
    };
    let rollout = Rollout { order, state: RolloutState::Running, started: at(900) };
    view.rollouts = Arc::new([("lookup".to_owned(), rollout)].into());
    let mut steering = host(view);
    for n in 0..40 {
        let id = format!("r{n}");
        let mut flight = steering.admit(at(1000), &arrival(&id, "/read/x")).expect("allowed");
        let send = steering.choose(at(1000), &mut flight).expect("a server is free");
        assert_eq!(send.server.id, "s1");
        steering.finish(at(1001), &mut flight, answered(200), None);
    }
}

/// Where all answers are slow, the usual latency leaves no room for a multiple below the timeout.
#[test]
fn a_version_that_runs_into_the_timeout_is_faulty() {
    let new = ServerEntry { version: "v2".to_owned(), ..entry("s1", "lookup", "a1") };
    let mut view = view(&[new]);
    let order = RolloutOrder {
        service: "lookup".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(16),
        revision: 9,
    };
    let rollout = Rollout { order, state: RolloutState::Running, started: at(0) };
    view.rollouts = Arc::new([("lookup".to_owned(), rollout)].into());
    let mut steering = host(view);
    let mut play = |n: u64, outcome: Outcome, took: u64| {
        let (id, now) = (format!("r{n}"), 13_000 + n * 4000);
        let mut flight = steering.admit(at(now), &arrival(&id, "/read/x")).expect("allowed");
        steering.choose(at(now), &mut flight).expect("the server is free");
        steering.finish(at(now + took), &mut flight, outcome, None);
        steering.is_faulty("lookup")
    };
    for n in 0..40 {
        let usual = Outcome::Answered { status: 200, took: Duration::from_millis(350) };
        assert!(!play(n, usual, 350), "answers in time are no fault");
    }
    let is_faulty = (40..80).any(|n| play(n, Outcome::TimedOut, 1200));
    assert!(is_faulty, "forty tries in a row have timed out");
}
