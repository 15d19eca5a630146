//! Slots of backend servers under load through several hosts, as real processes.

mod callers;

use std::time::Duration;

use callers::{Callers, fleet};
use jasminestage_standins::fleet::FleetOptions;

const HOSTS: &[(&str, &str)] =
    &[("z1", "zurich-1"), ("z2", "zurich-1"), ("z3", "zurich-2"), ("z4", "zurich-2")];

struct Case {
    name: &'static str,
    callers: usize,
    /// Whether servers report a load and health that is not so.
    lying: bool,
    /// Whether all requests are answered.
    all_good: bool,
}

const CASES: &[Case] = &[
    Case { name: "busy", callers: 10, lying: false, all_good: true },
    Case { name: "lying reports", callers: 10, lying: true, all_good: true },
    Case { name: "more callers than slots", callers: 60, lying: false, all_good: false },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_server_is_given_more_than_its_slots() {
    for case in CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let service_time = Duration::from_millis(40);
        let options = FleetOptions { service_time, ..FleetOptions::default() };
        let fleet = fleet(dir.path(), HOSTS, options).await;
        if case.lying {
            for backend in fleet.backends.values() {
                backend.behaviour().reported_load = Some(100);
                backend.behaviour().reported_healthy = false;
            }
        }
        let callers = Callers::start(&fleet, "katalog", case.callers, Duration::from_millis(5));
        tokio::time::sleep(Duration::from_secs(3)).await;
        let counts = callers.finish().await;
        let shed: u64 = fleet.backends.values().map(|b| b.stats().shed).sum();
        println!(
            "{}: {} good, {} bad, {shed} shed",
            case.name,
            counts.good,
            counts.bad.values().sum::<u64>()
        );
        assert_eq!(shed, 0, "{}: all hosts together stay within the slots", case.name);
        assert!(counts.good > 300, "{}: {} good answers", case.name, counts.good);
        if case.all_good {
            assert!(counts.bad.is_empty(), "{}: {:?}", case.name, counts.bad);
        }
    }
}
