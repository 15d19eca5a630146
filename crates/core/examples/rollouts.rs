//! Measures which share of the requests a faulty new version receives, how soon it is stopped, and
//! how often a rollout is completed or rolled back.
//!
//! `cargo run --release -p jasminestage-core --example rollouts`

mod sim;

use std::time::Duration;

use jasminestage_core::{event::Kind, rollout::RolloutPhase, time::Instant};
use sim::{EPOCH_UNIX_MS, Options, Sim, server::Fault};

struct Case {
    name: &'static str,
    /// Whether the new version has no fault.
    is_good: bool,
    fault: fn(Instant) -> Option<Fault>,
}

/// Start of the rollouts after the start of the simulation.
const ROLLOUT_START: Duration = Duration::from_secs(10);
/// Time from the start to the planned end of the rollouts.
const ROLLOUT_LENGTH: Duration = Duration::from_secs(120);
const SEEDS: u64 = 10;

const CASES: &[Case] = &[
    Case { name: "good", is_good: true, fault: |_| None },
    Case {
        name: "faulty at once, all fail",
        is_good: false,
        fault: |_| Some(Fault { failing_share: 1.0, ..Fault::default() }),
    },
    Case {
        name: "faulty at once, 30% fail",
        is_good: false,
        fault: |_| Some(Fault { failing_share: 0.3, ..Fault::default() }),
    },
    Case {
        name: "faulty later, 50% fail",
        is_good: false,
        fault: |start| {
            let starts_at = start + Duration::from_secs(40);
            Some(Fault { starts_at, failing_share: 0.5, ..Fault::default() })
        },
    },
    Case {
        name: "faulty under load only",
        is_good: false,
        fault: |_| Some(Fault { failing_share: 0.7, min_load: 0.6, ..Fault::default() }),
    },
    Case {
        name: "slow, 5 times",
        is_good: false,
        fault: |_| Some(Fault { slowdown: 5.0, ..Fault::default() }),
    },
];

/// Requests per second in each region; every case is run with each of these rates.
const REGION_RATES: &[f64] = &[5.0, 40.0];

/// Sections for two routes with a rollout each; only the new version of `q` may have a fault.
fn declaration(cfg: &Options) -> String {
    let mut text = "[route p]\naccess = open\nrepeat = idempotent\ndeadline = 800 ms\n".to_owned();
    let mut port = 1000;
    for (route, version) in [("q", "v2"), ("p", "v1"), ("p", "v2")] {
        for domain in (0..cfg.regions).flat_map(|r| [(r, 0), (r, 1)]) {
            for n in 0..cfg.servers_per_domain {
                text += &format!(
                    "[server {route}{version}-{}-{}-{n}]\nroute = {route}\nversion = {version}\n\
                     domain = r{}-{}\naddress = 10.0.0.1:{port}\nslots = {}\n",
                    domain.0, domain.1, domain.0, domain.1, cfg.slots
                );
                port += 1;
            }
        }
    }
    let start = EPOCH_UNIX_MS + ROLLOUT_START.as_millis() as u64;
    let finish_by = start + ROLLOUT_LENGTH.as_millis() as u64;
    for route in ["q", "p"] {
        text += &format!(
            "[move {route}-move]\nroute = {route}\nfrom = v1\nto = v2\ncap = 10%\n\
             start_unix_ms = {start}\nfinish_by_unix_ms = {finish_by}\n"
        );
    }
    text
}

fn main() {
    println!("{SEEDS} seeds; 12 hosts; rollouts of 120 s in steps of 10%; cold new servers");
    println!("the new version of q may have a fault, that of p has none\n");
    println!(
        "{:<24}{:>9}{:>10}{:>10}{:>10}{:>11}{:>9}{:>9}{:>9}{:>9}",
        "version of q",
        "q+p r/s",
        "share",
        "worst",
        "stop s",
        "worst s",
        "q back",
        "q done",
        "p back",
        "p done"
    );
    for case in CASES {
        for region_rate in REGION_RATES {
            run_case(case, *region_rate);
        }
    }
}

fn run_case(case: &Case, region_rate: f64) {
    let (mut share_sum, mut max_share, mut stop_sum_s, mut max_stop_s) =
        (0.0, 0.0_f64, 0.0, 0.0_f64);
    let (mut q_rolled_back, mut q_done, mut p_rolled_back, mut p_done) = (0, 0, 0, 0);
    for seed in 1..=SEEDS {
        let mut cfg =
            Options { seed, rates: vec![region_rate; 3], loss: 0.02, ..Options::default() };
        cfg.routes = vec!["q", "p"];
        cfg.extra = declaration(&cfg);
        let mut sim = Sim::new(cfg);
        let start = Instant::ZERO + ROLLOUT_START;
        for server in sim.servers.values_mut().filter(|s| s.version == "v2") {
            server.cold_requests = 5;
            if server.route == "q" {
                server.fault = (case.fault)(start);
            }
        }
        sim.run(ROLLOUT_START + ROLLOUT_LENGTH);
        assert_eq!(sim.stats.count(Kind::InvariantBroken), 0, "{}", case.name);
        let state = |name: &str| sim.records.rollouts.get(name).map(|r| r.state);
        q_rolled_back += u32::from(state("q-move") == Some(RolloutPhase::RolledBack));
        q_done += u32::from(state("q-move") == Some(RolloutPhase::Done));
        p_done += u32::from(state("p-move") == Some(RolloutPhase::Done));
        p_rolled_back += u32::from(state("p-move") == Some(RolloutPhase::RolledBack));
        let request_count =
            |version: &str| sim.stats.requests_by_version.get(version).copied().unwrap_or(0) as f64;
        let new_version_share =
            request_count("q v2") / (request_count("q v1") + request_count("q v2"));
        share_sum += new_version_share;
        max_share = max_share.max(new_version_share);
        let faulted_at = sim.servers.values().filter_map(|s| s.faulted_at).min();
        if let (Some(faulted_at), Some(last_request_at)) =
            (faulted_at, sim.stats.last_request_by_version.get("q v2"))
        {
            let stop_s = last_request_at.saturating_since(faulted_at).as_secs_f64();
            stop_sum_s += stop_s;
            max_stop_s = max_stop_s.max(stop_s);
        }
    }
    let seed_count = SEEDS as f64;
    let format_percent = |x: f64| format!("{:.2}%", x * 100.0);
    let stop_times = if case.is_good {
        ["-".to_owned(), "-".to_owned()]
    } else {
        [format!("{:.1}", stop_sum_s / seed_count), format!("{max_stop_s:.1}")]
    };
    println!(
        "{:<24}{:>9}{:>10}{:>10}{:>10}{:>11}{:>9}{:>9}{:>9}{:>9}",
        case.name,
        region_rate * 3.0,
        format_percent(share_sum / seed_count),
        format_percent(max_share),
        stop_times[0],
        stop_times[1],
        format!("{q_rolled_back}/{SEEDS}"),
        format!("{q_done}/{SEEDS}"),
        format!("{p_rolled_back}/{SEEDS}"),
        format!("{p_done}/{SEEDS}"),
    );
}
