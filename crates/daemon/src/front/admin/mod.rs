//! Endpoints for operators: health, readiness, status, metrics, explanations, usage and burn
//! counts.

mod explain;

use std::sync::Arc;

use salvo::{
    Depot, FlowCtrl, Request, Response, Router, async_trait, handler::Handler, http::StatusCode,
    writing::Json,
};

use crate::shared::Shared;

/// Handler of one endpoint.
struct Admin {
    shared: Arc<Shared>,
    respond: Respond,
}

/// Fills a response from the state of the process and the request.
type Respond = fn(&Shared, &Request, &mut Response);

#[async_trait]
impl Handler for Admin {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        (self.respond)(&self.shared, req, res);
    }
}

/// Router of the admin address.
pub fn router(shared: &Arc<Shared>) -> Router {
    let endpoint = |path: &str, respond: Respond| {
        Router::with_path(path).get(Admin { shared: Arc::clone(shared), respond })
    };
    Router::new()
        .push(endpoint("healthz", |_, _, res| res.render("ok\n")))
        .push(endpoint("readyz", readiness))
        .push(endpoint("status", status))
        .push(endpoint("metrics", |shared, _, res| res.render(shared.metrics.encode())))
        .push(endpoint("explain", explain::respond))
        .push(endpoint("usage", |shared, _, res| res.render(Json(shared.usage_rates()))))
        .push(endpoint("burn", |shared, _, res| res.render(Json(shared.burn_counts()))))
}

fn readiness(shared: &Shared, _: &Request, res: &mut Response) {
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
            "taking": h.accepts_callers,
        })
    });
    res.render(Json(serde_json::json!({
        "host": shared.own_info.name,
        "domain": shared.own_info.domain,
        "incarnation": shared.own_info.incarnation.to_string(),
        "revision": view.revision,
        "declared": view.config.root.declared,
        "accepted": view.accepted,
        "seat": view.seat,
        "stopping": view.stopping,
        "in_flight": shared.in_flight(),
        "hosts": hosts.collect::<Vec<_>>(),
    })));
}
