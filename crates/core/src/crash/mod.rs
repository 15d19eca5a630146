//! Requests that crash the backend server that runs them.

pub mod evidence;
pub mod suspects;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::suspects::{SuspectDecision, Suspects};
use crate::host::Incarnation;

/// Time for which a crash of another server is taken as a sign of another cause.
const OTHER_CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Fingerprint of a request: a hash of its route and body.
pub type Fingerprint = u64;

/// Number of crashed servers from which a request is taken to be the cause: one more if other servers
/// crash as well that did not run it.
const fn crashes_to_refuse(have_others_crashed: bool) -> usize {
    2 + have_others_crashed as usize
}

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
