//! A planned stop of a host: no request of callers that follow the look-ups is cut or refused.

mod caller;

use std::time::{Duration, Instant};

use caller::{Sending, send};
use jasminestage_standins::fleet::{Fleet, FleetOptions};

/// Time for which a caller uses an answer to a look-up.
const LIFETIME: Duration = Duration::from_millis(4500);
/// Time between leaving the look-ups and refusing new requests.
const SETTINGS: &str = "[traffic]\nstop_delay = 5 s\n";

/// Sends to the hosts that look-ups name until `end`; returns the requests sent and those that
/// were not answered with "done".
async fn call(fleet: &Fleet, route: &str, end: Instant) -> (u32, Vec<String>) {
    let http = reqwest::Client::new();
    let (mut sent, mut bad) = (0, Vec::new());
    while Instant::now() < end {
        let at = fleet.hosts[1].options.caller_address;
        let url = format!("http://{at}/v1/lookup?route={route}&client=10.1.0.1");
        let found: serde_json::Value = http.get(url).send().await.unwrap().json().await.unwrap();
        let to = found["hosts"][0]["address"].as_str().expect("a host is named");
        let to = to.parse().expect("it is an address");
        let id = found["request_id"].as_str();
        let looked_up = Instant::now();
        let body = format!("{route} {sent}");
        // The look-up is used for as long as it may be: an id for one late request.
        if id.is_some() {
            tokio::time::sleep(LIFETIME).await;
        }
        loop {
            let sending = Sending { route, id, body: &body, ..Sending::default() };
            let told = send(&http, to, &sending).await;
            sent += 1;
            if told.execution != "done" {
                bad.push(format!("{to}: {told:?}"));
            }
            if id.is_some() || looked_up.elapsed() >= LIFETIME {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    (sent, bad)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_no_request() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let hosts = [("z1", "zurich-1"), ("z2", "zurich-2"), ("g1", "geneva-1")];
    let options = FleetOptions {
        declaration: include_str!("../../../samples/lagerwerk.ini")
            .replace("rate = 300\nburst = 300", "rate = 3000\nburst = 3000"),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        service_time: Duration::from_millis(100),
        extra_settings: SETTINGS.to_owned(),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(dir.path(), options).await.expect("the fleet starts");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let http = reqwest::Client::new();
    let url = format!(
        "http://{}/v1/lookup?route=katalog&client=10.1.0.1",
        fleet.hosts[1].options.caller_address
    );
    let found: serde_json::Value = http.get(url).send().await.unwrap().json().await.unwrap();
    let name = found["hosts"][0]["name"].as_str().expect("a host is named").to_owned();
    let leaving = fleet.hosts.iter().position(|h| h.options.name == name).expect("it is known");
    // The look-ups of the test go to a host that stays.
    fleet.hosts.swap(0, leaving);
    let end = Instant::now() + Duration::from_secs(11);
    let (first, second, stopped) =
        tokio::join!(call(&fleet, "katalog", end), call(&fleet, "lizenz", end), async {
            tokio::time::sleep(Duration::from_millis(1500)).await;
            fleet.hosts[0].signal("TERM")
        });
    stopped.expect("it is told to stop");
    println!("{} and {} requests sent", first.0, second.0);
    assert!(first.1.is_empty() && second.1.is_empty(), "{:?} {:?}", first.1, second.1);
    assert!(fleet.hosts[0].wait().expect("it ends").success());
}
