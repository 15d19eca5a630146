//! Seats: claiming, confirming and using them.

use std::time::Duration;

use super::{Control, Effect};
use crate::{
    config::{
        Acceptance, Acks, Revision, Root, SeatHolder,
        accept::{AcceptanceTracker, has_acknowledged},
    },
    event::Kind,
    host::HostInfo,
    time::Instant,
    view::holds_authority,
};

/// Time without a heartbeat of a holder after which its seat may be taken over.
const SEAT_TAKEOVER_SILENCE: Duration = Duration::from_secs(3);
/// Time by which each further host in rank delays its claim, so that it claims a seat only if those
/// before it did not.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(1500);
/// Time after which a compare-and-swap that is based on the same revision is tried again.
const SWAP_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Ticks between two reads of the acknowledgements.
const TICKS_PER_ACK_READ: u64 = 2;

/// State of this host's seat.
#[derive(Clone, Debug, Default)]
pub(super) struct SeatState {
    /// The revision that the last compare-and-swap was based on, and when it was tried.
    last_swap: Option<(Revision, Instant)>,
    /// Since when this host has hosts to claim seats for.
    without_seat_since: Option<Instant>,
    /// Tracks the acceptance of the takeover by which this host holds a seat.
    tracker: Option<AcceptanceTracker>,
    /// The seat in the last published view.
    published: Option<u16>,
    had_authority: bool,
}

impl Control {
    /// The confirmed seat of this host by the revision in force.
    pub(super) fn confirmed_seat(&self) -> Option<u16> {
        let root = &self.config.root;
        let (seat, holder) = root.seat_of(&self.me)?;
        let is_declared = root.seat_counts.get(&self.me.domain).is_some_and(|n| seat < *n);
        (holder.is_confirmed() && is_declared).then_some(seat)
    }

    /// The seat that this host may use now.
    pub(super) fn usable_seat(&self, now: Instant) -> Option<u16> {
        self.confirmed_seat().filter(|_| self.has_authority(now))
    }

    fn has_authority(&self, now: Instant) -> bool {
        holds_authority(now, self.proof, self.config.root.authority)
    }

    /// Records the usable seat as published and returns it.
    pub(super) fn publish_seat(&mut self, now: Instant) -> Option<u16> {
        self.seat_state.published = self.usable_seat(now);
        self.seat_state.published
    }

    /// Logs a change of the authority and publishes a view if the usable seat changed.
    pub(super) fn update_authority(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let has_authority = self.has_authority(now);
        if self.revision() > 0 && has_authority != self.seat_state.had_authority {
            self.seat_state.had_authority = has_authority;
            let kind = if has_authority { Kind::AuthorityHolds } else { Kind::AuthorityEnded };
            self.log(kind, format!("revision {}", self.revision()), effects);
        }
        if self.usable_seat(now) != self.seat_state.published {
            self.publish(now, effects);
        }
    }

    /// Starts or ends tracking an unconfirmed takeover, and logs changes of this host's seat.
    pub(super) fn update_seat(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let own_seat = self.config.root.seat_of(&self.me).map(|(n, s)| (n, s.clone()));
        let published = self.seat_state.published;
        match own_seat {
            Some((n, s)) if !s.is_confirmed() => {
                let tracked = self.seat_state.tracker.as_ref().map(AcceptanceTracker::revision);
                if tracked != Some(s.since) {
                    self.seat_state.tracker = Some(AcceptanceTracker::new(s.since));
                    self.log(Kind::SeatTaken, format!("seat {n}, not confirmed"), effects);
                }
            }
            Some((n, _)) => {
                self.seat_state.tracker = None;
                if published.is_none() && self.usable_seat(now).is_some() {
                    self.log(Kind::SeatConfirmed, format!("seat {n}"), effects);
                }
            }
            None => {
                self.seat_state.tracker = None;
                if let Some(n) = published {
                    self.log(Kind::SeatLost, format!("seat {n}"), effects);
                }
            }
        }
    }

    pub(super) fn tick_seat(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        self.update_authority(now, effects);
        if self.revision() == 0 || self.stopping {
            return;
        }
        if self.seat_state.tracker.is_some() && self.ticks.is_multiple_of(TICKS_PER_ACK_READ) {
            effects.push(Effect::ReadAcks);
        }
        self.claim_seats(now, effects);
    }

    /// Claims seats for the hosts of the domain that have none, in one compare-and-swap.
    fn claim_seats(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let rank = self.members.rank(now, &self.me);
        let hosts_without_seat = self.hosts_without_seat(now, rank);
        if hosts_without_seat.is_empty() {
            self.seat_state.without_seat_since = None;
            return;
        }
        let since = *self.seat_state.without_seat_since.get_or_insert(now);
        if now < since + CLAIM_DELAY_PER_RANK * rank as u32 {
            return;
        }
        let write_id = self.write_id();
        let may_displace = |s: &SeatHolder| self.may_displace(now, s);
        let mut next: Option<Root> = None;
        for host in hosts_without_seat {
            let base = next.as_ref().unwrap_or(&self.config.root);
            let is_first = next.is_none();
            let claimed = match is_first {
                true => base.with_claim(&host, &write_id, may_displace),
                false => base.with_additional_claim(&host, may_displace),
            };
            next = claimed.or(next);
        }
        if let Some(next) = next {
            self.swap_root(now, next, effects);
        }
    }

    /// Live hosts to claim a seat for: this one, and on the first-ranked host all of the domain.
    fn hosts_without_seat(&self, now: Instant, rank: usize) -> Vec<HostInfo> {
        let has_seat = |h: &HostInfo| self.config.root.seat_of(h).is_some();
        let me = (!has_seat(&self.me)).then(|| self.me.clone());
        let others =
            self.members.live_members(now).filter(|m| rank == 0 && !m.last_heartbeat.stopping);
        let others = others.map(|m| &m.last_heartbeat.host).filter(|h| !has_seat(h)).cloned();
        me.into_iter().chain(others).collect()
    }

    /// Whether a holder has been silent for longer than [`SEAT_TAKEOVER_SILENCE`].
    fn may_displace(&self, now: Instant, holder: &SeatHolder) -> bool {
        let since = match self.members.get(holder.incarnation) {
            _ if holder.incarnation == self.me.incarnation => return false,
            Some(member) => Some(member.received_at),
            None => self.started_at,
        };
        since.is_some_and(|since| now.saturating_since(since) > SEAT_TAKEOVER_SILENCE)
    }

    /// Confirms a takeover that is accepted or that the displaced holder has acknowledged.
    pub(super) fn confirm_seat(
        &mut self,
        now: Instant,
        root: &Root,
        acks: &Acks,
        effects: &mut Vec<Effect>,
    ) {
        let Some(tracker) = &mut self.seat_state.tracker else { return };
        let since = tracker.revision();
        if root.revision < since {
            return;
        }
        let is_accepted = tracker.update(now, root, acks) == Acceptance::Accepted;
        let displaced = root.seat_of(&self.me).and_then(|(_, s)| s.displaced);
        let has_displaced_acknowledged =
            |incarnation| has_acknowledged(acks, &self.me.domain, incarnation, since);
        if !is_accepted && !displaced.is_some_and(has_displaced_acknowledged) {
            return;
        }
        if let Some(next) = self.config.root.with_confirmed_seat(&self.me, &self.write_id()) {
            self.swap_root(now, next, effects);
        }
    }

    fn swap_root(&mut self, now: Instant, next: Root, effects: &mut Vec<Effect>) {
        let base = self.revision();
        let is_recent = |(revision, at): (Revision, Instant)| {
            revision == base && now.saturating_since(at) < SWAP_RETRY_DELAY
        };
        if self.seat_state.last_swap.is_some_and(is_recent) {
            return;
        }
        self.seat_state.last_swap = Some((base, now));
        effects.push(Effect::SwapRoot(Box::new(next)));
    }

    fn write_id(&self) -> String {
        format!("{}-{}-{}", self.me.incarnation, self.revision(), self.ticks)
    }
}
