//! State messages that hosts exchange several times a second.
//!
//! A few hosts of each failure domain are relays. The relays of a region exchange digests with each
//! other; the other hosts, the followers, exchange digests only with the relays of their failure
//! domain. A relay adds the sum of its followers to the digests for other relays, and the sum of the
//! whole region to those for its followers. Regions exchange summaries through a few gateway hosts.
//! So the cost per host grows neither with the hosts of other regions nor, except inside the failure
//! domain, with those of its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{
    admitted::AdmittedCounts,
    leaving::IncarnationHash,
    limits::{self, LimitReport},
    mirror::CopyState,
    position::StorePosition,
    rollout::RolloutState,
    stable_hash,
    usage::HostCounts,
};
use crate::{crash::evidence::CrashReport, host::Incarnation};

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
    /// Position of the rollout order.
    pub order: StorePosition,
    /// Requests sent to servers of the new version.
    pub requests: u32,
    /// Responses from servers of the new version that can be compared with the others.
    pub responses: u32,
    /// Failed or slow responses from servers of the new version.
    pub failures: u32,
    /// Responses among them that the servers of the new version themselves marked as failed, or that
    /// were invalid.
    pub errors: u32,
    /// Responses from servers of the other versions.
    pub baseline_responses: u32,
    /// Failed or slow responses from servers of the other versions.
    pub baseline_failures: u32,
    /// Responses among them that are errors.
    pub baseline_errors: u32,
    /// Whether the version is faulty according to all counts that this host has.
    pub found_faulty: bool,
}

impl CanaryStats {
    /// Whether both count the responses of the same rollout.
    pub fn is_same_rollout(&self, other: &CanaryStats) -> bool {
        self.service == other.service && self.version == other.version && self.order == other.order
    }

    /// Adds the responses that another host counted.
    pub fn add(&mut self, other: &CanaryStats) {
        self.requests += other.requests;
        self.responses += other.responses;
        self.failures += other.failures;
        self.errors += other.errors;
        self.baseline_responses += other.baseline_responses;
        self.baseline_failures += other.baseline_failures;
        self.baseline_errors += other.baseline_errors;
        self.found_faulty |= other.found_faulty;
    }
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

/// Requests admitted in the last quota window by workspace.
pub type AdmittedByWorkspace = BTreeMap<NameHash, AdmittedCounts>;

/// Adds the requests that other hosts had admitted some slots ago.
pub fn add_admitted(sum: &mut AdmittedByWorkspace, other: &AdmittedByWorkspace, slots: u64) {
    for (workspace, counts) in other {
        sum.entry(*workspace).or_default().add(&counts.aged(slots));
    }
}

/// Traffic statistics that can be summed over hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficStats {
    /// Requests per second by service.
    pub request_rates: BTreeMap<NameHash, f32>,
    /// Requests admitted in the last quota window by workspace. A sum of several hosts includes those of
    /// hosts that have ended.
    pub admitted: AdmittedByWorkspace,
    /// Response counts of running rollouts.
    pub canaries: Vec<CanaryStats>,
    /// Requests that servers ran when they crashed.
    pub crashes: CrashReport,
    /// Servers that recently announced in a response that they are about to stop.
    pub leaving: BTreeSet<IncarnationHash>,
    /// Limits that servers recently stated in a response.
    pub limits: LimitReport,
}

impl TrafficStats {
    /// Adds the statistics of another host.
    pub fn merge(&mut self, other: &TrafficStats) {
        for (service, rate) in &other.request_rates {
            *self.request_rates.entry(*service).or_default() += rate;
        }
        add_admitted(&mut self.admitted, &other.admitted, 0);
        for canary in &other.canaries {
            match self.canaries.iter_mut().find(|c| c.is_same_rollout(canary)) {
                Some(sum) => sum.add(canary),
                None => self.canaries.push(canary.clone()),
            }
        }
        self.crashes.merge(&other.crashes);
        self.leaving.extend(&other.leaving);
        limits::merge_report(&mut self.limits, &other.limits);
    }
}

/// Progress of a rollout as one host knows it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// Service whose version changes.
    pub service: String,
    /// Position of the rollout order.
    pub order: StorePosition,
    /// State that the host knows.
    pub state: RolloutState,
    /// Time since the start of the rollout.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub elapsed: Duration,
}

/// What a host has applied of the store's items.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreProgress {
    /// The copy of the operators' data.
    pub operator_data: CopyState,
    /// The copy of the servers' entries.
    pub servers: CopyState,
    /// Milliseconds for which all reads of the store by the host have succeeded; `None` if it does not
    /// read the store.
    pub store_steady_ms: Option<u32>,
    /// Progress of each rollout.
    pub rollouts: Vec<RolloutProgress>,
}

/// Hosts that an [`Aggregate`] covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AggregateScope {
    /// The followers in the failure domain of the sender.
    Followers,
    /// All hosts of the region except the receiver.
    Region,
}

/// Sum of the states of several hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateSum {
    /// Number of hosts that the sum includes.
    pub host_count: usize,
    /// Requests in flight, by short hash of the server's id.
    pub in_flight: Vec<(NameHash, u32)>,
    /// Traffic statistics.
    pub stats: TrafficStats,
}

/// What a relay reports about other hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Aggregate {
    /// Which hosts are covered.
    pub scope: AggregateScope,
    /// The running hosts of the sender's failure domain or region, also those that the sum does not
    /// include, and whether they accept new callers.
    pub hosts: Vec<(Incarnation, bool)>,
    /// Those of the hosts that the sender has known for a short time only.
    pub new_hosts: Vec<Announcement>,
    /// Sum of the states of the hosts in the scope.
    pub sum: StateSum,
}

/// State of one host, sent to other hosts of its region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The host that sent the digest.
    pub sender: Announcement,
    /// Whether the sender accepts new callers.
    pub ready: bool,
    /// Whether the sender is a relay of its failure domain.
    pub is_relay: bool,
    /// Whether the sender's last read of the store succeeded.
    pub reaches_store: bool,
    /// Milliseconds since the sender itself last read the store.
    pub store_read_age_ms: Option<u32>,
    /// What the sender has applied of the store's items.
    pub progress: StoreProgress,
    /// Requests that the sender has in flight, by short hash of the server's id.
    pub in_flight: Vec<(NameHash, u32)>,
    /// Traffic statistics of the sender.
    pub stats: TrafficStats,
    /// Sum of other hosts, if the sender is a relay.
    pub aggregate: Option<Aggregate>,
    /// Summaries of other regions.
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
    /// What the sender has applied of the store's items.
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
    /// Sent to the relays of a failure domain. Only where usage is reported, since hosts of earlier
    /// releases cannot decode it.
    Usage(HostCounts),
}
