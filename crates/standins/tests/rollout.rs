//! Moves between versions on real processes: a good one, a bad one, a stop in a store outage.

mod callers;

use std::{
    fs,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use callers::{Callers, Counts, LAGERWERK, fleet};
use jasminestage_platform_standin::store::Fault;
use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    process::eventually,
};

const HOSTS: &[(&str, &str)] = &[("z1", "zurich-1"), ("z2", "zurich-2"), ("z3", "zurich-2")];
/// Length of the declared moves.
const SPAN: Duration = Duration::from_secs(16);

struct Case {
    name: &'static str,
    /// Every n-th request of the new version fails.
    fail_every: u32,
    event: &'static str,
    /// Most of the answers that the new version may have given, in percent.
    most: usize,
}

const CASES: &[Case] = &[
    Case { name: "good", fail_every: 0, event: "A move is done.", most: 100 },
    Case { name: "bad at once", fail_every: 1, event: "A move was taken back.", most: 5 },
    Case { name: "bad by half", fail_every: 2, event: "A move was taken back.", most: 10 },
];

/// The sample with a new version of katalog beside the old one.
fn declaration() -> String {
    let plenty = |line: &str| match line.split_once(" = ") {
        Some((key @ ("rate" | "burst"), _)) => format!("{key} = 100000\n"),
        _ => format!("{line}\n"),
    };
    let mut text: String = LAGERWERK.lines().map(plenty).collect();
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

/// Declares a move of a fifth of the traffic a step, from now.
fn declare_move(fleet: &mut Fleet) {
    let now = unix_millis();
    let end = now + SPAN.as_millis() as u64;
    let text = format!(
        "{}\n[move to-v2]\nroute = katalog\nfrom = v1\nto = v2\ncap = 20%\n\
         start_unix_ms = {now}\nfinish_by_unix_ms = {end}\n",
        fleet.declaration
    );
    fleet.apply(&text).expect("the declaration is accepted");
}

fn logged(fleet: &Fleet, event: &str) -> bool {
    let mut logs = fleet.hosts.iter().map(|h| fs::read_to_string(&h.log).unwrap_or_default());
    logs.any(|log| log.contains(event))
}

fn new_answers(counts: &Counts) -> usize {
    counts.versions.iter().filter(|(_, v)| v == "v2").count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn moves_are_done_or_taken_back() {
    for case in CASES {
        let folder = tempfile::tempdir().expect("a folder for the test");
        let cfg = FleetOptions { declaration: declaration(), ..FleetOptions::default() };
        let mut fleet = fleet(folder.path(), HOSTS, cfg).await;
        for (name, backend) in &fleet.backends {
            if name.starts_with("new-") {
                backend.behaviour().fail_every = case.fail_every;
            }
        }
        let callers = Callers::start(&fleet, "katalog", 8, Duration::from_millis(10));
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(new_answers(&callers.counts()), 0, "{}: nothing without a move", case.name);
        let started = Instant::now();
        declare_move(&mut fleet);
        let ended = eventually(SPAN, async || logged(&fleet, case.event)).await;
        let took = started.elapsed();
        assert!(ended, "{}: '{}' within {SPAN:?}", case.name, case.event);
        tokio::time::sleep(Duration::from_millis(500)).await;
        let new: u64 = fleet
            .backends
            .iter()
            .filter(|(n, _)| n.starts_with("new-"))
            .map(|(_, b)| b.seen().started)
            .sum();
        let counts = callers.finish().await;
        let failed: u64 = counts.bad.values().sum();
        let all = counts.good + failed;
        println!(
            "{}: {new} of {all} to the new version, {failed} failed, after {took:?}",
            case.name
        );
        assert!(new * 100 <= all * case.most as u64, "{}: {new} of {all}", case.name);
        let last = counts.versions.last().map(|(_, v)| v.as_str());
        let expected = if case.fail_every == 0 { "v2" } else { "v1" };
        assert_eq!(last, Some(expected), "{}: the version that serves in the end", case.name);
        assert!(!logged(&fleet, "broken invariant"), "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fault_in_a_store_outage_is_not_hidden() {
    let folder = tempfile::tempdir().expect("a folder for the test");
    let cfg = FleetOptions { declaration: declaration(), ..FleetOptions::default() };
    let mut fleet = fleet(folder.path(), HOSTS, cfg).await;
    let callers = Callers::start(&fleet, "katalog", 8, Duration::from_millis(10));
    declare_move(&mut fleet);
    let begun = eventually(SPAN, async || new_answers(&callers.counts()) > 5).await;
    assert!(begun, "the new version gets its share");
    fleet.platform.set_fault(Fault::Unavailable);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (_, backend) in fleet.backends.iter().filter(|(n, _)| n.starts_with("new-")) {
        backend.behaviour().fail_every = 1;
    }
    let stopped = "This host stops giving requests to the new version of a move.";
    assert!(eventually(SPAN, async || logged(&fleet, stopped)).await, "stopped in the outage");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let new = |fleet: &Fleet| -> u64 {
        let servers = fleet.backends.iter().filter(|(n, _)| n.starts_with("new-"));
        servers.map(|(_, b)| b.seen().started).sum()
    };
    let before = new(&fleet);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(new(&fleet), before, "no new work while the store is down");
    fleet.platform.set_fault(Fault::None);
    let recorded = eventually(SPAN, async || logged(&fleet, "A move was taken back.")).await;
    assert!(recorded, "the record follows when the store is back");
    assert_eq!(new(&fleet), before, "no new work afterwards");
    callers.finish().await;
}
