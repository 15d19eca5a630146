//! Health, readiness, status, metrics and counts for the operators.

mod explain;

use std::sync::Arc;

use salvo::{
    Depot, FlowCtrl, Request, Response, Router, async_trait, handler::Handler, http::StatusCode,
    writing::Json,
};

use crate::shared::Shared;

/// Answers one question of an operator from the state of the process.
struct Admin {
    shared: Arc<Shared>,
    answer: Answer,
}

/// Fills an answer from the state of the process and the question.
type Answer = fn(&Shared, &Request, &mut Response);

#[async_trait]
impl Handler for Admin {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        (self.answer)(&self.shared, req, res);
    }
}

/// Paths for the operators' supervisor.
pub fn router(shared: &Arc<Shared>) -> Router {
    let at = |path: &str, answer: Answer| {
        Router::with_path(path).get(Admin { shared: Arc::clone(shared), answer })
    };
    Router::new()
        .push(at("healthz", |_, _, res| res.render("ok\n")))
        .push(at("readyz", ready))
        .push(at("status", status))
        .push(at("metrics", |shared, _, res| res.render(shared.metrics.encode())))
        .push(at("explain", explain::answer))
        .push(at("usage", |shared, _, res| res.render(Json(shared.spent()))))
        .push(at("burn", |shared, _, res| res.render(Json(shared.burn_counts()))))
}

fn ready(shared: &Shared, _: &Request, res: &mut Response) {
    let view = shared.view.load();
    if view.revision == 0 || view.stopping {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        res.render("not ready\n");
    } else {
        res.render("ready\n");
    }
}

fn status(shared: &Shared, _: &Request, res: &mut Response) {
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
        "declared": view.config.root.declared,
        "accepted": view.accepted,
        "seat": view.seat,
        "stopping": view.stopping,
        "in_flight": shared.in_flight(),
        "hosts": hosts.collect::<Vec<_>>(),
    })));
}
