//! The demo: a small fleet on stand-ins, and a few requests through it.

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
    let folder = folder()?;
    let hosts = [("z1", "zurich-1"), ("z2", "zurich-2"), ("z3", "zurich-1"), ("g1", "geneva-1")];
    println!("Starting a platform, backend servers and {} hosts ...", hosts.len());
    let cfg = FleetOptions {
        declaration: DECLARATION.to_owned(),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&folder, cfg).await?;
    println!("Applied samples/lagerwerk.ini: {} backend servers.", fleet.backends.len());
    let caller = Caller { http: reqwest::Client::new(), fleet: &fleet };
    let key = Some("sample-key-gearbox");
    caller.show("katalog", key, "an idempotent look-up of a bearing").await?;
    caller.show("lizenz", key, "a seat booking, run at most once").await?;
    caller.show("status", None, "an open route, without a key").await?;
    caller.show("katalog", Some("a wrong key"), "a wrong key").await?;
    let seen = fleet.backends.values().any(|b| b.seen().key_seen);
    println!("A backend server saw a caller's key: {}.", if seen { "yes" } else { "no" });
    drop(fleet);
    let _ = std::fs::remove_dir_all(folder);
    println!("Done.");
    Ok(())
}

fn folder() -> Result<PathBuf, String> {
    let folder = std::env::temp_dir().join(format!("jasminestage-demo-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    Ok(folder)
}

struct Caller<'a> {
    http: reqwest::Client,
    fleet: &'a Fleet,
}

impl Caller<'_> {
    /// Looks up the entry hosts of a route, sends a request there and prints what came of it.
    async fn show(&self, route: &str, key: Option<&str>, what: &str) -> Result<(), String> {
        let any = self.fleet.hosts[0].cfg.caller;
        let url = format!("http://{any}/v1/lookup?route={route}&client=10.1.2.3");
        let answer = self.http.get(url).send().await.map_err(|e| e.to_string())?;
        let found: serde_json::Value = answer.json().await.map_err(|e| e.to_string())?;
        let host = found["hosts"][0]["address"].as_str().ok_or("the look-up names no host")?;
        let mut req = self
            .http
            .post(format!("http://{host}/v1/routes/{route}/demo"))
            .timeout(Duration::from_secs(5))
            .body(format!("demo of {route}"));
        if let Some(key) = key {
            req = req.bearer_auth(key);
        }
        if let Some(id) = found["request_id"].as_str() {
            req = req.header("idempotency-key", id);
        }
        let answer = req.send().await.map_err(|e| e.to_string())?;
        let header = |name: &str| {
            answer.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("-").to_owned()
        };
        println!("\n{what}");
        println!("  look-up     {route} for 10.1.2.3 -> {} ({host})", found["hosts"][0]["name"]);
        println!(
            "  result      code {}, {}",
            header("jasminestage-code"),
            header("jasminestage-execution")
        );
        println!(
            "  answer      HTTP {}: {}",
            answer.status(),
            answer.text().await.unwrap_or_default()
        );
        Ok(())
    }
}
