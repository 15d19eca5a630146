//! Rate and burst hold fleet-wide whatever happens to hosts and messages.

mod rate_fleet;

use jasminestage_core::declaration::Declaration;
use rand::{RngExt, seq::IndexedRandom};
use rate_fleet::{
    fleet::{Faults, Fleet, FleetOptions},
    layout::{Layout, SMALL, Tenant, declare},
    load::{Callers, Load, run},
    policy::Policy,
};

/// Virtual time between two random incidents, in microseconds.
const STEP: u64 = 200_000;
const SECOND: u64 = 1_000_000;
/// Seeds of a longer run, as a range `from..to`.
const SEEDS: &str = "RATES_SEEDS";

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
    /// Chance of each incident in one step.
    pause: f64,
    kill: f64,
    cut: f64,
    apply: f64,
    /// Whether limits change again before the last change is accepted.
    hasty: bool,
    /// Load of each workspace as a multiple of its rate.
    load: f64,
    callers: Callers,
}

const CALM: Case = Case {
    name: "no faults",
    faults: Faults { loss: 0.0, double: 0.0, delay: 0 },
    pause: 0.0,
    kill: 0.0,
    cut: 0.0,
    apply: 0.0,
    hasty: false,
    load: 1.0,
    callers: Callers::Shifting,
};
const BAD_LINKS: Faults = Faults { loss: 0.2, double: 0.2, delay: 600_000 };

const CASES: &[Case] = &[
    CALM,
    Case { name: "callers spread evenly", callers: Callers::Even, ..CALM },
    Case { name: "all at one host", callers: Callers::OneHost, ..CALM },
    Case { name: "messages lost, doubled, late and reordered", faults: BAD_LINKS, ..CALM },
    Case {
        name: "messages lost, doubled and late, all at one host",
        faults: Faults { delay: 20_000, ..BAD_LINKS },
        callers: Callers::OneHost,
        ..CALM
    },
    Case { name: "hosts paused", pause: 0.3, ..CALM },
    Case { name: "hosts killed and replaced", kill: 0.05, callers: Callers::OneRegion, ..CALM },
    Case { name: "failure domains cut off", cut: 0.1, ..CALM },
    Case { name: "limits changed", apply: 0.1, ..CALM },
    Case { name: "limits changed before they are accepted", apply: 0.3, hasty: true, ..CALM },
    Case { name: "limits changed, hosts paused", apply: 0.3, hasty: true, pause: 0.3, ..CALM },
    Case {
        name: "everything together",
        faults: Faults { delay: 30_000, ..BAD_LINKS },
        pause: 0.1,
        kill: 0.03,
        cut: 0.05,
        apply: 0.1,
        hasty: true,
        load: 1.0,
        callers: Callers::Steered,
    },
];

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var(SEEDS).ok();
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

/// One random incident, or none.
fn disturb(fleet: &mut Fleet, case: &Case) {
    let serving = fleet.serving();
    let host = *serving.choose(&mut fleet.rng).expect("a host serves");
    let span = fleet.rng.random_range(10_000..6 * SECOND);
    if fleet.rng.random_bool(case.pause) && serving.len() > 6 {
        fleet.pause(host, span);
    }
    if fleet.rng.random_bool(case.kill) && serving.len() > 8 {
        fleet.kill(host);
    }
    if fleet.rng.random_bool(case.cut) {
        let domain = fleet.domain_of(host);
        fleet.set_cut(domain, true);
    }
    if fleet.rng.random_bool(0.1) {
        (0..6).for_each(|domain| fleet.set_cut(domain, false));
    }
    if fleet.rng.random_bool(case.apply) && (case.hasty || fleet.is_settled()) {
        let changed: Vec<Tenant> = TENANTS.iter().map(|t| other(fleet, *t)).collect();
        fleet.apply(&changed);
    }
    fleet.take_over();
}

/// The workspace with another burst, and so with other homes, and now and then another rate.
fn other(fleet: &mut Fleet, tenant: Tenant) -> Tenant {
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
            while fleet.now < 20 * SECOND {
                disturb(&mut fleet, case);
                let loads = loads(&mut fleet, case);
                let end = fleet.now + STEP;
                run(&mut fleet, &loads, end);
            }
            check(case, seed, &fleet);
        }
    }
}

/// Quiet spells, in which buckets fill, and bursts, of each workspace by itself.
fn loads(fleet: &mut Fleet, case: &Case) -> Vec<Load> {
    let factors = [0.0, 0.0, 0.1, 1.0, 4.0, 20.0];
    let load = |(tenant, t): (usize, &Tenant)| {
        let factor = factors.choose(&mut fleet.rng).expect("there are factors");
        let per_second = f64::from(t.rate) * case.load * factor;
        Load { tenant, per_second, callers: case.callers }
    };
    TENANTS.iter().enumerate().map(load).filter(|l| l.per_second > 0.0).collect()
}

fn check(case: &Case, seed: u64, fleet: &Fleet) {
    for (tenant, t) in TENANTS.iter().enumerate() {
        let found = fleet.excess(tenant);
        let Tenant { name, burst, .. } = t;
        assert!(found.over <= 1e-6, "{}, seed {seed}, workspace {name}: {found:?}", case.name);
        let is_served = !fleet.tallies[tenant].admitted.is_empty();
        assert!(
            is_served || *burst == 1 || case.hasty,
            "{}, seed {seed}: workspace {name} is served",
            case.name
        );
    }
    assert_eq!(fleet.counters().broken, 0, "{}, seed {seed}", case.name);
}

struct SplitCase {
    name: &'static str,
    layout: Layout,
    tenant: Tenant,
    homes: usize,
}

const TARGET: Layout = Layout { regions: 71, domains: 1, seats: 24 };

const SPLITS: &[SplitCase] = &[
    SplitCase {
        name: "a large workspace has every seat",
        layout: SMALL,
        tenant: Tenant { name: "w", rate: 300, burst: 300 },
        homes: 12,
    },
    SplitCase {
        name: "a middle one has a seat in each domain",
        layout: SMALL,
        tenant: Tenant { name: "w", rate: 20, burst: 20 },
        homes: 6,
    },
    SplitCase {
        name: "a small one has some domains",
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
        name: "a small one at the target has as few homes as today",
        layout: TARGET,
        tenant: Tenant { name: "w", rate: 5, burst: 10 },
        homes: 5,
    },
    SplitCase {
        name: "a large one at the target",
        layout: TARGET,
        tenant: Tenant { name: "w", rate: 50_000, burst: 7100 },
        homes: 71 * 6,
    },
];

#[test]
fn homes_add_up_to_the_whole() {
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
        assert_eq!(seats.len(), case.homes, "{}: no seat stands twice", case.name);
    }
}

fn all_homes(declaration: &Declaration) -> Vec<jasminestage_core::rate::Home> {
    declaration.workspaces.keys().flat_map(|key| declaration.homes_of(key).to_vec()).collect()
}
