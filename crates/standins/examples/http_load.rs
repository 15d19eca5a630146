//! Look-ups and requests over HTTP against one host: rate per core, latency, idle processor time.
//!
//! `cargo build --release --bins && cargo run --release -p jasminestage-standins --example http_load`
//!
//! The host's processor time is read from the kernel's count of the process, so the load generator
//! on the same machine does not count.

use std::{
    fs,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use jasminestage_standins::fleet::{Fleet, FleetOptions};

/// Length of each measurement.
const LENGTH: Duration = Duration::from_secs(4);
/// Keep-alive connections of the load generator.
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

struct Load {
    done: u64,
    failed: u64,
    latency: Histogram<u64>,
}

async fn load(url: String, key: Option<&'static str>) -> Load {
    let http = reqwest::Client::new();
    let mut tasks = Vec::new();
    for _ in 0..CONNECTIONS {
        let (http, url) = (http.clone(), url.clone());
        tasks.push(tokio::spawn(async move {
            let mut load = empty();
            let end = Instant::now() + LENGTH;
            while Instant::now() < end {
                let start = Instant::now();
                let mut req = http.get(&url);
                if let Some(key) = key {
                    req = req.bearer_auth(key);
                }
                let ok = match req.send().await {
                    Ok(answer) => answer.status().is_success() && answer.bytes().await.is_ok(),
                    Err(_) => false,
                };
                load.done += u64::from(ok);
                load.failed += u64::from(!ok);
                let _ = load.latency.record(start.elapsed().as_micros() as u64);
            }
            load
        }));
    }
    let mut all = empty();
    for task in tasks {
        let one = task.await.expect("the load does not panic");
        all.done += one.done;
        all.failed += one.failed;
        all.latency.add(one.latency).expect("histograms of one shape");
    }
    all
}

fn empty() -> Load {
    Load { done: 0, failed: 0, latency: Histogram::new(3).expect("three digits are allowed") }
}

/// Processor time of a process so far.
fn cpu_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
    let per_second = rustix::param::clock_ticks_per_second();
    Duration::from_millis((ticks(11) + ticks(12)) * 1000 / per_second)
}

fn show(name: &str, load: &Load, cpu: Duration) {
    println!(
        "{name}: {} answered, {} failed, {:.0} per second of the host's processor time, p50 {} us, p99 {} us",
        load.done,
        load.failed,
        load.done as f64 / cpu.as_secs_f64(),
        load.latency.value_at_quantile(0.5),
        load.latency.value_at_quantile(0.99),
    );
}

#[tokio::main]
async fn main() {
    let dir = tempfile::tempdir().expect("a dir");
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
    tokio::time::sleep(LENGTH).await;
    let idle = cpu_time(pid) - before;
    println!("idle: {:.2}% of a core", 100.0 * idle.as_secs_f64() / LENGTH.as_secs_f64());

    let before = cpu_time(pid);
    let look_ups = load(format!("http://{host}/v1/lookup?route=read"), None).await;
    show("look-ups", &look_ups, cpu_time(pid) - before);

    let before = cpu_time(pid);
    let requests = load(format!("http://{host}/v1/routes/read/x"), Some("load-key")).await;
    show("requests", &requests, cpu_time(pid) - before);

    let direct = load(format!("http://{direct}/x"), None).await;
    let ratio = |q| {
        requests.latency.value_at_quantile(q) as f64 / direct.latency.value_at_quantile(q) as f64
    };
    println!(
        "requests through the host against direct: p50 x{:.2}, p99 x{:.2}",
        ratio(0.5),
        ratio(0.99)
    );
}
