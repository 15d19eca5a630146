//! Revisions, proof and acceptance: who may serve keyed routes under which revision.
//!
//! Three failure domains with one seat each. Domain 0 has the hosts `A0` and `A1`, domain 1 has
//! `B0` and `B1`, domain 2 has `C0`. The first host of a domain holds its seat and its vote, until a
//! revision gives the seat to the second one, which votes once that revision is known as accepted.
//! One host is the subject: its proof is modelled, the others only learn and vote. A host that does not act is paused, dead or cut off; a message that is
//! never taken in is lost. Acknowledgements arrive at once and acceptance comes as early as the rule
//! allows, since later ones only make it safer; of several votes for one stamp the first is kept,
//! since it knows least.

use crate::checker::{Explored, explore};

/// Hosts, by their index in the arrays of a state.
pub const HOSTS: usize = 5;
/// First host of domain 0.
pub const A0: usize = 0;
/// First host of domain 1.
pub const B0: usize = 2;
/// The only host of domain 2.
pub const C0: usize = 4;
/// Majority of the three failure domains.
const MAJORITY: usize = 2;
/// Most revisions that are written in one run.
const REVISIONS: usize = 3;

/// Where the subject's proof comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Reads of the root record.
    Reads,
    /// Votes of other failure domains.
    Votes,
}

/// Which mechanisms are in place, and the bounds of the run.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// The host whose authority is checked.
    pub subject: usize,
    /// Ticks for which proof gives authority.
    pub authority: u8,
    /// Last tick of the run.
    pub end: u8,
    /// Revisions that are written, at most 3.
    pub revisions: u8,
    /// How the subject renews its proof: by reads of the store, or by votes while the store is down
    /// for it.
    pub source: Source,
    /// A read proves the moment at which it was begun, not the one at which its answer is used.
    pub read_proves_its_start: bool,
    /// A vote counts only for the stamp that it answers.
    pub votes_answer_a_stamp: bool,
    /// Only the holder of a seat votes for it, not any host of the failure domain.
    pub one_voter_per_seat: bool,
    /// A vote that knows a newer revision than the subject's counts against it.
    pub newer_votes_refuse: bool,
    /// Acceptance needs acknowledgements of a majority.
    pub acceptance_needs_majority: bool,
    /// Acceptance waits for the authority of holders that have not acknowledged.
    pub acceptance_waits: bool,
    /// A new holder of a seat votes only when a later root record marks its change as accepted.
    pub new_holders_wait: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            subject: C0,
            authority: 2,
            end: 4,
            revisions: 2,
            source: Source::Votes,
            read_proves_its_start: true,
            votes_answer_a_stamp: true,
            one_voter_per_seat: true,
            newer_votes_refuse: true,
            acceptance_needs_majority: true,
            acceptance_waits: true,
            new_holders_wait: true,
        }
    }
}

/// What a revision changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// A key is withdrawn; seats stay.
    Key,
    /// The seat of domain 0 passes from its first to its second host.
    Voter0,
    /// The seat of domain 1 passes from its first to its second host.
    Voter1,
}

/// A read of the root record by the subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Read {
    /// None is under way.
    Idle,
    /// Begun at this tick.
    Begun(u8),
    /// Answered with this revision, not yet taken in.
    Answered(u8, u8),
}

/// A state of the run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    written: [Option<Change>; REVISIONS],
    /// The revision known as accepted when each root record was written.
    accepted_before: [u8; REVISIONS],
    held: [u8; HOSTS],
    majority_at: Option<u8>,
    accepted: u8,
    proof: Option<u8>,
    read: Read,
    stamp: u8,
    votes: [Option<u8>; HOSTS],
}

impl State {
    fn initial() -> Self {
        State {
            now: 0,
            written: [None; REVISIONS],
            accepted_before: [0; REVISIONS],
            held: [0; HOSTS],
            majority_at: None,
            accepted: 0,
            proof: None,
            read: Read::Idle,
            stamp: 0,
            votes: [None; HOSTS],
        }
    }

    fn revision(&self) -> u8 {
        self.written.iter().flatten().count() as u8
    }

    /// The holder of each seat under a revision.
    fn holders(&self, revision: u8) -> [usize; 3] {
        let changes = &self.written[..usize::from(revision)];
        let moved = |change| usize::from(changes.contains(&Some(change)));
        [A0 + moved(Change::Voter0), B0 + moved(Change::Voter1), C0]
    }

    /// The hosts that vote under a revision: holders that took their seat by an accepted change.
    fn voters(&self, revision: u8, rules: &Rules) -> [Option<usize>; 3] {
        let settled = match revision {
            0 => 0,
            r => self.accepted_before[usize::from(r) - 1],
        };
        let (now, before) = (self.holders(revision), self.holders(settled.min(revision)));
        [0, 1, 2].map(|seat| {
            let waits = now[seat] != before[seat] && rules.new_holders_wait;
            (!waits).then_some(now[seat])
        })
    }

    fn holds_seat(&self, host: usize) -> bool {
        self.holders(self.held[host]).contains(&host)
    }

    fn serves(&self, rules: &Rules) -> bool {
        let in_time = self.proof.is_some_and(|p| self.now < p + rules.authority);
        in_time && self.holds_seat(rules.subject)
    }

    /// Hosts that hold a seat under a revision that may still be in use.
    fn all_holders(&self) -> Vec<usize> {
        let mut all: Vec<_> =
            (self.accepted..=self.revision()).flat_map(|r| self.holders(r)).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Whether the votes prove that no revision newer than the subject's was accepted.
    fn votes_prove(&self, rules: &Rules) -> bool {
        let held = self.held[rules.subject];
        let voters = self.voters(held, rules);
        let counts = |host: usize| {
            let vote = if host == rules.subject { Some(held) } else { self.votes[host] };
            vote.is_some_and(|v| v <= held || !rules.newer_votes_refuse)
        };
        let domain_counts = |domain: usize| {
            if rules.one_voter_per_seat {
                return voters[domain].is_some_and(counts);
            }
            [[0, 1], [2, 3], [4, 4]][domain].iter().any(|h| counts(*h))
        };
        (0..3).filter(|d| domain_counts(*d)).count() >= MAJORITY
    }

    /// Whether a majority of the seats has acknowledged the newest revision.
    fn acknowledged_by_majority(&self, rules: &Rules) -> bool {
        let newest = self.revision();
        let voters = self.voters(newest, rules);
        let votes = voters.iter().flatten().filter(|h| self.held[**h] >= newest).count();
        votes >= MAJORITY || !rules.acceptance_needs_majority
    }
}

/// Explores the protocol under `rules`.
pub fn check(rules: &Rules) -> Explored<State> {
    explore(State::initial(), |s| successors(s, rules), |s| broken(s, rules))
}

fn broken(state: &State, rules: &Rules) -> Option<&'static str> {
    let old = state.held[rules.subject] < state.accepted;
    (old && state.serves(rules)).then_some("a host serves under a revision older than the accepted")
}

fn successors(state: &State, rules: &Rules) -> Vec<State> {
    let mut next = Vec::new();
    let mut push = |change: &dyn Fn(&mut State)| {
        let mut s = state.clone();
        change(&mut s);
        observe(&mut s, rules);
        next.push(s);
    };
    if state.now < rules.end {
        push(&|s| s.now += 1);
    }
    for change in [Change::Key, Change::Voter0, Change::Voter1] {
        if may_write(state, change, rules) {
            push(&|s| {
                let index = usize::from(s.revision());
                s.written[index] = Some(change);
                s.accepted_before[index] = s.accepted;
                s.majority_at = None;
            });
        }
    }
    for host in 0..HOSTS {
        if state.held[host] < state.revision() {
            push(&|s| s.held[host] += 1);
        }
        let votes = rules.source == Source::Votes && host != rules.subject;
        if votes && state.votes[host].is_none() {
            push(&|s| s.votes[host] = Some(s.held[host]));
        }
    }
    subject_steps(state, rules, &mut push);
    next
}

fn may_write(state: &State, change: Change, rules: &Rules) -> bool {
    state.revision() < rules.revisions && !state.written.contains(&Some(change))
}

/// The operator's tool, which sees acknowledgements, accepts the newest revision when it may.
fn observe(state: &mut State, rules: &Rules) {
    let newest = state.revision();
    if state.accepted == newest {
        return;
    }
    if state.majority_at.is_none() && state.acknowledged_by_majority(rules) {
        state.majority_at = Some(state.now);
    }
    let Some(at) = state.majority_at else { return };
    let all = state.all_holders().iter().all(|h| state.held[*h] >= newest);
    let waited = state.now >= at + rules.authority || !rules.acceptance_waits;
    if all || waited {
        state.accepted = newest;
    }
}

/// Steps by which the subject renews its proof.
fn subject_steps(state: &State, rules: &Rules, push: &mut impl FnMut(&dyn Fn(&mut State))) {
    match rules.source {
        Source::Reads => read_steps(state, rules, push),
        Source::Votes => vote_steps(state, rules, push),
    }
}

fn read_steps(state: &State, rules: &Rules, push: &mut impl FnMut(&dyn Fn(&mut State))) {
    match state.read {
        Read::Idle => push(&|s| s.read = Read::Begun(s.now)),
        Read::Begun(at) => push(&|s| s.read = Read::Answered(at, s.revision())),
        Read::Answered(at, revision) => push(&|s| {
            let held = &mut s.held[rules.subject];
            *held = revision.max(*held);
            let proves = if rules.read_proves_its_start { at } else { s.now };
            s.proof = s.proof.max(Some(proves));
            s.read = Read::Idle;
        }),
    }
}

fn vote_steps(state: &State, rules: &Rules, push: &mut impl FnMut(&dyn Fn(&mut State))) {
    if state.stamp < state.now {
        push(&|s| {
            s.stamp = s.now;
            if rules.votes_answer_a_stamp {
                s.votes = [None; HOSTS];
            }
        });
    }
    if state.proof < Some(state.stamp) && state.votes_prove(rules) {
        push(&|s| s.proof = Some(s.stamp));
    }
}
