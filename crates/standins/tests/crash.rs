//! Requests that crash their server, and connections that go silent, on real processes.

mod caller;

use std::{
    path::Path,
    time::{Duration, Instant},
};

use caller::{Sending, Told, send};
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    forwarder::Forwarder,
};

async fn fleet(dir: &Path, declaration: &str, hosts: &[(&str, &str)]) -> Fleet {
    let options = FleetOptions {
        declaration: declaration.to_owned(),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(dir, options).await.expect("the fleet starts");
    // The buckets of a new host start empty.
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet
}

const BODY: &str = "a body that kills";

struct Case {
    name: &'static str,
    route: &'static str,
    /// Hosts to which callers send at the same time, again and again.
    hosts: &'static [usize],
    /// Backend servers that may die.
    deaths: usize,
}

const CASES: &[Case] = &[
    Case { name: "one caller", route: "katalog", hosts: &[0], deaths: 2 },
    Case { name: "callers in two regions", route: "katalog", hosts: &[0, 2], deaths: 4 },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_kills_its_server_is_held_back() {
    for case in CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let hosts = [("z1", "zurich-1"), ("z2", "zurich-2"), ("g1", "geneva-1")];
        let fleet = fleet(dir.path(), include_str!("../../../samples/lagerwerk.ini"), &hosts).await;
        for backend in fleet.backends.values() {
            backend.behaviour().crash_on = Some(BODY.to_owned());
        }
        let http = reqwest::Client::new();
        let sending = Sending { route: case.route, body: BODY, ..Sending::default() };
        let mut last: Vec<Told> = Vec::new();
        for _ in 0..10 {
            let at = case.hosts.iter().map(|n| fleet.hosts[*n].options.caller_address);
            let tries = at.map(|to| send(&http, to, &sending));
            last = futures_util::future::join_all(tries).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let dead =
            fleet.backends.values().filter(|b| b.stats().executions.contains_key(BODY)).count();
        println!("{}: {dead} backend servers died", case.name);
        assert!(dead <= case.deaths, "{}: {dead} backend servers died", case.name);
        assert!(last.iter().all(|t| t.code == 116), "{}: {last:?}", case.name);
        for host in &fleet.hosts {
            let innocent = Sending { body: "innocent", ..sending.clone() };
            let told = send(&http, host.options.caller_address, &innocent).await;
            assert_eq!(told.code, 0, "{}: {told:?}", case.name);
            let told = send(&http, host.options.caller_address, &sending).await;
            assert_eq!(told.code, 116, "{}: all hosts hold it back: {told:?}", case.name);
        }
    }
}

const ONE_SERVER: &str = "[region r]\n[domain d]\nregion = r\nseats = 1\n\
    [route katalog]\naccess = open\nrepeat = idempotent\ndeadline = 800 ms\nlatency = 200 ms\n\
    [server s]\nroute = katalog\nversion = v1\ndomain = d\naddress = 127.0.0.1:9\nslots = 9\n";

/// Connections that are open when they go silent.
const CONNECTIONS: usize = 3;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_costs_one_late_answer() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let mut fleet = fleet(dir.path(), ONE_SERVER, &[("h", "d")]).await;
    let server = fleet.backends["s"].address;
    let forwarder = Forwarder::start(server).await.expect("the forwarder starts");
    let declaration = fleet
        .declaration
        .replace(&format!("address = {server}"), &format!("address = {}", forwarder.address));
    fleet.apply(&declaration).expect("it is applied");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let http = reqwest::Client::new();
    let to = fleet.hosts[0].options.caller_address;
    let sending = Sending { route: "katalog", ..Sending::default() };
    for round in 0..3 {
        let at_once = (0..CONNECTIONS).map(|_| send(&http, to, &sending));
        let told = futures_util::future::join_all(at_once).await;
        assert!(told.iter().all(|t| t.code == 0), "round {round}: {told:?}");
        forwarder.blackhole_open_connections();
        let mut slow = 0;
        for n in 0..10 {
            let started = Instant::now();
            let told = send(&http, to, &sending).await;
            assert_eq!(told.code, 0, "round {round}, request {n}: {told:?}");
            slow += usize::from(started.elapsed() >= Duration::from_millis(300));
        }
        println!("round {round}: {slow} of 10 slow after {CONNECTIONS} connections went silent");
        assert!((1..=CONNECTIONS).contains(&slow), "round {round}: {slow} requests were slow");
    }
}
