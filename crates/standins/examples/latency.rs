//! Latency that an entry host adds to a call, and that passing a request to its owner adds.
//!
//! `cargo build --release --bins && cargo run --release -p jasminestage-standins --example latency`

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jasminestage_standins::fleet::{Fleet, FleetOptions};

/// Calls of each kind.
const CALLS: usize = 400;
/// Calls of each kind that are not counted.
const WARM_UP: usize = 50;
const KEY: &str = "sample-key-gearbox";
/// Time that a backend server takes.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// What is measured.
#[derive(Clone, Copy)]
enum Kind {
    Direct,
    Idempotent,
    AtOwner,
    Passed,
}

const KINDS: &[(&str, Kind)] = &[
    ("direct to a backend server", Kind::Direct),
    ("idempotent, one entry host", Kind::Idempotent),
    ("at most once, at its owner", Kind::AtOwner),
    ("at most once, passed to its owner", Kind::Passed),
];

#[tokio::main]
async fn main() {
    let dir = std::env::temp_dir().join(format!("latency-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a dir for the run");
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
    let mut times: Vec<Vec<Duration>> = vec![Vec::new(); KINDS.len()];
    let mut failed = 0;
    for n in 0..WARM_UP + CALLS {
        for (row, (_, kind)) in times.iter_mut().zip(KINDS) {
            match measure(&http, &fleet, *kind).await {
                Some(time) if n >= WARM_UP => row.push(time),
                Some(_) => {}
                None => failed += 1,
            }
        }
    }
    println!("{:<36} {:>8} {:>8} {:>10} {:>10}", "", "p50", "p99", "p50 ratio", "p99 ratio");
    let base = (quantile(&mut times[0], 50), quantile(&mut times[0], 99));
    for ((name, _), row) in KINDS.iter().zip(&mut times) {
        let (p50, p99) = (quantile(row, 50), quantile(row, 99));
        let ratio = |a: Duration, b: Duration| a.as_secs_f64() / b.as_secs_f64();
        let millis = |d: Duration| d.as_secs_f64() * 1e3;
        println!(
            "{name:<36} {:>5.2} ms {:>5.2} ms {:>10.2} {:>10.2}",
            millis(p50),
            millis(p99),
            ratio(p50, base.0),
            ratio(p99, base.1)
        );
    }
    println!("{failed} calls failed");
    drop(fleet);
    let _ = std::fs::remove_dir_all(dir);
}

async fn measure(http: &reqwest::Client, fleet: &Fleet, kind: Kind) -> Option<Duration> {
    let (to, id): (SocketAddr, Option<String>) = match kind {
        Kind::Direct => (fleet.backends["kat-01"].address, None),
        Kind::Idempotent => (fleet.hosts[0].options.caller_address, None),
        Kind::AtOwner | Kind::Passed => {
            let url = format!(
                "http://{}/v1/lookup?route=lizenz&client=10.1.0.1",
                fleet.hosts[0].options.caller_address
            );
            let found: serde_json::Value = http.get(url).send().await.ok()?.json().await.ok()?;
            let owner = found["hosts"][0]["name"].as_str()?;
            let wanted = |name: &str| (name == owner) == matches!(kind, Kind::AtOwner);
            let host = fleet.hosts.iter().find(|h| wanted(&h.options.name))?;
            (host.options.caller_address, Some(found["request_id"].as_str()?.to_owned()))
        }
    };
    let route = if id.is_some() { "lizenz" } else { "katalog" };
    let mut req = http.post(format!("http://{to}/v1/routes/{route}/a")).bearer_auth(KEY).body("b");
    if let Some(id) = id {
        req = req.header("idempotency-key", id);
    }
    let started = Instant::now();
    let answer = req.send().await.ok()?;
    let good = answer.status().is_success();
    answer.bytes().await.ok()?;
    good.then(|| started.elapsed())
}

fn quantile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort();
    times.get(times.len() * percent / 100).copied().unwrap_or_default()
}
