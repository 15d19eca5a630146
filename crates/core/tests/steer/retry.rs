//! The budget for sending requests again.

use jasminestage_core::steer::retry::RetryBudget;
use test_case::test_case;

use crate::common::terms;

struct Case {
    hosts: usize,
    requests_per_host: u32,
}

#[test_case(&Case { hosts: 10, requests_per_host: 0 }; "no requests")]
#[test_case(&Case { hosts: 10, requests_per_host: 1 }; "hardly any requests")]
#[test_case(&Case { hosts: 10, requests_per_host: 200 }; "a busy window")]
#[test_case(&Case { hosts: 91, requests_per_host: 2 }; "many hosts")]
fn all_hosts_together_stay_under_the_bound(case: &Case) {
    let terms = terms();
    let mut retries = 0;
    for _ in 0..case.hosts {
        let mut budget = RetryBudget::default();
        for _ in 0..case.requests_per_host {
            budget.deposit(&terms, case.hosts);
            while budget.withdraw() {
                retries += 1;
            }
        }
        assert!(!budget.withdraw());
    }
    let requests = case.hosts as f64 * f64::from(case.requests_per_host);
    let bound = terms.retry_ratio * requests + terms.retry_extra;
    assert!(f64::from(retries) <= bound, "{retries} retries, the bound is {bound}");
}
