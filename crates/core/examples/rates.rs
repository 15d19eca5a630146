//! Figures of docs/design/rates.md: refusals within rate, the bound, neighbours and messages.
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

const SECOND: u64 = 1_000_000;
/// Time in which buckets fill before anything is counted.
const WARM_UP: u64 = 30 * SECOND;
const SEED: u64 = 20;
/// Load of a workspace that keeps within its rate, as a multiple of it.
const STEADY: f64 = 0.7;
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

fn fleet(layout: Layout, tenants: &'static [Tenant], policy: Policy) -> Fleet {
    let faults = Faults::default();
    let mut fleet = Fleet::new(FleetOptions { layout, tenants, policy, faults, seed: SEED });
    fleet.run_until(WARM_UP);
    fleet.reset();
    fleet
}

fn loads(tenants: &[Tenant], factor: f64, callers: Callers) -> Vec<Load> {
    let load = |(tenant, t): (usize, &Tenant)| {
        let per_second = f64::from(t.rate) * factor;
        Load { tenant, per_second, callers }
    };
    tenants.iter().enumerate().map(load).collect()
}

/// Share of the requests within rate that were refused, in percent.
fn refused(fleet: &Fleet, tenant: usize) -> f64 {
    let tally = &fleet.tallies[tenant];
    100.0 * tally.ideal_refused as f64 / tally.ideal_admitted.max(1) as f64
}

/// Share of the requests that one central bucket would refuse, in percent.
fn over(fleet: &Fleet, tenant: usize) -> f64 {
    let tally = &fleet.tallies[tenant];
    100.0 * (tally.offered - tally.ideal_admitted) as f64 / tally.offered.max(1) as f64
}

fn worst(fleet: &Fleet) -> f64 {
    (0..fleet.tallies.len()).map(|n| refused(fleet, n)).fold(0.0, f64::max)
}

fn all(fleet: &Fleet) -> f64 {
    let refused: u64 = fleet.tallies.iter().map(|t| t.ideal_refused).sum();
    let within: u64 = fleet.tallies.iter().map(|t| t.ideal_admitted).sum();
    100.0 * refused as f64 / within.max(1) as f64
}

fn wait_ms(fleet: &Fleet, tenant: usize, share: f64) -> f64 {
    let mut waits = fleet.tallies[tenant].waits.clone();
    waits.sort_unstable();
    let at = (waits.len() as f64 * share) as usize;
    waits.get(at.min(waits.len().saturating_sub(1))).map_or(0.0, |w| *w as f64 / 1000.0)
}

fn steady() {
    println!("Refused within rate, in percent, at {STEADY} x rate for 1,200 s, 12 hosts");
    println!(
        "callers     policy               smallest   worst     all  wait p99 ms (smallest)  central bucket refuses (smallest)"
    );
    let smallest = CURRENT_TENANTS.len() - 1;
    for (callers_name, callers) in CALLERS {
        for (name, policy) in POLICIES {
            let mut fleet = fleet(SMALL, CURRENT_TENANTS, *policy);
            let end = fleet.now + 1200 * SECOND;
            run(&mut fleet, &loads(CURRENT_TENANTS, STEADY, *callers), end);
            println!(
                "{callers_name:<11} {name:<20} {:>8.3} {:>7.3} {:>7.3} {:>8.1} {:>8.3}",
                refused(&fleet, smallest),
                worst(&fleet),
                all(&fleet),
                wait_ms(&fleet, smallest, 0.99),
                over(&fleet, smallest)
            );
        }
    }
}

fn death() {
    println!(
        "\nA host dies; refused within rate, in percent, in the 10 s after; mean of all 12 hosts"
    );
    println!("callers     policy               worst workspace     all");
    for (callers_name, callers) in CALLERS {
        for (name, policy) in POLICIES {
            let (mut worst_sum, mut all_sum) = (0.0, 0.0);
            for host in 0..SMALL.hosts() {
                let mut fleet = fleet(SMALL, CURRENT_TENANTS, *policy);
                let loads = loads(CURRENT_TENANTS, STEADY, *callers);
                let end = fleet.now + 10 * SECOND;
                run(&mut fleet, &loads, end);
                fleet.reset();
                fleet.kill(host);
                for _ in 0..100 {
                    fleet.take_over();
                    let end = fleet.now + SECOND / 10;
                    run(&mut fleet, &loads, end);
                }
                worst_sum += worst(&fleet);
                all_sum += all(&fleet);
            }
            let hosts = SMALL.hosts() as f64;
            let (worst, all) = (worst_sum / hosts, all_sum / hosts);
            println!("{callers_name:<11} {name:<20} {worst:>15.3} {all:>7.3}");
        }
    }
}

fn bound() {
    println!("\nMost admitted above rate x window, against the burst, at 5 x rate for 60 s");
    println!("callers     policy               gearbox/300  seilbahn/20  archiv/10  cut: gearbox");
    for (callers_name, callers) in CALLERS {
        for (name, policy) in POLICIES {
            let mut fleet = fleet(SMALL, CURRENT_TENANTS, *policy);
            let end = fleet.now + 60 * SECOND;
            run(&mut fleet, &loads(CURRENT_TENANTS, 5.0, *callers), end);
            let most = |n| fleet.excess(n).max_excess;
            let (large, middle, small) = (most(0), most(5), most(7));
            let mut fleet = self::fleet(SMALL, CURRENT_TENANTS, *policy);
            (0..3).for_each(|domain| fleet.set_partitioned(domain, true));
            let end = fleet.now + 60 * SECOND;
            run(&mut fleet, &loads(CURRENT_TENANTS, 5.0, *callers), end);
            let cut = fleet.excess(0).max_excess;
            println!(
                "{callers_name:<11} {name:<20} {large:>11.1} {middle:>12.1} {small:>10.1} {cut:>13.1}"
            );
        }
    }
}

fn neighbours() {
    println!("\nOne workspace at 5 x its rate (gearbox), the others at {STEADY} x theirs, 120 s");
    println!("gearbox     worst other: refused %   wait p50 ms   wait p99 ms");
    for (name, factor) in [("idle", 0.0), ("5 x rate", 5.0)] {
        let mut fleet = fleet(SMALL, CURRENT_TENANTS, Policy::Homes);
        let mut loads = loads(CURRENT_TENANTS, STEADY, Callers::Steered);
        loads[0].per_second = f64::from(CURRENT_TENANTS[0].rate) * factor;
        loads.retain(|l| l.per_second > 0.0);
        let end = fleet.now + 120 * SECOND;
        run(&mut fleet, &loads, end);
        let others = 1..CURRENT_TENANTS.len();
        let most = |f: &dyn Fn(usize) -> f64| others.clone().map(f).fold(0.0, f64::max);
        println!(
            "{name:<11} {:>22.3} {:>13.2} {:>13.2}",
            most(&|n| refused(&fleet, n)),
            most(&|n| wait_ms(&fleet, n, 0.5)),
            most(&|n| wait_ms(&fleet, n, 0.99))
        );
    }
}

fn many(count: usize) -> &'static [Tenant] {
    let tenants = (0..count).map(|n| {
        let name: &'static str = format!("w{n}").leak();
        let Tenant { rate, burst, .. } = CURRENT_TENANTS[n % CURRENT_TENANTS.len()];
        Tenant { name, rate, burst }
    });
    tenants.collect::<Vec<_>>().leak()
}

fn messages() {
    println!("\nMessages and bytes sent per host and second, 30 s");
    println!("hosts  workspaces  callers     load   messages   bytes (postcard, without the seal)");
    let sizes = [(2, 8), (4, 8), (8, 8), (16, 8), (2, 32), (2, 128)];
    for (domains, workspaces) in sizes {
        let layout = Layout { regions: 3, domains, seats: 2 };
        let tenants = many(workspaces);
        for (callers_name, callers, load) in [
            ("steered", Callers::Steered, STEADY),
            ("evenly", Callers::Even, STEADY),
            ("evenly", Callers::Even, 5.0),
        ] {
            let mut fleet = fleet(layout, tenants, Policy::Homes);
            let end = fleet.now + 30 * SECOND;
            run(&mut fleet, &loads(tenants, load, callers), end);
            let per = (layout.hosts() * 30) as f64;
            println!(
                "{:>5} {workspaces:>11}  {callers_name:<11} {load:>4} {:>10.1} {:>7.0}",
                layout.hosts(),
                fleet.messages as f64 / per,
                fleet.bytes as f64 / per
            );
        }
    }
}

/// The tables by name; without an argument all are printed.
const TABLES: &[(&str, fn())] = &[
    ("steady", steady),
    ("death", death),
    ("bound", bound),
    ("neighbours", neighbours),
    ("messages", messages),
];

fn main() {
    let wanted = std::env::args().nth(1);
    for (name, print) in TABLES {
        if wanted.as_deref().is_none_or(|w| w == *name) {
            print();
        }
    }
}
