//! Workspace quotas over all hosts: the bound, and the share of requests admitted within it.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    declaration::Repeat,
    steer::{
        catalog::{Catalog, Limits, Workspace},
        digest::name_hash,
        quota::{Quotas, RemoteUsage},
        stable_hash,
        steering::{RequestHead, Steering},
        unit_interval,
        view::View,
    },
};
use test_case::test_case;

use crate::common::{at, bounds, entry, route, service, view, workspace};

struct Case {
    hosts: usize,
    /// Offered requests per second at each host; the last value applies to all further hosts.
    offered: &'static [f64],
    /// Quota of the workspace in requests per second.
    rate: f64,
    /// Number of hosts that are disconnected from all others.
    cut_off: usize,
    /// Number of 10 ms steps between two exchanges of counts.
    exchange_steps: u64,
    /// Whether the hosts know that the counts arrive late, through relays.
    is_delayed: bool,
    /// Smallest share of the offered requests that must be admitted.
    min_admitted_share: f64,
}

const EVEN: Case = Case {
    hosts: 10,
    offered: &[5.0],
    rate: 80.0,
    cut_off: 0,
    exchange_steps: 20,
    is_delayed: false,
    min_admitted_share: 0.99,
};
const SKEWED: Case = Case {
    hosts: 10,
    offered: &[50.0, 0.0],
    rate: 80.0,
    cut_off: 0,
    exchange_steps: 20,
    is_delayed: false,
    min_admitted_share: 0.97,
};
const SMALL: Case = Case {
    hosts: 10,
    offered: &[0.8],
    rate: 12.8,
    cut_off: 0,
    exchange_steps: 20,
    is_delayed: false,
    min_admitted_share: 0.99,
};
const FLOOD: Case = Case {
    hosts: 10,
    offered: &[64.0],
    rate: 80.0,
    cut_off: 0,
    exchange_steps: 20,
    is_delayed: false,
    min_admitted_share: 0.1,
};
const FLOOD_CUT_OFF: Case = Case {
    hosts: 10,
    offered: &[64.0],
    rate: 80.0,
    cut_off: 4,
    exchange_steps: 20,
    is_delayed: false,
    min_admitted_share: 0.05,
};
const FLOOD_SMALL_CUT_OFF: Case = Case {
    hosts: 12,
    offered: &[10.0],
    rate: 12.8,
    cut_off: 3,
    exchange_steps: 20,
    is_delayed: false,
    min_admitted_share: 0.05,
};

const LARGE_FLEET: Case = Case {
    hosts: 91,
    offered: &[0.14],
    rate: 20.0,
    cut_off: 0,
    exchange_steps: 35,
    is_delayed: false,
    min_admitted_share: 0.96,
};
const LARGE_FLEET_FLOOD: Case = Case {
    hosts: 91,
    offered: &[1.1],
    rate: 20.0,
    cut_off: 0,
    exchange_steps: 35,
    is_delayed: false,
    min_admitted_share: 0.1,
};
const LARGE_FLEET_FLOOD_LARGE_WORKSPACE: Case = Case {
    hosts: 91,
    offered: &[5.5],
    rate: 100.0,
    cut_off: 0,
    exchange_steps: 35,
    is_delayed: false,
    min_admitted_share: 0.1,
};
const LARGE_FLEET_FLOOD_CUT_OFF: Case = Case {
    hosts: 91,
    offered: &[1.1],
    rate: 20.0,
    cut_off: 30,
    exchange_steps: 35,
    is_delayed: false,
    min_admitted_share: 0.05,
};

/// All hosts are followers, whose counts reach each other through relays after 0.7 to 1.4 s.
const FOLLOWERS_FLOOD: Case =
    Case { exchange_steps: 70, is_delayed: true, ..LARGE_FLEET_FLOOD_LARGE_WORKSPACE };
const FEW_FOLLOWERS_FLOOD: Case =
    Case { exchange_steps: 70, is_delayed: true, min_admitted_share: 0.05, ..FLOOD };
const FOLLOWERS: Case =
    Case { exchange_steps: 70, is_delayed: true, min_admitted_share: 0.5, ..LARGE_FLEET };

/// Seeds of the random arrivals.
const SEEDS: std::ops::Range<u64> = 0..8;

/// Hosts receive each other's counts late and may together admit more than the bound in the meantime.
/// Simulates 20 seconds in which counts arrive one exchange period late, and checks every window.
#[test_case(&EVEN; "even demand within the rate")]
#[test_case(&SKEWED; "all demand on one host")]
#[test_case(&SMALL; "a small workspace on many hosts")]
#[test_case(&FLOOD; "eight times the rate")]
#[test_case(&FLOOD_CUT_OFF; "eight times the rate while hosts are cut off")]
#[test_case(&FLOOD_SMALL_CUT_OFF; "a small workspace floods while hosts are cut off")]
#[test_case(&LARGE_FLEET; "a small workspace on a large fleet")]
#[test_case(&LARGE_FLEET_FLOOD; "a small workspace floods a large fleet")]
#[test_case(&LARGE_FLEET_FLOOD_LARGE_WORKSPACE; "a large workspace floods a large fleet")]
#[test_case(&LARGE_FLEET_FLOOD_CUT_OFF; "a flood while a third of a large fleet is cut off")]
#[test_case(&FOLLOWERS; "a small workspace on followers")]
#[test_case(&FOLLOWERS_FLOOD; "a large workspace floods many followers")]
#[test_case(&FEW_FOLLOWERS_FLOOD; "a workspace floods few followers")]
fn the_bound_holds_in_every_window(case: &Case) {
    let (mut offered, mut admitted) = (0, 0);
    for seed in SEEDS {
        let (seed_offered, admission_times_ms) = simulate(case, seed);
        offered += seed_offered;
        admitted += admission_times_ms.len() as u32;
    }
    let share = f64::from(admitted) / f64::from(offered);
    assert!(share >= case.min_admitted_share, "{share} of the requests were admitted");
}

struct FloodCase {
    flood: &'static Case,
    /// Smallest share of the rate that must be admitted in every two seconds.
    min_share_of_rate: f64,
}

/// Fails if a workspace that exceeds its rate uses up the window within a second, so that its callers are
/// refused for seconds after that, also those within the rate.
#[test_case(&FloodCase { flood: &FLOOD, min_share_of_rate: 0.8 }; "eight times the rate")]
#[test_case(&FloodCase { flood: &FLOOD_CUT_OFF, min_share_of_rate: 0.6 }; "while hosts are cut off")]
#[test_case(&FloodCase { flood: &FOLLOWERS_FLOOD, min_share_of_rate: 0.5 }; "counts that arrive through relays")]
fn a_flooding_workspace_keeps_its_rate(case: &FloodCase) {
    for seed in SEEDS {
        let (_, admission_times_ms) = simulate(case.flood, seed);
        // The burst is used up by then.
        for start_ms in (8000..18_000_u64).step_by(500) {
            let window = start_ms..start_ms + 2000_u64;
            let admitted = admission_times_ms.iter().filter(|t| window.contains(*t)).count();
            let share = admitted as f64 / (2.0 * case.flood.rate);
            assert!(share >= case.min_share_of_rate, "seed {seed}: {share} from {start_ms} ms on");
        }
    }
}

struct BurstCase {
    rate: f64,
    burst: f64,
    /// Hosts, of which one gets all requests.
    hosts: usize,
}

/// Fails if a workspace that uses only its burst is admitted at its rate.
#[test_case(&BurstCase { rate: 2.0, burst: 20.0, hosts: 10 }; "ten times the rate")]
#[test_case(&BurstCase { rate: 40.0, burst: 40.0, hosts: 10 }; "as large as the rate")]
fn a_burst_is_not_paced(case: &BurstCase) {
    let workspace = Workspace { burst: case.burst, ..workspace("w", case.rate) };
    let mut quotas = Quotas::default();
    let remote =
        || RemoteUsage { host_count: case.hosts, unreachable_hosts: 0, ..RemoteUsage::default() };
    let admit = |millis| quotas.try_admit(at(millis), &bounds(), &workspace, remote).is_ok();
    // Callers ask every 20 ms for two seconds.
    let admitted = (0..2000).step_by(20).map(admit).filter(|is_admitted| *is_admitted).count();
    assert!(admitted as f64 >= 0.7 * case.burst, "{admitted} of a burst of {}", case.burst);
}

/// Fails if tokens that hosts keep from a flood exceed the window together when it resumes after a pause.
#[test_case(0.2, false; "a small burst")]
#[test_case(1.0, false; "a burst as large as the rate")]
#[test_case(5.0, false; "a large burst")]
#[test_case(1.0, true; "counts that arrive through relays")]
fn a_flood_that_pauses_keeps_the_bound(burst_per_rate: f64, is_delayed: bool) {
    let (rate, host_count) = (80.0, 10);
    let workspace = Workspace { burst: burst_per_rate * rate, ..workspace("w", rate) };
    let exchange_steps = if is_delayed { 70 } else { 20 };
    for pause_ms in [500, 1000, 2000, 4000] {
        let mut hosts: Vec<Quotas> = vec![Quotas::default(); host_count];
        let mut published = vec![0.0; host_count];
        let mut admission_times_ms = Vec::new();
        for step in 0..2500_u64 {
            let now = at(1000 + step * 10);
            if step % exchange_steps == 0 {
                let received = published.clone();
                for (n, host) in hosts.iter_mut().enumerate() {
                    published[n] = host.admitted_in_window().map(|(_, admitted)| admitted).sum();
                    let admitted = received.iter().sum::<f64>() - received[n];
                    let remote =
                        RemoteUsage { admitted, host_count, unreachable_hosts: 0, is_delayed };
                    host.update_remote_usage(now, &bounds(), |_| remote);
                }
            }
            // Bursts of three seconds with pauses between them.
            if (step * 10) % (3000 + pause_ms) >= 3000 {
                continue;
            }
            for host in hosts.iter_mut().filter(|_| step % 3 == 0) {
                let remote = || RemoteUsage { host_count, is_delayed, ..RemoteUsage::default() };
                if host.try_admit(now, &bounds(), &workspace, remote).is_ok() {
                    admission_times_ms.push(step * 10);
                }
            }
        }
        let bounds = bounds();
        let nominal = rate * bounds.quota_window.as_secs_f64() + workspace.burst;
        let bound = nominal * (1.0 + bounds.quota_overage) + bounds.quota_slack;
        for (n, start) in admission_times_ms.iter().enumerate() {
            let count = admission_times_ms[n..].iter().take_while(|t| **t < start + 5000).count();
            assert!(count as f64 <= bound, "pause {pause_ms} ms: {count}, the bound is {bound}");
        }
    }
}

/// Returns the number of offered requests and the times at which requests were admitted, in milliseconds.
fn simulate(case: &Case, seed: u64) -> (u32, Vec<u64>) {
    let (bounds, workspace) = (bounds(), workspace("w", case.rate));
    let mut hosts: Vec<Quotas> = vec![Quotas::default(); case.hosts];
    let mut published_counts = vec![0.0; case.hosts];
    let (mut offered, mut admission_times_ms) = (0u32, Vec::new());
    let remote_usage = |n: usize, counts: &[f64]| {
        let reaches = |m: usize| n >= case.cut_off && m >= case.cut_off && m != n;
        let admitted = (0..case.hosts).filter(|m| reaches(*m)).map(|m| counts[m]).sum();
        let unreachable_hosts = (0..case.hosts).filter(|m| *m != n && !reaches(*m)).count();
        RemoteUsage {
            admitted,
            host_count: case.hosts,
            unreachable_hosts,
            is_delayed: case.is_delayed,
        }
    };
    for step in 0..2000u64 {
        let now = at(1000 + step * 10);
        if step % case.exchange_steps == 0 {
            let received_counts = published_counts.clone();
            for (n, host) in hosts.iter_mut().enumerate() {
                published_counts[n] = host.admitted_in_window().map(|(_, admitted)| admitted).sum();
                let remote = remote_usage(n, &received_counts);
                host.update_remote_usage(now, &bounds, |_| remote);
            }
        }
        for (n, host) in hosts.iter_mut().enumerate() {
            let rate = case.offered.get(n).or(case.offered.last()).unwrap_or(&0.0);
            // Requests arrive at random with this mean rate.
            if unit_interval(stable_hash(step + (seed << 32), &n.to_le_bytes())) < rate * 0.01 {
                offered += 1;
                if host
                    .try_admit(now, &bounds, &workspace, || remote_usage(n, &published_counts))
                    .is_ok()
                {
                    admission_times_ms.push(step * 10);
                }
            }
        }
    }
    let window_ms = bounds.quota_window.as_millis() as u64;
    let nominal = case.rate * bounds.quota_window.as_secs_f64() + workspace.burst;
    let bound = nominal * (1.0 + bounds.quota_overage) + bounds.quota_slack;
    for (n, start) in admission_times_ms.iter().enumerate() {
        let count = admission_times_ms[n..].iter().take_while(|t| **t < start + window_ms).count();
        assert!(count as f64 <= bound, "seed {seed}: {count} in a window, the bound is {bound}");
    }
    (offered, admission_times_ms)
}

#[test]
fn a_workspace_without_a_rate_is_not_limited() {
    let mut quotas = Quotas::default();
    let free = workspace("w", 0.0);
    assert!(
        (0..1000).all(|_| quotas.try_admit(at(0), &bounds(), &free, RemoteUsage::default).is_ok())
    );
}

#[test]
fn a_refusal_reports_the_time_until_the_next_token() {
    let (bounds, small, mut quotas) = (bounds(), workspace("w", 1.0), Quotas::default());
    let refused = (0..1000)
        .find_map(|_| quotas.try_admit(at(0), &bounds, &small, RemoteUsage::default).err());
    let wait = refused.expect("a burst of a thousand is over the quota");
    assert!(wait > Duration::ZERO && wait <= Duration::from_secs(5));
}

/// Fails if requests over a quota count as demand: a workspace that sends several times its rate then
/// makes all regions look overloaded, and their shares and cache decisions follow it.
#[test]
fn requests_over_a_quota_are_no_demand() {
    let servers = [entry("s1", "lookup", "a1")];
    let catalog = Catalog::new(
        1,
        vec![route("read", "lookup", Repeat::Idempotent)],
        vec![service("lookup")],
        vec![workspace("w", 2.0)],
        Limits::default(),
    );
    let mut steering = Steering::new(Arc::new(View { servers: Arc::default(), ..view(&servers) }));
    steering.install_view(at(0), Arc::new(View { catalog: Arc::new(catalog), ..view(&servers) }));
    let (mut sent, mut within_quota) = (0, 0);
    for millis in (0..10_000).step_by(10) {
        let id = format!("r{millis}");
        let head = RequestHead {
            id: &id,
            host: "example",
            path: "/read/x",
            key: Some("key-w"),
            object: None,
            caller_timeout: None,
        };
        let request = steering.admit(at(millis), &head).expect("the configuration allows it");
        sent += 1;
        within_quota += u32::from(steering.charge_quota(at(millis), &request).is_ok());
        steering.tick(at(millis));
    }
    assert!(within_quota * 5 < sent, "most requests are over the quota");
    let rates = steering.local_traffic_stats().request_rates;
    let rate = rates.get(&name_hash("lookup")).copied().unwrap_or_default();
    let mean_rate = within_quota as f32 / 10.0;
    assert!(rate < 2.0 * mean_rate, "{rate} requests a second instead of {mean_rate}");
}
