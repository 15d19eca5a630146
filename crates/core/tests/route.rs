//! Routing: slots, loans, waiting, ejection, overflow and drains.

#[path = "../examples/sim/mod.rs"]
mod sim;

use std::time::Duration;

use jasminestage_core::{
    control::PeerMsg,
    event::Kind,
    host::Incarnation,
    route::{
        RouteMsg,
        budget::Budget,
        health::{Health, Sample},
        loan::Lender,
        queue::FairQueue,
        share::own_slots,
    },
    time::Instant,
    traffic::{FlightKey, Outcome, Request, Step},
    world,
};
use sim::{Options, Sim, server::Fault};
use slotmap::SlotMap;

struct ShareCase {
    slots: u16,
    seats: u16,
}

const SHARES: &[ShareCase] = &[
    ShareCase { slots: 3, seats: 2 },
    ShareCase { slots: 9, seats: 2 },
    ShareCase { slots: 1, seats: 2 },
    ShareCase { slots: 3, seats: 7 },
    ShareCase { slots: 100, seats: 24 },
    ShareCase { slots: 9, seats: 1 },
];

#[test]
fn each_slot_belongs_to_one_seat() {
    for case in SHARES {
        for n in 0..100 {
            let name = format!("server-{n}");
            let share = |seat| own_slots(&name, case.slots, case.seats, seat);
            let sum: u16 = (0..case.seats).map(share).sum();
            assert_eq!(sum, case.slots, "{} slots, {} seats", case.slots, case.seats);
            let most = (0..case.seats).map(share).max().unwrap_or(0);
            assert!(most <= case.slots.div_ceil(case.seats), "{name}: an even split");
            assert_eq!(share(case.seats), 0, "{name}: a seat that does not exist owns nothing");
        }
    }
}

struct RunCase {
    name: &'static str,
    rates: [f64; 3],
    loss: f64,
    prepare: fn(&mut Sim),
}

const RUNS: &[RunCase] = &[
    RunCase { name: "steady", rates: [250.0; 3], loss: 0.0, prepare: |_| {} },
    RunCase { name: "one region over", rates: [450.0, 150.0, 200.0], loss: 0.0, prepare: |_| {} },
    RunCase { name: "every region over", rates: [500.0; 3], loss: 0.0, prepare: |_| {} },
    RunCase {
        name: "messages lost and doubled",
        rates: [450.0, 150.0, 200.0],
        loss: 0.2,
        prepare: |_| {},
    },
    RunCase { name: "two hosts cut off", rates: [300.0; 3], loss: 0.05, prepare: cut_two },
    RunCase { name: "failing servers", rates: [250.0; 3], loss: 0.05, prepare: fail_some },
    RunCase { name: "skewed", rates: [50.0, 500.0, 20.0], loss: 0.1, prepare: |_| {} },
];

fn cut_two(sim: &mut Sim) {
    (sim.partitioned[0], sim.partitioned[5]) = (true, true);
}

fn fail_some(sim: &mut Sim) {
    for name in ["s0-0-0", "s1-1-2"] {
        sim.server(name).fault = Some(Fault { failing_share: 0.9, ..Fault::default() });
    }
    sim.server("s2-0-0").fault = Some(Fault { slowdown: 10.0, ..Fault::default() });
}

/// Seeds of the randomised runs; `ROUTE_SEEDS=1000` runs longer.
fn seeds() -> u64 {
    std::env::var("ROUTE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(2)
}

#[test]
fn all_hosts_together_never_exceed_the_slots() {
    for case in RUNS {
        for seed in 1..=seeds() {
            let (rates, loss) = (case.rates.to_vec(), case.loss);
            let mut sim = Sim::new(Options { seed, rates, loss, ..Options::default() });
            (case.prepare)(&mut sim);
            sim.run(Duration::from_secs(8));
            sim.partitioned.fill(false);
            sim.run(Duration::from_secs(4));
            let name = format!("{}, seed {seed}", case.name);
            assert_eq!(
                sim.stats.server_rejections, 0,
                "{name}: no server was asked for more than its slots"
            );
            assert_eq!(sim.stats.count(Kind::InvariantBroken), 0, "{name}");
            for host in 0..sim.host_count() {
                for backend in sim.traffic(host).balancer().backends() {
                    let used = backend.own_used + backend.lent;
                    assert!(used <= backend.own, "{name}: {} own slots", backend.name);
                }
            }
        }
    }
}

#[test]
fn nothing_overflows_without_a_grant() {
    for granted in [true, false] {
        let rates = vec![450.0, 100.0, 100.0];
        let mut sim = Sim::new(Options { rates, ..Options::default() });
        for host in 4..sim.host_count() {
            sim.partitioned[host] = !granted;
        }
        sim.run(Duration::from_secs(10));
        assert_eq!(sim.stats.cross_region_requests > 0, granted, "a grant of the receiving region");
    }
}

#[test]
fn a_receiving_region_keeps_its_reserve() {
    let mut sim = Sim::new(Options { rates: vec![2400.0, 180.0, 180.0], ..Options::default() });
    sim.run(Duration::from_secs(20));
    assert!(sim.stats.cross_region_requests > 100, "the region over its capacity overflows");
    for region in [1, 2] {
        let headroom = sim.stats.min_headroom[region];
        assert!(headroom > 0.05, "region {region} keeps {headroom:.2} of its slots free");
    }
}

struct LendCase {
    name: &'static str,
    domain: &'static str,
    /// Share of the own slots that may be lent in all.
    most: f64,
}

const LENDS: &[LendCase] = &[
    LendCase { name: "the same domain", domain: "r0-0", most: 1.0 },
    LendCase { name: "another domain of the region", domain: "r0-1", most: 1.0 },
    LendCase { name: "another region", domain: "r1-0", most: 0.8 },
    LendCase { name: "an unknown domain", domain: "x", most: 0.8 },
];

#[test]
fn grants_stay_within_what_can_be_spared() {
    for case in LENDS {
        let mut sim = Sim::new(Options { rates: vec![0.0; 3], ..Options::default() });
        let traffic = sim.traffic_mut(0);
        let own: u16 = traffic.balancer().backends().map(|b| b.own).sum();
        let mut lent = 0;
        for ask in 0..40 {
            let msg = PeerMsg::Route(RouteMsg::Ask {
                borrower: Incarnation(100 + ask),
                ask,
                domain: case.domain.to_owned(),
                route: "q".to_owned(),
                slots: 2,
            });
            traffic.hear(Instant::from_millis(1), ([10, 0, 2, 0], 7).into(), &msg);
            for (_, msg) in traffic.take_outbox().sends {
                let PeerMsg::Route(RouteMsg::Lend { slots, .. }) = msg else { continue };
                lent += slots.iter().map(|(_, n)| n).sum::<u16>();
            }
        }
        let most = (f64::from(own) * case.most) as u16;
        assert_eq!(lent, most, "{}: of {own} own slots", case.name);
    }
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    for seed in 1..=seeds() {
        let mut sim = Sim::new(Options { seed, loss: 0.1, ..Options::default() });
        sim.run(Duration::from_secs(5));
        let text = sim.declaration();
        let text = text.replace("[server s0-0-0]\n", "[server s0-0-0]\nstate = leaving\n");
        sim.declare_world(world::parse(&text).expect("the declaration is valid"));
        let declared = sim.now;
        sim.run(Duration::from_secs(10));
        let last = sim.server("s0-0-0").last_request_at;
        let late = last.saturating_since(declared);
        // The last host takes the revision after 600 ms at most.
        assert!(late < Duration::from_millis(650), "seed {seed}: new work after {late:?}");
        assert!(sim.server("s0-0-1").last_request_at > declared, "the others go on");
    }
}

#[test]
fn an_outage_does_not_multiply_load() {
    let mut sim = Sim::new(Options { rates: vec![0.0; 3], ..Options::default() });
    let traffic = sim.traffic_mut(0);
    let req = Request { route: "q", key: None, id: None, deadline: None, fingerprint: 0 };
    let (requests, mut retries) = (1000, 0);
    for n in 0..requests {
        let now = Instant::from_millis(100 * n);
        traffic.tick(now);
        let mut step = traffic.begin(now, &req);
        let mut sent = 0;
        while let Step::Send { flight, .. } = step {
            sent += 1;
            let status = if sent == 1 && n % 3 == 0 { 503 } else { 200 };
            step = traffic.finish(now, flight, Outcome::Answered(status));
        }
        if let Step::Park { flight, .. } = step {
            traffic.abandon(now, flight);
        }
        retries += u32::from(sent > 1);
    }
    let most = 20 + requests as u32 / 5;
    assert!((100..=most).contains(&retries), "{retries} second tries of {requests} requests");
}

#[test]
fn a_budget_pays_for_a_fifth() {
    let mut budget = Budget::default();
    while budget.withdraw() {}
    let mut paid = 0;
    for _ in 0..1000 {
        budget.deposit();
        paid += u32::from(budget.withdraw());
    }
    assert!((199..=201).contains(&paid), "{paid} of 1000");
}

#[test]
fn workspaces_take_turns() {
    let mut keys: SlotMap<FlightKey, ()> = SlotMap::with_key();
    let mut queue = FairQueue::default();
    let flood: Vec<_> = (0..500).map(|_| keys.insert(())).collect();
    let taken = flood.iter().filter(|f| queue.push("large", **f, false)).count();
    assert!(taken < 200, "one workspace leaves room for others, it has {taken}");
    let small = keys.insert(());
    assert!(queue.push("small", small, false), "there is room for the other");
    let first: Vec<_> = (0..2).filter_map(|_| queue.wake()).collect();
    assert!(first.contains(&small), "the small workspace's turn is the second at the latest");
    queue.remove(small);
    assert_eq!(queue.woken(), 1, "a request that has gone counts no longer");
}

#[test]
fn a_lender_waits_longer_than_the_borrower() {
    let mut lender = Lender::default();
    let span = Duration::from_secs(3);
    let granted = Instant::from_millis(1000);
    lender.lend(granted, Incarnation(1), 7, span, Vec::new());
    assert!(lender.knows(Incarnation(1), 7), "a doubled ask is recognised");
    assert!(lender.expire(granted + span).is_empty(), "the borrower may use it until now");
    assert_eq!(lender.expire(granted + span + Duration::from_millis(200)).len(), 1);
    assert!(lender.end(Incarnation(1), 7).is_none(), "what is over cannot be given back");
}

struct HealthCase {
    name: &'static str,
    samples: &'static [(Sample, u32)],
    ejected: bool,
}

const HEALTH: &[HealthCase] = &[
    HealthCase { name: "good", samples: &[(Sample::Good, 50)], ejected: false },
    HealthCase {
        name: "failing",
        samples: &[(Sample::Good, 5), (Sample::Failed, 6)],
        ejected: true,
    },
    HealthCase { name: "one failure", samples: &[(Sample::Failed, 1)], ejected: false },
    HealthCase { name: "unreachable", samples: &[(Sample::NoConnection, 3)], ejected: true },
    HealthCase {
        name: "now and then unreachable",
        samples: &[(Sample::NoConnection, 1), (Sample::Good, 9), (Sample::NoConnection, 1)],
        ejected: false,
    },
    HealthCase { name: "shedding", samples: &[(Sample::Shed, 10)], ejected: true },
];

#[test]
fn servers_are_ejected_by_what_is_seen() {
    let took = Duration::from_millis(10);
    for case in HEALTH {
        let mut health = Health::default();
        let mut ejected = false;
        let mut now = Instant::ZERO;
        for (sample, count) in case.samples {
            for _ in 0..*count {
                ejected |= health.see(now, *sample, took);
            }
        }
        assert_eq!(ejected, case.ejected, "{}", case.name);
        if !ejected {
            assert_eq!(health.limit(now, 9), 9, "{}", case.name);
            continue;
        }
        health.eject(now);
        assert_eq!(health.limit(now, 9), 0, "{}: no requests at first", case.name);
        now = now + Duration::from_millis(1001);
        health.refresh(now);
        assert_eq!(health.limit(now, 9), 1, "{}: then one at a time", case.name);
        for _ in 0..3 {
            assert!(!health.see(now, Sample::Good, took), "{}", case.name);
        }
        assert_eq!(health.limit(now, 9), 1, "{}: then a ramp", case.name);
        now = now + Duration::from_millis(2500);
        assert_eq!(health.limit(now, 9), 5, "{}: half of it", case.name);
        now = now + Duration::from_secs(3);
        assert_eq!(health.limit(now, 9), 9, "{}: at last everything", case.name);
    }
}
