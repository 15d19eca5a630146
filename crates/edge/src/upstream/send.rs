//! One attempt of a request at one server.

use std::ops::RangeInclusive;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::Full;
use jasminestage_core::{
    steer::{
        server::{AttemptOutcome, ServerReport},
        steering::Dispatch,
    },
    time::Instant,
};
use jasminestage_net::{Connection, clock};
use jasminestage_platform::headers;
use tokio::time::timeout;

use super::{Upstream, pool::connect};
use crate::{body::read_body, log::RequestOutcome, shared::Shared};

/// Statuses of valid final responses. The HTTP library accepts 100 to 999 and returns 101 as a final
/// response, although the host asks for no other protocol.
const VALID_STATUSES: RangeInclusive<u16> = 200..=599;

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
    /// What the server reported about itself, if a response to the request arrived.
    pub report: Option<ServerReport>,
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
    upstream: &Upstream,
    shared: &Shared,
    dispatch: &Dispatch,
    outgoing: &OutgoingRequest<'_>,
) -> AttemptResult {
    match timeout(dispatch.timeout, attempt(upstream, shared, dispatch, outgoing)).await {
        Ok(result) => result,
        Err(_) => AttemptResult::failed(AttemptOutcome::TimedOut),
    }
}

async fn attempt(
    upstream: &Upstream,
    shared: &Shared,
    dispatch: &Dispatch,
    outgoing: &OutgoingRequest<'_>,
) -> AttemptResult {
    let server_id = dispatch.server.id.as_str();
    if let Some(connection) = upstream.pool.take(server_id, outgoing.at_most_once)
        && let Some(result) =
            exchange(upstream, shared, dispatch, outgoing, Use::Further(connection)).await
    {
        if result.outcome == AttemptOutcome::Lost {
            upstream.pool.block_at_most_once_reuse();
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
    shared.metrics.count_connection();
    match exchange(upstream, shared, dispatch, outgoing, Use::First(connection)).await {
        Some(result) => result,
        None => AttemptResult::failed(AttemptOutcome::NotSent),
    }
}

/// A connection, and whether a response on it may still belong to an earlier request.
enum Use {
    /// The request is the first one on the connection.
    First(Connection),
    /// Earlier requests were sent on the connection.
    Further(Connection),
}

/// Sends the request on one connection; returns `None` if no byte of the request was sent.
async fn exchange(
    upstream: &Upstream,
    shared: &Shared,
    dispatch: &Dispatch,
    outgoing: &OutgoingRequest<'_>,
    connection: Use,
) -> Option<AttemptResult> {
    let (mut connection, is_first) = match connection {
        Use::First(connection) => (connection, true),
        Use::Further(connection) => (connection, false),
    };
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
    let status = parts.status.as_u16();
    let is_signed = parts.headers.contains_key(&headers::RESPONSE_SIGNATURE);
    // A late copy of an earlier response may arrive instead of the response to this request. Without
    // an id, only the first response on a connection certainly belongs to the request.
    let has_matching_id = match headers::text(&parts.headers, &headers::REQUEST_ID) {
        Some(id) => id == outgoing.id,
        None => is_first && !is_signed,
    };
    let is_valid = VALID_STATUSES.contains(&status) && has_matching_id;
    if !is_valid || parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Some(AttemptResult::failed(AttemptOutcome::BadAnswer));
    }
    let (report, invalid) = headers::server_report(status, &parts.headers);
    for e in invalid {
        shared.metrics.count_invalid_report(&e);
        if shared.request_lines.admits(RequestOutcome::Bad) {
            let (server, request) = (&dispatch.server.id, outgoing.id);
            tracing::warn!(event = 365, server, request, error = %e, "A header of a server's report was ignored.");
        }
    }
    let report = Some(report);
    let max_bytes = shared.cfg.max_response_bytes;
    let body = match read_body(&upstream.response_memory, max_bytes, body).await {
        Ok(body) => body,
        Err(e) => {
            if let Some(limit) = e.limit() {
                shared.metrics.count_cut_response(limit);
                if shared.request_lines.admits(RequestOutcome::Bad) {
                    let (server, request) = (&dispatch.server.id, outgoing.id);
                    tracing::warn!(event = 364, server, request, error = %e, "A response of a server was cut because it exceeded a limit.");
                }
            }
            let outcome = AttemptOutcome::BadAnswer;
            return Some(AttemptResult { outcome, report, response: None });
        }
    };
    let outcome = match status {
        421 if !is_signed => AttemptOutcome::WrongServer,
        _ if headers::is_not_executed(status, &parts.headers) => AttemptOutcome::Shed,
        200..300 if !is_signed => AttemptOutcome::BadAnswer,
        _ => AttemptOutcome::Answered { status, took: clock::now().saturating_since(sent_at) },
    };
    let may_reuse = outcome != AttemptOutcome::BadAnswer && !report.is_some_and(|r| r.is_leaving);
    if may_reuse {
        upstream.pool.keep(
            &dispatch.server.id,
            connection,
            headers::keep_alive_timeout(&parts.headers),
        );
    }
    let response = matches!(outcome, AttemptOutcome::Answered { .. }).then(|| {
        let mut headers = parts.headers;
        headers::remove_hop_by_hop(&mut headers);
        ServerResponse { status: parts.status, headers, body }
    });
    Some(AttemptResult { outcome, report, response })
}
