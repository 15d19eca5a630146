//! Concurrency limits of backend servers under load through several host processes.

mod callers;

use std::time::Duration;

use callers::{Callers, start_fleet};
use jasminestage_standins::fleet::FleetOptions;

const HOSTS: &[(&str, &str)] =
    &[("z1", "zurich-1"), ("z2", "zurich-1"), ("z3", "zurich-2"), ("z4", "zurich-2")];

struct Case {
    name: &'static str,
    callers: usize,
    /// Whether servers report a false load and health.
    false_reports: bool,
    /// Whether all requests are expected to succeed.
    all_succeed: bool,
}

const CASES: &[Case] = &[
    Case { name: "busy", callers: 10, false_reports: false, all_succeed: true },
    Case { name: "false reports", callers: 10, false_reports: true, all_succeed: true },
    Case { name: "more callers than slots", callers: 60, false_reports: false, all_succeed: false },
];

/// Guards against hosts that each keep to a server's slots but exceed them together, and against
/// hosts that trust a server's own report more than the slots and their own measurements.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_server_receives_more_requests_than_its_slots() {
    for case in CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let service_time = Duration::from_millis(40);
        let options = FleetOptions { service_time, ..FleetOptions::default() };
        let fleet = start_fleet(dir.path(), HOSTS, options).await;
        if case.false_reports {
            for backend in fleet.backends.values() {
                backend.behaviour().reported_load = Some(100);
                backend.behaviour().reported_healthy = false;
            }
        }
        let callers = Callers::start(&fleet, "katalog", case.callers, Duration::from_millis(5));
        tokio::time::sleep(Duration::from_secs(3)).await;
        let counts = callers.stop().await;
        let shed: u64 = fleet.backends.values().map(|b| b.stats().shed).sum();
        println!(
            "{}: {} succeeded, {} failed, {shed} shed",
            case.name,
            counts.succeeded,
            counts.failures.values().sum::<u64>()
        );
        assert_eq!(shed, 0, "{}: a server received more requests than its slots", case.name);
        assert!(
            counts.succeeded > 300,
            "{}: only {} requests succeeded",
            case.name,
            counts.succeeded
        );
        if case.all_succeed {
            assert!(counts.failures.is_empty(), "{}: {:?}", case.name, counts.failures);
        }
    }
}
