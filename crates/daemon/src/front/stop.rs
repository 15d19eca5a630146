//! The graceful stop.

use std::{sync::Arc, time::Duration};

use jasminestage_core::event::{Event, Kind};
use salvo::server::ServerHandle;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    control::{ControlEvent, ControlTx},
    log,
    shared::Shared,
};

/// Time between two looks at the requests in flight.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Waits for SIGTERM or SIGINT, leaves the look-ups, waits for the answers in flight, then stops.
pub async fn on_signal(shared: Arc<Shared>, control: ControlTx, server: ServerHandle) {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    log::write(&Event::new(Kind::Stopping, &shared.cfg.name));
    control.send(ControlEvent::Stop).await;
    tokio::time::sleep(shared.cfg.traffic.stop_delay).await;
    let idle = async {
        while shared.in_flight() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    if tokio::time::timeout(shared.cfg.traffic.stop_limit, idle).await.is_err() {
        log::write(&Event::new(Kind::StopOverdue, &shared.cfg.name));
    }
    server.stop_graceful(Some(shared.cfg.traffic.stop_limit));
}
