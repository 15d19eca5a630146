//! Servers that state in their responses how many requests per second they take from all hosts.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use jasminestage_core::{
    steer::{
        limits::StatedLimit,
        server::{AttemptOutcome, ServerReport},
        steering::{RequestHead, Steering},
        view::View,
    },
    time::Instant,
};
use test_case::test_case;

use crate::common::{announcement, at, digest, entry, peer, view};

/// Time between two digests of a host.
const TURN_MS: u64 = 200;
/// Time in which a server responds.
const RESPONSE_MS: u64 = 60;
/// Span in which the requests of a server are counted.
const WINDOW_MS: u64 = 4000;

/// Hosts of one region that exchange digests, and servers that state a limit.
struct Fleet {
    hosts: Vec<Steering>,
    /// Arrivals at each server, in milliseconds.
    arrivals: HashMap<String, Vec<u64>>,
    served: usize,
}

impl Fleet {
    fn new(host_count: u64, server_count: usize) -> Fleet {
        let hosts = (1..=host_count).map(|host| start(host, host_count, server_count, 0)).collect();
        Fleet { hosts, arrivals: HashMap::new(), served: 0 }
    }

    /// Plays a span with `rate` requests per second, spread over the hosts in turn; `limit` is what
    /// the servers state in a response.
    fn run(
        &mut self,
        millis: std::ops::Range<u64>,
        rate: f64,
        limit: impl Fn(&str, u64) -> StatedLimit,
    ) {
        let mut due = 0.0;
        let mut in_flight: VecDeque<_> = VecDeque::new();
        for now in millis {
            due += rate / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                let id = format!("r{now}-{due}");
                let index = stable_index(&id, self.hosts.len());
                let host = &mut self.hosts[index];
                let head = RequestHead { id: &id, ..HEAD };
                let mut request = host.admit(at(now), &head).expect("the request is admitted");
                if let Ok(dispatch) = host.choose_server(at(now), &mut request) {
                    let server = dispatch.server.id.clone();
                    self.arrivals.entry(server.clone()).or_default().push(now);
                    in_flight.push_back((now + RESPONSE_MS, index, request, server));
                }
            }
            while in_flight.front().is_some_and(|(at, ..)| *at <= now) {
                let Some((_, index, mut request, server)) = in_flight.pop_front() else { break };
                let report = ServerReport { limit: limit(&server, now), ..ServerReport::default() };
                let took = Duration::from_millis(RESPONSE_MS);
                let outcome = AttemptOutcome::Answered { status: 200, took };
                self.hosts[index].finish_attempt(at(now), &mut request, outcome, Some(report));
                self.served += 1;
            }
            if now.is_multiple_of(TURN_MS) {
                self.exchange(at(now));
            }
        }
    }

    fn exchange(&mut self, now: Instant) {
        let digests: Vec<_> = (1..)
            .zip(&self.hosts)
            .map(|(host, s)| {
                let (in_flight, stats) = (s.in_flight(), s.local_traffic_stats());
                jasminestage_core::steer::digest::Digest { in_flight, stats, ..digest(host, "a1") }
            })
            .collect();
        for (receiver, host) in self.hosts.iter_mut().enumerate() {
            host.tick(now);
            let others = digests.iter().enumerate().filter(|(sender, _)| *sender != receiver);
            others.for_each(|(_, digest)| host.receive_digest(now, digest.clone()));
        }
    }

    /// Largest number of requests that a server got in a window that begins at `from` or later.
    fn most_in_window(&self, server: &str, from: u64) -> usize {
        let arrivals = self.arrivals.get(server).map(Vec::as_slice).unwrap_or_default();
        let starts = arrivals.iter().filter(|at| **at >= from);
        let counts = starts.map(|start| {
            arrivals.iter().filter(|at| (*start..start + WINDOW_MS).contains(at)).count()
        });
        counts.max().unwrap_or(0)
    }
}

fn stable_index(id: &str, count: usize) -> usize {
    jasminestage_core::steer::stable_hash(99, id.as_bytes()) as usize % count
}

const HEAD: RequestHead<'_> = RequestHead {
    id: "",
    host: "example",
    path: "/read/x",
    key: Some("key-w"),
    object: None,
    caller_timeout: None,
};

/// Starts one of the hosts.
fn start(host: u64, host_count: u64, server_count: usize, now: u64) -> Steering {
    let mut servers: Vec<_> =
        (0..server_count).map(|n| entry(&format!("s{n}"), "lookup", "a1")).collect();
    servers.iter_mut().for_each(|s| s.slots = 1000);
    let peers = (1..=host_count).filter(|p| *p != host).map(|p| peer(p, "a1")).collect();
    let view =
        View { local_host: announcement(host, "a1"), peers: Arc::new(peers), ..view(&servers) };
    let mut steering = Steering::new(Arc::new(View { servers: Arc::default(), ..view.clone() }));
    steering.install_view(at(now), Arc::new(view));
    steering.tick(at(now));
    steering
}

struct Case {
    hosts: u64,
    limit: f64,
    /// Requests per second for the service.
    rate: f64,
}

/// From a few seconds after a server first states its limit, all hosts together keep to it, though most
/// of them can send less than one request in that time.
#[test_case(&Case { hosts: 3, limit: 20.0, rate: 300.0 }; "few hosts")]
#[test_case(&Case { hosts: 12, limit: 2.7, rate: 60.0 }; "12 hosts")]
#[test_case(&Case { hosts: 12, limit: 0.4, rate: 60.0 }; "less than a request a second")]
#[test_case(&Case { hosts: 78, limit: 1.0, rate: 200.0 }; "78 hosts")]
#[test_case(&Case { hosts: 78, limit: 0.0, rate: 200.0 }; "zero")]
fn all_hosts_together_keep_to_the_limit_of_a_server(case: &Case) {
    let mut fleet = Fleet::new(case.hosts, 4);
    fleet.run(0..20_000, case.rate, |_, _| StatedLimit::PerSecond(case.limit));
    let allowed = (1.5 * case.limit * 4.0 + 5.0) as usize;
    for server in ["s0", "s1", "s2", "s3"] {
        let most = fleet.most_in_window(server, 3000);
        assert!(most <= allowed, "{server} got {most} in 4 s, {allowed} allowed");
    }
    // Most of what the servers take is used.
    let taken = (case.limit * 4.0 * 20.0 * 0.5) as usize;
    assert!(fleet.served >= taken, "{} of at least {taken}", fleet.served);
}

fn limited_until_10s(_: &str, now: u64) -> StatedLimit {
    if now < 10_000 { StatedLimit::PerSecond(2.0) } else { StatedLimit::None }
}

/// Hosts that send nothing to a limited server learn from the others that its limit has ended.
#[test]
fn all_hosts_use_a_server_again_after_its_limit_has_ended() {
    let mut fleet = Fleet::new(12, 1);
    fleet.run(0..16_000, 60.0, limited_until_10s);
    let late = fleet.arrivals["s0"].iter().filter(|at| **at >= 13_000).count();
    assert!(late > 150, "{late} of 180 requests in the last 3 s");
}

#[test]
fn a_host_that_starts_learns_the_limits_from_the_others() {
    let mut fleet = Fleet::new(12, 4);
    fleet.run(0..8000, 60.0, |_, _| StatedLimit::PerSecond(2.0));
    fleet.hosts[3] = start(4, 12, 4, 8000);
    fleet.hosts[7] = start(8, 12, 4, 8000);
    fleet.run(8000..16_000, 60.0, |_, _| StatedLimit::PerSecond(2.0));
    for server in ["s0", "s1", "s2", "s3"] {
        let most = fleet.most_in_window(server, 9000);
        assert!(most <= 17, "{server} got {most} in 4 s");
    }
}

fn one_faulty(server: &str, _: u64) -> StatedLimit {
    match server {
        "s0" => StatedLimit::PerSecond(0.001),
        "s1" => StatedLimit::PerSecond(1e9),
        "s2" => StatedLimit::Unreadable,
        _ => StatedLimit::None,
    }
}

/// A value that makes no sense neither takes the service down nor draws all of its load.
#[test]
fn a_faulty_limit_does_not_affect_the_service() {
    let mut fleet = Fleet::new(6, 4);
    fleet.run(0..10_000, 100.0, one_faulty);
    assert!(fleet.served > 950, "{} of 1,000 requests", fleet.served);
    let shares = ["s1", "s2", "s3"].map(|server| fleet.arrivals[server].len());
    assert!(shares.iter().all(|n| (150..600).contains(n)), "{shares:?}");
}

struct OrderCase {
    /// When the requests were sent, in milliseconds, and what their responses state, in the order in
    /// which they arrive one after another from 1,000 ms on.
    responses: &'static [(u64, StatedLimit)],
    limit: Option<f64>,
}

const LIMIT: StatedLimit = StatedLimit::PerSecond(3.0);

#[test_case(&OrderCase { responses: &[(900, LIMIT)], limit: Some(3.0) }; "stated once")]
#[test_case(&OrderCase { responses: &[(900, LIMIT), (950, StatedLimit::None)], limit: Some(3.0) }; "an older response without it")]
#[test_case(&OrderCase { responses: &[(900, LIMIT), (1050, StatedLimit::None)], limit: None }; "a newer response without it")]
#[test_case(&OrderCase { responses: &[(900, LIMIT), (1050, StatedLimit::Unreadable)], limit: Some(3.0) }; "a value that cannot be read")]
#[test_case(&OrderCase { responses: &[(900, LIMIT), (950, StatedLimit::PerSecond(5.0))], limit: Some(5.0) }; "another figure")]
fn a_limit_holds_until_a_newer_response_comes_without_it(case: &OrderCase) {
    let mut limits = jasminestage_core::steer::limits::ServerLimits::default();
    for (now, (sent_at, stated)) in (1000..).step_by(10).zip(case.responses) {
        limits.observe(at(now), at(*sent_at), 7, *stated);
    }
    assert_eq!(limits.rate(7), case.limit);
}

/// The largest numbers that a header can hold must not end the process.
#[test_case(1e9; "a billion")]
#[test_case(1e300; "beyond all clocks")]
#[test_case(f64::MAX; "the largest number")]
fn a_huge_limit_does_not_end_the_process(limit: f64) {
    let mut fleet = Fleet::new(2, 2);
    fleet.run(0..1000, 50.0, |_, _| StatedLimit::PerSecond(limit));
    assert!(fleet.served > 40, "{} of 50 requests", fleet.served);
}
