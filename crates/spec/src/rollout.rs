//! Steps of a rollout, with two competing controllers and two hosts.
//!
//! The record in the store contains a step, whether the rollout is rolled back, and a version for
//! compare-and-swap. A controller reads the record and later writes the next step or a rollback. A
//! host receives records in any order and may itself detect a fault of the new version.

use crate::checker::{Exploration, explore};

/// Number of steps to the full share; each step changes the share by the cap, the largest change
/// that is allowed.
const LAST_STEP: u8 = 3;
/// Number of hosts, and of controllers.
const NODES: usize = 2;

/// Enabled mechanisms.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// A controller writes a record only if the store still contains the one that it read.
    pub compare_and_swap: bool,
    /// A host ignores a record that is not newer than the one that it applies.
    pub stale_records_ignored: bool,
    /// A host that detected a fault sends the new version no requests, regardless of the record.
    pub local_stop: bool,
    /// The next step is written only after every host has applied the previous one.
    pub steps_wait_for_hosts: bool,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            compare_and_swap: true,
            stale_records_ignored: true,
            local_stop: true,
            steps_wait_for_hosts: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Record {
    version: u8,
    step: u8,
    rolled_back: bool,
}

/// A state of the run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Every record that was written; the last one is in the store.
    history: Vec<Record>,
    /// Record that each controller read last.
    last_read: [Option<Record>; NODES],
    /// Record that each host applies.
    applied: [Record; NODES],
    detected_fault: [bool; NODES],
    /// Whether a rollback was ever written.
    was_rolled_back: bool,
    /// Whether each host has ever applied a rollback.
    applied_rollback: [bool; NODES],
}

impl State {
    fn record(&self) -> Record {
        self.history[self.history.len() - 1]
    }

    fn share(&self, host: usize, model: &Model) -> u8 {
        let stopped = self.detected_fault[host] && model.local_stop;
        if stopped || self.applied[host].rolled_back { 0 } else { self.applied[host].step }
    }
}

/// Explores the protocol with the mechanisms of `model`.
pub fn check(model: &Model) -> Exploration<State> {
    let start = Record { version: 0, step: 0, rolled_back: false };
    let initial = State {
        history: vec![start],
        last_read: [None; NODES],
        applied: [start; NODES],
        detected_fault: [false; NODES],
        was_rolled_back: false,
        applied_rollback: [false; NODES],
    };
    explore(initial, |s| successors(s, model), |s| violated_invariant(s, model))
}

fn violated_invariant(state: &State, model: &Model) -> Option<&'static str> {
    if state.was_rolled_back && !state.record().rolled_back {
        return Some("a rollout continues after its rollback");
    }
    for host in 0..NODES {
        let share = state.share(host, model);
        if share > 0 && state.detected_fault[host] {
            return Some("a host sends requests to a version after detecting its fault");
        }
        if share > 0 && state.applied_rollback[host] {
            return Some("a delayed record undoes a rollback");
        }
    }
    let active_steps: Vec<_> =
        state.applied.iter().filter(|r| !r.rolled_back).map(|r| r.step).collect();
    let spread =
        active_steps.iter().max().zip(active_steps.iter().min()).map_or(0, |(max, min)| max - min);
    (spread > 1).then_some("the shares of two hosts differ by more than one step")
}

fn successors(state: &State, model: &Model) -> Vec<State> {
    let mut next = Vec::new();
    let mut push = |update: &dyn Fn(&mut State)| {
        let mut s = state.clone();
        update(&mut s);
        next.push(s);
    };
    for n in 0..NODES {
        if state.last_read[n] != Some(state.record()) {
            push(&|s| s.last_read[n] = Some(s.record()));
        }
        if let Some(last_read) = state.last_read[n] {
            let has_conflict =
                last_read.version != state.record().version && model.compare_and_swap;
            let all_applied = state.applied.iter().all(|h| h.version >= last_read.version);
            let may_step = all_applied || !model.steps_wait_for_hosts;
            if !has_conflict && !last_read.rolled_back {
                if last_read.step < LAST_STEP && may_step {
                    push(&|s| write_record(s, Record { step: last_read.step + 1, ..last_read }));
                }
                if state.detected_fault.contains(&true) {
                    push(&|s| write_record(s, Record { rolled_back: true, ..last_read }));
                }
            }
        }
        for record in &state.history {
            let is_stale = record.version <= state.applied[n].version;
            if !(is_stale && model.stale_records_ignored) && state.applied[n] != *record {
                push(&|s| {
                    s.applied[n] = *record;
                    s.applied_rollback[n] |= record.rolled_back;
                });
            }
        }
        if state.applied[n].step > 0 && !state.detected_fault[n] {
            push(&|s| s.detected_fault[n] = true);
        }
    }
    next
}

fn write_record(state: &mut State, record: Record) {
    let version = state.record().version + 1;
    state.history.push(Record { version, ..record });
    state.was_rolled_back |= record.rolled_back;
}
