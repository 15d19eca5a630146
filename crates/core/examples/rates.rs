//! Measurements for docs/design/rates.md: refusals within the rate, admissions above the rate, the
//! effect of one workspace on the others, and messages between hosts.
//!
//! `cargo run --release -p jasminestage-core --example rates [-- TABLE]`

#[path = "../tests/rate_fleet/mod.rs"]
mod rate_fleet;

use rate_fleet::{
    fleet::{Faults, Fleet, FleetOptions},
    layout::{CURRENT_TENANTS, Layout, SMALL, Tenant},
    load::{Callers, Load, run},
    policy::Policy,
};

const SECOND_US: u64 = 1_000_000;
/// Time before the measurement, in which the buckets fill.
const WARM_UP_US: u64 = 30 * SECOND_US;
const SEED: u64 = 20;
/// Load of a workspace that stays within its rate, as a multiple of the rate.
const STEADY_LOAD: f64 = 0.7;
const POLICIES: &[(&str, Policy)] = &[
    ("homes", Policy::Homes),
    ("static split", Policy::StaticSplit),
    ("split by live hosts", Policy::LiveSplit),
];
const CALLERS: &[(&str, Callers)] = &[
    ("evenly", Callers::Even),
    ("one host", Callers::OneHost),
    ("one region", Callers::OneRegion),
    ("steered", Callers::Steered),
];

/// Creates a fleet and runs it without load for `WARM_UP_US`.
fn warmed_up_fleet(layout: Layout, tenants: &'static [Tenant], policy: Policy) -> Fleet {
    let faults = Faults::default();
    let mut fleet = Fleet::new(FleetOptions { layout, tenants, policy, faults, seed: SEED });
    fleet.run_until(WARM_UP_US);
    fleet.reset();
    fleet
}

fn workspace_loads(tenants: &[Tenant], factor: f64, callers: Callers) -> Vec<Load> {
    let load = |(tenant, t): (usize, &Tenant)| {
        let per_second = f64::from(t.rate) * factor;
        Load { tenant, per_second, callers }
    };
    tenants.iter().enumerate().map(load).collect()
}

/// Refused share of the requests within the rate, in percent.
fn refused_percent(fleet: &Fleet, tenant: usize) -> f64 {
    let tally = &fleet.tallies[tenant];
    100.0 * tally.ideal_refused as f64 / tally.ideal_admitted.max(1) as f64
}

/// Share of the requests that a single central bucket would refuse, in percent.
fn above_rate_percent(fleet: &Fleet, tenant: usize) -> f64 {
    let tally = &fleet.tallies[tenant];
    100.0 * (tally.offered - tally.ideal_admitted) as f64 / tally.offered.max(1) as f64
}

fn max_refused_percent(fleet: &Fleet) -> f64 {
    (0..fleet.tallies.len()).map(|n| refused_percent(fleet, n)).fold(0.0, f64::max)
}

fn total_refused_percent(fleet: &Fleet) -> f64 {
    let refused: u64 = fleet.tallies.iter().map(|t| t.ideal_refused).sum();
    let within: u64 = fleet.tallies.iter().map(|t| t.ideal_admitted).sum();
    100.0 * refused as f64 / within.max(1) as f64
}

fn wait_quantile_ms(fleet: &Fleet, tenant: usize, quantile: f64) -> f64 {
    let mut waits = fleet.tallies[tenant].waits.clone();
    waits.sort_unstable();
    let at = (waits.len() as f64 * quantile) as usize;
    waits.get(at.min(waits.len().saturating_sub(1))).map_or(0.0, |w| *w as f64 / 1000.0)
}

fn steady_load() {
    println!("Refused within rate, in percent, at {STEADY_LOAD} x rate for 1,200 s, 12 hosts");
    println!(
        "callers     policy               smallest   worst     all  wait p99 ms (smallest)  central bucket refuses (smallest)"
    );
    let smallest = CURRENT_TENANTS.len() - 1;
    for (callers_name, callers) in CALLERS {
        for (name, policy) in POLICIES {
            let mut fleet = warmed_up_fleet(SMALL, CURRENT_TENANTS, *policy);
            let end = fleet.now + 1200 * SECOND_US;
            run(&mut fleet, &workspace_loads(CURRENT_TENANTS, STEADY_LOAD, *callers), end);
            println!(
                "{callers_name:<11} {name:<20} {:>8.3} {:>7.3} {:>7.3} {:>8.1} {:>8.3}",
                refused_percent(&fleet, smallest),
                max_refused_percent(&fleet),
                total_refused_percent(&fleet),
                wait_quantile_ms(&fleet, smallest, 0.99),
                above_rate_percent(&fleet, smallest)
            );
        }
    }
}

fn host_failure() {
    println!(
        "\nA host fails; refused within rate, in percent, in the 10 s after; mean of all 12 hosts"
    );
    println!("callers     policy               worst workspace     all");
    for (callers_name, callers) in CALLERS {
        for (name, policy) in POLICIES {
            let (mut max_refused_sum, mut total_refused_sum) = (0.0, 0.0);
            for host in 0..SMALL.hosts() {
                let mut fleet = warmed_up_fleet(SMALL, CURRENT_TENANTS, *policy);
                let loads = workspace_loads(CURRENT_TENANTS, STEADY_LOAD, *callers);
                let end = fleet.now + 10 * SECOND_US;
                run(&mut fleet, &loads, end);
                fleet.reset();
                fleet.kill(host);
                for _ in 0..100 {
                    fleet.take_over();
                    let end = fleet.now + SECOND_US / 10;
                    run(&mut fleet, &loads, end);
                }
                max_refused_sum += max_refused_percent(&fleet);
                total_refused_sum += total_refused_percent(&fleet);
            }
            let hosts = SMALL.hosts() as f64;
            let (mean_max, mean_total) = (max_refused_sum / hosts, total_refused_sum / hosts);
            println!("{callers_name:<11} {name:<20} {mean_max:>15.3} {mean_total:>7.3}");
        }
    }
}

fn excess_over_rate() {
    println!(
        "\nMost admitted above rate x window, against the burst, at 5 x rate for 60 s; last column: gearbox with three partitioned failure domains"
    );
    println!("callers     policy               gearbox/300  seilbahn/20  archiv/10   partitioned");
    for (callers_name, callers) in CALLERS {
        for (name, policy) in POLICIES {
            let mut fleet = warmed_up_fleet(SMALL, CURRENT_TENANTS, *policy);
            let end = fleet.now + 60 * SECOND_US;
            run(&mut fleet, &workspace_loads(CURRENT_TENANTS, 5.0, *callers), end);
            let max_excess = |n| fleet.excess(n).max_excess;
            let (large, middle, small) = (max_excess(0), max_excess(5), max_excess(7));
            let mut fleet = self::warmed_up_fleet(SMALL, CURRENT_TENANTS, *policy);
            (0..3).for_each(|domain| fleet.set_partitioned(domain, true));
            let end = fleet.now + 60 * SECOND_US;
            run(&mut fleet, &workspace_loads(CURRENT_TENANTS, 5.0, *callers), end);
            let partitioned = fleet.excess(0).max_excess;
            println!(
                "{callers_name:<11} {name:<20} {large:>11.1} {middle:>12.1} {small:>10.1} {partitioned:>13.1}"
            );
        }
    }
}

fn other_workspaces() {
    println!(
        "\nOne workspace at 5 x its rate (gearbox), the others at {STEADY_LOAD} x theirs, 120 s"
    );
    println!("gearbox     worst other: refused %   wait p50 ms   wait p99 ms");
    for (name, factor) in [("idle", 0.0), ("5 x rate", 5.0)] {
        let mut fleet = warmed_up_fleet(SMALL, CURRENT_TENANTS, Policy::Homes);
        let mut loads = workspace_loads(CURRENT_TENANTS, STEADY_LOAD, Callers::Steered);
        loads[0].per_second = f64::from(CURRENT_TENANTS[0].rate) * factor;
        loads.retain(|l| l.per_second > 0.0);
        let end = fleet.now + 120 * SECOND_US;
        run(&mut fleet, &loads, end);
        let others = 1..CURRENT_TENANTS.len();
        let max_of_others = |f: &dyn Fn(usize) -> f64| others.clone().map(f).fold(0.0, f64::max);
        println!(
            "{name:<11} {:>22.3} {:>13.2} {:>13.2}",
            max_of_others(&|n| refused_percent(&fleet, n)),
            max_of_others(&|n| wait_quantile_ms(&fleet, n, 0.5)),
            max_of_others(&|n| wait_quantile_ms(&fleet, n, 0.99))
        );
    }
}

fn repeat_tenants(count: usize) -> &'static [Tenant] {
    let tenants = (0..count).map(|n| {
        let name: &'static str = format!("w{n}").leak();
        let Tenant { rate, burst, .. } = CURRENT_TENANTS[n % CURRENT_TENANTS.len()];
        Tenant { name, rate, burst }
    });
    tenants.collect::<Vec<_>>().leak()
}

fn message_rates() {
    println!("\nMessages and bytes sent per host and second, 30 s");
    println!(
        "hosts  workspaces  callers     load   messages   bytes (postcard, without frame header and MAC)"
    );
    let sizes = [(2, 8), (4, 8), (8, 8), (16, 8), (2, 32), (2, 128)];
    for (domains, workspaces) in sizes {
        let layout = Layout { regions: 3, domains, seats: 2 };
        let tenants = repeat_tenants(workspaces);
        for (callers_name, callers, load) in [
            ("steered", Callers::Steered, STEADY_LOAD),
            ("evenly", Callers::Even, STEADY_LOAD),
            ("evenly", Callers::Even, 5.0),
        ] {
            let mut fleet = warmed_up_fleet(layout, tenants, Policy::Homes);
            let end = fleet.now + 30 * SECOND_US;
            run(&mut fleet, &workspace_loads(tenants, load, callers), end);
            let host_seconds = (layout.hosts() * 30) as f64;
            println!(
                "{:>5} {workspaces:>11}  {callers_name:<11} {load:>4} {:>10.1} {:>7.0}",
                layout.hosts(),
                fleet.messages as f64 / host_seconds,
                fleet.bytes as f64 / host_seconds
            );
        }
    }
}

/// Tables by name; without an argument all of them are printed.
const TABLES: &[(&str, fn())] = &[
    ("steady", steady_load),
    ("host-failure", host_failure),
    ("bound", excess_over_rate),
    ("neighbours", other_workspaces),
    ("messages", message_rates),
];

fn main() {
    let selected = std::env::args().nth(1);
    for (name, print) in TABLES {
        if selected.as_deref().is_none_or(|w| w == *name) {
            print();
        }
    }
}
