//! Distribution of requests over regions.

use jasminestage_core::steer::regions::{RegionLoad, approach_targets, plan_shares, region_for};
use test_case::test_case;

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
