//! Relays: the hosts of a failure domain that exchange digests with the rest of the region.
//!
//! The other hosts of the failure domain, the followers, send their digests to its relays. The
//! aggregators, the highest-ranked of the relays, add up the digests of the followers.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::{
    ControlState,
    peers::{PeerState, highest_ranked},
};
use crate::{
    host::Incarnation,
    steer::{
        digest::{AggregateScope, Announcement, Digest},
        position::StorePosition,
    },
    time::Instant,
};

/// Number of relays of a failure domain.
pub(super) const RELAYS: usize = 3;
/// Number of further unreachable hosts of a failure domain that a relay contacts in each turn, in
/// rotation.
const ROTATING_CONTACTS: usize = 8;
/// Number of relays of a failure domain that send its followers the sum of the region, and the
/// region the sum of the followers.
const AGGREGATORS: usize = 2;
/// Turns between two digests of a follower.
const FOLLOWER_TURNS: u64 = 2;
/// Turns between two digests from one aggregator to its followers. Aggregators take turns.
const REGION_SUM_TURNS: u64 = 4;
/// Time for which the announcement of a new host is passed on. After that, all hosts have read it
/// from the store.
const NEW_HOST_PERIOD: Duration = Duration::from_secs(10);
/// Turns between two summaries of a region that has followers.
const LARGE_SUMMARY_TURNS: u64 = 2;

/// Digests that are due in a turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueDigests {
    /// Hosts that receive this host's own digest.
    pub own: Vec<SocketAddr>,
    /// Followers whose sum is added to this host's own digest; empty if this host adds none.
    pub followers: Vec<Incarnation>,
    /// Followers that receive the sum of the region.
    pub region_sum: Vec<(Incarnation, SocketAddr)>,
    /// Whether the summary for other regions is due, if this host sends one.
    pub region_summary: bool,
}

/// State whose changes other hosts need at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UrgentState {
    /// Running hosts of the region, and whether they accept new callers.
    pub readiness: Vec<(Incarnation, bool)>,
    /// Fingerprint of the operators' data.
    pub operator_data: u64,
    /// Positions of the rollout orders whose versions are faulty.
    pub faulty_orders: BTreeSet<StorePosition>,
    /// Errors of new versions that this host has counted.
    pub canary_errors: u32,
}

impl ControlState {
    /// Returns the digests that this host has to send in a turn. Turns are counted from the start of
    /// the process. All digests are due when urgent state has changed.
    pub fn due_digests(&mut self, now: Instant, turn: u64, urgent: UrgentState) -> DueDigests {
        let has_changed = urgent != self.last_urgent;
        self.last_urgent = urgent;
        let region_summary = has_changed || self.is_region_summary_due(turn);
        DueDigests { region_summary, ..self.digests_of_turn(now, turn, has_changed) }
    }

    /// Whether this host has not sent this verdict yet.
    pub fn is_unsent_verdict(&self, faulty_orders: &BTreeSet<StorePosition>) -> bool {
        !faulty_orders.is_subset(&self.last_urgent.faulty_orders)
    }

    fn digests_of_turn(&self, now: Instant, turn: u64, has_changed: bool) -> DueDigests {
        let own_zone = &self.view.local_host.zone;
        let own_relays = self.relays_of(now, own_zone);
        let own_rank = own_relays.iter().position(|h| **h == self.view.local_host);
        let Some(rank) = own_rank else {
            let own = own_relays.iter().map(|h| h.peer_address).collect();
            let is_due = has_changed || turn.is_multiple_of(FOLLOWER_TURNS);
            return DueDigests { own: if is_due { own } else { Vec::new() }, ..Default::default() };
        };
        let mut own = Vec::new();
        for zone in self.zones_of_region() {
            own.extend(self.relay_contacts(now, zone, turn));
        }
        if rank >= AGGREGATORS {
            return DueDigests { own, ..Default::default() };
        }
        let senders = || self.hosts_of(own_zone).filter(|p| p.sends_digests(now));
        let followers = senders().filter(|p| !p.is_relay);
        // A host that has just started may take itself for a relay until it gets its first sum.
        let receivers = senders().filter(|p| !p.is_relay || !own_relays.contains(&&p.host));
        let offset = rank as u64 * (REGION_SUM_TURNS / AGGREGATORS as u64);
        let is_sum_due = has_changed || (turn + offset).is_multiple_of(REGION_SUM_TURNS);
        DueDigests {
            own,
            followers: followers.map(|p| p.host.incarnation).collect(),
            region_sum: receivers
                .filter(|_| is_sum_due)
                .map(|p| (p.host.incarnation, p.host.peer_address))
                .collect(),
            ..Default::default()
        }
    }

    /// Whether this host is a relay of its failure domain.
    pub fn is_relay(&self, now: Instant) -> bool {
        let relays = self.relays_of(now, &self.view.local_host.zone);
        relays.iter().any(|h| **h == self.view.local_host)
    }

    /// Whether summaries for other regions are due in a turn: in a region with followers less often,
    /// because its summaries are larger.
    fn is_region_summary_due(&self, turn: u64) -> bool {
        let has_followers = self.zones_of_region().any(|zone| {
            let local_count = usize::from(self.view.local_host.zone == zone);
            self.hosts_of(zone).count() + local_count > RELAYS
        });
        !has_followers || turn.is_multiple_of(LARGE_SUMMARY_TURNS)
    }

    /// Whether the sum in a digest covers hosts whose own digests do not arrive here. The followers of
    /// this host's failure domain send theirs to all its relays.
    pub fn counts_aggregate(&self, digest: &Digest) -> bool {
        let is_own_zone = digest.sender.zone == self.view.local_host.zone;
        let scope = digest.aggregate.as_ref().map(|a| a.scope);
        scope.is_some_and(|scope| scope == AggregateScope::Region || !is_own_zone)
    }

    /// Returns all hosts of this host's failure domain whose digests arrive here, and whether they
    /// accept new callers.
    pub fn zone_readiness(&self, now: Instant) -> Vec<(Incarnation, bool)> {
        self.readiness(self.hosts_of(&self.view.local_host.zone).filter(|p| p.sends_digests(now)))
    }

    /// Returns all hosts of the region whose digests arrive here or at relays of their failure domain,
    /// and whether they accept new callers.
    pub fn region_readiness(&self, now: Instant) -> Vec<(Incarnation, bool)> {
        let in_region = self.peers.values().filter(|p| self.is_in_region(p));
        let mut readiness = self.readiness(in_region.filter(|p| p.is_reported(now)));
        readiness.sort_unstable();
        readiness
    }

    fn readiness<'a>(
        &self,
        others: impl Iterator<Item = &'a PeerState>,
    ) -> Vec<(Incarnation, bool)> {
        let this_host = (self.view.local_host.incarnation, self.view.is_ready());
        others.map(|p| (p.host.incarnation, p.ready)).chain([this_host]).collect()
    }

    /// Returns those of the hosts that this host has known for a short time only. Other hosts may not
    /// have them in their list from the store yet.
    pub fn new_hosts(&self, now: Instant, hosts: &[(Incarnation, bool)]) -> Vec<Announcement> {
        let known = hosts.iter().filter_map(|(host, _)| self.peers.get(host));
        let is_new = |p: &&PeerState| now.saturating_since(p.known_since) <= NEW_HOST_PERIOD;
        known.filter(is_new).map(|p| p.host.clone()).collect()
    }

    /// Returns the relays of a failure domain of this region among the hosts that are reachable.
    pub(super) fn relays_of<'a>(&'a self, now: Instant, zone: &'a str) -> Vec<&'a Announcement> {
        let local = (self.view.local_host.zone == zone)
            .then_some((&self.view.local_host, self.view.is_ready()));
        let reachable = self.hosts_of(zone).filter(|p| p.is_reachable(now));
        let hosts = reachable.map(|p| (&p.host, p.ready)).chain(local);
        highest_ranked(hosts, RELAYS).collect()
    }

    /// Returns the addresses in a failure domain to which a relay sends its digest. Unreachable hosts
    /// of its own failure domain are contacted as well, because two groups there may each have chosen
    /// relays without knowing of the other, and so are those of a failure domain with few reachable
    /// hosts. A host that reaches none in its own failure domain contacts all.
    fn relay_contacts(&self, now: Instant, zone: &str, turn: u64) -> Vec<SocketAddr> {
        let relays = self.relays_of(now, zone);
        let is_own_zone = self.view.local_host.zone == zone;
        let mut unreachable: Vec<(&Announcement, bool)> = self
            .hosts_of(zone)
            .filter(|p| !p.is_reachable(now))
            .map(|p| (&p.host, p.ready))
            .collect();
        let is_alone = is_own_zone && relays.len() == 1;
        let mut contacts: Vec<&Announcement> =
            relays.iter().copied().filter(|h| **h != self.view.local_host).collect();
        let missing = RELAYS.saturating_sub(relays.len());
        if is_alone {
            contacts.extend(unreachable.iter().map(|(host, _)| *host));
        } else if (missing > 0 || is_own_zone) && !unreachable.is_empty() {
            contacts.extend(highest_ranked(unreachable.iter().copied(), missing));
            unreachable.sort_by_key(|(host, _)| host.incarnation);
            let offset = turn as usize * ROTATING_CONTACTS % unreachable.len();
            let rotated = unreachable.iter().cycle().skip(offset).take(unreachable.len());
            let rotated = rotated.map(|(host, _)| *host).filter(|h| !contacts.contains(h));
            let further: Vec<&Announcement> = rotated.take(ROTATING_CONTACTS).collect();
            contacts.extend(further);
        }
        contacts.into_iter().map(|h| h.peer_address).collect()
    }

    fn hosts_of<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a PeerState> {
        self.peers.values().filter(move |p| p.host.zone == zone)
    }

    fn zones_of_region(&self) -> impl Iterator<Item = &str> {
        let zones = self.view.zone_regions.iter();
        zones.filter(|(_, region)| **region == self.view.region).map(|(zone, _)| zone.as_str())
    }
}
