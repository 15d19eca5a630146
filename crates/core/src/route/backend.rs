//! One backend server as one host uses it: slots of its own seat, slots lent and slots borrowed.

use std::net::SocketAddr;

use super::{
    health::Health,
    loan::{AskId, Borrowed},
};
use crate::time::Instant;

/// Distance of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In this host's failure domain.
    Domain,
    /// In another failure domain of this host's region.
    Region,
    /// In another region.
    Far,
}

/// A backend server as this host uses it.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name in the declaration.
    pub name: String,
    /// HTTP address.
    pub address: SocketAddr,
    /// Name of the route.
    pub route: String,
    /// Version that it runs.
    pub version: String,
    /// Whether it may get new work.
    pub serving: bool,
    /// How far away it is.
    pub distance: Distance,
    /// Slots that belong to this host's seat.
    pub own: u16,
    /// Own slots taken by requests.
    pub own_used: u16,
    /// Own slots lent to other hosts.
    pub lent: u16,
    /// Slots borrowed from other hosts.
    pub borrowed: Vec<Borrowed>,
    /// What this host sees of it.
    pub health: Health,
}

/// The slot that a request runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// A slot of this host's seat.
    Own,
    /// A borrowed slot.
    Borrowed(AskId),
}

impl Backend {
    /// Requests of this host in flight on the server.
    pub fn in_flight(&self) -> u16 {
        self.own_used + self.borrowed.iter().map(|b| b.used).sum::<u16>()
    }

    /// Slots that this host could use if all were free.
    pub fn usable(&self) -> u16 {
        self.own.saturating_sub(self.lent) + self.borrowed.iter().map(|b| b.slots).sum::<u16>()
    }

    /// Own slots that are neither taken nor lent.
    pub fn own_free(&self) -> u16 {
        self.own.saturating_sub(self.own_used + self.lent)
    }

    /// A free slot for a request that ends by `end`, if the server takes one now.
    pub fn free_slot(&self, now: Instant, end: Instant, far: bool) -> Option<Slot> {
        if !self.serving || self.in_flight() >= self.health.limit(now, self.usable()) {
            return None;
        }
        if self.own_free() > 0 {
            return Some(Slot::Own);
        }
        let fits =
            |b: &&Borrowed| b.used < b.slots && end <= b.until && (!b.far || (far && b.bytes > 0));
        self.borrowed.iter().find(fits).map(|b| Slot::Borrowed(b.ask))
    }

    /// Slots that could take a request now.
    pub fn free_slots(&self, now: Instant, end: Instant, far: bool) -> u16 {
        if !self.serving {
            return 0;
        }
        let room = self.health.limit(now, self.usable()).saturating_sub(self.in_flight());
        let fits = |b: &&Borrowed| end <= b.until && (!b.far || (far && b.bytes > 0));
        let borrowed: u16 = self.borrowed.iter().filter(fits).map(|b| b.slots - b.used).sum();
        room.min(self.own_free() + borrowed)
    }

    /// Takes a slot; false when the slot is not free, which would be a broken invariant.
    #[must_use]
    pub fn take(&mut self, slot: Slot) -> bool {
        match slot {
            Slot::Own if self.own_free() > 0 => {
                self.own_used += 1;
                true
            }
            Slot::Own => false,
            Slot::Borrowed(ask) => match self.loan(ask) {
                Some(loan) if loan.used < loan.slots => {
                    loan.used += 1;
                    true
                }
                _ => false,
            },
        }
    }

    /// Gives a slot back.
    pub fn release(&mut self, now: Instant, slot: Slot) {
        match slot {
            Slot::Own => self.own_used = self.own_used.saturating_sub(1),
            Slot::Borrowed(ask) => {
                if let Some(loan) = self.loan(ask) {
                    loan.used = loan.used.saturating_sub(1);
                    loan.idle_since = now;
                }
            }
        }
    }

    /// The loan that an ask brought.
    pub fn loan(&mut self, ask: AskId) -> Option<&mut Borrowed> {
        self.borrowed.iter_mut().find(|b| b.ask == ask)
    }
}
