//! The server over HTTP.

use std::sync::Arc;

use salvo::{
    Depot, FlowCtrl, Request, Response, Router, async_trait,
    handler::Handler,
    http::{HeaderValue, StatusCode},
    writing::Json,
};

use super::State;

struct Work(Arc<State>);
struct Load(Arc<State>);
struct Health(Arc<State>);

pub(super) fn router(state: &Arc<State>) -> Router {
    Router::new()
        .push(Router::with_path("load").get(Load(Arc::clone(state))))
        .push(Router::with_path("health").get(Health(Arc::clone(state))))
        .push(Router::with_path("{**rest}").goal(Work(Arc::clone(state))))
}

/// Counts a running request for as long as it runs, also when its caller cancels it.
struct Running<'a>(&'a State);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.seen().in_flight -= 1;
    }
}

#[async_trait]
impl Handler for Work {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let state = &self.0;
        let body = req.payload().await.map(|b| b.to_vec()).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        let cfg = state.behaviour().clone();
        let (number, in_flight) = {
            let mut seen = state.seen();
            seen.key_seen |= req.headers().contains_key("authorization");
            if cfg.draining || seen.in_flight >= cfg.slots {
                seen.shed += 1;
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                return;
            }
            seen.in_flight += 1;
            seen.most_in_flight = seen.most_in_flight.max(seen.in_flight);
            seen.started += 1;
            *seen.runs.entry(body.clone()).or_default() += 1;
            (seen.started, seen.in_flight)
        };
        let _running = Running(state);
        if cfg.crash_on.as_ref().is_some_and(|text| body.contains(text.as_str())) {
            state.died.notify_one();
            std::future::pending::<()>().await;
        }
        let cold = number <= u64::from(cfg.cold_requests);
        let factor = if cold { cfg.cold_factor } else { 1 };
        tokio::time::sleep(cfg.service_time * factor).await;
        let faulty = in_flight >= cfg.fault_from_in_flight;
        if faulty && cfg.fail_every > 0 && number.is_multiple_of(u64::from(cfg.fail_every)) {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if cfg.cross_answers {
            res.headers_mut().insert("x-request-id", HeaderValue::from_static("another"));
        } else if let Some(id) = req.headers().get("x-request-id").cloned() {
            res.headers_mut().insert("x-request-id", id);
        }
        res.render(Json(serde_json::json!({
            "version": cfg.version,
            "path": req.uri().path(),
            "echo": body,
        })));
    }
}

#[async_trait]
impl Handler for Load {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let cfg = self.0.behaviour().clone();
        let load = cfg.reported_load.unwrap_or_else(|| self.0.seen().in_flight);
        res.render(Json(serde_json::json!({ "in_flight": load, "slots": cfg.slots })));
    }
}

#[async_trait]
impl Handler for Health {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        if !self.0.behaviour().reported_healthy {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render("ok\n");
    }
}
