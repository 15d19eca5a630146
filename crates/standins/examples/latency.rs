//! Latency that an entry host adds to a request, and that forwarding a request to its owner adds.
//!
//! `cargo build --release --bins && cargo run --release -p jasminestage-standins --example latency`

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jasminestage_standins::fleet::{Fleet, FleetOptions};

/// Number of measured requests on each path.
const REQUESTS: usize = 400;
/// Number of requests on each path before the measurement.
const WARM_UP_REQUESTS: usize = 50;
/// API key of a workspace in the sample declaration.
const API_KEY: &str = "sample-key-gearbox";
/// Execution time of a request on a backend server.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Path of a measured request.
#[derive(Clone, Copy)]
enum RequestPath {
    Direct,
    Idempotent,
    AtOwner,
    Forwarded,
}

const REQUEST_PATHS: &[(&str, RequestPath)] = &[
    ("direct to a backend server", RequestPath::Direct),
    ("idempotent, one entry host", RequestPath::Idempotent),
    ("at most once, at its owner", RequestPath::AtOwner),
    ("at most once, forwarded to its owner", RequestPath::Forwarded),
];

#[tokio::main]
async fn main() {
    let dir = std::env::temp_dir().join(format!("latency-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the directory of the run is created");
    let hosts = [("z1", "zurich-1"), ("z2", "zurich-2"), ("g1", "geneva-1")];
    let options = FleetOptions {
        declaration: include_str!("../../../samples/lagerwerk.ini")
            .replace("rate = 300\nburst = 300", "rate = 1200000\nburst = 1200000"),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        service_time: SERVICE_TIME,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&dir, options).await.expect("the fleet starts");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let http = reqwest::Client::new();
    let mut times: Vec<Vec<Duration>> = vec![Vec::new(); REQUEST_PATHS.len()];
    let mut failed = 0;
    for n in 0..WARM_UP_REQUESTS + REQUESTS {
        for (row, (_, path)) in times.iter_mut().zip(REQUEST_PATHS) {
            match measure(&http, &fleet, *path).await {
                Some(time) if n >= WARM_UP_REQUESTS => row.push(time),
                Some(_) => {}
                None => failed += 1,
            }
        }
    }
    println!("{:<36} {:>8} {:>8} {:>10} {:>10}", "", "p50", "p99", "p50 ratio", "p99 ratio");
    let baseline = (quantile(&mut times[0], 50), quantile(&mut times[0], 99));
    for ((name, _), row) in REQUEST_PATHS.iter().zip(&mut times) {
        let (p50, p99) = (quantile(row, 50), quantile(row, 99));
        let ratio = |a: Duration, b: Duration| a.as_secs_f64() / b.as_secs_f64();
        let millis = |d: Duration| d.as_secs_f64() * 1e3;
        println!(
            "{name:<36} {:>5.2} ms {:>5.2} ms {:>10.2} {:>10.2}",
            millis(p50),
            millis(p99),
            ratio(p50, baseline.0),
            ratio(p99, baseline.1)
        );
    }
    println!("{failed} requests failed");
    drop(fleet);
    let _ = std::fs::remove_dir_all(dir);
}

async fn measure(http: &reqwest::Client, fleet: &Fleet, path: RequestPath) -> Option<Duration> {
    let (to, id): (SocketAddr, Option<String>) = match path {
        RequestPath::Direct => (fleet.backends["kat-01"].address, None),
        RequestPath::Idempotent => (fleet.hosts[0].options.caller_address, None),
        RequestPath::AtOwner | RequestPath::Forwarded => {
            let url = format!(
                "http://{}/v1/lookup?route=lizenz&client=10.1.0.1",
                fleet.hosts[0].options.caller_address
            );
            let lookup: serde_json::Value = http.get(url).send().await.ok()?.json().await.ok()?;
            let owner = lookup["hosts"][0]["name"].as_str()?;
            let is_wanted = |name: &str| (name == owner) == matches!(path, RequestPath::AtOwner);
            let host = fleet.hosts.iter().find(|h| is_wanted(&h.options.name))?;
            (host.options.caller_address, Some(lookup["request_id"].as_str()?.to_owned()))
        }
    };
    let route = if id.is_some() { "lizenz" } else { "katalog" };
    let mut req =
        http.post(format!("http://{to}/v1/routes/{route}/a")).bearer_auth(API_KEY).body("b");
    if let Some(id) = id {
        req = req.header("idempotency-key", id);
    }
    let started = Instant::now();
    let response = req.send().await.ok()?;
    let is_success = response.status().is_success();
    response.bytes().await.ok()?;
    is_success.then(|| started.elapsed())
}

fn quantile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort();
    times.get(times.len() * percent / 100).copied().unwrap_or_default()
}
