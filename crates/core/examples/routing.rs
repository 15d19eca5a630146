//! Compares policies for choosing a backend server.
//!
//! `cargo run --release -p jasminestage-core --example routing`

mod sim;

use std::time::Duration;

use sim::{Options, Policy, Sim, server::Fault};

struct Case {
    name: &'static str,
    /// Requests per second in each region.
    rates: [f64; 3],
    set_up: fn(&mut Sim),
}

const RUN_LENGTH: Duration = Duration::from_secs(60);
const SEEDS: u64 = 3;

/// The rates are shares of 360 requests per second, the capacity of a region with 18 slots and a
/// service time of 50 ms.
const CASES: &[Case] = &[
    Case { name: "steady load, 70%", rates: [252.0; 3], set_up: |_| {} },
    Case { name: "one slow server, 60%", rates: [216.0; 3], set_up: slow_down_server },
    Case { name: "one region at 120%", rates: [432.0, 180.0, 180.0], set_up: |_| {} },
    Case { name: "false load reports, 60%", rates: [216.0; 3], set_up: report_false_loads },
    Case { name: "every region at 120%", rates: [432.0; 3], set_up: |_| {} },
];

const POLICIES: &[Policy] = &[
    Policy::Slots,
    Policy::RoundRobin,
    Policy::LeastInFlight,
    Policy::TwoChoices,
    Policy::LeastReported,
];

fn slow_down_server(sim: &mut Sim) {
    sim.server("s0-0-0").fault = Some(Fault { slowdown: 8.0, ..Fault::default() });
}

/// A slow server reports that it is idle, and another one that it is fully loaded.
fn report_false_loads(sim: &mut Sim) {
    slow_down_server(sim);
    sim.server("s0-0-0").load_override = Some(0.0);
    sim.server("s0-0-1").load_override = Some(1.0);
}

fn main() {
    println!(
        "{SEEDS} seeds of {} s; 3 regions, 12 hosts, 18 servers of 3 slots",
        RUN_LENGTH.as_secs()
    );
    for case in CASES {
        println!("\n{}", case.name);
        println!(
            "{:<15}{:>8}{:>8}{:>9}{:>9}{:>9}{:>10}{:>8}",
            "", "p50 ms", "p99 ms", "sheds", "refused", "failed", "headroom", "far"
        );
        for policy in POLICIES {
            run_case(case, *policy);
        }
    }
}

fn run_case(case: &Case, policy: Policy) {
    let mut totals = sim::Stats { min_headroom: vec![1.0], ..sim::Stats::default() };
    for seed in 1..=SEEDS {
        let mut sim =
            Sim::new(Options { seed, policy, rates: case.rates.to_vec(), ..Options::default() });
        (case.set_up)(&mut sim);
        sim.run(RUN_LENGTH);
        let violations = sim.stats.count(jasminestage_core::event::Kind::InvariantBroken);
        assert_eq!(violations, 0, "{}: an invariant was violated", case.name);
        totals.latencies_us.extend(&sim.stats.latencies_us);
        totals.arrivals += sim.stats.arrivals;
        totals.server_rejections += sim.stats.server_rejections;
        totals.failed += sim.stats.failed;
        totals.cross_region_requests += sim.stats.cross_region_requests;
        for (code, count) in &sim.stats.count_by_code {
            *totals.count_by_code.entry(*code).or_default() += count;
        }
        let lowest_headroom = sim.stats.min_headroom.iter().copied().fold(1.0, f64::min);
        totals.min_headroom[0] = totals.min_headroom[0].min(lowest_headroom);
    }
    let refused: u64 =
        totals.count_by_code.iter().filter(|(code, _)| **code != 0).map(|(_, n)| n).sum();
    let arrivals = totals.arrivals as f64;
    let format_share = |n: u64| format!("{:.2}%", n as f64 * 100.0 / arrivals);
    println!(
        "{:<15}{:>8.1}{:>8.1}{:>9}{:>9}{:>9}{:>9.1}%{:>8}",
        format!("{policy:?}"),
        totals.quantile(0.5).as_secs_f64() * 1000.0,
        totals.quantile(0.99).as_secs_f64() * 1000.0,
        format_share(totals.server_rejections),
        format_share(refused),
        format_share(totals.failed),
        totals.min_headroom[0] * 100.0,
        format_share(totals.cross_region_requests),
    );
}
