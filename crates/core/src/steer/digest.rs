//! State messages that hosts exchange several times a second.
//!
//! Hosts of one region exchange full digests. Regions exchange summaries through a few gateway
//! hosts, and a host that received a summary forwards it inside its region, so the cost per host
//! does not grow with the number of hosts in other regions.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::{rollout::RolloutState, stable_hash};
use crate::host::Incarnation;

/// Short hash of a name, identical on all hosts.
pub type NameHash = u32;

/// Computes the short hash of a name.
pub fn name_hash(name: &str) -> NameHash {
    stable_hash(8, name.as_bytes()) as NameHash
}

/// Responses that one host counted during the rollout of a version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CanaryStats {
    /// Service whose version changes.
    pub service: String,
    /// Version that is rolled out.
    pub version: String,
    /// Responses from servers of the new version.
    pub responses: u32,
    /// Failed responses from servers of the new version.
    pub failures: u32,
    /// Responses from servers of the other versions.
    pub baseline_responses: u32,
    /// Failed responses from servers of the other versions.
    pub baseline_failures: u32,
    /// Whether the version is faulty according to all counts that this host has.
    pub found_faulty: bool,
}

/// Identity and addresses of a host, as it publishes them in the store and in digests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Random ID of this process instance.
    pub incarnation: Incarnation,
    /// Name under which the host is announced in the store.
    pub name: String,
    /// Failure domain.
    pub zone: String,
    /// Address on which the host accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Address on which the host accepts digests and snapshot requests of other hosts.
    pub peer_address: SocketAddr,
    /// CPU quota of the host in thousandths of a core.
    pub millicores: u32,
}

/// Traffic statistics that can be summed over hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficStats {
    /// Requests per second by service.
    pub request_rates: BTreeMap<NameHash, f32>,
    /// Requests admitted in the last quota window by workspace.
    pub admitted: BTreeMap<NameHash, u32>,
    /// Response counts of running rollouts.
    pub canaries: Vec<CanaryStats>,
    /// Fingerprints of requests that crashed a server, each with the hash of that server's id.
    pub crashes: Vec<(u64, u64)>,
}

impl TrafficStats {
    /// Adds the statistics of another host.
    pub fn merge(&mut self, other: &TrafficStats) {
        for (service, rate) in &other.request_rates {
            *self.request_rates.entry(*service).or_default() += rate;
        }
        for (workspace, count) in &other.admitted {
            *self.admitted.entry(*workspace).or_default() += count;
        }
        for canary in &other.canaries {
            let is_same =
                |c: &&mut CanaryStats| c.service == canary.service && c.version == canary.version;
            match self.canaries.iter_mut().find(is_same) {
                Some(sum) => {
                    sum.responses += canary.responses;
                    sum.failures += canary.failures;
                    sum.baseline_responses += canary.baseline_responses;
                    sum.baseline_failures += canary.baseline_failures;
                    sum.found_faulty |= canary.found_faulty;
                }
                None => self.canaries.push(canary.clone()),
            }
        }
        self.crashes.extend(&other.crashes);
        self.crashes.sort_unstable();
        self.crashes.dedup();
    }
}

/// Newest revisions of the store that a host has applied.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreProgress {
    /// Revision of the newest change that an operator wrote.
    pub operator_revision: u64,
    /// Revision of the newest change that affects which servers can be selected.
    pub server_revision: u64,
    /// Service, revision of the rollout order and state of each rollout.
    pub rollouts: Vec<(String, u64, RolloutState)>,
}

/// State of one host, sent to the other hosts of its region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The host that sent the digest.
    pub sender: Announcement,
    /// Whether the sender accepts new callers.
    pub ready: bool,
    /// Whether the sender's last read of the store succeeded.
    pub reaches_store: bool,
    /// Milliseconds since the sender itself last read the store.
    pub store_read_age_ms: Option<u32>,
    /// Store revisions that the sender has applied.
    pub progress: StoreProgress,
    /// Requests that the sender has in flight, by short hash of the server's id.
    pub in_flight: Vec<(NameHash, u32)>,
    /// Traffic statistics of the sender.
    pub stats: TrafficStats,
    /// Summaries that the sender received directly from other regions.
    pub region_summaries: Vec<RegionSummary>,
    /// Peer addresses of a few other hosts, for hosts that do not have them yet.
    pub known_hosts: Vec<SocketAddr>,
}

/// Aggregated state of a region, sent to the other regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// Name of the region.
    pub region: String,
    /// The host that built and sent the summary.
    pub sender: Incarnation,
    /// Peer address of the sender.
    pub sender_address: SocketAddr,
    /// Increases with every message of the same incarnation of the sender.
    pub sequence: u64,
    /// Hosts whose digests reach the sender, itself included, and whether they accept new callers.
    pub hosts: Vec<(Incarnation, bool)>,
    /// Number of hosts of the region that may be running but whose digests do not reach the sender.
    pub unreachable_hosts: u32,
    /// Store revisions that the sender has applied.
    pub progress: StoreProgress,
    /// Traffic statistics of the region's hosts.
    pub stats: TrafficStats,
}

/// A datagram between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Sent inside a region.
    Host(Box<Digest>),
    /// Sent between regions.
    Region(Box<RegionSummary>),
}
