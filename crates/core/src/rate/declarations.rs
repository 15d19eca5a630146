//! Shares of a seat while a change of the declaration is being rolled out.
//!
//! Until a change is accepted, some holder may still use an older declaration. A seat therefore uses
//! the smallest of its shares in the last accepted declaration and in all later ones. An increase
//! takes effect once the change is accepted, when no holder uses an older declaration.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use super::Share;
use crate::{
    config::Revision, declaration::Declaration, host::Incarnation, time::Instant, view::View,
};

/// Largest number of declarations stored until they are accepted; with more, one counts as missed.
const MAX_PENDING_DECLARATIONS: usize = 16;

/// The parts of the configuration and the fleet state that rate limiting depends on.
#[derive(Clone, Debug)]
pub struct RateContext {
    /// Highest revision that this host has seen accepted.
    pub accepted: Revision,
    /// Revision that introduced the limits in force.
    pub limits_revision: Revision,
    /// Revision that introduced the limits before those in force.
    pub previous_limits_revision: Revision,
    /// The declaration in force.
    pub declaration: Arc<Declaration>,
    /// Name of this host's failure domain.
    pub domain: String,
    /// The seat that this host may use.
    pub seat: Option<u16>,
    /// When this host's authority to use the shares of its seat ends.
    pub authority_until: Instant,
    /// Other holders of seats, by failure domain and seat.
    pub holders: HashMap<(String, u16), Holder>,
}

/// A host that holds a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Peer address of the host.
    pub address: SocketAddr,
}

impl RateContext {
    /// Extracts the context from a view.
    pub fn from_view(view: &View) -> Self {
        let occupied_seats = view.seats.iter().flat_map(|(domain, row)| {
            let row_seats = row.iter().enumerate();
            row_seats.filter_map(move |(n, s)| Some((domain, n as u16, s.as_ref()?)))
        });
        let others = occupied_seats
            .filter(|(_, _, s)| s.is_confirmed() && s.incarnation != view.me.incarnation);
        let holders = others.map(|(domain, seat, s)| {
            let holder = Holder { incarnation: s.incarnation, address: s.peer_address };
            ((domain.clone(), seat), holder)
        });
        let limits = &view.config.root.limits;
        let authority = view.declaration.longest_authority();
        RateContext {
            accepted: view.accepted,
            limits_revision: limits.since,
            previous_limits_revision: limits.before,
            declaration: Arc::clone(&view.declaration),
            domain: view.me.domain.clone(),
            seat: view.seat,
            authority_until: view.proof.map_or(Instant::ZERO, |proof| proof + authority),
            holders: holders.collect(),
        }
    }
}

/// Declarations that some host may still use, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingDeclarations {
    entries: Vec<PendingDeclaration>,
    /// Set when a declaration was missed: no share is safe to use until this revision is accepted.
    unknown_until: Option<Revision>,
}

#[derive(Clone, Debug)]
struct PendingDeclaration {
    limits_revision: Revision,
    declaration: Arc<Declaration>,
}

impl PendingDeclarations {
    /// Adds the declaration in force and drops those that acceptance has made obsolete.
    pub fn update(&mut self, context: &RateContext) {
        let RateContext { limits_revision, previous_limits_revision, accepted, .. } = *context;
        match self.entries.last_mut() {
            Some(last) if last.limits_revision == limits_revision => {
                last.declaration = Arc::clone(&context.declaration)
            }
            last => {
                let missed =
                    last.is_none_or(|last| last.limits_revision < previous_limits_revision);
                if missed || self.entries.len() >= MAX_PENDING_DECLARATIONS {
                    self.unknown_until = Some(limits_revision);
                    self.entries.clear();
                }
                self.entries.push(PendingDeclaration {
                    limits_revision,
                    declaration: Arc::clone(&context.declaration),
                });
            }
        }
        let obsolete =
            self.entries.iter().rposition(|e| e.limits_revision <= accepted).unwrap_or(0);
        self.entries.drain(..obsolete);
        if self.unknown_until.is_some_and(|revision| revision <= accepted) {
            self.unknown_until = None;
        }
    }

    /// Whether shares can be determined, which is not so after a missed declaration.
    pub fn is_known(&self) -> bool {
        self.unknown_until.is_none()
    }

    /// The share of a workspace that a seat may use under all these declarations.
    pub fn share(&self, domain: &str, seat: u16, workspace: &str) -> Share {
        if self.unknown_until.is_some() {
            return Share::default();
        }
        let shares =
            self.entries.iter().map(|e| declared_share(&e.declaration, domain, seat, workspace));
        shares.reduce(Share::min).unwrap_or_default()
    }
}

fn declared_share(declaration: &Declaration, domain: &str, seat: u16, workspace: &str) -> Share {
    let lookup = || {
        let domain = declaration.domain(domain)?;
        let homes = declaration.homes_of(*declaration.workspace_names.get(workspace)?);
        homes.iter().find(|h| h.domain == domain && h.seat == seat).map(|h| h.share)
    };
    lookup().unwrap_or_default()
}
