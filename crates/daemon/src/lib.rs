//! The host process: sockets, files and timers around the core. One thread owns the control state;
//! the others serve traffic.

pub mod cli;
pub mod control;
pub mod error;
pub mod front;
pub mod intake;
pub mod log;
pub mod metrics;
pub mod options;
pub mod peer;
pub mod platform;
pub mod reports;
pub mod shared;
pub mod timer;

pub(crate) use jasminestage_net::clock;

use std::sync::Arc;

use clap::Parser;

pub use self::{error::DaemonError, options::Options};
use crate::{metrics::Metrics, shared::Shared};

/// Runs the daemon until it is stopped.
pub fn run() -> Result<(), DaemonError> {
    let args = cli::Args::parse();
    let cfg = Options::load(&args.config)?;
    if args.check {
        println!("The settings in '{}' are valid.", args.config.display());
        return Ok(());
    }
    let metrics = Arc::new(Metrics::new(&cfg.name, &cfg.domain)?);
    log::init(&cfg.log, Arc::clone(&metrics));
    serve(cfg, metrics)
}

/// Serves callers and other hosts until SIGTERM or SIGINT.
pub fn serve(cfg: Options, metrics: Arc<Metrics>) -> Result<(), DaemonError> {
    let (outgoing_tx, outgoing_rx) = control::outgoing_queue();
    let shared = Arc::new(Shared::new(cfg, metrics, outgoing_tx));
    let (control_tx, control_rx) = control::channel();
    let (control, control_ended) =
        control::spawn(Arc::clone(&shared), control_tx.clone(), control_rx, outgoing_rx)?;
    let result = front::run(&shared, &control_tx, control_ended);
    control_tx.close();
    control.join().map_err(|_| DaemonError::ControlThread)??;
    result
}
