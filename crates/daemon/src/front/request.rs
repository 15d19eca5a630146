//! Requests over HTTP.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use jasminestage_core::{
    crash::Fingerprint,
    result::Code,
    traffic::{self, FlightKey, Outcome, Step},
};
use salvo::{
    Depot, FlowCtrl, Request, Response, async_trait,
    handler::Handler,
    http::{HeaderMap, StatusCode, header},
};
use sha2::{Digest, Sha256};

use super::{
    backend::{Backends, Call, Reply},
    headers, mark, refuse,
};
use crate::shared::Shared;

/// Longest header value that is read as a number or id, in bytes.
const MAX_VALUE_BYTES: usize = 256;

/// Admits requests and passes them on to backend servers.
pub struct Forward {
    shared: Arc<Shared>,
    backends: Backends,
}

impl Forward {
    /// A handler with its own connections to backend servers.
    pub fn new(shared: Arc<Shared>) -> Self {
        Forward { shared, backends: Backends::default() }
    }

    async fn answer(&self, req: &mut Request) -> (Code, Option<Reply>) {
        let Some(route) = req.param::<String>("route") else { return (Code::Malformed, None) };
        let max = self.shared.cfg.traffic.max_body_bytes;
        let Ok(body) = req.payload_with_max_size(max).await.cloned() else {
            return (Code::TooLarge, None);
        };
        let Ok(deadline) = deadline(req.headers()) else { return (Code::Malformed, None) };
        let call = Call {
            method: req.method().clone(),
            path_and_query: rest(req),
            headers: passed_on(req.headers()),
            body,
        };
        let request = traffic::Request {
            route: &route,
            key: bearer(req.headers()),
            id: text(req.headers(), headers::REQUEST_ID),
            deadline,
            fingerprint: fingerprint(&route, &call.body),
        };
        let mut step = self.shared.decide(|traffic, now| traffic.begin(now, &request));
        let mut reply = None;
        let mut open = OpenFlight { shared: &self.shared, flight: None };
        loop {
            let (flight, address, timeout) = match step {
                Step::Send { flight, address, timeout } => (flight, address, timeout),
                Step::Park { flight, until } => {
                    open.flight = Some(flight);
                    self.shared.parked(flight, until).await;
                    step = self.shared.decide(|traffic, now| traffic.resume(now, flight));
                    continue;
                }
                Step::Reply(code) => {
                    open.flight = None;
                    return (code, reply);
                }
            };
            open.flight = Some(flight);
            let outcome = match self.backends.call(address, &call, timeout).await {
                Ok(answer) => {
                    let status = answer.status.as_u16();
                    reply = Some(answer);
                    Outcome::Answered(status)
                }
                Err(outcome) => outcome,
            };
            step = self.shared.decide(|traffic, now| traffic.finish(now, flight, outcome));
        }
    }
}

/// Ends a flight when its caller goes away and the handler is dropped.
struct OpenFlight<'a> {
    shared: &'a Shared,
    flight: Option<FlightKey>,
}

impl Drop for OpenFlight<'_> {
    fn drop(&mut self) {
        if let Some(flight) = self.flight {
            self.shared.decide(|traffic, now| traffic.abandon(now, flight));
        }
    }
}

#[async_trait]
impl Handler for Forward {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.answer(req).await {
            (Code::Done, Some(reply)) => {
                res.status_code(reply.status);
                res.set_headers(reply.headers);
                mark(res, Code::Done);
                let _ = res.write_body(reply.body);
            }
            (code, _) => refuse(res, code),
        }
    }
}

impl Default for Reply {
    fn default() -> Self {
        Reply { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::new() }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let value = headers.get(name)?.to_str().ok()?;
    (value.len() <= MAX_VALUE_BYTES).then_some(value)
}

fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    value.strip_prefix(b"Bearer ")
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, std::num::ParseIntError> {
    let millis = text(headers, headers::DEADLINE).map(str::parse::<u64>).transpose()?;
    Ok(millis.map(Duration::from_millis))
}

fn rest(req: &Request) -> String {
    let rest = req.param::<String>("rest").unwrap_or_default();
    match req.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    }
}

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let keep = |name: &str| !headers::NOT_PASSED_ON.contains(&name);
    let kept = headers.iter().filter(|(name, _)| keep(name.as_str()));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn fingerprint(route: &str, body: &[u8]) -> Fingerprint {
    let hash = Sha256::new().chain_update(route).chain_update([0]).chain_update(body).finalize();
    let (first, _) = hash.split_at(8);
    first.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
