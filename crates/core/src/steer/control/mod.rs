//! State of the control thread: the configuration, the servers, the rollouts and the other hosts.

mod peers;
mod relays;
mod rollouts;
mod usage;

use std::{collections::HashMap, sync::Arc};

use self::peers::PeerState;
pub use self::{
    peers::{DigestParts, StoreStatus},
    relays::{DueDigests, UrgentState},
    rollouts::DueRecord,
    usage::UsageDomain,
};
use super::{
    bounds::Bounds,
    catalog::Catalog,
    digest::{Announcement, RegionSummary},
    position::StorePosition,
    region_summaries::RegionSummaries,
    rollout::{RolloutOrder, RolloutState},
    server::ServerEntry,
    view::View,
};
use crate::{host::Incarnation, time::Instant};

/// State of a rollout as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Service that is rolled out.
    pub service: String,
    /// The new version.
    pub version: String,
    /// The recorded state.
    pub state: RolloutState,
    /// Position of the record. A record before the order belongs to an earlier order.
    pub position: StorePosition,
}

impl RolloutRecord {
    /// Whether the record belongs to an order. The order of two writes in different eras is not
    /// known.
    pub fn is_of(&self, order: &RolloutOrder) -> bool {
        self.version == order.version
            && self.position.era == order.position.era
            && self.position > order.position
    }
}

/// A decoded change of an item in the store.
#[derive(Clone, Debug)]
pub enum Change {
    /// An operator wrote the configuration.
    Configured(Arc<Catalog>),
    /// An operator ordered a rollout.
    RolloutOrdered(RolloutOrder),
    /// An operator withdrew the rollout order of this service.
    RolloutWithdrawn(String),
    /// A host recorded the state of a rollout.
    RolloutRecorded(RolloutRecord),
    /// The servers of this failure domain must get no requests.
    Evacuated(String),
    /// The servers of this failure domain may get requests again.
    Reopened(String),
    /// A server created or renewed its announcement.
    ServerAnnounced(ServerEntry),
    /// The announcement of the server with this id was removed.
    ServerRemoved(String),
    /// A host created its announcement.
    HostAnnounced(Announcement),
    /// The announcement of the host with this name was removed.
    HostRemoved(String),
}

/// State of the control thread of one host.
#[derive(Debug)]
pub struct ControlState {
    view: View,
    peers: HashMap<Incarnation, PeerState>,
    rollout_records: HashMap<String, RolloutRecord>,
    /// Time at which a version of a service was first announced without a rollout order.
    versions_without_order: HashMap<(String, String), Instant>,
    /// Time since which a rollout state of a service is due to be recorded.
    due_since: HashMap<(String, RolloutState), Instant>,
    /// Number of digests and summaries that this host has built.
    sequence: u64,
    region_summaries: RegionSummaries,
    /// State of the last turn that is sent out of turn when it changes.
    last_urgent: UrgentState,
    /// Summaries that this host received directly from other regions, with the time of receipt.
    received_summaries: HashMap<(String, Incarnation), (Instant, RegionSummary)>,
    /// When this host last passed on the summaries of other regions that it received directly.
    summaries_passed_on_at: Instant,
    /// Whether the view has changed since it was last published.
    is_view_changed: bool,
}

impl ControlState {
    /// Creates the state of a host that has just started.
    pub fn new(
        bounds: Bounds,
        local_host: Announcement,
        zone_regions: HashMap<String, String>,
    ) -> Self {
        ControlState {
            view: View::empty(bounds, local_host, zone_regions),
            peers: HashMap::new(),
            rollout_records: HashMap::new(),
            versions_without_order: HashMap::new(),
            due_since: HashMap::new(),
            sequence: 0,
            region_summaries: RegionSummaries::default(),
            last_urgent: UrgentState::default(),
            received_summaries: HashMap::new(),
            summaries_passed_on_at: Instant::ZERO,
            is_view_changed: true,
        }
    }

    /// Returns the view if it has changed since the last call.
    pub fn take_view(&mut self) -> Option<Arc<View>> {
        std::mem::take(&mut self.is_view_changed).then(|| Arc::new(self.view.clone()))
    }

    /// Returns the current view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Marks this host as stopping; it accepts no new callers from now on.
    pub fn begin_stop(&mut self) {
        self.view.stopping = true;
        self.is_view_changed = true;
    }

    /// Replaces the bounds of the deployment.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.view.bounds = Arc::new(bounds);
        self.is_view_changed = true;
    }

    /// Applies changes in the given order.
    pub fn apply(&mut self, now: Instant, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.is_view_changed = true;
        for change in changes {
            self.apply_one(now, change);
        }
        self.update_regular_versions(now);
    }

    fn apply_one(&mut self, now: Instant, change: Change) {
        match change {
            Change::Configured(catalog) => {
                if catalog.version > self.view.catalog.version {
                    self.view.catalog = catalog;
                }
            }
            Change::RolloutOrdered(order) => self.apply_rollout_order(now, order),
            Change::RolloutWithdrawn(service) => {
                Arc::make_mut(&mut self.view.rollouts).remove(&service);
            }
            Change::RolloutRecorded(record) => {
                let service = record.service.clone();
                self.rollout_records.insert(service.clone(), record);
                self.apply_rollout_record(&service);
            }
            Change::Evacuated(zone) => {
                Arc::make_mut(&mut self.view.reopened_zones).remove(&zone);
                Arc::make_mut(&mut self.view.evacuated_zones).insert(zone);
            }
            Change::Reopened(zone) => {
                if Arc::make_mut(&mut self.view.evacuated_zones).remove(&zone) {
                    Arc::make_mut(&mut self.view.reopened_zones).insert(zone, now);
                }
            }
            Change::ServerAnnounced(entry) => {
                let servers = Arc::make_mut(&mut self.view.servers);
                servers.insert(entry.id.clone(), Arc::new(entry));
            }
            Change::ServerRemoved(id) => {
                Arc::make_mut(&mut self.view.servers).remove(&id);
            }
            Change::HostAnnounced(host) => self.add_listed_host(now, host),
            Change::HostRemoved(name) => {
                for peer in self.peers.values_mut().filter(|p| p.host.name == name) {
                    peer.is_listed = false;
                }
            }
        }
    }
}
