//! Records each request of a caller: metrics and the counts of the burn report.

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
    metrics::{InFlight, Served},
    shared::Shared,
};

/// Path of look-ups; they have no objective of their own.
pub const LOOK_UP: &str = "/v1/lookup";
/// Path of requests.
pub const REQUEST: &str = "/v1/routes/{route}/{**rest}";

/// Records what the handlers after it answer.
pub struct Measure {
    shared: Arc<Shared>,
    template: &'static str,
}

/// A request that has not been answered.
struct Open<'a> {
    shared: &'a Shared,
    served: Served<'a>,
    flight: InFlight<'a>,
    view: &'a View,
    is_answered: bool,
}

impl Measure {
    /// A recorder for the requests of one path.
    pub fn new(shared: &Arc<Shared>, template: &'static str) -> Self {
        Measure { shared: Arc::clone(shared), template }
    }
}

#[async_trait]
impl Handler for Measure {
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
        let workspace = workspace(&view, req);
        let mut open = Open {
            shared: &self.shared,
            served: Served::new(&view, self.template, req.method(), &route, workspace),
            flight: self.shared.metrics.begin(),
            view: &view,
            is_answered: false,
        };
        ctrl.call_next(req, depot, res).await;
        open.answered(res);
    }
}

impl Open<'_> {
    fn answered(&mut self, res: &Response) {
        self.is_answered = true;
        let (code, took) = (code(res), self.flight.elapsed());
        let status = res.status_code.unwrap_or_default().as_u16();
        self.shared.metrics.answered(&self.served, code, status, took);
        self.judge(|latency| burn::classify(code, status, took, latency));
        if self.served.template != REQUEST {
            return;
        }
        self.shared.metrics.request(&self.served, code);
        if self.served.workspace != burn::NO_WORKSPACE {
            self.shared.spend(self.served.workspace, code);
        }
    }

    fn judge(&self, verdict: impl FnOnce(std::time::Duration) -> AnswerClass) {
        let Some((_, route)) = self.view.declaration.route(self.served.route) else { return };
        if self.served.template == REQUEST {
            self.shared.judge(&route.name, self.served.workspace, verdict(route.latency));
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        // The caller has gone away: by its own choice, unless the answer was late already.
        if !self.is_answered {
            let took = self.flight.elapsed();
            self.judge(
                |latency| if took > latency { AnswerClass::Bad } else { AnswerClass::Exempt },
            );
        }
    }
}

/// Name of the workspace whose key came with the request.
fn workspace<'v>(view: &'v View, req: &Request) -> Option<&'v str> {
    let key = req.headers().get(header::AUTHORIZATION)?.as_bytes().strip_prefix(b"Bearer ")?;
    let owner = *view.declaration.key_owners.get(&key_digest(key))?;
    Some(&view.declaration.workspaces[owner].name)
}

/// Result code of an answer, from its header.
fn code(res: &Response) -> Code {
    let number = res.headers().get(headers::CODE).and_then(|v| v.to_str().ok()?.parse().ok());
    let found = number.and_then(|n: u16| Code::ALL.iter().find(|c| c.number() == n));
    found.copied().unwrap_or(Code::Done)
}
