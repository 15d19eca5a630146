//! Look-ups over HTTP.

use std::{net::IpAddr, sync::Arc};

use jasminestage_core::{
    declaration::Repeat,
    lookup::{Query, look_up},
    once::{ID_LIFETIME, RequestId},
    result::Code,
};
use salvo::{
    Depot, FlowCtrl, Request, Response, async_trait,
    handler::Handler,
    http::{HeaderValue, header},
};
use serde::Serialize;

use super::{refuse, request::bearer};
use crate::{clock, shared::Shared};

/// Handles look-ups with the published view.
pub struct LookUpHandler {
    /// State of the process.
    pub shared: Arc<Shared>,
}

#[derive(Serialize)]
struct LookUpBody<'a> {
    hosts: Vec<HostBody<'a>>,
    lifetime_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<String>,
}

#[derive(Serialize)]
struct HostBody<'a> {
    name: &'a str,
    domain: &'a str,
    address: String,
}

#[async_trait]
impl Handler for LookUpHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let view = self.shared.view.load();
        let Some(route) = req.query::<&str>("route") else { return refuse(res, Code::Malformed) };
        let client = match req.query::<&str>("client") {
            Some(text) => text.parse().ok(),
            None => remote_ip(req),
        };
        let Some(client) = client else { return refuse(res, Code::Malformed) };
        let key = bearer(req.headers());
        let answer = match look_up(&view, &Query { route, client, key }) {
            Ok(answer) => answer,
            Err(code) => return refuse(res, code),
        };
        let is_at_most_once =
            view.declaration.route(route).is_some_and(|(_, r)| r.repeat == Repeat::AtMostOnce);
        let request_id = is_at_most_once.then(|| {
            let owner = answer.hosts[0].incarnation;
            let expires_at = clock::unix_millis() + ID_LIFETIME.as_millis() as u64;
            RequestId { owner, nonce: rand::random(), expires_at }.sign(&self.shared.id_secret)
        });
        let hosts = answer.hosts.iter().map(|h| HostBody {
            name: &h.name,
            domain: &h.domain,
            address: h.caller_address.to_string(),
        });
        let body = LookUpBody {
            hosts: hosts.collect(),
            lifetime_ms: answer.lifetime.as_millis() as u64,
            request_id,
        };
        let json = serde_json::to_vec(&body).unwrap_or_default();
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let _ = res.write_body(json);
    }
}

fn remote_ip(req: &Request) -> Option<IpAddr> {
    match req.remote_addr() {
        salvo::conn::SocketAddr::IPv4(a) => Some(IpAddr::from(*a.ip())),
        salvo::conn::SocketAddr::IPv6(a) => Some(IpAddr::from(*a.ip())),
        _ => None,
    }
}
