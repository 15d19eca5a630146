//! Requests that run at most once: at the owner of the id, and at a host that passes them on.

use std::time::Duration;

use super::{
    FlightKey, Origin, Passed, Request, Step, Traffic,
    flight::{Flight, Once, Stage},
};
use crate::{
    event::{Event, Kind},
    once::{AnyId, Begin, IdError, Owner, RunKey, owner},
    result::{Code, Execution},
    time::Instant,
};

/// How often a request is passed to the owner of its id; the owner runs it once all the same.
const MAX_PASSES: usize = 2;
/// Part of the time left that the first pass may take.
const FIRST_PASS_SHARE: u32 = 2;
/// Time that the owner's answer needs on its way back.
const RETURN_TIME: Duration = Duration::from_millis(20);

/// What a host says that did not ask the owner of an id: only a first try is known not to have run.
fn not_asked(first_try: bool) -> Code {
    if first_try { Code::OwnerUnreachable } else { Code::EarlierTryUnknown }
}

/// What a refusal says before the owner of the id is known. States of this host say nothing of an
/// earlier try; a key that is not valid refers to no request at all.
pub(super) fn at_the_door(code: Code, req: &Request<'_>, origin: &Origin) -> Code {
    let state_of_host = matches!(code, Code::NoConfiguration | Code::AuthorityEnded);
    if req.id.is_some() && state_of_host && !origin.first_try {
        Code::EarlierTryUnknown
    } else {
        code
    }
}

impl Traffic {
    pub(super) fn begin_once(
        &mut self,
        now: Instant,
        req: &Request<'_>,
        origin: &Origin,
        mut flight: Flight,
    ) -> Step {
        let unix = self.clock.unix_at(now);
        let Some(text) = req.id else { return Step::Reply(Code::BadRequestId) };
        let id = match AnyId::read(text, &self.id_secret, unix) {
            Ok(id) => id,
            // A host with another clock may have run it.
            Err(IdError::Ahead(_)) if !origin.first_try => {
                return Step::Reply(Code::EarlierTryUnknown);
            }
            Err(_) => return Step::Reply(Code::BadRequestId),
        };
        let workspace =
            flight.workspace.map_or("", |w| &flight.view.declaration.workspaces[w].name);
        let key = RunKey::new(workspace, req.route, text);
        let first_try = origin.first_try;
        flight.once = Some(Once { key, end: id.end(), first_try, holds: false });
        flight.stage = Stage::Waiting;
        let mine = self.once.knows(key);
        match owner::owner(&flight.view, &id, key) {
            _ if mine => {}
            _ if origin.passed.is_some_and(|p| p.owner != flight.view.me.incarnation) => {
                return Step::Reply(Code::OwnerGone);
            }
            Owner::Me if self.takeover.may_run(&id) => {}
            Owner::Me | Owner::NotHeard => return Step::Reply(gone(&id, first_try)),
            Owner::Host(..) if origin.passed.is_some() => return Step::Reply(Code::OwnerGone),
            Owner::Host(owner, to) => {
                flight.stage = Stage::Passed { owner, to, times: 0 };
                let flight = self.flights.insert(flight);
                return self.pass(now, flight);
            }
        }
        let flight = self.flights.insert(flight);
        self.run_once(now, flight)
    }

    /// Asks for the right to run, at the owner.
    pub(super) fn run_once(&mut self, now: Instant, flight: FlightKey) -> Step {
        let unix = self.clock.unix_at(now);
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::StillRunning);
        };
        let (Some(mut once), deadline) = (state.once, state.deadline) else {
            return Step::Reply(Code::BadRequestId);
        };
        let fingerprint = state.fingerprint;
        let known = self.once.look(once.key, fingerprint, flight);
        let begin = match known {
            Some(known) => known,
            None if self.suspects.is_quarantined(now, fingerprint) => {
                return self.end(now, flight, Code::Quarantined, false);
            }
            None => self.once.begin(unix, once.key, once.end, fingerprint),
        };
        match begin {
            Begin::Run => {
                once.holds = true;
                state.once = Some(once);
                state.stage = Stage::Admission;
                self.advance(now, flight)
            }
            Begin::Wait if now < deadline => Step::Park { flight, until: deadline },
            Begin::Wait => self.end(now, flight, Code::StillRunning, true),
            Begin::Answered(answer) => {
                self.flights.remove(flight);
                Step::Repeat(answer)
            }
            Begin::Ended(code) => self.end(now, flight, code, true),
            Begin::OtherBody => self.end(now, flight, Code::RequestIdReused, false),
            Begin::Expired => self.end(now, flight, Code::RequestIdExpired, true),
            Begin::Broken => {
                let detail = "a request id that is remembered was begun again";
                self.outbox.events.push(Event::new(Kind::InvariantBroken, detail));
                self.end(now, flight, Code::EarlierTryUnknown, true)
            }
            Begin::Full => self.end(now, flight, Code::RequestIdsFull, false),
        }
    }

    /// Passes a request to the owner of its id, once more when an earlier call had no answer.
    fn pass(&mut self, now: Instant, flight: FlightKey) -> Step {
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::OwnerSilent);
        };
        let Stage::Passed { owner, to, times } = &mut state.stage else {
            return Step::Reply(Code::OwnerSilent);
        };
        let left = state.deadline.saturating_since(now);
        if left.is_zero() || *times >= MAX_PASSES {
            let first_try = state.once.is_some_and(|o| o.first_try);
            let code = if *times == 0 { not_asked(first_try) } else { Code::OwnerSilent };
            return self.end(now, flight, code, true);
        }
        let share = if *times == 0 { FIRST_PASS_SHARE } else { 1 };
        *times += 1;
        Step::Pass {
            flight,
            owner: *owner,
            to: *to,
            timeout: left / share,
            deadline: left.saturating_sub(RETURN_TIME),
            fresh: *times > 1,
        }
    }

    /// Decides what follows after a request was passed to the owner of its id.
    pub fn passed(&mut self, now: Instant, flight: FlightKey, outcome: Passed) -> Step {
        let Some(state) = self.flights.get_mut(flight) else {
            return Step::Reply(Code::OwnerSilent);
        };
        let first_try = state.once.is_some_and(|o| o.first_try);
        let Stage::Passed { times, .. } = state.stage else {
            return Step::Reply(Code::OwnerSilent);
        };
        let code = match outcome {
            Passed::Lost | Passed::TimedOut => {
                state.otherwise = Code::OwnerSilent;
                return self.pass(now, flight);
            }
            // An earlier pass may have arrived.
            Passed::NotReached if times > 1 => Code::OwnerSilent,
            Passed::NotReached => not_asked(first_try),
            Passed::NotOwner if times == 1 && first_try => Code::OwnerUnreachable,
            Passed::NotOwner => Code::OwnerGone,
            Passed::Ended(_, Some(answer)) => {
                self.flights.remove(flight);
                return Step::Repeat(answer);
            }
            // The earlier pass may still be under way to the owner.
            Passed::Ended(code, None) if times > 1 && code.execution() == Execution::NotRun => {
                Code::EarlierTryUnknown
            }
            Passed::Ended(code, None) => code,
        };
        self.end(now, flight, code, code.execution() != Execution::NotRun)
    }
}

/// What is said of an id whose owner is not heard or may not run it any more.
fn gone(id: &AnyId, first_try: bool) -> Code {
    match id {
        _ if first_try => Code::OwnerUnreachable,
        AnyId::Issued(_) => Code::OwnerGone,
        AnyId::Own(_) => Code::EarlierTryUnknown,
    }
}
