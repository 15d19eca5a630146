//! Time from the exit of the tool that writes a change until the change is in force on all hosts, on
//! host processes.
//!
//! `cargo build --release --workspace --bins && cargo run --release -p jasminestage-standins
//! --example config_spread`

use std::time::{Duration, Instant};

use jasminestage_standins::fleet::{Fleet, FleetOptions, fetch_status};

/// Number of changes that are measured.
const CHANGES: usize = 20;
/// Maximum time until a change is in force on a host.
const TIMEOUT: Duration = Duration::from_secs(10);

fn declaration() -> String {
    let mut text = "[region r]\n".to_owned();
    for domain in ["a", "b", "c"] {
        text.push_str(&format!("[domain {domain}]\nregion = r\nseats = 2\n"));
    }
    text.push_str("[route k]\naccess = keyed\nrepeat = idempotent\n");
    text.push_str("[workspace w]\nrate = 1000\nburst = 1000\n");
    text
}

#[tokio::main]
async fn main() -> Result<(), String> {
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let hosts = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];
    let options = FleetOptions {
        declaration: declaration(),
        hosts: hosts.iter().map(|(n, d)| (n.to_string(), d.to_string())).collect(),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(dir.path(), options).await?;
    let http = reqwest::Client::new();
    let mut delays = Vec::new();
    for n in 0..CHANGES {
        let text = fleet.declaration.clone() + &format!("; change {n}\n");
        let output = fleet.apply(&text)?;
        let written = Instant::now();
        let revision: u64 = output
            .split_whitespace()
            .nth(1)
            .and_then(|word| word.parse().ok())
            .ok_or_else(|| format!("the output of the tool names no revision: '{output}'"))?;
        for host in &fleet.hosts {
            while written.elapsed() < TIMEOUT {
                let status = fetch_status(&http, host.options.admin_address).await;
                if status.is_some_and(|s| s["revision"].as_u64() >= Some(revision)) {
                    break;
                }
            }
        }
        delays.push(written.elapsed());
    }
    delays.sort();
    let last = delays.len() - 1;
    println!(
        "in force on {} hosts after the tool's exit: median {:.1} ms, longest {:.1} ms",
        fleet.hosts.len(),
        delays[last / 2].as_secs_f64() * 1000.0,
        delays[last].as_secs_f64() * 1000.0
    );
    Ok(())
}
