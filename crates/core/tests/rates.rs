//! The fleet as a whole must not admit more than a workspace's rate and burst in any window of time.
//!
//! Guards against tokens that are counted twice when messages are lost, duplicated or late, hosts
//! are paused or replaced, failure domains are partitioned, or limits change. The simulation injects
//! these faults at random.

mod rate_fleet;

use jasminestage_core::declaration::Declaration;
use rand::{RngExt, seq::IndexedRandom};
use rate_fleet::{
    fleet::{Faults, Fleet, FleetOptions},
    layout::{Layout, SMALL, Tenant, declare},
    load::{Callers, Load, run},
    policy::Policy,
};

/// Virtual time between two injections of faults, in microseconds.
const STEP_MICROS: u64 = 200_000;
const SECOND_MICROS: u64 = 1_000_000;
/// Environment variable with the range of seeds of a longer run, `from..to`.
const SEEDS_VARIABLE: &str = "RATES_SEEDS";

const TENANTS: &[Tenant] = &[
    Tenant { name: "large", rate: 100, burst: 200 },
    Tenant { name: "steep", rate: 100, burst: 10 },
    Tenant { name: "middle", rate: 20, burst: 20 },
    Tenant { name: "small", rate: 5, burst: 10 },
    Tenant { name: "smallest", rate: 1, burst: 1 },
];

struct Case {
    name: &'static str,
    faults: Faults,
    /// Probability of a pause in one step; the next three are those of a kill, a partition and changed
    /// limits.
    pause_chance: f64,
    kill_chance: f64,
    partition_chance: f64,
    apply_chance: f64,
    /// Whether limits may change again before the last change is accepted.
    overlapping_changes: bool,
    /// Load of each workspace as a multiple of its rate.
    load: f64,
    callers: Callers,
}

const NO_FAULTS: Case = Case {
    name: "no faults",
    faults: Faults { loss: 0.0, duplication: 0.0, delay: 0 },
    pause_chance: 0.0,
    kill_chance: 0.0,
    partition_chance: 0.0,
    apply_chance: 0.0,
    overlapping_changes: false,
    load: 1.0,
    callers: Callers::Shifting,
};
const BAD_LINKS: Faults = Faults { loss: 0.2, duplication: 0.2, delay: 600_000 };

const CASES: &[Case] = &[
    NO_FAULTS,
    Case { name: "callers spread evenly", callers: Callers::Even, ..NO_FAULTS },
    Case { name: "all requests to one host", callers: Callers::OneHost, ..NO_FAULTS },
    Case { name: "messages lost, duplicated, late and reordered", faults: BAD_LINKS, ..NO_FAULTS },
    Case {
        name: "messages lost, duplicated and late, all requests to one host",
        faults: Faults { delay: 20_000, ..BAD_LINKS },
        callers: Callers::OneHost,
        ..NO_FAULTS
    },
    Case { name: "hosts paused", pause_chance: 0.3, ..NO_FAULTS },
    Case {
        name: "hosts killed and replaced",
        kill_chance: 0.05,
        callers: Callers::OneRegion,
        ..NO_FAULTS
    },
    Case { name: "failure domains partitioned", partition_chance: 0.1, ..NO_FAULTS },
    Case { name: "limits changed", apply_chance: 0.1, ..NO_FAULTS },
    Case {
        name: "limits changed before they are accepted",
        apply_chance: 0.3,
        overlapping_changes: true,
        ..NO_FAULTS
    },
    Case {
        name: "limits changed, hosts paused",
        apply_chance: 0.3,
        overlapping_changes: true,
        pause_chance: 0.3,
        ..NO_FAULTS
    },
    Case {
        name: "all faults together",
        faults: Faults { delay: 30_000, ..BAD_LINKS },
        pause_chance: 0.1,
        kill_chance: 0.03,
        partition_chance: 0.05,
        apply_chance: 0.1,
        overlapping_changes: true,
        load: 1.0,
        callers: Callers::Steered,
    },
];

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var(SEEDS_VARIABLE).ok();
    let range = given.as_deref().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    range.unwrap_or(1..3)
}

fn fleet(faults: Faults, seed: u64) -> Fleet {
    let policy = Policy::Homes;
    Fleet::new(FleetOptions { layout: SMALL, tenants: TENANTS, policy, faults, seed })
}

/// Injects faults at random, and lets replacements take over seats.
fn inject_fault(fleet: &mut Fleet, case: &Case) {
    let serving = fleet.serving();
    let host = *serving.choose(&mut fleet.rng).expect("a host serves");
    let span = fleet.rng.random_range(10_000..6 * SECOND_MICROS);
    if fleet.rng.random_bool(case.pause_chance) && serving.len() > 6 {
        fleet.pause(host, span);
    }
    if fleet.rng.random_bool(case.kill_chance) && serving.len() > 8 {
        fleet.kill(host);
    }
    if fleet.rng.random_bool(case.partition_chance) {
        let domain = fleet.domain_of(host);
        fleet.set_partitioned(domain, true);
    }
    if fleet.rng.random_bool(0.1) {
        (0..6).for_each(|domain| fleet.set_partitioned(domain, false));
    }
    if fleet.rng.random_bool(case.apply_chance) && (case.overlapping_changes || fleet.is_settled())
    {
        let changed: Vec<Tenant> = TENANTS.iter().map(|t| changed_limits(fleet, *t)).collect();
        fleet.apply(&changed);
    }
    fleet.take_over();
}

/// The workspace with another burst, which gives it other homes, and sometimes another rate.
fn changed_limits(fleet: &mut Fleet, tenant: Tenant) -> Tenant {
    let mut divide = |n: u32, factors: &[u32]| {
        let factor = factors.choose(&mut fleet.rng).expect("there are factors");
        (n / factor).max(1)
    };
    let burst = divide(tenant.burst, &[1, 1, 2, 4, 8]);
    let rate = divide(tenant.rate, &[1, 1, 1, 2]);
    Tenant { rate, burst, ..tenant }
}

#[test]
fn no_window_admits_more_than_rate_and_burst() {
    for case in CASES {
        for seed in seeds() {
            let mut fleet = fleet(case.faults, seed);
            while fleet.now < 20 * SECOND_MICROS {
                inject_fault(&mut fleet, case);
                let loads = loads(&mut fleet, case);
                let end = fleet.now + STEP_MICROS;
                run(&mut fleet, &loads, end);
            }
            assert_bound(case, seed, &fleet);
        }
    }
}

/// Random load of each workspace: idle times, in which buckets fill, and bursts.
fn loads(fleet: &mut Fleet, case: &Case) -> Vec<Load> {
    let factors = [0.0, 0.0, 0.1, 1.0, 4.0, 20.0];
    let load = |(tenant, t): (usize, &Tenant)| {
        let factor = factors.choose(&mut fleet.rng).expect("there are factors");
        let per_second = f64::from(t.rate) * case.load * factor;
        Load { tenant, per_second, callers: case.callers }
    };
    TENANTS.iter().enumerate().map(load).filter(|l| l.per_second > 0.0).collect()
}

fn assert_bound(case: &Case, seed: u64, fleet: &Fleet) {
    for (tenant, t) in TENANTS.iter().enumerate() {
        let excess = fleet.excess(tenant);
        let Tenant { name, burst, .. } = t;
        assert!(
            excess.max_violation <= 1e-6,
            "{}, seed {seed}, workspace {name}: {excess:?}",
            case.name
        );
        let is_served = !fleet.tallies[tenant].admitted.is_empty();
        assert!(
            is_served || *burst == 1 || case.overlapping_changes,
            "{}, seed {seed}: workspace {name} is served",
            case.name
        );
    }
    assert_eq!(fleet.counters().invariant_violations, 0, "{}, seed {seed}", case.name);
}

struct SplitCase {
    name: &'static str,
    layout: Layout,
    tenant: Tenant,
    homes: usize,
}

const TARGET_LAYOUT: Layout = Layout { regions: 71, domains: 1, seats: 24 };

const SPLITS: &[SplitCase] = &[
    SplitCase {
        name: "a large workspace has a home in every seat",
        layout: SMALL,
        tenant: Tenant { name: "w", rate: 300, burst: 300 },
        homes: 12,
    },
    SplitCase {
        name: "a medium one has a home in each domain",
        layout: SMALL,
        tenant: Tenant { name: "w", rate: 20, burst: 20 },
        homes: 6,
    },
    SplitCase {
        name: "a small one has homes in some domains",
        layout: SMALL,
        tenant: Tenant { name: "w", rate: 5, burst: 10 },
        homes: 5,
    },
    SplitCase {
        name: "the smallest one has one home",
        layout: SMALL,
        tenant: Tenant { name: "w", rate: 1, burst: 1 },
        homes: 1,
    },
    SplitCase {
        name: "a small one has as few homes in the target layout",
        layout: TARGET_LAYOUT,
        tenant: Tenant { name: "w", rate: 5, burst: 10 },
        homes: 5,
    },
    SplitCase {
        name: "a large one in the target layout",
        layout: TARGET_LAYOUT,
        tenant: Tenant { name: "w", rate: 50_000, burst: 7100 },
        homes: 71 * 6,
    },
];

#[test]
fn shares_of_homes_add_up_to_the_declared_limits() {
    for case in SPLITS {
        let declaration = declare(case.layout, &[case.tenant]);
        let homes = all_homes(&declaration);
        assert_eq!(homes.len(), case.homes, "{}", case.name);
        let rate: u64 = homes.iter().map(|h| h.share.rate).sum();
        let burst: u64 = homes.iter().map(|h| h.share.burst).sum();
        assert_eq!(rate, u64::from(case.tenant.rate) * 1_000_000, "{}", case.name);
        assert_eq!(burst, u64::from(case.tenant.burst) * 1_000_000, "{}", case.name);
        let mut seats: Vec<_> = homes.iter().map(|h| (h.domain, h.seat)).collect();
        seats.sort_unstable();
        seats.dedup();
        assert_eq!(seats.len(), case.homes, "{}: each seat occurs once", case.name);
    }
}

fn all_homes(declaration: &Declaration) -> Vec<jasminestage_core::rate::Home> {
    declaration.workspaces.keys().flat_map(|key| declaration.homes_of(key).to_vec()).collect()
}
