//! Selection of the versions that may run a request.

use std::collections::HashSet;

use super::request::PendingRequest;
use crate::steer::view::View;

/// A set of versions that may run a request.
#[derive(Clone, Debug)]
pub(super) enum VersionFilter {
    Exactly(String),
    Except(HashSet<String>),
    OneOf(HashSet<String>),
    Any,
}

impl VersionFilter {
    pub(super) fn includes(&self, version: &str) -> bool {
        match self {
            VersionFilter::Exactly(allowed) => allowed == version,
            VersionFilter::Except(excluded) => !excluded.contains(version),
            VersionFilter::OneOf(allowed) => allowed.contains(version),
            VersionFilter::Any => true,
        }
    }
}

/// Version filters of a request in the order of preference.
pub(super) struct VersionPreference(Vec<VersionFilter>);

impl VersionPreference {
    /// Returns the preference of a request; `new_version_share` is the share of the version that is
    /// rolled out.
    pub(super) fn for_request(
        view: &View,
        request: &PendingRequest,
        new_version_share: Option<f64>,
    ) -> Self {
        let rollout = view.rollouts.get(&request.service);
        let Some((rollout, share)) = rollout.zip(new_version_share) else {
            let regular = view.regular_versions.get(&request.service).cloned();
            return VersionPreference(vec![
                regular.map_or(VersionFilter::Any, VersionFilter::OneOf),
            ]);
        };
        let new = VersionFilter::Exactly(rollout.order.version.clone());
        // The regular versions exclude a version whose earlier rollout was rolled back.
        let regular = view.regular_versions.get(&request.service).filter(|v| !v.is_empty());
        let old = match regular {
            Some(regular) if !regular.contains(&rollout.order.version) => {
                VersionFilter::OneOf(regular.clone())
            }
            _ => VersionFilter::Except(HashSet::from([rollout.order.version.clone()])),
        };
        VersionPreference(match () {
            () if share <= 0.0 => vec![old],
            () if share >= 1.0 => vec![new, old],
            // A retry goes to the proven versions.
            () if request.version_position < share && request.tried_servers.is_empty() => {
                vec![new, old]
            }
            () => vec![old],
        })
    }

    pub(super) fn in_order(&self) -> impl Iterator<Item = &VersionFilter> {
        self.0.iter()
    }
}
