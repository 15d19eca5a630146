//! Messages about membership.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::{
    config::Revision,
    host::{HostInfo, Incarnation},
    time::Instant,
};

/// Messages between hosts about membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMsg {
    /// From a host to each host of its failure domain, and to addresses not heard yet.
    Heartbeat(Heartbeat),
    /// From a delegate of one failure domain to one of another.
    Digest(Digest),
    /// From a delegate to the hosts of its failure domain, about another domain.
    News(News),
    /// Asks a delegate of the same failure domain for its full news of a domain.
    WantNews {
        /// Name of the failure domain.
        domain: String,
    },
}

/// Stamps of the receiver that come back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The life of the receiver that made the stamps.
    pub of: Incarnation,
    /// A stamp that the sender had received before it sent this.
    pub stamp: Instant,
    /// A stamp that the sender had received before the instant of its own proof.
    pub proven: Option<Instant>,
}

/// A heartbeat of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub host: HostInfo,
    /// Number of the heartbeat in this life of the host.
    pub sequence: u64,
    /// The revision in force on the host.
    pub revision: Revision,
    /// The highest revision that the host knows to be accepted.
    pub accepted: Revision,
    /// Whether the host is stopping.
    pub stopping: bool,
    /// The sender's clock, echoed by the receiver.
    pub stamp: Instant,
    /// The receiver's stamps.
    pub echo: Option<Echo>,
}

/// What a delegate says of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The delegate.
    pub host: HostInfo,
    /// Number of the digest in this life of the delegate.
    pub sequence: u64,
    /// The revision in force on the delegate.
    pub revision: Revision,
    /// The highest revision that the delegate knows to be accepted.
    pub accepted: Revision,
    /// The sender's clock, echoed by the receiver.
    pub stamp: Instant,
    /// The receiver's stamps.
    pub echo: Option<Echo>,
    /// Seats of the domain whose holders have this revision in force and have been heard from
    /// since the echoed stamp arrived.
    pub vouching: Vec<u16>,
    /// Hash of the list of the domain's live hosts.
    pub list: ListHash,
    /// Live hosts of the domain; left out when the receiver holds this very list.
    pub hosts: Option<Vec<DomainHost>>,
    /// Hash of the list of the receiver's domain that the sender holds, 0 when it holds none.
    pub holds: ListHash,
}

/// A live host as others name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainHost {
    /// The host.
    pub info: HostInfo,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// Hash of a list of hosts: hosts that hold the same one need not be sent it again.
pub type ListHash = u64;

/// Hash of a list of hosts in its order.
pub fn list_hash(hosts: &[DomainHost]) -> ListHash {
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
    first.iter().fold(0, |sum, byte| sum << 8 | ListHash::from(*byte))
}

/// Live hosts of another failure domain, passed on inside a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// Name of the failure domain.
    pub domain: String,
    /// The life of the delegate that said so.
    pub from: Incarnation,
    /// Number of its digest.
    pub sequence: u64,
    /// Hash of the list of its live hosts.
    pub list: ListHash,
    /// Its live hosts, empty when the domain has fallen silent; left out to confirm a list.
    pub hosts: Option<Vec<DomainHost>>,
}
