//! Rate and burst on real processes: what callers got admitted, against the bound, while hosts
//! die and are paused; and what refused callers are told.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use jasminestage_standins::fleet::{Fleet, FleetOptions};
use tokio::time::{Instant, sleep, sleep_until};

const HOSTS: &[(&str, &str)] = &[("a", "d1"), ("b", "d2"), ("c", "d3")];
const KEY: &str = "key-of-w";
const RATE: f64 = 60.0;
const BURST: f64 = 30.0;
/// Requests per second that the callers send, several times the rate.
const OFFERED: u64 = 240;
const LENGTH: Duration = Duration::from_secs(8);

fn declaration() -> String {
    use sha2::{Digest, Sha256};
    let digest: String = Sha256::digest(KEY).iter().map(|b| format!("{b:02x}")).collect();
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
        "{domains}[workspace w]\nkeys = sha256:{digest}\nrate = {RATE}\nburst = {BURST}\n{}{}{}",
        server(1, "d1"),
        server(2, "d2"),
        server(3, "d3")
    )
}

/// When a request was sent and when its answer came, if it was admitted.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    sent: Duration,
    answered: Duration,
}

struct Case {
    name: &'static str,
    /// Hosts that callers use.
    used: &'static [usize],
    /// Host that is killed after a quarter of the time.
    killed: Option<usize>,
    /// Host that is paused from the half to three quarters of the time.
    paused: Option<usize>,
    /// Failure domain that is cut off from the half to three quarters of the time.
    cut: Option<&'static str>,
    /// Least share of `rate x time` that is admitted all the same.
    least: f64,
}

const CALM: Case = Case {
    name: "through all hosts",
    used: &[0, 1, 2],
    killed: None,
    paused: None,
    cut: None,
    least: 0.7,
};

const CASES: &[Case] = &[
    CALM,
    Case { name: "through one host", used: &[0], ..CALM },
    Case { name: "one failure domain is cut off", cut: Some("d2"), least: 0.3, ..CALM },
    Case {
        name: "one host dies, one is paused",
        killed: Some(2),
        paused: Some(1),
        least: 0.3,
        ..CALM
    },
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_window_admits_more_than_rate_and_burst() {
    for case in CASES {
        let dir = tempfile::tempdir().expect("a temporary directory is created");
        let options = FleetOptions {
            declaration: declaration(),
            hosts: HOSTS.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
            service_time: Duration::from_millis(1),
            use_forwarders: case.cut.is_some(),
            ..FleetOptions::default()
        };
        let mut fleet = Fleet::start(dir.path(), options).await.expect("the fleet starts");
        let used: Vec<_> =
            case.used.iter().map(|n| fleet.hosts[*n].options.caller_address).collect();
        let start = Instant::now();
        let load = tokio::spawn(load(start, used));
        sleep(LENGTH / 4).await;
        if let Some(n) = case.killed {
            fleet.hosts[n].kill();
        }
        sleep(LENGTH / 4).await;
        if let Some(domain) = case.cut {
            fleet.set_partitioned(domain, true);
            sleep(LENGTH / 4).await;
            fleet.set_partitioned(domain, false);
        }
        if let Some(n) = case.paused {
            fleet.hosts[n].signal("STOP").expect("the host is paused");
            sleep(LENGTH / 4).await;
            fleet.hosts[n].signal("CONT").expect("the host goes on");
        }
        let admitted = load.await.expect("the load ends");
        let over = worst_window(&admitted);
        assert!(over <= 0.0, "{}: {over} above rate x window + burst", case.name);
        let least = case.least * RATE * LENGTH.as_secs_f64();
        let count = admitted.len();
        assert!(count as f64 >= least, "{}: {count} admitted, not {least}", case.name);
    }
}

/// Sends requests to the hosts in turn.
async fn load(start: Instant, hosts: Vec<SocketAddr>) -> Vec<Admitted> {
    let http = reqwest::Client::new();
    let admitted = Arc::new(Mutex::new(Vec::new()));
    let mut running = Vec::new();
    let count = OFFERED * LENGTH.as_secs();
    for (n, host) in (0..count).zip(hosts.iter().cycle()) {
        sleep_until(start + Duration::from_millis(n * 1000 / OFFERED)).await;
        let (http, admitted, url) =
            (http.clone(), Arc::clone(&admitted), format!("http://{host}/v1/routes/read/a"));
        running.push(tokio::spawn(async move {
            let sent = start.elapsed();
            let req = http.post(url).timeout(Duration::from_secs(3)).bearer_auth(KEY).body("x");
            let Ok(answer) = req.send().await else { return };
            if answer.status() == 200 {
                let answered = start.elapsed();
                admitted.lock().expect("no holder panics").push(Admitted { sent, answered });
            } else if answer.status() == 429 {
                let again = answer.headers().get("retry-after").expect("429 says when to retry");
                let seconds: u64 = again.to_str().expect("text").parse().expect("a number");
                assert!((1..=2).contains(&seconds), "retry-after {seconds}");
            }
        }));
    }
    for task in running {
        task.await.expect("a request ends");
    }
    let admitted = Arc::into_inner(admitted).expect("all requests have ended");
    admitted.into_inner().expect("no holder panics")
}

/// The most that was admitted above `rate x window + burst`. A request was admitted at some moment
/// between sending and answer, so it counts for windows that hold both.
fn worst_window(admitted: &[Admitted]) -> f64 {
    let mut by_end = admitted.to_vec();
    by_end.sort_by_key(|a| a.answered);
    let over = by_end.iter().map(|first| {
        let inside = by_end.iter().filter(|a| a.sent >= first.sent);
        let most = inside.enumerate().map(|(before, last)| {
            let window = last.answered.saturating_sub(first.sent).as_secs_f64();
            (before + 1) as f64 - RATE * window - BURST
        });
        most.fold(f64::MIN, f64::max)
    });
    over.fold(f64::MIN, f64::max)
}
