//! Acceptance: when a written change can no longer be contradicted by any host.
//!
//! A majority of the declared seats must have the change in force. Any later proof by echoes needs
//! a majority too, so it would meet a host that knows the change. What was proven before ends with
//! the longest authority, counted from that majority.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{Revision, Root, SeatHolder, root::SeatCounts};
use crate::{host::Incarnation, time::Instant};

/// Allowance for the clock of one host running slower than that of another, in parts of a whole.
const CLOCK_RATE_PARTS: u32 = 100;
/// Allowance for the resolution of clocks and the time between check and use.
const MARGIN: Duration = Duration::from_millis(250);

/// What one failure domain has in force, as recorded in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAck {
    /// The revision in force on each life of a host that holds a seat.
    pub in_force: BTreeMap<String, Revision>,
}

impl DomainAck {
    /// Key of a life of a host.
    pub fn key(incarnation: Incarnation) -> String {
        incarnation.to_string()
    }
}

/// Acknowledgements by name of the failure domain.
pub type Acks = BTreeMap<String, DomainAck>;

/// How far a revision has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// No host can act against it any more.
    Accepted,
    /// Hosts in these failure domains have not acknowledged it.
    Waiting {
        /// Whether a majority of the declared seats has it in force.
        has_majority: bool,
        /// Names of the failure domains that are outstanding.
        outstanding: Vec<String>,
    },
}

/// Whether the seats for which `has` holds are a majority by both tables of the root record.
pub fn is_majority(root: &Root, has: impl Fn(&str, u16, &SeatHolder) -> bool) -> bool {
    let reaches = |table: &SeatCounts| {
        let all: u32 = table.values().map(|n| u32::from(*n)).sum();
        let declared = |d: &str, n: u16| table.get(d).is_some_and(|count| n < *count);
        let counted = root.holders().filter(|(d, n, s)| declared(d, *n) && has(d, *n, s));
        counted.count() as u32 * 2 > all
    };
    let before = &root.seat_counts_before;
    reaches(&root.seat_counts) && (before.is_empty() || reaches(before))
}

/// How far `revision` has come by the newest root record and the acknowledgements read after it.
pub fn acceptance(root: &Root, acks: &Acks, revision: Revision) -> Acceptance {
    let has = |domain: &str, life: Incarnation| has_acknowledged(acks, domain, life, revision);
    // The holder that was displaced may still act until it has acknowledged, the new one may not.
    let is_safe = |d: &str, s: &SeatHolder| has(d, s.displaced.unwrap_or(s.incarnation));
    let mut outstanding: Vec<String> =
        root.holders().filter(|(d, _, s)| !is_safe(d, s)).map(|(d, _, _)| d.to_owned()).collect();
    outstanding.dedup();
    let has_majority = is_majority(root, |d, _, s| s.is_confirmed() && has(d, s.incarnation));
    if has_majority && outstanding.is_empty() {
        return Acceptance::Accepted;
    }
    Acceptance::Waiting { has_majority, outstanding }
}

/// Whether a life of a host is recorded to have `revision` or a later one in force.
pub fn has_acknowledged(acks: &Acks, domain: &str, life: Incarnation, revision: Revision) -> bool {
    let ack = acks.get(domain).and_then(|a| a.in_force.get(&DomainAck::key(life)));
    ack.is_some_and(|r| *r >= revision)
}

/// Time after which authority that was proven before a majority acknowledged has surely ended.
pub fn wait_for_silent(root: &Root) -> Duration {
    let longest = root.longest_authority();
    longest + longest / CLOCK_RATE_PARTS + MARGIN
}

/// Follows one revision until it is accepted.
#[derive(Clone, Debug)]
pub struct Follow {
    revision: Revision,
    majority_at: Option<Instant>,
}

impl Follow {
    /// Follows `revision`.
    pub fn new(revision: Revision) -> Self {
        Follow { revision, majority_at: None }
    }

    /// The revision that is followed.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// When the silent hosts' authority will have ended, once a majority has acknowledged.
    pub fn until(&self, root: &Root) -> Option<Instant> {
        self.majority_at.map(|at| at + wait_for_silent(root))
    }

    /// Takes in the newest root record and the acknowledgements that were read after it.
    pub fn see(&mut self, now: Instant, root: &Root, acks: &Acks) -> Acceptance {
        let found = acceptance(root, acks, self.revision);
        let Acceptance::Waiting { has_majority: true, .. } = found else { return found };
        self.majority_at.get_or_insert(now);
        let is_over = self.until(root).is_some_and(|until| now >= until);
        if is_over { Acceptance::Accepted } else { found }
    }
}
