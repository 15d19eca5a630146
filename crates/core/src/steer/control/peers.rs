//! Other hosts: which are reachable, which read the store and which send summaries to other
//! regions.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use super::ControlState;
use crate::{
    steer::{
        digest::{
            Aggregate, AggregateScope, Announcement, Digest, NameHash, RegionSummary,
            StoreProgress, TrafficStats,
        },
        mirror::CopyState,
        stable_hash,
        view::Peer,
    },
    time::Instant,
};

/// Time without state of a host after which it counts as unreachable, so that callers are no longer
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
    /// Whether the host considers itself a relay of its failure domain.
    pub(super) is_relay: bool,
    pub(super) last_digest_at: Option<Instant>,
    /// When this host learned of the host.
    pub(super) known_since: Instant,
    /// When a relay of the host's failure domain last reported that it sends digests.
    pub(super) reported_at: Option<Instant>,
    /// When the sum of the region last included the host as running.
    pub(super) summed_at: Option<Instant>,
    /// Whether the store holds an announcement of the host.
    pub(super) is_listed: bool,
    pub(super) reaches_store: bool,
    /// When the host itself last read the store.
    pub(super) store_read_at: Option<Instant>,
    /// Since when all reads of the host have succeeded.
    pub(super) store_steady_since: Option<Instant>,
    pub(super) operator_data: CopyState,
    pub(super) servers: CopyState,
}

impl PeerState {
    fn new(now: Instant, host: Announcement) -> Self {
        PeerState {
            host,
            known_since: now,
            ready: false,
            is_relay: false,
            last_digest_at: None,
            reported_at: None,
            summed_at: None,
            is_listed: false,
            reaches_store: true,
            store_read_at: None,
            store_steady_since: None,
            operator_data: CopyState::default(),
            servers: CopyState::default(),
        }
    }

    /// Whether digests of the host arrive here.
    pub(super) fn sends_digests(&self, now: Instant) -> bool {
        self.last_digest_at.is_some_and(|at| now <= at + PEER_TIMEOUT)
    }

    /// Whether digests of the host arrive here or at a relay of its failure domain.
    pub(super) fn is_reported(&self, now: Instant) -> bool {
        self.sends_digests(now) || self.reported_at.is_some_and(|at| now <= at + PEER_TIMEOUT)
    }

    /// Whether this host or the relay that sends it the sum of the region gets state of the host.
    /// What a sum reports is not passed on; else hosts that have ended would be reported in a circle.
    pub(super) fn is_reachable(&self, now: Instant) -> bool {
        self.is_reported(now) || self.summed_at.is_some_and(|at| now <= at + PEER_TIMEOUT)
    }

    /// Whether the host was reachable a few seconds ago.
    fn is_recent(&self, now: Instant) -> bool {
        let last_seen = self.last_digest_at.max(self.reported_at).max(self.summed_at);
        last_seen.is_some_and(|at| now.saturating_since(at) < UNLISTED_PEER_TTL)
    }
}

/// What a digest contains besides the state of the control thread.
#[derive(Clone, Debug)]
pub struct DigestParts {
    /// What this host has applied of the store's items.
    pub progress: StoreProgress,
    /// Access to the store.
    pub store: StoreStatus,
    /// Requests that this host has in flight, by short hash of the server's id.
    pub in_flight: Vec<(NameHash, u32)>,
    /// Traffic statistics of this host.
    pub stats: TrafficStats,
    /// Sum of other hosts.
    pub aggregate: Option<Aggregate>,
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
        let peer = self.peers.entry(incarnation).or_insert_with(|| PeerState::new(now, host));
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
        let peer =
            self.peers.entry(host.incarnation).or_insert_with(|| PeerState::new(now, host.clone()));
        let before = (peer.ready, peer.is_reachable(now));
        peer.last_digest_at = Some(now);
        peer.ready = digest.ready;
        peer.is_relay = digest.is_relay;
        peer.reaches_store = digest.reaches_store;
        let time_before = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
        peer.store_read_at = digest.store_read_age_ms.map(time_before);
        peer.store_steady_since = digest.progress.store_steady_ms.map(time_before);
        peer.operator_data.update(digest.progress.operator_data);
        peer.servers.update(digest.progress.servers);
        self.merge_rollout_progress(now, &digest.progress);
        for summary in &digest.region_summaries {
            self.region_summaries.insert(now, summary);
            self.merge_rollout_progress(now, &summary.progress);
        }
        let covered_changed =
            digest.aggregate.as_ref().is_some_and(|aggregate| self.cover_hosts(now, aggregate));
        if is_new || before != (digest.ready, true) || covered_changed {
            self.update_view_peers(now);
        }
    }

    /// Records that a relay reports these hosts as running; returns whether that is a change.
    fn cover_hosts(&mut self, now: Instant, aggregate: &Aggregate) -> bool {
        let mut changed = false;
        for host in &aggregate.new_hosts {
            let is_known = self.peers.contains_key(&host.incarnation);
            if !is_known && host.incarnation != self.view.local_host.incarnation {
                self.remove_earlier_incarnations(host);
                self.peers.insert(host.incarnation, PeerState::new(now, host.clone()));
                changed = true;
            }
        }
        for (incarnation, ready) in &aggregate.hosts {
            let Some(peer) = self.peers.get_mut(incarnation) else { continue };
            // The host's own digests are newer than what a relay reports about it.
            let sends_digests = peer.sends_digests(now);
            changed |= !peer.is_reachable(now) || (!sends_digests && peer.ready != *ready);
            match aggregate.scope {
                AggregateScope::Followers => peer.reported_at = Some(now),
                AggregateScope::Region => peer.summed_at = Some(now),
            }
            if !sends_digests {
                peer.ready = *ready;
            }
        }
        changed
    }

    /// Applies a summary that a host of another region sent to this host.
    pub fn receive_region_summary(&mut self, now: Instant, summary: RegionSummary) {
        if summary.region == self.view.region {
            return;
        }
        self.merge_rollout_progress(now, &summary.progress);
        self.region_summaries.insert(now, &summary);
        self.received_summaries.insert((summary.region.clone(), summary.sender), (now, summary));
    }

    /// Applies timeouts; called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.region_summaries.expire(now);
        self.received_summaries.retain(|_, (at, _)| now.saturating_since(*at) <= PEER_TIMEOUT);
        self.peers.retain(|_, p| p.is_listed || p.is_recent(now));
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
                (state.ready, state.is_reachable(now))
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

    /// Builds a digest for other hosts of the region. The one with the sum of the region contains
    /// all summaries of other regions, any other one only those that this host received directly
    /// since it built the last such digest.
    pub fn build_digest(&mut self, now: Instant, parts: DigestParts) -> Digest {
        self.sequence += 1;
        let DigestParts { progress, store, in_flight, stats, aggregate } = parts;
        let has_region_sum = aggregate.as_ref().is_some_and(|a| a.scope == AggregateScope::Region);
        let region_summaries = if has_region_sum {
            self.region_summaries.all(now).into_iter().cloned().collect()
        } else {
            let summaries = self.newest_received_summaries();
            self.summaries_passed_on_at = now;
            summaries
        };
        let addresses =
            self.peers.values().filter(|p| p.last_digest_at.is_some()).map(|p| p.host.peer_address);
        let offset = self.sequence as usize % self.peers.len().max(1);
        Digest {
            sender: self.view.local_host.clone(),
            ready: self.view.is_ready(),
            is_relay: self.is_relay(now),
            reaches_store: store.is_reachable,
            store_read_age_ms: store.read_age_ms,
            progress,
            in_flight,
            stats,
            aggregate,
            region_summaries,
            known_hosts: addresses.skip(offset).take(MAX_KNOWN_HOSTS).collect(),
        }
    }

    /// Returns the newest summary of each region among those that this host has received directly and
    /// not passed on yet.
    fn newest_received_summaries(&self) -> Vec<RegionSummary> {
        let mut newest: HashMap<&str, &(Instant, RegionSummary)> = HashMap::new();
        for ((region, _), received) in &self.received_summaries {
            let newest_of_region = newest.entry(region).or_insert(received);
            if newest_of_region.0 < received.0 {
                *newest_of_region = received;
            }
        }
        let passed_on_at = self.summaries_passed_on_at;
        let new = newest.into_values().filter(|(at, _)| *at > passed_on_at);
        new.map(|(_, summary)| summary.clone()).collect()
    }

    /// Builds the summary for the other regions, with the addresses that it should be sent to.
    ///
    /// While no summary of a region arrives, every relay sends to it, since the gateways may have no
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
        let (is_relay, is_gateway) = (self.is_relay(now), self.is_gateway(now));
        let mut targets = Vec::new();
        for region in self.view.regions.iter().filter(|r| **r != self.view.region) {
            let has_summary = self.region_summaries.get(now, region).is_some();
            if !is_gateway && (has_summary || !is_relay) {
                continue;
            }
            let hosts = self.view.peers.iter().filter(|p| p.region == *region);
            let hosts = hosts.filter(|p| p.is_reachable || !has_summary);
            let hosts = hosts.map(|p| (&p.host, p.ready));
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

    /// Whether this host exchanges summaries with the other regions.
    fn is_gateway(&self, now: Instant) -> bool {
        let reachable = self.peers.values().filter(|p| self.is_in_region(p) && p.is_reachable(now));
        let local = (&self.view.local_host, self.view.is_ready());
        let hosts = reachable.map(|p| (&p.host, p.ready)).chain([local]);
        highest_ranked(hosts, GATEWAYS).any(|h| *h == self.view.local_host)
    }

    /// Whether this host should read the store for the others of its region. Followers leave that to
    /// the relays. A host that cannot reach the store keeps trying.
    pub fn is_store_reader(&self, now: Instant, reaches_store: bool) -> bool {
        let mut readers = self
            .peers
            .values()
            .filter(|p| self.is_in_region(p) && p.sends_digests(now) && p.reaches_store);
        if !reaches_store {
            return true;
        }
        if !self.is_relay(now) {
            return readers.next().is_none();
        }
        let this_host = (&self.view.local_host, self.view.is_ready());
        highest_ranked(readers.map(|p| (&p.host, p.ready)).chain([this_host]), STORE_READERS)
            .any(|h| *h == self.view.local_host)
    }

    /// Time for which the store has been available according to other regions, and to other hosts of
    /// this one that have read it after `time`, when a call of this host still failed.
    pub fn store_available_for(&self, now: Instant, time: Instant) -> Duration {
        let readers = self.peers.values().filter(|p| p.store_read_at.is_some_and(|at| at > time));
        let in_region = readers.filter_map(|p| p.store_steady_since);
        let in_region = in_region.map(|at| now.saturating_since(at));
        let summaries = self.region_summaries.all(now).into_iter();
        let elsewhere = summaries.filter_map(|s| s.progress.store_steady_ms);
        let elsewhere = elsewhere.map(|ms| Duration::from_millis(u64::from(ms)));
        in_region.chain(elsewhere).max().unwrap_or_default()
    }

    /// Last read of the store by another host of the region, if a host that reads it for the region
    /// has lost it; `None` otherwise.
    pub fn store_lost_since(&self, now: Instant) -> Option<Instant> {
        let hosts = || self.peers.values().filter(|p| self.is_in_region(p) && p.sends_digests(now));
        let is_lost = hosts().any(|p| !p.reaches_store);
        hosts().filter_map(|p| p.store_read_at).max().filter(|_| is_lost)
    }

    /// Whether a host belongs to the region of this host.
    pub(super) fn is_in_region(&self, peer: &PeerState) -> bool {
        self.view.zone_regions.get(&peer.host.zone) == Some(&self.view.region)
    }

    /// Whether there is another host with this peer address.
    pub fn has_peer_at(&self, address: SocketAddr) -> bool {
        self.peers.values().any(|p| p.host.peer_address == address)
    }

    /// Returns the address of a host whose copy of the operators' data is newer than `own` and differs
    /// from it.
    pub fn host_with_newer_operator_data(
        &self,
        now: Instant,
        own: &CopyState,
    ) -> Option<SocketAddr> {
        self.host_with_newer_copy(now, own, |p| &p.operator_data, |p| &p.operator_data)
    }

    /// Returns the address of a host whose copy of the servers' entries is newer than `own` and differs
    /// from it.
    pub fn host_with_newer_servers(&self, now: Instant, own: &CopyState) -> Option<SocketAddr> {
        self.host_with_newer_copy(now, own, |p| &p.servers, |p| &p.servers)
    }

    /// Returns the address of the host with the newest copy that this one is behind, preferably in the
    /// failure domain of this host. Only gateways copy from other regions, and only if no host of
    /// their own region is newer.
    fn host_with_newer_copy(
        &self,
        now: Instant,
        own: &CopyState,
        peer_copy: fn(&PeerState) -> &CopyState,
        region_copy: fn(&StoreProgress) -> &CopyState,
    ) -> Option<SocketAddr> {
        let own_zone = &self.view.local_host.zone;
        let same_region = self
            .peers
            .values()
            .filter(|p| p.sends_digests(now) && own.is_behind(peer_copy(p)))
            .max_by_key(|p| (p.host.zone == *own_zone, peer_copy(p).position))
            .map(|p| p.host.peer_address);
        if same_region.is_some() || !self.is_gateway(now) {
            return same_region;
        }
        self.region_summaries
            .all(now)
            .into_iter()
            .filter(|s| own.is_behind(region_copy(&s.progress)))
            .max_by_key(|s| region_copy(&s.progress).position)
            .map(|s| s.sender_address)
    }
}

/// Selects the `count` hosts that perform a task for the others, in an order that is the same on all
/// hosts: first those that accept new callers, then those with the largest CPU quota.
pub(super) fn highest_ranked<'a>(
    hosts: impl Iterator<Item = (&'a Announcement, bool)>,
    count: usize,
) -> impl Iterator<Item = &'a Announcement> {
    let mut hosts: Vec<(&Announcement, bool)> = hosts.collect();
    let hash = |h: &Announcement| stable_hash(9, &h.incarnation.0.to_le_bytes());
    hosts.sort_by_key(|(h, ready)| (!ready, std::cmp::Reverse(h.millicores), hash(h)));
    hosts.into_iter().map(|(host, _)| host).take(count)
}
