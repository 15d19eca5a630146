//! The retry budget. Each host limits its retries on its own, so the total must stay within the bound
//! for any number of hosts, also when many hosts get few requests each.

use jasminestage_core::steer::retry::RetryBudget;
use test_case::test_case;

use crate::common::bounds;

struct Case {
    host_count: usize,
    requests_per_host: u32,
}

#[test_case(&Case { host_count: 10, requests_per_host: 0 }; "no requests")]
#[test_case(&Case { host_count: 10, requests_per_host: 1 }; "one request per host")]
#[test_case(&Case { host_count: 10, requests_per_host: 200 }; "a busy window")]
#[test_case(&Case { host_count: 91, requests_per_host: 2 }; "many hosts")]
fn retries_of_all_hosts_stay_within_the_bound(case: &Case) {
    let bounds = bounds();
    let mut retries = 0;
    for _ in 0..case.host_count {
        let mut budget = RetryBudget::default();
        for _ in 0..case.requests_per_host {
            budget.deposit(&bounds, case.host_count);
            while budget.try_withdraw() {
                retries += 1;
            }
        }
        assert!(!budget.try_withdraw());
    }
    let requests = case.host_count as f64 * f64::from(case.requests_per_host);
    let bound = bounds.retry_ratio * requests + bounds.retry_extra;
    assert!(f64::from(retries) <= bound, "{retries} retries, the bound is {bound}");
}
