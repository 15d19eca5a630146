//! Handling of a caller's request, from its head to the response.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Body;
use jasminestage_core::{
    declaration::Repeat,
    intake::Activity,
    steer::{
        refusal::{Refusal, RefusalReason},
        server::AttemptOutcome,
        steering::{NextAction, PendingRequest, RequestHead},
    },
    time::Instant,
};
use jasminestage_net::clock;
use jasminestage_platform::headers;
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

use super::{
    listener::CallerBody,
    responses::{self, FullResponse},
    trace::Trace,
};
use crate::{
    body::{self, ReadBodyError},
    intake::Ticket,
    shared::Shared,
    stop,
    upstream::{self, AttemptResult, OutgoingRequest, ServerResponse, Upstream, send},
};

/// Time added to the timeout of an attempt, so that the server's own response to an exceeded
/// deadline can still arrive.
const LATE_RESPONSE_MARGIN: Duration = Duration::from_millis(60);
/// Time after which a caller may send a request again for whose body there was no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which a caller may send a request again for which there was no connection.
const DESCRIPTOR_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a body that has stopped half-way gives up its memory to another one.
const STALLED_BODY_TIME: Duration = Duration::from_secs(1);

/// Answers a request; `None` closes the connection without a response.
pub async fn handle(
    shared: Arc<Shared>,
    upstream: Arc<Upstream>,
    req: Request<CallerBody>,
) -> Option<FullResponse> {
    let arrived_at = clock::now();
    let (parts, body) = req.into_parts();
    let id = headers::text(&parts.headers, &headers::REQUEST_ID).unwrap_or_default().to_owned();
    let mut trace = Trace::new(&shared, &id, arrived_at);
    let response = match serve(&shared, &upstream, &parts, body, &id, &mut trace).await {
        Ok(server_response) => deliver(server_response),
        Err(Failure::Refused(refusal)) => {
            trace.record_refusal(&refusal);
            responses::refusal(refusal)
        }
        Err(Failure::CallerDisconnected) => return None,
    };
    trace.record_response(response.status().as_u16());
    Some(response)
}

enum Failure {
    Refused(Refusal),
    CallerDisconnected,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Failure::Refused(refusal)
    }
}

async fn serve(
    shared: &Arc<Shared>,
    upstream: &Upstream,
    parts: &http::request::Parts,
    body: CallerBody,
    id: &str,
    trace: &mut Trace<'_>,
) -> Result<ServerResponse, Failure> {
    if id.is_empty() {
        return Err(Failure::Refused(RefusalReason::BadRequest.into()));
    }
    let host = headers::text(&parts.headers, &header::HOST).unwrap_or_default();
    let head = RequestHead {
        id,
        host: host.split(':').next().unwrap_or_default(),
        path: parts.uri.path(),
        key: headers::api_key(&parts.headers),
        object: headers::affinity_key(&parts.headers),
        caller_timeout: headers::caller_timeout(&parts.headers),
    };
    let pending = shared.with_steering(|steering, now| steering.admit(now, &head))?;
    trace.record_admission(&pending);
    shared.with_steering(|steering, now| steering.charge_quota(now, &pending))?;
    let mut guard = AbandonGuard { shared, pending };
    guard.pending.limit_deadline(shared.last_response_at());
    let ticket = parts.extensions.get::<Ticket>();
    let body = read_body(shared, guard.pending.deadline, ticket, body).await?;
    let fingerprint = fingerprint(parts, &body);
    trace.record_fingerprint(fingerprint);
    shared.with_steering(|steering, now| {
        steering.check_fingerprint(now, &mut guard.pending, fingerprint)
    })?;
    let mut server_headers: HeaderMap = parts.headers.clone();
    let workspace = guard.pending.workspace.as_ref().map(|w| w.name.clone());
    headers::prepare_for_server(&mut server_headers, workspace.as_deref());
    let at_most_once = guard.pending.route.repeat == Repeat::AtMostOnce;
    let _reservation = shared.ports.reserve_server_connection().await.ok_or(Refusal {
        retry_after: Some(DESCRIPTOR_RETRY_AFTER),
        ..RefusalReason::DescriptorsExhausted.into()
    })?;
    loop {
        let mut dispatch = shared
            .with_steering(|steering, now| steering.choose_server(now, &mut guard.pending))?;
        trace.record_dispatch(&dispatch, &guard.pending);
        let outgoing = OutgoingRequest {
            parts,
            headers: &server_headers,
            body: &body,
            id,
            at_most_once,
            deadline: guard.pending.deadline,
        };
        dispatch.timeout += LATE_RESPONSE_MARGIN;
        let attempt = async {
            let mut attempt = pin!(send(upstream, shared, &dispatch, &outgoing));
            match timeout(dispatch.failover_after, attempt.as_mut()).await {
                Ok(result) => result,
                Err(_)
                    if shared
                        .with_steering(|s, now| s.may_switch_server(now, &mut guard.pending)) =>
                {
                    AttemptResult::failed(AttemptOutcome::TimedOut)
                }
                Err(_) => attempt.await,
            }
        };
        let result = tokio::select! {
            result = attempt => result,
            () = stop::wait_for_last_responses(shared) => {
                AttemptResult::failed(AttemptOutcome::TimedOut)
            }
        };
        guard.pending.limit_deadline(shared.last_response_at());
        let AttemptResult { outcome, report, response } = result;
        trace.record_attempt(outcome);
        let next_action = shared.with_steering(|steering, now| {
            steering.finish_attempt(now, &mut guard.pending, outcome, report)
        });
        if outcome == AttemptOutcome::Lost {
            upstream::check_for_crashes(shared);
        }
        match (next_action, response) {
            // The descriptor of the failed attempt is free as soon as the task of its connection has run.
            (NextAction::Retry, _) => tokio::task::yield_now().await,
            (NextAction::Deliver, Some(response)) => return Ok(response),
            (NextAction::Deliver, None) => {
                return Err(Failure::Refused(RefusalReason::BadAnswer.into()));
            }
            (NextAction::Refuse(refusal), _) => return Err(refusal.into()),
        }
    }
}

/// Records an attempt as abandoned when its request is dropped, because the caller disconnected.
struct AbandonGuard<'a> {
    shared: &'a Shared,
    pending: PendingRequest,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.pending.has_attempt_in_progress() {
            self.shared.metrics.count_attempt("abandoned");
            self.shared.with_steering(|steering, now| {
                steering.finish_attempt(now, &mut self.pending, AttemptOutcome::Abandoned, None)
            });
        }
    }
}

/// Reads the body of a request until its deadline. A body for which there is no memory is refused
/// before it is read, unless bodies that have stopped half-way hold the memory.
async fn read_body(
    shared: &Shared,
    deadline: Instant,
    ticket: Option<&Ticket>,
    body: CallerBody,
) -> Result<Bytes, Failure> {
    let ticket = ticket.filter(|_| !body.is_end_stream());
    let announced_bytes = body.size_hint().lower();
    if let Some(ticket) = ticket {
        let len = usize::try_from(announced_bytes).unwrap_or(usize::MAX);
        if !shared.request_memory.has_room(len) {
            ticket.free_stalled(Activity::Body, STALLED_BODY_TIME);
            // The tasks of the closed connections run before this one.
            tokio::task::yield_now().await;
        }
        ticket.body_started(announced_bytes);
    }
    let max_bytes = shared.view.load().catalog.limits.max_body_bytes;
    let read = body::read_body(&shared.request_memory, max_bytes, body);
    let time_left = deadline.saturating_since(clock::now());
    let result = timeout(time_left, read).await;
    if let Some(ticket) = ticket {
        ticket.body_ended();
    }
    let refusal = match result {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(ReadBodyError::Connection(_))) => return Err(Failure::CallerDisconnected),
        Ok(Err(ReadBodyError::TooLong { .. })) => RefusalReason::BodyTooLarge.into(),
        Ok(Err(ReadBodyError::MemoryExhausted { .. })) => Refusal {
            retry_after: Some(MEMORY_RETRY_AFTER),
            ..RefusalReason::MemoryExhausted.into()
        },
        Err(_) => RefusalReason::Expired.into(),
    };
    Err(Failure::Refused(refusal))
}

/// Computes a hash that is the same for all repetitions of a request.
fn fingerprint(parts: &http::request::Parts, body: &Bytes) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(parts.method.as_str().as_bytes());
    hash.update(parts.uri.to_string().as_bytes());
    for name in [header::HOST, header::AUTHORIZATION, header::COOKIE] {
        hash.update(parts.headers.get(name).map_or(b"".as_slice(), HeaderValue::as_bytes));
        hash.update(b"\0");
    }
    hash.update(body);
    hash.digest()
}

fn deliver(server_response: ServerResponse) -> FullResponse {
    let mut response = Response::new(Full::new(server_response.body));
    *response.status_mut() = server_response.status;
    *response.headers_mut() = server_response.headers;
    response
}
