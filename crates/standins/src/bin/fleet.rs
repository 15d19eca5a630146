//! A small fleet that runs until it is interrupted, to try the programs and the documents on.

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
    let folder = std::env::temp_dir().join(format!("jasminestage-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let cfg = FleetOptions {
        declaration: DECLARATION.to_owned(),
        hosts: HOSTS.map(|(n, d)| (n.to_owned(), d.to_owned())).to_vec(),
        service_time: Duration::from_millis(5),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&folder, cfg).await?;
    let admin: Vec<_> = fleet.hosts.iter().map(|h| h.cfg.admin.to_string()).collect();
    let settings =
        format!("[tool]\nstore = {}\nadmin = {}\n", fleet.platform.url(), admin.join(", "));
    let path = folder.join("tool.ini");
    std::fs::write(&path, settings).map_err(|e| e.to_string())?;
    println!("export JASMINESTAGE_CONFIG={}", path.display());
    println!("export HOST={}", fleet.hosts[0].cfg.caller);
    println!("export KEY=sample-key-gearbox");
    println!("# The fleet runs until it is interrupted.");
    let ended = tokio::signal::ctrl_c().await.map_err(|e| e.to_string());
    drop(fleet);
    let _ = std::fs::remove_dir_all(folder);
    ended
}
