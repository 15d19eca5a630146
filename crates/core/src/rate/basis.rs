//! Shares of a seat while a change of the declaration is on its way.
//!
//! Until a change is accepted, some holder may still act on an older declaration. A seat therefore
//! uses the smallest of its shares in the last accepted declaration and in all later ones; what the
//! change adds is used once the change is accepted, when every holder has left the older ones.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use super::Share;
use crate::{
    config::Revision, declaration::Declaration, host::Incarnation, time::Instant, view::View,
};

/// Declarations that are kept while they wait for acceptance.
const MAX_PENDING: usize = 16;

/// What the rates need to know of the configuration and the fleet.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Highest revision that is known to be accepted.
    pub accepted: Revision,
    /// Revision that brought the limits in force.
    pub declared: Revision,
    /// Revision that brought the limits before them.
    pub declared_before: Revision,
    /// The declaration in force.
    pub declaration: Arc<Declaration>,
    /// Name of this host's failure domain.
    pub domain: String,
    /// The seat that this host may use.
    pub seat: Option<u16>,
    /// Until when this host may use what its seat owns.
    pub usable_until: Instant,
    /// The other holders of seats, by name of the failure domain and seat.
    pub holders: HashMap<(String, u16), Holder>,
}

/// A host that holds a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Its life.
    pub incarnation: Incarnation,
    /// Its peer address.
    pub address: SocketAddr,
}

impl Standing {
    /// What a view says of it.
    pub fn of(view: &View) -> Self {
        let taken = view.seats.iter().flat_map(|(domain, row)| {
            let held = row.iter().enumerate();
            held.filter_map(move |(n, s)| Some((domain, n as u16, s.as_ref()?)))
        });
        let others =
            taken.filter(|(_, _, s)| s.is_confirmed() && s.incarnation != view.me.incarnation);
        let holders = others.map(|(domain, seat, s)| {
            let holder = Holder { incarnation: s.incarnation, address: s.peer_address };
            ((domain.clone(), seat), holder)
        });
        let limits = &view.held.root.limits;
        let authority = view.declaration.longest_authority();
        Standing {
            accepted: view.accepted,
            declared: limits.since,
            declared_before: limits.before,
            declaration: Arc::clone(&view.declaration),
            domain: view.me.domain.clone(),
            seat: view.seat,
            usable_until: view.proof.map_or(Instant::ZERO, |proof| proof + authority),
            holders: holders.collect(),
        }
    }
}

/// The declarations that may be in force somewhere.
#[derive(Clone, Debug, Default)]
pub(super) struct Basis {
    entries: Vec<Entry>,
    /// A declaration was missed: no share is known to be safe before this revision is accepted.
    unknown_until: Option<Revision>,
}

#[derive(Clone, Debug)]
struct Entry {
    declared: Revision,
    declaration: Arc<Declaration>,
}

impl Basis {
    /// Takes in the declaration in force and what is accepted.
    pub fn note(&mut self, standing: &Standing) {
        let Standing { declared, declared_before, accepted, .. } = *standing;
        match self.entries.last_mut() {
            Some(last) if last.declared == declared => {
                last.declaration = Arc::clone(&standing.declaration)
            }
            last => {
                let missed = last.is_none_or(|last| last.declared < declared_before);
                if missed || self.entries.len() >= MAX_PENDING {
                    self.unknown_until = Some(declared);
                    self.entries.clear();
                }
                self.entries
                    .push(Entry { declared, declaration: Arc::clone(&standing.declaration) });
            }
        }
        let settled = self.entries.iter().rposition(|e| e.declared <= accepted).unwrap_or(0);
        self.entries.drain(..settled);
        if self.unknown_until.is_some_and(|revision| revision <= accepted) {
            self.unknown_until = None;
        }
    }

    /// Whether some share is known for certain.
    pub fn is_known(&self) -> bool {
        self.unknown_until.is_none()
    }

    /// What a seat owns of a workspace for certain.
    pub fn share(&self, domain: &str, seat: u16, workspace: &str) -> Share {
        if self.unknown_until.is_some() {
            return Share::default();
        }
        let shares = self.entries.iter().map(|e| share_in(&e.declaration, domain, seat, workspace));
        shares.reduce(Share::min).unwrap_or_default()
    }
}

fn share_in(declaration: &Declaration, domain: &str, seat: u16, workspace: &str) -> Share {
    let found = || {
        let domain = declaration.domain(domain)?;
        let homes = declaration.homes_of(*declaration.workspace_names.get(workspace)?);
        homes.iter().find(|h| h.domain == domain && h.seat == seat).map(|h| h.share)
    };
    found().unwrap_or_default()
}
