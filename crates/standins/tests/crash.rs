//! Requests that crash backend servers, and connections that stop responding, on host processes.

mod caller;

use std::{
    path::Path,
    time::{Duration, Instant},
};

use caller::{CallerRequest, Outcome, send};
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    forwarder::Forwarder,
};

async fn start_fleet(dir: &Path, declaration: &str, hosts: &[(&str, &str)]) -> Fleet {
    let options = FleetOptions {
        declaration: declaration.to_owned(),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(dir, options).await.expect("the fleet starts");
    // The token buckets of a new host start empty.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

const CRASHING_BODY: &str = "a crashing body";

struct Case {
    name: &'static str,
    route: &'static str,
    /// Indices of the hosts to which the request is sent at the same time, repeatedly.
    hosts: &'static [usize],
    /// Maximum number of backend servers that crash.
    max_crashes: usize,
}

const CASES: &[Case] = &[
    Case { name: "one caller", route: "katalog", hosts: &[0], max_crashes: 2 },
    Case { name: "callers in two regions", route: "katalog", hosts: &[0, 2], max_crashes: 4 },
];

/// Guards against a request that crashes one backend server after another, because callers and
/// hosts retry it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_servers_is_quarantined() {
    for case in CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let hosts = [("z1", "zurich-1"), ("z2", "zurich-2"), ("g1", "geneva-1")];
        let fleet =
            start_fleet(dir.path(), include_str!("../../../samples/lagerwerk.ini"), &hosts).await;
        for backend in fleet.backends.values() {
            backend.behaviour().crash_on = Some(CRASHING_BODY.to_owned());
        }
        let http = reqwest::Client::new();
        let request =
            CallerRequest { route: case.route, body: CRASHING_BODY, ..CallerRequest::default() };
        let mut outcomes: Vec<Outcome> = Vec::new();
        for _ in 0..10 {
            let addresses = case.hosts.iter().map(|n| fleet.hosts[*n].options.caller_address);
            let attempts = addresses.map(|to| send(&http, to, &request));
            outcomes = futures_util::future::join_all(attempts).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let crashed = fleet
            .backends
            .values()
            .filter(|b| b.stats().executions.contains_key(CRASHING_BODY))
            .count();
        println!("{}: {crashed} backend servers crashed", case.name);
        assert!(crashed <= case.max_crashes, "{}: {crashed} backend servers crashed", case.name);
        assert!(outcomes.iter().all(|o| o.code == 116), "{}: {outcomes:?}", case.name);
        for host in &fleet.hosts {
            let harmless = CallerRequest { body: "harmless", ..request.clone() };
            let outcome = send(&http, host.options.caller_address, &harmless).await;
            assert_eq!(outcome.code, 0, "{}: {outcome:?}", case.name);
            let outcome = send(&http, host.options.caller_address, &request).await;
            assert_eq!(outcome.code, 116, "{}: every host quarantines it: {outcome:?}", case.name);
        }
    }
}

const ONE_SERVER_DECLARATION: &str = "[region r]\n[domain d]\nregion = r\nseats = 1\n\
    [route katalog]\naccess = open\nrepeat = idempotent\ndeadline = 800 ms\nlatency = 200 ms\n\
    [server s]\nroute = katalog\nversion = v1\ndomain = d\naddress = 127.0.0.1:9\nslots = 9\n";

/// Number of open connections that stop responding at the same time.
const CONNECTIONS: usize = 3;

/// Guards against reuse of a pooled connection that no longer responds: each such connection may
/// delay one request, which is then retried on a new connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_unresponsive_connection_delays_at_most_one_request() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let mut fleet = start_fleet(dir.path(), ONE_SERVER_DECLARATION, &[("h", "d")]).await;
    let server = fleet.backends["s"].address;
    let forwarder = Forwarder::start(server).await.expect("the forwarder starts");
    let declaration = fleet
        .declaration
        .replace(&format!("address = {server}"), &format!("address = {}", forwarder.address));
    fleet.apply(&declaration).expect("the declaration is applied");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let http = reqwest::Client::new();
    let to = fleet.hosts[0].options.caller_address;
    let request = CallerRequest { route: "katalog", ..CallerRequest::default() };
    for round in 0..3 {
        let concurrent = (0..CONNECTIONS).map(|_| send(&http, to, &request));
        let outcomes = futures_util::future::join_all(concurrent).await;
        assert!(outcomes.iter().all(|o| o.code == 0), "round {round}: {outcomes:?}");
        forwarder.blackhole_open_connections();
        let mut slow = 0;
        for n in 0..10 {
            let started = Instant::now();
            let outcome = send(&http, to, &request).await;
            assert_eq!(outcome.code, 0, "round {round}, request {n}: {outcome:?}");
            slow += usize::from(started.elapsed() >= Duration::from_millis(300));
        }
        println!(
            "round {round}: {slow} of 10 slow after {CONNECTIONS} connections stopped responding"
        );
        assert!((1..=CONNECTIONS).contains(&slow), "round {round}: {slow} requests were slow");
    }
}
