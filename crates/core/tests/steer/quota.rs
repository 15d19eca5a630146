//! Workspace quotas over all hosts: the bound, and the share of requests admitted within it.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    declaration::Repeat,
    host::Incarnation,
    steer::{
        admitted::AdmittedCounts,
        catalog::{Catalog, Limits, Workspace},
        digest::{Digest, RegionSummary, StateSum, TrafficStats, name_hash},
        quota::{Quotas, RemoteUsage, slot_length},
        stable_hash,
        steering::{RequestHead, Steering},
        unit_interval,
        view::View,
    },
};
use test_case::test_case;

use crate::common::{at, bounds, digest, entry, region_summary, route, service, view, workspace};

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

struct RestartCase<'a> {
    flood: &'a Case,
    /// Restarts of hosts from this one on, and the times at which they are killed, in milliseconds.
    from_host: usize,
    kills_ms: &'static [u64],
    /// Longest time from a kill to the first request of a new host, in milliseconds.
    down_ms: u64,
}

const HERD_KILL: RestartCase<'static> =
    RestartCase { flood: &FLOOD, from_host: 0, kills_ms: &[2500], down_ms: 1000 };

/// Fails if a workspace gets its burst a second time within a window because hosts have restarted and no
/// longer know what was admitted before.
#[test_case(&HERD_KILL; "all hosts")]
#[test_case(&RestartCase { kills_ms: &[300], ..HERD_KILL }; "all hosts, soon after the flood has begun")]
#[test_case(&RestartCase { kills_ms: &[2500, 4500], ..HERD_KILL }; "all hosts twice in one window")]
#[test_case(&RestartCase { kills_ms: &[1000, 2500, 4000, 5500], down_ms: 500, ..HERD_KILL }; "all hosts again and again")]
#[test_case(&RestartCase { from_host: 1, ..HERD_KILL }; "all hosts but one")]
#[test_case(&RestartCase { from_host: 4, ..HERD_KILL }; "more than half of the hosts")]
#[test_case(&RestartCase { flood: &FLOOD_CUT_OFF, from_host: 4, ..HERD_KILL }; "all hosts that are not cut off")]
#[test_case(&RestartCase { flood: &FEW_FOLLOWERS_FLOOD, ..HERD_KILL }; "counts that arrive through relays")]
#[test_case(&RestartCase { flood: &LARGE_FLEET_FLOOD_LARGE_WORKSPACE, ..HERD_KILL }; "a large fleet")]
#[test_case(&RestartCase { flood: &LARGE_FLEET_FLOOD, ..HERD_KILL }; "a small workspace on a large fleet")]
fn restarts_grant_no_second_burst(case: &RestartCase<'_>) {
    for seed in SEEDS {
        simulate_with_restarts(case.flood, seed, case);
    }
}

/// Fails if callers within the rate are refused for long because all hosts have restarted.
#[test_case(&RestartCase { flood: &EVEN, ..HERD_KILL }, 0.9; "even demand")]
#[test_case(&RestartCase { flood: &SMALL, ..HERD_KILL }, 0.85; "a small workspace")]
#[test_case(&RestartCase { flood: &LARGE_FLEET, ..HERD_KILL }, 0.75; "a small workspace on a large fleet")]
fn callers_within_the_rate_are_served_after_a_restart(case: &RestartCase<'_>, min_share: f64) {
    let (mut offered, mut admitted) = (0, 0);
    for seed in SEEDS {
        let run = simulate_with_restarts(case.flood, seed, case);
        let after = 2500 + case.down_ms..2500 + case.down_ms + 5000;
        offered += run.offered_times_ms.iter().filter(|t| after.contains(t)).count();
        admitted += run.admission_times_ms.iter().filter(|t| after.contains(t)).count();
    }
    let share = admitted as f64 / offered as f64;
    assert!(share >= min_share, "{share} of the requests in the first window were admitted");
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
        let mut published = vec![AdmittedCounts::default(); host_count];
        let mut admission_times_ms = Vec::new();
        for step in 0..2500_u64 {
            let now = at(1000 + step * 10);
            if step % exchange_steps == 0 {
                let received = published.clone();
                for (n, host) in hosts.iter_mut().enumerate() {
                    let counts = host.admitted_in_window().next().map(|(_, counts)| counts);
                    published[n] = counts.unwrap_or_default();
                    let mut admitted = AdmittedCounts::default();
                    let others = received.iter().enumerate().filter(|(m, _)| *m != n);
                    others.for_each(|(_, counts)| admitted.add(counts));
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

struct Run {
    offered_times_ms: Vec<u64>,
    admission_times_ms: Vec<u64>,
}

/// Returns the number of offered requests and the times at which requests were admitted, in milliseconds.
fn simulate(case: &Case, seed: u64) -> (u32, Vec<u64>) {
    let no_restart = RestartCase { flood: case, kills_ms: &[], ..HERD_KILL };
    let run = simulate_with_restarts(case, seed, &no_restart);
    (run.offered_times_ms.len() as u32, run.admission_times_ms)
}

/// The counts of a host as the others have them.
#[derive(Clone, Copy, Default)]
struct Published {
    counts: AdmittedCounts,
    /// What its processes that have ended had admitted, and the step of the last one.
    ended: AdmittedCounts,
    ended_at_step: u64,
}

fn simulate_with_restarts(case: &Case, seed: u64, restarts: &RestartCase<'_>) -> Run {
    let (bounds, workspace) = (bounds(), workspace("w", case.rate));
    let mut hosts: Vec<Quotas> = vec![Quotas::default(); case.hosts];
    let mut published = vec![Published::default(); case.hosts];
    let mut run = Run { offered_times_ms: Vec::new(), admission_times_ms: Vec::new() };
    let mut serves_from_step = vec![0; case.hosts];
    let restarted_at_step = |n: usize, step: u64| {
        let kills = restarts.kills_ms.iter().filter(|_| n >= restarts.from_host);
        kills.map(|ms| ms / 10).filter(|kill| *kill <= step).max()
    };
    let slot_steps = slot_length(&bounds).as_millis() as u64 / 10;
    let remote_usage = |n: usize, step: u64, published: &[Published]| {
        let reaches = |m: usize| n >= case.cut_off && m >= case.cut_off && m != n;
        let mut admitted = AdmittedCounts::default();
        for m in (0..case.hosts).filter(|m| reaches(*m)) {
            admitted.add(&published[m].counts);
            // A host does not know of processes that had ended before it started.
            if restarted_at_step(n, step) < restarted_at_step(m, step) {
                let slots = (step - published[m].ended_at_step) / slot_steps;
                admitted.add(&published[m].ended.aged(slots));
            }
        }
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
        for n in restarts.from_host..case.hosts {
            if restarted_at_step(n, step) != Some(step) {
                continue;
            }
            let known = published[n];
            let mut ended = known.ended.aged((step - known.ended_at_step) / slot_steps);
            ended.add(&known.counts);
            published[n] = Published { ended, ended_at_step: step, ..Published::default() };
            let down = unit_interval(stable_hash(seed, &[n as u8])) * restarts.down_ms as f64;
            serves_from_step[n] = step + down as u64 / 10;
        }
        for n in 0..case.hosts {
            if step > 0 && serves_from_step[n] == step {
                hosts[n] = Quotas::starting_at(now);
            }
        }
        let serves = |n: usize| serves_from_step[n] <= step;
        if step % case.exchange_steps == 0 {
            let received = published.clone();
            for (n, host) in hosts.iter_mut().enumerate().filter(|(n, _)| serves(*n)) {
                let counts = host.admitted_in_window().next().map(|(_, counts)| counts);
                published[n].counts = counts.unwrap_or_default();
                let remote = remote_usage(n, step, &received);
                host.update_remote_usage(now, &bounds, |_| remote);
            }
        }
        for (n, host) in hosts.iter_mut().enumerate().filter(|(n, _)| serves(*n)) {
            let rate = case.offered.get(n).or(case.offered.last()).unwrap_or(&0.0);
            // Requests arrive at random with this mean rate.
            if unit_interval(stable_hash(step + (seed << 32), &n.to_le_bytes())) < rate * 0.01 {
                run.offered_times_ms.push(step * 10);
                let remote = || remote_usage(n, step, &published);
                if host.try_admit(now, &bounds, &workspace, remote).is_ok() {
                    run.admission_times_ms.push(step * 10);
                }
            }
        }
    }
    let window_ms = bounds.quota_window.as_millis() as u64;
    let nominal = case.rate * bounds.quota_window.as_secs_f64() + workspace.burst;
    let bound = nominal * (1.0 + bounds.quota_overage) + bounds.quota_slack;
    let times = &run.admission_times_ms;
    for (n, start) in times.iter().enumerate() {
        let count = times[n..].iter().take_while(|t| **t < start + window_ms).count();
        assert!(count as f64 <= bound, "seed {seed}: {count} in a window, the bound is {bound}");
    }
    run
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

/// A host of region `a` that has had a request of the workspace `w`.
fn host_with_a_request() -> Steering {
    let servers = [entry("s1", "lookup", "a1")];
    let catalog = Catalog::new(
        1,
        vec![route("read", "lookup", Repeat::Idempotent)],
        vec![service("lookup")],
        vec![workspace("w", 80.0)],
        Limits::default(),
    );
    let mut steering = Steering::new(Arc::new(View { servers: Arc::default(), ..view(&servers) }));
    steering.install_view(at(0), Arc::new(View { catalog: Arc::new(catalog), ..view(&servers) }));
    let head = RequestHead {
        id: "r1",
        host: "example",
        path: "/read/x",
        key: Some("key-w"),
        object: None,
        caller_timeout: None,
    };
    let request = steering.admit(at(1000), &head).expect("the configuration allows it");
    steering.charge_quota(at(1000), &request).expect("the quota allows it");
    steering
}

fn stats_with(admitted: u32) -> TrafficStats {
    let admitted = [(name_hash("w"), vec![admitted].into())].into();
    TrafficStats { admitted, ..TrafficStats::default() }
}

fn summary_with(sender: u64, sequence: u64, hosts: &[u64], admitted: u32) -> RegionSummary {
    RegionSummary {
        hosts: hosts.iter().map(|host| (Incarnation(*host), true)).collect(),
        stats: stats_with(admitted),
        ..region_summary("b", sender, sequence)
    }
}

struct EndedCase {
    /// What the host receives, with the times in milliseconds.
    receive: fn(&mut Steering),
    /// Requests of others that it counts 2 s and 7 s after the first message.
    counted: (f64, f64),
}

/// Fails if the requests that a host had admitted are forgotten when it ends: the others then admit them
/// a second time in the same window.
#[test_case(&EndedCase { counted: (7.0, 0.0), receive: |s| {
    s.receive_digest(at(1000), Digest { stats: stats_with(7), ..digest(2, "a2") });
} }; "a host of the region")]
#[test_case(&EndedCase { counted: (7.0, 0.0), receive: |s| {
    s.receive_region_summary(at(1000), &summary_with(20, 1, &[20, 21], 7));
} }; "a region")]
#[test_case(&EndedCase { counted: (11.0, 0.0), receive: |s| {
    s.receive_region_summary(at(1000), &summary_with(20, 1, &[20, 21], 9));
    s.receive_region_summary(at(2800), &summary_with(30, 1, &[30, 31], 2));
} }; "a region whose hosts have restarted")]
#[test_case(&EndedCase { counted: (2.0, 0.0), receive: |s| {
    s.receive_region_summary(at(1000), &summary_with(20, 1, &[20, 21], 9));
    s.receive_region_summary(at(2800), &summary_with(21, 1, &[20, 21], 2));
} }; "a region whose hosts are still there")]
fn admitted_requests_outlast_their_host(case: &EndedCase) {
    let mut steering = host_with_a_request();
    (case.receive)(&mut steering);
    let mut counted_at = |millis| {
        steering.tick(at(millis));
        steering.quota_state("w").remote.admitted.total()
    };
    assert_eq!((counted_at(3000), counted_at(9000)), case.counted);
}

/// Fails if a relay leaves out of its sums what a follower had admitted that has ended.
#[test]
fn sums_include_followers_that_have_ended() {
    let mut steering = host_with_a_request();
    let follower = Digest { is_relay: false, stats: stats_with(7), ..digest(2, "a1") };
    steering.receive_digest(at(1000), follower);
    let admitted = |sum: StateSum| sum.stats.admitted.get(&name_hash("w")).map(|c| c.total());
    let others = [Incarnation(2)];
    assert_eq!(admitted(steering.sum_of_hosts(at(1100), &others)), Some(7.0));
    assert_eq!(admitted(steering.sum_of_hosts(at(3000), &[])), Some(7.0));
    assert_eq!(admitted(steering.sum_of_region(at(3000), None)), Some(8.0));
    assert_eq!(admitted(steering.sum_of_hosts(at(9000), &[])), None);
}
