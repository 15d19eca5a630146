//! One try of a request at one server.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use jasminestage_core::{
    steer::{
        server::{AttemptOutcome, LoadReport},
        steering::Dispatch,
    },
    time::Instant,
};
use jasminestage_net::{Connection, clock};
use jasminestage_platform::headers;
use tokio::time::timeout;

use super::pool::{Pool, connect};
use crate::metrics::Metrics;

/// A complete answer of a server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers without those that concern one connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// How a try ended.
#[derive(Debug)]
pub struct Tried {
    /// For the decision on what follows.
    pub outcome: AttemptOutcome,
    /// Load that the server reported.
    pub report: Option<LoadReport>,
    /// The answer, when there is a whole one.
    pub answer: Option<Answer>,
}

impl Tried {
    /// A try without an answer.
    pub fn failed(outcome: AttemptOutcome) -> Self {
        Tried { outcome, report: None, answer: None }
    }
}

/// What is sent.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Method, path and query as the caller sent them.
    pub parts: &'a http::request::Parts,
    /// Headers for servers.
    pub headers: &'a HeaderMap,
    /// Whole body.
    pub body: &'a Bytes,
    /// Id of the request, which the server echoes.
    pub id: &'a str,
    /// Whether it must run at most once.
    pub at_most_once: bool,
    /// When the server must have answered.
    pub deadline: Instant,
}

/// Sends a request to one server and waits for the whole answer.
pub async fn send(pool: &Pool, metrics: &Metrics, to: &Dispatch, out: &Outgoing<'_>) -> Tried {
    match timeout(to.timeout, attempt(pool, metrics, to, out)).await {
        Ok(tried) => tried,
        Err(_) => Tried::failed(AttemptOutcome::TimedOut),
    }
}

async fn attempt(pool: &Pool, metrics: &Metrics, to: &Dispatch, out: &Outgoing<'_>) -> Tried {
    let id = to.server.id.as_str();
    if let Some(connection) = pool.take(id, out.at_most_once)
        && let Some(tried) = exchange(pool, to, out, connection).await
    {
        if tried.outcome == AttemptOutcome::Lost {
            pool.distrust();
        }
        return tried;
    }
    let connection = match connect(to.address).await {
        Ok(connection) => connection,
        Err(e) => {
            tracing::debug!(server = id, error = %e, "A server takes no connection.");
            return Tried::failed(AttemptOutcome::NotSent);
        }
    };
    metrics.connected();
    match exchange(pool, to, out, connection).await {
        Some(tried) => tried,
        None => Tried::failed(AttemptOutcome::NotSent),
    }
}

/// Sends on one connection; `None` when no byte of the request was sent.
async fn exchange(
    pool: &Pool,
    to: &Dispatch,
    out: &Outgoing<'_>,
    mut connection: Connection,
) -> Option<Tried> {
    connection.sender.ready().await.ok()?;
    let sent = clock::now();
    let mut req = Request::new(Full::new(out.body.clone()));
    *req.method_mut() = out.parts.method.clone();
    *req.uri_mut() = out.parts.uri.clone();
    *req.headers_mut() = out.headers.clone();
    let left = out.deadline.saturating_since(sent);
    headers::address_to(req.headers_mut(), &to.server.id, left);
    let response = match connection.sender.try_send_request(req).await {
        Ok(response) => response,
        Err(mut e) => {
            if e.take_message().is_some() {
                return None;
            }
            let e = e.into_error();
            let outcome =
                if e.is_parse() { AttemptOutcome::BadAnswer } else { AttemptOutcome::Lost };
            return Some(Tried::failed(outcome));
        }
    };
    let (parts, body) = response.into_parts();
    let report = headers::load(&parts.headers);
    let is_mine = headers::text(&parts.headers, &headers::REQUEST_ID).is_none_or(|i| i == out.id);
    if !is_mine || parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Some(Tried::failed(AttemptOutcome::BadAnswer));
    }
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Some(Tried { outcome: AttemptOutcome::BadAnswer, report, answer: None }),
    };
    let status = parts.status.as_u16();
    let is_signed = parts.headers.contains_key(&headers::SIGNATURE);
    let outcome = match status {
        421 if !is_signed => AttemptOutcome::WrongServer,
        _ if headers::says_not_run(status, &parts.headers) => AttemptOutcome::Shed,
        200..300 if !is_signed => AttemptOutcome::BadAnswer,
        _ => AttemptOutcome::Answered { status, took: clock::now().saturating_since(sent) },
    };
    if outcome != AttemptOutcome::BadAnswer {
        pool.keep(&to.server.id, connection, headers::keep_alive(&parts.headers));
    }
    let answer = matches!(outcome, AttemptOutcome::Answered { .. }).then(|| {
        let mut headers = parts.headers;
        headers::remove_hop_by_hop(&mut headers);
        Answer { status: parts.status, headers, body }
    });
    Some(Tried { outcome, report, answer })
}
