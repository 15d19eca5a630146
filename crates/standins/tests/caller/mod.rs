//! Sends single requests to a fleet as a caller does.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::{net::SocketAddr, time::Duration};

use jasminestage_standins::fleet::Fleet;

/// API key of a workspace in the sample declaration.
pub const API_KEY: &str = "sample-key-gearbox";

/// Outcome of a request as its caller sees it.
///
/// Without a complete response, `status` and `code` are 0 and `execution` is "no response".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    pub status: u16,
    pub code: u16,
    pub execution: String,
    pub body: String,
}

impl Outcome {
    /// Outcome of a request whose connection failed or timed out.
    fn no_response() -> Outcome {
        Outcome { status: 0, code: 0, execution: "no response".into(), body: String::new() }
    }
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest<'a> {
    pub route: &'a str,
    pub id: Option<&'a str>,
    pub body: &'a str,
    /// Whether the caller marks the request as its first attempt.
    pub is_first_attempt: bool,
    /// How long the caller waits for the response.
    pub timeout: Duration,
}

impl Default for CallerRequest<'_> {
    fn default() -> Self {
        CallerRequest {
            route: "lizenz",
            id: None,
            body: "",
            is_first_attempt: false,
            timeout: Duration::from_secs(10),
        }
    }
}

/// Sends a request to the host at `to`.
pub async fn send(http: &reqwest::Client, to: SocketAddr, request: &CallerRequest<'_>) -> Outcome {
    let mut builder = http
        .post(format!("http://{to}/v1/routes/{}/a", request.route))
        .timeout(request.timeout)
        .bearer_auth(API_KEY)
        .body(request.body.to_owned());
    if let Some(id) = request.id {
        builder = builder.header("idempotency-key", id);
    }
    if request.is_first_attempt {
        builder = builder.header("jasminestage-attempt", "1");
    }
    let Ok(response) = builder.send().await else { return Outcome::no_response() };
    let header = |name: &str| response.headers()[name].to_str().unwrap_or_default().to_owned();
    let (status, code) = (response.status().as_u16(), header("jasminestage-code"));
    let execution = header("jasminestage-execution");
    let Ok(body) = response.text().await else { return Outcome::no_response() };
    Outcome { status, code: code.parse().unwrap_or(u16::MAX), execution, body }
}

/// Looks up an at-most-once route at a host of the fleet; returns the issued request id and the
/// index of the host that owns it.
pub async fn look_up(http: &reqwest::Client, fleet: &Fleet, host_index: usize) -> (String, usize) {
    let caller = fleet.hosts[host_index].options.caller_address;
    let url = format!("http://{caller}/v1/lookup?route=lizenz&client=10.1.0.1");
    let lookup: serde_json::Value = http.get(url).send().await.unwrap().json().await.unwrap();
    let owner = lookup["hosts"][0]["name"].as_str().expect("the look-up lists a host");
    let owner = fleet
        .hosts
        .iter()
        .position(|h| h.options.name == owner)
        .expect("the owner is a host of the fleet");
    (lookup["request_id"].as_str().expect("the look-up issues a request id").to_owned(), owner)
}

/// Number of executions of requests with this body on all backend servers.
pub fn executions(fleet: &Fleet, body: &str) -> u32 {
    let count_on =
        |b: &jasminestage_standins::backend::Backend| b.stats().executions.get(body).copied();
    fleet.backends.values().filter_map(count_on).sum()
}

/// Returns a version 7 UUID with the present time.
pub fn uuid_v7(random: u64) -> String {
    let since_epoch = std::time::UNIX_EPOCH.elapsed().expect("the clock shows a date after 1970");
    let mut bytes = [0; 10];
    bytes[2..].copy_from_slice(&random.to_be_bytes());
    let uuid = uuid::Builder::from_unix_timestamp_millis(since_epoch.as_millis() as u64, &bytes);
    uuid.into_uuid().to_string()
}
