//! Secrets never appear in output: the responses, metrics, logs and tool output of a run are
//! searched for API keys and fleet secrets. Guards against log lines and errors that print one.

use std::{fs, process::Command, time::Duration};

use jasminestage_standins::{
    fleet::{Fleet, FleetOptions},
    metrics::scrape,
    process::{FLEET_SECRET, HostOptions, HostProcess, binary_path},
};

const API_KEY: &str = "sample-key-gearbox";
const WRONG_KEY: &str = "a-key-that-is-not-declared";
const OTHER_SECRET: &str = "a secret of another fleet";
const UNPRINTED_SECRETS: [&str; 4] = [API_KEY, WRONG_KEY, FLEET_SECRET, OTHER_SECRET];

/// Paths of the admin address.
const ADMIN_PATHS: &[&str] =
    &["status", "readyz", "metrics", "burn", "usage", "explain?route=katalog"];
/// Commands of the tool; `ADMIN` stands for the admin address of a host.
const COMMANDS: &[&[&str]] = &[
    &["status", "--admin", "ADMIN"],
    &["hosts", "--admin", "ADMIN"],
    &["routes"],
    &["workspaces", "--admin", "ADMIN", "--output", "json"],
    &["report", "--admin", "ADMIN", "--output", "json"],
    &["explain", "--admin", "ADMIN", "--route", "katalog"],
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_output_contains_an_api_key_or_a_fleet_secret() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    let declaration = include_str!("../../../samples/lagerwerk.ini");
    // The comments of the sample contain its keys; they aren't output of the programs.
    let declaration: String =
        declaration.lines().filter(|l| !l.starts_with(';')).map(|l| format!("{l}\n")).collect();
    let options = FleetOptions {
        declaration,
        hosts: ["z1", "z2"].map(|n| (n.to_owned(), "zurich-1".to_owned())).to_vec(),
        extra_settings: "[log]\nfilter = trace\n".to_owned(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(dir.path(), options).await.expect("the fleet starts");
    // A host with another secret; the others reject its frames and log that.
    let mut foreign_host = HostOptions::new("x", "zurich-2", &fleet.platform.url());
    foreign_host.seeds = fleet.hosts.iter().map(|h| h.options.peer_address).collect();
    foreign_host.secret = OTHER_SECRET.to_owned();
    let foreign_host = HostProcess::start(dir.path(), foreign_host).expect("the host starts");

    let mut output = String::new();
    let http = reqwest::Client::new();
    for key in [API_KEY, WRONG_KEY] {
        for path in ["v1/routes/katalog/x", "v1/routes/lizenz/x", "v1/routes/none/x", "v1/lookup"] {
            let url = format!("http://{}/{path}", fleet.hosts[0].options.caller_address);
            let req = http.get(url).bearer_auth(key).timeout(Duration::from_secs(5));
            let response = req.send().await.expect("the host responds");
            output += &format!("{:?}\n", response.headers());
            output += &response.text().await.expect("the response is text");
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for host in &fleet.hosts {
        for path in ADMIN_PATHS {
            let url = format!("http://{}/{path}", host.options.admin_address);
            let response = http.get(url).send().await.expect("the host responds");
            output += &response.text().await.expect("the response is text");
        }
        output += &scrape(host.options.admin_address).await.expect("the host serves metrics");
        output += &fs::read_to_string(&host.log_path).expect("the host writes a log");
    }
    output += &fs::read_to_string(&foreign_host.log_path).expect("the host writes a log");
    for args in COMMANDS {
        let admin = fleet.hosts[0].options.admin_address.to_string();
        let args: Vec<_> = args.iter().map(|a| a.replace("ADMIN", &admin)).collect();
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        let out = fleet.run_tool(&args).expect("the tool is started");
        output += &String::from_utf8_lossy(&out.stdout);
        output += &String::from_utf8_lossy(&out.stderr);
    }
    for line in ["secret = short", "shop = x"] {
        let path = dir.path().join("wrong.ini");
        let text = format!("[fleet]\nsecret = {FLEET_SECRET}\n{line}\n");
        fs::write(&path, text).expect("the settings file is written");
        let out = Command::new(binary_path("jasminestaged")).arg("--config").arg(&path).output();
        output += &String::from_utf8_lossy(&out.expect("the daemon is started").stderr);
    }
    assert!(output.contains("event=50"), "no rejected frame was logged");
    assert!(output.contains("http_server_request_duration_seconds_bucket"));
    for secret in UNPRINTED_SECRETS {
        let lines: Vec<_> = output.lines().filter(|l| l.contains(secret)).collect();
        assert!(lines.is_empty(), "{secret:?} is printed: {lines:#?}");
    }
}
