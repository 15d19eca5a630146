//! At-most-once execution on host processes: retries through other hosts and failure domains,
//! callers that time out, owners that crash or are paused, late responses and responses to other
//! requests.

mod caller;

use std::{path::Path, time::Duration};

use caller::{CallerRequest, Outcome, executions, look_up, send, uuid_v7};
use jasminestage_core::{
    declaration,
    once::{DedupKey, owner},
};
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    process::eventually,
};

const HOSTS: &[(&str, &str)] = &[("z1", "zurich-1"), ("z2", "zurich-2"), ("g1", "geneva-1")];

async fn start_fleet(dir: &Path, service_time: Duration) -> Fleet {
    let options = FleetOptions {
        declaration: include_str!("../../../samples/lagerwerk.ini").to_owned(),
        hosts: HOSTS.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        service_time,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(dir, options).await.expect("the fleet starts");
    // The token buckets of a new host start empty.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

/// Returns a request id issued by a look-up, with the index of its owner, and one chosen by the
/// caller.
async fn request_ids(http: &reqwest::Client, fleet: &Fleet) -> Vec<(String, Option<usize>)> {
    let (issued, owner) = look_up(http, fleet, 2).await;
    vec![(issued, Some(owner)), (caller_chosen_id(), None)]
}

/// Returns a request id chosen by the caller that maps to a held seat: seat 0 of a failure domain
/// with a host. Requests whose id maps to a vacant seat are not executed.
fn caller_chosen_id() -> String {
    let declaration = declaration::parse(include_str!("../../../samples/lagerwerk.ini"))
        .expect("the sample declaration is valid");
    let is_seat_held = |id: &String| {
        let seat = owner::seat_for(&declaration, DedupKey::new("gearbox", "lizenz", id));
        seat.is_some_and(|(domain, n)| n == 0 && HOSTS.iter().any(|(_, d)| *d == domain))
    };
    let ids = (0..).map(|n| uuid_v7(nanos_since_epoch() + n));
    ids.take(1000).find(is_seat_held).expect("a quarter of the ids map to a held seat")
}

fn nanos_since_epoch() -> u64 {
    std::time::UNIX_EPOCH.elapsed().expect("the clock shows a date after 1970").as_nanos() as u64
}

/// Waits until the new owner of a seat may execute requests with ids that callers chose.
async fn wait_for_ownership() {
    tokio::time::sleep(Duration::from_millis(4500)).await;
}

/// Guards against a second execution when a caller retries through another host, and against
/// different responses to the same request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_through_any_host_get_the_same_response() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = start_fleet(dir.path(), Duration::from_millis(300)).await;
    wait_for_ownership().await;
    let http = reqwest::Client::new();
    for (n, (id, _)) in request_ids(&http, &fleet).await.iter().enumerate() {
        let body = format!("retried {n}");
        let request = CallerRequest { id: Some(id), body: &body, ..CallerRequest::default() };
        let attempts = fleet.hosts.iter().map(|h| send(&http, h.options.caller_address, &request));
        let outcomes = futures_util::future::join_all(attempts).await;
        assert!(
            outcomes.iter().all(|o| o.code == 0 && o == &outcomes[0]),
            "the responses differ: {outcomes:?}"
        );
        assert!(outcomes[0].body.contains(&body), "the response is incomplete: {outcomes:?}");
        let again = send(&http, fleet.hosts[2].options.caller_address, &request).await;
        assert_eq!(again, outcomes[0], "the response is stored");
        assert_eq!(executions(&fleet, &body), 1);
    }
}

/// Guards against a response that is lost when its caller closes the connection first.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_times_out_gets_the_response_on_a_retry() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = start_fleet(dir.path(), Duration::from_millis(400)).await;
    wait_for_ownership().await;
    for (n, (id, owner)) in request_ids(&reqwest::Client::new(), &fleet).await.iter().enumerate() {
        let body = format!("timed out {n}");
        let timeout = Duration::from_millis(150);
        let short_timeout_request =
            CallerRequest { id: Some(id), body: &body, timeout, ..CallerRequest::default() };
        let http = reqwest::Client::new();
        let owner_index = owner.unwrap_or_default();
        let outcome =
            send(&http, fleet.hosts[owner_index].options.caller_address, &short_timeout_request)
                .await;
        assert_eq!(outcome.execution, "no response", "the caller times out");
        drop(http);
        let request = CallerRequest { id: Some(id), body: &body, ..CallerRequest::default() };
        let other = fleet.hosts[(owner_index + 1) % HOSTS.len()].options.caller_address;
        let outcome = send(&reqwest::Client::new(), other, &request).await;
        assert_eq!(outcome.code, 0, "{outcome:?}");
        assert_eq!(executions(&fleet, &body), 1);
    }
}

/// Guards against a second execution after a crash of the owner, which holds the only record of the
/// first one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_not_executed_again_after_its_owner_crashes() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let mut fleet = start_fleet(dir.path(), Duration::from_secs(1)).await;
    let http = reqwest::Client::new();
    let (id, owner) = look_up(&http, &fleet, 2).await;
    let body = "crashed owner";
    let request = CallerRequest { id: Some(&id), body, ..CallerRequest::default() };
    let first = tokio::spawn({
        let (http, to, id) = (http.clone(), fleet.hosts[owner].options.caller_address, id.clone());
        async move {
            send(&http, to, &CallerRequest { id: Some(&id), body, ..CallerRequest::default() })
                .await
        }
    });
    assert!(eventually(Duration::from_secs(5), async || executions(&fleet, body) == 1).await);
    fleet.hosts[owner].kill();
    assert_eq!(first.await.expect("the request task completes").execution, "no response");
    let others: Vec<_> = (0..HOSTS.len()).filter(|n| *n != owner).collect();
    for n in &others {
        let outcome = send(&http, fleet.hosts[*n].options.caller_address, &request).await;
        assert_eq!(outcome.execution, "unknown", "while the owner is down: {outcome:?}");
    }
    let options = fleet.hosts[owner].options.clone();
    fleet.hosts[owner] = jasminestage_standins::process::HostProcess::start(dir.path(), options)
        .expect("the host starts");
    assert!(
        fleet.wait_until_ready(Duration::from_secs(20)).await,
        "the restarted owner becomes ready"
    );
    for host in &fleet.hosts {
        let outcome = send(&http, host.options.caller_address, &request).await;
        assert_eq!(outcome.execution, "unknown", "after the owner's restart: {outcome:?}");
    }
    let (id, _) = look_up(&http, &fleet, others[0]).await;
    let new_request = CallerRequest {
        id: Some(&id),
        body: "after",
        is_first_attempt: true,
        ..CallerRequest::default()
    };
    let outcome = send(&http, fleet.hosts[others[0]].options.caller_address, &new_request).await;
    assert!(
        outcome.code == 0 || outcome.execution == "not-run",
        "new requests are handled: {outcome:?}"
    );
    assert_eq!(executions(&fleet, body), 1);
}

/// Guards against an owner that executes a request twice after it is resumed, or reports a request
/// that it has executed as not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_owner_executes_a_request_at_most_once() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let fleet = start_fleet(dir.path(), Duration::from_millis(50)).await;
    let http = reqwest::Client::new();
    let (id, owner) = look_up(&http, &fleet, 2).await;
    let body = "paused owner";
    let request = CallerRequest { id: Some(&id), body, ..CallerRequest::default() };
    fleet.hosts[owner].signal("STOP").expect("the owner is paused");
    let others: Vec<_> = (0..HOSTS.len()).filter(|n| *n != owner).collect();
    for n in &others {
        let outcome = send(&http, fleet.hosts[*n].options.caller_address, &request).await;
        assert_eq!(outcome.execution, "unknown", "{outcome:?}");
    }
    fleet.hosts[owner].signal("CONT").expect("the owner is resumed");
    assert!(fleet.wait_until_ready(Duration::from_secs(20)).await, "the owner is reachable again");
    let mut outcomes = Vec::new();
    for host in &fleet.hosts {
        outcomes.push(send(&http, host.options.caller_address, &request).await);
    }
    let count = executions(&fleet, body);
    assert!(count <= 1, "executed {count} times: {outcomes:?}");
    assert!(outcomes.iter().all(|o| o.execution != "not-run" || count == 0), "{outcomes:?}");
}

/// A response that leaves the outcome of its request unknown.
struct UnknownCase {
    name: &'static str,
    service_time: Duration,
    wrong_request_id: bool,
    code: u16,
}

const UNKNOWN_CASES: &[UnknownCase] = &[
    UnknownCase {
        name: "a late response",
        service_time: Duration::from_millis(2600),
        wrong_request_id: false,
        code: 201,
    },
    UnknownCase {
        name: "a response to another request",
        service_time: Duration::from_millis(5),
        wrong_request_id: true,
        code: 204,
    },
];

/// Guards against a retry that is executed, or gets another result, after an unusable response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_and_mismatched_responses_stay_unknown() {
    for case in UNKNOWN_CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let fleet = start_fleet(dir.path(), case.service_time).await;
        let http = reqwest::Client::new();
        for backend in fleet.backends.values() {
            backend.behaviour().wrong_request_id = case.wrong_request_id;
        }
        let (id, owner) = look_up(&http, &fleet, 1).await;
        let request = CallerRequest { id: Some(&id), body: case.name, ..CallerRequest::default() };
        let mut outcomes: Vec<Outcome> = Vec::new();
        for n in [owner, 0, 1, 2] {
            outcomes.push(send(&http, fleet.hosts[n].options.caller_address, &request).await);
        }
        tokio::time::sleep(case.service_time).await;
        outcomes.push(send(&http, fleet.hosts[owner].options.caller_address, &request).await);
        assert!(outcomes.iter().all(|o| o.code == case.code), "{}: {outcomes:?}", case.name);
        assert_eq!(executions(&fleet, case.name), 1, "{}", case.name);
    }
}
