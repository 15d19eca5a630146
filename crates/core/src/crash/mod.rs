//! Requests that crash the backend server that runs them.

pub mod suspects;

use serde::{Deserialize, Serialize};

pub use self::suspects::{Suspects, Verdict};
use crate::host::Incarnation;

/// Fingerprint of a request: a hash of its route and body.
pub type Fingerprint = u64;

/// A backend server died while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Name of the backend server.
    pub server: String,
    /// The life of the host that saw it.
    pub seen_by: Incarnation,
}

/// Messages between hosts about such requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMsg {
    /// Backend servers died.
    Deaths {
        /// One for each request that was in flight.
        deaths: Vec<Death>,
        /// Whether the receiver tells the hosts of its failure domain.
        relay: bool,
    },
    /// A suspected request was answered whole, so it is innocent.
    Cleared {
        /// Its fingerprint.
        fingerprint: Fingerprint,
        /// Whether the receiver tells the hosts of its failure domain.
        relay: bool,
    },
}
