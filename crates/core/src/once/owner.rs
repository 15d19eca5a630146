//! Who may run an id.
//!
//! The owner of an issued id is named in it. The owner of a caller's own id holds the seat that
//! the id maps to: a failure domain by rendezvous hash over the declared ones (Thaler and
//! Ravishankar 1998), then a seat of it. Neither depends on which hosts seem to be alive.

use std::{net::SocketAddr, time::Duration};

use sha2::{Digest, Sha256};

use super::{
    RunKey,
    id::{AnyId, MAX_AHEAD},
};
use crate::{
    config::{Revision, root::SeatHolder},
    declaration::Declaration,
    host::Incarnation,
    time::UnixMillis,
    view::View,
};

/// Largest difference between the wall clocks of two hosts.
pub const CLOCK_ERROR: Duration = Duration::from_secs(1);

/// Who may run an id, as far as this host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This life of this host.
    Me,
    /// A live host.
    Host(Incarnation, SocketAddr),
    /// A host that is not heard, or nobody.
    NotHeard,
}

/// The owner of an id.
pub fn owner(view: &View, id: &AnyId, key: RunKey) -> Owner {
    match id {
        AnyId::Issued(id) => locate(view, id.owner),
        AnyId::Own(_) => {
            match seat(&view.declaration, key).and_then(|(d, n)| view.seat_holder(d, n)) {
                Some(holder) => locate(view, holder.incarnation),
                None => Owner::NotHeard,
            }
        }
    }
}

fn locate(view: &View, owner: Incarnation) -> Owner {
    if owner == view.me.incarnation {
        return Owner::Me;
    }
    view.host(owner).map_or(Owner::NotHeard, |h| Owner::Host(owner, h.peer_address))
}

/// The failure domain and the seat that a caller's own id maps to.
pub fn seat(declaration: &Declaration, key: RunKey) -> Option<(&str, u16)> {
    let domain = declaration.domains.values().max_by_key(|d| (weight(&d.name, key), &d.name))?;
    let (number, _) = key.0.split_first_chunk::<8>()?;
    let seat = u64::from_be_bytes(*number) % u64::from(domain.seats.max(1));
    Some((&domain.name, seat as u16))
}

fn weight(domain: &str, key: RunKey) -> u64 {
    let hash = Sha256::new().chain_update(domain).chain_update(key.0).finalize();
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

/// Since when this host may run callers' own ids.
///
/// A host that takes a seat, or sees the declared seats change, runs none that was made before: an
/// earlier owner may have run it. An earlier owner accepts no id further than `MAX_AHEAD` ahead of
/// its clock, and it has stopped before the seat may be used or the change is accepted.
#[derive(Clone, Debug, Default)]
pub struct Takeover {
    /// Whether the seat may be used now.
    usable: bool,
    held: Option<SeatHolder>,
    seats: Vec<(String, u16)>,
    /// The revision by which the declared seats changed.
    changed: Revision,
    floor: Option<UnixMillis>,
}

impl Takeover {
    /// Compares a new view with what was held before; `unix` is this host's clock.
    pub fn install(&mut self, unix: UnixMillis, view: &View) {
        let held = view.seat.and_then(|n| view.seat_holder(&view.me.domain, n));
        self.usable = held.is_some();
        if held.is_some() && held != self.held.as_ref() {
            self.held = held.cloned();
            self.floor = None;
        }
        let mut seats: Vec<_> =
            view.declaration.domains.values().map(|d| (d.name.clone(), d.seats)).collect();
        seats.sort();
        if seats != self.seats {
            self.seats = seats;
            self.changed = view.revision;
            self.floor = None;
        }
        if self.floor.is_none() && self.usable && view.accepted >= self.changed {
            self.floor = Some(unix + (MAX_AHEAD + CLOCK_ERROR).as_millis() as u64);
        }
    }

    /// Whether no other host can have run an id of this host's seat.
    pub fn may_run(&self, id: &AnyId) -> bool {
        match id {
            AnyId::Issued(_) => true,
            AnyId::Own(id) => self.usable && self.floor.is_some_and(|floor| id.made > floor),
        }
    }
}
