//! Seats: taking, confirming, using and releasing them.

use std::time::Duration;

use super::{Control, Effect};
use crate::{
    config::{
        Acceptance, Acks, Revision, Root, SeatHolder,
        accept::{Follow, has_acknowledged},
    },
    event::Kind,
    host::HostInfo,
    time::Instant,
    view::holds_authority,
};

/// Silence of a holder after which its seat may be taken over.
const SEAT_SILENCE: Duration = Duration::from_secs(3);
/// Time after which the next host in the order of duties takes seats, if the one before did not.
const STAND_IN_DELAY: Duration = Duration::from_millis(1500);
/// Time before a swap of the same root record is tried again.
const SWAP_RETRY: Duration = Duration::from_secs(1);
/// Ticks between two reads of the acknowledgements.
const FOLLOW_TICKS: u64 = 2;

/// What a host knows of its seat.
#[derive(Clone, Debug, Default)]
pub(super) struct SeatState {
    /// The root record whose successor was tried last, and when.
    tried: Option<(Revision, Instant)>,
    /// Since when hosts of the domain are without a seat.
    wanting_since: Option<Instant>,
    /// Acceptance of the takeover by which this host holds a seat.
    follow: Option<Follow>,
    /// The seat in the view that was published last.
    published: Option<u16>,
    had_authority: bool,
}

impl Control {
    /// The seat that this host holds by the revision in force.
    pub(super) fn confirmed_seat(&self) -> Option<u16> {
        let root = &self.held.root;
        let (seat, holder) = root.seat_of(&self.me)?;
        let is_declared = root.seat_counts.get(&self.me.domain).is_some_and(|n| seat < *n);
        (holder.is_confirmed() && is_declared).then_some(seat)
    }

    /// The seat that this host holds and may use now.
    pub(super) fn usable_seat(&self, now: Instant) -> Option<u16> {
        self.confirmed_seat().filter(|_| self.has_authority(now))
    }

    fn has_authority(&self, now: Instant) -> bool {
        holds_authority(now, self.proof, self.held.root.authority)
    }

    /// Notes the seat that is being published.
    pub(super) fn publish_seat(&mut self, now: Instant) -> Option<u16> {
        self.seat.published = self.usable_seat(now);
        self.seat.published
    }

    /// Publishes when the seat can be used again or no more.
    pub(super) fn see_authority(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let has = self.has_authority(now);
        if self.revision() > 0 && has != self.seat.had_authority {
            self.seat.had_authority = has;
            let kind = if has { Kind::AuthorityHolds } else { Kind::AuthorityEnded };
            self.log(kind, format!("revision {}", self.revision()), fx);
        }
        if self.usable_seat(now) != self.seat.published {
            self.publish(now, fx);
        }
    }

    /// Follows the acceptance of a takeover that is not confirmed.
    pub(super) fn see_seat(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let held = self.held.root.seat_of(&self.me).map(|(n, s)| (n, s.clone()));
        let before = self.seat.published;
        match held {
            Some((n, s)) if !s.is_confirmed() => {
                let followed = self.seat.follow.as_ref().map(Follow::revision);
                if followed != Some(s.since) {
                    self.seat.follow = Some(Follow::new(s.since));
                    self.log(Kind::SeatTaken, format!("seat {n}, not confirmed"), fx);
                }
            }
            Some((n, _)) => {
                self.seat.follow = None;
                if before.is_none() && self.usable_seat(now).is_some() {
                    self.log(Kind::SeatConfirmed, format!("seat {n}"), fx);
                }
            }
            None => {
                self.seat.follow = None;
                if let Some(n) = before {
                    self.log(Kind::SeatLost, format!("seat {n}"), fx);
                }
            }
        }
    }

    pub(super) fn tick_seat(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.see_authority(now, fx);
        if self.revision() == 0 || self.stopping {
            return;
        }
        if self.seat.follow.is_some() && self.ticks.is_multiple_of(FOLLOW_TICKS) {
            fx.push(Effect::ReadAcks);
        }
        self.claim_seats(now, fx);
    }

    /// Takes seats for the hosts of the domain that have none, in one swap.
    fn claim_seats(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let rank = self.members.rank(now, &self.me);
        let wanting = self.wanting(now, rank);
        if wanting.is_empty() {
            self.seat.wanting_since = None;
            return;
        }
        let since = *self.seat.wanting_since.get_or_insert(now);
        if now < since + STAND_IN_DELAY * rank as u32 {
            return;
        }
        let write_id = self.write_id();
        let is_gone = |s: &SeatHolder| self.is_gone(now, s);
        let mut next: Option<Root> = None;
        for host in wanting {
            let base = next.as_ref().unwrap_or(&self.held.root);
            let is_first = next.is_none();
            let claimed = match is_first {
                true => base.with_claim(&host, &write_id, is_gone),
                false => base.and_claim(&host, is_gone),
            };
            next = claimed.or(next);
        }
        if let Some(next) = next {
            self.swap(now, next, fx);
        }
    }

    /// Live hosts of the domain without a seat; the first in the order of duties acts for all.
    fn wanting(&self, now: Instant, rank: usize) -> Vec<HostInfo> {
        let has_seat = |h: &HostInfo| self.held.root.seat_of(h).is_some();
        let me = (!has_seat(&self.me)).then(|| self.me.clone());
        let others = self.members.live(now).filter(|m| rank == 0 && !m.last.stopping);
        let others = others.map(|m| &m.last.host).filter(|h| !has_seat(h)).cloned();
        me.into_iter().chain(others).collect()
    }

    /// Whether a holder has been silent for so long that its seat may be taken over.
    fn is_gone(&self, now: Instant, holder: &SeatHolder) -> bool {
        let since = match self.members.get(holder.incarnation) {
            _ if holder.incarnation == self.me.incarnation => return false,
            Some(member) => Some(member.heard),
            None => self.started,
        };
        since.is_some_and(|since| now.saturating_since(since) > SEAT_SILENCE)
    }

    /// Confirms a takeover that is accepted or that the displaced holder has acknowledged.
    pub(super) fn confirm_seat(
        &mut self,
        now: Instant,
        root: &Root,
        acks: &Acks,
        fx: &mut Vec<Effect>,
    ) {
        let Some(follow) = &mut self.seat.follow else { return };
        let since = follow.revision();
        if root.revision < since {
            return;
        }
        let is_accepted = follow.see(now, root, acks) == Acceptance::Accepted;
        let displaced = root.seat_of(&self.me).and_then(|(_, s)| s.displaced);
        let knows = |z| has_acknowledged(acks, &self.me.domain, z, since);
        if !is_accepted && !displaced.is_some_and(knows) {
            return;
        }
        if let Some(next) = self.held.root.with_confirmed(&self.me, &self.write_id()) {
            self.swap(now, next, fx);
        }
    }

    fn swap(&mut self, now: Instant, next: Root, fx: &mut Vec<Effect>) {
        let base = self.revision();
        let is_tried = |(revision, at): (Revision, Instant)| {
            revision == base && now.saturating_since(at) < SWAP_RETRY
        };
        if self.seat.tried.is_some_and(is_tried) {
            return;
        }
        self.seat.tried = Some((base, now));
        fx.push(Effect::SwapRoot(Box::new(next)));
    }

    fn write_id(&self) -> String {
        format!("{}-{}-{}", self.me.incarnation, self.revision(), self.ticks)
    }
}
