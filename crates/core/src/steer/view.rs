//! What the control thread publishes for the traffic threads.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use super::{
    catalog::Catalog, digest::Announcement, rollout::Rollout, server::ServerEntries, terms::Terms,
};
use crate::time::Instant;

/// Another host that may be alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// What it says of itself.
    pub host: Announcement,
    /// Region of its failure domain.
    pub region: String,
    /// Whether it takes new callers.
    pub ready: bool,
    /// Whether it was heard lately.
    pub is_heard: bool,
}

/// An immutable picture of the configuration, the servers and the fleet.
#[derive(Clone, Debug)]
pub struct View {
    /// Bounds of the deployment.
    pub terms: Arc<Terms>,
    /// This host.
    pub me: Announcement,
    /// Region of this host.
    pub region: String,
    /// Region of each failure domain.
    pub zones: Arc<HashMap<String, String>>,
    /// Regions in the order of their names.
    pub regions: Arc<Vec<String>>,
    /// The configuration in force.
    pub catalog: Arc<Catalog>,
    /// Announced servers.
    pub servers: Arc<ServerEntries>,
    /// Failure domains whose servers get nothing.
    pub evacuated: Arc<HashSet<String>>,
    /// When the evacuation of a failure domain ended.
    pub reopened: Arc<HashMap<String, Instant>>,
    /// Rollouts by service.
    pub rollouts: Arc<HashMap<String, Rollout>>,
    /// Versions that served before a rollout was ordered, by service.
    pub versions: Arc<HashMap<String, HashSet<String>>>,
    /// Other hosts that may be alive.
    pub peers: Arc<Vec<Peer>>,
    /// Whether this host is stopping.
    pub stopping: bool,
}

impl View {
    /// The view of a host that has heard nothing yet.
    pub fn empty(terms: Terms, me: Announcement, zones: HashMap<String, String>) -> Self {
        let region = zones.get(&me.zone).cloned().unwrap_or_default();
        let mut regions: Vec<String> = zones.values().cloned().collect();
        regions.sort();
        regions.dedup();
        View {
            terms: Arc::new(terms),
            me,
            region,
            zones: Arc::new(zones),
            regions: Arc::new(regions),
            catalog: Arc::default(),
            servers: Arc::default(),
            evacuated: Arc::default(),
            reopened: Arc::default(),
            rollouts: Arc::default(),
            versions: Arc::default(),
            peers: Arc::default(),
            stopping: false,
        }
    }

    /// Hosts that may be alive, this one included.
    pub fn host_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Whether this host takes new callers.
    pub fn is_ready(&self) -> bool {
        self.catalog.is_loaded() && !self.servers.is_empty() && !self.stopping
    }

    /// The position of a region among the regions.
    pub fn region_index(&self, region: &str) -> Option<usize> {
        self.regions.iter().position(|r| r == region)
    }
}
