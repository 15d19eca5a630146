//! A caller of a fleet, for the tests on real processes.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{net::SocketAddr, time::Duration};

use jasminestage_standins::fleet::Fleet;

/// A key of the sample declaration.
pub const KEY: &str = "sample-key-gearbox";

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    pub status: u16,
    pub code: u16,
    pub execution: String,
    pub body: String,
}

impl Told {
    /// What a caller knows whose connection failed or timed out.
    fn nothing() -> Told {
        Told { status: 0, code: 0, execution: "nothing".into(), body: String::new() }
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Sending<'a> {
    pub route: &'a str,
    pub id: Option<&'a str>,
    pub body: &'a str,
    /// Whether the caller says that it is its first try.
    pub first: bool,
    /// How long the caller waits.
    pub patience: Duration,
}

impl Default for Sending<'_> {
    fn default() -> Self {
        Sending {
            route: "lizenz",
            id: None,
            body: "",
            first: false,
            patience: Duration::from_secs(10),
        }
    }
}

/// Sends a request to a host.
pub async fn send(http: &reqwest::Client, to: SocketAddr, sending: &Sending<'_>) -> Told {
    let mut req = http
        .post(format!("http://{to}/v1/routes/{}/a", sending.route))
        .timeout(sending.patience)
        .bearer_auth(KEY)
        .body(sending.body.to_owned());
    if let Some(id) = sending.id {
        req = req.header("idempotency-key", id);
    }
    if sending.first {
        req = req.header("jasminestage-attempt", "1");
    }
    let Ok(answer) = req.send().await else { return Told::nothing() };
    let header = |name: &str| answer.headers()[name].to_str().unwrap_or_default().to_owned();
    let (status, code) = (answer.status().as_u16(), header("jasminestage-code"));
    let execution = header("jasminestage-execution");
    let Ok(body) = answer.text().await else { return Told::nothing() };
    Told { status, code: code.parse().unwrap_or(u16::MAX), execution, body }
}

/// Asks a host for an id, and returns it with the number of the host that owns it.
pub async fn look_up(http: &reqwest::Client, fleet: &Fleet, at: usize) -> (String, usize) {
    let caller = fleet.hosts[at].options.caller_address;
    let url = format!("http://{caller}/v1/lookup?route=lizenz&client=10.1.0.1");
    let found: serde_json::Value = http.get(url).send().await.unwrap().json().await.unwrap();
    let owner = found["hosts"][0]["name"].as_str().expect("a host is named");
    let owner = fleet.hosts.iter().position(|h| h.options.name == owner).expect("it is known");
    (found["request_id"].as_str().expect("an id is given out").to_owned(), owner)
}

/// How often a body was run by all backend servers together.
pub fn runs(fleet: &Fleet, body: &str) -> u32 {
    let count =
        |b: &jasminestage_standins::backend::Backend| b.stats().executions.get(body).copied();
    fleet.backends.values().filter_map(count).sum()
}

/// A UUID of version 7 made now.
pub fn uuid7(random: u64) -> String {
    let since = std::time::UNIX_EPOCH.elapsed().expect("the clock is set");
    let mut bytes = [0; 10];
    bytes[2..].copy_from_slice(&random.to_be_bytes());
    let uuid = uuid::Builder::from_unix_timestamp_millis(since.as_millis() as u64, &bytes);
    uuid.into_uuid().to_string()
}
