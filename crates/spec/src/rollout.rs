//! Steps of a rollout: two controllers that race, two hosts that follow.
//!
//! The record in the store holds a share, a state and a version for compare-and-swap. A controller
//! reads the record and later writes the next step or takes the move back. A host takes in records
//! in any order and may see a fault of the new version itself.

use crate::checker::{Explored, explore};

/// Steps to the full share; each moves the cap.
const LAST_STEP: u8 = 3;
/// Hosts and controllers.
const PARTIES: usize = 2;

/// Which mechanisms are in place.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// A record is written only over the one that was read.
    pub compare_and_swap: bool,
    /// A host ignores a record that is older than the one it holds.
    pub old_records_ignored: bool,
    /// A host that saw the fault gives the new version nothing, whatever the record says.
    pub local_stop: bool,
    /// The next step waits until every host holds the last one.
    pub steps_wait_for_hosts: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            compare_and_swap: true,
            old_records_ignored: true,
            local_stop: true,
            steps_wait_for_hosts: true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Record {
    version: u8,
    step: u8,
    taken_back: bool,
}

/// A state of the run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    history: Vec<Record>,
    read: [Option<Record>; PARTIES],
    held: [Record; PARTIES],
    saw_fault: [bool; PARTIES],
    was_taken_back: bool,
    held_taken_back: [bool; PARTIES],
}

impl State {
    fn record(&self) -> Record {
        self.history[self.history.len() - 1]
    }

    fn share(&self, host: usize, rules: &Rules) -> u8 {
        let stopped = self.saw_fault[host] && rules.local_stop;
        if stopped || self.held[host].taken_back { 0 } else { self.held[host].step }
    }
}

/// Explores the protocol under `rules`.
pub fn check(rules: &Rules) -> Explored<State> {
    let start = Record { version: 0, step: 0, taken_back: false };
    let initial = State {
        history: vec![start],
        read: [None; PARTIES],
        held: [start; PARTIES],
        saw_fault: [false; PARTIES],
        was_taken_back: false,
        held_taken_back: [false; PARTIES],
    };
    explore(initial, |s| successors(s, rules), |s| broken(s, rules))
}

fn broken(state: &State, rules: &Rules) -> Option<&'static str> {
    if state.was_taken_back && !state.record().taken_back {
        return Some("a move that was taken back goes on");
    }
    for host in 0..PARTIES {
        let share = state.share(host, rules);
        if share > 0 && state.saw_fault[host] {
            return Some("a host gives work to a version whose fault it saw");
        }
        if share > 0 && state.held_taken_back[host] {
            return Some("a slower message undoes a stop");
        }
    }
    let live: Vec<_> = state.held.iter().filter(|r| !r.taken_back).map(|r| r.step).collect();
    let spread = live.iter().max().zip(live.iter().min()).map_or(0, |(max, min)| max - min);
    (spread > 1).then_some("hosts are further apart than the cap")
}

fn successors(state: &State, rules: &Rules) -> Vec<State> {
    let mut next = Vec::new();
    let mut push = |change: &dyn Fn(&mut State)| {
        let mut s = state.clone();
        change(&mut s);
        next.push(s);
    };
    for n in 0..PARTIES {
        if state.read[n] != Some(state.record()) {
            push(&|s| s.read[n] = Some(s.record()));
        }
        if let Some(read) = state.read[n] {
            let lost_race = read.version != state.record().version && rules.compare_and_swap;
            let all_hold = state.held.iter().all(|h| h.version >= read.version);
            let may_step = all_hold || !rules.steps_wait_for_hosts;
            if !lost_race && !read.taken_back {
                if read.step < LAST_STEP && may_step {
                    push(&|s| write(s, Record { step: read.step + 1, ..read }));
                }
                if state.saw_fault.contains(&true) {
                    push(&|s| write(s, Record { taken_back: true, ..read }));
                }
            }
        }
        for record in &state.history {
            let old = record.version <= state.held[n].version;
            if !(old && rules.old_records_ignored) && state.held[n] != *record {
                push(&|s| {
                    s.held[n] = *record;
                    s.held_taken_back[n] |= record.taken_back;
                });
            }
        }
        if state.held[n].step > 0 && !state.saw_fault[n] {
            push(&|s| s.saw_fault[n] = true);
        }
    }
    next
}

fn write(state: &mut State, record: Record) {
    let version = state.record().version + 1;
    state.history.push(Record { version, ..record });
    state.was_taken_back |= record.taken_back;
}
