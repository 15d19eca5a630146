//! Declaration of the fleet: what operators declare, validated and indexed by name.

pub mod blocks;
pub mod error;
pub mod fields;
pub mod parse;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use sha2::{Digest as _, Sha256};
use slotmap::{SecondaryMap, SlotMap, new_key_type};

pub use self::{
    blocks::{BlockPart, ClientBlocks},
    error::{DeclarationError, ValidationError},
    parse::parse,
};
use crate::{rate::Home, time::UnixMillis};

new_key_type! {
    /// Key of a region.
    pub struct RegionKey;
    /// Key of a failure domain.
    pub struct DomainKey;
    /// Key of a workspace.
    pub struct WorkspaceKey;
    /// Key of a route.
    pub struct RouteKey;
    /// Key of a backend server.
    pub struct ServerKey;
    /// Key of a rollout.
    pub struct RolloutKey;
}

/// SHA-256 digest of a caller's key.
pub type KeyDigest = [u8; 32];

/// Computes the digest of a caller's key.
pub fn key_digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}
/// Requests per second.
pub type Rate = u32;
/// Fraction in parts per million.
pub type PartsPerMillion = u32;
/// Bytes per second.
pub type BytesPerSecond = u64;

/// A region with its failure domains.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name in the declaration.
    pub name: String,
    /// Limit on the traffic that this system sends from this region to others.
    pub link_limit: BytesPerSecond,
}

/// A failure domain.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Name in the declaration.
    pub name: String,
    /// The region it belongs to.
    pub region: RegionKey,
    /// Number of seats: hosts that may hold a part of the domain's authority at the same time.
    pub seats: u16,
}

/// A tenant with its keys and limits.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Name in the declaration.
    pub name: String,
    /// Digests of the valid keys.
    pub keys: Vec<KeyDigest>,
    /// Rate limit over all hosts together.
    pub rate: Rate,
    /// Burst size over all hosts together, in requests.
    pub burst: u32,
    /// Routes that the workspace may use; all routes if empty.
    pub routes: Vec<RouteKey>,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Anyone.
    Open,
    /// Callers that present a valid key.
    Keyed,
}

/// Whether a request of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    AtMostOnce,
}

/// A service that callers reach by name.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in the declaration.
    pub name: String,
    /// Who may use it.
    pub access: Access,
    /// Whether its requests may be retried.
    pub repeat: Repeat,
    /// Maximum and default time until the answer.
    pub deadline: Duration,
    /// Time for which a partitioned failure domain continues to serve the route, if it is keyed.
    pub authority: Duration,
    /// Objective: fraction of requests answered in time.
    pub objective: PartsPerMillion,
    /// Objective: maximum latency of a good answer.
    pub latency: Duration,
}

/// Declared state of a host or a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeclaredState {
    /// Accepts new requests.
    #[default]
    Serving,
    /// Accepts no new requests.
    Draining,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name in the declaration.
    pub name: String,
    /// The route that the server belongs to.
    pub route: RouteKey,
    /// Version of the service that it runs.
    pub version: String,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Maximum number of connections that it accepts.
    pub connections: u16,
    /// Declared state.
    pub state: DeclaredState,
}

/// A declared rollout, which shifts a route's traffic from one version to another in steps.
#[derive(Clone, Debug)]
pub struct RolloutSpec {
    /// Name in the declaration.
    pub name: String,
    /// The route whose traffic is shifted.
    pub route: RouteKey,
    /// The old version.
    pub from: String,
    /// The new version.
    pub to: String,
    /// Maximum increase of the new version's share in one step.
    pub cap: PartsPerMillion,
    /// Start time.
    pub start: UnixMillis,
    /// Deadline.
    pub finish_by: UnixMillis,
}

/// The compiled declaration.
#[derive(Clone, Debug, Default)]
pub struct Declaration {
    /// Regions.
    pub regions: SlotMap<RegionKey, Region>,
    /// Failure domains.
    pub domains: SlotMap<DomainKey, Domain>,
    /// Workspaces.
    pub workspaces: SlotMap<WorkspaceKey, Workspace>,
    /// Routes.
    pub routes: SlotMap<RouteKey, Route>,
    /// Backend servers.
    pub servers: SlotMap<ServerKey, Server>,
    /// Rollouts.
    pub rollouts: SlotMap<RolloutKey, RolloutSpec>,
    /// Declared states of hosts by name. A host without an entry is serving.
    pub hosts: HashMap<String, DeclaredState>,
    /// Client blocks with their regions.
    pub blocks: Arc<ClientBlocks>,
    /// Failure domains by name.
    pub domain_names: HashMap<String, DomainKey>,
    /// Regions by name.
    pub region_names: HashMap<String, RegionKey>,
    /// Routes by name.
    pub route_names: HashMap<String, RouteKey>,
    /// Backend servers by name.
    pub server_names: HashMap<String, ServerKey>,
    /// Workspaces by name.
    pub workspace_names: HashMap<String, WorkspaceKey>,
    /// Workspaces by digest of their keys.
    pub key_owners: HashMap<KeyDigest, WorkspaceKey>,
    /// Seats that the rate and burst of each workspace are assigned to.
    pub homes: SecondaryMap<WorkspaceKey, Vec<Home>>,
}

impl Declaration {
    /// The failure domain of this name.
    pub fn domain(&self, name: &str) -> Option<DomainKey> {
        self.domain_names.get(name).copied()
    }

    /// The region that a failure domain of this name belongs to.
    pub fn region_of(&self, domain: &str) -> Option<RegionKey> {
        self.domain(domain).map(|d| self.domains[d].region)
    }

    /// The route of this name.
    pub fn route(&self, name: &str) -> Option<(RouteKey, &Route)> {
        let key = *self.route_names.get(name)?;
        Some((key, &self.routes[key]))
    }

    /// Backend servers of a route.
    pub fn servers_of(&self, route: RouteKey) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter().filter(move |(_, s)| s.route == route)
    }

    /// Number of seats by name of the failure domain.
    pub fn seat_counts(&self) -> BTreeMap<String, u16> {
        self.domains.values().map(|d| (d.name.clone(), d.seats)).collect()
    }

    /// Longest authority of the keyed routes, or the default if there are none.
    pub fn longest_authority(&self) -> Duration {
        let keyed = self.routes.values().filter(|r| r.access == Access::Keyed);
        keyed.map(|r| r.authority).max().unwrap_or(parse::DEFAULT_AUTHORITY)
    }

    /// Seats that the rate and burst of a workspace are assigned to.
    pub fn homes_of(&self, workspace: WorkspaceKey) -> &[Home] {
        self.homes.get(workspace).map_or(&[], Vec::as_slice)
    }

    /// Whether a host is declared as draining.
    pub fn is_draining(&self, host: &str) -> bool {
        self.hosts.get(host) == Some(&DeclaredState::Draining)
    }
}
