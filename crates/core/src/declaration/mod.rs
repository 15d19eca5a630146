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
    error::{DeclarationError, Fault},
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
    /// Key of a move of traffic between two versions.
    pub struct RolloutKey;
}

/// SHA-256 digest of a caller's key.
pub type KeyDigest = [u8; 32];

/// Digest of a caller's key.
pub fn key_digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}
/// Requests per second.
pub type Rate = u32;
/// Share of traffic in parts per million.
pub type PartsPerMillion = u32;
/// Bytes per second.
pub type BytesPerSecond = u64;

/// A region with its failure domains.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name in the declaration.
    pub name: String,
    /// Limit on what this system sends from this region to another one.
    pub link: BytesPerSecond,
}

/// A failure domain.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Name in the declaration.
    pub name: String,
    /// The region it belongs to.
    pub region: RegionKey,
    /// Number of hosts that can hold a part of the domain's authority.
    pub seats: u16,
}

/// A tenant with its keys and limits.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Name in the declaration.
    pub name: String,
    /// Digests of the keys that are valid.
    pub keys: Vec<KeyDigest>,
    /// Requests per second across all hosts together.
    pub rate: Rate,
    /// Requests above the rate at one moment across all hosts together.
    pub burst: u32,
    /// Routes it may use, all when empty.
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

/// Whether a request of a route may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running a request twice is harmless.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
}

/// A service that callers reach by name.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in the declaration.
    pub name: String,
    /// Who may use it.
    pub access: Access,
    /// Whether its requests may be tried again.
    pub repeat: Repeat,
    /// Longest time until the answer, also the default one.
    pub deadline: Duration,
    /// How long keyed service goes on in a failure domain that is cut off.
    pub authority: Duration,
    /// Objective: share of requests answered in time.
    pub objective: PartsPerMillion,
    /// Objective: time in which an answer counts as good.
    pub latency: Duration,
}

/// Declared state of a host or a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeclaredState {
    /// Takes new work.
    #[default]
    Serving,
    /// Takes no new work.
    Draining,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name in the declaration.
    pub name: String,
    /// The route it serves.
    pub route: RouteKey,
    /// Version of the service it runs.
    pub version: String,
    /// Where it stands.
    pub domain: DomainKey,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Requests it runs at the same time.
    pub slots: u16,
    /// Connections it accepts.
    pub connections: u16,
    /// Declared state.
    pub state: DeclaredState,
}

/// A move of a route's traffic from one version to another.
#[derive(Clone, Debug)]
pub struct RolloutSpec {
    /// Name in the declaration.
    pub name: String,
    /// The route whose traffic moves.
    pub route: RouteKey,
    /// The version that serves now.
    pub from: String,
    /// The version that takes over.
    pub to: String,
    /// Largest share that moves in one step.
    pub cap: PartsPerMillion,
    /// When it starts.
    pub start: UnixMillis,
    /// By when it must have finished.
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
    /// Moves of traffic.
    pub rollouts: SlotMap<RolloutKey, RolloutSpec>,
    /// Declared states of hosts by name; a host that is not named serves.
    pub hosts: HashMap<String, DeclaredState>,
    /// Client blocks and the region of each.
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
    /// Workspaces by the digest of a key.
    pub key_owners: HashMap<KeyDigest, WorkspaceKey>,
    /// The seats that own the rate and burst of each workspace.
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

    /// Seats by name of the failure domain.
    pub fn seat_counts(&self) -> BTreeMap<String, u16> {
        self.domains.values().map(|d| (d.name.clone(), d.seats)).collect()
    }

    /// Longest authority of a keyed route; the default one when there is none.
    pub fn longest_authority(&self) -> Duration {
        let keyed = self.routes.values().filter(|r| r.access == Access::Keyed);
        keyed.map(|r| r.authority).max().unwrap_or(parse::DEFAULT_AUTHORITY)
    }

    /// The seats that own the rate and burst of a workspace.
    pub fn homes_of(&self, workspace: WorkspaceKey) -> &[Home] {
        self.homes.get(workspace).map_or(&[], Vec::as_slice)
    }

    /// Whether the declaration says that a host leaves.
    pub fn is_draining(&self, host: &str) -> bool {
        self.hosts.get(host) == Some(&DeclaredState::Draining)
    }
}
