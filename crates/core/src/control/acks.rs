//! Acknowledgements: one host of a failure domain records what its hosts have in force.

use std::time::Duration;

use super::{Control, Effect};
use crate::{
    config::{Acceptance, Acks, DomainAck, Revision, Root, accept::Follow},
    host::Incarnation,
    time::Instant,
};

/// Time for which a record waits for the rest of the domain.
const GATHER_LIMIT: Duration = Duration::from_millis(500);
/// Time after which an unchanged record is written again.
const REFRESH_PERIOD: Duration = Duration::from_secs(10);

/// Ticks between two reads of the acknowledgements.
const FOLLOW_TICKS: u64 = 2;

/// What was recorded and what is followed.
#[derive(Clone, Debug, Default)]
pub(super) struct AckState {
    written: Option<(DomainAck, Instant)>,
    changed: Option<Instant>,
    /// The revision whose acceptance is followed.
    follow: Option<Follow>,
}

impl AckState {
    /// Lets the record be written again.
    pub(super) fn forget(&mut self) {
        self.written = None;
    }
}

impl Control {
    pub(super) fn tick_acks(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.revision() == 0 || self.members.rank(now, &self.me) > 0 {
            return;
        }
        let ack = self.domain_ack();
        let is_written = |(written, at): &(DomainAck, Instant)| {
            *written == ack && now.saturating_since(*at) < REFRESH_PERIOD
        };
        if ack.in_force.is_empty() || self.acks.written.as_ref().is_some_and(is_written) {
            self.acks.changed = None;
            return;
        }
        let since = *self.acks.changed.get_or_insert(now);
        let is_whole = ack.in_force.values().all(|r| *r >= self.revision());
        if is_whole || now.saturating_since(since) >= GATHER_LIMIT {
            self.acks.written = Some((ack.clone(), now));
            self.acks.changed = None;
            fx.push(Effect::WriteAck(ack));
        }
    }

    /// Follows the newest revision for the whole domain until it is accepted.
    pub(super) fn tick_acceptance(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let is_first = self.members.rank(now, &self.me) == 0;
        if self.accepted >= self.revision() || !is_first {
            self.acks.follow = None;
            return;
        }
        let is_over = self.acks.follow.as_ref().is_some_and(|f| f.revision() <= self.accepted);
        if is_over || self.acks.follow.is_none() {
            self.acks.follow = Some(Follow::new(self.revision()));
        }
        if self.ticks.is_multiple_of(FOLLOW_TICKS) {
            fx.push(Effect::ReadAcks);
        }
    }

    /// The root record and the acknowledgements were read.
    pub(super) fn see_acks(
        &mut self,
        now: Instant,
        root: &Root,
        acks: &Acks,
        fx: &mut Vec<Effect>,
    ) {
        self.confirm_seat(now, root, acks, fx);
        let Some(follow) = &mut self.acks.follow else { return };
        let revision = follow.revision();
        if root.revision >= revision && follow.see(now, root, acks) == Acceptance::Accepted {
            self.see_accepted(now, revision, fx);
        }
    }

    /// A revision is known to be accepted, here or on another host.
    pub(super) fn see_accepted(&mut self, now: Instant, revision: Revision, fx: &mut Vec<Effect>) {
        if revision > self.accepted {
            self.accepted = revision;
            self.publish(now, fx);
        }
    }

    /// The revision in force on each life of a host that holds a seat of the domain or held it
    /// before a takeover.
    fn domain_ack(&self) -> DomainAck {
        let row = self.held.root.seats.get(&self.me.domain);
        let holders = row.into_iter().flatten().flatten();
        let lives = holders.flat_map(|s| [Some(s.incarnation), s.displaced]).flatten();
        let in_force = lives.map(|life| (DomainAck::key(life), self.in_force_on(life)));
        DomainAck { in_force: in_force.collect() }
    }

    fn in_force_on(&self, life: Incarnation) -> Revision {
        if life == self.me.incarnation {
            return self.revision();
        }
        self.members.get(life).map_or(0, |m| m.last.revision)
    }
}
