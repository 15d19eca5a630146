//! Requests that run at most once, at the owner of the request id and at hosts that forward them.

use std::time::Duration;

use super::{
    FlightKey, ForwardOutcome, Origin, Request, Step, Traffic,
    flight::{Flight, OnceState, Stage},
};
use crate::{
    event::{Event, Kind},
    once::{AnyId, BeginOutcome, DedupKey, IdError, Owner, owner},
    result::{Code, Execution},
    time::Instant,
};

/// Maximum number of times that a request is forwarded to the owner of its id. The owner runs it only
/// once even if it receives it more often.
const MAX_FORWARDS: usize = 2;
/// Fraction of the remaining time that the first call to the owner may take, as a divisor.
const FIRST_FORWARD_DIVISOR: u32 = 2;
/// Time reserved for the owner's answer to reach this host.
const RETURN_TIME: Duration = Duration::from_millis(20);

/// Code for a request that did not reach the owner of its id. Only a first try is certain not to have
/// run.
fn not_forwarded_code(first_try: bool) -> Code {
    if first_try { Code::OwnerUnreachable } else { Code::EarlierTryUnknown }
}

/// Code of a refusal before the owner of the id is determined.
///
/// If the cause is the state of this host, an earlier try may have run elsewhere. An invalid key
/// refers to no request at all, so its refusal is returned as it is.
pub(super) fn refusal_before_owner(code: Code, req: &Request<'_>, origin: &Origin) -> Code {
    let is_host_state = matches!(code, Code::NoConfiguration | Code::AuthorityEnded);
    if req.id.is_some() && is_host_state && !origin.first_try {
        Code::EarlierTryUnknown
    } else {
        code
    }
}

impl Traffic {
    /// Handles a new request that runs at most once: here if this host owns the id, otherwise by
    /// forwarding it to the owner.
    pub(super) fn begin_once(
        &mut self,
        now: Instant,
        req: &Request<'_>,
        origin: &Origin,
        mut flight: Flight,
    ) -> Step {
        let unix = self.clock.unix_at(now);
        let Some(text) = req.id else { return Step::Reply(Code::BadRequestId) };
        let id = match AnyId::from_text(text, &self.id_secret, unix) {
            Ok(id) => id,
            // A host whose clock differs may have run it.
            Err(IdError::TooFarAhead(_)) if !origin.first_try => {
                return Step::Reply(Code::EarlierTryUnknown);
            }
            Err(_) => return Step::Reply(Code::BadRequestId),
        };
        let workspace = flight.workspace.map_or("", |w| &flight.view.world.workspaces[w].name);
        let key = DedupKey::new(workspace, req.route, text);
        let first_try = origin.first_try;
        flight.once =
            Some(OnceState { key, expires_at: id.expires_at(), first_try, may_run: false });
        flight.stage = Stage::AwaitingEarlierTry;
        let is_in_table = self.once.contains_id(key);
        match owner::find_owner(&flight.view, &id, key) {
            _ if is_in_table => {}
            _ if origin.forwarded_by.is_some_and(|p| p.owner != flight.view.me.incarnation) => {
                return Step::Reply(Code::OwnerGone);
            }
            Owner::ThisHost if self.takeover.may_run(&id) => {}
            Owner::ThisHost | Owner::Unreachable => {
                return Step::Reply(unreachable_owner_code(&id, first_try));
            }
            Owner::OtherHost(..) if origin.forwarded_by.is_some() => {
                return Step::Reply(Code::OwnerGone);
            }
            Owner::OtherHost(owner, to) => {
                flight.stage = Stage::Forwarded { owner, to, attempts: 0 };
                let flight = self.flights.insert(flight);
                return self.forward(now, flight);
            }
        }
        let flight = self.flights.insert(flight);
        self.run_once(now, flight)
    }

    /// Runs a request at the owner of its id, unless an earlier try with the id has run or is running.
    pub(super) fn run_once(&mut self, now: Instant, flight: FlightKey) -> Step {
        let unix = self.clock.unix_at(now);
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::StillRunning);
        };
        let (Some(mut once), deadline) = (state.once, state.deadline) else {
            return Step::Reply(Code::BadRequestId);
        };
        let fingerprint = state.fingerprint;
        let earlier = self.once.join_existing(once.key, fingerprint, flight);
        let begin = match earlier {
            Some(earlier) => earlier,
            None if self.suspects.is_quarantined(now, fingerprint) => {
                return self.end(now, flight, Code::Quarantined, false);
            }
            None => self.once.begin(unix, once.key, once.expires_at, fingerprint),
        };
        match begin {
            BeginOutcome::Run => {
                once.may_run = true;
                state.once = Some(once);
                state.stage = Stage::AwaitingToken;
                self.advance(now, flight)
            }
            BeginOutcome::Wait if now < deadline => Step::Park { flight, until: deadline },
            BeginOutcome::Wait => self.end(now, flight, Code::StillRunning, true),
            BeginOutcome::Answered(answer) => {
                self.flights.remove(flight);
                Step::ReplayAnswer(answer)
            }
            BeginOutcome::Ended(code) => self.end(now, flight, code, true),
            BeginOutcome::DifferentBody => self.end(now, flight, Code::RequestIdReused, false),
            BeginOutcome::Expired => self.end(now, flight, Code::RequestIdExpired, true),
            BeginOutcome::AlreadyKnown => {
                let detail = "a request id that is already in the table was started again";
                self.outbox.events.push(Event::new(Kind::InvariantBroken, detail));
                self.end(now, flight, Code::EarlierTryUnknown, true)
            }
            BeginOutcome::Full => self.end(now, flight, Code::RequestIdsFull, false),
        }
    }

    /// Forwards a request to the owner of its id, up to [`MAX_FORWARDS`] times if there is no answer.
    fn forward(&mut self, now: Instant, flight: FlightKey) -> Step {
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::OwnerSilent);
        };
        let Stage::Forwarded { owner, to, attempts } = &mut state.stage else {
            return Step::Reply(Code::OwnerSilent);
        };
        let left = state.deadline.saturating_since(now);
        if left.is_zero() || *attempts >= MAX_FORWARDS {
            let first_try = state.once.is_some_and(|o| o.first_try);
            let code =
                if *attempts == 0 { not_forwarded_code(first_try) } else { Code::OwnerSilent };
            return self.end(now, flight, code, true);
        }
        let divisor = if *attempts == 0 { FIRST_FORWARD_DIVISOR } else { 1 };
        *attempts += 1;
        Step::Forward {
            flight,
            owner: *owner,
            to: *to,
            timeout: left / divisor,
            deadline: left.saturating_sub(RETURN_TIME),
            new_connection: *attempts > 1,
        }
    }

    /// Records the outcome of forwarding a request and returns the next step.
    pub fn finish_forward(
        &mut self,
        now: Instant,
        flight: FlightKey,
        outcome: ForwardOutcome,
    ) -> Step {
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::OwnerSilent);
        };
        let first_try = state.once.is_some_and(|o| o.first_try);
        let Stage::Forwarded { attempts, .. } = state.stage else {
            return Step::Reply(Code::OwnerSilent);
        };
        let code = match outcome {
            ForwardOutcome::Lost | ForwardOutcome::TimedOut => {
                state.fallback_code = Code::OwnerSilent;
                return self.forward(now, flight);
            }
            // An earlier call may have reached the owner.
            ForwardOutcome::NotReached if attempts > 1 => Code::OwnerSilent,
            ForwardOutcome::NotReached => not_forwarded_code(first_try),
            ForwardOutcome::NotOwner if attempts == 1 && first_try => Code::OwnerUnreachable,
            ForwardOutcome::NotOwner => Code::OwnerGone,
            ForwardOutcome::Ended(_, Some(answer)) => {
                self.flights.remove(flight);
                return Step::ReplayAnswer(answer);
            }
            // An earlier call may still be on its way to the owner.
            ForwardOutcome::Ended(code, None)
                if attempts > 1 && code.execution() == Execution::NotRun =>
            {
                Code::EarlierTryUnknown
            }
            ForwardOutcome::Ended(code, None) => code,
        };
        self.end(now, flight, code, code.execution() != Execution::NotRun)
    }
}

/// Code for an id whose owner is unreachable or may no longer run it.
fn unreachable_owner_code(id: &AnyId, first_try: bool) -> Code {
    match id {
        _ if first_try => Code::OwnerUnreachable,
        AnyId::Issued(_) => Code::OwnerGone,
        AnyId::CallerMade(_) => Code::EarlierTryUnknown,
    }
}
