//! What a host believes of the configuration, the servers and the other hosts.

mod peers;
mod rollouts;

use std::{collections::HashMap, sync::Arc};

use self::peers::PeerState;
pub use self::{peers::StoreStatus, rollouts::DueRecord};
use super::{
    catalog::Catalog,
    digest::{Announcement, RegionSummary},
    region_summaries::RegionSummaries,
    rollout::{Rollout, RolloutOrder, RolloutState},
    server::ServerEntry,
    terms::Terms,
    view::View,
};
use crate::{
    host::Incarnation,
    time::{Instant, UnixMillis},
};

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
    far: RegionSummaries,
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
            far: RegionSummaries::default(),
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
}
