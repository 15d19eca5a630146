//! Requests that crash the backend server that runs them.

pub mod suspects;

use serde::{Deserialize, Serialize};

pub use self::suspects::{SuspectDecision, Suspects};
use crate::host::Incarnation;

/// Fingerprint of a request: a hash of its route and body.
pub type Fingerprint = u64;

/// A backend server that crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCrash {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Name of the backend server.
    pub server: String,
    /// Incarnation of the host that observed the crash.
    pub observed_by: Incarnation,
}

/// Messages between hosts about requests that crash backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMsg {
    /// Backend servers crashed.
    Crashes {
        /// One for each request that was in flight.
        crashes: Vec<ServerCrash>,
        /// Whether the receiver forwards the message to the hosts of its failure domain.
        relay: bool,
    },
    /// A suspect got a complete answer, so it is no longer suspected.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Whether the receiver forwards the message to the hosts of its failure domain.
        relay: bool,
    },
}
