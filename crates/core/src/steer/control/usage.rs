//! Hosts that take part in the usage reports: candidates for the duty, and the relays that keep the
//! counts of their failure domain.

use std::net::SocketAddr;

use super::{ControlState, peers::highest_ranked, relays::RELAYS};
use crate::{host::Incarnation, steer::stable_hash, time::Instant};

/// Number of hosts that try to get the duty when it is free.
const CANDIDATES: usize = 3;
/// Seed of the hash by which candidates are ranked.
const CANDIDATE_SEED: u64 = 10;

/// Relays of a failure domain, as the holder of the duty queries them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageDomain {
    /// Name of the failure domain.
    pub zone: String,
    /// Peer addresses of its relays, without this host.
    pub relays: Vec<SocketAddr>,
    /// Whether this host is one of its relays.
    pub is_local: bool,
}

impl ControlState {
    /// Whether this host is one of those that try to get the duty: the highest-ranked by hash of all
    /// reachable hosts. The rank does not bear on correctness.
    pub fn is_usage_candidate(&self) -> bool {
        let rank = |incarnation: Incarnation| {
            (stable_hash(CANDIDATE_SEED, &incarnation.0.to_le_bytes()), incarnation)
        };
        let own = rank(self.view.local_host.incarnation);
        let others = self.view.peers.iter().filter(|p| p.is_reachable && p.ready);
        others.filter(|p| rank(p.host.incarnation) > own).count() < CANDIDATES
    }

    /// Returns the addresses to which this host sends its counts.
    pub fn usage_receivers(&self, now: Instant) -> Vec<SocketAddr> {
        let relays = self.relays_of(now, &self.view.local_host.zone);
        let others = relays.into_iter().filter(|h| **h != self.view.local_host);
        others.map(|h| h.peer_address).collect()
    }

    /// Returns the failure domains that have hosts, with their relays.
    pub fn usage_domains(&self, now: Instant) -> Vec<UsageDomain> {
        let mut domains: Vec<UsageDomain> =
            self.view.zone_regions.keys().filter_map(|zone| self.usage_domain(now, zone)).collect();
        domains.sort_by(|a, b| a.zone.cmp(&b.zone));
        domains
    }

    fn usage_domain(&self, now: Instant, zone: &str) -> Option<UsageDomain> {
        let local = &self.view.local_host;
        let is_in_region = self.view.zone_regions.get(zone) == Some(&self.view.region);
        let relays: Vec<_> = if is_in_region {
            self.relays_of(now, zone)
        } else {
            let hosts = self.view.peers.iter().filter(|p| p.host.zone == zone && p.is_reachable);
            highest_ranked(hosts.map(|p| (&p.host, p.ready)), RELAYS).collect()
        };
        let is_local = relays.iter().any(|h| **h == *local);
        let mut addresses: Vec<SocketAddr> =
            relays.iter().filter(|h| **h != local).map(|h| h.peer_address).collect();
        if relays.is_empty() {
            // No state of these hosts arrives; a direct connection may still be possible.
            let hosts = self.view.peers.iter().filter(|p| p.host.zone == zone);
            let hosts = highest_ranked(hosts.map(|p| (&p.host, p.ready)), RELAYS);
            addresses = hosts.map(|h| h.peer_address).collect();
        }
        let has_hosts = is_local || !addresses.is_empty();
        has_hosts.then(|| UsageDomain { zone: zone.to_owned(), relays: addresses, is_local })
    }
}
