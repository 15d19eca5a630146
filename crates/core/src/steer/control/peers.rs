//! Other hosts: which are reachable, which read the store and which send summaries to other
//! regions.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use super::ControlState;
use crate::{
    steer::{
        digest::{Announcement, Digest, RegionSummary, StoreProgress, TrafficStats},
        stable_hash,
        view::Peer,
    },
    time::Instant,
};

/// Time without a digest after which a host counts as unreachable, so that callers are no longer
/// sent to it.
const PEER_TIMEOUT: Duration = Duration::from_millis(1300);
/// Time without a digest after which a host that is not listed in the store is removed.
const UNLISTED_PEER_TTL: Duration = Duration::from_secs(6);
/// Maximum number of other hosts whose addresses a digest contains.
const MAX_KNOWN_HOSTS: usize = 3;
/// Number of hosts in a region that read the store for the others.
const STORE_READERS: usize = 2;
/// Number of hosts in a region that exchange summaries with the other regions.
const GATEWAYS: usize = 2;

#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub(super) host: Announcement,
    pub(super) ready: bool,
    pub(super) last_digest_at: Option<Instant>,
    /// Whether the store holds an announcement of the host.
    pub(super) is_listed: bool,
    pub(super) reaches_store: bool,
    /// When the host itself last read the store.
    pub(super) store_read_at: Option<Instant>,
    pub(super) operator_revision: u64,
    pub(super) server_revision: u64,
}

/// Access of this host to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreStatus {
    /// Whether the last read of the store succeeded.
    pub is_reachable: bool,
    /// Milliseconds since this host itself last read the store.
    pub read_age_ms: Option<u32>,
}

impl ControlState {
    /// Adds a host that is announced in the store.
    pub(super) fn add_listed_host(&mut self, now: Instant, host: Announcement) {
        if host.incarnation == self.view.local_host.incarnation {
            return;
        }
        self.remove_earlier_incarnations(&host);
        let incarnation = host.incarnation;
        let peer = self.peers.entry(incarnation).or_insert_with(|| PeerState {
            host,
            ready: false,
            last_digest_at: None,
            is_listed: true,
            reaches_store: true,
            store_read_at: None,
            operator_revision: 0,
            server_revision: 0,
        });
        peer.is_listed = true;
        self.update_view_peers(now);
    }

    /// Removes earlier incarnations of a host: other entries with the same caller address.
    fn remove_earlier_incarnations(&mut self, host: &Announcement) {
        self.peers.retain(|incarnation, p| {
            *incarnation == host.incarnation || p.host.caller_address != host.caller_address
        });
    }

    /// Applies the digest of another host of the region.
    pub fn receive_digest(&mut self, now: Instant, digest: &Digest) {
        let host = &digest.sender;
        if host.incarnation == self.view.local_host.incarnation {
            return;
        }
        let is_new = !self.peers.contains_key(&host.incarnation);
        if is_new {
            self.remove_earlier_incarnations(host);
        }
        let peer = self.peers.entry(host.incarnation).or_insert_with(|| PeerState {
            host: host.clone(),
            ready: digest.ready,
            last_digest_at: None,
            is_listed: false,
            reaches_store: true,
            store_read_at: None,
            operator_revision: 0,
            server_revision: 0,
        });
        let before = (peer.ready, peer.last_digest_at.is_some_and(|at| now <= at + PEER_TIMEOUT));
        peer.last_digest_at = Some(now);
        peer.ready = digest.ready;
        peer.reaches_store = digest.reaches_store;
        let age = digest.store_read_age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        peer.store_read_at = age.map(|age| now - age);
        peer.operator_revision = peer.operator_revision.max(digest.progress.operator_revision);
        peer.server_revision = peer.server_revision.max(digest.progress.server_revision);
        self.merge_rollout_progress(&digest.progress);
        for summary in &digest.region_summaries {
            self.region_summaries.insert(now, summary);
            self.merge_rollout_progress(&summary.progress);
        }
        if is_new || before != (digest.ready, true) {
            self.update_view_peers(now);
        }
    }

    /// Applies a summary that a host of another region sent to this host.
    pub fn receive_region_summary(&mut self, now: Instant, summary: RegionSummary) {
        if summary.region == self.view.region {
            return;
        }
        self.merge_rollout_progress(&summary.progress);
        self.region_summaries.insert(now, &summary);
        self.received_summaries.insert((summary.region.clone(), summary.sender), (now, summary));
    }

    /// Applies timeouts; called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.region_summaries.expire(now);
        self.received_summaries.retain(|_, (at, _)| now.saturating_since(*at) <= PEER_TIMEOUT);
        self.peers.retain(|_, p| {
            p.is_listed
                || p.last_digest_at.is_some_and(|at| now.saturating_since(at) < UNLISTED_PEER_TTL)
        });
        self.update_view_peers(now);
        self.update_regular_versions(now);
    }

    /// Recomputes the peers in the view.
    fn update_view_peers(&mut self, now: Instant) {
        let zones = &self.view.zone_regions;
        let mut peers: Vec<Peer> = Vec::with_capacity(self.peers.len());
        for state in self.peers.values() {
            let region = zones.get(&state.host.zone).cloned().unwrap_or_default();
            let (ready, is_reachable) = if region == self.view.region {
                (state.ready, state.last_digest_at.is_some_and(|at| now <= at + PEER_TIMEOUT))
            } else {
                let hosts = self.region_summaries.get(now, &region).map(|s| s.hosts.as_slice());
                let incarnation = state.host.incarnation;
                let found = hosts.unwrap_or_default().iter().find(|(host, _)| *host == incarnation);
                (found.is_some_and(|(_, ready)| *ready), found.is_some())
            };
            peers.push(Peer { host: state.host.clone(), region, ready, is_reachable });
        }
        peers.sort_by_key(|p| p.host.incarnation);
        if peers != *self.view.peers {
            self.view.peers = Arc::new(peers);
            self.is_view_changed = true;
        }
    }

    /// Builds the digest for the other hosts of the region.
    pub fn build_digest(
        &mut self,
        progress: StoreProgress,
        store: StoreStatus,
        in_flight: Vec<(u32, u32)>,
        stats: TrafficStats,
    ) -> Digest {
        self.sequence += 1;
        let addresses =
            self.peers.values().filter(|p| p.last_digest_at.is_some()).map(|p| p.host.peer_address);
        let offset = self.sequence as usize % self.peers.len().max(1);
        Digest {
            sender: self.view.local_host.clone(),
            ready: self.view.is_ready(),
            reaches_store: store.is_reachable,
            store_read_age_ms: store.read_age_ms,
            progress,
            in_flight,
            stats,
            region_summaries: self.newest_received_summaries(),
            known_hosts: addresses.skip(offset).take(MAX_KNOWN_HOSTS).collect(),
        }
    }

    /// Returns the newest summary of each region among those that this host received directly.
    fn newest_received_summaries(&self) -> Vec<RegionSummary> {
        let mut newest: HashMap<&str, &(Instant, RegionSummary)> = HashMap::new();
        for ((region, _), received) in &self.received_summaries {
            let newest_of_region = newest.entry(region).or_insert(received);
            if newest_of_region.0 < received.0 {
                *newest_of_region = received;
            }
        }
        newest.into_values().map(|(_, summary)| summary.clone()).collect()
    }

    /// Builds the summary for the other regions, with the addresses that it should be sent to.
    ///
    /// While no summary of a region arrives, every host sends to it, since the gateways may have no
    /// connection to it.
    pub fn build_region_summary(
        &mut self,
        now: Instant,
        progress: StoreProgress,
        stats: TrafficStats,
    ) -> (RegionSummary, Vec<SocketAddr>) {
        self.sequence += 1;
        let same_region = || self.view.peers.iter().filter(|p| p.region == self.view.region);
        let this_host = (self.view.local_host.incarnation, self.view.is_ready());
        let reachable =
            same_region().filter(|p| p.is_reachable).map(|p| (p.host.incarnation, p.ready));
        let summary = RegionSummary {
            region: self.view.region.clone(),
            sender: self.view.local_host.incarnation,
            sender_address: self.view.local_host.peer_address,
            sequence: self.sequence,
            hosts: reachable.chain([this_host]).collect(),
            unreachable_hosts: same_region().filter(|p| !p.is_reachable).count() as u32,
            progress,
            stats,
        };
        let hosts = same_region()
            .filter(|p| p.is_reachable)
            .map(|p| &p.host)
            .chain([&self.view.local_host]);
        let is_gateway = highest_ranked(hosts, GATEWAYS).any(|h| *h == self.view.local_host);
        let mut targets = Vec::new();
        for region in self.view.regions.iter().filter(|r| **r != self.view.region) {
            let has_summary = self.region_summaries.get(now, region).is_some();
            if !is_gateway && has_summary {
                continue;
            }
            let hosts = self.view.peers.iter().filter(|p| p.region == *region);
            let hosts = hosts.filter(|p| p.is_reachable || !has_summary).map(|p| &p.host);
            let count = GATEWAYS + usize::from(!has_summary);
            let known: Vec<SocketAddr> =
                highest_ranked(hosts, count).map(|h| h.peer_address).collect();
            // A host that started while the store was unreachable has no list of hosts; it answers
            // the hosts that sent it summaries.
            let senders = self.received_summaries.values().map(|(_, summary)| summary);
            let senders = senders.filter(|s| s.region == *region && known.len() < GATEWAYS);
            let senders = senders.map(|s| s.sender_address).filter(|a| !known.contains(a));
            targets.extend(senders.collect::<Vec<_>>());
            targets.extend(known);
        }
        (summary, targets)
    }

    /// Whether this host should read the store for the others of its region. A host that cannot
    /// reach the store keeps trying.
    pub fn is_store_reader(&self, now: Instant, reaches_store: bool) -> bool {
        let same_region = self.peers.values().filter(|p| {
            p.last_digest_at.is_some_and(|at| now <= at + PEER_TIMEOUT)
                && self.view.zone_regions.get(&p.host.zone) == Some(&self.view.region)
                && p.reaches_store
        });
        let this_host = reaches_store.then_some(&self.view.local_host);
        !reaches_store
            || highest_ranked(same_region.map(|p| &p.host).chain(this_host), STORE_READERS)
                .any(|h| *h == self.view.local_host)
    }

    /// Whether another host has read the store after `time`.
    pub fn others_read_store_since(&self, time: Instant) -> bool {
        self.peers.values().any(|p| p.store_read_at.is_some_and(|at| at > time))
    }

    /// Returns the peer addresses of the other hosts of the region.
    pub fn same_region_addresses(&self) -> Vec<SocketAddr> {
        let zones = &self.view.zone_regions;
        let in_region = |p: &&PeerState| zones.get(&p.host.zone) == Some(&self.view.region);
        self.peers.values().filter(in_region).map(|p| p.host.peer_address).collect()
    }

    /// Whether there is another host with this peer address.
    pub fn has_peer_at(&self, address: SocketAddr) -> bool {
        self.peers.values().any(|p| p.host.peer_address == address)
    }

    /// Returns the address of a host that has operators' changes with a revision above
    /// `own_revision`.
    pub fn host_with_newer_operator_data(
        &self,
        now: Instant,
        own_revision: u64,
    ) -> Option<SocketAddr> {
        self.host_with_newer_revision(
            now,
            own_revision,
            |p| p.operator_revision,
            |progress| progress.operator_revision,
        )
    }

    /// Returns the address of a host with server entries newer than `own_revision`.
    pub fn host_with_newer_servers(&self, now: Instant, own_revision: u64) -> Option<SocketAddr> {
        self.host_with_newer_revision(
            now,
            own_revision,
            |p| p.server_revision,
            |progress| progress.server_revision,
        )
    }

    /// Returns the address of the host with the highest revision above `own_revision`. Hosts of
    /// other regions are considered only if no host of this region is newer.
    fn host_with_newer_revision(
        &self,
        now: Instant,
        own_revision: u64,
        peer_revision: fn(&PeerState) -> u64,
        region_revision: fn(&StoreProgress) -> u64,
    ) -> Option<SocketAddr> {
        let is_reachable =
            |p: &&PeerState| p.last_digest_at.is_some_and(|at| now <= at + PEER_TIMEOUT);
        let same_region = self
            .peers
            .values()
            .filter(is_reachable)
            .map(|p| (peer_revision(p), p.host.peer_address));
        let other_regions = self
            .region_summaries
            .all(now)
            .into_iter()
            .map(|s| (region_revision(&s.progress), s.sender_address));
        let if_newer = |(revision, address)| (revision > own_revision).then_some(address);
        let newest_in_region = same_region.max_by_key(|(revision, _)| *revision).and_then(if_newer);
        newest_in_region
            .or_else(|| other_regions.max_by_key(|(revision, _)| *revision).and_then(if_newer))
    }
}

/// Selects the `count` hosts that perform a task for the others: those with the largest CPU quota,
/// in an order that is the same on all hosts.
fn highest_ranked<'a>(
    hosts: impl Iterator<Item = &'a Announcement>,
    count: usize,
) -> impl Iterator<Item = &'a Announcement> {
    let mut hosts: Vec<&Announcement> = hosts.collect();
    let hash = |h: &Announcement| stable_hash(9, &h.incarnation.0.to_le_bytes());
    hosts.sort_by_key(|h| (std::cmp::Reverse(h.millicores), hash(h)));
    hosts.into_iter().take(count)
}
