//! What the control thread publishes for the traffic threads.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use crate::{
    config::{Revision, root::SeatHolder},
    host::{HostInfo, Incarnation},
    rollout::Records,
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
    /// The seat that this host holds in its failure domain.
    pub seat: Option<u16>,
    /// Holders of the seats of each failure domain, by name of the domain.
    pub seats: Arc<BTreeMap<String, Vec<Option<SeatHolder>>>>,
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
            seat: None,
            seats: Arc::default(),
            accepted: 0,
            hosts: Vec::new(),
            rollouts: Arc::default(),
            stopping: false,
        }
    }

    /// The holder of a seat.
    pub fn seat_holder(&self, domain: &str, seat: u16) -> Option<&SeatHolder> {
        self.seats.get(domain)?.get(usize::from(seat))?.as_ref()
    }

    /// The live host with this life.
    pub fn host(&self, incarnation: Incarnation) -> Option<&LiveHost> {
        self.hosts.iter().find(|h| h.incarnation == incarnation)
    }
}
