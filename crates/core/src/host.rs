//! Identity of a host and of one life of its process.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// One life of a process: a random number drawn at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What a host says of itself, from its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// Name of the host, unique in the fleet.
    pub name: String,
    /// Name of the failure domain that the host stands in.
    pub domain: String,
    /// Address for callers (HTTP).
    pub caller_address: SocketAddr,
    /// Address for other hosts (UDP and TCP).
    pub peer_address: SocketAddr,
    /// This life of the process.
    pub incarnation: Incarnation,
}
