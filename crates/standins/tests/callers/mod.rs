//! Background load: callers that look up entry hosts and cache the result for its lifetime.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use jasminestage_standins::fleet::{Fleet, FleetOptions};
use tokio::task::JoinHandle;

/// API key of a workspace in the sample declaration.
pub const API_KEY: &str = "sample-key-gearbox";
/// The sample declaration with its own rate limits; `start_fleet` raises them by default.
pub const SAMPLE_DECLARATION: &str = include_str!("../../../../samples/lagerwerk.ini");

/// Outcomes of the requests of all callers.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Number of responses with status 200.
    pub succeeded: u64,
    /// Number of other outcomes, by status and result code or by connection error.
    pub failures: BTreeMap<String, u64>,
    /// Time and version of each successful response, in the order of arrival.
    pub versions: Vec<(Instant, String)>,
}

/// Concurrent callers that send requests until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    counts: Arc<Mutex<Counts>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` callers of a route that send look-ups to all hosts in turn and pause after
    /// each request.
    pub fn start(fleet: &Fleet, route: &str, count: usize, pause: Duration) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(Mutex::new(Counts::default()));
        let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|h| h.options.caller_address).collect();
        let tasks = (0..count).map(|n| {
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
            let (hosts, route) = (hosts.clone(), route.to_owned());
            tokio::spawn(async move { run_caller(n, &hosts, &route, pause, &stop, &counts).await })
        });
        Callers { tasks: tasks.collect(), stop, counts }
    }

    /// Returns the outcomes so far.
    pub fn counts(&self) -> Counts {
        self.counts.lock().expect("no caller panics").clone()
    }

    /// Stops the callers, waits for their last responses and returns all outcomes.
    pub async fn stop(self) -> Counts {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("no caller panics");
        }
        let counts = self.counts.lock().expect("no caller panics");
        counts.clone()
    }
}

async fn run_caller(
    index: usize,
    hosts: &[SocketAddr],
    route: &str,
    pause: Duration,
    stop: &AtomicBool,
    counts: &Mutex<Counts>,
) {
    let http = reqwest::Client::new();
    let mut cached: Option<(Instant, Vec<String>)> = None;
    for iteration in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let is_expired =
            cached.as_ref().is_none_or(|(at, _)| at.elapsed() > Duration::from_secs(5));
        if is_expired {
            cached = look_up(&http, hosts[(index + iteration) % hosts.len()], route, index).await;
        }
        let Some((_, addresses)) = &cached else { continue };
        let host = &addresses[index % addresses.len()];
        let url = format!("http://{host}/v1/routes/{route}/x");
        let body = format!("{index}-{iteration}");
        let response = http.post(url).bearer_auth(API_KEY).body(body).send().await;
        let outcome = read_version(response).await;
        record(counts, outcome);
        tokio::time::sleep(pause).await;
    }
}

fn record(counts: &Mutex<Counts>, outcome: Result<String, String>) {
    let mut counts = counts.lock().expect("no caller panics");
    match outcome {
        Ok(version) => {
            counts.succeeded += 1;
            counts.versions.push((Instant::now(), version));
        }
        Err(failure) => *counts.failures.entry(failure).or_default() += 1,
    }
}

/// Returns the version that the response names, or a description of the failure.
async fn read_version(response: reqwest::Result<reqwest::Response>) -> Result<String, String> {
    let response = response.map_err(|e| format!("connection error: {e:?}"))?;
    let (status, headers) = (response.status(), response.headers());
    if status != 200 {
        return Err(format!("{status}: {:?}", headers.get("jasminestage-code")));
    }
    let body: serde_json::Value =
        response.json().await.map_err(|e| format!("connection error: {e:?}"))?;
    Ok(body["version"].as_str().unwrap_or_default().to_owned())
}

async fn look_up(
    http: &reqwest::Client,
    host: SocketAddr,
    route: &str,
    index: usize,
) -> Option<(Instant, Vec<String>)> {
    let url = format!("http://{host}/v1/lookup?route={route}&client=10.1.0.{index}");
    let lookup: serde_json::Value = http.get(url).send().await.ok()?.json().await.ok()?;
    let addresses = lookup["hosts"].as_array()?.iter().filter_map(|h| h["address"].as_str());
    Some((Instant::now(), addresses.map(str::to_owned).collect()))
}

/// Starts a fleet with the declaration in `options`, or with the sample declaration if it is empty.
pub async fn start_fleet(
    dir: &std::path::Path,
    hosts: &[(&str, &str)],
    options: FleetOptions,
) -> Fleet {
    let declaration = if options.declaration.is_empty() {
        // The tests that use this load don't cover rate limits, so the limits are out of reach.
        let raise_limit = |line: &str| match line.split_once(" = ") {
            Some((key @ ("rate" | "burst"), _)) => format!("{key} = 100000\n"),
            _ => format!("{line}\n"),
        };
        SAMPLE_DECLARATION.lines().map(raise_limit).collect()
    } else {
        options.declaration.clone()
    };
    let hosts = hosts.iter().map(|(n, d)| ((*n).to_owned(), (*d).to_owned())).collect();
    Fleet::start(dir, FleetOptions { declaration, hosts, ..options })
        .await
        .expect("the fleet starts")
}
