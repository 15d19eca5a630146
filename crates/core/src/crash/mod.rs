//! Requests that crash the backend server that runs them.

use serde::{Deserialize, Serialize};

/// Fingerprint of a request: a hash of its route and body.
pub type Fingerprint = u64;

/// Messages between hosts about such requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMsg {
    /// A backend server died while it ran a request with this fingerprint.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
}
