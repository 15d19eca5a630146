//! Sockets, files and timers round the core: one thread for control state, others for traffic.

pub mod cli;
pub mod clock;
pub mod control;
pub mod error;
pub mod front;
pub mod log;
pub mod options;
pub mod peer;
pub mod platform;
pub mod reports;
pub mod shared;
pub mod timer;

use std::sync::Arc;

use clap::Parser;

pub use self::{error::DaemonError, options::Options};
use crate::shared::Shared;

/// Runs the daemon until it is stopped.
pub fn run() -> Result<(), DaemonError> {
    let args = cli::Args::parse();
    let cfg = Options::load(&args.config)?;
    if args.check {
        println!("The settings in '{}' are valid.", args.config.display());
        return Ok(());
    }
    log::start(&cfg.log);
    serve(cfg)
}

/// Serves callers and hosts until SIGTERM or SIGINT.
pub fn serve(cfg: Options) -> Result<(), DaemonError> {
    let (sends_tx, sends_rx) = control::send_queue();
    let shared = Arc::new(Shared::new(cfg, sends_tx));
    let (control_tx, control_rx) = control::channel();
    let control = control::spawn(Arc::clone(&shared), control_tx.clone(), control_rx, sends_rx)?;
    let served = front::run(&shared, &control_tx);
    control_tx.close();
    control.join().map_err(|_| DaemonError::ControlThread)??;
    served
}
