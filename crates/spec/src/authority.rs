//! Authority over keyed routes: which hosts may serve them, and under which configuration revision.
//!
//! A host has authority for a limited time after its last proof, which is the latest tick at which
//! its revision is proven to have been the newest. A revision is accepted when a majority of the
//! seats has acknowledged it and the authority of every other holder has expired; from then on no
//! host may serve under an older one.
//!
//! There are three failure domains with one seat each. Domain 0 has the hosts `A0` and `A1`,
//! domain 1 has `B0` and `B1`, domain 2 has `C0`. The first host of a domain holds the seat and
//! votes, until a revision moves the seat to the second host. The second host votes after a later
//! root record marks that revision as accepted.
//!
//! The proof of one host, the subject, is modelled; the other hosts only install revisions and
//! vote. A host that takes no step is paused, failed or partitioned; a message that is never
//! delivered is lost. Acknowledgements arrive immediately and acceptance happens as early as it is
//! allowed, since any delay is safer. Of the votes of one host in a round the first is kept, since
//! it is based on the oldest revision.

use crate::checker::{Exploration, explore};

/// Number of hosts; a host is identified by its index in the arrays of a state.
pub const HOST_COUNT: usize = 5;
/// First host of domain 0.
pub const A0: usize = 0;
/// First host of domain 1.
pub const B0: usize = 2;
/// The only host of domain 2.
pub const C0: usize = 4;
/// Number of failure domains that form a majority of the three.
const MAJORITY: usize = 2;
/// Maximum number of revisions in one run.
const MAX_REVISIONS: usize = 3;

/// How the subject renews its proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofSource {
    /// By reads of the root record in the store.
    Reads,
    /// By votes of other failure domains, while the subject can't reach the store.
    Votes,
}

/// Enabled mechanisms and bounds of the run.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// The host whose authority is checked.
    pub subject: usize,
    /// Number of ticks after a proof for which the subject has authority.
    pub authority_ticks: u8,
    /// Last tick of the run.
    pub last_tick: u8,
    /// Number of revisions that may be written, at most 3.
    pub max_revisions: u8,
    /// How the subject renews its proof.
    pub proof_source: ProofSource,
    /// A proof by a read is dated at the start of the read, not at the use of its response.
    pub proof_dated_at_read_start: bool,
    /// A vote counts only in the round in which it was requested.
    pub votes_bound_to_round: bool,
    /// Only the holder of a seat votes for it, rather than any host of the failure domain.
    pub only_seat_holders_vote: bool,
    /// The vote of a host with a newer revision than the subject's is not counted.
    pub newer_revision_votes_rejected: bool,
    /// Acceptance requires acknowledgements of a majority of the seats.
    pub acceptance_needs_majority: bool,
    /// Acceptance waits until the authority of holders that have not acknowledged has expired.
    pub acceptance_waits_for_expiry: bool,
    /// The new holder of a seat votes only after a later root record marks the move as accepted.
    pub new_holders_wait_for_acceptance: bool,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            subject: C0,
            authority_ticks: 2,
            last_tick: 4,
            max_revisions: 2,
            proof_source: ProofSource::Votes,
            proof_dated_at_read_start: true,
            votes_bound_to_round: true,
            only_seat_holders_vote: true,
            newer_revision_votes_rejected: true,
            acceptance_needs_majority: true,
            acceptance_waits_for_expiry: true,
            new_holders_wait_for_acceptance: true,
        }
    }
}

/// What a revision changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// An API key is withdrawn; no seat moves.
    WithdrawKey,
    /// The seat of domain 0 moves from its first to its second host.
    MoveSeat0,
    /// The seat of domain 1 moves from its first to its second host.
    MoveSeat1,
}

/// A read of the root record by the subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Read {
    /// No read is in progress.
    Idle,
    /// Started at this tick.
    Started(u8),
    /// Start tick of the read and revision in its response, which is not yet processed.
    Answered(u8, u8),
}

/// A state of the run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Current tick.
    now: u8,
    /// Change of each revision that has been written.
    written_changes: [Option<Change>; MAX_REVISIONS],
    /// Newest accepted revision at the time when each revision was written.
    accepted_at_write: [u8; MAX_REVISIONS],
    /// Revision that each host has installed.
    installed_revisions: [u8; HOST_COUNT],
    /// Tick at which a majority had acknowledged the newest revision.
    majority_at: Option<u8>,
    /// Newest accepted revision.
    accepted_revision: u8,
    /// Tick of the subject's latest proof.
    proven_at: Option<u8>,
    read: Read,
    /// Tick at which the current voting round started.
    round_start: u8,
    /// Revision that each host voted with in the current round.
    votes: [Option<u8>; HOST_COUNT],
}

impl State {
    fn initial() -> Self {
        State {
            now: 0,
            written_changes: [None; MAX_REVISIONS],
            accepted_at_write: [0; MAX_REVISIONS],
            installed_revisions: [0; HOST_COUNT],
            majority_at: None,
            accepted_revision: 0,
            proven_at: None,
            read: Read::Idle,
            round_start: 0,
            votes: [None; HOST_COUNT],
        }
    }

    fn newest_revision(&self) -> u8 {
        self.written_changes.iter().flatten().count() as u8
    }

    /// Holder of each seat under a revision.
    fn seat_holders(&self, revision: u8) -> [usize; 3] {
        let changes = &self.written_changes[..usize::from(revision)];
        let moved = |change| usize::from(changes.contains(&Some(change)));
        [A0 + moved(Change::MoveSeat0), B0 + moved(Change::MoveSeat1), C0]
    }

    /// Holders that may vote under a revision, by seat: those that got the seat by an accepted
    /// revision.
    fn voters(&self, revision: u8, model: &Model) -> [Option<usize>; 3] {
        let accepted_then = match revision {
            0 => 0,
            r => self.accepted_at_write[usize::from(r) - 1],
        };
        let (current, accepted) =
            (self.seat_holders(revision), self.seat_holders(accepted_then.min(revision)));
        [0, 1, 2].map(|seat| {
            let waits = current[seat] != accepted[seat] && model.new_holders_wait_for_acceptance;
            (!waits).then_some(current[seat])
        })
    }

    fn holds_seat(&self, host: usize) -> bool {
        self.seat_holders(self.installed_revisions[host]).contains(&host)
    }

    fn may_serve(&self, model: &Model) -> bool {
        let unexpired = self.proven_at.is_some_and(|p| self.now < p + model.authority_ticks);
        unexpired && self.holds_seat(model.subject)
    }

    /// Hosts that hold a seat under any revision from the accepted one to the newest one.
    fn possible_holders(&self) -> Vec<usize> {
        let mut hosts: Vec<_> = (self.accepted_revision..=self.newest_revision())
            .flat_map(|r| self.seat_holders(r))
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }

    /// Whether the votes of a majority prove that no revision newer than the subject's is accepted.
    fn votes_prove_current(&self, model: &Model) -> bool {
        let own_revision = self.installed_revisions[model.subject];
        let voters = self.voters(own_revision, model);
        let vote_counts = |host: usize| {
            let vote = if host == model.subject { Some(own_revision) } else { self.votes[host] };
            vote.is_some_and(|v| v <= own_revision || !model.newer_revision_votes_rejected)
        };
        let has_counted_vote = |domain: usize| {
            if model.only_seat_holders_vote {
                return voters[domain].is_some_and(vote_counts);
            }
            [[0, 1], [2, 3], [4, 4]][domain].iter().any(|h| vote_counts(*h))
        };
        (0..3).filter(|d| has_counted_vote(*d)).count() >= MAJORITY
    }

    /// Whether the voters of a majority of the seats have acknowledged the newest revision.
    fn acknowledged_by_majority(&self, model: &Model) -> bool {
        let newest = self.newest_revision();
        let voters = self.voters(newest, model);
        let acknowledgements =
            voters.iter().flatten().filter(|h| self.installed_revisions[**h] >= newest).count();
        acknowledgements >= MAJORITY || !model.acceptance_needs_majority
    }
}

/// Explores the protocol with the mechanisms of `model`.
pub fn check(model: &Model) -> Exploration<State> {
    explore(State::initial(), |s| successors(s, model), |s| violated_invariant(s, model))
}

fn violated_invariant(state: &State, model: &Model) -> Option<&'static str> {
    let outdated = state.installed_revisions[model.subject] < state.accepted_revision;
    (outdated && state.may_serve(model))
        .then_some("a host serves under a revision older than the accepted one")
}

fn successors(state: &State, model: &Model) -> Vec<State> {
    let mut next = Vec::new();
    let mut push = |update: &dyn Fn(&mut State)| {
        let mut s = state.clone();
        update(&mut s);
        accept_if_allowed(&mut s, model);
        next.push(s);
    };
    if state.now < model.last_tick {
        push(&|s| s.now += 1);
    }
    for change in [Change::WithdrawKey, Change::MoveSeat0, Change::MoveSeat1] {
        if may_write(state, change, model) {
            push(&|s| {
                let index = usize::from(s.newest_revision());
                s.written_changes[index] = Some(change);
                s.accepted_at_write[index] = s.accepted_revision;
                s.majority_at = None;
            });
        }
    }
    for host in 0..HOST_COUNT {
        if state.installed_revisions[host] < state.newest_revision() {
            push(&|s| s.installed_revisions[host] += 1);
        }
        let may_vote = model.proof_source == ProofSource::Votes && host != model.subject;
        if may_vote && state.votes[host].is_none() {
            push(&|s| s.votes[host] = Some(s.installed_revisions[host]));
        }
    }
    subject_steps(state, model, &mut push);
    next
}

fn may_write(state: &State, change: Change, model: &Model) -> bool {
    state.newest_revision() < model.max_revisions && !state.written_changes.contains(&Some(change))
}

/// Accepts the newest revision as soon as the acknowledgements allow it, as the operator's tool
/// does.
fn accept_if_allowed(state: &mut State, model: &Model) {
    let newest = state.newest_revision();
    if state.accepted_revision == newest {
        return;
    }
    if state.majority_at.is_none() && state.acknowledged_by_majority(model) {
        state.majority_at = Some(state.now);
    }
    let Some(at) = state.majority_at else { return };
    let all_acknowledged =
        state.possible_holders().iter().all(|h| state.installed_revisions[*h] >= newest);
    let authority_expired =
        state.now >= at + model.authority_ticks || !model.acceptance_waits_for_expiry;
    if all_acknowledged || authority_expired {
        state.accepted_revision = newest;
    }
}

/// Adds the transitions that renew the subject's proof.
fn subject_steps(state: &State, model: &Model, push: &mut impl FnMut(&dyn Fn(&mut State))) {
    match model.proof_source {
        ProofSource::Reads => read_steps(state, model, push),
        ProofSource::Votes => vote_steps(state, model, push),
    }
}

fn read_steps(state: &State, model: &Model, push: &mut impl FnMut(&dyn Fn(&mut State))) {
    match state.read {
        Read::Idle => push(&|s| s.read = Read::Started(s.now)),
        Read::Started(at) => push(&|s| s.read = Read::Answered(at, s.newest_revision())),
        Read::Answered(at, revision) => push(&|s| {
            let own_revision = &mut s.installed_revisions[model.subject];
            *own_revision = revision.max(*own_revision);
            let tick = if model.proof_dated_at_read_start { at } else { s.now };
            s.proven_at = s.proven_at.max(Some(tick));
            s.read = Read::Idle;
        }),
    }
}

fn vote_steps(state: &State, model: &Model, push: &mut impl FnMut(&dyn Fn(&mut State))) {
    if state.round_start < state.now {
        push(&|s| {
            s.round_start = s.now;
            if model.votes_bound_to_round {
                s.votes = [None; HOST_COUNT];
            }
        });
    }
    if state.proven_at < Some(state.round_start) && state.votes_prove_current(model) {
        push(&|s| s.proven_at = Some(s.round_start));
    }
}
