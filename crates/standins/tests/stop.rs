//! Graceful shutdown of a host: no request of a caller that uses look-up results for their lifetime
//! fails. Guards against a host that refuses requests before the results that name it have expired.

mod caller;

use std::time::{Duration, Instant};

use caller::{CallerRequest, send};
use jasminestage_standins::fleet::{Fleet, FleetOptions};

/// Time for which a caller uses a look-up result.
const LOOKUP_LIFETIME: Duration = Duration::from_millis(4500);
/// Settings with the time from the host's removal from look-up results until it refuses requests.
const STOP_DELAY_SETTINGS: &str = "[traffic]\nstop_delay = 5 s\n";

/// Sends requests to the first host of each look-up result until `end`; returns the number of
/// requests and the outcomes other than "done".
async fn send_until(fleet: &Fleet, route: &str, end: Instant) -> (u32, Vec<String>) {
    let http = reqwest::Client::new();
    let (mut sent, mut failures) = (0, Vec::new());
    while Instant::now() < end {
        let lookup_host = fleet.hosts[1].options.caller_address;
        let url = format!("http://{lookup_host}/v1/lookup?route={route}&client=10.1.0.1");
        let lookup: serde_json::Value = http.get(url).send().await.unwrap().json().await.unwrap();
        let to = lookup["hosts"][0]["address"].as_str().expect("the look-up lists a host");
        let to = to.parse().expect("the look-up returns an address");
        let id = lookup["request_id"].as_str();
        let looked_up = Instant::now();
        let body = format!("{route} {sent}");
        // The result is used until its lifetime ends; a request id is used once, at that time.
        if id.is_some() {
            tokio::time::sleep(LOOKUP_LIFETIME).await;
        }
        loop {
            let request = CallerRequest { route, id, body: &body, ..CallerRequest::default() };
            let outcome = send(&http, to, &request).await;
            sent += 1;
            if outcome.execution != "done" {
                failures.push(format!("{to}: {outcome:?}"));
            }
            if id.is_some() || looked_up.elapsed() >= LOOKUP_LIFETIME {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    (sent, failures)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_graceful_shutdown_fails_no_request() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let hosts = [("z1", "zurich-1"), ("z2", "zurich-2"), ("g1", "geneva-1")];
    let options = FleetOptions {
        declaration: include_str!("../../../samples/lagerwerk.ini")
            .replace("rate = 300\nburst = 300", "rate = 3000\nburst = 3000"),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        service_time: Duration::from_millis(100),
        extra_settings: STOP_DELAY_SETTINGS.to_owned(),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(dir.path(), options).await.expect("the fleet starts");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let http = reqwest::Client::new();
    let url = format!(
        "http://{}/v1/lookup?route=katalog&client=10.1.0.1",
        fleet.hosts[1].options.caller_address
    );
    let lookup: serde_json::Value = http.get(url).send().await.unwrap().json().await.unwrap();
    let name = lookup["hosts"][0]["name"].as_str().expect("the look-up lists a host").to_owned();
    let stopping = fleet
        .hosts
        .iter()
        .position(|h| h.options.name == name)
        .expect("the host is part of the fleet");
    // Look-ups are sent to host 1, which keeps running.
    fleet.hosts.swap(0, stopping);
    let end = Instant::now() + Duration::from_secs(11);
    let (idempotent, at_most_once, signal) = tokio::join!(
        send_until(&fleet, "katalog", end),
        send_until(&fleet, "lizenz", end),
        async {
            tokio::time::sleep(Duration::from_millis(1500)).await;
            fleet.hosts[0].signal("TERM")
        }
    );
    signal.expect("the signal is sent");
    println!("{} and {} requests sent", idempotent.0, at_most_once.0);
    assert!(
        idempotent.1.is_empty() && at_most_once.1.is_empty(),
        "{:?} {:?}",
        idempotent.1,
        at_most_once.1
    );
    assert!(fleet.hosts[0].wait().expect("the host exits").success());
}
