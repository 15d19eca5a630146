//! What a host believes of the configuration, the servers and the other hosts.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{
    catalog::Catalog,
    digest::{Announcement, Digest, Progress, RegionSummary, Summary},
    far::FarRegions,
    rollout::{Rollout, RolloutOrder, RolloutState},
    server::ServerEntry,
    stable_hash,
    terms::Terms,
    view::{Peer, View},
};
use crate::{
    host::Incarnation,
    time::{Instant, UnixMillis},
};

/// Silence after which a host is no longer named to callers.
const HEARD_WITHIN: Duration = Duration::from_millis(1300);
/// Silence after which a host that the store does not list is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(6);
/// Time that a version may be announced without an order before it counts as regular.
const UNORDERED_VERSION_DELAY: Duration = Duration::from_secs(4);
/// Time that a host waits for each better placed one to record the state of a rollout.
const WRITER_STAGGER: Duration = Duration::from_millis(800);
/// Hosts that a digest names.
const NAMED_HOSTS: usize = 3;
/// Hosts of a region that read the store for the others.
const READERS: usize = 2;
/// Hosts of a region that speak to the other regions.
const SPEAKERS: usize = 2;

/// The recorded state of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Service whose traffic moves.
    pub service: String,
    /// The version that takes over.
    pub version: String,
    /// How far it is.
    pub state: RolloutState,
    /// Revision of the record; one that is older than the order belongs to an earlier order.
    pub revision: u64,
}

/// The recorded start of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStart {
    /// Service whose traffic moves.
    pub service: String,
    /// Revision of the order.
    pub order: u64,
    /// When the rollout started.
    pub started: UnixMillis,
}

/// A change of what the store says, decoded.
#[derive(Clone, Debug)]
pub enum Change {
    /// The operators' configuration.
    Configured(Arc<Catalog>),
    /// A rollout was ordered.
    RolloutOrdered(RolloutOrder),
    /// The order for a service was taken back.
    RolloutWithdrawn(String),
    /// A state of a rollout was recorded.
    RolloutRecorded(RolloutRecord),
    /// The start of a rollout was recorded.
    RolloutStarted(RolloutStart),
    /// A failure domain gets no more requests.
    Evacuated(String),
    /// A failure domain gets requests again.
    Reopened(String),
    /// A server announced itself.
    ServerAnnounced(ServerEntry),
    /// A server's announcement is gone.
    ServerRemoved(String),
    /// A host announced itself.
    HostAnnounced(Announcement),
    /// The store no longer lists a host of this name.
    HostRemoved(String),
}

#[derive(Clone, Debug)]
struct PeerState {
    host: Announcement,
    ready: bool,
    heard: Option<Instant>,
    is_listed: bool,
    reaches_store: bool,
    /// When it last read the store itself.
    read_at: Option<Instant>,
    orders: u64,
    servers: u64,
}

/// Contact of a host with the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreContact {
    /// Whether the store answers, as far as the host knows.
    pub answers: bool,
    /// Milliseconds since it last read the store itself.
    pub read_ms: Option<u32>,
}

/// A rollout state that this host should record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueRecord {
    /// The order.
    pub order: RolloutOrder,
    /// The state to record.
    pub state: RolloutState,
    /// When the rollout started.
    pub started: UnixMillis,
}

/// Beliefs of one host.
#[derive(Debug)]
pub struct Control {
    view: View,
    peers: HashMap<Incarnation, PeerState>,
    records: HashMap<String, RolloutRecord>,
    starts: HashMap<String, RolloutStart>,
    unordered: HashMap<(String, String), Instant>,
    due: HashMap<(String, RolloutState), Instant>,
    sequence: u64,
    far: FarRegions,
    /// Summaries that other regions sent to this host itself, with the time.
    received: HashMap<(String, Incarnation), (Instant, RegionSummary)>,
    is_dirty: bool,
}

impl Control {
    /// The beliefs of a host that has just started.
    pub fn new(terms: Terms, me: Announcement, zones: HashMap<String, String>) -> Self {
        Control {
            view: View::empty(terms, me, zones),
            peers: HashMap::new(),
            records: HashMap::new(),
            starts: HashMap::new(),
            unordered: HashMap::new(),
            due: HashMap::new(),
            sequence: 0,
            far: FarRegions::default(),
            received: HashMap::new(),
            is_dirty: true,
        }
    }

    /// The view, when it has changed since the last call.
    pub fn take_view(&mut self) -> Option<Arc<View>> {
        std::mem::take(&mut self.is_dirty).then(|| Arc::new(self.view.clone()))
    }

    /// The current view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Takes no new callers from now on.
    pub fn stop(&mut self) {
        self.view.stopping = true;
        self.is_dirty = true;
    }

    /// Takes over changed settings.
    pub fn set_terms(&mut self, terms: Terms) {
        self.view.terms = Arc::new(terms);
        self.is_dirty = true;
    }

    /// Takes over changes in their order.
    pub fn apply(&mut self, now: Instant, unix: UnixMillis, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.is_dirty = true;
        for change in changes {
            self.apply_one(now, unix, change);
        }
        self.admit_versions(now);
    }

    fn apply_one(&mut self, now: Instant, unix: UnixMillis, change: Change) {
        match change {
            Change::Configured(catalog) => {
                if catalog.version > self.view.catalog.version {
                    self.view.catalog = catalog;
                }
            }
            Change::RolloutOrdered(order) => {
                let service = order.service.clone();
                let known = self.view.rollouts.get(&service);
                if known.is_none_or(|r| r.order.revision < order.revision) {
                    let rollout = Rollout { order, state: RolloutState::Running, started: now };
                    Arc::make_mut(&mut self.view.rollouts).insert(service.clone(), rollout);
                    self.adopt_record(now, unix, &service);
                }
            }
            Change::RolloutWithdrawn(service) => {
                Arc::make_mut(&mut self.view.rollouts).remove(&service);
            }
            Change::RolloutRecorded(record) => {
                let service = record.service.clone();
                self.records.insert(service.clone(), record);
                self.adopt_record(now, unix, &service);
            }
            Change::RolloutStarted(start) => {
                let service = start.service.clone();
                self.starts.insert(service.clone(), start);
                self.adopt_record(now, unix, &service);
            }
            Change::Evacuated(zone) => {
                Arc::make_mut(&mut self.view.reopened).remove(&zone);
                Arc::make_mut(&mut self.view.evacuated).insert(zone);
            }
            Change::Reopened(zone) => {
                if Arc::make_mut(&mut self.view.evacuated).remove(&zone) {
                    Arc::make_mut(&mut self.view.reopened).insert(zone, now);
                }
            }
            Change::ServerAnnounced(entry) => {
                let servers = Arc::make_mut(&mut self.view.servers);
                servers.insert(entry.id.clone(), Arc::new(entry));
            }
            Change::ServerRemoved(id) => {
                Arc::make_mut(&mut self.view.servers).remove(&id);
            }
            Change::HostAnnounced(host) => self.list_host(now, host),
            Change::HostRemoved(name) => {
                for peer in self.peers.values_mut().filter(|p| p.host.name == name) {
                    peer.is_listed = false;
                }
            }
        }
    }

    /// Follows what is recorded of a rollout, as far as it belongs to the order.
    fn adopt_record(&mut self, now: Instant, unix: UnixMillis, service: &str) {
        let Some(rollout) = Arc::make_mut(&mut self.view.rollouts).get_mut(service) else {
            return;
        };
        let order = &rollout.order;
        if let Some(start) = self.starts.get(service).filter(|s| s.order == order.revision) {
            let elapsed = Duration::from_millis(unix.saturating_sub(start.started));
            rollout.started = rollout.started.min(now - elapsed.min(order.duration * 2));
        }
        let record = self.records.get(service);
        let record = record.filter(|r| r.version == order.version && r.revision > order.revision);
        if let Some(record) = record {
            rollout.advance(record.state);
        }
    }

    /// Counts versions as regular that no rollout concerns.
    fn admit_versions(&mut self, now: Instant) {
        let mut present: HashMap<&str, HashSet<&str>> = HashMap::new();
        for entry in self.view.servers.values() {
            present.entry(&entry.service).or_default().insert(&entry.version);
        }
        let mut regular = (*self.view.versions).clone();
        for (service, versions) in present {
            let rollout = self.view.rollouts.get(service);
            let known = regular.entry(service.to_owned()).or_default();
            if let Some(rollout) = rollout {
                if rollout.state == RolloutState::Succeeded {
                    *known = HashSet::from([rollout.order.version.clone()]);
                }
                continue;
            }
            if known.is_empty() || !versions.iter().any(|v| known.contains(*v)) {
                known.extend(versions.iter().map(|v| (*v).to_owned()));
                continue;
            }
            let unknown: Vec<&str> = versions.into_iter().filter(|v| !known.contains(*v)).collect();
            for version in unknown {
                let key = (service.to_owned(), version.to_owned());
                let since = *self.unordered.entry(key).or_insert(now);
                if now.saturating_since(since) > UNORDERED_VERSION_DELAY {
                    known.insert(version.to_owned());
                }
            }
        }
        if regular != *self.view.versions {
            self.view.versions = Arc::new(regular);
        }
    }

    fn list_host(&mut self, now: Instant, host: Announcement) {
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
        self.peers.retain(|life, p| *life == host.incarnation || p.host.callers != host.callers);
    }

    /// Takes in what another host of the region says.
    pub fn hear(&mut self, now: Instant, digest: &Digest) {
        let host = &digest.from;
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
        let age = digest.store_read_ms.map(|ms| Duration::from_millis(u64::from(ms)));
        peer.read_at = age.map(|age| now - age);
        peer.orders = peer.orders.max(digest.progress.orders);
        peer.servers = peer.servers.max(digest.progress.servers);
        self.follow_rollouts(&digest.progress);
        for summary in &digest.regions {
            self.far.hear(now, summary);
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
        self.far.hear(now, &summary);
        self.received.insert((summary.region.clone(), summary.speaker), (now, summary));
    }

    fn follow_rollouts(&mut self, progress: &Progress) {
        for (service, order, state) in &progress.rollouts {
            let Some(rollout) = self.view.rollouts.get(service) else { continue };
            if rollout.order.revision == *order && rollout.state != *state {
                let rollouts = Arc::make_mut(&mut self.view.rollouts);
                let changed = rollouts.get_mut(service).is_some_and(|r| r.advance(*state));
                self.is_dirty |= changed;
            }
        }
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
        progress: Progress,
        store: StoreContact,
        in_flight: Vec<(u32, u32)>,
        seen: Summary,
    ) -> Digest {
        self.sequence += 1;
        let others = self.peers.values().filter(|p| p.heard.is_some()).map(|p| p.host.peers);
        let skip = self.sequence as usize % self.peers.len().max(1);
        Digest {
            from: self.view.me.clone(),
            ready: self.view.is_ready(),
            reaches_store: store.answers,
            store_read_ms: store.read_ms,
            progress,
            in_flight,
            seen,
            regions: self.newest_received(),
            others: others.skip(skip).take(NAMED_HOSTS).collect(),
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
        progress: Progress,
        seen: Summary,
    ) -> (RegionSummary, Vec<SocketAddr>) {
        self.sequence += 1;
        let near = || self.view.peers.iter().filter(|p| p.region == self.view.region);
        let me = (self.view.me.incarnation, self.view.is_ready());
        let heard = near().filter(|p| p.is_heard).map(|p| (p.host.incarnation, p.ready));
        let summary = RegionSummary {
            region: self.view.region.clone(),
            speaker: self.view.me.incarnation,
            address: self.view.me.peers,
            sequence: self.sequence,
            hosts: heard.chain([me]).collect(),
            unheard: near().filter(|p| !p.is_heard).count() as u32,
            progress,
            seen,
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
            targets
                .extend(first_by_rank(hosts, SPEAKERS + usize::from(!is_heard)).map(|h| h.peers));
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
        self.peers.values().filter(near).map(|p| p.host.peers).collect()
    }

    /// Whether a host with this address is known.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.peers.values().any(|p| p.host.peers == address)
    }

    /// A host that knows a newer change of the orders.
    pub fn ahead_on_orders(&self, now: Instant, own: u64) -> Option<SocketAddr> {
        self.ahead(now, own, |p| p.orders, |progress| progress.orders)
    }

    /// A host that knows a newer change of the servers.
    pub fn ahead_on_servers(&self, now: Instant, own: u64) -> Option<SocketAddr> {
        self.ahead(now, own, |p| p.servers, |progress| progress.servers)
    }

    fn ahead(
        &self,
        now: Instant,
        own: u64,
        of_peer: fn(&PeerState) -> u64,
        of_region: fn(&Progress) -> u64,
    ) -> Option<SocketAddr> {
        let heard = |p: &&PeerState| p.heard.is_some_and(|at| now <= at + HEARD_WITHIN);
        let near = self.peers.values().filter(heard).map(|p| (of_peer(p), p.host.peers));
        let far = self.far.all(now).into_iter().map(|s| (of_region(&s.progress), s.address));
        let best = |(revision, address)| (revision > own).then_some(address);
        let near = near.max_by_key(|(revision, _)| *revision).and_then(best);
        near.or_else(|| far.max_by_key(|(revision, _)| *revision).and_then(best))
    }

    /// How far the rollouts are, for the others.
    pub fn rollout_progress(&self) -> Vec<(String, u64, RolloutState)> {
        let rollouts = self.view.rollouts.iter();
        rollouts.map(|(service, r)| (service.clone(), r.order.revision, r.state)).collect()
    }

    /// Rollout states that this host should record now.
    ///
    /// All hosts come to the same state; each waits for the better placed ones, so that one of them
    /// usually writes, and the store's condition decides when two do.
    pub fn due_records(
        &mut self,
        now: Instant,
        unix: UnixMillis,
        is_faulty: impl Fn(&str) -> bool,
    ) -> Vec<DueRecord> {
        let rank = self.writer_rank();
        let mut due = Vec::new();
        for (service, rollout) in self.view.rollouts.iter() {
            if rollout.state != RolloutState::Running {
                continue;
            }
            let recorded = self.records.get(service).is_some_and(|r| {
                r.version == rollout.order.version && r.revision > rollout.order.revision
            });
            let next = match rollout.next_state(now, is_faulty(service)) {
                Some(state) => state,
                None if recorded => continue,
                None => RolloutState::Running,
            };
            let key = (service.clone(), next);
            let since = *self.due.entry(key).or_insert(now);
            if now.saturating_since(since) < WRITER_STAGGER * rank {
                continue;
            }
            let elapsed = now.saturating_since(rollout.started).as_millis() as u64;
            let started = unix.saturating_sub(elapsed);
            due.push(DueRecord { order: rollout.order.clone(), state: next, started });
        }
        let rollouts = &self.view.rollouts;
        self.due.retain(|(service, _), _| {
            rollouts.get(service).is_some_and(|r| r.state == RolloutState::Running)
        });
        due
    }

    /// Hosts that should write before this one.
    fn writer_rank(&self) -> u32 {
        let weight = |life: Incarnation| stable_hash(7, &life.0.to_le_bytes());
        let me = weight(self.view.me.incarnation);
        let heard = self.view.peers.iter().filter(|p| p.is_heard && p.ready);
        heard.filter(|p| weight(p.host.incarnation) > me).count().min(4) as u32
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
