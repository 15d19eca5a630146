//! Rollout records, which are part of the root record.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    declaration::{
        Declaration, DeclaredState, PartsPerMillion, RolloutSpec, RouteKey, fields::WHOLE_PPM,
    },
    time::UnixMillis,
};

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// The share of the new version increases step by step.
    Running,
    /// The new version receives all traffic and is the current version of the route.
    Done,
    /// The new version has regressed and receives no traffic.
    #[serde(rename = "taken-back")]
    RolledBack,
}

/// Recorded status of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Name of the route.
    pub route: String,
    /// The old version.
    pub from: String,
    /// The new version.
    pub to: String,
    /// Number of the current step, from 1.
    pub step: u32,
    /// Share of the traffic that goes to the new version.
    pub share: PartsPerMillion,
    /// Phase of the rollout.
    pub state: RolloutPhase,
    /// Time at which the step was recorded.
    pub since: UnixMillis,
    /// Reason for a rollback, empty otherwise.
    pub evidence: String,
}

/// Versions and rollouts of all routes, as recorded in the root record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecords {
    /// Version of each route outside of rollouts, by name of the route.
    #[serde(default)]
    pub versions: BTreeMap<String, String>,
    /// Status of each rollout, by name.
    #[serde(default, rename = "moves")]
    pub rollouts: BTreeMap<String, RolloutStatus>,
}

impl RolloutRecords {
    /// The version that serves a route outside of a rollout: the recorded one, if a server runs it.
    ///
    /// Without a record, it is the version that a declared rollout starts from, else the one with
    /// the most declared slots. If several have the same number, the lowest name is used.
    pub fn current_version(&self, declaration: &Declaration, route: RouteKey) -> Option<String> {
        let name = &declaration.routes[route].name;
        let has_server = |v: &String| declaration.servers_of(route).any(|(_, s)| s.version == *v);
        if let Some(version) = self.versions.get(name).filter(|v| has_server(v)) {
            return Some(version.clone());
        }
        let declared =
            declaration.rollouts.values().find(|r| r.route == route && has_server(&r.from));
        if let Some(rollout) = declared {
            return Some(rollout.from.clone());
        }
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, server) in declaration.servers_of(route) {
            *slots.entry(&server.version).or_default() += u32::from(server.slots);
        }
        let best = slots.into_iter().rev().max_by_key(|(_, slots)| *slots)?;
        Some(best.0.to_owned())
    }

    /// The status of a declared rollout, if it was recorded for the same route and versions.
    pub fn status_of<'r>(
        &'r self,
        declaration: &Declaration,
        rollout: &RolloutSpec,
    ) -> Option<&'r RolloutStatus> {
        let record = self.rollouts.get(&rollout.name)?;
        let is_same = record.route == declaration.routes[rollout.route].name
            && record.from == rollout.from
            && record.to == rollout.to;
        is_same.then_some(record)
    }
}

/// The share of the next step, which is larger than `share` by `cap` at most.
pub fn next_share(share: PartsPerMillion, cap: PartsPerMillion) -> PartsPerMillion {
    share.saturating_add(cap).min(WHOLE_PPM)
}

/// Whether a server that accepts requests runs the new version of a rollout.
pub fn has_target_server(declaration: &Declaration, rollout: &RolloutSpec) -> bool {
    let mut servers = declaration.servers_of(rollout.route);
    servers.any(|(_, s)| s.version == rollout.to && s.state == DeclaredState::Serving)
}
