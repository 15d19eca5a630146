//! Compares ways of choosing a backend server: `cargo run --release --example routing`.

mod sim;

use std::time::Duration;

use sim::{Options, Policy, Sim, server::Fault};

struct Case {
    name: &'static str,
    rates: [f64; 3],
    prepare: fn(&mut Sim),
}

const SPAN: Duration = Duration::from_secs(60);
const SEEDS: u64 = 3;

/// A region of 18 slots at 50 ms serves 360 requests a second.
const CASES: &[Case] = &[
    Case { name: "steady load, 70%", rates: [252.0; 3], prepare: |_| {} },
    Case { name: "one slow server, 60%", rates: [216.0; 3], prepare: slow },
    Case { name: "one region at 120%", rates: [432.0, 180.0, 180.0], prepare: |_| {} },
    Case { name: "lying load reports, 60%", rates: [216.0; 3], prepare: lie },
    Case { name: "every region at 120%", rates: [432.0; 3], prepare: |_| {} },
];

const POLICIES: &[Policy] = &[
    Policy::Slots,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
    Policy::LeastReported,
];

fn slow(sim: &mut Sim) {
    sim.server("s0-0-0").fault = Some(Fault { slower: 8.0, ..Fault::default() });
}

/// The slow server says that it is idle, another one that it is full.
fn lie(sim: &mut Sim) {
    slow(sim);
    sim.server("s0-0-0").reported_load = Some(0.0);
    sim.server("s0-0-1").reported_load = Some(1.0);
}

fn main() {
    println!("{SEEDS} seeds of {} s; 3 regions, 12 hosts, 18 servers of 3 slots", SPAN.as_secs());
    for case in CASES {
        println!("\n{}", case.name);
        println!(
            "{:<15}{:>8}{:>8}{:>9}{:>9}{:>9}{:>10}{:>8}",
            "", "p50 ms", "p99 ms", "sheds", "refused", "failed", "headroom", "far"
        );
        for policy in POLICIES {
            measure(case, *policy);
        }
    }
}

fn measure(case: &Case, policy: Policy) {
    let mut all = sim::Stats { headroom: vec![1.0], ..sim::Stats::default() };
    for seed in 1..=SEEDS {
        let mut sim =
            Sim::new(Options { seed, policy, rates: case.rates.to_vec(), ..Options::default() });
        (case.prepare)(&mut sim);
        sim.run(SPAN);
        let broken = sim.stats.count(jasminestage_core::event::Kind::InvariantBroken);
        assert_eq!(broken, 0, "{}: an invariant is broken", case.name);
        all.times.extend(&sim.stats.times);
        all.arrived += sim.stats.arrived;
        all.sheds += sim.stats.sheds;
        all.failed += sim.stats.failed;
        all.overflowed += sim.stats.overflowed;
        for (code, count) in &sim.stats.by_code {
            *all.by_code.entry(*code).or_default() += count;
        }
        let worst = sim.stats.headroom.iter().copied().fold(1.0, f64::min);
        all.headroom[0] = all.headroom[0].min(worst);
    }
    let refused: u64 = all.by_code.iter().filter(|(code, _)| **code != 0).map(|(_, n)| n).sum();
    let arrived = all.arrived as f64;
    let share = |n: u64| format!("{:.2}%", n as f64 * 100.0 / arrived);
    println!(
        "{:<15}{:>8.1}{:>8.1}{:>9}{:>9}{:>9}{:>9.1}%{:>8}",
        format!("{policy:?}"),
        all.quantile(0.5).as_secs_f64() * 1000.0,
        all.quantile(0.99).as_secs_f64() * 1000.0,
        share(all.sheds),
        share(refused),
        share(all.failed),
        all.headroom[0] * 100.0,
        share(all.overflowed),
    );
}
