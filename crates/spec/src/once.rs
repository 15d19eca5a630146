//! The right to run a request once.
//!
//! Two hosts and one request id, owned by the first life of host 0. A caller sends the request
//! several times, to any host; a host that is not the owner passes it on. Messages may be lost,
//! doubled and late, the owner may die and come back with a new life, and the id has an end after
//! which the owner forgets it.

use crate::checker::{Explored, explore};

/// Tries of the caller.
const TRIES: usize = 2;
/// Lives of the owner in one run.
const LIVES: u8 = 2;

/// Which mechanisms are in place.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Only the life that the id names runs it.
    pub owner_life_checked: bool,
    /// The owner remembers an id from its start to its end.
    pub ids_remembered: bool,
    /// An id past its end is not run.
    pub end_checked: bool,
    /// A host that passed a request on says 'not run' only if it never left.
    pub not_run_only_before_sending: bool,
    /// A request is not sent to the backend server again after a byte of it left.
    pub never_sent_again: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            owner_life_checked: true,
            ids_remembered: true,
            end_checked: true,
            not_run_only_before_sending: true,
            never_sent_again: true,
        }
    }
}

/// What a caller was told of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Nothing,
    NotRun,
    Done,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Try {
    /// Whether it was sent at all.
    begun: bool,
    /// Whether it is under way from another host to the owner; it may arrive more than once.
    passed: bool,
    /// Whether it caused the run.
    ran: bool,
    told: Told,
}

/// What the owner remembers of the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Memory {
    Fresh,
    Running,
    Ended,
}

/// A state of the run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    tries: [Try; TRIES],
    life: u8,
    memory: Memory,
    id_ended: bool,
    runs: u8,
}

/// Explores the protocol under `rules`.
pub fn check(rules: &Rules) -> Explored<State> {
    let unsent = Try { begun: false, passed: false, ran: false, told: Told::Nothing };
    let initial =
        State { tries: [unsent; TRIES], life: 0, memory: Memory::Fresh, id_ended: false, runs: 0 };
    explore(initial, |s| successors(s, rules), broken)
}

fn broken(state: &State) -> Option<&'static str> {
    if state.runs > 1 {
        return Some("the request ran twice");
    }
    let lied = state.tries.iter().any(|t| t.told == Told::NotRun && t.ran);
    if lied {
        return Some("'not run' was said of a try that ran");
    }
    let invented = state.tries.iter().any(|t| t.told == Told::Done) && state.runs == 0;
    invented.then_some("'done' was said of a request that never ran")
}

fn successors(state: &State, rules: &Rules) -> Vec<State> {
    let mut next = Vec::new();
    let mut push = |change: &dyn Fn(&mut State)| {
        let mut s = state.clone();
        change(&mut s);
        next.push(s);
    };
    for n in 0..TRIES {
        let this = state.tries[n];
        if !this.begun {
            // At the owner, at another host that cannot reach the owner, and at one that can.
            push(&|s| {
                s.tries[n].begun = true;
                arrive(s, n, rules);
            });
            push(&|s| s.tries[n] = Try { begun: true, told: Told::NotRun, ..this });
            push(&|s| s.tries[n] = Try { begun: true, passed: true, ..this });
        }
        if this.passed {
            push(&|s| arrive(s, n, rules));
            if this.told == Told::Nothing {
                let told =
                    if rules.not_run_only_before_sending { Told::Unknown } else { Told::NotRun };
                push(&|s| s.tries[n].told = told);
            }
        }
    }
    if state.memory == Memory::Running {
        push(&|s| {
            s.memory = Memory::Ended;
            tell_waiting(s, Told::Done);
        });
        push(&|s| {
            s.memory = Memory::Ended;
            tell_waiting(s, Told::Unknown);
        });
        if !rules.never_sent_again {
            push(&|s| s.runs += 1);
        }
    }
    if !state.id_ended {
        push(&|s| s.id_ended = true);
    }
    if state.id_ended && state.memory == Memory::Ended {
        push(&|s| s.memory = Memory::Fresh);
    }
    if state.life + 1 < LIVES {
        push(&|s| {
            s.life += 1;
            s.memory = Memory::Fresh;
            tell_waiting(s, Told::Unknown);
        });
    }
    next
}

/// A try arrives at the owner's address.
fn arrive(state: &mut State, n: usize, rules: &Rules) {
    let answer = |state: &mut State, told| {
        if state.tries[n].told == Told::Nothing {
            state.tries[n].told = told;
        }
    };
    if rules.owner_life_checked && state.life > 0 {
        return answer(state, Told::Unknown);
    }
    if rules.end_checked && state.id_ended {
        return answer(state, Told::Unknown);
    }
    let memory = if rules.ids_remembered { state.memory } else { Memory::Fresh };
    match memory {
        Memory::Fresh => {
            state.runs += 1;
            state.tries[n].ran = true;
            state.memory = Memory::Running;
        }
        Memory::Running => {}
        Memory::Ended => answer(state, Told::Unknown),
    }
}

/// Answers every try that waits for the run.
fn tell_waiting(state: &mut State, told: Told) {
    for this in &mut state.tries {
        if this.begun && this.told == Told::Nothing {
            this.told = told;
        }
    }
}
