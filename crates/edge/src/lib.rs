//! Sockets, timers and threads round the steering core: one thread for control state, one for
//! traffic.

pub mod cli;
pub mod control;
pub mod error;
pub mod front;
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
    let path = args.settings()?;
    let cfg = Options::load(&path)?;
    if args.check {
        println!("The settings in '{}' are valid.", path.display());
        return Ok(());
    }
    let _log = log::start();
    let metrics = Metrics::new(&cfg.name, &cfg.domain)?;
    let shared = Arc::new(Shared::new(cfg, path, metrics));
    log::started(&shared.cfg, &shared.me);
    let control = control::spawn(Arc::clone(&shared))?;
    let served = front::run(&shared);
    shared.finish_control();
    control.join().map_err(|_| EdgeError::ControlThread)??;
    log::stopped();
    served
}
