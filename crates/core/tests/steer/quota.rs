//! The bound on a workspace over all hosts, and what is refused within it.

use std::time::Duration;

use jasminestage_core::steer::{
    quota::{Elsewhere, Quotas},
    stable_hash, unit_interval,
};
use test_case::test_case;

use crate::common::{at, terms, workspace};

struct Case {
    hosts: usize,
    /// Requests per second at each host.
    offered: &'static [f64],
    rate: f64,
    /// Hosts that hear nobody and that nobody hears.
    cut: usize,
    /// Steps of 10 ms after which hosts hear each other.
    hearing: u64,
    /// Least share of the offered requests that is admitted.
    admitted: f64,
}

const EVEN: Case =
    Case { hosts: 10, offered: &[5.0], rate: 80.0, cut: 0, hearing: 20, admitted: 0.99 };
const SKEWED: Case =
    Case { hosts: 10, offered: &[50.0, 0.0], rate: 80.0, cut: 0, hearing: 20, admitted: 0.97 };
const SMALL: Case =
    Case { hosts: 10, offered: &[0.8], rate: 12.8, cut: 0, hearing: 20, admitted: 0.99 };
const HOT: Case =
    Case { hosts: 10, offered: &[64.0], rate: 80.0, cut: 0, hearing: 20, admitted: 0.1 };
const HOT_AND_CUT: Case =
    Case { hosts: 10, offered: &[64.0], rate: 80.0, cut: 4, hearing: 20, admitted: 0.05 };
const HOT_SMALL: Case =
    Case { hosts: 12, offered: &[10.0], rate: 12.8, cut: 3, hearing: 20, admitted: 0.05 };

const MANY: Case =
    Case { hosts: 91, offered: &[0.14], rate: 20.0, cut: 0, hearing: 35, admitted: 0.96 };
const MANY_HOT: Case =
    Case { hosts: 91, offered: &[1.1], rate: 20.0, cut: 0, hearing: 35, admitted: 0.1 };
const MANY_HOT_LARGE: Case =
    Case { hosts: 91, offered: &[5.5], rate: 100.0, cut: 0, hearing: 35, admitted: 0.1 };
const MANY_HOT_AND_CUT: Case =
    Case { hosts: 91, offered: &[1.1], rate: 20.0, cut: 30, hearing: 35, admitted: 0.05 };

/// Seeds of the arrivals.
const SEEDS: std::ops::Range<u64> = 0..8;

/// Plays 20 seconds of hosts that hear each other every 200 ms, one period late, and checks every
/// window of the bound.
#[test_case(&EVEN; "even demand within the rate")]
#[test_case(&SKEWED; "all demand on one host")]
#[test_case(&SMALL; "a small workspace on many hosts")]
#[test_case(&HOT; "eight times the rate")]
#[test_case(&HOT_AND_CUT; "eight times the rate while hosts are cut off")]
#[test_case(&HOT_SMALL; "a small workspace floods while hosts are cut off")]
#[test_case(&MANY; "a small workspace on a grown fleet")]
#[test_case(&MANY_HOT; "a small workspace floods a grown fleet")]
#[test_case(&MANY_HOT_LARGE; "a large workspace floods a grown fleet")]
#[test_case(&MANY_HOT_AND_CUT; "a flood while a third of a grown fleet is cut off")]
fn the_bound_holds_in_every_window(case: &Case) {
    let (mut asked, mut admitted) = (0, 0);
    for seed in SEEDS {
        let (of_seed, admitted_of_seed) = play(case, seed);
        asked += of_seed;
        admitted += admitted_of_seed;
    }
    let share = f64::from(admitted) / f64::from(asked);
    assert!(share >= case.admitted, "{share} of the requests were admitted");
}

/// Returns the requests that were asked and those that were admitted.
fn play(case: &Case, seed: u64) -> (u32, u32) {
    let (terms, workspace) = (terms(), workspace("w", case.rate));
    let mut hosts: Vec<Quotas> = vec![Quotas::default(); case.hosts];
    let mut told = vec![0.0; case.hosts];
    let (mut asked, mut admitted) = (0u32, Vec::new());
    let known = |n: usize, told: &[f64]| {
        let hears = |m: usize| n >= case.cut && m >= case.cut && m != n;
        let used = (0..case.hosts).filter(|m| hears(*m)).map(|m| told[m]).sum();
        let unheard = (0..case.hosts).filter(|m| *m != n && !hears(*m)).count();
        Elsewhere { used, hosts: case.hosts, unheard }
    };
    for step in 0..2000u64 {
        let now = at(1000 + step * 10);
        if step % case.hearing == 0 {
            let heard = told.clone();
            for (n, host) in hosts.iter_mut().enumerate() {
                told[n] = host.used().map(|(_, used)| used).sum();
                let elsewhere = known(n, &heard);
                host.update(now, &terms, |_| elsewhere);
            }
        }
        for (n, host) in hosts.iter_mut().enumerate() {
            let rate = case.offered.get(n).or(case.offered.last()).unwrap_or(&0.0);
            // Requests come at random, on average at the rate.
            if unit_interval(stable_hash(step + (seed << 32), &n.to_le_bytes())) < rate * 0.01 {
                asked += 1;
                if host.take(now, &terms, &workspace, || known(n, &told)).is_ok() {
                    admitted.push(step * 10);
                }
            }
        }
    }
    let window = terms.quota_window.as_millis() as u64;
    let nominal = case.rate * terms.quota_window.as_secs_f64() + workspace.burst;
    let bound = nominal * (1.0 + terms.quota_overage) + terms.quota_slack;
    for (n, start) in admitted.iter().enumerate() {
        let count = admitted[n..].iter().take_while(|t| **t < start + window).count();
        assert!(count as f64 <= bound, "seed {seed}: {count} in a window, the bound is {bound}");
    }
    (asked, admitted.len() as u32)
}

#[test]
fn a_workspace_without_a_rate_is_not_limited() {
    let mut quotas = Quotas::default();
    let free = workspace("w", 0.0);
    assert!((0..1000).all(|_| quotas.take(at(0), &terms(), &free, Elsewhere::default).is_ok()));
}

#[test]
fn a_refusal_says_when_a_token_comes() {
    let (terms, small, mut quotas) = (terms(), workspace("w", 1.0), Quotas::default());
    let refused =
        (0..1000).find_map(|_| quotas.take(at(0), &terms, &small, Elsewhere::default).err());
    let wait = refused.expect("a burst of a thousand is over the quota");
    assert!(wait > Duration::ZERO && wait <= Duration::from_secs(5));
}
