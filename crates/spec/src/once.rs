//! At-most-once execution of a request.
//!
//! There are two hosts and one request id, which is owned by the first incarnation of host 0. A
//! caller sends the request several times, to any host; a host that is not the owner forwards it.
//! Messages may be lost, duplicated and delayed. The owner may restart as a new incarnation. The id
//! expires, and the owner may then drop its record of it.

use crate::checker::{Exploration, explore};

/// Number of times that the caller may send the request.
const ATTEMPTS: usize = 2;
/// Number of incarnations of the owner in one run.
const INCARNATIONS: u8 = 2;

/// Enabled mechanisms.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Only the incarnation that the id names runs the request.
    pub owner_incarnation_checked: bool,
    /// The owner keeps a record of an id from its first attempt until it expires.
    pub ids_recorded: bool,
    /// A request with an expired id is not run.
    pub expiry_checked: bool,
    /// A host reports 'not run' only for a request that it has not forwarded.
    pub not_run_only_before_forwarding: bool,
    /// A request is not sent to the backend server again once a byte of it has been sent.
    pub never_resent: bool,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            owner_incarnation_checked: true,
            ids_recorded: true,
            expiry_checked: true,
            not_run_only_before_forwarding: true,
            never_resent: true,
        }
    }
}

/// Outcome of one attempt that was reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Outcome {
    Pending,
    NotRun,
    Done,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Attempt {
    /// Whether the caller has sent it.
    sent: bool,
    /// Whether another host has forwarded it to the owner, where it may arrive more than once.
    forwarded: bool,
    /// Whether it made the owner run the request.
    caused_run: bool,
    outcome: Outcome,
}

/// State of the id in the owner's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Record {
    Absent,
    Running,
    Finished,
}

/// A state of the run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    attempts: [Attempt; ATTEMPTS],
    incarnation: u8,
    record: Record,
    id_expired: bool,
    /// How often the request was sent to the backend server.
    runs: u8,
}

/// Explores the protocol with the mechanisms of `model`.
pub fn check(model: &Model) -> Exploration<State> {
    let unsent =
        Attempt { sent: false, forwarded: false, caused_run: false, outcome: Outcome::Pending };
    let initial = State {
        attempts: [unsent; ATTEMPTS],
        incarnation: 0,
        record: Record::Absent,
        id_expired: false,
        runs: 0,
    };
    explore(initial, |s| successors(s, model), violated_invariant)
}

fn violated_invariant(state: &State) -> Option<&'static str> {
    if state.runs > 1 {
        return Some("the request ran twice");
    }
    let misreported = state.attempts.iter().any(|a| a.outcome == Outcome::NotRun && a.caused_run);
    if misreported {
        return Some("an attempt that ran was reported as 'not run'");
    }
    let done_without_run =
        state.attempts.iter().any(|a| a.outcome == Outcome::Done) && state.runs == 0;
    done_without_run.then_some("a request that never ran was reported as 'done'")
}

fn successors(state: &State, model: &Model) -> Vec<State> {
    let mut next = Vec::new();
    let mut push = |update: &dyn Fn(&mut State)| {
        let mut s = state.clone();
        update(&mut s);
        next.push(s);
    };
    for index in 0..ATTEMPTS {
        let attempt = state.attempts[index];
        if !attempt.sent {
            // The attempt arrives at the owner, at a host that can't reach the owner, or at a host
            // that forwards it.
            push(&|s| {
                s.attempts[index].sent = true;
                arrive_at_owner(s, index, model);
            });
            push(&|s| {
                s.attempts[index] = Attempt { sent: true, outcome: Outcome::NotRun, ..attempt }
            });
            push(&|s| s.attempts[index] = Attempt { sent: true, forwarded: true, ..attempt });
        }
        if attempt.forwarded {
            push(&|s| arrive_at_owner(s, index, model));
            if attempt.outcome == Outcome::Pending {
                let outcome = if model.not_run_only_before_forwarding {
                    Outcome::Unknown
                } else {
                    Outcome::NotRun
                };
                push(&|s| s.attempts[index].outcome = outcome);
            }
        }
    }
    if state.record == Record::Running {
        push(&|s| {
            s.record = Record::Finished;
            answer_pending(s, Outcome::Done);
        });
        push(&|s| {
            s.record = Record::Finished;
            answer_pending(s, Outcome::Unknown);
        });
        if !model.never_resent {
            push(&|s| s.runs += 1);
        }
    }
    if !state.id_expired {
        push(&|s| s.id_expired = true);
    }
    if state.id_expired && state.record == Record::Finished {
        push(&|s| s.record = Record::Absent);
    }
    if state.incarnation + 1 < INCARNATIONS {
        push(&|s| {
            s.incarnation += 1;
            s.record = Record::Absent;
            answer_pending(s, Outcome::Unknown);
        });
    }
    next
}

/// Processes an attempt that arrives at the owner's address.
fn arrive_at_owner(state: &mut State, index: usize, model: &Model) {
    let answer = |state: &mut State, outcome| {
        if state.attempts[index].outcome == Outcome::Pending {
            state.attempts[index].outcome = outcome;
        }
    };
    if model.owner_incarnation_checked && state.incarnation > 0 {
        return answer(state, Outcome::Unknown);
    }
    if model.expiry_checked && state.id_expired {
        return answer(state, Outcome::Unknown);
    }
    let record = if model.ids_recorded { state.record } else { Record::Absent };
    match record {
        Record::Absent => {
            state.runs += 1;
            state.attempts[index].caused_run = true;
            state.record = Record::Running;
        }
        Record::Running => {}
        Record::Finished => answer(state, Outcome::Unknown),
    }
}

/// Reports `outcome` for every attempt that has no outcome yet.
fn answer_pending(state: &mut State, outcome: Outcome) {
    for attempt in &mut state.attempts {
        if attempt.sent && attempt.outcome == Outcome::Pending {
            attempt.outcome = outcome;
        }
    }
}
