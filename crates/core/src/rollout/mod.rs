//! Rollouts: moving a route's traffic from one version to another by recorded steps.
//!
//! The root record holds the share of each running move ([`record`]). One host at a time writes
//! the next step by compare-and-swap ([`controller`]); every host follows the recorded share
//! ([`host`]) and judges the new version against the old one at the same time ([`judge`]). A host
//! that finds the new version bad stops giving it work at once and tells the others.

pub mod controller;
pub mod host;
pub mod judge;
pub mod record;

use serde::{Deserialize, Serialize};

pub use self::{
    controller::Controller,
    host::Rollouts,
    judge::Tally,
    record::{Record, Records, State},
};
use crate::host::Incarnation;

/// Messages between hosts about rollouts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMsg {
    /// A host has stopped giving a version new work.
    Stopped {
        /// Name of the move.
        movement: String,
        /// What the host saw.
        evidence: String,
    },
    /// What a host has seen of both versions since the move began on it.
    Seen {
        /// Name of the move.
        movement: String,
        /// Life of the host.
        host: Incarnation,
        /// Requests to the old version.
        old: Tally,
        /// Requests to the new version.
        new: Tally,
    },
}
