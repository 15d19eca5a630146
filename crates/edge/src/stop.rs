//! Signals: a planned stop and changed settings.

use std::{sync::Arc, time::Duration};

use tokio::signal::unix::{SignalKind, signal};

use crate::{
    error::EdgeError,
    options::Options,
    shared::{Phase, Shared},
};

/// Time for which callers are still served after the stop began: directory answers run out.
const LEAVING: Duration = Duration::from_millis(1500);
/// Part of the grace that is left for the end of the process.
const RESERVE: Duration = Duration::from_millis(600);

/// Waits for SIGTERM or SIGINT and takes the process through the phases of a stop.
pub async fn follow_stop(shared: Arc<Shared>) -> Result<(), EdgeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(EdgeError::Thread)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(EdgeError::Thread)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(event = 302, "The host stops.");
    shared.enter(Phase::Leaving);
    tokio::time::sleep(LEAVING.min(stop_grace(&shared) / 3)).await;
    shared.enter(Phase::Closing);
    Ok(())
}

/// Longest time between closing and the end of the process.
pub fn closing_limit(shared: &Shared) -> Duration {
    stop_grace(shared).saturating_sub(LEAVING).saturating_sub(RESERVE)
}

fn stop_grace(shared: &Shared) -> Duration {
    shared.terms().borrow().stop_grace
}

/// Reads the settings again at each SIGHUP. Changed bounds are used at once, everything else from the
/// next start; settings that are not usable change nothing.
pub async fn follow_reload(shared: Arc<Shared>) -> Result<(), EdgeError> {
    let mut hangup = signal(SignalKind::hangup()).map_err(EdgeError::Thread)?;
    while hangup.recv().await.is_some() {
        match Options::load(&shared.settings) {
            Ok(cfg) => {
                let bounds_changed = shared.change_terms(cfg.terms.clone());
                let others_changed =
                    Options { terms: shared.cfg.terms.clone(), ..cfg } != shared.cfg;
                tracing::info!(
                    event = 305,
                    bounds_changed,
                    others_changed,
                    "The settings were read again."
                );
            }
            Err(e) => {
                tracing::warn!(event = 306, error = %e, "The new settings are not usable.");
            }
        }
    }
    Ok(())
}
