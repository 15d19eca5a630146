//! Identity of a host and of its process.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Random number drawn when a process starts. It distinguishes the process from earlier ones on the
/// same host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identity and addresses of a host, from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Name of the failure domain that the host belongs to.
    pub domain: String,
    /// Address for requests of callers (HTTP).
    pub caller_address: SocketAddr,
    /// Address for messages of other hosts (UDP and TCP).
    pub peer_address: SocketAddr,
    /// Incarnation of the current process.
    pub incarnation: Incarnation,
}
