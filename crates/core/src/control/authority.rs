//! Proofs that the configuration in force is the newest one.
//!
//! A proof is an instant on this host's clock at which no majority had acknowledged a newer
//! revision. It is one of these:
//!
//! - the start of a read of the root record that returned no newer revision, see [`StoreEra`];
//! - a timestamp that the holders of a majority of the declared seats have echoed;
//! - a timestamp that another host had received by the instant of its own proof.

use std::time::Duration;

use super::{Control, Effect};
use crate::{
    config::{Revision, SeatHolder, accept::is_majority},
    member::Echo,
    time::Instant,
};

/// Smallest advance of a proof that is passed to the traffic threads.
const MIN_PROOF_ADVANCE: Duration = Duration::from_millis(100);

/// An era of the store, which begins when the store is restored from a copy.
///
/// The copy lacks the last changes, which a majority may have acknowledged and this host may have
/// missed. So a read proves nothing until this host has a proof by a majority at an instant within the
/// era: any two majorities share a host, so no lost change that was acknowledged is newer than the
/// revision in force then. Later changes are in the store, so later reads find them.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreEra {
    number: u64,
    /// When this host received the first response of the era.
    first_read_at: Instant,
    /// Whether a read of the root record in this era is a proof.
    are_reads_proofs: bool,
}

impl Control {
    /// The latest proof.
    pub fn proof(&self) -> Option<Instant> {
        self.proof
    }

    /// Moves the proof forward to `at`.
    fn prove(&mut self, now: Instant, at: Instant, effects: &mut Vec<Effect>) {
        if at > now || self.proof >= Some(at) {
            return;
        }
        self.proof = Some(at);
        self.update_authority(now, effects);
        let is_due =
            self.published_proof.is_none_or(|published| at >= published + MIN_PROOF_ADVANCE);
        if is_due {
            self.published_proof = Some(at);
            effects.push(Effect::UpdateProof(at));
        }
    }

    /// Whether a read of the root record in `era` is a proof. The first era that a host reads from
    /// counts: a host that has just started has no earlier record that a restore could bring back.
    pub(super) fn is_read_proof(&mut self, now: Instant, era: u64) -> bool {
        match &self.store_era {
            Some(known) if known.number > era => false,
            Some(known) if known.number == era => known.are_reads_proofs,
            known => {
                let are_reads_proofs = known.is_none();
                self.store_era =
                    Some(StoreEra { number: era, first_read_at: now, are_reads_proofs });
                are_reads_proofs
            }
        }
    }

    /// Lets reads in the present era of the store prove again if a majority proved at an instant
    /// within it.
    fn confirm_store_era(&mut self, proven_by_majority: Instant) {
        if let Some(era) = &mut self.store_era {
            era.are_reads_proofs |= proven_by_majority >= era.first_read_at;
        }
    }

    /// Proves by a read of the root record, once the revision that it returned is in force.
    pub(super) fn prove_by_read(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        if let Some((revision, read_started)) = self.unapplied_read
            && revision <= self.revision()
        {
            self.unapplied_read = None;
            self.prove(now, read_started, effects);
        }
    }

    /// Proves by another host's proof for `revision`, before which it had received a timestamp of
    /// this host.
    pub(super) fn prove_by_peer(
        &mut self,
        now: Instant,
        revision: Revision,
        echo: Option<Echo>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(echo) = echo.filter(|e| e.incarnation == self.me.incarnation) else { return };
        if revision > 0
            && revision <= self.revision()
            && let Some(at) = echo.proven_timestamp
        {
            self.prove(now, at, effects);
        }
    }

    /// Proves by the latest timestamp that the holders of a majority of the seats have echoed.
    pub(super) fn prove_by_echoes(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let revision = self.revision();
        if revision == 0 {
            return;
        }
        let own_domain = self.members.iter().filter(|m| m.last_heartbeat.revision == revision);
        let remote = self.remote_domains.iter().flat_map(|(_, d)| d.delegates.values());
        let remote = remote.filter(|d| d.revision == revision);
        let mut timestamps: Vec<Instant> = own_domain
            .filter_map(|m| m.echoed_timestamp)
            .chain(remote.filter_map(|d| d.echoed_timestamp))
            .collect();
        // A host that holds a majority of the seats by itself needs no echoes.
        timestamps.push(now);
        // Another host's proof may be later than all echoes; the era is confirmed nevertheless.
        let confirms_era = |at: Instant| {
            let unconfirmed = self.store_era.filter(|era| !era.are_reads_proofs);
            unconfirmed.is_some_and(|era| at >= era.first_read_at)
        };
        timestamps.retain(|at| *at <= now && (Some(*at) > self.proof || confirms_era(*at)));
        timestamps.sort_unstable();
        timestamps.dedup();
        let has_majority = |at: &Instant| {
            is_majority(&self.config.root, |domain, seat, holder| {
                self.is_seat_up_to_date(domain, seat, holder, *at)
            })
        };
        if let Some(at) = timestamps.into_iter().rev().find(has_majority) {
            self.confirm_store_era(at);
            self.prove(now, at, effects);
        }
    }

    /// Whether a seat's confirmed holder had this host's revision in force at `at` or later.
    fn is_seat_up_to_date(
        &self,
        domain: &str,
        seat: u16,
        holder: &SeatHolder,
        at: Instant,
    ) -> bool {
        if domain == self.me.domain {
            return self.is_own_holder_up_to_date(holder, at);
        }
        let Some(remote_domain) = self.remote_domains.get(domain) else { return false };
        remote_domain.delegates.values().any(|d| {
            d.revision == self.revision()
                && d.echoed_timestamp >= Some(at)
                && d.up_to_date_seats.contains(&seat)
        })
    }

    /// Whether `holder`, of a seat of this failure domain, is confirmed and had this host's
    /// revision in force at `at` or later.
    fn is_own_holder_up_to_date(&self, holder: &SeatHolder, at: Instant) -> bool {
        if holder.incarnation == self.me.incarnation {
            return holder.is_confirmed();
        }
        let member = self.members.get(holder.incarnation);
        holder.is_confirmed()
            && member.is_some_and(|m| {
                m.last_heartbeat.revision == self.revision() && m.echoed_timestamp >= Some(at)
            })
    }

    /// Seats of this failure domain whose confirmed holders had this host's revision in force at
    /// `at` or later.
    pub(super) fn own_seats_up_to_date_since(&self, at: Instant) -> Vec<u16> {
        let domain_seats = self.config.root.seats.get(&self.me.domain);
        let numbered_holders = domain_seats.into_iter().flatten().enumerate();
        numbered_holders
            .filter_map(|(n, s)| self.is_own_holder_up_to_date(s.as_ref()?, at).then_some(n as u16))
            .collect()
    }
}
