//! Membership: heartbeats between the hosts of a failure domain, and digests that delegates of the
//! failure domains exchange.

pub mod domains;
pub mod msg;
pub mod own_domain;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

pub use self::{
    domains::{DomainChange, RemoteDomains},
    msg::{Digest, DomainHost, DomainStatus, Echo, Heartbeat, HostsHash, MemberMsg, hash_hosts},
    own_domain::{Member, MemberChange, Members},
};

/// Time between two heartbeats of a host.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Time without a heartbeat after which a host counts as unreachable.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Time without a heartbeat after which a host is removed from the member list.
pub const MEMBER_RETENTION: Duration = Duration::from_secs(60);
/// Number of delegates of a failure domain: the hosts that read the store and send digests to other
/// domains.
pub const DELEGATES_PER_DOMAIN: usize = 2;

/// Hash that ranks the hosts of a failure domain as delegates and for seat claims, lowest first:
/// rendezvous hashing (Thaler and Ravishankar 1998) of the names of the domain and the host.
pub fn rendezvous_hash(domain: &str, host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (domain, host).hash(&mut hasher);
    hasher.finish()
}
