//! Time from the compare-and-swap of a change until it is in force on all hosts, on real processes.
//!
//! `cargo build --release --workspace --bins && cargo run --release -p jasminestage-standins
//! --example config_spread`

use std::time::{Duration, Instant};

use jasminestage_standins::fleet::{Fleet, FleetOptions, fetch_status};

/// Changes that are measured.
const CHANGES: usize = 20;
/// Longest time that is waited for one change.
const LIMIT: Duration = Duration::from_secs(10);

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
    let mut times = Vec::new();
    for n in 0..CHANGES {
        let text = fleet.declaration.clone() + &format!("; change {n}\n");
        let said = fleet.apply(&text)?;
        let written = Instant::now();
        let revision: u64 = said
            .split_whitespace()
            .nth(1)
            .and_then(|word| word.parse().ok())
            .ok_or_else(|| format!("no revision in '{said}'"))?;
        for host in &fleet.hosts {
            while written.elapsed() < LIMIT {
                let found = fetch_status(&http, host.options.admin_address).await;
                if found.is_some_and(|s| s["revision"].as_u64() >= Some(revision)) {
                    break;
                }
            }
        }
        times.push(written.elapsed());
    }
    times.sort();
    let last = times.len() - 1;
    println!(
        "in force on {} hosts after the tool's exit: median {:.1} ms, longest {:.1} ms",
        fleet.hosts.len(),
        times[last / 2].as_secs_f64() * 1000.0,
        times[last].as_secs_f64() * 1000.0
    );
    Ok(())
}
