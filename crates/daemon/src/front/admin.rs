//! Health, readiness and status for the operators.

use std::sync::Arc;

use salvo::{
    Depot, FlowCtrl, Request, Response, Router, async_trait, handler::Handler, http::StatusCode,
    writing::Json,
};

use crate::shared::Shared;

/// Answers one question of an operator from the state of the process.
struct Admin {
    shared: Arc<Shared>,
    answer: fn(&Shared, &mut Response),
}

#[async_trait]
impl Handler for Admin {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        (self.answer)(&self.shared, res);
    }
}

/// Paths for the operators' supervisor.
pub fn router(shared: &Arc<Shared>) -> Router {
    let at = |path: &str, answer: fn(&Shared, &mut Response)| {
        Router::with_path(path).get(Admin { shared: Arc::clone(shared), answer })
    };
    Router::new()
        .push(at("healthz", |_, res| res.render("ok\n")))
        .push(at("readyz", ready))
        .push(at("status", status))
        .push(at("metrics", |shared, res| res.render(shared.metrics.encode())))
}

fn ready(shared: &Shared, res: &mut Response) {
    let view = shared.view.load();
    if view.revision == 0 || view.stopping {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        res.render("not ready\n");
    } else {
        res.render("ready\n");
    }
}

fn status(shared: &Shared, res: &mut Response) {
    let view = shared.view.load();
    let hosts = view.hosts.iter().map(|h| {
        serde_json::json!({
            "name": h.name,
            "domain": h.domain,
            "caller_address": h.caller_address,
            "taking": h.taking,
        })
    });
    res.render(Json(serde_json::json!({
        "host": shared.me.name,
        "domain": shared.me.domain,
        "incarnation": shared.me.incarnation.to_string(),
        "revision": view.revision,
        "seat": view.seat,
        "stopping": view.stopping,
        "in_flight": shared.in_flight(),
        "hosts": hosts.collect::<Vec<_>>(),
    })));
}
