//! The graceful stop.

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
    control::{ControlEvent, ControlTx},
    log,
    shared::Shared,
};

/// Time between two looks at the requests in flight.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Time for writing the last answers.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// Waits for SIGTERM or SIGINT, then leaves the look-ups and goes on serving.
///
/// Once the look-up answers that name this host have ended it waits for the answers in flight and
/// stops. Nothing is refused meanwhile.
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
    shared.decide(|traffic, _| traffic.refuse_new_requests());
    let limit = Instant::now() + shared.cfg.traffic.stop_limit;
    let idle = async {
        while shared.in_flight() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    if tokio::time::timeout_at(limit, idle).await.is_err() {
        let detail = format!("{}: {} requests", shared.cfg.name, shared.in_flight());
        log::write(&Event::new(Kind::StopOverdue, detail));
    }
    let left = limit.saturating_duration_since(Instant::now());
    server.stop_graceful(Some(left.max(CLOSE_LIMIT)));
}

/// Asks callers to close their connections while this host stops, so that none is cut when it ends.
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
