//! Acknowledgements: one host of a failure domain writes to the store which revision its seat
//! holders have in force, and tracks whether the newest revision is accepted.

use std::time::Duration;

use super::{Control, Effect};
use crate::{
    config::{Acceptance, Acks, DomainAck, Revision, Root, accept::AcceptanceTracker},
    host::Incarnation,
    time::Instant,
};

/// Time for which a changed acknowledgement waits for the remaining seat holders of the domain.
const ACK_BATCH_DELAY: Duration = Duration::from_millis(500);
/// Time after which an unchanged acknowledgement is written again.
const ACK_REFRESH_PERIOD: Duration = Duration::from_secs(10);

/// Ticks between two reads of the acknowledgements.
const TICKS_PER_ACK_READ: u64 = 2;

/// State of the acknowledgements of this failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct AckState {
    /// The last acknowledgement written, and when.
    written: Option<(DomainAck, Instant)>,
    /// When the acknowledgement first differed from the written one.
    changed_at: Option<Instant>,
    /// Tracks a revision that is not accepted so far.
    tracker: Option<AcceptanceTracker>,
}

impl AckState {
    /// Causes the acknowledgement to be written again.
    pub(super) fn clear_written(&mut self) {
        self.written = None;
    }
}

impl Control {
    pub(super) fn tick_acks(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if self.revision() == 0 || self.members.rank(now, &self.me) > 0 {
            return;
        }
        let ack = self.domain_ack();
        let is_written = |(written, at): &(DomainAck, Instant)| {
            *written == ack && now.saturating_since(*at) < ACK_REFRESH_PERIOD
        };
        if ack.in_force.is_empty() || self.ack_state.written.as_ref().is_some_and(is_written) {
            self.ack_state.changed_at = None;
            return;
        }
        let since = *self.ack_state.changed_at.get_or_insert(now);
        let is_complete = ack.in_force.values().all(|r| *r >= self.revision());
        if is_complete || now.saturating_since(since) >= ACK_BATCH_DELAY {
            self.ack_state.written = Some((ack.clone(), now));
            self.ack_state.changed_at = None;
            effects.push(Effect::WriteAck(ack));
        }
    }

    /// Tracks the acceptance of a revision in force; only the first-ranked host of a domain does.
    pub(super) fn tick_acceptance(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let is_first_ranked = self.members.rank(now, &self.me) == 0;
        if self.accepted >= self.revision() || !is_first_ranked {
            self.ack_state.tracker = None;
            return;
        }
        let is_accepted =
            self.ack_state.tracker.as_ref().is_some_and(|t| t.revision() <= self.accepted);
        if is_accepted || self.ack_state.tracker.is_none() {
            self.ack_state.tracker = Some(AcceptanceTracker::new(self.revision()));
        }
        if self.ticks.is_multiple_of(TICKS_PER_ACK_READ) {
            effects.push(Effect::ReadAcks);
        }
    }

    /// Handles a read of the root record and the acknowledgements.
    pub(super) fn handle_acks(
        &mut self,
        now: Instant,
        root: &Root,
        acks: &Acks,
        effects: &mut Vec<Effect>,
    ) {
        self.confirm_seat(now, root, acks, effects);
        let Some(tracker) = &mut self.ack_state.tracker else { return };
        let revision = tracker.revision();
        if root.revision >= revision && tracker.update(now, root, acks) == Acceptance::Accepted {
            self.record_accepted(now, revision, effects);
        }
    }

    /// Records that a revision is accepted, as found by this host or another one.
    pub(super) fn record_accepted(
        &mut self,
        now: Instant,
        revision: Revision,
        effects: &mut Vec<Effect>,
    ) {
        if revision > self.accepted {
            self.accepted = revision;
            self.publish(now, effects);
        }
    }

    /// The revision in force on each holder of a seat of this domain and on each holder that a
    /// takeover displaced.
    fn domain_ack(&self) -> DomainAck {
        let domain_seats = self.config.root.seats.get(&self.me.domain);
        let holders = domain_seats.into_iter().flatten().flatten();
        let incarnations = holders.flat_map(|s| [Some(s.incarnation), s.displaced]).flatten();
        let in_force = incarnations
            .map(|incarnation| (DomainAck::key(incarnation), self.in_force_on(incarnation)));
        DomainAck { in_force: in_force.collect() }
    }

    fn in_force_on(&self, incarnation: Incarnation) -> Revision {
        if incarnation == self.me.incarnation {
            return self.revision();
        }
        self.members.get(incarnation).map_or(0, |m| m.last_heartbeat.revision)
    }
}
