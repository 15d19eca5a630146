//! Membership: hosts of this failure domain by heartbeats, other domains by digests of delegates.

pub mod fleet;
pub mod msg;
pub mod own;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

pub use self::{
    fleet::{Fleet, Told},
    msg::{Digest, DomainHost, Echo, Heartbeat, ListHash, MemberMsg, News, list_hash},
    own::{Heard, Member, Members},
};

/// Time between two heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(250);
/// Silence after which a host counts as not reachable.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Silence after which a host is forgotten.
pub const FORGET_LIMIT: Duration = Duration::from_secs(60);
/// Hosts of a failure domain that read the store and speak to other domains.
pub const RELAYS: usize = 2;

/// Order in which the hosts of a failure domain take its duties: rendezvous hashing (Thaler and
/// Ravishankar 1998) of the domain's name and the host's.
pub fn duty_order(domain: &str, host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (domain, host).hash(&mut hasher);
    hasher.finish()
}
