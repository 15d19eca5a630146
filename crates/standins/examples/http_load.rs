//! Look-ups and requests over HTTP to one host: rate per core, latency, and idle processor time.
//!
//! `cargo build --release --bins && cargo run --release -p jasminestage-standins --example http_load`
//!
//! The processor time is that of the host process alone, so the load generator on the same machine
//! is not included.

use std::{
    fs,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use jasminestage_standins::fleet::{Fleet, FleetOptions};

/// Duration of each measurement.
const MEASURED_TIME: Duration = Duration::from_secs(4);
/// Number of keep-alive connections of the load generator.
const CONNECTIONS: usize = 16;

/// A declaration whose rates and slots do not limit the load.
const DECLARATION: &str = "\
[region r]
[domain d]
region = r
seats = 1
[route read]
access = keyed
repeat = idempotent
[workspace w]
keys = sha256:fd52c3bcf1d6a473c274a3ec97f5976e15a937e15781b72b402048e071e45a3f
rate = 1000000
burst = 1000000
[server s1]
route = read
version = v1
domain = d
address = 127.0.0.1:1
slots = 1000
connections = 1000
";

/// Outcomes of a load; latencies are in microseconds.
struct LoadResult {
    succeeded: u64,
    failed: u64,
    latency: Histogram<u64>,
}

/// Sends requests to `url` for `MEASURED_TIME`.
async fn run_load(url: String, key: Option<&'static str>) -> LoadResult {
    let http = reqwest::Client::new();
    let mut tasks = Vec::new();
    for _ in 0..CONNECTIONS {
        let (http, url) = (http.clone(), url.clone());
        tasks.push(tokio::spawn(async move {
            let mut load = empty_result();
            let end = Instant::now() + MEASURED_TIME;
            while Instant::now() < end {
                let start = Instant::now();
                let mut req = http.get(&url);
                if let Some(key) = key {
                    req = req.bearer_auth(key);
                }
                let ok = match req.send().await {
                    Ok(response) => {
                        response.status().is_success() && response.bytes().await.is_ok()
                    }
                    Err(_) => false,
                };
                load.succeeded += u64::from(ok);
                load.failed += u64::from(!ok);
                let _ = load.latency.record(start.elapsed().as_micros() as u64);
            }
            load
        }));
    }
    let mut all = empty_result();
    for task in tasks {
        let one = task.await.expect("the load task completes");
        all.succeeded += one.succeeded;
        all.failed += one.failed;
        all.latency.add(one.latency).expect("the histograms have the same range");
    }
    all
}

fn empty_result() -> LoadResult {
    LoadResult {
        succeeded: 0,
        failed: 0,
        latency: Histogram::new(3).expect("three significant digits are supported"),
    }
}

/// User and system processor time of a process since its start.
fn cpu_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
    let per_second = rustix::param::clock_ticks_per_second();
    Duration::from_millis((ticks(11) + ticks(12)) * 1000 / per_second)
}

fn print_result(name: &str, load: &LoadResult, cpu: Duration) {
    println!(
        "{name}: {} succeeded, {} failed, {:.0} per second of the host's processor time, p50 {} us, p99 {} us",
        load.succeeded,
        load.failed,
        load.succeeded as f64 / cpu.as_secs_f64(),
        load.latency.value_at_quantile(0.5),
        load.latency.value_at_quantile(0.99),
    );
}

#[tokio::main]
async fn main() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let options = FleetOptions {
        declaration: DECLARATION.to_owned(),
        hosts: vec![("h".to_owned(), "d".to_owned())],
        service_time: Duration::ZERO,
        ..FleetOptions::default()
    };
    let fleet = Arc::new(Fleet::start(dir.path(), options).await.expect("the fleet starts"));
    let (host, pid) = (fleet.hosts[0].options.caller_address, fleet.hosts[0].pid());
    let direct = fleet.backends["s1"].address;

    let before = cpu_time(pid);
    tokio::time::sleep(MEASURED_TIME).await;
    let idle = cpu_time(pid) - before;
    println!("idle: {:.2}% of a core", 100.0 * idle.as_secs_f64() / MEASURED_TIME.as_secs_f64());

    let before = cpu_time(pid);
    let look_ups = run_load(format!("http://{host}/v1/lookup?route=read"), None).await;
    print_result("look-ups", &look_ups, cpu_time(pid) - before);

    let before = cpu_time(pid);
    let requests = run_load(format!("http://{host}/v1/routes/read/x"), Some("load-key")).await;
    print_result("requests", &requests, cpu_time(pid) - before);

    let direct = run_load(format!("http://{direct}/x"), None).await;
    let ratio = |q| {
        requests.latency.value_at_quantile(q) as f64 / direct.latency.value_at_quantile(q) as f64
    };
    println!(
        "requests through the host against direct: p50 x{:.2}, p99 x{:.2}",
        ratio(0.5),
        ratio(0.99)
    );
}
