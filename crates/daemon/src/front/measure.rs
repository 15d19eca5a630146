//! Records the metrics, burn counts and workspace usage of each request.

use std::sync::Arc;

use jasminestage_core::{
    burn::{self, AnswerClass},
    declaration::key_digest,
    result::Code,
    view::View,
};
use salvo::{Depot, FlowCtrl, Request, Response, async_trait, handler::Handler, http::header};

use super::headers;
use crate::{
    metrics::{RequestLabels, RequestTimer},
    shared::Shared,
};

/// Path of look-ups, which have no objective.
pub const LOOK_UP_PATH: &str = "/v1/lookup";
/// Path of requests.
pub const REQUEST_PATH: &str = "/v1/routes/{route}/{**rest}";

/// Middleware that records the responses of the handlers after it.
pub struct MeasureRequests {
    shared: Arc<Shared>,
    template: &'static str,
}

/// A request in progress.
struct OpenRequest<'a> {
    shared: &'a Shared,
    labels: RequestLabels<'a>,
    timer: RequestTimer<'a>,
    view: &'a View,
    is_answered: bool,
}

impl MeasureRequests {
    /// Middleware for the requests of one path.
    pub fn new(shared: &Arc<Shared>, template: &'static str) -> Self {
        MeasureRequests { shared: Arc::clone(shared), template }
    }
}

#[async_trait]
impl Handler for MeasureRequests {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let view = self.shared.view.load_full();
        let route = req.param::<String>("route").or_else(|| req.query::<String>("route"));
        let route = route.unwrap_or_default();
        let workspace = workspace_of_key(&view, req);
        let mut open_request = OpenRequest {
            shared: &self.shared,
            labels: RequestLabels::new(&view, self.template, req.method(), &route, workspace),
            timer: self.shared.metrics.start_request(),
            view: &view,
            is_answered: false,
        };
        ctrl.call_next(req, depot, res).await;
        open_request.record_response(res);
    }
}

impl OpenRequest<'_> {
    fn record_response(&mut self, res: &Response) {
        self.is_answered = true;
        let (code, took) = (response_code(res), self.timer.elapsed());
        let status = res.status_code.unwrap_or_default().as_u16();
        self.shared.metrics.record_response(&self.labels, code, status, took);
        self.record_answer_class(|latency| burn::classify(code, status, took, latency));
        if self.labels.template != REQUEST_PATH {
            return;
        }
        self.shared.metrics.count_request(&self.labels, code);
        if self.labels.workspace != burn::NO_WORKSPACE {
            self.shared.record_usage(self.labels.workspace, code);
        }
    }

    fn record_answer_class(
        &self,
        class_for_latency: impl FnOnce(std::time::Duration) -> AnswerClass,
    ) {
        let Some((_, route)) = self.view.declaration.route(self.labels.route) else { return };
        if self.labels.template == REQUEST_PATH {
            self.shared.record_answer_class(
                &route.name,
                self.labels.workspace,
                class_for_latency(route.latency),
            );
        }
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        // The caller disconnected. The request is exempt from the objective unless its response was
        // already late.
        if !self.is_answered {
            let took = self.timer.elapsed();
            self.record_answer_class(|latency| {
                if took > latency { AnswerClass::Bad } else { AnswerClass::Exempt }
            });
        }
    }
}

/// Name of the workspace that owns the key of the request.
fn workspace_of_key<'v>(view: &'v View, req: &Request) -> Option<&'v str> {
    let key = req.headers().get(header::AUTHORIZATION)?.as_bytes().strip_prefix(b"Bearer ")?;
    let owner = *view.declaration.key_owners.get(&key_digest(key))?;
    Some(&view.declaration.workspaces[owner].name)
}

/// Result code of a response, from its header.
fn response_code(res: &Response) -> Code {
    let number =
        res.headers().get(headers::RESULT_CODE).and_then(|v| v.to_str().ok()?.parse().ok());
    let found = number.and_then(|n: u16| Code::ALL.iter().find(|c| c.number() == n));
    found.copied().unwrap_or(Code::Done)
}
