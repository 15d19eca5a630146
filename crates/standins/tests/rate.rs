//! Rate limits on host processes: the admitted requests in any time window stay within rate and
//! burst while hosts crash, are paused or are partitioned, and refusals carry `retry-after`.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use jasminestage_standins::fleet::{Fleet, FleetOptions};
use tokio::time::{Instant, sleep, sleep_until};

const HOSTS: &[(&str, &str)] = &[("a", "d1"), ("b", "d2"), ("c", "d3")];
const API_KEY: &str = "key-of-w";
const RATE_PER_SECOND: f64 = 60.0;
const BURST_REQUESTS: f64 = 30.0;
/// Requests per second that the callers send; several times the rate.
const OFFERED_PER_SECOND: u64 = 240;
const LOAD_DURATION: Duration = Duration::from_secs(8);

fn declaration() -> String {
    use sha2::{Digest, Sha256};
    let digest: String = Sha256::digest(API_KEY).iter().map(|b| format!("{b:02x}")).collect();
    let domains = "[region r1]\n[region r2]\n\
        [domain d1]\nregion = r1\nseats = 1\n[domain d2]\nregion = r1\nseats = 1\n\
        [domain d3]\nregion = r2\nseats = 1\n\
        [route read]\naccess = keyed\nrepeat = idempotent\n";
    let server = |n: u16, domain: &str| {
        format!(
            "[server s{n}]\nroute = read\nversion = v1\ndomain = {domain}\n\
             address = 127.0.0.1:{n}\nslots = 200\n"
        )
    };
    format!(
        "{domains}[workspace w]\nkeys = sha256:{digest}\nrate = {RATE_PER_SECOND}\n\
         burst = {BURST_REQUESTS}\n{}{}{}",
        server(1, "d1"),
        server(2, "d2"),
        server(3, "d3")
    )
}

/// Times of an admitted request and its response, since the start of the load.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    sent: Duration,
    answered: Duration,
}

struct Case {
    name: &'static str,
    /// Indices of the hosts that receive requests.
    used_hosts: &'static [usize],
    /// Host that is killed after a quarter of the time.
    killed_host: Option<usize>,
    /// Host that is paused for the third quarter of the time.
    paused_host: Option<usize>,
    /// Failure domain that is partitioned for the third quarter of the time.
    partitioned_domain: Option<&'static str>,
    /// Minimum share of `rate x time` that is admitted.
    min_share: f64,
}

const BASE_CASE: Case = Case {
    name: "through all hosts",
    used_hosts: &[0, 1, 2],
    killed_host: None,
    paused_host: None,
    partitioned_domain: None,
    min_share: 0.7,
};

const CASES: &[Case] = &[
    BASE_CASE,
    Case { name: "through one host", used_hosts: &[0], ..BASE_CASE },
    Case {
        name: "one failure domain is partitioned",
        partitioned_domain: Some("d2"),
        min_share: 0.3,
        ..BASE_CASE
    },
    Case {
        name: "one host crashes, one is paused",
        killed_host: Some(2),
        paused_host: Some(1),
        min_share: 0.3,
        ..BASE_CASE
    },
];

/// Guards against hosts that together admit more than the declared rate, for example because the
/// share of a crashed or paused host is used twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_window_admits_more_than_rate_and_burst() {
    for case in CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let options = FleetOptions {
            declaration: declaration(),
            hosts: HOSTS.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
            service_time: Duration::from_millis(1),
            use_forwarders: case.partitioned_domain.is_some(),
            ..FleetOptions::default()
        };
        let mut fleet = Fleet::start(dir.path(), options).await.expect("the fleet starts");
        let used_hosts: Vec<_> =
            case.used_hosts.iter().map(|n| fleet.hosts[*n].options.caller_address).collect();
        let start = Instant::now();
        let load = tokio::spawn(send_load(start, used_hosts));
        sleep(LOAD_DURATION / 4).await;
        if let Some(n) = case.killed_host {
            fleet.hosts[n].kill();
        }
        sleep(LOAD_DURATION / 4).await;
        if let Some(domain) = case.partitioned_domain {
            fleet.set_partitioned(domain, true);
            sleep(LOAD_DURATION / 4).await;
            fleet.set_partitioned(domain, false);
        }
        if let Some(n) = case.paused_host {
            fleet.hosts[n].signal("STOP").expect("the host is paused");
            sleep(LOAD_DURATION / 4).await;
            fleet.hosts[n].signal("CONT").expect("the host is resumed");
        }
        let admitted = load.await.expect("the load task completes");
        let excess = max_excess(&admitted);
        assert!(excess <= 0.0, "{}: {excess} requests above rate x window + burst", case.name);
        let min_count = case.min_share * RATE_PER_SECOND * LOAD_DURATION.as_secs_f64();
        let count = admitted.len();
        assert!(
            count as f64 >= min_count,
            "{}: {count} admitted, fewer than {min_count}",
            case.name
        );
    }
}

/// Sends requests to the hosts in turn at a constant rate; returns those that were admitted.
async fn send_load(start: Instant, hosts: Vec<SocketAddr>) -> Vec<Admitted> {
    let http = reqwest::Client::new();
    let admitted = Arc::new(Mutex::new(Vec::new()));
    let mut requests = Vec::new();
    let count = OFFERED_PER_SECOND * LOAD_DURATION.as_secs();
    for (n, host) in (0..count).zip(hosts.iter().cycle()) {
        sleep_until(start + Duration::from_millis(n * 1000 / OFFERED_PER_SECOND)).await;
        let (http, admitted, url) =
            (http.clone(), Arc::clone(&admitted), format!("http://{host}/v1/routes/read/a"));
        requests.push(tokio::spawn(async move {
            let sent = start.elapsed();
            let req = http.post(url).timeout(Duration::from_secs(3)).bearer_auth(API_KEY).body("x");
            let Ok(response) = req.send().await else { return };
            if response.status() == 200 {
                let answered = start.elapsed();
                admitted
                    .lock()
                    .expect("no task panics while it holds the lock")
                    .push(Admitted { sent, answered });
            } else if response.status() == 429 {
                let retry_after =
                    response.headers().get("retry-after").expect("a 429 response has retry-after");
                let seconds: u64 = retry_after
                    .to_str()
                    .expect("the header is text")
                    .parse()
                    .expect("the header is a number");
                assert!((1..=2).contains(&seconds), "retry-after {seconds}");
            }
        }));
    }
    for request in requests {
        request.await.expect("the request task completes");
    }
    let admitted = Arc::into_inner(admitted).expect("all request tasks have completed");
    admitted.into_inner().expect("no task panics while it holds the lock")
}

/// Returns the highest number of admitted requests above `rate x window + burst` in any time
/// window. A request is admitted at some time between sending and response, so it counts for
/// windows that contain both.
fn max_excess(admitted: &[Admitted]) -> f64 {
    let mut by_response_time = admitted.to_vec();
    by_response_time.sort_by_key(|a| a.answered);
    let excess = by_response_time.iter().map(|first| {
        let inside = by_response_time.iter().filter(|a| a.sent >= first.sent);
        let excesses = inside.enumerate().map(|(before, last)| {
            let window = last.answered.saturating_sub(first.sent).as_secs_f64();
            (before + 1) as f64 - RATE_PER_SECOND * window - BURST_REQUESTS
        });
        excesses.fold(f64::MIN, f64::max)
    });
    excess.fold(f64::MIN, f64::max)
}
