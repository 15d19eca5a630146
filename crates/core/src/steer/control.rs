//! What a host believes of the configuration, the servers and the other hosts.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use super::{
    catalog::Catalog,
    digest::{Announcement, Digest},
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
    orders: u64,
    servers: u64,
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
            orders: 0,
            servers: 0,
        });
        peer.is_listed = true;
        self.publish_peers(now);
    }

    fn forget_earlier_lives(&mut self, host: &Announcement) {
        self.peers.retain(|life, p| *life == host.incarnation || p.host.callers != host.callers);
    }

    /// Takes in what another host says of itself.
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
            orders: 0,
            servers: 0,
        });
        let was = (peer.ready, peer.heard.is_some_and(|at| now <= at + HEARD_WITHIN));
        peer.heard = Some(now);
        peer.ready = digest.ready;
        peer.orders = peer.orders.max(digest.orders);
        peer.servers = peer.servers.max(digest.servers);
        for (service, order, state) in &digest.rollouts {
            let Some(rollout) = self.view.rollouts.get(service) else { continue };
            if rollout.order.revision == *order && rollout.state != *state {
                let rollouts = Arc::make_mut(&mut self.view.rollouts);
                let changed = rollouts.get_mut(service).is_some_and(|r| r.advance(*state));
                self.is_dirty |= changed;
            }
        }
        if is_new || was != (digest.ready, true) {
            self.publish_peers(now);
        }
    }

    /// Does what is due; called several times a second.
    pub fn tick(&mut self, now: Instant) {
        self.peers.retain(|_, p| {
            p.is_listed || p.heard.is_some_and(|at| now.saturating_since(at) < FORGET_AFTER)
        });
        self.publish_peers(now);
        self.admit_versions(now);
    }

    fn publish_peers(&mut self, now: Instant) {
        let zones = &self.view.zones;
        let mut peers: Vec<Peer> = self
            .peers
            .values()
            .map(|p| Peer {
                host: p.host.clone(),
                region: zones.get(&p.host.zone).cloned().unwrap_or_default(),
                ready: p.ready,
                is_heard: p.heard.is_some_and(|at| now <= at + HEARD_WITHIN),
            })
            .collect();
        peers.sort_by_key(|p| p.host.incarnation);
        if peers != *self.view.peers {
            self.view.peers = Arc::new(peers);
            self.is_dirty = true;
        }
    }

    /// What this host says of itself; the request path adds what it has seen.
    pub fn digest(&mut self, orders: u64, servers: u64) -> Digest {
        self.sequence += 1;
        let others = self.peers.values().filter(|p| p.heard.is_some()).map(|p| p.host.peers);
        let skip = self.sequence as usize % self.peers.len().max(1);
        Digest {
            from: self.view.me.clone(),
            sequence: self.sequence,
            ready: self.view.is_ready(),
            orders,
            servers,
            in_flight: Vec::new(),
            services: Vec::new(),
            workspaces: Vec::new(),
            trials: Vec::new(),
            rollouts: self
                .view
                .rollouts
                .iter()
                .map(|(service, r)| (service.clone(), r.order.revision, r.state))
                .collect(),
            deaths: Vec::new(),
            others: others.skip(skip).take(NAMED_HOSTS).collect(),
        }
    }

    /// Addresses of the other hosts.
    pub fn peer_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().map(|p| p.host.peers)
    }

    /// A host that was heard lately and knows a newer change of the orders.
    pub fn ahead_on_orders(&self, now: Instant, own: u64) -> Option<SocketAddr> {
        self.ahead(now, own, |p| p.orders)
    }

    /// A host that was heard lately and knows the servers up to a newer revision.
    pub fn ahead_on_servers(&self, now: Instant, own: u64) -> Option<SocketAddr> {
        self.ahead(now, own, |p| p.servers)
    }

    fn ahead(&self, now: Instant, own: u64, of: fn(&PeerState) -> u64) -> Option<SocketAddr> {
        let heard = |p: &&PeerState| p.heard.is_some_and(|at| now <= at + HEARD_WITHIN);
        let best = self.peers.values().filter(heard).max_by_key(|p| of(p))?;
        (of(best) > own).then_some(best.host.peers)
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
