//! The host process: sockets, timers and threads around the core, which chooses the server for each
//! request. One thread handles control state and one handles traffic.

pub mod body;
pub mod cli;
pub mod control;
pub mod error;
pub mod front;
pub mod intake;
pub mod log;
pub mod metrics;
pub mod options;
pub mod shared;
pub mod stop;
pub mod upstream;

use std::sync::Arc;

use clap::Parser;

pub use self::{error::EdgeError, options::Options};
use self::{metrics::Metrics, shared::Shared};

/// Runs a host until it is stopped.
pub fn run() -> Result<(), EdgeError> {
    let args = cli::Args::parse();
    let settings_path = args.settings_path()?;
    let cfg = Options::load(&settings_path)?;
    if args.check {
        println!("The settings in '{}' are valid.", settings_path.display());
        return Ok(());
    }
    let _log = log::start();
    let metrics = Metrics::new(&cfg.name, &cfg.domain)?;
    let shared = Arc::new(Shared::new(cfg, settings_path, metrics));
    log::started(&shared.cfg, &shared.announcement);
    let control = control::spawn(Arc::clone(&shared))?;
    let result = front::run(&shared);
    shared.stop_control();
    control.join().map_err(|_| EdgeError::ControlThread)??;
    log::stopped();
    result
}
