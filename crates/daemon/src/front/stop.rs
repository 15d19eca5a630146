//! Graceful shutdown.

use std::{sync::Arc, time::Duration};

use jasminestage_core::event::{Event, Kind};
use salvo::{
    Depot, FlowCtrl, Request, Response, async_trait,
    handler::Handler,
    http::{HeaderValue, header},
    server::ServerHandle,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::Instant,
};

use crate::{
    control::{ControlEvent, ControlSender},
    log,
    shared::Shared,
};

/// Time between two checks for requests in flight.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Shortest time left for writing the last responses.
const MIN_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits for SIGTERM or SIGINT, then withdraws this host from look-up answers and shuts down.
///
/// The host serves new requests for `stop_delay`, until the look-up answers that name it have
/// expired. It then refuses new requests, waits up to `stop_limit` for the requests in flight, and
/// stops the server.
pub async fn stop_on_signal(shared: Arc<Shared>, control: ControlSender, server: ServerHandle) {
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
    shared.with_traffic(|traffic, _| traffic.refuse_new_requests());
    let deadline = Instant::now() + shared.cfg.traffic.stop_limit;
    let idle = async {
        while shared.in_flight() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    if tokio::time::timeout_at(deadline, idle).await.is_err() {
        let detail = format!("{}: {} requests", shared.cfg.name, shared.in_flight());
        log::write(&Event::new(Kind::StopOverdue, detail));
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    server.stop_graceful(Some(remaining.max(MIN_CLOSE_TIMEOUT)));
}

/// Middleware that adds `connection: close` to responses while this host stops, so that callers
/// close their connections before the process ends.
pub struct CloseConnections {
    /// State of the process.
    pub shared: Arc<Shared>,
}

#[async_trait]
impl Handler for CloseConnections {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        ctrl.call_next(req, depot, res).await;
        if self.shared.view.load().stopping {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}
