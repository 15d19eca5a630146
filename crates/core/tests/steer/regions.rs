//! Distribution of requests over regions.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    declaration::Repeat::Idempotent as IDEMPOTENT,
    steer::{
        catalog::{Catalog, Limits, Route},
        regions::{RegionLoad, approach_targets, plan_shares, region_for},
        server::AttemptOutcome,
        steering::{PendingRequest, RequestHead, Steering},
        view::View,
    },
};
use test_case::test_case;

use crate::common::{at, entry, route, service, view, workspace};

struct Case {
    /// Demand and slots of each region.
    regions: &'static [(f64, f64)],
    /// Index of the region whose requests are distributed.
    home: usize,
    /// Lower and upper bound of the share that stays in region `home`.
    home_share: (f64, f64),
}

#[test_case(&Case { regions: &[(3.0, 9.0), (3.0, 9.0)], home: 0, home_share: (1.0, 1.0) }; "spare capacity at home")]
#[test_case(&Case { regions: &[(9.0, 9.0), (1.0, 30.0)], home: 0, home_share: (0.4, 0.5) }; "demand above the capacity at home")]
#[test_case(&Case { regions: &[(9.0, 9.0), (9.0, 9.0)], home: 0, home_share: (1.0, 1.0) }; "no spare capacity anywhere")]
#[test_case(&Case { regions: &[(200.0, 72.0), (260.0, 300.0)], home: 0, home_share: (0.4, 0.5) }; "all regions overloaded, home most")]
#[test_case(&Case { regions: &[(9.0, 0.0), (1.0, 30.0)], home: 0, home_share: (0.0, 0.0) }; "no servers at home")]
#[test_case(&Case { regions: &[(9.0, 0.0), (9.0, 0.0)], home: 1, home_share: (1.0, 1.0) }; "no servers at all")]
#[test_case(&Case { regions: &[(0.0, 9.0), (50.0, 9.0)], home: 0, home_share: (1.0, 1.0) }; "no demand at home")]
fn only_demand_above_the_capacity_moves_to_other_regions(case: &Case) {
    let loads: Vec<RegionLoad> = case
        .regions
        .iter()
        .map(|(demand, slots)| RegionLoad { demand: *demand, slots: *slots })
        .collect();
    let shares = plan_shares(&loads, case.home);
    let total: f64 = shares.iter().sum();
    assert!((total - 1.0).abs() < 1e-9, "{shares:?}");
    let home_share = shares[case.home];
    assert!(
        home_share >= case.home_share.0 - 1e-9 && home_share <= case.home_share.1 + 1e-9,
        "{shares:?}"
    );
}

#[test]
fn shares_change_by_no_more_than_the_maximum_shift() {
    let mut shares = vec![1.0, 0.0, 0.0];
    for _ in 0..4 {
        let before = shares.clone();
        approach_targets(&mut shares, &[0.2, 0.5, 0.3], 0.05);
        let moved: f64 = shares.iter().zip(&before).map(|(a, b)| (a - b).abs()).sum::<f64>() / 2.0;
        assert!(moved <= 0.05 + 1e-9);
        assert!((shares.iter().sum::<f64>() - 1.0).abs() < 1e-9);
    }
    assert!((shares[0] - 0.8).abs() < 1e-9);
}

#[test]
fn a_shrinking_home_share_gets_no_new_objects() {
    let positions: Vec<f64> = (0..100).map(|n| f64::from(n) / 100.0).collect();
    let home_positions = |share: f64| -> Vec<f64> {
        let shares = [0.3 * (1.0 - share), share, 0.7 * (1.0 - share)];
        positions.iter().copied().filter(|p| region_for(&shares, 1, *p) == 1).collect()
    };
    let (before, after) = (home_positions(0.8), home_positions(0.6));
    assert!(after.iter().all(|p| before.contains(p)));
}

struct BoundCase {
    /// Requests per second that are bound to the small home region.
    bound_per_s: u64,
    /// Bounds of the share of the other requests that run there.
    home_share: (f64, f64),
}

// Bound requests took their slots and the plan gave the same slots to others again, so that both waited
// in the small region. It has 3 of 15 slots; the other requests need 2 slots. The upper bound is the
// planned share, 0.225, the deadband of the plan and three standard deviations.
#[test_case(&BoundCase { bound_per_s: 0, home_share: (0.55, 1.0) }; "no bound requests")]
#[test_case(&BoundCase { bound_per_s: 10, home_share: (0.0, 0.34) }; "bound requests need two of three slots")]
fn bound_requests_leave_fewer_slots_for_others(case: &BoundCase) {
    let took = Duration::from_millis(200);
    let mut entries = vec![entry("a1", "lookup", "a1")];
    entries.extend((0..4).map(|n| entry(&format!("b{n}"), "lookup", "b1")));
    let bound_route =
        Route { allowed_regions: vec!["a".to_owned()], ..route("bound", "lookup", IDEMPOTENT) };
    let free_route = Route { object_affinity: false, ..route("free", "lookup", IDEMPOTENT) };
    let catalog = Catalog::new(
        1,
        vec![bound_route, free_route],
        vec![service("lookup")],
        vec![workspace("w", 0.0)],
        Limits::default(),
    );
    let mut steering = Steering::new(Arc::new(View { servers: Arc::default(), ..view(&entries) }));
    steering.install_view(at(0), Arc::new(View { catalog: Arc::new(catalog), ..view(&entries) }));
    let mut running: Vec<(u64, PendingRequest)> = Vec::new();
    let (mut free, mut free_at_home) = (0, 0);
    for now_ms in (0..80_000_u64).step_by(10) {
        let now = at(now_ms);
        let (ended, rest) = running.into_iter().partition(|(end_ms, _)| *end_ms <= now_ms);
        running = rest;
        for (_, mut request) in ended {
            let outcome = AttemptOutcome::Answered { status: 200, took };
            steering.finish_attempt(now, &mut request, outcome, None);
        }
        let is_due = |per_s: u64| per_s > 0 && now_ms % (1000 / per_s) == 0;
        for (path, is_due) in [("/bound/x", is_due(case.bound_per_s)), ("/free/x", is_due(10))] {
            if !is_due {
                continue;
            }
            let id = format!("{path}-{now_ms}");
            let head = RequestHead {
                id: &id,
                host: "example",
                path,
                key: Some("key-w"),
                object: None,
                caller_timeout: None,
            };
            let mut request = steering.admit(now, &head).expect("a route matches");
            steering.charge_quota(now, &request).expect("there is no quota");
            let Ok(dispatch) = steering.choose_server(now, &mut request) else { continue };
            if path == "/free/x" && now_ms > 20_000 {
                free += 1;
                free_at_home += u32::from(dispatch.server.zone == "a1");
            }
            running.push((now_ms + took.as_millis() as u64, request));
        }
        steering.tick(now);
    }
    let share = f64::from(free_at_home) / f64::from(free);
    assert!((case.home_share.0..=case.home_share.1).contains(&share), "{share} at home");
}
