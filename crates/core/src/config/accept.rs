//! Acceptance of a revision: once it is accepted, no host can serve by an older one.
//!
//! A majority of the declared seats must have the revision in force. A later proof by echoes also
//! needs a majority, and any two majorities share a host that has the revision. Authority that was
//! proven before that majority acknowledged has expired once the longest authority of any route has
//! passed since then.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Revision, Root, SeatHolder, root::SeatCounts};
use crate::{host::Incarnation, time::Instant};

/// The longest authority divided by this is added to the wait, as some clocks run slower.
const CLOCK_DRIFT_DIVISOR: u32 = 100;
/// Allowance for clock resolution and for the time between an authority check and its use.
const CLOCK_MARGIN: Duration = Duration::from_millis(250);

/// Acknowledgement of one failure domain, as recorded in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAck {
    /// The revision in force on each holder of a seat and on each holder that a takeover displaced,
    /// by [`DomainAck::key`].
    pub in_force: BTreeMap<String, Revision>,
}

impl DomainAck {
    /// Key of a host incarnation in `in_force`.
    pub fn key(incarnation: Incarnation) -> String {
        incarnation.to_string()
    }
}

/// Acknowledgements by failure domain name.
pub type Acks = BTreeMap<String, DomainAck>;

/// Acceptance state of a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// No host can serve by an older revision.
    Accepted,
    /// The revision is not accepted so far.
    Waiting {
        /// Whether a majority of the declared seats has the revision in force.
        has_majority: bool,
        /// Names of the failure domains whose acknowledgement is missing.
        outstanding: Vec<String>,
    },
}

/// Whether the seats that satisfy `has` are a majority by the current and the previous seat counts
/// of the root record.
pub fn is_majority(root: &Root, has: impl Fn(&str, u16, &SeatHolder) -> bool) -> bool {
    let is_table_majority = |table: &SeatCounts| {
        let all: u32 = table.values().map(|n| u32::from(*n)).sum();
        let is_declared = |d: &str, n: u16| table.get(d).is_some_and(|count| n < *count);
        let counted = root.holders().filter(|(d, n, s)| is_declared(d, *n) && has(d, *n, s));
        counted.count() as u32 * 2 > all
    };
    let before = &root.seat_counts_before;
    is_table_majority(&root.seat_counts) && (before.is_empty() || is_table_majority(before))
}

/// Acceptance of `revision` according to the newest root record and the acknowledgements read after
/// it.
pub fn acceptance(root: &Root, acks: &Acks, revision: Revision) -> Acceptance {
    let has = |domain: &str, incarnation: Incarnation| {
        has_acknowledged(acks, domain, incarnation, revision)
    };
    // A displaced holder may still use the seat until it acknowledges; its successor may not yet.
    let is_acknowledged = |d: &str, s: &SeatHolder| has(d, s.displaced.unwrap_or(s.incarnation));
    let mut outstanding: Vec<String> = root
        .holders()
        .filter(|(d, _, s)| !is_acknowledged(d, s))
        .map(|(d, _, _)| d.to_owned())
        .collect();
    outstanding.dedup();
    let has_majority = is_majority(root, |d, _, s| s.is_confirmed() && has(d, s.incarnation));
    if has_majority && outstanding.is_empty() {
        return Acceptance::Accepted;
    }
    Acceptance::Waiting { has_majority, outstanding }
}

/// Whether a host incarnation has acknowledged `revision` or a later one.
pub fn has_acknowledged(
    acks: &Acks,
    domain: &str,
    incarnation: Incarnation,
    revision: Revision,
) -> bool {
    let ack = acks.get(domain).and_then(|a| a.in_force.get(&DomainAck::key(incarnation)));
    ack.is_some_and(|r| *r >= revision)
}

/// Time after a majority's acknowledgement by which all authority proven before it has expired.
pub fn authority_expiry_wait(root: &Root) -> Duration {
    let longest = root.longest_authority();
    longest + longest / CLOCK_DRIFT_DIVISOR + CLOCK_MARGIN
}

/// Tracks one revision until it is accepted.
#[derive(Clone, Debug)]
pub struct AcceptanceTracker {
    revision: Revision,
    majority_at: Option<Instant>,
}

impl AcceptanceTracker {
    /// Starts to track `revision`.
    pub fn new(revision: Revision) -> Self {
        AcceptanceTracker { revision, majority_at: None }
    }

    /// The tracked revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// When the authority of unacknowledged hosts expires, once a majority has acknowledged.
    pub fn authority_ends_at(&self, root: &Root) -> Option<Instant> {
        self.majority_at.map(|at| at + authority_expiry_wait(root))
    }

    /// Updates the state from the newest root record and the acknowledgements read after it.
    pub fn update(&mut self, now: Instant, root: &Root, acks: &Acks) -> Acceptance {
        let state = acceptance(root, acks, self.revision);
        let Acceptance::Waiting { has_majority: true, .. } = state else { return state };
        self.majority_at.get_or_insert(now);
        let is_expired = self.authority_ends_at(root).is_some_and(|end| now >= end);
        if is_expired { Acceptance::Accepted } else { state }
    }
}
