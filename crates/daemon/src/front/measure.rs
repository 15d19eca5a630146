//! Records each request of a caller: metrics and the counts of the burn report.

use std::sync::Arc;

use jasminestage_core::{result::Code, view::View, world::KeyDigest};
use salvo::{Depot, FlowCtrl, Request, Response, async_trait, handler::Handler, http::header};
use sha2::{Digest, Sha256};

use super::headers;
use crate::{metrics::Served, shared::Shared};

/// Records what the handlers after it answer.
pub struct Measure {
    shared: Arc<Shared>,
    template: &'static str,
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
        let flight = self.shared.metrics.begin();
        let view = self.shared.view.load_full();
        let route = req.param::<String>("route").or_else(|| req.query::<String>("route"));
        let workspace = workspace(&view, req);
        let method = req.method().clone();
        ctrl.call_next(req, depot, res).await;
        let route = route.unwrap_or_default();
        let served = Served::new(&view, self.template, &method, &route, workspace);
        let status = res.status_code.unwrap_or_default().as_u16();
        self.shared.metrics.answered(&served, code(res), status, flight.elapsed());
    }
}

/// Name of the workspace whose key came with the request.
fn workspace<'v>(view: &'v View, req: &Request) -> Option<&'v str> {
    let key = req.headers().get(header::AUTHORIZATION)?.as_bytes().strip_prefix(b"Bearer ")?;
    let digest: KeyDigest = Sha256::digest(key).into();
    let owner = *view.world.key_owners.get(&digest)?;
    Some(&view.world.workspaces[owner].name)
}

/// Result code of an answer, from its header.
fn code(res: &Response) -> Code {
    let number = res.headers().get(headers::CODE).and_then(|v| v.to_str().ok()?.parse().ok());
    let found = number.and_then(|n: u16| Code::ALL.iter().find(|c| c.number() == n));
    found.copied().unwrap_or(Code::Done)
}
