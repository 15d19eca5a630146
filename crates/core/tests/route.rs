//! Load balancing: slots, loans, queues, ejection, requests to other regions, and draining servers.

#[path = "../examples/sim/mod.rs"]
mod sim;

use std::time::Duration;

use jasminestage_core::{
    control::PeerMsg,
    declaration,
    event::Kind,
    host::Incarnation,
    route::{
        RouteMsg,
        budget::RetryBudget,
        health::{Health, Sample},
        loan::Lender,
        queue::FairQueue,
        share::own_slots,
    },
    time::Instant,
    traffic::{FlightKey, Outcome, Request, Step},
};
use sim::{Options, Sim, server::Fault};
use slotmap::SlotMap;

struct SlotCase {
    slots: u16,
    seats: u16,
}

const SLOT_CASES: &[SlotCase] = &[
    SlotCase { slots: 3, seats: 2 },
    SlotCase { slots: 9, seats: 2 },
    SlotCase { slots: 1, seats: 2 },
    SlotCase { slots: 3, seats: 7 },
    SlotCase { slots: 100, seats: 24 },
    SlotCase { slots: 9, seats: 1 },
];

/// Guards against slots that belong to two seats, so that hosts together exceed the server's capacity,
/// or to none, so that they are never used.
#[test]
fn each_slot_belongs_to_one_seat() {
    for case in SLOT_CASES {
        for n in 0..100 {
            let name = format!("server-{n}");
            let slots_of = |seat| own_slots(&name, case.slots, case.seats, seat);
            let sum: u16 = (0..case.seats).map(slots_of).sum();
            assert_eq!(sum, case.slots, "{} slots, {} seats", case.slots, case.seats);
            let max = (0..case.seats).map(slots_of).max().unwrap_or(0);
            assert!(max <= case.slots.div_ceil(case.seats), "{name}: the slots are split evenly");
            assert_eq!(slots_of(case.seats), 0, "{name}: an undeclared seat owns no slots");
        }
    }
}

struct RunCase {
    name: &'static str,
    rates: [f64; 3],
    loss: f64,
    prepare: fn(&mut Sim),
}

const RUN_CASES: &[RunCase] = &[
    RunCase { name: "steady", rates: [250.0; 3], loss: 0.0, prepare: |_| {} },
    RunCase {
        name: "one region overloaded",
        rates: [450.0, 150.0, 200.0],
        loss: 0.0,
        prepare: |_| {},
    },
    RunCase { name: "every region overloaded", rates: [500.0; 3], loss: 0.0, prepare: |_| {} },
    RunCase {
        name: "lost and duplicated messages",
        rates: [450.0, 150.0, 200.0],
        loss: 0.2,
        prepare: |_| {},
    },
    RunCase {
        name: "two hosts partitioned",
        rates: [300.0; 3],
        loss: 0.05,
        prepare: partition_two_hosts,
    },
    RunCase { name: "failing servers", rates: [250.0; 3], loss: 0.05, prepare: break_servers },
    RunCase { name: "uneven load", rates: [50.0, 500.0, 20.0], loss: 0.1, prepare: |_| {} },
];

fn partition_two_hosts(sim: &mut Sim) {
    (sim.partitioned[0], sim.partitioned[5]) = (true, true);
}

fn break_servers(sim: &mut Sim) {
    for name in ["s0-0-0", "s1-1-2"] {
        sim.server(name).fault = Some(Fault { failing_share: 0.9, ..Fault::default() });
    }
    sim.server("s2-0-0").fault = Some(Fault { slowdown: 10.0, ..Fault::default() });
}

/// Number of seeds of the randomised tests; set `ROUTE_SEEDS=1000` for a longer run.
fn seeds() -> u64 {
    std::env::var("ROUTE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(2)
}

/// Guards against more requests in flight on a server than it has slots, when lost or duplicated
/// messages or partitions make two hosts use the same slot.
#[test]
fn hosts_together_never_exceed_the_slots() {
    for case in RUN_CASES {
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
                "{name}: no server had more requests than slots"
            );
            assert_eq!(sim.stats.count(Kind::InvariantBroken), 0, "{name}");
            for host in 0..sim.host_count() {
                for backend in sim.traffic(host).balancer().backends() {
                    let used = backend.owned_in_use + backend.lent;
                    assert!(used <= backend.owned, "{name}: owned slots of {}", backend.name);
                }
            }
        }
    }
}

/// Guards against requests that a host sends to another region without a loan from it.
#[test]
fn requests_leave_the_region_only_with_a_loan() {
    for granted in [true, false] {
        let rates = vec![450.0, 100.0, 100.0];
        let mut sim = Sim::new(Options { rates, ..Options::default() });
        for host in 4..sim.host_count() {
            sim.partitioned[host] = !granted;
        }
        sim.run(Duration::from_secs(10));
        assert_eq!(
            sim.stats.cross_region_requests > 0,
            granted,
            "requests left the region only with a loan"
        );
    }
}

/// Guards against an overloaded region using up the slots of the regions that lend to it.
#[test]
fn a_lending_region_keeps_a_reserve() {
    let mut sim = Sim::new(Options { rates: vec![2400.0, 180.0, 180.0], ..Options::default() });
    sim.run(Duration::from_secs(20));
    assert!(
        sim.stats.cross_region_requests > 100,
        "the overloaded region sends requests to others"
    );
    for region in [1, 2] {
        let headroom = sim.stats.min_headroom[region];
        assert!(headroom > 0.05, "region {region} keeps {headroom:.2} of its slots free");
    }
}

struct LendCase {
    name: &'static str,
    domain: &'static str,
    /// Maximum fraction of the owned slots that may be lent in total.
    max: f64,
}

const LEND_CASES: &[LendCase] = &[
    LendCase { name: "the same domain", domain: "r0-0", max: 1.0 },
    LendCase { name: "another domain of the region", domain: "r0-1", max: 1.0 },
    LendCase { name: "another region", domain: "r1-0", max: 0.8 },
    LendCase { name: "an unknown domain", domain: "x", max: 0.8 },
];

/// Guards against a host that lends the same slot twice, or its reserve to another region.
#[test]
fn loans_do_not_exceed_the_spare_slots() {
    for case in LEND_CASES {
        let mut sim = Sim::new(Options { rates: vec![0.0; 3], ..Options::default() });
        let traffic = sim.traffic_mut(0);
        let owned: u16 = traffic.balancer().backends().map(|b| b.owned).sum();
        let mut lent = 0;
        for loan_id in 0..40 {
            let msg = PeerMsg::Route(RouteMsg::RequestLoan {
                borrower: Incarnation(100 + loan_id),
                loan_id,
                domain: case.domain.to_owned(),
                route: "q".to_owned(),
                slots: 2,
            });
            traffic.handle_message(Instant::from_millis(1), ([10, 0, 2, 0], 7).into(), &msg);
            for (_, msg) in traffic.take_outbox().sends {
                let PeerMsg::Route(RouteMsg::GrantLoan { slots, .. }) = msg else { continue };
                lent += slots.iter().map(|(_, n)| n).sum::<u16>();
            }
        }
        let max = (f64::from(owned) * case.max) as u16;
        assert_eq!(lent, max, "{}: of {owned} owned slots", case.name);
    }
}

/// Guards against new requests to a draining server from a host with an old revision, or with slots
/// borrowed on it.
#[test]
fn a_draining_server_gets_no_new_requests() {
    for seed in 1..=seeds() {
        let mut sim = Sim::new(Options { seed, loss: 0.1, ..Options::default() });
        sim.run(Duration::from_secs(5));
        let text = sim.declaration();
        let text = text.replace("[server s0-0-0]\n", "[server s0-0-0]\nstate = leaving\n");
        sim.install_declaration(declaration::parse(&text).expect("the declaration is valid"));
        let declared = sim.now;
        sim.run(Duration::from_secs(10));
        let last = sim.server("s0-0-0").last_request_at;
        let delay = last.saturating_since(declared);
        // The last host applies the revision within 600 ms.
        assert!(delay < Duration::from_millis(650), "seed {seed}: new request after {delay:?}");
        assert!(
            sim.server("s0-0-1").last_request_at > declared,
            "other servers still get requests"
        );
    }
}

/// Guards against a retry storm: without a budget, every refused request would be sent a second time
/// while servers are already overloaded.
#[test]
fn the_retry_budget_limits_retries() {
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
            traffic.cancel(now, flight);
        }
        retries += u32::from(sent > 1);
    }
    let max = 20 + requests as u32 / 5;
    assert!((100..=max).contains(&retries), "{retries} retries of {requests} requests");
}

#[test]
fn the_retry_budget_allows_one_retry_per_five_requests() {
    let mut budget = RetryBudget::default();
    while budget.withdraw() {}
    let mut granted = 0;
    for _ in 0..1000 {
        budget.deposit();
        granted += u32::from(budget.withdraw());
    }
    assert!((199..=201).contains(&granted), "{granted} of 1000");
}

/// Guards against starvation of a small workspace by a large one that fills the queue.
#[test]
fn the_queue_is_fair_between_workspaces() {
    let mut keys: SlotMap<FlightKey, ()> = SlotMap::with_key();
    let mut queue = FairQueue::default();
    let flood: Vec<_> = (0..500).map(|_| keys.insert(())).collect();
    let queued = flood.iter().filter(|f| queue.push("large", **f, false)).count();
    assert!(queued < 200, "one workspace may not fill the queue, it has {queued} requests");
    let small = keys.insert(());
    assert!(queue.push("small", small, false), "there is room for another workspace");
    let first: Vec<_> = (0..2).filter_map(|_| queue.wake()).collect();
    assert!(first.contains(&small), "the small workspace is served second at the latest");
    queue.remove(small);
    assert_eq!(queue.woken(), 1, "a removed request no longer counts as woken");
}

/// Guards against a lender that reuses a slot while the borrower may still use it, because the loan
/// ends earlier on the lender's clock.
#[test]
fn a_loan_ends_later_for_the_lender() {
    let mut lender = Lender::default();
    let duration = Duration::from_secs(3);
    let granted = Instant::from_millis(1000);
    lender.record_loan(granted, Incarnation(1), 7, duration, Vec::new());
    assert!(lender.has_loan(Incarnation(1), 7), "a duplicate loan request is recognised");
    assert!(lender.expire_loans(granted + duration).is_empty(), "the borrower may still use it");
    assert_eq!(lender.expire_loans(granted + duration + Duration::from_millis(200)).len(), 1);
    assert!(lender.end_loan(Incarnation(1), 7).is_none(), "an expired loan cannot be returned");
}

struct HealthCase {
    name: &'static str,
    samples: &'static [(Sample, u32)],
    ejected: bool,
}

const HEALTH_CASES: &[HealthCase] = &[
    HealthCase { name: "good", samples: &[(Sample::Good, 50)], ejected: false },
    HealthCase {
        name: "failing",
        samples: &[(Sample::Good, 5), (Sample::Failed, 6)],
        ejected: true,
    },
    HealthCase { name: "one failure", samples: &[(Sample::Failed, 1)], ejected: false },
    HealthCase { name: "unreachable", samples: &[(Sample::NoConnection, 3)], ejected: true },
    HealthCase {
        name: "sometimes unreachable",
        samples: &[(Sample::NoConnection, 1), (Sample::Good, 9), (Sample::NoConnection, 1)],
        ejected: false,
    },
    HealthCase { name: "shedding", samples: &[(Sample::Shed, 10)], ejected: true },
];

/// Guards against a failing server that keeps its requests, and against one that gets all of them back
/// at once after its ejection.
#[test]
fn failing_servers_are_ejected_and_readmitted() {
    let took = Duration::from_millis(10);
    for case in HEALTH_CASES {
        let mut health = Health::default();
        let mut ejected = false;
        let mut now = Instant::ZERO;
        for (sample, count) in case.samples {
            for _ in 0..*count {
                ejected |= health.record_sample(now, *sample, took);
            }
        }
        assert_eq!(ejected, case.ejected, "{}", case.name);
        if !ejected {
            assert_eq!(health.concurrency_limit(now, 9), 9, "{}", case.name);
            continue;
        }
        health.eject(now);
        assert_eq!(health.concurrency_limit(now, 9), 0, "{}: no requests while ejected", case.name);
        now = now + Duration::from_millis(1001);
        health.end_ejection(now);
        assert_eq!(
            health.concurrency_limit(now, 9),
            1,
            "{}: one request at a time on probation",
            case.name
        );
        for _ in 0..3 {
            assert!(!health.record_sample(now, Sample::Good, took), "{}", case.name);
        }
        assert_eq!(health.concurrency_limit(now, 9), 1, "{}: slow start begins", case.name);
        now = now + Duration::from_millis(2500);
        assert_eq!(health.concurrency_limit(now, 9), 5, "{}: slow start is half over", case.name);
        now = now + Duration::from_secs(3);
        assert_eq!(health.concurrency_limit(now, 9), 9, "{}: slow start is over", case.name);
    }
}
