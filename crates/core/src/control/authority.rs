//! Proofs that the configuration in force is the newest one.
//!
//! A proof is an instant of this host's clock at which no newer revision had been acknowledged by
//! a majority. It comes from a read of the root record that was begun at that instant, from echoes
//! of a stamp made then by the holders of a majority of the declared seats, or from another host
//! that received a stamp of this one before the instant of its own proof.

use std::time::Duration;

use super::{Control, Effect};
use crate::{
    config::{Revision, SeatHolder, accept::is_majority},
    member::Echo,
    time::Instant,
};

/// Smallest step of a proof that is handed to the traffic threads.
const PROOF_STEP: Duration = Duration::from_millis(100);

impl Control {
    /// The latest proof.
    pub fn proof(&self) -> Option<Instant> {
        self.proof
    }

    fn prove(&mut self, now: Instant, at: Instant, fx: &mut Vec<Effect>) {
        if at > now || self.proof >= Some(at) {
            return;
        }
        self.proof = Some(at);
        self.see_authority(now, fx);
        let is_step = self.told_proof.is_none_or(|told| at >= told + PROOF_STEP);
        if is_step {
            self.told_proof = Some(at);
            fx.push(Effect::Prove(at));
        }
    }

    /// A read of the root record that returned no newer revision than the one in force.
    pub(super) fn prove_by_read(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if let Some((revision, asked)) = self.read_proof
            && revision <= self.revision()
        {
            self.read_proof = None;
            self.prove(now, asked, fx);
        }
    }

    /// Another host had a proof for `revision` and had received a stamp of this one before.
    pub(super) fn prove_by_peer(
        &mut self,
        now: Instant,
        revision: Revision,
        echo: Option<Echo>,
        fx: &mut Vec<Effect>,
    ) {
        let Some(echo) = echo.filter(|e| e.of == self.me.incarnation) else { return };
        if revision > 0
            && revision <= self.revision()
            && let Some(at) = echo.proven
        {
            self.prove(now, at, fx);
        }
    }

    /// Echoes of a stamp by the holders of a majority of the seats.
    pub(super) fn prove_by_echoes(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let revision = self.revision();
        if revision == 0 {
            return;
        }
        let near = self.members.iter().filter(|m| m.last.revision == revision);
        let far = self.fleet.iter().flat_map(|(_, d)| d.delegates.values());
        let far = far.filter(|d| d.revision == revision);
        let mut stamps: Vec<Instant> =
            near.filter_map(|m| m.echoed).chain(far.filter_map(|d| d.echoed)).collect();
        // One host may hold a majority of the seats by itself.
        stamps.push(now);
        stamps.retain(|at| Some(*at) > self.proof && *at <= now);
        stamps.sort_unstable();
        stamps.dedup();
        let reaches = |at: &Instant| {
            is_majority(&self.held.root, |domain, seat, holder| {
                self.vouches(domain, seat, holder, *at)
            })
        };
        if let Some(at) = stamps.into_iter().rev().find(reaches) {
            self.prove(now, at, fx);
        }
    }

    /// Whether a seat's holder had this host's revision in force at `at` or later.
    fn vouches(&self, domain: &str, seat: u16, holder: &SeatHolder, at: Instant) -> bool {
        if domain == self.me.domain {
            return self.vouches_near(holder, at);
        }
        let Some(other) = self.fleet.get(domain) else { return false };
        other.delegates.values().any(|d| {
            d.revision == self.revision() && d.echoed >= Some(at) && d.vouching.contains(&seat)
        })
    }

    fn vouches_near(&self, holder: &SeatHolder, at: Instant) -> bool {
        if holder.incarnation == self.me.incarnation {
            return holder.is_confirmed();
        }
        let member = self.members.get(holder.incarnation);
        holder.is_confirmed()
            && member.is_some_and(|m| m.last.revision == self.revision() && m.echoed >= Some(at))
    }

    /// Seats of this failure domain whose holders vouch for this host's revision at `at` or later.
    pub(super) fn vouching_since(&self, at: Instant) -> Vec<u16> {
        let row = self.held.root.seats.get(&self.me.domain);
        let held = row.into_iter().flatten().enumerate();
        held.filter_map(|(n, s)| self.vouches_near(s.as_ref()?, at).then_some(n as u16)).collect()
    }
}
