//! Graceful shutdown of hosts and draining of backend servers, on host processes under load.

mod callers;

use std::{
    fs,
    time::{Duration, Instant},
};

use callers::{API_KEY, Callers, start_fleet};
use jasminestage_standins::fleet::FleetOptions;

/// Log message of a shutdown that takes longer than `stop_limit`.
const STOP_OVERDUE_MESSAGE: &str = "The graceful stop took longer than its time limit.";
const HOSTS: &[(&str, &str)] =
    &[("z1", "zurich-1"), ("z2", "zurich-1"), ("z3", "zurich-2"), ("g1", "geneva-1")];

/// Guards against a host that closes its listener or its connections while callers still use
/// look-up results that name it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_fails_no_request() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = FleetOptions {
        service_time: Duration::from_millis(30),
        extra_settings: "[traffic]\nstop_delay = 5 s\n".to_owned(),
        ..FleetOptions::default()
    };
    let mut fleet = start_fleet(dir.path(), HOSTS, options).await;
    let callers = Callers::start(&fleet, "katalog", 12, Duration::from_millis(20));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let started = Instant::now();
    fleet.hosts[0].signal("TERM").expect("the signal is sent");
    let mut stopped = fleet.hosts.remove(0);
    let wait_task = tokio::task::spawn_blocking(move || {
        let status = stopped.wait();
        (stopped, status)
    });
    let (stopped, status) = wait_task.await.expect("the waiting task completes");
    let stop_time = started.elapsed();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let counts = callers.stop().await;
    let log = fs::read_to_string(&stopped.log_path).expect("the host writes a log");
    println!(
        "shutdown took {stop_time:?}, {} succeeded, failures: {:?}",
        counts.succeeded, counts.failures
    );
    assert!(status.expect("the host has exited").success(), "the host exits with code 0: {log}");
    assert!(counts.succeeded > 200, "only {} requests succeeded", counts.succeeded);
    assert!(counts.failures.is_empty(), "requests failed: {:?}", counts.failures);
    assert!(stop_time < Duration::from_secs(20), "shutdown took {stop_time:?}");
    assert!(!log.contains(STOP_OVERDUE_MESSAGE), "the shutdown exceeded its limit: {log}");
}

/// Guards against an overdue shutdown that operators can't see.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_past_its_limit_is_logged() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = FleetOptions {
        service_time: Duration::from_secs(8),
        extra_settings: "[traffic]\nstop_delay = 5 s\nstop_limit = 200 ms\n".to_owned(),
        declaration: callers::SAMPLE_DECLARATION.replace("deadline = 800 ms", "deadline = 10 s"),
        ..FleetOptions::default()
    };
    let mut fleet = start_fleet(dir.path(), &HOSTS[..2], options).await;
    let url = format!("http://{}/v1/routes/katalog/x", fleet.hosts[0].options.caller_address);
    let slow_request = reqwest::Client::new().post(url).bearer_auth(API_KEY).body("slow").send();
    let slow_request = tokio::spawn(slow_request);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.hosts[0].signal("TERM").expect("the signal is sent");
    let mut stopped = fleet.hosts.remove(0);
    let wait_task = tokio::task::spawn_blocking(move || {
        let _ = stopped.wait();
        stopped
    });
    let stopped = wait_task.await.expect("the waiting task completes");
    let _ = slow_request.await;
    let log = fs::read_to_string(&stopped.log_path).expect("the host writes a log");
    assert!(log.contains(STOP_OVERDUE_MESSAGE), "{log}");
}

/// Guards against hosts that keep sending requests to a server after its draining was declared.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_server_receives_no_new_requests() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options =
        FleetOptions { service_time: Duration::from_millis(20), ..FleetOptions::default() };
    let mut fleet = start_fleet(dir.path(), HOSTS, options).await;
    let callers = Callers::start(&fleet, "katalog", 12, Duration::from_millis(10));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.backends["kat-01"].stats().started;
    assert!(before > 0, "the server receives requests");
    let draining =
        fleet.declaration.replace("[server kat-01]\n", "[server kat-01]\nstate = leaving\n");
    let applied = Instant::now();
    fleet.apply(&draining).expect("the declaration is applied");
    let (mut started, mut last_start) = (before, Duration::ZERO);
    while applied.elapsed() < Duration::from_secs(5) {
        let now = fleet.backends["kat-01"].stats().started;
        if now != started {
            (started, last_start) = (now, applied.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let counts = callers.stop().await;
    println!(
        "last request started {last_start:?} after the declaration, failures: {:?}",
        counts.failures
    );
    assert!(last_start < Duration::from_secs(3), "last request started after {last_start:?}");
    assert!(counts.failures.is_empty(), "requests failed: {:?}", counts.failures);
}
