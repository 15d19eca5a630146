//! A backend server and the slots that one host has on it: owned, lent and borrowed.

use std::net::SocketAddr;

use super::{
    health::Health,
    loan::{BorrowedSlots, LoanId},
};
use crate::time::Instant;

/// Network distance from this host to a backend server or another host, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In this host's failure domain.
    SameDomain,
    /// In another failure domain of this host's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// A backend server and this host's slots on it.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name of the server in the declaration.
    pub name: String,
    /// HTTP address.
    pub address: SocketAddr,
    /// Name of the route that it serves.
    pub route: String,
    /// Version of the service that it runs.
    pub version: String,
    /// Whether it accepts new requests: it is declared and not draining.
    pub serving: bool,
    /// Network distance from this host.
    pub distance: Distance,
    /// Slots assigned to this host's seat.
    pub owned: u16,
    /// Owned slots in use by requests of this host.
    pub owned_in_use: u16,
    /// Owned slots lent to other hosts.
    pub lent: u16,
    /// Slots borrowed from other hosts.
    pub borrowed: Vec<BorrowedSlots>,
    /// Health as measured by this host.
    pub health: Health,
}

/// The slot that a request occupies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// A slot of this host's seat.
    Owned,
    /// A slot of this loan.
    Borrowed(LoanId),
}

impl Backend {
    /// Number of requests that this host has in flight on the server.
    pub fn in_flight(&self) -> u16 {
        self.owned_in_use + self.borrowed.iter().map(|b| b.in_use).sum::<u16>()
    }

    /// Slots that this host may use, whether free or in use.
    pub fn usable(&self) -> u16 {
        self.owned.saturating_sub(self.lent) + self.borrowed.iter().map(|b| b.slots).sum::<u16>()
    }

    /// Owned slots that are neither in use nor lent.
    pub fn owned_free(&self) -> u16 {
        self.owned.saturating_sub(self.owned_in_use + self.lent)
    }

    /// Returns a free slot for a request that ends by `end`, if the server accepts one now.
    ///
    /// `cross_region` allows slots on servers in another region.
    pub fn free_slot(&self, now: Instant, end: Instant, cross_region: bool) -> Option<Slot> {
        if !self.serving || self.in_flight() >= self.health.concurrency_limit(now, self.usable()) {
            return None;
        }
        if self.owned_free() > 0 {
            return Some(Slot::Owned);
        }
        let fits = |b: &&BorrowedSlots| {
            b.in_use < b.slots
                && end <= b.until
                && (!b.cross_region || (cross_region && b.response_bytes_left > 0))
        };
        self.borrowed.iter().find(fits).map(|b| Slot::Borrowed(b.loan_id))
    }

    /// Number of slots that could accept a request now.
    pub fn free_slots(&self, now: Instant, end: Instant, cross_region: bool) -> u16 {
        if !self.serving {
            return 0;
        }
        let room =
            self.health.concurrency_limit(now, self.usable()).saturating_sub(self.in_flight());
        let fits = |b: &&BorrowedSlots| {
            end <= b.until && (!b.cross_region || (cross_region && b.response_bytes_left > 0))
        };
        let borrowed: u16 = self.borrowed.iter().filter(fits).map(|b| b.slots - b.in_use).sum();
        room.min(self.owned_free() + borrowed)
    }

    /// Marks a slot as in use. Returns false if it is not free, which callers report as a broken
    /// invariant.
    #[must_use]
    pub fn acquire(&mut self, slot: Slot) -> bool {
        match slot {
            Slot::Owned if self.owned_free() > 0 => {
                self.owned_in_use += 1;
                true
            }
            Slot::Owned => false,
            Slot::Borrowed(loan_id) => match self.loan(loan_id) {
                Some(loan) if loan.in_use < loan.slots => {
                    loan.in_use += 1;
                    true
                }
                _ => false,
            },
        }
    }

    /// Marks a slot as free.
    pub fn release(&mut self, now: Instant, slot: Slot) {
        match slot {
            Slot::Owned => self.owned_in_use = self.owned_in_use.saturating_sub(1),
            Slot::Borrowed(loan_id) => {
                if let Some(loan) = self.loan(loan_id) {
                    loan.in_use = loan.in_use.saturating_sub(1);
                    loan.idle_since = now;
                }
            }
        }
    }

    /// Returns the slots borrowed under a loan.
    pub fn loan(&mut self, loan_id: LoanId) -> Option<&mut BorrowedSlots> {
        self.borrowed.iter_mut().find(|b| b.loan_id == loan_id)
    }
}
