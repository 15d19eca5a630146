//! At most once on real processes: resends through other hosts and failure domains, callers that
//! go away, owners that die or are paused, late answers and answers to other requests.

mod caller;

use std::{path::Path, time::Duration};

use caller::{Sending, Told, look_up, runs, send, uuid7};
use jasminestage_core::{
    once::{RunKey, owner},
    world,
};
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    process::eventually,
};

const HOSTS: &[(&str, &str)] = &[("z1", "zurich-1"), ("z2", "zurich-2"), ("g1", "geneva-1")];

async fn fleet(dir: &Path, service_time: Duration) -> Fleet {
    let options = FleetOptions {
        declaration: include_str!("../../../samples/lagerwerk.ini").to_owned(),
        hosts: HOSTS.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        service_time,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(dir, options).await.expect("the fleet starts");
    // The buckets of a new host start empty.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

/// The ids that a case is tried with: one of the look-up, and one of the caller's own.
async fn ids(http: &reqwest::Client, fleet: &Fleet) -> Vec<(String, Option<usize>)> {
    let (issued, owner) = look_up(http, fleet, 2).await;
    vec![(issued, Some(owner)), (own_id(), None)]
}

/// An id of the caller's own that maps to a seat that is held: seat 0 of a failure domain with a
/// host. Ids that map to a vacant seat are not run.
fn own_id() -> String {
    let world = world::parse(include_str!("../../../samples/lagerwerk.ini")).expect("it is valid");
    let is_held = |id: &String| {
        let seat = owner::seat(&world, RunKey::new("gearbox", "lizenz", id));
        seat.is_some_and(|(domain, n)| n == 0 && HOSTS.iter().any(|(_, d)| *d == domain))
    };
    let ids = (0..).map(|n| uuid7(rand_number() + n));
    ids.take(1000).find(is_held).expect("a quarter of the ids maps to a seat that is held")
}

fn rand_number() -> u64 {
    std::time::UNIX_EPOCH.elapsed().expect("the clock is set").as_nanos() as u64
}

/// Waits until a new owner of a seat may run callers' own ids.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(4500)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resends_anywhere_get_the_one_answer() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = fleet(dir.path(), Duration::from_millis(300)).await;
    settle().await;
    let http = reqwest::Client::new();
    for (n, (id, _)) in ids(&http, &fleet).await.iter().enumerate() {
        let body = format!("everywhere {n}");
        let sending = Sending { id: Some(id), body: &body, ..Sending::default() };
        let tries = fleet.hosts.iter().map(|h| send(&http, h.options.caller_address, &sending));
        let told = futures_util::future::join_all(tries).await;
        assert!(told.iter().all(|t| t.code == 0 && t == &told[0]), "one answer: {told:?}");
        assert!(told[0].body.contains(&body), "the whole answer: {told:?}");
        let again = send(&http, fleet.hosts[2].options.caller_address, &sending).await;
        assert_eq!(again, told[0], "the answer is kept");
        assert_eq!(runs(&fleet, &body), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_goes_away_finds_the_answer_later() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = fleet(dir.path(), Duration::from_millis(400)).await;
    settle().await;
    for (n, (id, owner)) in ids(&reqwest::Client::new(), &fleet).await.iter().enumerate() {
        let body = format!("gone {n}");
        let patience = Duration::from_millis(150);
        let hasty = Sending { id: Some(id), body: &body, patience, ..Sending::default() };
        let http = reqwest::Client::new();
        let at = owner.unwrap_or_default();
        let told = send(&http, fleet.hosts[at].options.caller_address, &hasty).await;
        assert_eq!(told.execution, "nothing", "the caller has gone away");
        drop(http);
        let sending = Sending { id: Some(id), body: &body, ..Sending::default() };
        let other = fleet.hosts[(at + 1) % HOSTS.len()].options.caller_address;
        let told = send(&reqwest::Client::new(), other, &sending).await;
        assert_eq!(told.code, 0, "{told:?}");
        assert_eq!(runs(&fleet, &body), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_owner_takes_the_right_to_run_with_it() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let mut fleet = fleet(dir.path(), Duration::from_secs(1)).await;
    let http = reqwest::Client::new();
    let (id, owner) = look_up(&http, &fleet, 2).await;
    let body = "dead owner";
    let sending = Sending { id: Some(&id), body, ..Sending::default() };
    let first = tokio::spawn({
        let (http, to, id) = (http.clone(), fleet.hosts[owner].options.caller_address, id.clone());
        async move { send(&http, to, &Sending { id: Some(&id), body, ..Sending::default() }).await }
    });
    assert!(eventually(Duration::from_secs(5), async || runs(&fleet, body) == 1).await);
    fleet.hosts[owner].kill();
    assert_eq!(first.await.expect("it ends").execution, "nothing");
    let others: Vec<_> = (0..HOSTS.len()).filter(|n| *n != owner).collect();
    for n in &others {
        let told = send(&http, fleet.hosts[*n].options.caller_address, &sending).await;
        assert_eq!(told.execution, "unknown", "while the owner is dead: {told:?}");
    }
    let options = fleet.hosts[owner].options.clone();
    fleet.hosts[owner] =
        jasminestage_standins::process::HostProcess::start(dir.path(), options).expect("it starts");
    assert!(fleet.wait_until_ready(Duration::from_secs(20)).await, "the new life is ready");
    for host in &fleet.hosts {
        let told = send(&http, host.options.caller_address, &sending).await;
        assert_eq!(told.execution, "unknown", "at the owner's new life: {told:?}");
    }
    let (id, _) = look_up(&http, &fleet, others[0]).await;
    let fresh = Sending { id: Some(&id), body: "after", first: true, ..Sending::default() };
    let told = send(&http, fleet.hosts[others[0]].options.caller_address, &fresh).await;
    assert!(told.code == 0 || told.execution == "not-run", "new requests go on: {told:?}");
    assert_eq!(runs(&fleet, body), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_owner_runs_a_request_once_or_not_at_all() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = fleet(dir.path(), Duration::from_millis(50)).await;
    let http = reqwest::Client::new();
    let (id, owner) = look_up(&http, &fleet, 2).await;
    let body = "paused owner";
    let sending = Sending { id: Some(&id), body, ..Sending::default() };
    fleet.hosts[owner].signal("STOP").expect("it is stopped");
    let others: Vec<_> = (0..HOSTS.len()).filter(|n| *n != owner).collect();
    for n in &others {
        let told = send(&http, fleet.hosts[*n].options.caller_address, &sending).await;
        assert_eq!(told.execution, "unknown", "{told:?}");
    }
    fleet.hosts[owner].signal("CONT").expect("it goes on");
    assert!(fleet.wait_until_ready(Duration::from_secs(20)).await, "the owner is heard again");
    let mut told = Vec::new();
    for host in &fleet.hosts {
        told.push(send(&http, host.options.caller_address, &sending).await);
    }
    let ran = runs(&fleet, body);
    assert!(ran <= 1, "it ran {ran} times: {told:?}");
    assert!(told.iter().all(|t| t.execution != "not-run" || ran == 0), "{told:?}");
}

struct BadCase {
    name: &'static str,
    service_time: Duration,
    cross: bool,
    code: u16,
}

const BAD_CASES: &[BadCase] = &[
    BadCase {
        name: "a late answer",
        service_time: Duration::from_millis(2600),
        cross: false,
        code: 201,
    },
    BadCase {
        name: "a crossed answer",
        service_time: Duration::from_millis(5),
        cross: true,
        code: 204,
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_and_crossed_answers_are_unknown_for_good() {
    for case in BAD_CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let fleet = fleet(dir.path(), case.service_time).await;
        let http = reqwest::Client::new();
        for backend in fleet.backends.values() {
            backend.behaviour().wrong_request_id = case.cross;
        }
        let (id, owner) = look_up(&http, &fleet, 1).await;
        let sending = Sending { id: Some(&id), body: case.name, ..Sending::default() };
        let mut told: Vec<Told> = Vec::new();
        for n in [owner, 0, 1, 2] {
            told.push(send(&http, fleet.hosts[n].options.caller_address, &sending).await);
        }
        tokio::time::sleep(case.service_time).await;
        told.push(send(&http, fleet.hosts[owner].options.caller_address, &sending).await);
        assert!(told.iter().all(|t| t.code == case.code), "{}: {told:?}", case.name);
        assert_eq!(runs(&fleet, case.name), 1, "{}", case.name);
    }
}
