//! Executes the steps of a request from its admission to its result.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    once::{Answer, ForwardedReply, ForwardedRequest},
    peer::{PeerCall, PeerReply},
    result::Code,
    traffic::{self, FlightKey, ForwardOutcome, ForwardedBy, Origin, Outcome, Step},
};
use salvo::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

use super::{
    backend::{BackendCall, BackendReply},
    request::fingerprint,
};
use crate::{peer::stream::CallError, shared::Shared};

/// How a request ended.
pub struct RequestResult {
    /// Result code.
    pub code: Code,
    /// Response of the backend server, present with `Code::Done`.
    pub reply: Option<BackendReply>,
}

impl From<Code> for RequestResult {
    fn from(code: Code) -> Self {
        RequestResult { code, reply: None }
    }
}

/// Cancels a request in flight if its caller disconnects and the handler is dropped.
struct CancelOnDrop<'a> {
    shared: &'a Shared,
    flight: Option<FlightKey>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(flight) = self.flight {
            self.shared.with_traffic(|traffic, now| traffic.cancel(now, flight));
        }
    }
}

/// Runs a request with at-most-once execution to its end even if its caller disconnects, so that a
/// retry of the caller gets the stored answer.
pub async fn run_to_completion(
    shared: Arc<Shared>,
    call: BackendCall,
    forwarded: Option<ForwardedRequest>,
    step: Step,
) -> RequestResult {
    let completion = tokio::spawn(async move { run_steps(&shared, &call, forwarded, step).await });
    completion.await.unwrap_or_else(|_| Code::BadAnswer.into())
}

/// Executes the steps of a request until it ends; `forwarded` is the message to the host that owns
/// its request id.
pub async fn run_steps(
    shared: &Shared,
    call: &BackendCall,
    mut forwarded: Option<ForwardedRequest>,
    mut step: Step,
) -> RequestResult {
    let mut reply = None;
    let mut attempts = 0;
    let mut guard = CancelOnDrop { shared, flight: None };
    loop {
        step = match step {
            Step::Send { flight, address, timeout } => {
                guard.flight = Some(flight);
                attempts += 1;
                // A second attempt does not use an idle connection, which may no longer work.
                let new_connection = call.at_most_once || attempts > 1;
                let answer =
                    shared.backend_client.call(address, call, timeout, new_connection).await;
                let answer_to_store = answer
                    .as_ref()
                    .ok()
                    .filter(|_| call.at_most_once)
                    .map(|a| Arc::new(to_stored_answer(a)));
                let received = answer.as_ref().map_or(0, |a| a.body.len());
                let outcome = match answer {
                    Ok(answer) => {
                        let status = answer.status.as_u16();
                        reply = Some(answer);
                        Outcome::Answered(status)
                    }
                    Err(outcome) => outcome,
                };
                shared.with_traffic(|traffic, now| {
                    if let Some(answer_to_store) = &answer_to_store {
                        traffic.store_answer(flight, answer_to_store);
                    }
                    traffic.record_bytes(flight, call.body.len() as u64, received as u64);
                    traffic.finish(now, flight, outcome)
                })
            }
            Step::Forward { flight, owner, to, timeout, deadline, new_connection } => {
                guard.flight = Some(flight);
                let outcome = match &mut forwarded {
                    Some(forwarded) => {
                        forwarded.owner = owner;
                        forwarded.timeout_ms = deadline.as_millis() as u64;
                        let call = PeerCall::Run(Box::new(forwarded.clone()));
                        forward_outcome(
                            shared
                                .peers
                                .call_once(shared, to, &call, timeout, new_connection)
                                .await,
                        )
                    }
                    None => ForwardOutcome::NotReached,
                };
                shared.with_traffic(|traffic, now| {
                    traffic.finish_forward(now, flight, outcome.clone())
                })
            }
            Step::Park { flight, until } => {
                guard.flight = Some(flight);
                shared.wait_parked(flight, until).await;
                shared.with_traffic(|traffic, now| traffic.resume(now, flight))
            }
            Step::ReplayAnswer(answer) => {
                guard.flight = None;
                return RequestResult { code: Code::Done, reply: Some(reply_from_answer(&answer)) };
            }
            Step::Reply(code) => {
                guard.flight = None;
                return RequestResult { code, reply };
            }
        };
    }
}

/// Handles a request that another host has forwarded.
pub async fn handle_forwarded(shared: &Arc<Shared>, forwarded: ForwardedRequest) -> ForwardedReply {
    if forwarded.owner != shared.own_info.incarnation {
        return ForwardedReply::NotOwner;
    }
    let Ok(method) = Method::from_bytes(forwarded.method.as_bytes()) else {
        return ForwardedReply::Ended(Code::Malformed, None);
    };
    let request = traffic::Request {
        route: &forwarded.route,
        key: None,
        id: Some(&forwarded.id),
        deadline: Some(Duration::from_millis(forwarded.timeout_ms)),
        fingerprint: fingerprint(&forwarded.route, &forwarded.body),
    };
    let forwarded_by = ForwardedBy { owner: forwarded.owner, key: forwarded.key };
    let origin = Origin { first_try: false, forwarded_by: Some(forwarded_by) };
    let step = shared.with_traffic(|traffic, now| traffic.begin_from(now, &request, &origin));
    let call = BackendCall {
        method,
        path_and_query: forwarded.path_and_query,
        headers: from_fields(&forwarded.headers),
        body: forwarded.body.into(),
        at_most_once: true,
    };
    let request_result = run_to_completion(Arc::clone(shared), call, None, step).await;
    let answer = request_result
        .reply
        .filter(|_| request_result.code == Code::Done)
        .map(|r| to_stored_answer(&r));
    ForwardedReply::Ended(request_result.code, answer)
}

fn forward_outcome(reply: Result<PeerReply, CallError>) -> ForwardOutcome {
    match reply {
        Ok(PeerReply::Run(ForwardedReply::Ended(code, answer))) => {
            ForwardOutcome::Ended(code, answer.map(Arc::new))
        }
        Ok(PeerReply::Run(ForwardedReply::NotOwner)) => ForwardOutcome::NotOwner,
        Err(CallError::Unreachable(_)) => ForwardOutcome::NotReached,
        Err(CallError::NoAnswer(_)) => ForwardOutcome::TimedOut,
        Ok(_) | Err(CallError::Connection(..) | CallError::InvalidReply(..)) => {
            ForwardOutcome::Lost
        }
    }
}

/// Converts headers to pairs of names and values.
pub fn to_fields(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect()
}

fn from_fields(fields: &[(String, Vec<u8>)]) -> HeaderMap {
    let valid = fields.iter().filter_map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    });
    let mut headers = HeaderMap::new();
    for (name, value) in valid {
        headers.append(name, value);
    }
    headers
}

fn to_stored_answer(reply: &BackendReply) -> Answer {
    Answer {
        status: reply.status.as_u16(),
        headers: to_fields(&reply.headers),
        body: reply.body.to_vec(),
    }
}

fn reply_from_answer(answer: &Answer) -> BackendReply {
    BackendReply {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers: from_fields(&answer.headers),
        body: answer.body.clone().into(),
    }
}
