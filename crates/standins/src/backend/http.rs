//! HTTP handlers of the simulated backend server.

use std::sync::Arc;

use salvo::{
    Depot, FlowCtrl, Request, Response, Router, async_trait,
    handler::Handler,
    http::{HeaderValue, StatusCode},
    writing::Json,
};

use super::State;

struct ExecuteRequest(Arc<State>);
struct ReportLoad(Arc<State>);
struct ReportHealth(Arc<State>);

pub(super) fn router(state: &Arc<State>) -> Router {
    Router::new()
        .push(Router::with_path("load").get(ReportLoad(Arc::clone(state))))
        .push(Router::with_path("health").get(ReportHealth(Arc::clone(state))))
        .push(Router::with_path("{**rest}").goal(ExecuteRequest(Arc::clone(state))))
}

/// Decrements the number of requests in flight when dropped, also when the client cancels.
struct InFlightGuard<'a>(&'a State);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.stats().in_flight -= 1;
    }
}

#[async_trait]
impl Handler for ExecuteRequest {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let state = &self.0;
        let body = req.payload().await.map(|b| b.to_vec()).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        let behaviour = state.behaviour().clone();
        let (sequence, in_flight) = {
            let mut stats = state.stats();
            stats.received_authorization |= req.headers().contains_key("authorization");
            if behaviour.draining || stats.in_flight >= behaviour.slots {
                stats.shed += 1;
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                return;
            }
            stats.in_flight += 1;
            stats.max_in_flight = stats.max_in_flight.max(stats.in_flight);
            stats.started += 1;
            *stats.executions.entry(body.clone()).or_default() += 1;
            (stats.started, stats.in_flight)
        };
        let _guard = InFlightGuard(state);
        if behaviour.crash_on.as_ref().is_some_and(|text| body.contains(text.as_str())) {
            state.crashed.notify_one();
            std::future::pending::<()>().await;
        }
        let is_cold = sequence <= u64::from(behaviour.cold_start_requests);
        let factor = if is_cold { behaviour.cold_start_factor } else { 1 };
        tokio::time::sleep(behaviour.service_time * factor).await;
        let may_fail = in_flight >= behaviour.fault_min_in_flight;
        if may_fail
            && behaviour.fail_every > 0
            && sequence.is_multiple_of(u64::from(behaviour.fail_every))
        {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if behaviour.wrong_request_id {
            res.headers_mut().insert("x-request-id", HeaderValue::from_static("another"));
        } else if let Some(id) = req.headers().get("x-request-id").cloned() {
            res.headers_mut().insert("x-request-id", id);
        }
        res.render(Json(serde_json::json!({
            "version": behaviour.version,
            "path": req.uri().path(),
            "echo": body,
        })));
    }
}

#[async_trait]
impl Handler for ReportLoad {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let behaviour = self.0.behaviour().clone();
        let load = behaviour.reported_load.unwrap_or_else(|| self.0.stats().in_flight);
        res.render(Json(serde_json::json!({ "in_flight": load, "slots": behaviour.slots })));
    }
}

#[async_trait]
impl Handler for ReportHealth {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        if !self.0.behaviour().reported_healthy {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render("ok\n");
    }
}
