//! Moves of traffic to a new version on host processes: a good version, faulty ones, and a version
//! that fails during a store outage.

mod callers;

use std::{
    fs,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use callers::{Callers, Counts, SAMPLE_DECLARATION, start_fleet};
use jasminestage_platform_standin::store::Fault;
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    process::eventually,
};

const HOSTS: &[(&str, &str)] = &[("z1", "zurich-1"), ("z2", "zurich-2"), ("z3", "zurich-2")];
/// Time from start to finish of the declared moves.
const MOVE_DURATION: Duration = Duration::from_secs(16);

struct Case {
    name: &'static str,
    /// Every n-th request of the new version fails; 0 disables failures.
    fail_every: u32,
    /// Log message of the expected end.
    event: &'static str,
    /// Maximum share of the requests that the new version receives.
    max_percent: usize,
}

const CASES: &[Case] = &[
    Case { name: "good", fail_every: 0, event: "A move is done.", max_percent: 100 },
    Case {
        name: "every request fails",
        fail_every: 1,
        event: "A move was rolled back.",
        max_percent: 5,
    },
    Case {
        name: "every second request fails",
        fail_every: 2,
        event: "A move was rolled back.",
        max_percent: 10,
    },
];

/// The sample declaration with servers of a second version for the route `katalog`.
fn declaration() -> String {
    let raise_limit = |line: &str| match line.split_once(" = ") {
        Some((key @ ("rate" | "burst"), _)) => format!("{key} = 100000\n"),
        _ => format!("{line}\n"),
    };
    let mut text: String = SAMPLE_DECLARATION.lines().map(raise_limit).collect();
    for (n, domain) in ["zurich-1", "zurich-2", "zurich-1", "zurich-2"].iter().enumerate() {
        text += &format!(
            "\n[server new-{n}]\nroute = katalog\nversion = v2\ndomain = {domain}\n\
             address = 127.0.2.{}:8080\nslots = 3\n",
            n + 1
        );
    }
    text
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a date after 1970");
    now.as_millis() as u64
}

/// Declares a move that starts now and shifts at most 20% of the traffic in each step.
fn declare_move(fleet: &mut Fleet) {
    let now = unix_millis();
    let end = now + MOVE_DURATION.as_millis() as u64;
    let text = format!(
        "{}\n[move to-v2]\nroute = katalog\nfrom = v1\nto = v2\ncap = 20%\n\
         start_unix_ms = {now}\nfinish_by_unix_ms = {end}\n",
        fleet.declaration
    );
    fleet.apply(&text).expect("the declaration is applied");
}

/// Whether any log line of a host contains this text.
fn is_logged(fleet: &Fleet, text: &str) -> bool {
    let mut logs = fleet.hosts.iter().map(|h| fs::read_to_string(&h.log_path).unwrap_or_default());
    logs.any(|log| log.contains(text))
}

/// Number of successful responses of the new version.
fn new_version_responses(counts: &Counts) -> usize {
    counts.versions.iter().filter(|(_, v)| v == "v2").count()
}

/// Guards against a move that does not finish, and against a faulty version that keeps its traffic.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn moves_are_completed_or_rolled_back() {
    for case in CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let options = FleetOptions { declaration: declaration(), ..FleetOptions::default() };
        let mut fleet = start_fleet(dir.path(), HOSTS, options).await;
        for (name, backend) in &fleet.backends {
            if name.starts_with("new-") {
                backend.behaviour().fail_every = case.fail_every;
            }
        }
        let callers = Callers::start(&fleet, "katalog", 8, Duration::from_millis(10));
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            new_version_responses(&callers.counts()),
            0,
            "{}: the new version receives requests without a move",
            case.name
        );
        let started = Instant::now();
        declare_move(&mut fleet);
        let is_ended = eventually(MOVE_DURATION, async || is_logged(&fleet, case.event)).await;
        let elapsed = started.elapsed();
        assert!(
            is_ended,
            "{}: '{}' was not logged within {MOVE_DURATION:?}",
            case.name, case.event
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
        let new_version_requests: u64 = fleet
            .backends
            .iter()
            .filter(|(n, _)| n.starts_with("new-"))
            .map(|(_, b)| b.stats().started)
            .sum();
        let counts = callers.stop().await;
        let failed: u64 = counts.failures.values().sum();
        let all = counts.succeeded + failed;
        println!(
            "{}: {new_version_requests} of {all} to the new version, {failed} failed, \
             after {elapsed:?}",
            case.name
        );
        assert!(
            new_version_requests * 100 <= all * case.max_percent as u64,
            "{}: {new_version_requests} of {all}",
            case.name
        );
        let last = counts.versions.last().map(|(_, v)| v.as_str());
        let expected = if case.fail_every == 0 { "v2" } else { "v1" };
        assert_eq!(last, Some(expected), "{}: the version that serves at the end", case.name);
        // Event 90 is a violated invariant.
        assert!(!is_logged(&fleet, "event=90 "), "{}", case.name);
    }
}

/// Guards against a move that goes on during a store outage because the hosts can't record that the
/// new version fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_faulty_version_is_stopped_during_a_store_outage() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = FleetOptions { declaration: declaration(), ..FleetOptions::default() };
    let mut fleet = start_fleet(dir.path(), HOSTS, options).await;
    let callers = Callers::start(&fleet, "katalog", 8, Duration::from_millis(10));
    declare_move(&mut fleet);
    let is_started =
        eventually(MOVE_DURATION, async || new_version_responses(&callers.counts()) > 5).await;
    assert!(is_started, "the new version receives requests");
    fleet.platform.set_fault(Fault::Unavailable);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (_, backend) in fleet.backends.iter().filter(|(n, _)| n.starts_with("new-")) {
        backend.behaviour().fail_every = 1;
    }
    let stop_message = "This host has stopped sending requests to the new version of a move.";
    assert!(
        eventually(MOVE_DURATION, async || is_logged(&fleet, stop_message)).await,
        "the move is not stopped during the outage"
    );
    tokio::time::sleep(Duration::from_secs(1)).await;
    let new_version_requests = |fleet: &Fleet| -> u64 {
        let servers = fleet.backends.iter().filter(|(n, _)| n.starts_with("new-"));
        servers.map(|(_, b)| b.stats().started).sum()
    };
    let before = new_version_requests(&fleet);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(new_version_requests(&fleet), before, "requests started during the store outage");
    fleet.platform.set_fault(Fault::None);
    let is_recorded =
        eventually(MOVE_DURATION, async || is_logged(&fleet, "A move was rolled back.")).await;
    assert!(is_recorded, "the rollback is recorded once the store is available");
    assert_eq!(new_version_requests(&fleet), before, "requests started after the rollback");
    callers.stop().await;
}
