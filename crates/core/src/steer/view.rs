//! The state that the control thread publishes for the traffic threads.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use super::{
    bounds::Bounds, catalog::Catalog, digest::Announcement, rollout::Rollout, server::ServerEntries,
};
use crate::time::Instant;

/// Another host that may be running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The host's announcement.
    pub host: Announcement,
    /// Region of the host's failure domain.
    pub region: String,
    /// Whether the host accepts new callers.
    pub ready: bool,
    /// Whether state of the host has arrived recently.
    pub is_reachable: bool,
}

/// An immutable snapshot of the configuration, the servers and the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// Bounds of the deployment.
    pub bounds: Arc<Bounds>,
    /// This host.
    pub local_host: Announcement,
    /// Region of this host.
    pub region: String,
    /// Region of each failure domain.
    pub zone_regions: Arc<HashMap<String, String>>,
    /// Regions, sorted by name.
    pub regions: Arc<Vec<String>>,
    /// The configuration in force.
    pub catalog: Arc<Catalog>,
    /// Announced servers by id.
    pub servers: Arc<ServerEntries>,
    /// Failure domains whose servers get no requests.
    pub evacuated_zones: Arc<HashSet<String>>,
    /// Time at which the evacuation of a failure domain ended.
    pub reopened_zones: Arc<HashMap<String, Instant>>,
    /// Rollouts by service.
    pub rollouts: Arc<HashMap<String, Rollout>>,
    /// Versions that serve requests outside of a rollout, by service.
    pub regular_versions: Arc<HashMap<String, HashSet<String>>>,
    /// Other hosts that may be running.
    pub peers: Arc<Vec<Peer>>,
    /// Whether this host is stopping.
    pub stopping: bool,
}

impl View {
    /// Creates the view of a host that has not received any state yet.
    pub fn empty(
        bounds: Bounds,
        local_host: Announcement,
        zone_regions: HashMap<String, String>,
    ) -> Self {
        let region = zone_regions.get(&local_host.zone).cloned().unwrap_or_default();
        let mut regions: Vec<String> = zone_regions.values().cloned().collect();
        regions.sort();
        regions.dedup();
        View {
            bounds: Arc::new(bounds),
            local_host,
            region,
            zone_regions: Arc::new(zone_regions),
            regions: Arc::new(regions),
            catalog: Arc::default(),
            servers: Arc::default(),
            evacuated_zones: Arc::default(),
            reopened_zones: Arc::default(),
            rollouts: Arc::default(),
            regular_versions: Arc::default(),
            peers: Arc::default(),
            stopping: false,
        }
    }

    /// Number of hosts that may be running, this one included.
    pub fn host_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Whether this host accepts new callers.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_loaded() && !self.servers.is_empty() && !self.stopping
    }

    /// Returns the index of a region in `regions`.
    pub fn region_index(&self, region: &str) -> Option<usize> {
        self.regions.iter().position(|r| r == region)
    }
}
