//! Rollouts: shift a route's traffic from one version to another in recorded steps.
//!
//! The root record contains the share of each running rollout ([`record`]). One host at a time
//! writes the next step by compare-and-swap ([`controller`]). Every host keeps within the recorded
//! share ([`host`]) and compares the new version with the old one ([`regression`]). A host that
//! detects a regression stops sending requests to the new version at once and notifies the others.

pub mod controller;
pub mod host;
pub mod record;
pub mod regression;

use serde::{Deserialize, Serialize};

pub use self::{
    controller::Controller,
    host::HostRollouts,
    record::{RolloutPhase, RolloutRecords, RolloutStatus},
    regression::RequestCounts,
};
use crate::host::Incarnation;

/// Messages between hosts about rollouts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMsg {
    /// A host has stopped sending requests to a new version.
    Stopped {
        /// Name of the rollout.
        rollout: String,
        /// The counts that made the host stop.
        evidence: String,
    },
    /// Requests that a host has counted for both versions since it installed the rollout.
    Observed {
        /// Name of the rollout.
        rollout: String,
        /// Process that counted them.
        host: Incarnation,
        /// Requests to the old version.
        old: RequestCounts,
        /// Requests to the new version.
        new: RequestCounts,
    },
}
