//! Callers that use look-ups as declared: an answer is used for its lifetime.

#![allow(dead_code, reason = "each test uses a part")]

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

pub const KEY: &str = "sample-key-gearbox";
pub const LAGERWERK: &str = include_str!("../../../../samples/lagerwerk.ini");

/// How requests ended.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub good: u64,
    /// Answers other than 200, by result code or `cut`.
    pub bad: BTreeMap<String, u64>,
    /// Versions that answered, in the order of the answers.
    pub versions: Vec<(Instant, String)>,
}

/// Callers that run until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    counts: Arc<Mutex<Counts>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` callers of a route that ask all hosts of the fleet for look-ups.
    pub fn start(fleet: &Fleet, route: &str, count: usize, pause: Duration) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let counts = Arc::new(Mutex::new(Counts::default()));
        let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|h| h.options.caller_address).collect();
        let tasks = (0..count).map(|n| {
            let (stop, counts) = (Arc::clone(&stop), Arc::clone(&counts));
            let (hosts, route) = (hosts.clone(), route.to_owned());
            tokio::spawn(async move { call(n, &hosts, &route, pause, &stop, &counts).await })
        });
        Callers { tasks: tasks.collect(), stop, counts }
    }

    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        self.counts.lock().expect("no caller panics").clone()
    }

    /// Stops the callers and waits for their last answers.
    pub async fn finish(self) -> Counts {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("no caller panics");
        }
        let counts = self.counts.lock().expect("no caller panics");
        counts.clone()
    }
}

async fn call(
    number: usize,
    hosts: &[SocketAddr],
    route: &str,
    pause: Duration,
    stop: &AtomicBool,
    counts: &Mutex<Counts>,
) {
    let http = reqwest::Client::new();
    let mut known: Option<(Instant, Vec<String>)> = None;
    for turn in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let old = known.as_ref().is_none_or(|(at, _)| at.elapsed() > Duration::from_secs(5));
        if old {
            known = look_up(&http, hosts[(number + turn) % hosts.len()], route, number).await;
        }
        let Some((_, addresses)) = &known else { continue };
        let host = &addresses[number % addresses.len()];
        let url = format!("http://{host}/v1/routes/{route}/x");
        let body = format!("{number}-{turn}");
        let answer = http.post(url).bearer_auth(KEY).body(body).send().await;
        let ended = read(answer).await;
        note(counts, ended);
        tokio::time::sleep(pause).await;
    }
}

fn note(counts: &Mutex<Counts>, ended: Result<String, String>) {
    let mut counts = counts.lock().expect("no caller panics");
    match ended {
        Ok(version) => {
            counts.good += 1;
            counts.versions.push((Instant::now(), version));
        }
        Err(bad) => *counts.bad.entry(bad).or_default() += 1,
    }
}

/// The version that answered, or what was wrong.
async fn read(answer: reqwest::Result<reqwest::Response>) -> Result<String, String> {
    let answer = answer.map_err(|e| format!("cut: {e:?}"))?;
    let (status, headers) = (answer.status(), answer.headers());
    if status != 200 {
        return Err(format!("{status}: {:?}", headers.get("jasminestage-code")));
    }
    let body: serde_json::Value = answer.json().await.map_err(|e| format!("cut: {e:?}"))?;
    Ok(body["version"].as_str().unwrap_or_default().to_owned())
}

async fn look_up(
    http: &reqwest::Client,
    host: SocketAddr,
    route: &str,
    number: usize,
) -> Option<(Instant, Vec<String>)> {
    let url = format!("http://{host}/v1/lookup?route={route}&client=10.1.0.{number}");
    let found: serde_json::Value = http.get(url).send().await.ok()?.json().await.ok()?;
    let addresses = found["hosts"].as_array()?.iter().filter_map(|h| h["address"].as_str());
    Some((Instant::now(), addresses.map(str::to_owned).collect()))
}

/// A fleet on the sample declaration.
pub async fn fleet(dir: &std::path::Path, hosts: &[(&str, &str)], options: FleetOptions) -> Fleet {
    let declaration = if options.declaration.is_empty() {
        // Room for the load of the tests: they are not about rates.
        let plenty = |line: &str| match line.split_once(" = ") {
            Some((key @ ("rate" | "burst"), _)) => format!("{key} = 100000\n"),
            _ => format!("{line}\n"),
        };
        LAGERWERK.lines().map(plenty).collect()
    } else {
        options.declaration.clone()
    };
    let hosts = hosts.iter().map(|(n, d)| ((*n).to_owned(), (*d).to_owned())).collect();
    Fleet::start(dir, FleetOptions { declaration, hosts, ..options })
        .await
        .expect("the fleet starts")
}
