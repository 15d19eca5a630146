//! What the control thread publishes for the traffic threads.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    config::{LocalConfig, Revision, SeatHolder, root::Seats},
    host::{HostInfo, Incarnation},
    rollout::Records,
    time::Instant,
    world::World,
};

/// A host that callers can be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveHost {
    /// Name of the host.
    pub name: String,
    /// Failure domain that it stands in.
    pub domain: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it takes new callers.
    pub taking: bool,
}

/// An immutable picture of the configuration and the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// This host.
    pub me: HostInfo,
    /// Revision of the configuration, 0 when there is none.
    pub revision: Revision,
    /// The declaration in force.
    pub world: Arc<World>,
    /// The root record and the chunks of the declaration in force.
    pub config: Arc<LocalConfig>,
    /// The seat that this host holds in its failure domain and may use for keyed routes.
    pub seat: Option<u16>,
    /// The seat that it holds by the revision in force, also while its authority has ended: open
    /// routes go on by it.
    pub open_seat: Option<u16>,
    /// Instant at which the revision was proven to be the newest one, none without a seat. Later
    /// proofs come by [`crate::traffic::Traffic::record_proof`].
    pub proof: Option<Instant>,
    /// Holders of the seats of each failure domain, by name of the domain.
    pub seats: Arc<Seats>,
    /// The highest revision that is known to be accepted: no host acts by a table of declared seats
    /// that is older than it.
    pub accepted: Revision,
    /// Hosts heard lately, this one included, in the order of their names.
    pub hosts: Vec<LiveHost>,
    /// Recorded steps of the moves between versions.
    pub rollouts: Arc<Records>,
    /// Whether this host is stopping.
    pub stopping: bool,
}

impl View {
    /// The view of a host that has heard nothing yet.
    pub fn empty(me: HostInfo) -> Self {
        View {
            me,
            revision: 0,
            world: Arc::default(),
            config: Arc::default(),
            seat: None,
            open_seat: None,
            proof: None,
            seats: Arc::default(),
            accepted: 0,
            hosts: Vec::new(),
            rollouts: Arc::default(),
            stopping: false,
        }
    }

    /// The holder of a seat, as of the revision in force.
    ///
    /// A holder that is not confirmed may not use the seat yet: nobody may.
    pub fn seat_holder(&self, domain: &str, seat: u16) -> Option<&SeatHolder> {
        self.seats.get(domain)?.get(usize::from(seat))?.as_ref()
    }

    /// Whether a host holds a seat that it may use: only such a host serves keyed routes.
    pub fn has_seat(&self, host: &LiveHost) -> bool {
        let row = self.seats.get(&host.domain);
        let mut holders = row.into_iter().flatten().flatten();
        holders.any(|s| s.incarnation == host.incarnation && s.is_confirmed())
    }

    /// The live host with this life.
    pub fn host(&self, incarnation: Incarnation) -> Option<&LiveHost> {
        self.hosts.iter().find(|h| h.incarnation == incarnation)
    }
}

/// Whether a host with this proof may still act for `authority` after it.
pub fn holds_authority(now: Instant, proof: Option<Instant>, authority: Duration) -> bool {
    proof.is_some_and(|proof| now <= proof + authority)
}
