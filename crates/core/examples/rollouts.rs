//! What a bad version gets and how a good one fares: `cargo run --release --example rollouts`.

mod sim;

use std::time::Duration;

use jasminestage_core::{event::Kind, rollout::RolloutPhase, time::Instant};
use sim::{EPOCH, Options, Sim, server::Fault};

struct Case {
    name: &'static str,
    good: bool,
    fault: fn(Instant) -> Option<Fault>,
}

/// Start of the moves.
const START: Duration = Duration::from_secs(10);
/// Length of the moves.
const SPAN: Duration = Duration::from_secs(120);
const SEEDS: u64 = 10;

const CASES: &[Case] = &[
    Case { name: "good", good: true, fault: |_| None },
    Case {
        name: "bad at once, all fail",
        good: false,
        fault: |_| Some(Fault { failing: 1.0, ..Fault::default() }),
    },
    Case {
        name: "bad at once, 30% fail",
        good: false,
        fault: |_| Some(Fault { failing: 0.3, ..Fault::default() }),
    },
    Case {
        name: "bad later, 50% fail",
        good: false,
        fault: |start| {
            let from = start + Duration::from_secs(40);
            Some(Fault { from, failing: 0.5, ..Fault::default() })
        },
    },
    Case {
        name: "bad under load only",
        good: false,
        fault: |_| Some(Fault { failing: 0.7, from_load: 0.6, ..Fault::default() }),
    },
    Case {
        name: "slow, 5 times",
        good: false,
        fault: |_| Some(Fault { slower: 5.0, ..Fault::default() }),
    },
];

/// Requests per second in each region.
const RATES: &[f64] = &[5.0, 40.0];

/// Two routes, each with a new version; only the one of `q` may be bad.
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
    let start = EPOCH + START.as_millis() as u64;
    let end = start + SPAN.as_millis() as u64;
    for route in ["q", "p"] {
        text += &format!(
            "[move {route}-move]\nroute = {route}\nfrom = v1\nto = v2\ncap = 10%\n\
             start_unix_ms = {start}\nfinish_by_unix_ms = {end}\n"
        );
    }
    text
}

fn main() {
    println!("{SEEDS} seeds; 12 hosts; moves of 120 s in steps of 10%; cold new servers");
    println!("the route q may be bad, the route p is good in every run\n");
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
        for rate in RATES {
            measure(case, *rate);
        }
    }
}

fn measure(case: &Case, rate: f64) {
    let (mut share, mut worst, mut stop, mut worst_stop) = (0.0, 0.0_f64, 0.0, 0.0_f64);
    let (mut back, mut done, mut p_back, mut p_done) = (0, 0, 0, 0);
    for seed in 1..=SEEDS {
        let mut cfg = Options { seed, rates: vec![rate; 3], loss: 0.02, ..Options::default() };
        cfg.routes = vec!["q", "p"];
        cfg.extra = declaration(&cfg);
        let mut sim = Sim::new(cfg);
        let start = Instant::ZERO + START;
        for server in sim.servers.values_mut().filter(|s| s.version == "v2") {
            server.cold = 5;
            if server.route == "q" {
                server.fault = (case.fault)(start);
            }
        }
        sim.run(START + SPAN);
        assert_eq!(sim.stats.count(Kind::InvariantBroken), 0, "{}", case.name);
        let state = |name: &str| sim.records.rollouts.get(name).map(|r| r.state);
        back += u32::from(state("q-move") == Some(RolloutPhase::RolledBack));
        done += u32::from(state("q-move") == Some(RolloutPhase::Done));
        p_done += u32::from(state("p-move") == Some(RolloutPhase::Done));
        p_back += u32::from(state("p-move") == Some(RolloutPhase::RolledBack));
        let count = |version: &str| sim.stats.versions.get(version).copied().unwrap_or(0) as f64;
        let part = count("q v2") / (count("q v1") + count("q v2"));
        share += part;
        worst = worst.max(part);
        let shown = sim.servers.values().filter_map(|s| s.faulted).min();
        if let (Some(shown), Some(last)) = (shown, sim.stats.last_work.get("q v2")) {
            let after = last.saturating_since(shown).as_secs_f64();
            stop += after;
            worst_stop = worst_stop.max(after);
        }
    }
    let seeds = SEEDS as f64;
    let percent = |x: f64| format!("{:.2}%", x * 100.0);
    let stops = if case.good {
        ["-".to_owned(), "-".to_owned()]
    } else {
        [format!("{:.1}", stop / seeds), format!("{worst_stop:.1}")]
    };
    println!(
        "{:<24}{:>9}{:>10}{:>10}{:>10}{:>11}{:>9}{:>9}{:>9}{:>9}",
        case.name,
        rate * 3.0,
        percent(share / seeds),
        percent(worst),
        stops[0],
        stops[1],
        format!("{back}/{SEEDS}"),
        format!("{done}/{SEEDS}"),
        format!("{p_back}/{SEEDS}"),
        format!("{p_done}/{SEEDS}"),
    );
}
