//! What hosts tell each other several times a second.
//!
//! Hosts of one region tell each other everything. Regions exchange summaries through a few speakers,
//! and a host that received a summary passes it on inside its region, so the cost of a host does not
//! grow with the number of regions' hosts.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::{rollout::RolloutState, stable_hash};
use crate::host::Incarnation;

/// Short hash of a name, the same on all hosts.
pub type NameHash = u32;

/// The short hash of a name.
pub fn name_hash(name: &str) -> NameHash {
    stable_hash(8, name.as_bytes()) as NameHash
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
    /// Answers of the other versions.
    pub other_answers: u32,
    /// Failures of the other versions.
    pub other_failures: u32,
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
    /// Address for digests and copies of other hosts.
    pub peers: SocketAddr,
    /// Processor share of the host in thousandths of a core.
    pub millicores: u32,
}

/// What hosts have seen that adds up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests per second by service.
    pub services: BTreeMap<NameHash, f32>,
    /// Requests admitted in the last window by workspace.
    pub workspaces: BTreeMap<NameHash, u32>,
    /// Versions on trial.
    pub trials: Vec<Trial>,
    /// Fingerprints of requests that crashed servers, with the server.
    pub deaths: Vec<(u64, u64)>,
}

impl Summary {
    /// Adds what another host has seen.
    pub fn add(&mut self, other: &Summary) {
        for (service, rate) in &other.services {
            *self.services.entry(*service).or_default() += rate;
        }
        for (workspace, used) in &other.workspaces {
            *self.workspaces.entry(*workspace).or_default() += used;
        }
        for trial in &other.trials {
            let same = |t: &&mut Trial| t.service == trial.service && t.version == trial.version;
            match self.trials.iter_mut().find(same) {
                Some(sum) => {
                    sum.answers += trial.answers;
                    sum.failures += trial.failures;
                    sum.other_answers += trial.other_answers;
                    sum.other_failures += trial.other_failures;
                    sum.stopped |= trial.stopped;
                }
                None => self.trials.push(trial.clone()),
            }
        }
        self.deaths.extend(&other.deaths);
        self.deaths.sort_unstable();
        self.deaths.dedup();
    }
}

/// How far a host has followed the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Revision of the operators' newest change.
    pub orders: u64,
    /// Revision of the newest change of a server that matters for the choice.
    pub servers: u64,
    /// Rollouts by service, with the revision of the order and the state.
    pub rollouts: Vec<(String, u64, RolloutState)>,
}

/// State of one host, for the hosts of its region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Who says it.
    pub from: Announcement,
    /// Whether the sender takes new callers.
    pub ready: bool,
    /// Whether the store answers the sender, as far as it knows.
    pub reaches_store: bool,
    /// Milliseconds since the sender last read the store itself.
    pub store_read_ms: Option<u32>,
    /// How far the sender has followed the store.
    pub progress: Progress,
    /// Requests of the sender at servers, by short hash of the server's id.
    pub in_flight: Vec<(NameHash, u32)>,
    /// What the sender has seen.
    pub seen: Summary,
    /// Summaries that other regions sent to the sender.
    pub regions: Vec<RegionSummary>,
    /// A few other hosts.
    pub others: Vec<SocketAddr>,
}

/// State of a region, for the other regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The region.
    pub region: String,
    /// The host that made the summary.
    pub speaker: Incarnation,
    /// Address of that host for other hosts.
    pub address: SocketAddr,
    /// Number of the summary within the life of the speaker.
    pub sequence: u64,
    /// Hosts that the speaker hears, itself included, and whether they take new callers.
    pub hosts: Vec<(Incarnation, bool)>,
    /// Hosts of the region that may be alive and that the speaker does not hear.
    pub unheard: u32,
    /// How far the hosts have followed the store.
    pub progress: Progress,
    /// What the hosts have seen.
    pub seen: Summary,
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Inside a region.
    Host(Box<Digest>),
    /// Between regions.
    Region(Box<RegionSummary>),
}
