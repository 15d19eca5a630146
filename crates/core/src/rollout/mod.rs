//! Rollouts: moving a route's traffic from one version to another by recorded steps.

use serde::{Deserialize, Serialize};

/// Messages between hosts about rollouts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMsg {
    /// A host has stopped giving a version new work.
    Stopped {
        /// Name of the move.
        movement: String,
    },
}
