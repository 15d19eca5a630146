//! Runs a small fleet until it is interrupted, to try out the tool and the examples of the docs.

use std::{process::ExitCode, time::Duration};

use jasminestage_standins::fleet::{Fleet, FleetOptions};

const DECLARATION: &str = include_str!("../../../../samples/lagerwerk.ini");
const HOSTS: [(&str, &str); 4] =
    [("z1", "zurich-1"), ("z2", "zurich-2"), ("g1", "geneva-1"), ("l1", "lugano-1")];

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("fleet: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let dir = std::env::temp_dir().join(format!("jasminestage-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let options = FleetOptions {
        declaration: DECLARATION.to_owned(),
        hosts: HOSTS.map(|(n, d)| (n.to_owned(), d.to_owned())).to_vec(),
        service_time: Duration::from_millis(5),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&dir, options).await?;
    let admin_addresses: Vec<_> =
        fleet.hosts.iter().map(|h| h.options.admin_address.to_string()).collect();
    let tool_settings = format!(
        "[tool]\nstore = {}\nadmin = {}\n",
        fleet.platform.url(),
        admin_addresses.join(", ")
    );
    let path = dir.join("tool.ini");
    std::fs::write(&path, tool_settings).map_err(|e| e.to_string())?;
    println!("export JASMINESTAGE_CONFIG={}", path.display());
    println!("export HOST={}", fleet.hosts[0].options.caller_address);
    println!("export KEY=sample-key-gearbox");
    println!("# The fleet runs until it is interrupted.");
    let interrupted = tokio::signal::ctrl_c().await.map_err(|e| e.to_string());
    drop(fleet);
    let _ = std::fs::remove_dir_all(dir);
    interrupted
}
