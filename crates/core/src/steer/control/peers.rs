//! Other hosts: who is alive, who reads the store and who speaks to other regions.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use super::Control;
use crate::{
    steer::{
        digest::{Announcement, Digest, RegionSummary, StoreProgress, TrafficStats},
        stable_hash,
        view::Peer,
    },
    time::Instant,
};

/// Silence after which a host is no longer named to callers.
const HEARD_WITHIN: Duration = Duration::from_millis(1300);
/// Silence after which a host that the store does not list is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(6);
/// Hosts that a digest names.
const NAMED_HOSTS: usize = 3;
/// Hosts of a region that read the store for the others.
const READERS: usize = 2;
/// Hosts of a region that speak to the other regions.
const SPEAKERS: usize = 2;

#[derive(Clone, Debug)]
pub(super) struct PeerState {
    pub(super) host: Announcement,
    pub(super) ready: bool,
    pub(super) heard: Option<Instant>,
    pub(super) is_listed: bool,
    pub(super) reaches_store: bool,
    /// When it last read the store itself.
    pub(super) read_at: Option<Instant>,
    pub(super) orders: u64,
    pub(super) servers: u64,
}

/// Contact of a host with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreStatus {
    /// Whether the store answers, as far as the host knows.
    pub answers: bool,
    /// Milliseconds since it last read the store itself.
    pub read_ms: Option<u32>,
}

impl Control {
    pub(super) fn list_host(&mut self, now: Instant, host: Announcement) {
        if host.incarnation == self.view.me.incarnation {
            return;
        }
        self.forget_earlier_lives(&host);
        let region = host.incarnation;
        let peer = self.peers.entry(region).or_insert_with(|| PeerState {
            host,
            ready: false,
            heard: None,
            is_listed: true,
            reaches_store: true,
            read_at: None,
            orders: 0,
            servers: 0,
        });
        peer.is_listed = true;
        self.publish_peers(now);
    }

    fn forget_earlier_lives(&mut self, host: &Announcement) {
        self.peers.retain(|life, p| {
            *life == host.incarnation || p.host.caller_address != host.caller_address
        });
    }

    /// Takes in what another host of the region says.
    pub fn hear(&mut self, now: Instant, digest: &Digest) {
        let host = &digest.sender;
        if host.incarnation == self.view.me.incarnation {
            return;
        }
        let is_new = !self.peers.contains_key(&host.incarnation);
        if is_new {
            self.forget_earlier_lives(host);
        }
        let peer = self.peers.entry(host.incarnation).or_insert_with(|| PeerState {
            host: host.clone(),
            ready: digest.ready,
            heard: None,
            is_listed: false,
            reaches_store: true,
            read_at: None,
            orders: 0,
            servers: 0,
        });
        let was = (peer.ready, peer.heard.is_some_and(|at| now <= at + HEARD_WITHIN));
        peer.heard = Some(now);
        peer.ready = digest.ready;
        peer.reaches_store = digest.reaches_store;
        let age = digest.store_read_age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        peer.read_at = age.map(|age| now - age);
        peer.orders = peer.orders.max(digest.progress.operator_revision);
        peer.servers = peer.servers.max(digest.progress.server_revision);
        self.follow_rollouts(&digest.progress);
        for summary in &digest.region_summaries {
            self.far.insert(now, summary);
            self.follow_rollouts(&summary.progress);
        }
        if is_new || was != (digest.ready, true) {
            self.publish_peers(now);
        }
    }

    /// Takes in what another region says to this host.
    pub fn hear_region(&mut self, now: Instant, summary: RegionSummary) {
        if summary.region == self.view.region {
            return;
        }
        self.follow_rollouts(&summary.progress);
        self.far.insert(now, &summary);
        self.received.insert((summary.region.clone(), summary.sender), (now, summary));
    }

    /// Does what is due; called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.far.expire(now);
        self.received.retain(|_, (at, _)| now.saturating_since(*at) <= HEARD_WITHIN);
        self.peers.retain(|_, p| {
            p.is_listed || p.heard.is_some_and(|at| now.saturating_since(at) < FORGET_AFTER)
        });
        self.publish_peers(now);
        self.admit_versions(now);
    }

    fn publish_peers(&mut self, now: Instant) {
        let zones = &self.view.zones;
        let mut peers: Vec<Peer> = Vec::with_capacity(self.peers.len());
        for state in self.peers.values() {
            let region = zones.get(&state.host.zone).cloned().unwrap_or_default();
            let (ready, is_heard) = if region == self.view.region {
                (state.ready, state.heard.is_some_and(|at| now <= at + HEARD_WITHIN))
            } else {
                let hosts = self.far.get(now, &region).map(|s| s.hosts.as_slice());
                let life = state.host.incarnation;
                let found = hosts.unwrap_or_default().iter().find(|(host, _)| *host == life);
                (found.is_some_and(|(_, ready)| *ready), found.is_some())
            };
            peers.push(Peer { host: state.host.clone(), region, ready, is_heard });
        }
        peers.sort_by_key(|p| p.host.incarnation);
        if peers != *self.view.peers {
            self.view.peers = Arc::new(peers);
            self.is_dirty = true;
        }
    }

    /// What this host tells the others of its region.
    pub fn digest(
        &mut self,
        progress: StoreProgress,
        store: StoreStatus,
        in_flight: Vec<(u32, u32)>,
        seen: TrafficStats,
    ) -> Digest {
        self.sequence += 1;
        let others = self.peers.values().filter(|p| p.heard.is_some()).map(|p| p.host.peer_address);
        let skip = self.sequence as usize % self.peers.len().max(1);
        Digest {
            sender: self.view.me.clone(),
            ready: self.view.is_ready(),
            reaches_store: store.answers,
            store_read_age_ms: store.read_ms,
            progress,
            in_flight,
            stats: seen,
            region_summaries: self.newest_received(),
            known_hosts: others.skip(skip).take(NAMED_HOSTS).collect(),
        }
    }

    /// The newest summary of each region that was sent to this host itself.
    fn newest_received(&self) -> Vec<RegionSummary> {
        let mut newest: HashMap<&str, &(Instant, RegionSummary)> = HashMap::new();
        for ((region, _), received) in &self.received {
            let known = newest.entry(region).or_insert(received);
            if known.0 < received.0 {
                *known = received;
            }
        }
        newest.into_values().map(|(_, summary)| summary.clone()).collect()
    }

    /// What this host tells the other regions, with the hosts to tell.
    ///
    /// Every host speaks to a region that is not heard, since the speakers may be cut off from it.
    pub fn region_summary(
        &mut self,
        now: Instant,
        progress: StoreProgress,
        seen: TrafficStats,
    ) -> (RegionSummary, Vec<SocketAddr>) {
        self.sequence += 1;
        let near = || self.view.peers.iter().filter(|p| p.region == self.view.region);
        let me = (self.view.me.incarnation, self.view.is_ready());
        let heard = near().filter(|p| p.is_heard).map(|p| (p.host.incarnation, p.ready));
        let summary = RegionSummary {
            region: self.view.region.clone(),
            sender: self.view.me.incarnation,
            sender_address: self.view.me.peer_address,
            sequence: self.sequence,
            hosts: heard.chain([me]).collect(),
            unreachable_hosts: near().filter(|p| !p.is_heard).count() as u32,
            progress,
            stats: seen,
        };
        let hosts = near().filter(|p| p.is_heard).map(|p| &p.host).chain([&self.view.me]);
        let is_speaker = first_by_rank(hosts, SPEAKERS).any(|h| *h == self.view.me);
        let mut targets = Vec::new();
        for region in self.view.regions.iter().filter(|r| **r != self.view.region) {
            let is_heard = self.far.get(now, region).is_some();
            if !is_speaker && is_heard {
                continue;
            }
            let hosts = self.view.peers.iter().filter(|p| p.region == *region);
            let hosts = hosts.filter(|p| p.is_heard || !is_heard).map(|p| &p.host);
            let count = SPEAKERS + usize::from(!is_heard);
            let known: Vec<SocketAddr> =
                first_by_rank(hosts, count).map(|h| h.peer_address).collect();
            // A host that started while the store was away knows those that speak to it.
            let speakers = self.received.values().map(|(_, summary)| summary);
            let speakers = speakers.filter(|s| s.region == *region && known.len() < SPEAKERS);
            let speakers = speakers.map(|s| s.sender_address).filter(|a| !known.contains(a));
            targets.extend(speakers.collect::<Vec<_>>());
            targets.extend(known);
        }
        (summary, targets)
    }

    /// Whether this host reads the store for the others of its region.
    pub fn is_reader(&self, now: Instant, reaches_store: bool) -> bool {
        let near = self.peers.values().filter(|p| {
            p.heard.is_some_and(|at| now <= at + HEARD_WITHIN)
                && self.view.zones.get(&p.host.zone) == Some(&self.view.region)
                && p.reaches_store
        });
        let me = reaches_store.then_some(&self.view.me);
        !reaches_store
            || first_by_rank(near.map(|p| &p.host).chain(me), READERS).any(|h| *h == self.view.me)
    }

    /// Whether another host has read the store after this time.
    pub fn others_read_since(&self, time: Instant) -> bool {
        self.peers.values().any(|p| p.read_at.is_some_and(|at| at > time))
    }

    /// Addresses of the other hosts of the region.
    pub fn near_addresses(&self) -> Vec<SocketAddr> {
        let zones = &self.view.zones;
        let near = |p: &&PeerState| zones.get(&p.host.zone) == Some(&self.view.region);
        self.peers.values().filter(near).map(|p| p.host.peer_address).collect()
    }

    /// Whether a host with this address is known.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.peers.values().any(|p| p.host.peer_address == address)
    }

    /// A host that knows a newer change of the orders.
    pub fn ahead_on_orders(&self, now: Instant, own: u64) -> Option<SocketAddr> {
        self.ahead(now, own, |p| p.orders, |progress| progress.operator_revision)
    }

    /// A host that knows a newer change of the servers.
    pub fn ahead_on_servers(&self, now: Instant, own: u64) -> Option<SocketAddr> {
        self.ahead(now, own, |p| p.servers, |progress| progress.server_revision)
    }

    fn ahead(
        &self,
        now: Instant,
        own: u64,
        of_peer: fn(&PeerState) -> u64,
        of_region: fn(&StoreProgress) -> u64,
    ) -> Option<SocketAddr> {
        let heard = |p: &&PeerState| p.heard.is_some_and(|at| now <= at + HEARD_WITHIN);
        let near = self.peers.values().filter(heard).map(|p| (of_peer(p), p.host.peer_address));
        let far = self.far.all(now).into_iter().map(|s| (of_region(&s.progress), s.sender_address));
        let best = |(revision, address)| (revision > own).then_some(address);
        let near = near.max_by_key(|(revision, _)| *revision).and_then(best);
        near.or_else(|| far.max_by_key(|(revision, _)| *revision).and_then(best))
    }
}

/// The hosts that do a duty for all: the largest ones, in an order that all hosts agree on.
fn first_by_rank<'a>(
    hosts: impl Iterator<Item = &'a Announcement>,
    count: usize,
) -> impl Iterator<Item = &'a Announcement> {
    let mut hosts: Vec<&Announcement> = hosts.collect();
    let hash = |h: &Announcement| stable_hash(9, &h.incarnation.0.to_le_bytes());
    hosts.sort_by_key(|h| (std::cmp::Reverse(h.millicores), hash(h)));
    hosts.into_iter().take(count)
}
