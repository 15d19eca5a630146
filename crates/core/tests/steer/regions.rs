//! How requests are shared between regions.

use jasminestage_core::steer::regions::{RegionLoad, approach_targets, plan_shares, region_for};
use test_case::test_case;

struct Case {
    /// Demand and slots of each region.
    regions: &'static [(f64, f64)],
    home: usize,
    /// Bounds of the share that stays at home.
    stays: (f64, f64),
}

#[test_case(&Case { regions: &[(3.0, 9.0), (3.0, 9.0)], home: 0, stays: (1.0, 1.0) }; "room at home")]
#[test_case(&Case { regions: &[(9.0, 9.0), (1.0, 30.0)], home: 0, stays: (0.4, 0.5) }; "overflow")]
#[test_case(&Case { regions: &[(9.0, 9.0), (9.0, 9.0)], home: 0, stays: (1.0, 1.0) }; "no room anywhere")]
#[test_case(&Case { regions: &[(200.0, 72.0), (260.0, 300.0)], home: 0, stays: (0.4, 0.5) }; "all overloaded, home most")]
#[test_case(&Case { regions: &[(9.0, 0.0), (1.0, 30.0)], home: 0, stays: (0.0, 0.0) }; "no servers at home")]
#[test_case(&Case { regions: &[(9.0, 0.0), (9.0, 0.0)], home: 1, stays: (1.0, 1.0) }; "no servers at all")]
#[test_case(&Case { regions: &[(0.0, 9.0), (50.0, 9.0)], home: 0, stays: (1.0, 1.0) }; "no demand at home")]
fn the_plan_moves_only_what_does_not_fit(case: &Case) {
    let loads: Vec<RegionLoad> = case
        .regions
        .iter()
        .map(|(demand, slots)| RegionLoad { demand: *demand, slots: *slots })
        .collect();
    let shares = plan_shares(&loads, case.home);
    let total: f64 = shares.iter().sum();
    assert!((total - 1.0).abs() < 1e-9, "{shares:?}");
    let stays = shares[case.home];
    assert!(stays >= case.stays.0 - 1e-9 && stays <= case.stays.1 + 1e-9, "{shares:?}");
}

#[test]
fn shares_move_by_no_more_than_the_step() {
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
fn a_shrinking_share_keeps_the_objects_that_it_had() {
    let positions: Vec<f64> = (0..100).map(|n| f64::from(n) / 100.0).collect();
    let stays = |share: f64| -> Vec<f64> {
        let shares = [0.3 * (1.0 - share), share, 0.7 * (1.0 - share)];
        positions.iter().copied().filter(|p| region_for(&shares, 1, *p) == 1).collect()
    };
    let (before, after) = (stays(0.8), stays(0.6));
    assert!(after.iter().all(|p| before.contains(p)));
}
