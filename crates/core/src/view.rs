//! Snapshot of the configuration and the fleet that the control thread publishes to the traffic
//! threads.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    config::{LocalConfig, Revision, SeatHolder, root::Seats},
    declaration::Declaration,
    host::{HostInfo, Incarnation},
    rollout::RolloutRecords,
    time::Instant,
};

/// A live host of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveHost {
    /// Name of the host.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether lookups may return it to callers.
    pub accepts_callers: bool,
}

/// Immutable snapshot of the configuration and the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// This host.
    pub me: HostInfo,
    /// Revision of the configuration, 0 if there is none.
    pub revision: Revision,
    /// The declaration in force.
    pub declaration: Arc<Declaration>,
    /// The root record and the chunks of the declaration in force.
    pub config: Arc<LocalConfig>,
    /// The seat that this host holds in its failure domain and may use for keyed routes.
    pub seat: Option<u16>,
    /// The confirmed seat of this host by the revision in force. Open routes use it even after the
    /// authority of the host has ended.
    pub open_seat: Option<u16>,
    /// Instant at which the revision was proven to be the newest one, `None` without a seat. Later
    /// proofs are passed to [`crate::traffic::Traffic::record_proof`].
    pub proof: Option<Instant>,
    /// Holders of the seats of each failure domain, by name of the domain.
    pub seats: Arc<Seats>,
    /// Highest revision that is known to be accepted. No host uses a table of declared seats from
    /// an older revision.
    pub accepted: Revision,
    /// Live hosts including this one, in the order of their names.
    pub hosts: Vec<LiveHost>,
    /// Recorded versions and rollouts.
    pub rollout_records: Arc<RolloutRecords>,
    /// Whether this host is stopping.
    pub stopping: bool,
}

impl View {
    /// View of a host that has not received a configuration or any message.
    pub fn empty(me: HostInfo) -> Self {
        View {
            me,
            revision: 0,
            declaration: Arc::default(),
            config: Arc::default(),
            seat: None,
            open_seat: None,
            proof: None,
            seats: Arc::default(),
            accepted: 0,
            hosts: Vec::new(),
            rollout_records: Arc::default(),
            stopping: false,
        }
    }

    /// The holder of a seat in the revision in force.
    ///
    /// While the holder is not confirmed, no host may use the seat.
    pub fn seat_holder(&self, domain: &str, seat: u16) -> Option<&SeatHolder> {
        self.seats.get(domain)?.get(usize::from(seat))?.as_ref()
    }

    /// Whether a host holds a confirmed seat. Only such a host serves keyed routes.
    pub fn has_confirmed_seat(&self, host: &LiveHost) -> bool {
        let domain_seats = self.seats.get(&host.domain);
        let mut holders = domain_seats.into_iter().flatten().flatten();
        holders.any(|s| s.incarnation == host.incarnation && s.is_confirmed())
    }

    /// The live host with this incarnation.
    pub fn host(&self, incarnation: Incarnation) -> Option<&LiveHost> {
        self.hosts.iter().find(|h| h.incarnation == incarnation)
    }
}

/// Whether a host has authority at `now`: `authority` is the time for which a proof is valid.
pub fn holds_authority(now: Instant, proof: Option<Instant>, authority: Duration) -> bool {
    proof.is_some_and(|proof| now <= proof + authority)
}
