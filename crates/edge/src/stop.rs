//! Signal handling: planned stops and reloads of the settings.

use std::{sync::Arc, time::Duration};

use jasminestage_net::clock;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    error::EdgeError,
    front::wait_for_phase,
    options::Options,
    shared::{Phase, Shared},
};

/// Maximum time for which connections are still accepted after the signal, because callers may use
/// answers of the directory that they cached before it. At most a third of the stop grace is used.
const DRAIN_TIME: Duration = Duration::from_millis(1500);
/// Part of the stop grace that is reserved for the control thread and the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(600);
/// Part of the stop grace before that in which the last responses are written.
const RESPONSE_RESERVE: Duration = Duration::from_millis(250);
/// Part of [`RESPONSE_RESERVE`] for which callers may take the last responses.
const CLOSE_RESERVE: Duration = Duration::from_millis(200);

/// Waits for SIGTERM or SIGINT and advances the process to [`Phase::Closing`].
pub async fn wait_for_stop(shared: Arc<Shared>) -> Result<(), EdgeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(EdgeError::Thread)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(EdgeError::Thread)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(event = 302, "The host received a stop signal and is draining.");
    let grace = stop_grace(&shared);
    let until_last_response = grace.saturating_sub(EXIT_RESERVE + RESPONSE_RESERVE);
    shared.set_last_response_at(clock::now() + until_last_response);
    shared.advance_to(Phase::Draining);
    tokio::time::sleep(drain_time(grace)).await;
    shared.advance_to(Phase::Closing);
    Ok(())
}

/// Maximum time between [`Phase::Closing`] and [`Phase::Ended`].
pub fn closing_limit(shared: &Shared) -> Duration {
    let grace = stop_grace(shared);
    grace.saturating_sub(drain_time(grace)).saturating_sub(EXIT_RESERVE)
}

/// Waits until a stopping host has to answer the requests that are still running.
pub async fn wait_for_last_responses(shared: &Shared) {
    wait_for_phase(&mut shared.phase(), Phase::Draining).await;
    let left = shared.last_response_at().saturating_since(clock::now());
    tokio::time::sleep(left).await;
}

/// Waits until a stopping host has to give up the connections that it closes.
pub async fn wait_for_last_closings(shared: &Shared) {
    wait_for_last_responses(shared).await;
    tokio::time::sleep(CLOSE_RESERVE).await;
}

fn drain_time(grace: Duration) -> Duration {
    DRAIN_TIME.min(grace / 3)
}

fn stop_grace(shared: &Shared) -> Duration {
    shared.bounds().borrow().stop_grace
}

/// Reloads the settings at each SIGHUP. Changed bounds take effect at once, other settings at the
/// next start; if the file is not valid, nothing changes.
pub async fn reload_on_hangup(shared: Arc<Shared>) -> Result<(), EdgeError> {
    let mut hangup = signal(SignalKind::hangup()).map_err(EdgeError::Thread)?;
    while hangup.recv().await.is_some() {
        match Options::load(&shared.settings_path) {
            Ok(cfg) => {
                let bounds_changed = shared.set_bounds(cfg.bounds.clone());
                let others_changed =
                    Options { bounds: shared.cfg.bounds.clone(), ..cfg } != shared.cfg;
                tracing::info!(
                    event = 305,
                    bounds_changed,
                    others_changed,
                    "The settings were reloaded."
                );
            }
            Err(e) => {
                tracing::warn!(event = 306, error = %e, "Reloading the settings failed.");
            }
        }
    }
    Ok(())
}
