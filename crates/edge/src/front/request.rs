//! One request of a caller, from its head to its answer.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use jasminestage_core::{
    steer::{
        refusal::{Refusal, RefusalReason},
        server::AttemptOutcome,
        steering::{NextAction, PendingRequest, RequestHead},
    },
    world::Repeat,
};
use jasminestage_net::clock;
use jasminestage_platform::headers;
use tokio::time::timeout;
use xxhash_rust::xxh3::Xxh3;

use super::{
    answer::{self, Reply},
    trace::Trace,
};
use crate::{
    shared::{Phase, Shared},
    upstream::{Answer, Outgoing, Pool, Tried, send},
};

/// Time past a request's deadline in which the server's own answer to it may still come.
const LAST_ANSWER: Duration = Duration::from_millis(60);

/// Answers one request; `None` closes the connection without an answer.
pub async fn handle(shared: Arc<Shared>, pool: Arc<Pool>, req: Request<Incoming>) -> Option<Reply> {
    let arrived = clock::now();
    let (parts, body) = req.into_parts();
    let id = headers::text(&parts.headers, &headers::REQUEST_ID).unwrap_or_default().to_owned();
    let mut trace = Trace::new(&shared, &id, arrived);
    let mut reply = match serve(&shared, &pool, &parts, body, &id, &mut trace).await {
        Ok(answer) => deliver(answer),
        Err(Failure::Refused(refusal)) => {
            trace.refused(&refusal);
            answer::refusal(refusal)
        }
        Err(Failure::CallerLeft) => return None,
    };
    if *shared.phase().borrow() >= Phase::Leaving {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    trace.answered(reply.status().as_u16());
    Some(reply)
}

enum Failure {
    Refused(Refusal),
    CallerLeft,
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Failure::Refused(refusal)
    }
}

async fn serve(
    shared: &Arc<Shared>,
    pool: &Pool,
    parts: &http::request::Parts,
    body: Incoming,
    id: &str,
    trace: &mut Trace<'_>,
) -> Result<Answer, Failure> {
    if id.is_empty() {
        return Err(Failure::Refused(RefusalReason::BadRequest.into()));
    }
    let host = headers::text(&parts.headers, &header::HOST).unwrap_or_default();
    let arrival = RequestHead {
        id,
        host: host.split(':').next().unwrap_or_default(),
        path: parts.uri.path(),
        key: headers::key(&parts.headers),
        object: headers::object(&parts.headers),
        caller_timeout: headers::patience(&parts.headers),
    };
    let flight = shared.decide(|steering, now| steering.admit(now, &arrival))?;
    trace.admitted(&flight);
    shared.decide(|steering, now| steering.charge_quota(now, &flight))?;
    let mut flight = Guard { shared, flight };
    let body = read_body(shared, body).await?;
    let fingerprint = fingerprint(parts, &body);
    shared
        .decide(|steering, now| steering.check_fingerprint(now, &mut flight.flight, fingerprint))?;
    let mut sent_headers: HeaderMap = parts.headers.clone();
    let workspace = flight.flight.workspace.as_ref().map(|w| w.name.clone());
    headers::prepare(&mut sent_headers, workspace.as_deref());
    let at_most_once = flight.flight.route.repeat == Repeat::AtMostOnce;
    loop {
        let mut to =
            shared.decide(|steering, now| steering.choose_server(now, &mut flight.flight))?;
        trace.sent(&to, &flight.flight);
        let outgoing = Outgoing {
            parts,
            headers: &sent_headers,
            body: &body,
            id,
            at_most_once,
            deadline: flight.flight.deadline,
        };
        to.timeout += LAST_ANSWER;
        let mut attempt = pin!(send(pool, &shared.metrics, &to, &outgoing));
        let tried = match timeout(to.failover_after, attempt.as_mut()).await {
            Ok(tried) => tried,
            Err(_) if shared.decide(|s, now| s.may_switch_server(now, &mut flight.flight)) => {
                Tried::failed(AttemptOutcome::TimedOut)
            }
            Err(_) => attempt.await,
        };
        let Tried { outcome, report, answer } = tried;
        trace.tried(outcome);
        let next = shared.decide(|steering, now| {
            steering.finish_attempt(now, &mut flight.flight, outcome, report)
        });
        match (next, answer) {
            (NextAction::Retry, _) => {}
            (NextAction::Deliver, Some(answer)) => return Ok(answer),
            (NextAction::Deliver, None) => {
                return Err(Failure::Refused(RefusalReason::BadAnswer.into()));
            }
            (NextAction::Refuse(refusal), _) => return Err(refusal.into()),
        }
    }
}

/// Tells the request path that the caller left when a request is dropped in the middle of a try.
struct Guard<'a> {
    shared: &'a Shared,
    flight: PendingRequest,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if self.flight.has_attempt_in_progress() {
            self.shared.metrics.tried("abandoned");
            self.shared.decide(|steering, now| {
                steering.finish_attempt(now, &mut self.flight, AttemptOutcome::Abandoned, None)
            });
        }
    }
}

async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, Failure> {
    let limit = shared.view.load().catalog.limits.max_body_bytes;
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            Err(Failure::Refused(RefusalReason::BodyTooLarge.into()))
        }
        Err(_) => Err(Failure::CallerLeft),
    }
}

/// What stays the same when a caller sends a request again.
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

fn deliver(answer: Answer) -> Reply {
    let mut reply = Response::new(Full::new(answer.body));
    *reply.status_mut() = answer.status;
    *reply.headers_mut() = answer.headers;
    reply
}
