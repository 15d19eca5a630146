//! Ownership of request ids: which host may run a request.
//!
//! An issued id names its owner. The owner of a caller-made id is the holder of the seat that the
//! id maps to: a failure domain by rendezvous hashing over the declared ones (Thaler and
//! Ravishankar 1998), then a seat of it. Neither depends on which hosts are reachable.

use std::{net::SocketAddr, time::Duration};

use sha2::{Digest, Sha256};

use super::{
    DedupKey,
    id::{AnyId, MAX_CLOCK_LEAD},
};
use crate::{
    config::{Revision, root::SeatHolder},
    declaration::Declaration,
    host::Incarnation,
    time::UnixMillis,
    view::View,
};

/// Largest difference between the wall clocks of two hosts.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(1);

/// Owner of an id according to this host's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This incarnation of this host.
    ThisHost,
    /// Another reachable host, with its peer address.
    OtherHost(Incarnation, SocketAddr),
    /// The owner is not reachable, or the seat has no holder.
    Unreachable,
}

/// Returns the owner of an id.
pub fn find_owner(view: &View, id: &AnyId, key: DedupKey) -> Owner {
    match id {
        AnyId::Issued(id) => locate(view, id.owner),
        AnyId::CallerMade(_) => {
            match seat_for(&view.declaration, key).and_then(|(d, n)| view.seat_holder(d, n)) {
                Some(holder) => locate(view, holder.incarnation),
                None => Owner::Unreachable,
            }
        }
    }
}

fn locate(view: &View, owner: Incarnation) -> Owner {
    if owner == view.me.incarnation {
        return Owner::ThisHost;
    }
    view.host(owner).map_or(Owner::Unreachable, |h| Owner::OtherHost(owner, h.peer_address))
}

/// The failure domain and the seat that a caller-made id maps to.
pub fn seat_for(declaration: &Declaration, key: DedupKey) -> Option<(&str, u16)> {
    let domain =
        declaration.domains.values().max_by_key(|d| (rendezvous_weight(&d.name, key), &d.name))?;
    let (number, _) = key.0.split_first_chunk::<8>()?;
    let seat = u64::from_be_bytes(*number) % u64::from(domain.seats.max(1));
    Some((&domain.name, seat as u16))
}

fn rendezvous_weight(domain: &str, key: DedupKey) -> u64 {
    let hash = Sha256::new().chain_update(domain).chain_update(key.0).finalize();
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Decides which caller-made ids this host may run after a change of ownership.
///
/// When a host takes over a seat, or the declared seats change, an earlier owner may have run any id
/// created before, so this host does not run it. An earlier owner accepts no id further than
/// `MAX_CLOCK_LEAD` ahead of its clock, and it has stopped before the seat may be used or the change
/// is accepted.
#[derive(Clone, Debug, Default)]
pub struct SeatTakeover {
    /// Whether this host may use its seat now.
    is_usable: bool,
    /// The record under which this host last held its seat.
    held: Option<SeatHolder>,
    seats: Vec<(String, u16)>,
    /// Revision of the last change of the declared seats.
    seats_changed_in: Revision,
    /// Caller-made ids are run only if created after this time; none are run while it is not set.
    created_after: Option<UnixMillis>,
}

impl SeatTakeover {
    /// Applies a new view and detects changes of ownership; `unix` is this host's wall-clock time.
    pub fn install(&mut self, unix: UnixMillis, view: &View) {
        let held = view.seat.and_then(|n| view.seat_holder(&view.me.domain, n));
        self.is_usable = held.is_some();
        if held.is_some() && held != self.held.as_ref() {
            self.held = held.cloned();
            self.created_after = None;
        }
        let mut seats: Vec<_> =
            view.declaration.domains.values().map(|d| (d.name.clone(), d.seats)).collect();
        seats.sort();
        if seats != self.seats {
            self.seats = seats;
            self.seats_changed_in = view.revision;
            self.created_after = None;
        }
        if self.created_after.is_none() && self.is_usable && view.accepted >= self.seats_changed_in
        {
            self.created_after = Some(unix + (MAX_CLOCK_LEAD + MAX_CLOCK_SKEW).as_millis() as u64);
        }
    }

    /// Whether this host may run an id: no other host can have run it.
    pub fn may_run(&self, id: &AnyId) -> bool {
        match id {
            AnyId::Issued(_) => true,
            AnyId::CallerMade(id) => {
                self.is_usable
                    && self.created_after.is_some_and(|created_after| id.created_at > created_after)
            }
        }
    }
}
