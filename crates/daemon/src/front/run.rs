//! From the first decision on a request to its end.

use std::{sync::Arc, time::Duration};

use jasminestage_core::{
    once::{Answer, ForwardedReply, ForwardedRequest},
    peer::{PeerCall, PeerReply},
    result::Code,
    traffic::{self, FlightKey, ForwardOutcome, ForwardedBy, Origin, Outcome, Step},
};
use salvo::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

use super::{
    backend::{Call, Reply},
    request::fingerprint,
};
use crate::{peer::stream::CallError, shared::Shared};

/// How a request ended.
pub struct Ended {
    /// Result code.
    pub code: Code,
    /// The backend server's answer, with `Code::Done`.
    pub reply: Option<Reply>,
}

impl From<Code> for Ended {
    fn from(code: Code) -> Self {
        Ended { code, reply: None }
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
            self.shared.decide(|traffic, now| traffic.cancel(now, flight));
        }
    }
}

/// Carries out a request that runs at most once to its end, also when its caller goes away, so
/// that a resend finds the answer.
pub async fn to_its_end(
    shared: Arc<Shared>,
    call: Call,
    pass: Option<ForwardedRequest>,
    step: Step,
) -> Ended {
    let run = tokio::spawn(async move { drive(&shared, &call, pass, step).await });
    run.await.unwrap_or_else(|_| Code::BadAnswer.into())
}

/// Carries out the steps of a request until it ends; `pass` is what the owner of its id is sent.
pub async fn drive(
    shared: &Shared,
    call: &Call,
    mut pass: Option<ForwardedRequest>,
    mut step: Step,
) -> Ended {
    let mut reply = None;
    let mut tries = 0;
    let mut open = OpenFlight { shared, flight: None };
    loop {
        step = match step {
            Step::Send { flight, address, timeout } => {
                open.flight = Some(flight);
                tries += 1;
                // A second try does not trust an idle connection.
                let fresh = call.once || tries > 1;
                let answer = shared.backends.call(address, call, timeout, fresh).await;
                let kept = answer.as_ref().ok().filter(|_| call.once).map(|a| Arc::new(kept(a)));
                let received = answer.as_ref().map_or(0, |a| a.body.len());
                let outcome = match answer {
                    Ok(answer) => {
                        let status = answer.status.as_u16();
                        reply = Some(answer);
                        Outcome::Answered(status)
                    }
                    Err(outcome) => outcome,
                };
                shared.decide(|traffic, now| {
                    if let Some(kept) = &kept {
                        traffic.store_answer(flight, kept);
                    }
                    traffic.record_bytes(flight, call.body.len() as u64, received as u64);
                    traffic.finish(now, flight, outcome)
                })
            }
            Step::Forward { flight, owner, to, timeout, deadline, new_connection } => {
                open.flight = Some(flight);
                let outcome = match &mut pass {
                    Some(pass) => {
                        pass.owner = owner;
                        pass.timeout_ms = deadline.as_millis() as u64;
                        let call = PeerCall::Run(Box::new(pass.clone()));
                        passed(
                            shared
                                .peers
                                .call_once(shared, to, &call, timeout, new_connection)
                                .await,
                        )
                    }
                    None => ForwardOutcome::NotReached,
                };
                shared.decide(|traffic, now| traffic.finish_forward(now, flight, outcome.clone()))
            }
            Step::Park { flight, until } => {
                open.flight = Some(flight);
                shared.parked(flight, until).await;
                shared.decide(|traffic, now| traffic.resume(now, flight))
            }
            Step::ReplayAnswer(answer) => {
                open.flight = None;
                return Ended { code: Code::Done, reply: Some(reply_of(&answer)) };
            }
            Step::Reply(code) => {
                open.flight = None;
                return Ended { code, reply };
            }
        };
    }
}

/// Answers a request that another host has passed on.
pub async fn answer_passed(shared: &Arc<Shared>, pass: ForwardedRequest) -> ForwardedReply {
    if pass.owner != shared.me.incarnation {
        return ForwardedReply::NotOwner;
    }
    let Ok(method) = Method::from_bytes(pass.method.as_bytes()) else {
        return ForwardedReply::Ended(Code::Malformed, None);
    };
    let request = traffic::Request {
        route: &pass.route,
        key: None,
        id: Some(&pass.id),
        deadline: Some(Duration::from_millis(pass.timeout_ms)),
        fingerprint: fingerprint(&pass.route, &pass.body),
    };
    let from = ForwardedBy { owner: pass.owner, key: pass.key };
    let origin = Origin { first_try: false, forwarded_by: Some(from) };
    let step = shared.decide(|traffic, now| traffic.begin_from(now, &request, &origin));
    let call = Call {
        method,
        path_and_query: pass.path_and_query,
        headers: from_fields(&pass.headers),
        body: pass.body.into(),
        once: true,
    };
    let ended = to_its_end(Arc::clone(shared), call, None, step).await;
    let answer = ended.reply.filter(|_| ended.code == Code::Done).map(|r| kept(&r));
    ForwardedReply::Ended(ended.code, answer)
}

fn passed(reply: Result<PeerReply, CallError>) -> ForwardOutcome {
    match reply {
        Ok(PeerReply::Run(ForwardedReply::Ended(code, answer))) => {
            ForwardOutcome::Ended(code, answer.map(Arc::new))
        }
        Ok(PeerReply::Run(ForwardedReply::NotOwner)) => ForwardOutcome::NotOwner,
        Err(CallError::Unreachable(_)) => ForwardOutcome::NotReached,
        Err(CallError::NoAnswer(_)) => ForwardOutcome::TimedOut,
        Ok(_) | Err(CallError::Connection(..) | CallError::Damaged(..)) => ForwardOutcome::Lost,
    }
}

/// Headers as names and values.
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

fn kept(reply: &Reply) -> Answer {
    Answer {
        status: reply.status.as_u16(),
        headers: to_fields(&reply.headers),
        body: reply.body.to_vec(),
    }
}

fn reply_of(answer: &Answer) -> Reply {
    Reply {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
        headers: from_fields(&answer.headers),
        body: answer.body.clone().into(),
    }
}
