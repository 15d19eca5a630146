//! Requests over HTTP.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    crash::Fingerprint,
    declaration::{Repeat, key_digest},
    host::Incarnation,
    once::ForwardedRequest,
    result::Code,
    traffic::{self, Origin, Step},
};
use salvo::{
    Depot, FlowCtrl, Request, Response, async_trait,
    handler::Handler,
    http::{HeaderMap, HeaderValue, header},
};
use sha2::{Digest, Sha256};

use super::{
    backend::BackendCall,
    body::read_body,
    headers, refuse, set_result_headers,
    steps::{self, RequestResult},
};
use crate::{intake::Port, shared::Shared};

/// Length limit of a header value that is parsed as a number or id, in bytes.
const MAX_VALUE_BYTES: usize = 256;

/// Admits requests and forwards them to backend servers.
pub struct RequestHandler {
    /// State of the process.
    pub shared: Arc<Shared>,
    /// The port of the callers.
    pub port: Arc<Port>,
}

impl RequestHandler {
    async fn answer(&self, req: &mut Request) -> RequestResult {
        let Some(route) = req.param::<String>("route") else { return Code::Malformed.into() };
        let key = bearer(req.headers());
        let refusal =
            self.shared.with_traffic(|traffic, now| traffic.refuse_early(now, &route, key));
        if let Some(code) = refusal {
            return code.into();
        }
        let client = req.remote_addr().clone().into_std();
        let body = match read_body(&self.shared, &self.port, req.take_body()).await {
            Ok(body) => body,
            Err(e) => {
                if let (Some(limit), Some(client)) = (e.limit(), client) {
                    self.port.report(limit, client);
                }
                return e.code().into();
            }
        };
        if let Some(client) = client {
            self.port.begin_work(client);
        }
        let Ok(deadline) = deadline_header(req.headers()) else { return Code::Malformed.into() };
        let call = BackendCall {
            method: req.method().clone(),
            path_and_query: path_after_route(req),
            headers: forwarded_headers(req.headers()),
            body,
            at_most_once: self.is_at_most_once(&route),
        };
        let request = traffic::Request {
            route: &route,
            key: bearer(req.headers()),
            id: header_text(req.headers(), headers::REQUEST_ID),
            deadline,
            fingerprint: fingerprint(&route, &call.body),
        };
        let first_try = header_text(req.headers(), headers::ATTEMPT_NUMBER) == Some("1");
        let origin = Origin { first_try, forwarded_by: None };
        let step =
            self.shared.with_traffic(|traffic, now| traffic.begin_from(now, &request, &origin));
        if !call.at_most_once || matches!(step, Step::Reply(_)) {
            return steps::run_steps(&self.shared, &call, None, step).await;
        }
        let forwarded = ForwardedRequest {
            owner: Incarnation(0),
            route: route.clone(),
            key: request.key.map(key_digest),
            id: request.id.unwrap_or_default().to_owned(),
            timeout_ms: 0,
            method: call.method.to_string(),
            path_and_query: call.path_and_query.clone(),
            headers: steps::to_fields(&call.headers),
            body: call.body.to_vec(),
        };
        steps::run_to_completion(Arc::clone(&self.shared), call, Some(forwarded), step).await
    }

    fn is_at_most_once(&self, route: &str) -> bool {
        let view = self.shared.view.load();
        view.declaration.route(route).is_some_and(|(_, r)| r.repeat == Repeat::AtMostOnce)
    }
}

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.answer(req).await {
            RequestResult { code: Code::Done, reply: Some(reply) } => {
                res.status_code(reply.status);
                res.set_headers(reply.headers);
                set_result_headers(res, Code::Done);
                let _ = res.write_body(reply.body);
            }
            RequestResult { code, .. } => {
                refuse(res, code);
                let key = bearer(req.headers());
                let wait =
                    self.shared.with_traffic(|traffic, now| traffic.retry_after(now, code, key));
                if let Some(wait) = wait {
                    // Whole seconds (RFC 9110, 10.2.3).
                    let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
                    res.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
                }
            }
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(name)?.to_str().ok()?;
    (value.len() <= MAX_VALUE_BYTES).then_some(value)
}

/// The bearer token of a request: the key of the caller.
pub fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    value.strip_prefix(b"Bearer ")
}

fn deadline_header(headers: &HeaderMap) -> Result<Option<Duration>, std::num::ParseIntError> {
    let millis = header_text(headers, headers::DEADLINE).map(str::parse::<u64>).transpose()?;
    Ok(millis.map(Duration::from_millis))
}

fn path_after_route(req: &Request) -> String {
    let rest = req.param::<String>("rest").unwrap_or_default();
    match req.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    }
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let is_forwarded = |name: &str| !headers::NOT_FORWARDED.contains(&name);
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name.as_str()));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Fingerprint of a request by its route and body.
pub fn fingerprint(route: &str, body: &[u8]) -> Fingerprint {
    let hash = Sha256::new().chain_update(route).chain_update([0]).chain_update(body).finalize();
    let (first, _) = hash.split_at(8);
    first.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
