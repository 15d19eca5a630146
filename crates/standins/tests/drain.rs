//! Planned stops of hosts and drains of backend servers, on real processes under load.

mod callers;

use std::{
    fs,
    time::{Duration, Instant},
};

use callers::{Callers, KEY, fleet};
use jasminestage_standins::fleet::FleetOptions;

/// Text of the event of a stop past its limit.
const OVERDUE: &str = "The stop took longer than its declared limit.";
const HOSTS: &[(&str, &str)] =
    &[("z1", "zurich-1"), ("z2", "zurich-1"), ("z3", "zurich-2"), ("g1", "geneva-1")];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_no_request() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = FleetOptions {
        service_time: Duration::from_millis(30),
        extra_settings: "[traffic]\nstop_delay = 5 s\n".to_owned(),
        ..FleetOptions::default()
    };
    let mut fleet = fleet(dir.path(), HOSTS, options).await;
    let callers = Callers::start(&fleet, "katalog", 12, Duration::from_millis(20));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let started = Instant::now();
    fleet.hosts[0].signal("TERM").expect("the host runs");
    let mut stopped = fleet.hosts.remove(0);
    let wait = tokio::task::spawn_blocking(move || {
        let status = stopped.wait();
        (stopped, status)
    });
    let (stopped, status) = wait.await.expect("the wait ends");
    let drained = started.elapsed();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let counts = callers.finish().await;
    let log = fs::read_to_string(&stopped.log_path).expect("the host has a log");
    println!("drain time {drained:?}, {} good, bad: {:?}", counts.good, counts.bad);
    assert!(status.expect("the host has ended").success(), "exit code 0: {log}");
    assert!(counts.good > 200, "the callers were served: {}", counts.good);
    assert!(counts.bad.is_empty(), "no request is refused or cut: {:?}", counts.bad);
    assert!(drained < Duration::from_secs(20), "drain time {drained:?}");
    assert!(!log.contains(OVERDUE), "the stop was not overdue: {log}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_past_its_limit_says_so() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = FleetOptions {
        service_time: Duration::from_secs(8),
        extra_settings: "[traffic]\nstop_delay = 5 s\nstop_limit = 200 ms\n".to_owned(),
        declaration: callers::LAGERWERK.replace("deadline = 800 ms", "deadline = 10 s"),
        ..FleetOptions::default()
    };
    let mut fleet = fleet(dir.path(), &HOSTS[..2], options).await;
    let url = format!("http://{}/v1/routes/katalog/x", fleet.hosts[0].options.caller_address);
    let late = reqwest::Client::new().post(url).bearer_auth(KEY).body("late").send();
    let late = tokio::spawn(late);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.hosts[0].signal("TERM").expect("the host runs");
    let mut stopped = fleet.hosts.remove(0);
    let wait = tokio::task::spawn_blocking(move || {
        let _ = stopped.wait();
        stopped
    });
    let stopped = wait.await.expect("the wait ends");
    let _ = late.await;
    let log = fs::read_to_string(&stopped.log_path).expect("the host has a log");
    assert!(log.contains(OVERDUE), "{log}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_server_gets_no_new_work() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options =
        FleetOptions { service_time: Duration::from_millis(20), ..FleetOptions::default() };
    let mut fleet = fleet(dir.path(), HOSTS, options).await;
    let callers = Callers::start(&fleet, "katalog", 12, Duration::from_millis(10));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.backends["kat-01"].stats().started;
    assert!(before > 0, "the server is in use");
    let leaving =
        fleet.declaration.replace("[server kat-01]\n", "[server kat-01]\nstate = leaving\n");
    let declared = Instant::now();
    fleet.apply(&leaving).expect("the declaration is accepted");
    let (mut started, mut last) = (before, Duration::ZERO);
    while declared.elapsed() < Duration::from_secs(5) {
        let now = fleet.backends["kat-01"].stats().started;
        if now != started {
            (started, last) = (now, declared.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let counts = callers.finish().await;
    println!("last new work {last:?} after the declaration, bad: {:?}", counts.bad);
    assert!(last < Duration::from_secs(3), "last new work after {last:?}");
    assert!(counts.bad.is_empty(), "no request is refused or cut: {:?}", counts.bad);
}
