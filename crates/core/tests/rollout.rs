//! Rollouts: recorded steps, the share of the new version on each host, stops and the detection of
//! regressions.

#[path = "../examples/sim/mod.rs"]
mod sim;

use std::time::Duration;

use jasminestage_core::{
    control::PeerMsg,
    declaration::{self, Declaration},
    event::Kind,
    host::{HostInfo, Incarnation},
    rollout::{
        Controller, HostRollouts, RequestCounts, RolloutMsg, RolloutPhase, RolloutRecords,
        RolloutStatus, regression::RegressionDetector,
    },
    route::health::Sample,
    time::Instant,
    traffic::Outbox,
    view::{LiveHost, View},
};
use sim::{EPOCH_UNIX_MS, Options, Sim, server::Fault};

const SECOND_MS: u64 = 1000;

fn declared(cap: &str, seconds: u64, has_target: bool) -> Declaration {
    let mut text = "[region r]\n[domain d]\nregion = r\n[route q]\naccess = open\n\
         repeat = idempotent\n[server a]\nroute = q\nversion = v1\ndomain = d\n\
         address = 10.0.0.1:1\nslots = 3\n"
        .to_owned();
    let state = if has_target { "serving" } else { "leaving" };
    text += &format!(
        "[server b]\nroute = q\nversion = v2\ndomain = d\naddress = 10.0.0.1:2\nslots = 9\n\
         state = {state}\n[move m]\nroute = q\nfrom = v1\nto = v2\ncap = {cap}\n\
         start_unix_ms = {EPOCH_UNIX_MS}\nfinish_by_unix_ms = {}\n",
        EPOCH_UNIX_MS + seconds * SECOND_MS
    );
    declaration::parse(&text).expect("the declaration is valid")
}

struct StepCase {
    name: &'static str,
    cap: &'static str,
    seconds: u64,
    /// Whether the server of the new version accepts requests.
    has_target: bool,
    /// Time at which a stop is received, in seconds after the start.
    stop_at: Option<u64>,
    /// Start and end of a store outage, in seconds after the start.
    outage: Option<(u64, u64)>,
    final_state: Option<RolloutPhase>,
    late: bool,
}

const BASE: StepCase = StepCase {
    name: "in time",
    cap: "10%",
    seconds: 120,
    has_target: true,
    stop_at: None,
    outage: None,
    final_state: Some(RolloutPhase::Done),
    late: false,
};

const STEPS: &[StepCase] = &[
    BASE,
    StepCase { name: "a single step", cap: "100%", seconds: 20, ..BASE },
    StepCase { name: "a cap that does not divide 100%", cap: "33%", seconds: 60, ..BASE },
    StepCase {
        name: "too many steps",
        cap: "1%",
        final_state: Some(RolloutPhase::Running),
        late: true,
        ..BASE
    },
    StepCase {
        name: "stopped",
        stop_at: Some(50),
        final_state: Some(RolloutPhase::RolledBack),
        ..BASE
    },
    StepCase {
        name: "stopped at the end",
        stop_at: Some(119),
        final_state: Some(RolloutPhase::RolledBack),
        ..BASE
    },
    StepCase { name: "store outage", outage: Some((20, 60)), ..BASE },
    StepCase {
        name: "stopped in a store outage",
        outage: Some((20, 60)),
        stop_at: Some(30),
        final_state: Some(RolloutPhase::RolledBack),
        ..BASE
    },
    StepCase { name: "no server of the new version", has_target: false, final_state: None, ..BASE },
];

// Guards against steps that exceed the cap, finish after the deadline or leave a wrong version on
// the route after a stop or a store outage.
#[test]
fn steps_follow_the_declared_rollout() {
    for case in STEPS {
        let declaration = declared(case.cap, case.seconds, case.has_target);
        let cap = declaration.rollouts.values().next().expect("a move").cap;
        let mut controller = Controller::default();
        let mut records = RolloutRecords::default();
        let mut events = Vec::new();
        let mut done_at = None;
        for tick in 0..case.seconds * 4 {
            let second = tick / 4;
            if case.stop_at == Some(second) {
                let evidence = "bad".to_owned();
                controller
                    .handle_message(&RolloutMsg::Stopped { rollout: "m".to_owned(), evidence });
            }
            let counts = RequestCounts { ended: tick * 10, ..RequestCounts::default() };
            controller.handle_message(&RolloutMsg::Observed {
                rollout: "m".to_owned(),
                host: Incarnation(1),
                old: counts,
                new: counts,
            });
            let down = case.outage.is_some_and(|(from, to)| (from..to).contains(&second));
            let now = EPOCH_UNIX_MS + tick * SECOND_MS / 4;
            let Some(next) = controller.next_records(now, 0, &declaration, &records, &mut events)
            else {
                continue;
            };
            if down {
                continue;
            }
            let share = |r: &RolloutRecords| r.rollouts.get("m").map_or(0, |r| r.share);
            assert!(share(&next) <= share(&records) + cap, "{}: a step exceeds the cap", case.name);
            records = next;
            if records.rollouts.get("m").is_some_and(|r| r.state == RolloutPhase::Done) {
                done_at.get_or_insert(second);
            }
        }
        let record = records.rollouts.get("m");
        assert_eq!(record.map(|r| r.state), case.final_state, "{}", case.name);
        let version = records.versions.get("q").map(String::as_str);
        let expected = if case.final_state == Some(RolloutPhase::Done) { "v2" } else { "v1" };
        assert_eq!(version, Some(expected), "{}: the route's version", case.name);
        let late = events.iter().any(|e| e.kind == Kind::RolloutLate);
        assert_eq!(late, case.late, "{}: warning about the deadline", case.name);
        if case.final_state == Some(RolloutPhase::Done) {
            assert!(done_at < Some(case.seconds), "{}: done at {done_at:?}", case.name);
        }
    }
}

fn view(declaration: &Declaration, records: &RolloutRecords) -> View {
    let me = HostInfo {
        name: "h".into(),
        domain: "d".into(),
        caller_address: ([127, 0, 0, 1], 80).into(),
        peer_address: ([127, 0, 0, 1], 81).into(),
        incarnation: Incarnation(1),
    };
    View {
        declaration: declaration.clone().into(),
        rollout_records: records.clone().into(),
        ..View::empty(me)
    }
}

fn running(share: u32) -> RolloutRecords {
    let record = RolloutStatus {
        route: "q".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        step: 1,
        share,
        state: RolloutPhase::Running,
        since: EPOCH_UNIX_MS,
        evidence: String::new(),
    };
    RolloutRecords {
        versions: [("q".to_owned(), "v1".to_owned())].into(),
        rollouts: [("m".to_owned(), record)].into(),
    }
}

// Guards against a host that sends more than the recorded share to the new version at any time.
#[test]
fn a_host_keeps_within_the_recorded_share() {
    for share in [10_000, 50_000, 333_333, 1_000_000] {
        let mut rollouts = HostRollouts::default();
        rollouts.install(&view(&declared("10%", 60, true), &running(share)));
        let mut out = Outbox::default();
        let mut new = 0u64;
        for n in 1..=1000u64 {
            let version =
                rollouts.candidate_versions("q").first().cloned().expect("a version serves");
            rollouts.record_request("q", &version, &mut out);
            new += u64::from(version == "v2");
            assert!(new * 1_000_000 <= n * u64::from(share), "{new} of {n} at {share}");
        }
        let wanted = 1000 * u64::from(share) / 1_000_000;
        assert!(new + 1 >= wanted, "{new} of 1000 at {share}");
        assert!(out.events.is_empty(), "no invariant is broken: {:?}", out.events);
    }
}

// Guards against a host that resumes a stopped rollout because a record written before the stop, or
// by a host that had not received it, still shows the rollout as running or done.
#[test]
fn a_stop_is_never_undone_by_a_record() {
    let declaration = declared("10%", 60, true);
    let mut rollouts = HostRollouts::default();
    let mut out = Outbox::default();
    rollouts.install(&view(&declaration, &running(1_000_000)));
    let evidence = "bad".to_owned();
    rollouts.handle_message(&RolloutMsg::Stopped { rollout: "m".to_owned(), evidence }, &mut out);
    let mut done = running(1_000_000);
    done.rollouts.get_mut("m").expect("a record").state = RolloutPhase::Done;
    done.versions.insert("q".to_owned(), "v2".to_owned());
    for records in [running(500_000), done, RolloutRecords::default(), running(1_000_000)] {
        rollouts.install(&view(&declaration, &records));
        assert_eq!(rollouts.candidate_versions("q"), ["v1"], "{records:?}");
        assert!(!rollouts.receives_traffic("q", "v2"), "{records:?}");
    }
}

// Guards against a stop that is lost because its only datagram was lost.
#[test]
fn a_stop_is_sent_until_it_is_recorded() {
    let declaration = declared("10%", 60, true);
    let mut view = view(&declaration, &running(1_000_000));
    let address = |n| ([127, 0, 0, 2], n).into();
    view.hosts = (1..=3)
        .map(|n| LiveHost {
            name: format!("h{n}"),
            domain: "d".to_owned(),
            caller_address: address(80),
            peer_address: address(n),
            incarnation: Incarnation(u64::from(n)),
            accepts_callers: true,
        })
        .collect();
    let mut rollouts = HostRollouts::default();
    rollouts.install(&view);
    let mut out = Outbox::default();
    let took = Duration::from_millis(5);
    for _ in 0..5 {
        rollouts.record_outcome("q", "v2", Sample::Failed, took, false, &mut out);
    }
    let stop_receivers = |out: &mut Outbox| {
        let stops = std::mem::take(&mut out.sends)
            .into_iter()
            .filter(|(_, msg)| matches!(msg, PeerMsg::Rollout(RolloutMsg::Stopped { .. })));
        stops.map(|(to, _)| to.port()).collect::<Vec<_>>()
    };
    assert_eq!(stop_receivers(&mut out), [1, 2, 3], "every host is notified at once");
    rollouts.tick(Instant::from_millis(600), &mut out);
    assert_eq!(
        stop_receivers(&mut out),
        [1, 2, 3],
        "the stop is sent again, as datagrams may be lost"
    );
    let mut records = running(0);
    records.rollouts.get_mut("m").expect("a record").state = RolloutPhase::RolledBack;
    view.rollout_records = records.into();
    rollouts.install(&view);
    rollouts.tick(Instant::from_millis(1200), &mut out);
    assert!(stop_receivers(&mut out).is_empty(), "a recorded stop is not sent");
}

struct DetectionCase {
    name: &'static str,
    /// Every n-th request of the old version fails.
    old_failing: u64,
    /// Every n-th request of the new version fails.
    new_failing: u64,
    requests: u64,
    is_regression: bool,
}

const DETECTIONS: &[DetectionCase] = &[
    DetectionCase {
        name: "good",
        old_failing: 1000,
        new_failing: 1000,
        requests: 5000,
        is_regression: false,
    },
    DetectionCase {
        name: "as bad as the old one",
        old_failing: 10,
        new_failing: 10,
        requests: 2000,
        is_regression: false,
    },
    DetectionCase {
        name: "one in fifty",
        old_failing: 1000,
        new_failing: 50,
        requests: 2000,
        is_regression: false,
    },
    DetectionCase {
        name: "all fail",
        old_failing: 1000,
        new_failing: 1,
        requests: 5,
        is_regression: true,
    },
    DetectionCase {
        name: "every second",
        old_failing: 1000,
        new_failing: 2,
        requests: 14,
        is_regression: true,
    },
    DetectionCase {
        name: "every fifth",
        old_failing: 1000,
        new_failing: 5,
        requests: 60,
        is_regression: true,
    },
    DetectionCase {
        name: "both fail",
        old_failing: 1,
        new_failing: 1,
        requests: 500,
        is_regression: false,
    },
];

// Guards against a regression that is detected too late and against stopping a version that is no
// worse than the old one.
#[test]
fn the_new_version_is_compared_with_the_old_one() {
    for case in DETECTIONS {
        let mut detector = RegressionDetector::default();
        let mut is_regression = false;
        for n in 1..=case.requests {
            for m in 0..10 {
                detector.add_old(&RequestCounts::single(
                    (n * 10 + m).is_multiple_of(case.old_failing),
                    None,
                ));
            }
            is_regression |=
                detector.add_new(&RequestCounts::single(n.is_multiple_of(case.new_failing), None));
        }
        assert_eq!(is_regression, case.is_regression, "{}", case.name);
    }
}

fn fleet(seed: u64, fault: Option<Fault>, has_rollout: bool) -> Sim {
    let mut extra = String::new();
    for (n, domain) in ["r0-0", "r0-1", "r1-0", "r1-1", "r2-0", "r2-1"].iter().enumerate() {
        extra += &format!(
            "[server n{n}]\nroute = q\nversion = v2\ndomain = {domain}\n\
             address = 10.0.0.2:{n}\nslots = 9\n"
        );
    }
    if has_rollout {
        extra += &format!(
            "[move m]\nroute = q\nfrom = v1\nto = v2\ncap = 20%\nstart_unix_ms = {}\n\
             finish_by_unix_ms = {}\n",
            EPOCH_UNIX_MS + 2 * SECOND_MS,
            EPOCH_UNIX_MS + 40 * SECOND_MS
        );
    }
    let cfg = Options { seed, rates: vec![60.0; 3], loss: 0.1, extra, ..Options::default() };
    let mut sim = Sim::new(cfg);
    for server in sim.servers.values_mut().filter(|s| s.version == "v2") {
        server.fault.clone_from(&fault);
    }
    sim
}

fn requests(sim: &Sim, version: &str) -> u64 {
    sim.stats.requests_by_version.get(version).copied().unwrap_or(0)
}

// Guards against traffic to a new version as soon as its servers are declared.
#[test]
fn a_new_version_gets_nothing_without_a_rollout() {
    let mut sim = fleet(1, None, false);
    sim.run(Duration::from_secs(5));
    assert_eq!(requests(&sim, "q v2"), 0);
    assert!(requests(&sim, "q v1") > 500);
}

// Guards against a fleet that exceeds the recorded share because hosts read records at different
// times and messages are lost.
#[test]
fn the_fleet_keeps_within_the_recorded_share() {
    for seed in 1..=3 {
        let mut sim = fleet(seed, None, true);
        for _ in 0..40 {
            sim.run(Duration::from_secs(1));
            let (new, allowed) =
                (requests(&sim, "q v2") as f64, sim.stats.allowed_new_version_requests);
            // Each host may be one request ahead of its share, and requests wait for a slot.
            assert!(new <= allowed + 40.0, "seed {seed}: {new} of {allowed:.0}");
        }
        assert_eq!(sim.stats.count(Kind::InvariantBroken), 0, "seed {seed}");
        assert_eq!(
            sim.records.rollouts["m"].state,
            RolloutPhase::Done,
            "seed {seed}: done in time"
        );
        assert_eq!(
            sim.stats.server_rejections, 0,
            "seed {seed}: no server receives more than its slots"
        );
    }
}

// Guards against a stop that depends on the store: the new version fails while the store is down,
// and the hosts must stop it by messages between them.
#[test]
fn a_fault_in_a_store_outage_stops_the_version_everywhere() {
    for seed in 1..=3 {
        let starts_at = Instant::from_millis(10_000);
        let fault = Fault { starts_at, failing_share: 1.0, ..Fault::default() };
        let mut sim = fleet(seed, Some(fault), true);
        sim.run(Duration::from_secs(8));
        sim.store_up = false;
        let before = sim.records.rollouts["m"].clone();
        sim.run(Duration::from_secs(12));
        assert_eq!(sim.records.rollouts["m"], before, "seed {seed}: no step in the outage");
        let last = sim.stats.last_request_by_version["q v2"].saturating_since(starts_at);
        assert!(
            last < Duration::from_secs(3),
            "seed {seed}: the last request was {last:?} after the fault"
        );
        sim.store_up = true;
        sim.run(Duration::from_secs(5));
        assert_eq!(sim.records.rollouts["m"].state, RolloutPhase::RolledBack, "seed {seed}");
        assert_eq!(sim.stats.count(Kind::InvariantBroken), 0, "seed {seed}");
    }
}
