//! What hosts tell each other several times a second.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::rollout::RolloutState;
use crate::host::Incarnation;

/// Requests of one host at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Hash of the server's id.
    pub server: u64,
    /// Requests that it runs or queues for this host.
    pub requests: u32,
}

/// Requests for a service at one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: String,
    /// Requests per second.
    pub rate: f32,
}

/// Use of a workspace's quota at one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// Name of the workspace.
    pub workspace: String,
    /// Requests admitted in the last window.
    pub used: f32,
}

/// What one host has seen of a version on trial.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Trial {
    /// Service whose version changes.
    pub service: String,
    /// Version on trial.
    pub version: String,
    /// Answers of the version.
    pub answers: u32,
    /// Answers that failed.
    pub failures: u32,
    /// Sum of the latencies of its answers in milliseconds.
    pub latency_ms: u64,
    /// Answers of the other versions.
    pub other_answers: u32,
    /// Failures of the other versions.
    pub other_failures: u32,
    /// Sum of the latencies of the other versions in milliseconds.
    pub other_latency_ms: u64,
    /// Whether this host has found the version faulty.
    pub stopped: bool,
}

/// Identity and addresses of a host, as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Name of the machine.
    pub name: String,
    /// Failure domain.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for digests and snapshots of other hosts.
    pub peers: SocketAddr,
    /// Capacity of the host relative to others, in thousandths of a core.
    pub millicores: u32,
}

/// State of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Who says it.
    pub from: Announcement,
    /// Number of the digest within the life of the sender.
    pub sequence: u64,
    /// Whether the sender takes new callers.
    pub ready: bool,
    /// Revision of the operators' newest change that the sender follows.
    pub orders: u64,
    /// Revision up to which the sender knows the backend servers.
    pub servers: u64,
    /// Requests in flight at servers.
    pub in_flight: Vec<InFlight>,
    /// Demand by service.
    pub services: Vec<ServiceDemand>,
    /// Use of quotas.
    pub workspaces: Vec<WorkspaceUse>,
    /// Versions on trial.
    pub trials: Vec<Trial>,
    /// Rollouts by service, with the revision of the order and the state.
    pub rollouts: Vec<(String, u64, RolloutState)>,
    /// Fingerprints of requests that crashed servers, with the server.
    pub deaths: Vec<(u64, u64)>,
    /// A few other hosts.
    pub others: Vec<SocketAddr>,
}
