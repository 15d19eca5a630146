//! One attempt of a request at one server.

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

/// A complete response of a server.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// Outcome, on which the next action is based.
    pub outcome: AttemptOutcome,
    /// Load that the server reported in its response.
    pub report: Option<LoadReport>,
    /// The response, if a complete and valid one arrived.
    pub response: Option<ServerResponse>,
}

impl AttemptResult {
    /// Creates the result of an attempt without a response.
    pub fn failed(outcome: AttemptOutcome) -> Self {
        AttemptResult { outcome, report: None, response: None }
    }
}

/// A request as it is sent to a server.
#[derive(Clone, Debug)]
pub struct OutgoingRequest<'a> {
    /// Head of the caller's request, whose method, path and query are sent unchanged.
    pub parts: &'a http::request::Parts,
    /// Headers that are sent to the server.
    pub headers: &'a HeaderMap,
    /// Whole body.
    pub body: &'a Bytes,
    /// ID of the request; the server returns it in its response.
    pub id: &'a str,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Time by which the server must have answered.
    pub deadline: Instant,
}

/// Sends a request to one server and waits for the complete response.
pub async fn send(
    pool: &Pool,
    metrics: &Metrics,
    dispatch: &Dispatch,
    outgoing: &OutgoingRequest<'_>,
) -> AttemptResult {
    match timeout(dispatch.timeout, attempt(pool, metrics, dispatch, outgoing)).await {
        Ok(result) => result,
        Err(_) => AttemptResult::failed(AttemptOutcome::TimedOut),
    }
}

async fn attempt(
    pool: &Pool,
    metrics: &Metrics,
    dispatch: &Dispatch,
    outgoing: &OutgoingRequest<'_>,
) -> AttemptResult {
    let server_id = dispatch.server.id.as_str();
    if let Some(connection) = pool.take(server_id, outgoing.at_most_once)
        && let Some(result) = exchange(pool, dispatch, outgoing, connection).await
    {
        if result.outcome == AttemptOutcome::Lost {
            pool.block_at_most_once_reuse();
        }
        return result;
    }
    let connection = match connect(dispatch.address).await {
        Ok(connection) => connection,
        Err(e) => {
            tracing::debug!(server = server_id, error = %e, "Connecting to a server failed.");
            return AttemptResult::failed(AttemptOutcome::NotSent);
        }
    };
    metrics.count_connection();
    match exchange(pool, dispatch, outgoing, connection).await {
        Some(result) => result,
        None => AttemptResult::failed(AttemptOutcome::NotSent),
    }
}

/// Sends the request on one connection; returns `None` if no byte of the request was sent.
async fn exchange(
    pool: &Pool,
    dispatch: &Dispatch,
    outgoing: &OutgoingRequest<'_>,
    mut connection: Connection,
) -> Option<AttemptResult> {
    connection.sender.ready().await.ok()?;
    let sent_at = clock::now();
    let mut req = Request::new(Full::new(outgoing.body.clone()));
    *req.method_mut() = outgoing.parts.method.clone();
    *req.uri_mut() = outgoing.parts.uri.clone();
    *req.headers_mut() = outgoing.headers.clone();
    let time_left = outgoing.deadline.saturating_since(sent_at);
    headers::set_target(req.headers_mut(), &dispatch.server.id, time_left);
    let incoming = match connection.sender.try_send_request(req).await {
        Ok(incoming) => incoming,
        Err(mut e) => {
            if e.take_message().is_some() {
                return None;
            }
            let e = e.into_error();
            let outcome =
                if e.is_parse() { AttemptOutcome::BadAnswer } else { AttemptOutcome::Lost };
            return Some(AttemptResult::failed(outcome));
        }
    };
    let (parts, body) = incoming.into_parts();
    let report = headers::load_report(&parts.headers);
    let has_matching_id =
        headers::text(&parts.headers, &headers::REQUEST_ID).is_none_or(|id| id == outgoing.id);
    if !has_matching_id || parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Some(AttemptResult::failed(AttemptOutcome::BadAnswer));
    }
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            return Some(AttemptResult {
                outcome: AttemptOutcome::BadAnswer,
                report,
                response: None,
            });
        }
    };
    let status = parts.status.as_u16();
    let is_signed = parts.headers.contains_key(&headers::RESPONSE_SIGNATURE);
    let outcome = match status {
        421 if !is_signed => AttemptOutcome::WrongServer,
        _ if headers::is_not_executed(status, &parts.headers) => AttemptOutcome::Shed,
        200..300 if !is_signed => AttemptOutcome::BadAnswer,
        _ => AttemptOutcome::Answered { status, took: clock::now().saturating_since(sent_at) },
    };
    if outcome != AttemptOutcome::BadAnswer {
        pool.keep(&dispatch.server.id, connection, headers::keep_alive_timeout(&parts.headers));
    }
    let response = matches!(outcome, AttemptOutcome::Answered { .. }).then(|| {
        let mut headers = parts.headers;
        headers::remove_hop_by_hop(&mut headers);
        ServerResponse { status: parts.status, headers, body }
    });
    Some(AttemptResult { outcome, report, response })
}
