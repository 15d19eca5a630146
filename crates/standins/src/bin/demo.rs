//! Demo: starts a small fleet with simulated backend servers and sends a few requests through it.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use jasminestage_standins::fleet::{Fleet, FleetOptions};

const DECLARATION: &str = include_str!("../../../../samples/lagerwerk.ini");

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("demo: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let dir = make_temp_dir()?;
    let hosts = [("z1", "zurich-1"), ("z2", "zurich-2"), ("z3", "zurich-1"), ("g1", "geneva-1")];
    println!("Starting a store, backend servers and {} hosts ...", hosts.len());
    let options = FleetOptions {
        declaration: DECLARATION.to_owned(),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&dir, options).await?;
    println!("Applied samples/lagerwerk.ini: {} backend servers.", fleet.backends.len());
    let caller = Caller { http: reqwest::Client::new(), fleet: &fleet };
    let key = Some("sample-key-gearbox");
    caller.send_and_print("katalog", key, "an idempotent look-up of a bearing").await?;
    caller.send_and_print("lizenz", key, "a seat booking, run at most once").await?;
    caller.send_and_print("status", None, "an open route, without a key").await?;
    caller.send_and_print("katalog", Some("a wrong key"), "a wrong key").await?;
    let received = fleet.backends.values().any(|b| b.stats().received_authorization);
    println!("A backend server received a caller's key: {}.", if received { "yes" } else { "no" });
    drop(fleet);
    let _ = std::fs::remove_dir_all(dir);
    println!("Done.");
    Ok(())
}

fn make_temp_dir() -> Result<PathBuf, String> {
    let dir = std::env::temp_dir().join(format!("jasminestage-demo-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    Ok(dir)
}

struct Caller<'a> {
    http: reqwest::Client,
    fleet: &'a Fleet,
}

impl Caller<'_> {
    /// Looks up the entry hosts of a route, sends a request to the first one and prints the result.
    async fn send_and_print(
        &self,
        route: &str,
        key: Option<&str>,
        description: &str,
    ) -> Result<(), String> {
        let lookup_host = self.fleet.hosts[0].options.caller_address;
        let url = format!("http://{lookup_host}/v1/lookup?route={route}&client=10.1.2.3");
        let response = self.http.get(url).send().await.map_err(|e| e.to_string())?;
        let lookup: serde_json::Value = response.json().await.map_err(|e| e.to_string())?;
        let host = lookup["hosts"][0]["address"]
            .as_str()
            .ok_or("the look-up lists no host; check the logs of the hosts")?;
        let mut req = self
            .http
            .post(format!("http://{host}/v1/routes/{route}/demo"))
            .timeout(Duration::from_secs(5))
            .body(format!("demo of {route}"));
        if let Some(key) = key {
            req = req.bearer_auth(key);
        }
        if let Some(id) = lookup["request_id"].as_str() {
            req = req.header("idempotency-key", id);
        }
        let response = req.send().await.map_err(|e| e.to_string())?;
        let header = |name: &str| {
            response.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("-").to_owned()
        };
        println!("\n{description}");
        println!("  look-up     {route} for 10.1.2.3 -> {} ({host})", lookup["hosts"][0]["name"]);
        println!(
            "  result      code {}, {}",
            header("jasminestage-code"),
            header("jasminestage-execution")
        );
        println!(
            "  response    HTTP {}: {}",
            response.status(),
            response.text().await.unwrap_or_default()
        );
        Ok(())
    }
}
