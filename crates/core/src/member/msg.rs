//! Membership messages.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{
    config::Revision,
    host::{HostInfo, Incarnation},
    time::Instant,
};

/// A membership message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMsg {
    /// From a host to each host of its failure domain, and to addresses without a known host.
    Heartbeat(Heartbeat),
    /// From a delegate of one failure domain to a delegate of another.
    Digest(Digest),
    /// Live hosts of a failure domain: sent by a delegate to its own domain about another one, or
    /// to a new host by any host about its own domain.
    DomainStatus(DomainStatus),
    /// Asks a delegate of the same failure domain for the full status of another domain.
    DomainStatusRequest {
        /// Name of the failure domain.
        domain: String,
    },
}

/// Timestamps of the receiver, returned to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the receiver that made the timestamps.
    pub incarnation: Incarnation,
    /// A timestamp that the sender had received before it sent this.
    pub timestamp: Instant,
    /// The latest timestamp that the sender had received by the instant of its own proof.
    pub proven_timestamp: Option<Instant>,
}

/// A heartbeat of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostInfo,
    /// Message number, increasing within this incarnation of the host.
    pub sequence: u64,
    /// The revision in force on the host.
    pub revision: Revision,
    /// The highest accepted revision that the host has recorded.
    pub accepted: Revision,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// The sender's clock when it sent this; the receiver echoes it.
    pub timestamp: Instant,
    /// Timestamps of the receiver.
    pub echo: Option<Echo>,
}

/// State of a failure domain, sent by one of its delegates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sending delegate.
    pub host: HostInfo,
    /// Message number, increasing within this incarnation of the delegate.
    pub sequence: u64,
    /// The revision in force on the delegate.
    pub revision: Revision,
    /// The highest accepted revision that the delegate has recorded.
    pub accepted: Revision,
    /// The sender's clock when it sent this; the receiver echoes it.
    pub timestamp: Instant,
    /// Timestamps of the receiver.
    pub echo: Option<Echo>,
    /// Seats of the domain whose confirmed holders had this revision in force when the sender
    /// received the echoed timestamp, or later.
    pub up_to_date_seats: Vec<u16>,
    /// Hash of the list of the domain's live hosts.
    pub hosts_hash: HostsHash,
    /// Live hosts of the domain; omitted if the receiver already has this list.
    pub hosts: Option<Vec<DomainHost>>,
    /// Hash of the sender's list of hosts of the receiver's domain, 0 if it has none.
    pub known_hosts_hash: HostsHash,
}

/// A live host in a list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainHost {
    /// The host.
    pub info: HostInfo,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// Hash of a list of hosts; a list is not sent to a host that reported the same hash.
pub type HostsHash = u64;

/// Hash of a list of hosts, which depends on their order.
pub fn hash_hosts(hosts: &[DomainHost]) -> HostsHash {
    let mut hash = Sha256::new();
    for DomainHost { info, stopping } in hosts {
        let addresses = (info.caller_address, info.peer_address);
        let line = format!(
            "{} {} {addresses:?} {} {stopping}\n",
            info.name, info.domain, info.incarnation
        );
        hash.update(line);
    }
    let hash = hash.finalize();
    let (first, _) = hash.split_at(8);
    first.iter().fold(0, |sum, byte| sum << 8 | HostsHash::from(*byte))
}

/// Live hosts of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Name of the failure domain.
    pub domain: String,
    /// Incarnation of the host that reported the hosts.
    pub from: Incarnation,
    /// Number of its message.
    pub sequence: u64,
    /// Hash of the list of the domain's live hosts.
    pub hosts_hash: HostsHash,
    /// Live hosts of the domain, empty if it is silent; omitted if the list is unchanged.
    pub hosts: Option<Vec<DomainHost>>,
}
